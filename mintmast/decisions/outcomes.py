"""What became of a set-up, as the module must hear it: one row an observation, each with its reason.

A wrong row is a double charge: "never ran" lets the module send a paid session again or refuse it. So a row
says "never ran" only where no byte of the set-up can have reached the host, or where the host itself says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mintmast.interface import Outcome


class Evidence(Enum):
    """What a gateway saw of a set-up."""

    STARTED = "started"  # the host said that the session runs
    FULL = "full"  # the host said that it did not run it: no room, or draining
    MOOT = "moot"  # the host said that it never left: its time was over before it was sent on
    FENCED = "fenced"  # the host said that it did not run it: the epoch had been ended before it came
    HOST_ERROR = "host error"  # a whole reply with any other status
    BAD_REPLY = "bad reply"  # a reply that is not in the protocol
    REFUSED = "refused"  # no connection: the host said no
    NOT_CONNECTED = "not connected"  # no connection within its time
    CUT_UNSENT = "cut unsent"  # the connection broke before a byte of the set-up left
    CUT = "cut"  # the connection broke after a byte had left
    CUT_REPLY = "cut reply"  # the connection broke within the reply
    SILENT = "silent"  # sent, and nothing came within the attempt's time
    LATE_UNSENT = "late unsent"  # the attempt's time ran out before a byte left
    UNRECORDED = "unrecorded"  # its intent could not be made durable in time, so nothing was sent
    CALLED_OFF = "called off"  # the gateway called it off after a byte had left
    CALLED_OFF_UNSENT = "called off unsent"  # the gateway called it off before a byte left
    WITHDRAWN = "withdrawn"  # its viewer went before a byte left, and the gateway let it go


@dataclass(slots=True, frozen=True)
class OutcomeRow:
    """How one kind of evidence is told to the module, and why that is true."""

    outcome: Outcome | None  # None: it plays
    never_ran: bool
    reason: str


OUTCOME_TABLE: dict[Evidence, OutcomeRow] = {
    Evidence.STARTED: OutcomeRow(None, False, "the host runs it"),
    Evidence.FULL: OutcomeRow(Outcome.FULL, True, "the host marks the reply: it looked and did not start"),
    Evidence.MOOT: OutcomeRow(Outcome.NOT_SENT, True, "the host says that nothing was sent on"),
    Evidence.FENCED: OutcomeRow(Outcome.FULL, True, "the host keeps the ended epoch and marks the reply"),
    Evidence.HOST_ERROR: OutcomeRow(
        Outcome.ERROR, False, "a reply without the mark does not tell what ran before it"
    ),
    Evidence.BAD_REPLY: OutcomeRow(Outcome.ERROR, False, "what cannot be read proves nothing"),
    Evidence.REFUSED: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "without a connection no byte can have arrived"
    ),
    Evidence.NOT_CONNECTED: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "no byte is written before the connection stands"
    ),
    Evidence.CUT_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "the stream counts what the network took: nothing"
    ),
    Evidence.CUT: OutcomeRow(Outcome.RESET, False, "what the network took may have arrived and run"),
    Evidence.CUT_REPLY: OutcomeRow(
        Outcome.RESET, False, "a host that replies has acted; how is lost with the rest"
    ),
    Evidence.SILENT: OutcomeRow(
        Outcome.TIMEOUT, False, "it may have run, may run yet, or its answer may be lost"
    ),
    Evidence.LATE_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "its time ended with nothing sent; the call is dropped"
    ),
    Evidence.UNRECORDED: OutcomeRow(
        Outcome.NOT_SENT, True, "no byte is written before the intent is durable; the host is not at fault"
    ),
    Evidence.CALLED_OFF: OutcomeRow(Outcome.CANCELLED, False, "a call-off may come after the start"),
    Evidence.CALLED_OFF_UNSENT: OutcomeRow(
        Outcome.CONNECT_FAILED, True, "nothing was sent, and now never is"
    ),
    Evidence.WITHDRAWN: OutcomeRow(
        Outcome.NOT_SENT, True, "nothing was sent, and its host had no part in it"
    ),
}


def may_have_run(evidence: Evidence) -> bool:
    """Tell whether the host may hold a session for it, so that it must be ended there."""
    return not OUTCOME_TABLE[evidence].never_ran


# What a host tells a gateway's next life of the set-ups that its earlier lives sent


class HostReport(Enum):
    """What a host tells of a session that it is asked for."""

    PLAYS = "plays"
    RAN = "ran"  # it ran here and is over
    NOT_HERE = "not here"  # it did not run in this process, and will not any more


class RecoveryOutcome(Enum):
    """What became of a set-up of an earlier life."""

    PLAYS = "plays"
    RAN = "ran"
    NEVER_RAN = "never ran"
    UNKNOWN = "unknown"  # it may have run; nobody can tell


@dataclass(slots=True, frozen=True)
class RecoveryRow:
    """What a word proves, and why."""

    outcome: RecoveryOutcome
    reason: str


# (the host's word; whether its memory begins before the set-up left)
RECOVERY_TABLE: dict[tuple[HostReport, bool], RecoveryRow] = {
    (HostReport.PLAYS, True): RecoveryRow(
        RecoveryOutcome.PLAYS, "the host holds it, for this life from now on"
    ),
    (HostReport.PLAYS, False): RecoveryRow(
        RecoveryOutcome.PLAYS, "what it holds it holds, however long it has run"
    ),
    (HostReport.RAN, True): RecoveryRow(RecoveryOutcome.RAN, "the host says so itself"),
    (HostReport.RAN, False): RecoveryRow(RecoveryOutcome.RAN, "the host says so itself"),
    (HostReport.NOT_HERE, True): RecoveryRow(
        RecoveryOutcome.NEVER_RAN,
        "the host remembers all since before it left, and passes over it from now on",
    ),
    (HostReport.NOT_HERE, False): RecoveryRow(
        RecoveryOutcome.UNKNOWN, "it may have run in a process before this one, of which nobody tells"
    ),
}


def memory_covers(sent_after: int, memory_since: int) -> bool:
    """Tell whether a host's memory, from `since` on, covers a set-up sent after the reading `clock`.

    Both are readings of the host's clock in µs, which never goes back, over its restarts too; -1 for none.
    """
    return 0 <= memory_since <= sent_after
