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
from mintmast.decisions.outcomes import OUTCOME_TABLE as OUTCOMES
from mintmast.decisions.outcomes import Evidence
from mintmast.interface import NoteKind, Outcome


class CallState(Enum):
    """Where a call stands."""

    PENDING = "asked"  # the module has it and nothing is out
    ATTEMPTING = "out"  # its attempt is out
    ESTABLISHED = "standing"  # answered; it plays
    CANCELLING = "ending"  # nobody waits any more, its attempt is still out


class CallEvent(Enum):
    """What is seen of a call."""

    HOST_ANSWERED = "started"  # the host answered its attempt
    ATTEMPT_ENDED = "ended"  # its attempt ended without an answer
    VIEWER_LEFT = "left"  # its viewer gave it up, released it or is gone
    SESSION_ENDED = "over"  # the session ended at its host, or with it


class OutgoingMessage(Enum):
    """A message that is owed."""

    ANSWER_TO_VIEWER = "answer to the viewer"
    RELEASE_TO_VIEWER = "release to the viewer"
    RELEASE_TO_HOST = "release to the host"


class ControllerEvent(Enum):
    """The module's event."""

    PLAYING = "playing"
    VIEWER_GONE = "viewer gone"
    ATTEMPT_ENDED = "attempt end"
    ATTEMPT_COMPLETE = "attempt end, nothing more owed"


@dataclass(slots=True, frozen=True)
class Transition:
    """A row of the table: where the call goes (None: forgotten), what the module hears, what is owed."""

    next_state: CallState | None
    controller_event: ControllerEvent
    messages: tuple[OutgoingMessage, ...] = ()


# What is not in the table changes nothing: doubled, late and crossed messages.
TRANSITIONS: dict[tuple[CallState, CallEvent], Transition] = {
    (CallState.ATTEMPTING, CallEvent.HOST_ANSWERED): Transition(
        CallState.ESTABLISHED, ControllerEvent.PLAYING, (OutgoingMessage.ANSWER_TO_VIEWER,)
    ),
    (CallState.ATTEMPTING, CallEvent.ATTEMPT_ENDED): Transition(
        CallState.PENDING, ControllerEvent.ATTEMPT_ENDED
    ),
    (CallState.ATTEMPTING, CallEvent.VIEWER_LEFT): Transition(
        CallState.CANCELLING, ControllerEvent.VIEWER_GONE
    ),
    (CallState.CANCELLING, CallEvent.HOST_ANSWERED): Transition(
        None, ControllerEvent.ATTEMPT_COMPLETE, (OutgoingMessage.RELEASE_TO_HOST,)
    ),
    (CallState.CANCELLING, CallEvent.ATTEMPT_ENDED): Transition(None, ControllerEvent.ATTEMPT_COMPLETE),
    (CallState.ESTABLISHED, CallEvent.VIEWER_LEFT): Transition(
        None, ControllerEvent.ATTEMPT_COMPLETE, (OutgoingMessage.RELEASE_TO_HOST,)
    ),
    (CallState.ESTABLISHED, CallEvent.SESSION_ENDED): Transition(
        None, ControllerEvent.ATTEMPT_COMPLETE, (OutgoingMessage.RELEASE_TO_VIEWER,)
    ),
}


@dataclass(slots=True, frozen=True)
class ViewerRequest:
    """A set-up as a viewer asks for it; `passed` goes on to hosts unread."""

    call_id: bytes
    service: int
    tenant: int
    title: int
    budget: int
    home_cell: int
    copies: int
    best_rung: int
    length_hint: int = 0
    is_retry: bool = False
    moved: bool = False
    forwarded: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class SendSetUp:
    """Ask `host` for the session; give it up at `until`. Its evidence comes back as `attempt`."""

    call_id: bytes
    host: bytes
    attempt: int
    rung: int
    deadline: int
    forwarded: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class CancelSetUp:
    """Give up the attempt that is out; no evidence of it is wanted."""

    call_id: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class ReleaseToHost:
    """End a session at its host."""

    call_id: bytes
    host: bytes


@dataclass(slots=True, frozen=True)
class SendRung:
    """Tell the host a new rung of a session that stands."""

    call_id: bytes
    host: bytes
    rung: int


@dataclass(slots=True, frozen=True)
class AnswerRequest:
    """Tell the viewer that the session stands, with the host's description."""

    call_id: bytes
    viewer: int
    description: bytes


@dataclass(slots=True, frozen=True)
class RefuseRequest:
    """Tell the viewer that it may come again, after `retry_after`."""

    call_id: bytes
    viewer: int
    retry_after: int


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Tell the viewer that the set-up failed."""

    call_id: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class ReleaseToViewer:
    """Tell the viewer that the session is over; `whole` where it came to its end."""

    call_id: bytes
    viewer: int
    played_to_end: bool


@dataclass(slots=True, frozen=True)
class MoveViewer:
    """Tell the viewer to come again."""

    call_id: bytes
    viewer: int


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Call `woken` with `token` after `delay`."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class LogEvent:
    """A line for the operators."""

    text: str


Command = (
    SendSetUp
    | CancelSetUp
    | ReleaseToHost
    | SendRung
    | AnswerRequest
    | RefuseRequest
    | FailRequest
    | ReleaseToViewer
    | MoveViewer
    | ScheduleTimer
    | LogEvent
)


@dataclass(slots=True)
class Call:
    """A set-up under way or a session."""

    id: bytes
    number: int
    viewer: int
    deadline: int
    requested_at: int
    forwarded: tuple[bytes, ...] = ()
    state: CallState = CallState.PENDING
    host: bytes = b""
    attempt: int = -1
    rung: int = 0
    attempt_sent_at: int = 0
    established_at: int = 0


@dataclass(slots=True, frozen=True)
class _Observation:
    """One thing seen, with what came along."""

    event: CallEvent
    outcome: Outcome = Outcome.SERVED
    load: tuple[float, ...] = ()
    description: bytes = b""


@dataclass(slots=True)
class Calls:
    """All calls of a gateway and its module."""

    controller: Controller
    by_id: dict[bytes, Call] = field(default_factory=dict)
    _by_number: dict[int, Call] = field(default_factory=dict)
    _by_host: dict[bytes, dict[int, Call]] = field(default_factory=dict)
    _last_number: int = 0
    _out: list[Command] = field(default_factory=list)

    # What viewers do

    def handle_request(
        self, now: int, request: ViewerRequest, viewer: int, received_at: int | None = None
    ) -> list[Command]:
        """Take a set-up under an id that is not in use; its budget counts from `since`, or from now."""
        elapsed = now - received_at if received_at is not None else 0
        call = self._create(now - elapsed, request, viewer)
        call.forwarded = request.forwarded
        event = api.SessionRequest(
            call.number,
            request.service,
            request.tenant,
            request.title,
            request.budget - elapsed,
            request.home_cell,
            request.copies,
            request.best_rung,
            request.length_hint,
            request.moved,
            request.is_retry,
        )
        return self._dispatch(now, event)

    def adopt_session(self, now: int, request: ViewerRequest, viewer: int, host: bytes) -> list[Command]:
        """Take a session that plays at `host` already."""
        call = self._create(now, request, viewer)
        call.state, call.host, call.attempt, call.established_at = CallState.ESTABLISHED, host, 0, now
        self._by_host.setdefault(host, {})[call.number] = call
        event = api.SessionOpen(
            call.number,
            request.service,
            request.tenant,
            request.title,
            request.best_rung,
            host,
            request.length_hint,
        )
        return self._dispatch(now, event)

    def handle_viewer_left(self, now: int, call_id: bytes) -> list[Command]:
        """Take it that nobody waits for the call or watches the session any more."""
        call = self.by_id.get(call_id)
        return (
            self._apply(now, call, _Observation(CallEvent.VIEWER_LEFT, Outcome.CANCELLED))
            if call is not None
            else []
        )

    # What hosts say, and what is seen of them

    def handle_answer(self, now: int, call_id: bytes, host: bytes, description: bytes) -> list[Command]:
        """Take a host's answer."""
        call = self._call_at(call_id, host)
        return (
            self._apply(now, call, _Observation(CallEvent.HOST_ANSWERED, Outcome.CANCELLED, (), description))
            if call
            else []
        )

    def handle_attempt_end(
        self, now: int, call_id: bytes, host: bytes, evidence: Evidence, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Take what was seen at the end of an attempt that brought no session."""
        call = self._call_at(call_id, host)
        outcome = OUTCOMES[evidence].outcome
        if call is None or outcome is None:
            return []
        return self._apply(now, call, _Observation(CallEvent.ATTEMPT_ENDED, outcome, load))

    def handle_session_end(
        self, now: int, call_id: bytes, host: bytes, outcome: Outcome, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Take the end of a session at its host: SERVED at its end, RESET cut, CANCELLED by its viewer."""
        call = self._call_at(call_id, host)
        return (
            self._apply(now, call, _Observation(CallEvent.SESSION_ENDED, outcome, load))
            if call is not None
            else []
        )

    def handle_note(
        self, now: int, call_id: bytes, host: bytes, kind: NoteKind, value: float
    ) -> list[Command]:
        """Take a note on a session that stands."""
        call = self._call_at(call_id, host)
        if call is None or call.state is not CallState.ESTABLISHED:
            return []
        return self._dispatch(now, api.Note(call.number, host, kind, value))

    def handle_host_death(self, now: int, host: bytes, before: int | None = None) -> list[Command]:
        """Take the end of a host's process: its sessions, or those older than `before`, are cut."""
        commands: list[Command] = []
        for call in list(self._by_host.get(host, {}).values()):
            if call.state is CallState.ESTABLISHED and (before is None or call.established_at < before):
                commands += self._apply(now, call, _Observation(CallEvent.SESSION_ENDED, Outcome.RESET))
        return commands

    # What else the module hears

    def start(self, now: int) -> list[Command]:
        """Tell the module that the gateway has come up."""
        return self._dispatch(now, api.Started())

    def handle_list(self, now: int, update: api.ServerList) -> list[Command]:
        """Take news of the list of hosts."""
        return self._dispatch(now, update)

    def handle_timer(self, now: int, token: int) -> list[Command]:
        """Take the end of a timer."""
        return self._dispatch(now, api.TimerFired(token))

    def has_session_at(self, host: bytes) -> bool:
        """Tell whether a session stands at the host."""
        return any(call.state is CallState.ESTABLISHED for call in self._by_host.get(host, {}).values())

    def count_by_state(self) -> dict[str, int]:
        """Count calls by stage."""
        counts = {stage.value: 0 for stage in CallState}
        for call in self.by_id.values():
            counts[call.state.value] += 1
        return counts

    # The table at work

    def _create(self, now: int, request: ViewerRequest, viewer: int) -> Call:
        if request.call_id in self.by_id:
            raise ValueError(f"call {request.call_id.hex()} is in use")
        self._last_number += 1
        call = Call(request.call_id, self._last_number, viewer, now + request.budget, now)
        self.by_id[call.id] = self._by_number[call.number] = call
        return call

    def _call_at(self, call_id: bytes, host: bytes) -> Call | None:
        """Give the call where its attempt or session is at `host`; what others say of it is late."""
        call = self.by_id.get(call_id)
        return call if call is not None and call.host == host else None

    def _apply(self, now: int, call: Call, observation: _Observation) -> list[Command]:
        transition = TRANSITIONS.get((call.state, observation.event))
        if transition is None:
            return []
        commands: list[Command] = []
        for message in transition.messages:
            if message is OutgoingMessage.ANSWER_TO_VIEWER:
                commands.append(AnswerRequest(call.id, call.viewer, observation.description))
            elif message is OutgoingMessage.RELEASE_TO_HOST:
                commands.append(ReleaseToHost(call.id, call.host))
            elif observation.outcome is not Outcome.CANCELLED:  # ended by its viewer: nothing is owed
                commands.append(ReleaseToViewer(call.id, call.viewer, observation.outcome is Outcome.SERVED))
        event = self._make_event(now, call, transition.controller_event, observation)
        call.state = transition.next_state or call.state
        if transition.next_state is CallState.ESTABLISHED:
            call.established_at, call.forwarded = now, ()
        elif transition.next_state is not CallState.CANCELLING:
            self._detach_from_host(call)
        if transition.next_state is None:
            self._forget(call)
        return commands + self._dispatch(now, event)

    def _make_event(
        self, now: int, call: Call, kind: ControllerEvent, observation: _Observation
    ) -> api.Event:
        elapsed = now - call.attempt_sent_at
        if kind is ControllerEvent.PLAYING:
            return api.Playing(call.number, call.attempt, call.host, elapsed)
        if kind is ControllerEvent.VIEWER_GONE:
            return api.ViewerGone(call.number)
        is_complete = kind is ControllerEvent.ATTEMPT_COMPLETE
        return api.AttemptEnd(
            call.number, call.attempt, call.host, observation.outcome, elapsed, is_complete, observation.load
        )

    def _detach_from_host(self, call: Call) -> None:
        calls_at_host = self._by_host.get(call.host)
        if (
            calls_at_host is not None
            and calls_at_host.pop(call.number, None) is not None
            and not calls_at_host
        ):
            del self._by_host[call.host]

    def _forget(self, call: Call) -> None:
        self._detach_from_host(call)
        self.by_id.pop(call.id, None)
        self._by_number.pop(call.number, None)

    def _dispatch(self, now: int, event: api.Event) -> list[Command]:
        """Hand an event to the module and turn its actions into commands."""
        commands: list[Command] = []
        events: deque[api.Event] = deque((event,))
        while events:
            for action in self.controller.handle(now, events.popleft()):
                self._execute_action(now, action, commands, events)
        return commands

    def _execute_action(
        self, now: int, action: api.Action, commands: list[Command], events: deque[api.Event]
    ) -> None:
        if isinstance(action, api.SetTimer):
            commands.append(ScheduleTimer(action.delay, action.token))
            return
        if isinstance(action, api.Log):
            commands.append(LogEvent(action.text))
            return
        call = self._by_number.get(getattr(action, "request", -1))
        if call is None:
            return
        if isinstance(action, api.SetRung):
            call.rung = action.rung
            if call.state is CallState.ESTABLISHED:
                commands.append(SendRung(call.id, call.host, action.rung))
        elif isinstance(action, api.SetUp):
            call.state, call.host, call.attempt_sent_at = CallState.ATTEMPTING, action.server, now
            call.attempt += 1
            self._by_host.setdefault(call.host, {})[call.number] = call
            deadline = min(action.timeout_at or call.deadline, call.deadline)
            commands.append(SendSetUp(call.id, call.host, call.attempt, call.rung, deadline, call.forwarded))
        elif isinstance(action, api.Refuse):
            self._forget(call)
            commands.append(RefuseRequest(call.id, call.viewer, action.retry_after))
        elif isinstance(action, api.Fail):
            self._forget(call)
            commands.append(FailRequest(call.id, call.viewer))
        elif isinstance(action, api.Cancel):
            if call.state is CallState.CANCELLING and action.attempt == call.attempt:
                commands.append(CancelSetUp(call.id, call.host))
                events.append(
                    self._make_event(
                        now,
                        call,
                        ControllerEvent.ATTEMPT_COMPLETE,
                        _Observation(CallEvent.VIEWER_LEFT, Outcome.CANCELLED),
                    )
                )
                self._forget(call)
        elif isinstance(action, api.Move) and call.state is CallState.ESTABLISHED:
            commands += (MoveViewer(call.id, call.viewer), ReleaseToHost(call.id, call.host))
            events.append(
                self._make_event(
                    now,
                    call,
                    ControllerEvent.ATTEMPT_COMPLETE,
                    _Observation(CallEvent.SESSION_ENDED, Outcome.CANCELLED),
                )
            )
            self._forget(call)
