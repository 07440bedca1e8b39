"""Pure functions that parse, compare and summarise objects."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import msgspec
import result

from berylweir.ctl import exceptions
from berylweir.ctl import schemas
from berylweir.objects import schemas as objects


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A field whose value in a file differs from the stored one.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        field: Name of the field, or empty if the object doesn't exist.
        present: Stored value.
        wanted: Value in the file, or `created` if the object doesn't exist.
    """

    kind: str
    name: str
    field: str
    present: Any
    wanted: Any


def parse_manifest(
    text: str, *, toml: bool, source: str
) -> result.Result[schemas.Manifest, exceptions.BadInput]:
    """Parses a file of objects.

    Args:
        text: Content of the file.
        toml: Whether the file is TOML rather than JSON.
        source: Path of the file, for messages.

    Returns:
        The objects, or `BadInput` if the file is invalid, has no objects or
        has two objects of the same kind and name.
    """
    try:
        if toml:
            manifest = msgspec.toml.decode(text, type=schemas.Manifest)
        else:
            manifest = msgspec.json.decode(text, type=schemas.Manifest)
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err(exceptions.BadInput(source, str(error)))
    counts = collections.Counter((o.KIND, o.name) for o in manifest.objects())
    duplicates = [
        f"{kind} {name}" for (kind, name), count in counts.items() if count > 1
    ]
    if duplicates:
        return result.Err(
            exceptions.BadInput(
                source,
                f"objects that are defined more than once: "
                f"{', '.join(duplicates)}",
            )
        )
    if not counts:
        return result.Err(
            exceptions.BadInput(source, "the file has no objects")
        )
    return result.Ok(manifest)


def differences(
    desired: objects.ConfigObject, current: Mapping[str, Any] | None
) -> tuple[Difference, ...]:
    """Returns the fields in which an object differs from the stored one.

    Args:
        desired: The object in the file.
        current: The stored object as JSON values, or None if there is none.
    """
    if current is None:
        return (Difference(desired.KIND, desired.name, "", None, "created"),)
    decoded_current = msgspec.convert(current, type(desired))
    return tuple(
        Difference(
            desired.KIND,
            desired.name,
            field,
            msgspec.to_builtins(getattr(decoded_current, field)),
            msgspec.to_builtins(getattr(desired, field)),
        )
        for field in desired.__struct_fields__
        if getattr(decoded_current, field) != getattr(desired, field)
    )


def zone_rows(
    zones: Iterable[Mapping[str, Any]],
    servers: Iterable[Mapping[str, Any]],
    partitions: Iterable[Mapping[str, Any]],
    vms: Iterable[Mapping[str, Any]],
) -> list[dict[str, Any]]:
    """Returns the numbers of VMs, servers and slices of each zone.

    Args:
        zones: Availability zones as JSON values.
        servers: Backend servers as JSON values.
        partitions: Partitions as JSON values.
        vms: Entry VMs as JSON values.
    """
    server_zone = {s["name"]: s["availability_zone"] for s in servers}
    server_counts = collections.Counter(
        (s["availability_zone"], s.get("state", "in_service")) for s in servers
    )
    owned_counts: collections.Counter[str] = collections.Counter()
    leaving_counts: collections.Counter[str] = collections.Counter()
    for partition in partitions:
        for slice_state in partition["slices"]:
            match slice_state:
                case {"type": "owned", "server": server}:
                    owned_counts[server_zone.get(server, "")] += 1
                case {"type": "moving", "source": source}:
                    leaving_counts[server_zone.get(source, "")] += 1
                case _:
                    pass
    vm_counts = collections.Counter(v["availability_zone"] for v in vms)
    return [
        {
            "zone": z["name"],
            "in_service": z.get("in_service", True),
            "vms": vm_counts[z["name"]],
            "servers_in_service": server_counts[(z["name"], "in_service")],
            "servers_draining": server_counts[(z["name"], "draining")],
            "servers_lost": server_counts[(z["name"], "lost")],
            "slices_owned": owned_counts[z["name"]],
            "slices_leaving": leaving_counts[z["name"]],
        }
        for z in zones
    ]
