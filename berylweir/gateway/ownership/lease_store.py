"""Reads and writes the lease in the store."""

import dataclasses

import result

from berylweir.gateway import models
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The lease was written.

    Attributes:
        lease: The lease with its revision.
    """

    lease: models.Lease


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another gateway has changed the lease.

    Attributes:
        lease: The lease as the store has it; None if it can't be decoded.
    """

    lease: models.Lease | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The store didn't accept the lease, or didn't answer.

    Attributes:
        failure: The failure.
    """

    failure: exceptions.StoreFailure


WriteOutcome = Written | Superseded | NotWritten


class LeaseStore:
    """The object of the lease, which is written by conditional update."""

    def __init__(
        self, client: store.StoreClient, metrics: counters.Counters
    ) -> None:
        """Creates the access to the lease.

        Args:
            client: Client of the store that nothing else uses.
            metrics: Counters.
        """
        self._client = client
        self._metrics = metrics

    @property
    def generation(self) -> int:
        """Generation of the store, as far as it is known."""
        return self._client.generation

    async def read(
        self,
    ) -> result.Result[models.Lease | None, exceptions.StoreFailure]:
        """Returns the lease as the store has it; None if undecodable."""
        response = await self._client.get(
            objects.GATEWAY_KIND, objects.LEASE_NAME
        )
        match response:
            case result.Ok(stored):
                return result.Ok(self._decode(stored))
            case result.Err(failure):
                return result.Err(failure)

    async def write(
        self, lease: models.Lease, known: models.Lease | None
    ) -> WriteOutcome:
        """Writes a lease over the known one.

        Args:
            lease: The new lease; its revision is ignored.
            known: The lease that the store is expected to have; None if it has
                none. It is created if a restored store has lost it.
        """
        spec = objects.encode_lease(lease)
        if known is not None:
            response = await self._client.replace(
                objects.GATEWAY_KIND, objects.LEASE_NAME, spec, known.revision
            )
            if not _is_missing(response):
                return self._decode_outcome(lease, response)
        response = await self._client.create(
            objects.GATEWAY_KIND, objects.LEASE_NAME, spec
        )
        return self._decode_outcome(lease, response)

    async def release(self, lease: models.Lease) -> WriteOutcome:
        """Writes that a lease has no holder, if the store still has it."""
        released = models.Lease("", "", lease.epoch, 0)
        response = await self._client.replace(
            objects.GATEWAY_KIND,
            objects.LEASE_NAME,
            objects.encode_lease(released),
            lease.revision,
        )
        return self._decode_outcome(released, response)

    def _decode_outcome(
        self,
        lease: models.Lease,
        response: result.Result[store.StoredObject, exceptions.StoreFailure],
    ) -> WriteOutcome:
        match response:
            case result.Ok(stored):
                return Written(
                    dataclasses.replace(lease, revision=stored.revision)
                )
            case result.Err(exceptions.Conflict() as conflict):
                current = store.decode_conflict(conflict)
                return Superseded(self._decode(current) if current else None)
            case result.Err(failure):
                return NotWritten(failure)

    def _decode(self, stored: store.StoredObject) -> models.Lease | None:
        match objects.decode_gateway_object(stored):
            case result.Ok(models.Lease() as lease):
                return lease
            case _:
                self._metrics.count("lease.undecodable")
                return None


def _is_missing(
    response: result.Result[store.StoredObject, exceptions.StoreFailure],
) -> bool:
    match response:
        case result.Err(exceptions.Missing()):
            return True
        case _:
            return False
