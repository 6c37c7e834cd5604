"""Tables that map what a gateway observed of a set-up to the outcome that the placement module receives.

A wrong row causes a double charge, because "never ran" lets the module resend or refuse a paid session. A row
says "never ran" only if no byte of the set-up can have reached the host, or if the host itself says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mintmast.interface import Outcome


class Evidence(Enum):
    """What a gateway observed of a set-up attempt."""

    STARTED = "started"  # the host reported that the session runs
    FULL = "full"  # the host reported that it did not run the session: no capacity, or draining
    MOOT = "moot"  # the host reported that the set-up expired before it was forwarded
    FENCED = "fenced"  # the host rejected the set-up: its epoch had been terminated before it arrived
    HOST_ERROR = "host error"  # a complete reply with any other status
    BAD_REPLY = "bad reply"  # a reply that violates the protocol
    REFUSED = "refused"  # the host refused the connection
    NOT_CONNECTED = "not connected"  # the connection timed out
    CUT_UNSENT = "cut unsent"  # the connection broke before a byte of the set-up was sent
    CUT = "cut"  # the connection broke after a byte had been sent
    CUT_REPLY = "cut reply"  # the connection broke within the reply
    SILENT = "silent"  # sent, and no reply came before the attempt's timeout
    LATE_UNSENT = "late unsent"  # the attempt timed out before a byte was sent
    UNRECORDED = "unrecorded"  # the intent could not be made durable in time, so nothing was sent
    CALLED_OFF = "called off"  # the gateway cancelled the attempt after a byte had been sent
    CALLED_OFF_UNSENT = "called off unsent"  # the gateway cancelled the attempt before a byte was sent
    DRAINED = "drained"  # the list told that the host drains or is gone before a byte was sent
    WITHDRAWN = "withdrawn"  # the viewer left before a byte was sent, and the gateway dropped the attempt


@dataclass(slots=True, frozen=True)
class OutcomeRow:
    """The outcome that one kind of evidence proves, and the reason."""

    outcome: Outcome | None  # None: the session plays
    never_ran: bool
    reason: str


OUTCOME_TABLE: dict[Evidence, OutcomeRow] = {
    Evidence.STARTED: OutcomeRow(None, False, "the host runs the session"),
    Evidence.FULL: OutcomeRow(
        Outcome.FULL, True, "the reply is marked: the host checked and did not start it"
    ),
    Evidence.MOOT: OutcomeRow(Outcome.NOT_SENT, True, "the host reports that nothing was forwarded"),
    Evidence.FENCED: OutcomeRow(
        Outcome.FULL, True, "the host remembers the terminated epoch and marks the reply"
    ),
    Evidence.HOST_ERROR: OutcomeRow(
        Outcome.ERROR, False, "a reply without the mark does not show what ran before it"
    ),
    Evidence.BAD_REPLY: OutcomeRow(Outcome.ERROR, False, "an unreadable reply proves nothing"),
    Evidence.REFUSED: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "without a connection no byte can have arrived"
    ),
    Evidence.NOT_CONNECTED: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "no byte is written before the connection is established"
    ),
    Evidence.CUT_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "the stream counts the bytes handed to the network: none"
    ),
    Evidence.CUT: OutcomeRow(Outcome.RESET, False, "bytes handed to the network may have arrived and run"),
    Evidence.CUT_REPLY: OutcomeRow(
        Outcome.RESET, False, "a host that replies has acted; the result is unknown"
    ),
    Evidence.SILENT: OutcomeRow(
        Outcome.TIMEOUT, False, "it may have run, may still run, or the reply may be lost"
    ),
    Evidence.LATE_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "the attempt timed out with nothing sent; the call is dropped"
    ),
    Evidence.UNRECORDED: OutcomeRow(
        Outcome.NOT_SENT, True, "no byte is written before the intent is durable; the host is not at fault"
    ),
    Evidence.CALLED_OFF: OutcomeRow(Outcome.CANCELLED, False, "the cancellation may arrive after the start"),
    Evidence.CALLED_OFF_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "nothing was sent and nothing will be"
    ),
    Evidence.DRAINED: OutcomeRow(Outcome.FULL, True, "nothing was sent, and the host takes no set-ups"),
    Evidence.WITHDRAWN: OutcomeRow(Outcome.NOT_SENT, True, "nothing was sent, and the host was not involved"),
}


def may_have_run(evidence: Evidence) -> bool:
    """Return whether the host may hold the session, which must then be terminated there."""
    return not OUTCOME_TABLE[evidence].never_ran


# What a host reports to a restarted gateway about the set-ups of the gateway's earlier generations


class HostReport(Enum):
    """A host's report on a session that it is queried about."""

    PLAYS = "plays"
    RAN = "ran"  # it ran here and has ended
    NOT_HERE = "not here"  # it did not run in this process, and from now on cannot


class RecoveryOutcome(Enum):
    """What became of a set-up that an earlier generation sent."""

    PLAYS = "plays"
    RAN = "ran"
    NEVER_RAN = "never ran"
    UNKNOWN = "unknown"  # it may have run, and no source can tell


@dataclass(slots=True, frozen=True)
class RecoveryRow:
    """What a host's report proves, and the reason."""

    outcome: RecoveryOutcome
    reason: str


# (the host's report, whether its memory begins before the set-up was sent)
RECOVERY_TABLE: dict[tuple[HostReport, bool], RecoveryRow] = {
    (HostReport.PLAYS, True): RecoveryRow(
        RecoveryOutcome.PLAYS, "the host holds it, from now on for this generation"
    ),
    (HostReport.PLAYS, False): RecoveryRow(
        RecoveryOutcome.PLAYS, "the host holds it, however short its memory"
    ),
    (HostReport.RAN, True): RecoveryRow(RecoveryOutcome.RAN, "the host itself reports it"),
    (HostReport.RAN, False): RecoveryRow(RecoveryOutcome.RAN, "the host itself reports it"),
    (HostReport.NOT_HERE, True): RecoveryRow(
        RecoveryOutcome.NEVER_RAN,
        "the host's memory covers the time of sending, and it rejects the set-up from now on",
    ),
    (HostReport.NOT_HERE, False): RecoveryRow(
        RecoveryOutcome.UNKNOWN,
        "it may have run in an earlier process of the host, of which nothing is known",
    ),
}


def memory_covers(sent_after: int, memory_since: int) -> bool:
    """Return whether a host's memory, from `memory_since` on, covers a set-up sent after `sent_after`.

    Both are readings of the host's clock in µs (-1 for none), which never goes back, even over restarts.
    """
    return 0 <= memory_since <= sent_after
