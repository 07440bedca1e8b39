"""Commands on requests that the gateways refuse because they crash servers.

They read and write the objects in the platform's store.
"""

import dataclasses
import datetime
import time
from typing import TypeVar

import result

from berylweir.crash_suspects import fingerprint as fingerprints
from berylweir.crash_suspects import quarantine
from berylweir.ctl import exceptions
from berylweir.ctl import output
from berylweir.ctl import platform_store
from berylweir.platform import exceptions as store_exceptions
from berylweir.platform import objects
from berylweir.platform import store

_T = TypeVar("_T")
_Outcome = result.Result[_T, exceptions.Failure]


def show_entries(address: str, *, as_json: bool) -> _Outcome[None]:
    """Prints all requests that are refused, or were lately.

    Args:
        address: `host:port` of the store.
        as_json: Whether to print JSON instead of a table.
    """
    match platform_store.run(address, _read_entries):
        case result.Ok(entries):
            rows = [_row(entry) for entry in entries]
            output.show(rows, rows, as_json=as_json)
            return result.Ok(None)
        case failure:
            return failure


def lift(address: str, text: str) -> _Outcome[None]:
    """Lets the gateways send a request to servers again.

    Args:
        address: `host:port` of the store.
        text: Fingerprint of the request.
    """
    number = fingerprints.from_text(text)
    if number is None:
        return result.Err(
            exceptions.BadInput(
                "fingerprint", f"{text!r} is not 16 hexadecimal digits"
            )
        )
    return platform_store.run(
        address, lambda client: _lift(client, address, number)
    )


async def _read_entries(
    client: store.StoreClient,
) -> _Outcome[list[quarantine.Entry]]:
    listed = await platform_store.list_gateway_objects(client)
    return listed.map(
        lambda found: [o for o in found if isinstance(o, quarantine.Entry)]
    )


async def _lift(
    client: store.StoreClient, address: str, number: int
) -> _Outcome[None]:
    name = objects.quarantine_name(quarantine.Entry(number, 0))
    match await client.get(objects.GATEWAY_KIND, name):
        case result.Err(store_exceptions.Missing()):
            return result.Err(
                exceptions.ProblemResponse(
                    404, "not-found", f"{name} does not exist"
                )
            )
        case result.Err(failure):
            return result.Err(exceptions.Unreachable(address, repr(failure)))
        case result.Ok(stored):
            pass
    match objects.decode_gateway_object(stored):
        case result.Ok(quarantine.Entry() as entry):
            pass
        case _:
            return result.Err(
                exceptions.BadInput(name, "the object can't be decoded")
            )
    spec = objects.encode_quarantine_entry(
        dataclasses.replace(entry, until_ms=0)
    )
    match await client.replace(
        objects.GATEWAY_KIND, name, spec, stored.revision
    ):
        case result.Ok(_):
            return result.Ok(None)
        case result.Err(store_exceptions.Conflict()):
            return result.Err(
                exceptions.ProblemResponse(
                    409, "version-conflict", f"{name} has just changed"
                )
            )
        case result.Err(failure):
            return result.Err(
                exceptions.NoResponse(address, repr(failure), name)
            )


def _row(entry: quarantine.Entry) -> dict[str, object]:
    until = datetime.datetime.fromtimestamp(
        entry.until_ms / 1000.0, datetime.UTC
    )
    if entry.is_lifted:
        state = "lifted"
    elif entry.until_ms > time.time() * 1000.0:
        state = "refused"
    else:
        state = "expired"
    return {
        "fingerprint": fingerprints.to_text(entry.fingerprint),
        "state": state,
        "until": "" if entry.is_lifted else until.isoformat("T", "seconds"),
        "servers": list(entry.servers),
        "reporters": list(entry.reporters),
        "requests": list(entry.request_ids),
    }
