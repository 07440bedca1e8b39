"""Validated model of a file with objects."""

import msgspec

from berylweir.objects import schemas


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a TOML or JSON file: a list of objects for each kind.

    The attributes are in the order in which the objects are applied, so that
    an object comes after those it refers to.
    """

    availability_zone: tuple[schemas.AvailabilityZone, ...] = ()
    vm: tuple[schemas.Vm, ...] = ()
    server_group: tuple[schemas.ServerGroup, ...] = ()
    backend_server: tuple[schemas.BackendServer, ...] = ()
    selector: tuple[schemas.Selector, ...] = ()

    def objects(self) -> tuple[schemas.ConfigObject, ...]:
        """Returns the objects in the order in which they are applied."""
        return (
            *self.availability_zone,
            *self.vm,
            *self.server_group,
            *self.backend_server,
            *self.selector,
        )
