"""Settings of the programs, read from INI files and validated."""

from berylweir.conf.loading import load
from berylweir.conf.loading import load_or_exit
from berylweir.conf.schemas import Settings

__all__ = ["Settings", "load", "load_or_exit"]
