"""Messages about requests that may crash servers."""

import asyncio
import dataclasses

from berylweir import records
from berylweir.crash_suspects import evidence
from berylweir.crash_suspects import quarantine


@records.record
class InterruptedRequest:
    """A request that was in flight at a server when it ended.

    Attributes:
        fingerprint: Fingerprint of the request.
        ends: The server; other servers that ended under it, if they are known.
        completed_s: When a server last completed the request for this VM, on
            the loop's clock, in seconds; minus infinity if none has lately.
    """

    fingerprint: int
    ends: tuple[evidence.ServerEnd, ...]
    completed_s: float = float("-inf")


@records.record
class ServerEnded:
    """Reports that a server ended while it had requests.

    Attributes:
        requests: The requests of this VM that it had.
    """

    requests: tuple[InterruptedRequest, ...]


@records.record
class SuspectCompleted:
    """Reports that a server has completed a suspected request.

    Attributes:
        fingerprint: Fingerprint of the request.
        completed_s: When, on the loop's clock, in seconds.
    """

    fingerprint: int
    completed_s: float


@records.record
class RequestsAssessed:
    """Tells the dispatcher what was found out about requests.

    Attributes:
        findings: Finding for each request, by fingerprint.
    """

    findings: dict[int, evidence.Finding]


@records.record
class SuspectAnnounced:
    """Tells the dispatcher that a request is suspected.

    Attributes:
        fingerprint: Fingerprint of the request.
        since_s: When the first server ended under it, on the loop's clock, in
            seconds.
        reply: Receives when a server last completed it for this VM, on the
            loop's clock, in seconds; None if none has since then.
    """

    fingerprint: int
    since_s: float
    reply: "asyncio.Future[float | None]"


@records.record
class RequestsQuarantined:
    """Tells the dispatcher which requests are refused, or no longer are.

    Attributes:
        entries: The entries that changed.
    """

    entries: tuple[quarantine.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineChanged:
    """Announces the refused requests that the store has.

    Attributes:
        entries: All of them.
    """

    entries: tuple[quarantine.Entry, ...]


@records.record
class AssessReport:
    """Asks this VM to judge requests that another one reports.

    Attributes:
        requests: The requests.
        reply: Receives the finding for each of them, by fingerprint.
    """

    requests: tuple[InterruptedRequest, ...]
    reply: "asyncio.Future[dict[int, evidence.Finding]]"


@records.record
class WriteEntry:
    """Asks for an entry to be written to the store.

    Attributes:
        entry: The entry.
    """

    entry: quarantine.Entry


# Messages that the dispatcher gets.
ToDispatcher = RequestsAssessed | SuspectAnnounced | RequestsQuarantined
