"""Calls: what is seen of a set-up or session, as the module's events, and the messages owed for it.

One table of a call's stages. It translates evidence and chooses nothing: host, rung, another attempt,
refusal, advice and move are the module's. Pure: time is handed in, commands are handed out. Times in µs.
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
    """Where a call stands."""

    ASKED = "asked"  # the module has it and nothing is out
    OUT = "out"  # its attempt is out
    STANDING = "standing"  # answered; it plays
    ENDING = "ending"  # nobody waits any more, its attempt is still out


class Seen(Enum):
    """What is seen of a call."""

    STARTED = "started"  # the host answered its attempt
    ENDED = "ended"  # its attempt ended without an answer
    LEFT = "left"  # its viewer gave it up, released it or is gone
    OVER = "over"  # the session ended at its host, or with it


class Owed(Enum):
    """A message that is owed."""

    ANSWER = "answer to the viewer"
    RELEASE = "release to the viewer"
    CUT = "release to the host"


class Tell(Enum):
    """The module's event."""

    PLAYING = "playing"
    GONE = "viewer gone"
    END = "attempt end"
    CLOSED = "attempt end, nothing more owed"


@dataclass(slots=True, frozen=True)
class Step:
    """A row of the table: where the call goes (None: forgotten), what the module hears, what is owed."""

    to: Stage | None
    tell: Tell
    owed: tuple[Owed, ...] = ()


# What is not in the table changes nothing: doubled, late and crossed messages.
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
    """A set-up as a viewer asks for it; `passed` goes on to hosts unread."""

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
    """Ask `host` for the session; give it up at `until`. Its evidence comes back as `attempt`."""

    call: bytes
    host: bytes
    attempt: int
    rung: int
    until: int
    passed: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class CallOff:
    """Give up the attempt that is out; no evidence of it is wanted."""

    call: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class Cut:
    """End a session at its host."""

    call: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class TellRung:
    """Tell the host a new rung of a session that stands."""

    call: bytes
    host: bytes
    rung: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Tell the viewer that the session stands, with the host's description."""

    call: bytes
    viewer: int
    description: bytes


@dataclass(slots=True, frozen=True)
class Refuse:
    """Tell the viewer that it may come again, after `retry_after`."""

    call: bytes
    viewer: int
    retry_after: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Tell the viewer that the set-up failed."""

    call: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class Release:
    """Tell the viewer that the session is over; `whole` where it came to its end."""

    call: bytes
    viewer: int
    whole: bool


@dataclass(slots=True, frozen=True)
class MoveAway:
    """Tell the viewer to come again."""

    call: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class Wake:
    """Call `woken` with `token` after `delay`."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the operators."""

    text: str


Command = SendSetUp | CallOff | Cut | TellRung | Answer | Refuse | Fail | Release | MoveAway | Wake | Say


@dataclass(slots=True)
class Call:
    """A set-up under way or a session."""

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
    """One thing seen, with what came along."""

    seen: Seen
    outcome: Outcome = Outcome.SERVED
    load: tuple[float, ...] = ()
    description: bytes = b""


@dataclass(slots=True)
class Calls:
    """All calls of a gateway and its module."""

    module: Controller
    by_id: dict[bytes, Call] = field(default_factory=dict)
    _by_number: dict[int, Call] = field(default_factory=dict)
    _at: dict[bytes, dict[int, Call]] = field(default_factory=dict)
    _numbers: int = 0
    _out: list[Command] = field(default_factory=list)

    # What viewers do

    def ask(self, now: int, wish: Wish, viewer: int, since: int | None = None) -> list[Command]:
        """Take a set-up under an id that is not in use; its budget counts from `since`, or from now."""
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
        """Take a session that plays at `host` already."""
        call = self._new(now, wish, viewer)
        call.stage, call.host, call.attempt, call.since = Stage.STANDING, host, 0, now
        self._at.setdefault(host, {})[call.number] = call
        event = api.SessionOpen(
            call.number, wish.service, wish.tenant, wish.title, wish.best, host, wish.hint
        )
        return self._feed(now, event)

    def left(self, now: int, call_id: bytes) -> list[Command]:
        """Take it that nobody waits for the call or watches the session any more."""
        call = self.by_id.get(call_id)
        return self._take(now, call, _Sight(Seen.LEFT, Outcome.CANCELLED)) if call is not None else []

    # What hosts say, and what is seen of them

    def started(self, now: int, call_id: bytes, host: bytes, description: bytes) -> list[Command]:
        """Take a host's answer."""
        call = self._of(call_id, host)
        return self._take(now, call, _Sight(Seen.STARTED, Outcome.CANCELLED, (), description)) if call else []

    def ended(
        self, now: int, call_id: bytes, host: bytes, evidence: Evidence, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Take what was seen at the end of an attempt that brought no session."""
        call = self._of(call_id, host)
        outcome = OUTCOMES[evidence].outcome
        if call is None or outcome is None:
            return []
        return self._take(now, call, _Sight(Seen.ENDED, outcome, load))

    def over(
        self, now: int, call_id: bytes, host: bytes, outcome: Outcome, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Take the end of a session at its host: SERVED at its end, RESET cut, CANCELLED by its viewer."""
        call = self._of(call_id, host)
        return self._take(now, call, _Sight(Seen.OVER, outcome, load)) if call is not None else []

    def noted(self, now: int, call_id: bytes, host: bytes, kind: NoteKind, value: float) -> list[Command]:
        """Take a note on a session that stands."""
        call = self._of(call_id, host)
        if call is None or call.stage is not Stage.STANDING:
            return []
        return self._feed(now, api.Note(call.number, host, kind, value))

    def host_dead(self, now: int, host: bytes, before: int | None = None) -> list[Command]:
        """Take the end of a host's process: its sessions, or those older than `before`, are cut."""
        commands: list[Command] = []
        for call in list(self._at.get(host, {}).values()):
            if call.stage is Stage.STANDING and (before is None or call.since < before):
                commands += self._take(now, call, _Sight(Seen.OVER, Outcome.RESET))
        return commands

    # What else the module hears

    def start(self, now: int) -> list[Command]:
        """Tell the module that the gateway has come up."""
        return self._feed(now, api.Started())

    def list(self, now: int, news: api.ServerList) -> list[Command]:
        """Take news of the list of hosts."""
        return self._feed(now, news)

    def woken(self, now: int, token: int) -> list[Command]:
        """Take the end of a timer."""
        return self._feed(now, api.TimerFired(token))

    def standing_at(self, host: bytes) -> bool:
        """Tell whether a session stands at the host."""
        return any(call.stage is Stage.STANDING for call in self._at.get(host, {}).values())

    def counts(self) -> dict[str, int]:
        """Count calls by stage."""
        counts = {stage.value: 0 for stage in Stage}
        for call in self.by_id.values():
            counts[call.stage.value] += 1
        return counts

    # The table at work

    def _new(self, now: int, wish: Wish, viewer: int) -> Call:
        if wish.call in self.by_id:
            raise ValueError(f"call {wish.call.hex()} is in use")
        self._numbers += 1
        call = Call(wish.call, self._numbers, viewer, now + wish.budget, now)
        self.by_id[call.id] = self._by_number[call.number] = call
        return call

    def _of(self, call_id: bytes, host: bytes) -> Call | None:
        """Give the call where its attempt or session is at `host`; what others say of it is late."""
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
            elif sight.outcome is not Outcome.CANCELLED:  # ended by its viewer: nothing is owed
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
        """Hand an event to the module and turn its actions into commands."""
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
