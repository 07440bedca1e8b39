"""Fetches objects from other gateways rather than from the store."""

from collections.abc import Mapping
import random

import result

from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway.peers import messages
from berylweir.gateway.peers import task as peers

# Number of gateways that `fetch_from_others` asks for a kind.
_MAX_GATEWAYS_ASKED = 2


class SnapshotClient:
    """Fetches the objects of a kind that other gateways know."""

    def __init__(self, local_vm: models.Vm, client: peers.PeerClient) -> None:
        """Creates a client that knows no other gateway yet.

        Args:
            local_vm: This gateway.
            client: Client that sends the requests.
        """
        self._local_vm = local_vm
        self._client = client
        self._vms: Mapping[str, models.Vm] = {}
        self._lease: models.Lease | None = None

    def on_store_update(self, message: gateway.StoreUpdate) -> None:
        """Remembers the registered gateways and the lease."""
        match message:
            case gateway.VmsChanged(vms):
                self._vms = vms
            case gateway.LeaseChanged(lease):
                self._lease = lease
            case _:
                pass

    async def fetch_from_holder(
        self, kind: str
    ) -> messages.ObjectsSnapshot | None:
        """Returns what the lease holder knows of a kind.

        Returns None if this gateway is the holder, if no holder is known, or
        if the holder doesn't answer or knows no object of the kind.
        """
        if self._lease is None or self._lease.holder == self._local_vm.name:
            return None
        holder = self._vms.get(self._lease.holder)
        return await self._fetch(holder, kind) if holder else None

    async def fetch_from_others(
        self, kind: str
    ) -> list[messages.ObjectsSnapshot]:
        """Returns what a few random gateways know of a kind.

        Gateways that don't answer, or know no object of the kind, are left out.
        Which object is newer only its own order tells, not the revision.
        """
        others = [
            v for v in self._vms.values() if v.name != self._local_vm.name
        ]
        chosen = random.sample(others, min(_MAX_GATEWAYS_ASKED, len(others)))
        snapshots = [await self._fetch(vm, kind) for vm in chosen]
        return [snapshot for snapshot in snapshots if snapshot is not None]

    async def _fetch(
        self, vm: models.Vm, kind: str
    ) -> messages.ObjectsSnapshot | None:
        match await self._client.ask(vm, messages.GetObjects(kind)):
            case result.Ok(messages.ObjectsSnapshot() as snapshot) if (
                snapshot.revision > 0
            ):
                return snapshot
            case _:
                return None
