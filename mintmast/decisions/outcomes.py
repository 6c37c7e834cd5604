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
class Row:
    """How one kind of evidence is told to the module, and why that is true."""

    outcome: Outcome | None  # None: it plays
    never_ran: bool
    reason: str


TABLE: dict[Evidence, Row] = {
    Evidence.STARTED: Row(None, False, "the host runs it"),
    Evidence.FULL: Row(Outcome.FULL, True, "the host marks the reply: it looked and did not start"),
    Evidence.MOOT: Row(Outcome.NOT_SENT, True, "the host says that nothing was sent on"),
    Evidence.FENCED: Row(Outcome.FULL, True, "the host keeps the ended epoch and marks the reply"),
    Evidence.HOST_ERROR: Row(
        Outcome.ERROR, False, "a reply without the mark does not tell what ran before it"
    ),
    Evidence.BAD_REPLY: Row(Outcome.ERROR, False, "what cannot be read proves nothing"),
    Evidence.REFUSED: Row(Outcome.CONNECT_FAILED, True, "without a connection no byte can have arrived"),
    Evidence.NOT_CONNECTED: Row(
        Outcome.CONNECT_FAILED, True, "no byte is written before the connection stands"
    ),
    Evidence.CUT_UNSENT: Row(
        Outcome.CONNECT_FAILED, True, "the stream counts what the network took: nothing"
    ),
    Evidence.CUT: Row(Outcome.RESET, False, "what the network took may have arrived and run"),
    Evidence.CUT_REPLY: Row(Outcome.RESET, False, "a host that replies has acted; how is lost with the rest"),
    Evidence.SILENT: Row(Outcome.TIMEOUT, False, "it may have run, may run yet, or its answer may be lost"),
    Evidence.LATE_UNSENT: Row(
        Outcome.CONNECT_FAILED, True, "its time ended with nothing sent; the call is dropped"
    ),
    Evidence.UNRECORDED: Row(
        Outcome.NOT_SENT, True, "no byte is written before the intent is durable; the host is not at fault"
    ),
    Evidence.CALLED_OFF: Row(Outcome.CANCELLED, False, "a call-off may come after the start"),
    Evidence.CALLED_OFF_UNSENT: Row(Outcome.CONNECT_FAILED, True, "nothing was sent, and now never is"),
    Evidence.WITHDRAWN: Row(Outcome.NOT_SENT, True, "nothing was sent, and its host had no part in it"),
}


def may_have_run(evidence: Evidence) -> bool:
    """Tell whether the host may hold a session for it, so that it must be ended there."""
    return not TABLE[evidence].never_ran


# What a host tells a gateway's next life of the set-ups that its earlier lives sent


class Word(Enum):
    """What a host tells of a session that it is asked for."""

    PLAYS = "plays"
    RAN = "ran"  # it ran here and is over
    NOT_HERE = "not here"  # it did not run in this process, and will not any more


class Fate(Enum):
    """What became of a set-up of an earlier life."""

    PLAYS = "plays"
    RAN = "ran"
    NEVER_RAN = "never ran"
    UNKNOWN = "unknown"  # it may have run; nobody can tell


@dataclass(slots=True, frozen=True)
class FateRow:
    """What a word proves, and why."""

    fate: Fate
    reason: str


# (the host's word; whether its memory begins before the set-up left)
FATES: dict[tuple[Word, bool], FateRow] = {
    (Word.PLAYS, True): FateRow(Fate.PLAYS, "the host holds it, for this life from now on"),
    (Word.PLAYS, False): FateRow(Fate.PLAYS, "what it holds it holds, however long it has run"),
    (Word.RAN, True): FateRow(Fate.RAN, "the host says so itself"),
    (Word.RAN, False): FateRow(Fate.RAN, "the host says so itself"),
    (Word.NOT_HERE, True): FateRow(
        Fate.NEVER_RAN, "the host remembers all since before it left, and passes over it from now on"
    ),
    (Word.NOT_HERE, False): FateRow(
        Fate.UNKNOWN, "it may have run in a process before this one, of which nobody tells"
    ),
}


def reaches(clock: int, since: int) -> bool:
    """Tell whether a host's memory, from `since` on, covers a set-up sent after the reading `clock`.

    Both are readings of the host's clock in µs, which never goes back, over its restarts too; -1 for none.
    """
    return 0 <= since <= clock
