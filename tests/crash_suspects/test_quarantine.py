"""Tests of the requests that are refused."""

import dataclasses

from berylweir.crash_suspects import quarantine

_F = 7


def build(known, now_ms):
    """Returns an entry of a request that crashed three servers."""
    return known.build_entry(
        _F,
        now_ms,
        servers=("a", "b", "c"),
        reporters=("vm-1", "vm-1", "vm-2"),
        request_ids=("r1", "r2", "r3"),
    )


class TestQuarantine:
    """Entries of this VM, of other VMs and of operators."""

    def test_refusal_never_ends(self):
        """Guards against refusing a request that was repaired, for good."""
        known = quarantine.Quarantine()
        entry = build(known, 1000)
        known.merge([entry], 1000)
        assert known.left_ms(_F, 1000) == entry.duration_ms
        assert known.left_ms(_F, entry.until_ms) == 0
        known.merge([], entry.forgotten_ms)
        assert known.entries == {}

    def test_second_quarantine_is_as_short(self):
        """Guards against crashing servers again every ten minutes."""
        known = quarantine.Quarantine()
        first = build(known, 0)
        known.merge([first], 0)
        second = build(known, first.until_ms + 1)
        assert second.duration_ms == 2 * first.duration_ms

    def test_older_entry_shortens_the_refusal(self):
        """Guards against a message that arrives late."""
        known = quarantine.Quarantine()
        entry = build(known, 5000)
        known.merge([entry], 5000)
        older = dataclasses.replace(entry, until_ms=entry.until_ms - 1)
        assert known.merge([older], 5000) == []
        assert known.entries[_F] == entry

    def test_late_message_undoes_an_operators_decision(self):
        """Guards against refusing again what an operator has lifted."""
        known = quarantine.Quarantine()
        entry = build(known, 1000)
        known.merge([entry], 1000)
        lifted = dataclasses.replace(entry, until_ms=0)
        assert known.merge([lifted], 2000) == [lifted]
        assert known.left_ms(_F, 2000) == 0
        assert known.merge([entry], 3000) == []
        assert known.left_ms(_F, 3000) == 0
        again = build(known, 4000)
        assert known.merge([again], 4000) == [again]
        assert known.left_ms(_F, 4000) > 0

    def test_old_decision_lifts_a_later_refusal(self):
        """Guards against a store that still has the object of an earlier lift.

        The new entry isn't written at once, or not while the store is away.
        """
        known = quarantine.Quarantine()
        entry = build(known, 1000)
        known.merge([entry], 1000)
        lifted = dataclasses.replace(entry, until_ms=0)
        known.merge([lifted], 2000)
        again = build(known, 4000)
        known.merge([again], 4000)
        assert known.merge([lifted], 5000) == []
        assert known.left_ms(_F, 5000) > 0
        lifted_again = dataclasses.replace(again, until_ms=0)
        assert known.merge([lifted_again], 6000) == [lifted_again]
        assert known.left_ms(_F, 6000) == 0

    def test_entries_fill_the_memory(self):
        """Guards against a quarantine without a bound."""
        known = quarantine.Quarantine()
        entry = build(known, 0)
        known.merge(
            (
                dataclasses.replace(
                    entry, fingerprint=n, until_ms=entry.until_ms + n
                )
                for n in range(3000)
            ),
            0,
        )
        assert len(known.entries) == 1024
        assert 2999 in known.entries
