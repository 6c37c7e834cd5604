"""State machine of platform requests: turns observations into controller events and outgoing messages.

A call is one platform request with its eight-byte call reference (as in ITU-T Q.931), from its set-up to the
end of its session. The transition table only translates evidence; the controller decides on host, rung,
retries, refusal, retry advice and moves. Free of I/O: the caller passes the time in µs and carries out the
commands that are returned.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from mintmast import interface as api
from mintmast.decide import Controller
from mintmast.decisions.outcomes import TABLE as OUTCOMES
from mintmast.decisions.outcomes import Evidence
from mintmast.interface import NoteKind, Outcome


class Stage(Enum):
    """State of a call. The values are keys of log lines."""

    ASKED = "asked"  # the controller has the request and no attempt is in progress
    OUT = "out"  # an attempt is in progress
    STANDING = "standing"  # answered; the session is playing
    ENDING = "ending"  # the viewer no longer waits, and the attempt is still in progress


class Seen(Enum):
    """Input event of a call's state machine."""

    STARTED = "started"  # the host answered the attempt
    ENDED = "ended"  # the attempt ended without an answer
    LEFT = "left"  # the viewer cancelled the request, released the session or disconnected
    OVER = "over"  # the session ended at its host, or its host died


class Owed(Enum):
    """A message that a transition sends."""

    ANSWER = "answer to the viewer"
    RELEASE = "release to the viewer"
    CUT = "release to the host"


class Tell(Enum):
    """The event that a transition passes to the controller."""

    PLAYING = "playing"
    GONE = "viewer gone"
    END = "attempt end"
    CLOSED = "attempt end, nothing more owed"


@dataclass(slots=True, frozen=True)
class Step:
    """A row of the table: next state (None removes the call), controller event and messages to send."""

    to: Stage | None
    tell: Tell
    owed: tuple[Owed, ...] = ()


# Events without a row are ignored: they come from duplicate, late and crossing messages.
TABLE: dict[tuple[Stage, Seen], Step] = {
    (Stage.OUT, Seen.STARTED): Step(Stage.STANDING, Tell.PLAYING, (Owed.ANSWER,)),
    (Stage.OUT, Seen.ENDED): Step(Stage.ASKED, Tell.END),
    (Stage.OUT, Seen.LEFT): Step(Stage.ENDING, Tell.GONE),
    (Stage.ENDING, Seen.STARTED): Step(None, Tell.CLOSED, (Owed.CUT,)),
    (Stage.ENDING, Seen.ENDED): Step(None, Tell.CLOSED),
    (Stage.STANDING, Seen.LEFT): Step(None, Tell.CLOSED, (Owed.CUT,)),
    (Stage.STANDING, Seen.OVER): Step(None, Tell.CLOSED, (Owed.RELEASE,)),
}


@dataclass(slots=True, frozen=True)
class Wish:
    """A viewer's parsed set-up. Hosts get the class, title and description in `passed` unchanged."""

    call: bytes
    service: int
    tenant: int
    title: int
    budget: int
    home: int
    copies: int
    best: int
    hint: int = 0
    again: bool = False
    moved: bool = False
    passed: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class SendSetUp:
    """Send a set-up to `host`, with a timeout at `until`. `passed` is forwarded unchanged."""

    call: bytes
    host: bytes
    attempt: int
    rung: int
    until: int
    passed: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class CallOff:
    """Cancel the attempt in progress. No result of it is reported."""

    call: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class Cut:
    """Release a session at its host."""

    call: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class TellRung:
    """Send the host a new rung for a playing session."""

    call: bytes
    host: bytes
    rung: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer the viewer: the session is established and the host described it so."""

    call: bytes
    viewer: int
    description: bytes


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the viewer's request, with advice to retry after `retry_after` µs."""

    call: bytes
    viewer: int
    retry_after: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Report to the viewer that the set-up failed."""

    call: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release the session to the viewer; `whole` if it played to its end."""

    call: bytes
    viewer: int
    whole: bool


@dataclass(slots=True, frozen=True)
class MoveAway:
    """Ask the viewer to move: the session ends here and the viewer sets it up again."""

    call: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class Wake:
    """Start a timer that fires with `token` after `delay` µs."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Say:
    """Write a message of the controller to the log."""

    text: str


Command = SendSetUp | CallOff | Cut | TellRung | Answer | Refuse | Fail | Release | MoveAway | Wake | Say


@dataclass(slots=True)
class Call:
    """A set-up in progress or a playing session.

    `number` identifies the call to the controller, and `viewer` is the number of the viewer's connection.
    """

    id: bytes
    number: int
    viewer: int
    deadline: int
    asked: int
    passed: tuple[bytes, ...] = ()
    stage: Stage = Stage.ASKED
    host: bytes = b""
    attempt: int = -1
    rung: int = 0
    sent: int = 0
    since: int = 0


@dataclass(slots=True, frozen=True)
class _Sight:
    """An input event with its data."""

    seen: Seen
    outcome: Outcome = Outcome.SERVED
    load: tuple[float, ...] = ()
    description: bytes = b""


@dataclass(slots=True)
class Calls:
    """All calls of a gateway, with its controller."""

    module: Controller
    by_id: dict[bytes, Call] = field(default_factory=dict)
    _by_number: dict[int, Call] = field(default_factory=dict)
    _at: dict[bytes, dict[int, Call]] = field(default_factory=dict)
    _numbers: int = 0
    _out: list[Command] = field(default_factory=list)

    # Viewers

    def ask(self, now: int, wish: Wish, viewer: int, since: int | None = None) -> list[Command]:
        """Pass a new set-up to the controller. Its time budget starts at `since`, or now if that is None.

        Raises ValueError if its call reference is in use.
        """
        spent = now - since if since is not None else 0
        call = self._new(now - spent, wish, viewer)
        call.passed = wish.passed
        request = api.SessionRequest(
            call.number,
            wish.service,
            wish.tenant,
            wish.title,
            wish.budget - spent,
            wish.home,
            wish.copies,
            wish.best,
            wish.hint,
            wish.moved,
            wish.again,
        )
        return self._feed(now, request)

    def found(self, now: int, wish: Wish, viewer: int, host: bytes) -> list[Command]:
        """Adopt a session that is already playing at `host`. Raises ValueError if its id is in use."""
        call = self._new(now, wish, viewer)
        call.stage, call.host, call.attempt, call.since = Stage.STANDING, host, 0, now
        self._at.setdefault(host, {})[call.number] = call
        event = api.SessionOpen(
            call.number, wish.service, wish.tenant, wish.title, wish.best, host, wish.hint
        )
        return self._feed(now, event)

    def left(self, now: int, call_id: bytes) -> list[Command]:
        """Cancel the set-up or end the session: the viewer no longer waits or watches."""
        call = self.by_id.get(call_id)
        return self._take(now, call, _Sight(Seen.LEFT, Outcome.CANCELLED)) if call is not None else []

    # Hosts

    def started(self, now: int, call_id: bytes, host: bytes, description: bytes) -> list[Command]:
        """Process a host's answer to an attempt."""
        call = self._of(call_id, host)
        return self._take(now, call, _Sight(Seen.STARTED, Outcome.CANCELLED, (), description)) if call else []

    def ended(
        self, now: int, call_id: bytes, host: bytes, evidence: Evidence, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Process the end of an attempt without a session, classified by its evidence."""
        call = self._of(call_id, host)
        outcome = OUTCOMES[evidence].outcome
        if call is None or outcome is None:
            return []
        return self._take(now, call, _Sight(Seen.ENDED, outcome, load))

    def over(
        self, now: int, call_id: bytes, host: bytes, outcome: Outcome, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Process a session's end at its host: SERVED if complete, RESET if cut, CANCELLED by its viewer."""
        call = self._of(call_id, host)
        return self._take(now, call, _Sight(Seen.OVER, outcome, load)) if call is not None else []

    def noted(self, now: int, call_id: bytes, host: bytes, kind: NoteKind, value: float) -> list[Command]:
        """Pass a host's note about a playing session to the controller."""
        call = self._of(call_id, host)
        if call is None or call.stage is not Stage.STANDING:
            return []
        return self._feed(now, api.Note(call.number, host, kind, value))

    def host_dead(self, now: int, host: bytes, before: int | None = None) -> list[Command]:
        """End the host's sessions because its process died; with `before`, only those older than that."""
        commands: list[Command] = []
        for call in list(self._at.get(host, {}).values()):
            if call.stage is Stage.STANDING and (before is None or call.since < before):
                commands += self._take(now, call, _Sight(Seen.OVER, Outcome.RESET))
        return commands

    # Other inputs of the controller

    def start(self, now: int) -> list[Command]:
        """Notify the controller that the gateway has started."""
        return self._feed(now, api.Started())

    def list(self, now: int, news: api.ServerList) -> list[Command]:
        """Pass a host list update to the controller."""
        return self._feed(now, news)

    def woken(self, now: int, token: int) -> list[Command]:
        """Pass a timer that has fired to the controller."""
        return self._feed(now, api.TimerFired(token))

    def standing_at(self, host: bytes) -> bool:
        """Return whether a session is playing at the host."""
        return any(call.stage is Stage.STANDING for call in self._at.get(host, {}).values())

    def counts(self) -> dict[str, int]:
        """Count the calls in each state."""
        counts = {stage.value: 0 for stage in Stage}
        for call in self.by_id.values():
            counts[call.stage.value] += 1
        return counts

    # Transitions and actions

    def _new(self, now: int, wish: Wish, viewer: int) -> Call:
        if wish.call in self.by_id:
            raise ValueError(f"call reference {wish.call.hex()} is already in use")
        self._numbers += 1
        call = Call(wish.call, self._numbers, viewer, now + wish.budget, now)
        self.by_id[call.id] = self._by_number[call.number] = call
        return call

    def _of(self, call_id: bytes, host: bytes) -> Call | None:
        """Return the call if its attempt or session is at `host`; from another host a message is late."""
        call = self.by_id.get(call_id)
        return call if call is not None and call.host == host else None

    def _take(self, now: int, call: Call, sight: _Sight) -> list[Command]:
        step = TABLE.get((call.stage, sight.seen))
        if step is None:
            return []
        owed: list[Command] = []
        for each in step.owed:
            if each is Owed.ANSWER:
                owed.append(Answer(call.id, call.viewer, sight.description))
            elif each is Owed.CUT:
                owed.append(Cut(call.id, call.host))
            elif sight.outcome is not Outcome.CANCELLED:  # a viewer that ended its session gets no release
                owed.append(Release(call.id, call.viewer, sight.outcome is Outcome.SERVED))
        event = self._event(now, call, step.tell, sight)
        call.stage = step.to or call.stage
        if step.to is Stage.STANDING:
            call.since, call.passed = now, ()
        elif step.to is not Stage.ENDING:
            self._off(call)
        if step.to is None:
            self._forget(call)
        return owed + self._feed(now, event)

    def _event(self, now: int, call: Call, tell: Tell, sight: _Sight) -> api.Event:
        took = now - call.sent
        if tell is Tell.PLAYING:
            return api.Playing(call.number, call.attempt, call.host, took)
        if tell is Tell.GONE:
            return api.ViewerGone(call.number)
        done = tell is Tell.CLOSED
        return api.AttemptEnd(call.number, call.attempt, call.host, sight.outcome, took, done, sight.load)

    def _off(self, call: Call) -> None:
        here = self._at.get(call.host)
        if here is not None and here.pop(call.number, None) is not None and not here:
            del self._at[call.host]

    def _forget(self, call: Call) -> None:
        self._off(call)
        self.by_id.pop(call.id, None)
        self._by_number.pop(call.number, None)

    def _feed(self, now: int, event: api.Event) -> list[Command]:
        """Pass an event to the controller and turn its actions into commands.

        An action can cause another event, which is processed before this returns.
        """
        commands: list[Command] = []
        events: deque[api.Event] = deque((event,))
        while events:
            for action in self.module.handle(now, events.popleft()):
                self._act(now, action, commands, events)
        return commands

    def _act(self, now: int, action: api.Action, commands: list[Command], events: deque[api.Event]) -> None:
        if isinstance(action, api.SetTimer):
            commands.append(Wake(action.delay, action.token))
            return
        if isinstance(action, api.Log):
            commands.append(Say(action.text))
            return
        call = self._by_number.get(getattr(action, "request", -1))
        if call is None:
            return
        if isinstance(action, api.SetRung):
            call.rung = action.rung
            if call.stage is Stage.STANDING:
                commands.append(TellRung(call.id, call.host, action.rung))
        elif isinstance(action, api.SetUp):
            call.stage, call.host, call.sent = Stage.OUT, action.server, now
            call.attempt += 1
            self._at.setdefault(call.host, {})[call.number] = call
            until = min(action.timeout_at or call.deadline, call.deadline)
            commands.append(SendSetUp(call.id, call.host, call.attempt, call.rung, until, call.passed))
        elif isinstance(action, api.Refuse):
            self._forget(call)
            commands.append(Refuse(call.id, call.viewer, action.retry_after))
        elif isinstance(action, api.Fail):
            self._forget(call)
            commands.append(Fail(call.id, call.viewer))
        elif isinstance(action, api.Cancel):
            if call.stage is Stage.ENDING and action.attempt == call.attempt:
                commands.append(CallOff(call.id, call.host))
                events.append(self._event(now, call, Tell.CLOSED, _Sight(Seen.LEFT, Outcome.CANCELLED)))
                self._forget(call)
        elif isinstance(action, api.Move) and call.stage is Stage.STANDING:
            commands += (MoveAway(call.id, call.viewer), Cut(call.id, call.host))
            events.append(self._event(now, call, Tell.CLOSED, _Sight(Seen.OVER, Outcome.CANCELLED)))
            self._forget(call)
