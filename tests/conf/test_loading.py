"""Tests of reading settings files."""

import pathlib

from berylweir import conf
from berylweir.conf import loading

_VALID = """
[vm]
name = vm-1
availability_zone = a
[platform]
url = http://127.0.0.1:7000
"""


class TestLoading:
    """Settings files and their faults."""

    def test_defaults_apply(self):
        """Guards against default values that the checks reject."""
        settings = loading.parse(_VALID).unwrap()
        assert settings.lease.renew_s == 0.25

    def test_all_faults_are_named_at_once(self):
        """Guards against reporting only the first fault of a file."""
        text = _VALID + "[router]\nprot = 1\nport = x\n[nope]\n"
        faults = loading.parse(text).unwrap_err()
        assert [f.id for f in faults] == ["conf.E003", "conf.E004", "conf.E005"]

    def test_missing_option_is_named(self):
        """Guards against a default for an option that must be chosen."""
        faults = loading.parse("[vm]\nname = vm-1\n").unwrap_err()
        assert {(f.section, f.option) for f in faults} == {
            ("vm", "availability_zone"),
            ("platform", "url"),
        }

    def test_lease_that_misses_the_recovery_target_is_refused(self):
        """Guards against settings with which recovery takes longer than 3 s."""
        faults = loading.parse(
            _VALID + "[lease]\nlease_s = 3\nmargin_s = 0.3\n"
        ).unwrap_err()
        assert [f.id for f in faults] == ["conf.E103"]

    def test_detection_between_two_responses_is_refused(self):
        """Guards against servers that count as lost while they respond."""
        faults = loading.parse(
            _VALID + "[lease]\nrenew_s = 0.1\nserver_loss_s = 0.1\n"
        ).unwrap_err()
        assert [f.id for f in faults] == ["conf.E113"]
        loading.parse(
            _VALID + "[lease]\nrenew_s = 0.1\nserver_loss_s = 0.2\n"
        ).unwrap()

    def test_unreadable_file_is_a_fault(self, tmp_path: pathlib.Path):
        """Guards against a traceback instead of an error message."""
        faults = conf.load(tmp_path / "missing.ini").unwrap_err()
        assert [f.id for f in faults] == ["conf.E001"]
