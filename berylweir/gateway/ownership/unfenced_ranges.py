"""Ranges of keys that an earlier keeper may still grant to their owners."""

from berylweir.gateway import models


class UnfencedRanges:
    """Ranges whose owner hasn't accepted a token of this keeper, by owner.

    A range ends once the server has accepted one of this keeper's tokens for
    it, since it rejects lower ones then.
    """

    def __init__(self) -> None:
        """Creates the state of a keeper that knows no tables."""
        self._ranges: dict[models.ServerInstance, set[tuple[int, int]]] = {}
        self._recorded_groups: set[str] = set()

    def start_epoch(self) -> None:
        """Forgets what was known under an earlier lease."""
        self._ranges.clear()
        self._recorded_groups.clear()

    def record_table(self, table: models.KeyTable) -> None:
        """Records the ranges that an earlier keeper left, once a group.

        In moves that it started, the source counts as well as the owner: the
        earlier keeper may have got no response when it wrote the move.
        """
        if table.group in self._recorded_groups:
            return
        self._recorded_groups.add(table.group)
        for key_range in table.ranges:
            for instance in (key_range.previous_owner, key_range.owner):
                if instance is not None:
                    self._ranges.setdefault(instance, set()).add(
                        (key_range.first, key_range.last)
                    )

    def record_accepted(
        self, instance: models.ServerInstance, key_range: models.KeyRange
    ) -> None:
        """Records that a server rejects earlier grants of a range."""
        remaining: set[tuple[int, int]] = set()
        for first, last in self._ranges.get(instance, ()):
            parts = (
                (first, min(last, key_range.first - 1)),
                (max(first, key_range.last + 1), last),
            )
            remaining.update(part for part in parts if part[0] <= part[1])
        self._ranges[instance] = remaining

    def has_any(
        self, instance: models.ServerInstance, key_range: models.KeyRange
    ) -> bool:
        """Returns whether an earlier keeper may grant keys of a range."""
        return any(
            first <= key_range.last and last >= key_range.first
            for first, last in self._ranges.get(instance, ())
        )
