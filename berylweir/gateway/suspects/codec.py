"""Translates messages about suspects between gateways and their tasks.

Gateways have different clocks, so times are sent as ages.
"""

from collections.abc import Iterable

from berylweir.crash_suspects import evidence
from berylweir.crash_suspects import quarantine
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.suspects import messages

_NEVER_S = float("-inf")


def encode_report(
    requests: Iterable[messages.InterruptedRequest], now_s: float
) -> peers.ReportCrashes:
    """Returns the message that reports interrupted requests.

    Args:
        requests: The requests.
        now_s: Time on the loop's clock, in seconds.
    """
    return peers.ReportCrashes(
        [
            peers.InterruptedRequest(
                request.fingerprint,
                [
                    peers.ServerEnd(
                        end.server,
                        end.born_ms,
                        now_s - end.sent_s,
                        now_s - end.ended_s,
                        end.reporter,
                        end.request_id,
                    )
                    for end in request.ends
                ],
                None
                if request.completed_s == _NEVER_S
                else now_s - request.completed_s,
            )
            for request in requests
        ]
    )


def decode_report(
    report: peers.ReportCrashes, now_s: float
) -> tuple[messages.InterruptedRequest, ...]:
    """Returns the interrupted requests that a message reports.

    Args:
        report: The message.
        now_s: Time on the loop's clock, in seconds.
    """
    return tuple(
        messages.InterruptedRequest(
            request.fingerprint,
            tuple(
                evidence.ServerEnd(
                    end.server,
                    end.born_ms,
                    now_s - max(0.0, end.sent_age_s, end.ended_age_s),
                    now_s - max(0.0, end.ended_age_s),
                    end.reporter,
                    end.request_id,
                )
                for end in request.ends
            ),
            _NEVER_S
            if request.completed_age_s is None
            else now_s - max(0.0, request.completed_age_s),
        )
        for request in report.requests
    )


def encode_findings(
    findings: dict[int, evidence.Finding],
    entries: Iterable[quarantine.Entry],
) -> peers.Findings:
    """Returns the message that answers a report.

    Args:
        findings: Finding for each request, by fingerprint.
        entries: Entries of those that are refused.
    """
    return peers.Findings(
        {f: x.value for f, x in findings.items()},
        [_encode_entry(entry) for entry in entries],
    )


def decode_findings(message: peers.Findings) -> dict[int, evidence.Finding]:
    """Returns the findings of a message, without those that are unknown."""
    known = {finding.value: finding for finding in evidence.Finding}
    return {
        fingerprint: known[value]
        for fingerprint, value in message.findings.items()
        if value in known
    }


def encode_entries(
    entries: Iterable[quarantine.Entry],
) -> peers.QuarantineRequests:
    """Returns the message that says which requests are refused."""
    return peers.QuarantineRequests([_encode_entry(e) for e in entries])


def _encode_entry(entry: quarantine.Entry) -> peers.QuarantineEntry:
    return peers.QuarantineEntry(
        entry.fingerprint,
        entry.until_ms,
        entry.duration_ms,
        list(entry.servers),
        list(entry.reporters),
        list(entry.request_ids),
    )


def decode_entries(
    message: peers.QuarantineRequests | peers.Findings,
) -> tuple[quarantine.Entry, ...]:
    """Returns the refused requests that a message names."""
    return tuple(
        quarantine.Entry(
            entry.fingerprint,
            entry.until_ms,
            entry.duration_ms,
            tuple(entry.servers),
            tuple(entry.reporters),
            tuple(entry.request_ids),
        )
        for entry in message.entries
    )
