"""Tests of the homes of request ids in unkeyed groups."""

from berylweir.router.admission import request_id_homes

_VMS = ("vm-0", "vm-1", "vm-2")
_ID = "01a24037-31ec-707c-a68a-a6ae4b0fa7b2"


class TestHomeOf:
    """The home of a request id."""

    def test_two_spellings_have_the_same_home(self):
        """Guards against a repeat sent elsewhere because of its spelling."""
        other = _ID.replace("-", "").upper()
        assert request_id_homes.home_of(_ID, _VMS) == request_id_homes.home_of(
            other, _VMS
        )

    def test_other_vms_leave_the_home_alone(self):
        """Guards against ids that change their home when another VM leaves."""
        home = request_id_homes.home_of(_ID, _VMS)
        for removed in _VMS:
            rest = tuple(v for v in _VMS if v != removed)
            if removed != home:
                assert request_id_homes.home_of(_ID, rest) == home


class TestRequestIdHomes:
    """Ids that another VM may have run before the VMs changed."""

    def test_id_of_a_former_home_may_have_run(self):
        """Guards against running a repeat again at the new home."""
        home = request_id_homes.home_of(_ID, _VMS)
        rest = tuple(v for v in _VMS if v != home)
        successor = request_id_homes.home_of(_ID, rest)
        homes = request_id_homes.RequestIdHomes(1.0)
        homes.set_vms(successor, _VMS, 0.0)
        homes.set_vms(successor, rest, 100.0)
        assert homes.may_have_run_elsewhere(_ID, 99.0)
        assert homes.may_have_run_elsewhere(_ID, 106.9)
        assert not homes.may_have_run_elsewhere(_ID, 107.0)

    def test_id_that_stays_is_run_after_a_change(self):
        """Guards against refusing ids whose home has not changed."""
        home = request_id_homes.home_of(_ID, _VMS)
        removed = next(v for v in _VMS if v != home)
        homes = request_id_homes.RequestIdHomes(1.0)
        homes.set_vms(home, _VMS, 0.0)
        homes.set_vms(home, tuple(v for v in _VMS if v != removed), 100.0)
        assert not homes.may_have_run_elsewhere(_ID, 99.0)
