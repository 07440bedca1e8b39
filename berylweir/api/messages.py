"""Messages to the tasks of the administration API."""

import asyncio
import dataclasses

import result

from berylweir.api import exceptions
from berylweir.api import models
from berylweir.api import schemas
from berylweir.api.history import schemas as history

ChangeResult = result.Result[models.Outcome, exceptions.Failure]
HistoryResult = result.Result[list[history.ChangeRecord], exceptions.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitChange:
    """Asks for a change."""

    change: models.Change
    reply: asyncio.Future[ChangeResult]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObjects:
    """Asks for all objects, from the platform if it answers."""

    reply: asyncio.Future[schemas.Objects]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInForce:
    """Asks for all objects in force on this VM."""

    reply: asyncio.Future[schemas.Objects]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHistory:
    """Asks for the records of changes."""

    reply: asyncio.Future[HistoryResult]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRollout:
    """Asks all entry VMs for the version of an object that is in force."""

    kind: str
    name: str
    reply: asyncio.Future[schemas.Rollout]


Query = ReadObjects | ReadInForce | ReadHistory | ReadRollout
