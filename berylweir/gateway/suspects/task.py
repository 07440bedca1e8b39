"""The task that judges requests under which servers ended.

Each request has one gateway that judges it. The others report the servers that
ended under the request to it, so it counts those of all VMs. Before it suspects
the request, it asks them whether a server has completed it since. It tells them
when the request is to be refused.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import random
import time
import typing

import result

from berylweir.crash_suspects import evidence
from berylweir.crash_suspects import fingerprint as fingerprints
from berylweir.crash_suspects import quarantine
from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway.peers import exceptions as peer_exceptions
from berylweir.gateway.peers import messages as peer_messages
from berylweir.gateway.peers import task as peers
from berylweir.gateway.suspects import announcements
from berylweir.gateway.suspects import codec
from berylweir.gateway.suspects import judges
from berylweir.gateway.suspects import messages
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_MAILBOX_SIZE = 10_000  # messages; far more than a VM's concurrent requests
# Time for the findings of another VM, in seconds. Retries wait for them.
_REPLY_TIMEOUT_S = 0.25
# Pause between two attempts to read the refused requests of other gateways
# after the start, in seconds, and their number.
_READ_PAUSE_S = 0.5
_MAX_READS = 10

Message = (
    messages.ServerEnded
    | messages.SuspectCompleted
    | messages.AssessReport
    | messages.QuarantineChanged
    | messages.RequestsQuarantined
    | gateway.VmsChanged
)
Inbox = mailbox.Mailbox[Message]
DispatcherPost = Callable[[messages.ToDispatcher], None]


def create_inbox() -> Inbox:
    """Returns the mailbox of the task."""
    return mailbox.Mailbox("suspects", _MAILBOX_SIZE)


class SuspectTask:
    """Judges some requests, and reports the others to their judges."""

    def __init__(
        self,
        local_vm: models.Vm,
        peer_client: peers.PeerClient,
        inbox: Inbox,
        post_to_dispatcher: DispatcherPost,
        write_entry: Callable[[messages.WriteEntry], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            local_vm: This VM.
            peer_client: Client for requests to other gateways.
            inbox: Mailbox of the task.
            post_to_dispatcher: Posts a message to the dispatcher.
            write_entry: Posts an entry to the task that writes to the store.
            metrics: Counters.
        """
        self._local_vm = local_vm
        self._peer_client = peer_client
        self._inbox = inbox
        self._post = post_to_dispatcher
        self._write_entry = write_entry
        self._metrics = metrics
        self._judges = judges.JudgeSelector(local_vm)
        self._evidence = evidence.Evidence()
        self._quarantine = quarantine.Quarantine()
        self._announcer = announcements.Announcer(peer_client, metrics)
        # Number of counted ends at which a suspect was last announced.
        self._announced: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._has_read_peers = False

    async def run(self, context: supervision.ChildContext) -> None:
        """Handles messages until the supervisor stops the child."""
        self._metrics.gauge("gateway.quarantined_requests", 0)
        context.stack.callback(self._announcer.close)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            while True:
                match await self._inbox.get():
                    case messages.ServerEnded(requests):
                        group.create_task(self._report(requests))
                    case messages.SuspectCompleted() as completed:
                        group.create_task(self._report_completion(completed))
                    case messages.AssessReport() as report:
                        group.create_task(self._answer(report))
                    case messages.QuarantineChanged(entries):
                        self._merge(entries)
                    case messages.RequestsQuarantined(entries):
                        self._merge(entries)
                    case gateway.VmsChanged(vms):
                        self._update_vms(vms, group)

    def on_store_update(self, message: gateway.StoreUpdate) -> None:
        """Passes on the registered gateways and the refused requests."""
        match message:
            case gateway.VmsChanged() | messages.QuarantineChanged():
                self._inbox.post(message)
            case _:
                pass

    async def answer_peer(
        self,
        request: peer_messages.ReportCrashes
        | peer_messages.AnnounceSuspect
        | peer_messages.Completion
        | peer_messages.QuarantineRequests
        | peer_messages.GetQuarantine,
    ) -> peer_messages.Reply:
        """Answers another gateway."""
        now_s = self._now_s()
        match request:
            case peer_messages.ReportCrashes():
                findings: asyncio.Future[dict[int, evidence.Finding]] = (
                    asyncio.get_running_loop().create_future()
                )
                reported = codec.decode_report(request, now_s)
                self._inbox.post(messages.AssessReport(reported, findings))
                found = await findings
                known = self._quarantine.entries
                return codec.encode_findings(
                    found,
                    [
                        known[fingerprint]
                        for fingerprint, finding in found.items()
                        if finding is evidence.Finding.HARMFUL
                        and fingerprint in known
                    ],
                )
            case peer_messages.AnnounceSuspect(fingerprint, since_age_s):
                completed_s = await self._ask_dispatcher(
                    fingerprint, now_s - since_age_s
                )
                return _completion(fingerprint, completed_s, now_s)
            case peer_messages.Completion(fingerprint, age_s):
                if age_s is not None:
                    completed = messages.SuspectCompleted(
                        fingerprint, now_s - max(0.0, age_s)
                    )
                    self._record_completion(completed)
                return _completion(fingerprint, None, now_s)
            case peer_messages.QuarantineRequests():
                entries = codec.decode_entries(request)
                self._inbox.post(messages.RequestsQuarantined(entries))
                return peer_messages.QuarantineRequests([])
            case peer_messages.GetQuarantine():
                return codec.encode_entries(self._quarantine.entries.values())
            case _:
                typing.assert_never(request)

    def _update_vms(
        self, vms: Mapping[str, models.Vm], group: asyncio.TaskGroup
    ) -> None:
        """Reports suspects again if they have another judge now."""
        now_s = self._now_s()
        judges_before = {
            fingerprint: self._judges.select(fingerprint, now_s)[0].name
            for fingerprint in self._evidence.suspects(now_s)
        }
        self._judges.update_vms(vms)
        self._metrics.gauge(
            "gateway.suspects.judges", 1 + len(self._judges.others)
        )
        moved = tuple(
            messages.InterruptedRequest(
                fingerprint,
                tuple(self._evidence.all_ends(fingerprint, now_s)),
            )
            for fingerprint, judge in judges_before.items()
            if self._judges.select(fingerprint, now_s)[0].name != judge
        )
        if moved:
            group.create_task(self._report(moved))
        if not self._has_read_peers and self._judges.others:
            self._has_read_peers = True
            group.create_task(self._read_from_peers())

    # Reports of this VM

    async def _report(
        self, requests: tuple[messages.InterruptedRequest, ...]
    ) -> None:
        """Reports requests to their judges, and passes the findings on."""
        now_s = self._now_s()
        by_judge: dict[str, list[messages.InterruptedRequest]] = {}
        candidates: dict[str, list[models.Vm]] = {}
        for request in requests:
            self._evidence.record(
                request.fingerprint, request.ends, request.completed_s
            )
            selected = self._judges.select(request.fingerprint, now_s)
            names = "/".join(vm.name for vm in selected)
            by_judge.setdefault(names, []).append(request)
            candidates[names] = selected
        await asyncio.gather(
            *(
                self._report_to(candidates[names], reported)
                for names, reported in by_judge.items()
            )
        )

    async def _report_to(
        self,
        candidates: list[models.Vm],
        requests: list[messages.InterruptedRequest],
    ) -> None:
        findings: dict[int, evidence.Finding] | None = None
        for vm in candidates:
            if vm is self._local_vm:
                findings = await self._judge(requests)
                break
            findings = await self._ask_judge(vm, requests)
            if findings is not None:
                break
        self._post(messages.RequestsAssessed(findings or {}))

    async def _ask_judge(
        self, vm: models.Vm, requests: list[messages.InterruptedRequest]
    ) -> dict[int, evidence.Finding] | None:
        """Returns the findings of another VM; None if it doesn't respond."""
        now_s = self._now_s()
        known = [
            messages.InterruptedRequest(
                request.fingerprint,
                tuple(self._evidence.all_ends(request.fingerprint, now_s)),
                request.completed_s,
            )
            for request in requests
        ]
        reply = await self._peer_client.ask(
            vm,
            codec.encode_report(known, now_s),
            reply_timeout_s=_REPLY_TIMEOUT_S,
        )
        match reply:
            case result.Ok(peer_messages.Findings() as findings):
                self._merge(codec.decode_entries(findings))
                return codec.decode_findings(findings)
            case result.Ok(other):
                failure: peer_exceptions.PeerFailure = (
                    peer_exceptions.UndecodableMessage(type(other).__name__)
                )
            case result.Err(failure):
                pass
        self._judges.record_failure(vm, self._now_s())
        _LOGGER.warning(
            "judge of a request silent",
            extra={"vm": vm.name, "failure": failure},
        )
        return None

    async def _report_completion(
        self, completed: messages.SuspectCompleted
    ) -> None:
        """Tells the judge of a suspect that a server has completed it."""
        self._record_completion(completed)
        now_s = self._now_s()
        for vm in self._judges.select(completed.fingerprint, now_s):
            if vm is self._local_vm:
                return
            reply = await self._peer_client.ask(
                vm,
                _completion(
                    completed.fingerprint, completed.completed_s, now_s
                ),
            )
            if isinstance(reply, result.Ok):
                return

    def _record_completion(self, completed: messages.SuspectCompleted) -> None:
        self._evidence.record_completion(
            completed.fingerprint, completed.completed_s
        )
        self._announced.pop(completed.fingerprint, None)

    # Judging

    async def _answer(self, report: messages.AssessReport) -> None:
        findings: dict[int, evidence.Finding] = {}
        try:
            for request in report.requests:
                self._evidence.record(
                    request.fingerprint, request.ends, request.completed_s
                )
            findings = await self._judge(report.requests)
        finally:
            if not report.reply.done():
                report.reply.set_result(findings)

    async def _judge(
        self, requests: Iterable[messages.InterruptedRequest]
    ) -> dict[int, evidence.Finding]:
        findings = {}
        harmful = []
        suspects = []
        for request in requests:
            fingerprint = request.fingerprint
            finding = self._find(fingerprint)
            findings[fingerprint] = finding
            match finding:
                case evidence.Finding.HARMFUL:
                    harmful.append(fingerprint)
                case evidence.Finding.SUSPECTED:
                    suspects.append(fingerprint)
                case evidence.Finding.UNSUSPECTED:
                    pass
                case _:
                    typing.assert_never(finding)
        if harmful:
            self._refuse(harmful)
        if suspects:
            await asyncio.gather(*(self._announce(f) for f in suspects))
            findings |= {f: self._find(f) for f in suspects}
        return findings

    def _find(self, fingerprint: int) -> evidence.Finding:
        return self._evidence.find(
            fingerprint,
            self._now_s(),
            was_harmful=fingerprint in self._quarantine.entries,
        )

    async def _announce(self, fingerprint: int) -> None:
        """Asks all VMs whether a server has completed a suspected request."""
        ends = self._evidence.ends(fingerprint, self._now_s())
        if not ends or self._announced.get(fingerprint) == len(ends):
            return
        self._announced[fingerprint] = len(ends)
        if len(self._announced) > announcements.MAX_REMEMBERED:
            self._announced.popitem(last=False)
        self._metrics.count("gateway.suspects.announced")
        _LOGGER.warning(
            "request suspected",
            extra=_describe(fingerprint, ends),
        )
        since_s = ends[0].ended_s
        own_s = await self._ask_dispatcher(fingerprint, since_s)
        ages_s = await self._announcer.ask_for_completions(
            self._judges.others, fingerprint, since_s
        )
        completed_s = max(
            (s for s in (own_s, *ages_s) if s is not None), default=None
        )
        if completed_s is not None:
            self._metrics.count("gateway.suspects.cleared")
            self._record_completion(
                messages.SuspectCompleted(fingerprint, completed_s)
            )

    async def _ask_dispatcher(
        self, fingerprint: int, since_s: float
    ) -> float | None:
        reply: asyncio.Future[float | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._post(messages.SuspectAnnounced(fingerprint, since_s, reply))
        return await reply

    def _refuse(self, harmful: Iterable[int]) -> None:
        """Has all VMs refuse requests, and writes them to the store."""
        entries = []
        for fingerprint in harmful:
            if self._quarantine.left_ms(fingerprint, _unix_ms()) > 0:
                known = self._quarantine.entries[fingerprint]
                self._post(messages.RequestsQuarantined((known,)))
                continue
            ends = self._evidence.all_ends(fingerprint, self._now_s())
            entry = self._quarantine.build_entry(
                fingerprint,
                _unix_ms(),
                servers=[e.server for e in ends],
                reporters=[e.reporter for e in ends],
                request_ids=[e.request_id for e in ends],
            )
            entries.append(entry)
            self._write_entry(messages.WriteEntry(entry))
        if entries:
            self._merge(tuple(entries))
            self._announcer.announce_quarantine(self._judges.others, entries)

    # Refused requests

    def _merge(self, entries: tuple[quarantine.Entry, ...]) -> None:
        """Adds entries, and tells the dispatcher what is new."""
        changed = tuple(self._quarantine.merge(entries, _unix_ms()))
        for entry in changed:
            if entry.is_lifted:
                self._evidence.record_completion(
                    entry.fingerprint, self._now_s()
                )
            _LOGGER.warning(
                "refusal lifted" if entry.is_lifted else "request refused",
                extra={
                    "fingerprint": fingerprints.to_text(entry.fingerprint),
                    "until_ms": entry.until_ms,
                    "servers": entry.servers,
                    "reporters": entry.reporters,
                    "requests": entry.request_ids,
                },
            )
            if self._judges.is_first(entry.fingerprint):
                # The judge that made it may be lost before it can write it.
                self._write_entry(messages.WriteEntry(entry))
        if changed:
            self._post(messages.RequestsQuarantined(changed))
        self._metrics.gauge(
            "gateway.quarantined_requests", self._quarantine.count(_unix_ms())
        )

    async def _read_from_peers(self) -> None:
        """Reads the refused requests of another gateway after the start."""
        for _ in range(_MAX_READS):
            others = self._judges.others
            if others:
                reply = await self._peer_client.ask(
                    random.choice(others), peer_messages.GetQuarantine()
                )
                match reply:
                    case result.Ok(peer_messages.QuarantineRequests() as known):
                        self._merge(codec.decode_entries(known))
                        return
                    case _:
                        pass
            await asyncio.sleep(_READ_PAUSE_S)
        _LOGGER.warning("refused requests not read from any gateway")

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def _describe(
    fingerprint: int, ends: list[evidence.ServerEnd]
) -> dict[str, object]:
    return {
        "fingerprint": fingerprints.to_text(fingerprint),
        "servers": [e.server for e in ends],
        "reporters": sorted({e.reporter for e in ends}),
        "requests": [e.request_id for e in ends],
    }


def _completion(
    fingerprint: int, completed_s: float | None, now_s: float
) -> peer_messages.Completion:
    return peer_messages.Completion(
        fingerprint, None if completed_s is None else now_s - completed_s
    )


def _unix_ms() -> float:
    return time.time() * 1000.0
