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
    """Requests a change."""

    change: models.Change
    reply: asyncio.Future[ChangeResult]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObjects:
    """Requests all objects, read from the platform if it responds."""

    reply: asyncio.Future[schemas.Objects]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInForce:
    """Requests all objects in force on this VM."""

    reply: asyncio.Future[schemas.Objects]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHistory:
    """Requests the recorded changes, newest first."""

    reply: asyncio.Future[HistoryResult]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRollout:
    """Requests the version of an object in force on each entry VM."""

    kind: str
    name: str
    reply: asyncio.Future[schemas.Rollout]


Query = ReadObjects | ReadInForce | ReadHistory | ReadRollout
