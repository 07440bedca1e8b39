"""Data classes that are fast to create, for use in each request."""

import dataclasses
from typing import TypeVar
from typing import dataclass_transform

_T = TypeVar("_T")


@dataclass_transform(frozen_default=True)
def record(cls: type[_T]) -> type[_T]:
    """Makes a data class that is frozen for the type checker only.

    Creating a frozen data class of ten fields takes 4.4 us, because it sets
    each field through `object.__setattr__`. Without the check at run time it
    takes 0.8 us.
    """
    return dataclasses.dataclass(slots=True, unsafe_hash=True)(cls)
