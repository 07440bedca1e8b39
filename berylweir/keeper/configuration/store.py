"""Stores the newest version of each object that the platform manages."""

from collections.abc import Iterator
import dataclasses
from typing import TypeVar
from typing import cast

import msgspec
import result

from berylweir.objects import messages as platform
from berylweir.objects import schemas

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidObject:
    """Result of merging an object whose value its model rejects.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Its version.
        reason: Message of the decoder.
    """

    kind: str
    name: str
    version: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Result of merging an object that changes nothing.

    Its version isn't newer than the stored one, or its kind isn't watched.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Result of merging a newer version of an object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Its version.
        value: The object, or None if it was removed.
    """

    kind: str
    name: str
    version: int
    value: msgspec.Struct | None


MergeResult = Changed | Unchanged


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredVersion:
    version: int
    encoded_value: bytes
    value: msgspec.Struct | None


_MODELS_BY_KIND: dict[str, type[msgspec.Struct]] = {
    **schemas.CONFIG_KINDS,
    schemas.Partition.KIND: schemas.Partition,
}
WATCHED_KINDS = tuple(_MODELS_BY_KIND)


class ObjectStore:
    """Newest version of each object, by kind and name.

    An older version never replaces a newer one, whichever arrives later.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self._entries: dict[tuple[str, str], _StoredVersion] = {}
        self._values: dict[str, dict[str, msgspec.Struct]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of changes to configuration objects, to validate caches.

        Changes to partitions aren't counted, because what is derived from the
        configuration stays valid when a partition changes.
        """
        return self._generation

    def merge(
        self, stored_object: platform.StoredObject
    ) -> result.Result[MergeResult, InvalidObject]:
        """Stores an object if its version is newer than the stored one.

        Args:
            stored_object: Object as received from the platform or a peer.

        Returns:
            The change, `Unchanged`, or an `InvalidObject` error. An invalid
            object isn't stored, so the older version stays in force.
        """
        model = _MODELS_BY_KIND.get(stored_object.kind)
        if model is None:
            return result.Ok(Unchanged())
        current = self._entries.get((stored_object.kind, stored_object.name))
        if current is not None and current.version >= stored_object.version:
            return result.Ok(Unchanged())
        value = None
        if not stored_object.deleted:
            try:
                value = msgspec.json.decode(stored_object.value, type=model)
            except msgspec.MsgspecError as error:
                return result.Err(
                    InvalidObject(
                        stored_object.kind,
                        stored_object.name,
                        stored_object.version,
                        str(error),
                    )
                )
        self._entries[(stored_object.kind, stored_object.name)] = (
            _StoredVersion(
                stored_object.version, bytes(stored_object.value), value
            )
        )
        values_by_name = self._values.setdefault(stored_object.kind, {})
        if value is None:
            values_by_name.pop(stored_object.name, None)
        else:
            values_by_name[stored_object.name] = value
        if stored_object.kind != schemas.Partition.KIND:
            self._generation += 1
        return result.Ok(
            Changed(
                stored_object.kind,
                stored_object.name,
                stored_object.version,
                value,
            )
        )

    def objects_of(self, model: type[_T]) -> dict[str, _T]:
        """Returns the objects of a model, by name.

        The result is the store's own dictionary; callers must not change it.
        """
        kind = getattr(model, "KIND")  # noqa: B009
        return cast(dict[str, _T], self._values.get(kind, {}))

    def stored_objects(self) -> Iterator[platform.StoredObject]:
        """Yields all objects, removed ones included, in the wire format.

        Their revision is 0, because it isn't stored.
        """
        for (kind, name), entry in self._entries.items():
            yield platform.StoredObject(
                kind,
                name,
                entry.version,
                0,
                deleted=entry.value is None,
                value=msgspec.Raw(entry.encoded_value),
            )

    def versions(self) -> dict[tuple[str, str], int]:
        """Returns the version in force of each object, by kind and name."""
        return {key: e.version for key, e in self._entries.items()}
