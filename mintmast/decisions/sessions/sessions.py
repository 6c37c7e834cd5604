"""A session at its gateway: its state machine, its record, and the index of all sessions.

`TRANSITIONS` is the complete state machine. The book follows it, the model check (`tests/test_sessions.py`)
explores it with hosts that crash and a network that loses, delays and duplicates messages, and
`docs/design/book.md` documents it. A signal that has no transition from the present stage is a programming
error: callers check the stage first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mintmast.decisions.messages import ViewerRequest
from mintmast.decisions.sessions.lease import Lease
from mintmast.interface import Effect


def format_session_name(gateway: str, generation: int, number: int) -> str:
    """Return a session's name on the wire, unique over all gateways and their generations."""
    return f"{gateway}-{generation:x}-{number}"


class Stage(Enum):
    """The state of a session."""

    ASKED = "asked"  # no attempt is under way; the module decides, or a move holds the place that it chose
    OUT = "out"  # one attempt is under way
    SPENT = "spent"  # an attempt may have run and the class must not run twice: it can only be closed
    PLAYS = "plays"
    OVER = "over"


class Signal(Enum):
    """An input of the session's state machine."""

    SENT = "sent"  # the module has chosen a host
    STARTED = "started"  # the host reported that it runs
    UNWATCHED = "unwatched"  # the host reported that it runs, but no viewer waits for it any more
    NEVER_RAN = "never ran"  # the attempt provably did not run
    MAY_HAVE_RUN = "may have run"
    CALLED_OFF = "called off"  # the module cancels the attempt
    CLOSED = "closed"  # refused, failed, or its place given back
    ENDED = "ended"  # ended at its host: by the host's report, with its process, or with its lease
    TAKEN_OFF = "taken off"  # the gateway terminates it at its host


class Action(Enum):
    """What the book executes on a transition."""

    SET_UP = "set up"
    END = "end"  # terminate it at the host until that is confirmed
    CALL_OFF = "call off"


_S, _G, _A = Stage, Signal, Action
# (stage, signal): (next stage, actions)
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
# a session of a class that may be set up again can be resent where others can only be closed
FREE_TRANSITIONS = {**TRANSITIONS, (_S.OUT, _G.MAY_HAVE_RUN): (_S.ASKED, (_A.END,))}


class TransitionError(AssertionError):
    """A signal without a transition from the stage, such as a second attempt while one is under way."""


def transition_for(stage: Stage, signal: Signal, is_free: bool) -> tuple[Stage, tuple[Action, ...]]:
    """Return the next stage and the actions; `is_free` says that the class may be set up again.

    Raises TransitionError for a signal without a transition from the stage.
    """
    try:
        return (FREE_TRANSITIONS if is_free else TRANSITIONS)[stage, signal]
    except KeyError:
        raise TransitionError(
            f"session in stage {stage.value!r} has no transition for {signal.value!r}"
        ) from None


@dataclass(slots=True, eq=False)
class Session:
    """One session; the comments name the part that writes each group of fields."""

    number: int
    request: ViewerRequest
    deadline: int  # µs; when the viewer's timeout expires
    effect: Effect
    rung: int = 0  # written by the book, as the module decides
    waiting_requests: dict[int, int] = field(default_factory=dict)  # by `requests`: id, deadline
    # written by `setups`
    stage: Stage = Stage.ASKED
    server: bytes | None = None
    epoch: int = 0
    attempts: int = 0
    sent_at: int = 0
    awaits_record: bool = False  # the attempt waits until its intent is durable; nothing has been sent
    refusal_reason: str = ""  # the reason of a refusal other than lack of capacity
    first_played_at: int = 0  # µs; when it first played, at whichever host
    may_have_run: bool = False  # set when it is closed: an attempt may have run
    lease: Lease | None = None  # written by `leases`

    @property
    def is_free(self) -> bool:
        """Return whether it may be set up again even if an attempt has run."""
        return self.effect is Effect.FREE

    @property
    def has_attempt_out(self) -> bool:
        """Return whether an attempt is under way."""
        return self.stage is Stage.OUT

    @property
    def is_playing(self) -> bool:
        """Return whether it plays."""
        return self.stage is Stage.PLAYS

    def apply_signal(self, signal: Signal) -> tuple[Action, ...]:
        """Apply a signal and return the actions to execute. Raises TransitionError."""
        before = self.stage
        self.stage, actions = transition_for(before, signal, self.is_free)
        self.may_have_run = self.stage is Stage.OVER and before is not Stage.ASKED
        return actions


class Sessions:
    """All open sessions by number, and the playing ones by host."""

    def __init__(self) -> None:
        self.by_number: dict[int, Session] = {}
        self._playing_by_host: dict[bytes, dict[int, Session]] = {}
        self._last_number = 0

    def open(self, request: ViewerRequest, deadline: int, effect: Effect) -> Session:
        """Open a session with the next number."""
        self._last_number += 1
        session = self.by_number[self._last_number] = Session(self._last_number, request, deadline, effect)
        return session

    def get(self, number: int) -> Session | None:
        """Return an open session, None if there is none of that number."""
        return self.by_number.get(number)

    def add_playing(self, session: Session, server: bytes) -> None:
        """Index a session that started to play at its host."""
        self._playing_by_host.setdefault(server, {})[session.number] = session

    def playing_at(self, server: bytes) -> dict[int, Session]:
        """Return the sessions that play at a host; the caller must not change the mapping."""
        return self._playing_by_host.get(server, {})

    def remove(self, session: Session) -> None:
        """Remove a closed session from both indexes."""
        self.by_number.pop(session.number, None)
        if session.server is not None:
            at = self._playing_by_host.get(session.server)
            if at is not None:
                at.pop(session.number, None)
                if not at:
                    del self._playing_by_host[session.server]
