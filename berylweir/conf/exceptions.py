"""Faults in settings, returned as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One error in the settings.

    Attributes:
        id: Id of the check, such as `conf.E003`.
        section: Section of the file, or empty.
        option: Name of the option, or empty.
        value: Value as in the file, or empty.
        message: Description of the error.
        hint: How to correct it.
    """

    id: str
    section: str
    option: str
    value: str
    message: str
    hint: str

    def __str__(self) -> str:
        """Returns the fault as one line."""
        place = f"[{self.section}] {self.option}".rstrip()
        value = f" = {self.value!r}" if self.value else ""
        return f"{self.id} {place}{value}: {self.message} ({self.hint})"
