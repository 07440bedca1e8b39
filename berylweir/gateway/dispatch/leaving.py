"""Server instances that said that they are leaving."""

from berylweir.gateway import models

# Number of instances that are remembered, also without an entry in the store.
_MAX_INSTANCES = 1000


class LeavingInstances:
    """Remembers leaving instances; they don't return, even if entries do."""

    def __init__(self) -> None:
        """Creates an empty memory."""
        # Oldest first.
        self._since_s: dict[models.ServerInstance, float] = {}

    def since_s(self, instance: models.ServerInstance) -> float | None:
        """Returns when an instance first said so; None if it hasn't.

        The time is on the loop's clock, in seconds.
        """
        return self._since_s.get(instance)

    def remember(self, instance: models.ServerInstance, since_s: float) -> bool:
        """Remembers an instance; returns whether it wasn't known before."""
        if instance in self._since_s:
            return False
        self._since_s[instance] = since_s
        if len(self._since_s) > _MAX_INSTANCES:
            del self._since_s[next(iter(self._since_s))]
        return True
