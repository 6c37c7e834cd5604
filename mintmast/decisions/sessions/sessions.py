"""A session at its gateway: the states as one table, the record, and where each session is found.

`TABLE` is the whole machine. The book follows it, the model check (`tests/test_sessions.py`) walks it against
hosts that die and a network that loses, delays and repeats, and `docs/design/book.md` shows it. A signal that
the table does not have for a state is an error of the program, not an input: whoever raises one has looked at
the stage before.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mintmast.decisions.messages import ViewerRequest
from mintmast.decisions.sessions.lease import Lease
from mintmast.interface import Effect


def format_session_name(gateway: str, generation: int, number: int) -> str:
    """Give a session's name on wires: unique over gateways and their lives."""
    return f"{gateway}-{generation:x}-{number}"


class Stage(Enum):
    """Where a session stands."""

    ASKED = "asked"  # nothing is out; the module decides, or a move holds the place that it gave
    OUT = "out"  # one attempt is out
    SPENT = "spent"  # an attempt may have run and the class must not run twice: it can only be closed
    PLAYS = "plays"
    OVER = "over"


class Signal(Enum):
    """What happens to a session."""

    SENT = "sent"  # the module has chosen a host
    STARTED = "started"  # the host says that it runs
    UNWATCHED = "unwatched"  # the same, but nobody is left to watch it
    NEVER_RAN = "never ran"  # the attempt provably did not run
    MAY_HAVE_RUN = "may have run"
    CALLED_OFF = "called off"  # the module calls the attempt off
    CLOSED = "closed"  # refused, failed, or its place given back
    ENDED = "ended"  # over at its host: by the host's word, with its process, or with its lease
    TAKEN_OFF = "taken off"  # the gateway ends it at its host


class Action(Enum):
    """What follows from a signal."""

    SET_UP = "set up"
    END = "end"  # see to it that the host holds it no more
    CALL_OFF = "call off"


_S, _G, _A = Stage, Signal, Action
# (stage, signal): next stage, acts
TRANSITIONS: dict[tuple[Stage, Signal], tuple[Stage, tuple[Action, ...]]] = {
    (_S.ASKED, _G.SENT): (_S.OUT, (_A.SET_UP,)),
    (_S.ASKED, _G.CLOSED): (_S.OVER, ()),
    (_S.OUT, _G.STARTED): (_S.PLAYS, ()),
    (_S.OUT, _G.UNWATCHED): (_S.OVER, (_A.END,)),
    (_S.OUT, _G.NEVER_RAN): (_S.ASKED, ()),
    (_S.OUT, _G.MAY_HAVE_RUN): (_S.SPENT, (_A.END,)),
    (_S.OUT, _G.CALLED_OFF): (_S.OVER, (_A.CALL_OFF, _A.END)),
    (_S.SPENT, _G.CLOSED): (_S.OVER, ()),
    (_S.PLAYS, _G.ENDED): (_S.OVER, ()),
    (_S.PLAYS, _G.TAKEN_OFF): (_S.OVER, (_A.END,)),
}
# a class that may be set up again goes on where others are spent
FREE_TRANSITIONS = {**TRANSITIONS, (_S.OUT, _G.MAY_HAVE_RUN): (_S.ASKED, (_A.END,))}


class TransitionError(AssertionError):
    """A signal that cannot come at the stage: two attempts out, or a spent session sent again."""


def transition_for(stage: Stage, signal: Signal, is_free: bool) -> tuple[Stage, tuple[Action, ...]]:
    """Give the next stage and what to do; `free` tells that the class may be set up again.

    Raises StepError for a signal that the stage does not know.
    """
    try:
        return (FREE_TRANSITIONS if is_free else TRANSITIONS)[stage, signal]
    except KeyError:
        raise TransitionError(f"{signal.value} at a session that is {stage.value}") from None


@dataclass(slots=True, eq=False)
class Session:
    """One session; behind each group of fields stands the part that writes them."""

    number: int
    request: ViewerRequest
    deadline: int  # µs; a viewer waits no longer
    effect: Effect
    rung: int = 0  # the book, by the module's word
    waiting_requests: dict[int, int] = field(default_factory=dict)  # asks: ask and its deadline
    # set-ups
    stage: Stage = Stage.ASKED
    server: bytes | None = None
    epoch: int = 0
    attempts: int = 0
    sent_at: int = 0
    awaits_record: bool = False  # its attempt waits for its intent to be durable; nothing has left
    refusal_reason: str = ""  # what a refusal rests on, where it is not want of room
    first_played_at: int = 0  # when it first played, also at the host from which it was moved
    may_have_run: bool = False  # when it was over, something of it may have run
    lease: Lease | None = None  # leases

    @property
    def is_free(self) -> bool:
        """Tell whether it may be set up again, whatever ran."""
        return self.effect is Effect.FREE

    @property
    def has_attempt_out(self) -> bool:
        """Tell whether an attempt is out."""
        return self.stage is Stage.OUT

    @property
    def is_playing(self) -> bool:
        """Tell whether it plays."""
        return self.stage is Stage.PLAYS

    def apply_signal(self, signal: Signal) -> tuple[Action, ...]:
        """Go on by the table; give what follows. Raises StepError."""
        before = self.stage
        self.stage, actions = transition_for(before, signal, self.is_free)
        self.may_have_run = self.stage is Stage.OVER and before is not Stage.ASKED
        return actions


class Sessions:
    """All sessions that are not over, by number and, of those that play, by host."""

    def __init__(self) -> None:
        self.by_number: dict[int, Session] = {}
        self._playing_by_host: dict[bytes, dict[int, Session]] = {}
        self._last_number = 0

    def open(self, request: ViewerRequest, deadline: int, effect: Effect) -> Session:
        """Begin a session."""
        self._last_number += 1
        session = self.by_number[self._last_number] = Session(self._last_number, request, deadline, effect)
        return session

    def get(self, number: int) -> Session | None:
        """Give a session that is not over."""
        return self.by_number.get(number)

    def add_playing(self, session: Session, server: bytes) -> None:
        """Find it at its host from now on."""
        self._playing_by_host.setdefault(server, {})[session.number] = session

    def playing_at(self, server: bytes) -> dict[int, Session]:
        """Give the sessions that play at a host; not to be changed."""
        return self._playing_by_host.get(server, {})

    def remove(self, session: Session) -> None:
        """Find it no more."""
        self.by_number.pop(session.number, None)
        if session.server is not None:
            at = self._playing_by_host.get(session.server)
            if at is not None:
                at.pop(session.number, None)
                if not at:
                    del self._playing_by_host[session.server]
