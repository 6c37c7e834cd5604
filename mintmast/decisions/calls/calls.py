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
from mintmast.decisions.calls.commands import (
    AnswerRequest,
    CancelSetUp,
    Command,
    FailRequest,
    ForgetSession,
    LogEvent,
    MoveViewer,
    RefuseRequest,
    ReleaseToHost,
    ReleaseToViewer,
    ScheduleTimer,
    SendRung,
    SendSetUp,
    ViewerRequest,
)
from mintmast.decisions.calls.past_calls import PastCalls
from mintmast.decisions.outcomes import OUTCOME_TABLE as OUTCOMES
from mintmast.decisions.outcomes import Evidence
from mintmast.interface import NoteKind, Outcome


class CallState(Enum):
    """State of a call. The values are keys of log lines."""

    PENDING = "asked"  # the controller has the request and no attempt is in progress
    ATTEMPTING = "out"  # an attempt is in progress
    ESTABLISHED = "standing"  # answered; the session is playing
    CANCELLING = "ending"  # the viewer no longer waits, and the attempt is still in progress


class CallEvent(Enum):
    """Input event of a call's state machine."""

    HOST_ANSWERED = "started"  # the host answered the attempt
    ATTEMPT_ENDED = "ended"  # the attempt ended without an answer
    VIEWER_LEFT = "left"  # the viewer cancelled the request, released the session or disconnected
    SESSION_ENDED = "over"  # the session ended at its host, or its host died


class OutgoingMessage(Enum):
    """A message that a transition sends."""

    ANSWER_TO_VIEWER = "answer to the viewer"
    RELEASE_TO_VIEWER = "release to the viewer"
    RELEASE_TO_HOST = "release to the host"


class ControllerEvent(Enum):
    """The event that a transition passes to the controller."""

    PLAYING = "playing"
    VIEWER_GONE = "viewer gone"
    ATTEMPT_ENDED = "attempt end"
    ATTEMPT_COMPLETE = "attempt end, nothing more owed"


@dataclass(slots=True, frozen=True)
class Transition:
    """A row of the table: next state (None removes the call), controller event and messages to send."""

    next_state: CallState | None
    controller_event: ControllerEvent
    messages: tuple[OutgoingMessage, ...] = ()


# Events without a row are ignored: they come from duplicate, late and crossing messages.
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


@dataclass(slots=True)
class Call:
    """A set-up in progress or a playing session.

    `number` identifies the call to the controller, and `viewer` is the number of the viewer's connection.
    """

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
    evidence: Evidence | None = None  # of the last attempt that ended
    service: int = 0
    may_have_run: bool = False  # an attempt that ended may have run
    may_be_running: bool = False  # an attempt is in progress, or the session plays
    attempt_sent_at: int = 0
    established_at: int = 0
    is_unconfirmed: bool = False  # the session was handed over, and its host has not reported on it yet

    @property
    def attempts(self) -> int:
        """Return the number of attempts so far."""
        return self.attempt + 1


@dataclass(slots=True, frozen=True)
class _Observation:
    """An input event with its data."""

    event: CallEvent
    outcome: Outcome = Outcome.SERVED
    load: tuple[float, ...] = ()
    description: bytes = b""


@dataclass(slots=True)
class Calls:
    """All calls of a gateway, with its controller."""

    controller: Controller
    by_id: dict[bytes, Call] = field(default_factory=dict)
    _by_number: dict[int, Call] = field(default_factory=dict)
    _by_host: dict[bytes, dict[int, Call]] = field(default_factory=dict)
    _past: PastCalls = field(default_factory=PastCalls)
    _last_number: int = 0
    _out: list[Command] = field(default_factory=list)

    # Viewers

    def handle_request(
        self, now: int, request: ViewerRequest, viewer: int, received_at: int | None = None
    ) -> list[Command]:
        """Pass a new set-up to the controller. Its time budget starts at `received_at`, or now if None.

        A paid one fails if an earlier one with its call reference may have run. Raises ValueError if its call
        reference is in use.
        """
        if self._past.may_have_run(now, request.call_id):
            return [FailRequest(request.call_id, viewer, 0, None)]
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
        """Adopt a session that is already playing at `host`. Raises ValueError if its id is in use."""
        call = self._create(now, request, viewer)
        call.state, call.host, call.attempt, call.established_at = CallState.ESTABLISHED, host, 0, now
        call.may_be_running = call.is_unconfirmed = True
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

    def handle_viewer_left(self, now: int, call_id: bytes, is_unsent: bool = False) -> list[Command]:
        """Cancel the set-up or end the session: the viewer no longer waits or watches.

        `is_unsent` tells that nothing of the attempt in progress was written.
        """
        call = self.by_id.get(call_id)
        if call is None:
            return []
        if is_unsent:
            call.may_be_running = False
        return self._apply(now, call, _Observation(CallEvent.VIEWER_LEFT, Outcome.CANCELLED))

    def attempts_in_progress(self) -> list[tuple[bytes, bytes]]:
        """Return the call reference and the host of each unanswered request."""
        return [(call.id, call.host) for call in self.by_id.values() if call.state is CallState.ATTEMPTING]

    def end_unanswered(self, now: int, call_id: bytes, may_have_arrived: bool) -> list[Command]:
        """Answer a request whose attempt is in progress, and cancel the attempt.

        It is refused only if no attempt can have run; `may_have_arrived` tells it of the one in progress.
        """
        call = self.by_id.get(call_id)
        if call is None or call.state is not CallState.ATTEMPTING:
            return []
        answer: Command
        if may_have_arrived or call.may_have_run:
            answer = FailRequest(call.id, call.viewer, call.attempts, Evidence.CALLED_OFF)
        else:
            answer = RefuseRequest(call.id, call.viewer, 0, call.attempts, Evidence.CALLED_OFF_UNSENT)
        return [answer, *self.handle_viewer_left(now, call_id, is_unsent=not may_have_arrived)]

    # Hosts

    def handle_answer(self, now: int, call_id: bytes, host: bytes, description: bytes) -> list[Command]:
        """Process a host's answer to an attempt."""
        call = self._call_at(call_id, host)
        return (
            self._apply(now, call, _Observation(CallEvent.HOST_ANSWERED, Outcome.CANCELLED, (), description))
            if call
            else []
        )

    def handle_attempt_end(
        self, now: int, call_id: bytes, host: bytes, evidence: Evidence, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Process the end of an attempt without a session, classified by its evidence."""
        call = self._call_at(call_id, host)
        outcome = OUTCOMES[evidence].outcome
        if call is None or outcome is None:
            return []
        call.evidence = evidence
        call.may_have_run = call.may_have_run or not OUTCOMES[evidence].never_ran
        call.may_be_running = False
        return self._apply(now, call, _Observation(CallEvent.ATTEMPT_ENDED, outcome, load))

    def handle_session_end(
        self, now: int, call_id: bytes, host: bytes, outcome: Outcome, load: tuple[float, ...] = ()
    ) -> list[Command]:
        """Process a session's end at its host: SERVED if complete, RESET if cut, CANCELLED by its viewer."""
        call = self._call_at(call_id, host)
        return (
            self._apply(now, call, _Observation(CallEvent.SESSION_ENDED, outcome, load))
            if call is not None
            else []
        )

    def handle_note(
        self, now: int, call_id: bytes, host: bytes, kind: NoteKind, value: float
    ) -> list[Command]:
        """Pass a host's note about a playing session to the controller."""
        call = self._call_at(call_id, host)
        if call is None or call.state is not CallState.ESTABLISHED:
            return []
        call.is_unconfirmed = False
        return self._dispatch(now, api.Note(call.number, host, kind, value))

    def handle_host_death(self, now: int, host: bytes, before: int | None = None) -> list[Command]:
        """End the host's sessions because its process died; with `before`, only those older than that."""
        commands: list[Command] = []
        for call in list(self._by_host.get(host, {}).values()):
            if call.state is CallState.ESTABLISHED and (before is None or call.established_at < before):
                commands += self._apply(now, call, _Observation(CallEvent.SESSION_ENDED, Outcome.RESET))
        return commands

    def handle_host_start(self, now: int, host: bytes, started: int) -> list[Command]:
        """End the host's sessions that are older than the start of its process, of which the list has told.

        When a session that was handed over was set up is not known. It counts as older until the host has
        reported on it, and is released at the host as well, where it may play after all.
        """
        commands: list[Command] = []
        for call in list(self._by_host.get(host, {}).values()):
            if call.state is CallState.ESTABLISHED and call.is_unconfirmed:
                commands.append(ReleaseToHost(call.id, host))
                commands += self._apply(now, call, _Observation(CallEvent.SESSION_ENDED, Outcome.RESET))
        return commands + self.handle_host_death(now, host, started)

    # Other inputs of the controller

    def start(self, now: int) -> list[Command]:
        """Notify the controller that the gateway has started."""
        return self._dispatch(now, api.Started())

    def handle_list(self, now: int, update: api.ServerList) -> list[Command]:
        """Pass a host list update to the controller."""
        return self._dispatch(now, update)

    def handle_timer(self, now: int, token: int) -> list[Command]:
        """Pass a timer that has fired to the controller."""
        return self._dispatch(now, api.TimerFired(token))

    def has_session_at(self, host: bytes) -> bool:
        """Return whether a session is playing at the host."""
        return any(call.state is CallState.ESTABLISHED for call in self._by_host.get(host, {}).values())

    def count_by_state(self) -> dict[str, int]:
        """Count the calls in each state."""
        counts = {state.value: 0 for state in CallState}
        for call in self.by_id.values():
            counts[call.state.value] += 1
        return counts

    # Transitions and actions

    def _create(self, now: int, request: ViewerRequest, viewer: int) -> Call:
        if request.call_id in self.by_id:
            raise ValueError(f"call reference {request.call_id.hex()} is already in use")
        self._last_number += 1
        call = Call(
            request.call_id, self._last_number, viewer, now + request.budget, now, service=request.service
        )
        self.by_id[call.id] = self._by_number[call.number] = call
        return call

    def _call_at(self, call_id: bytes, host: bytes) -> Call | None:
        """Return the call if its attempt or session is at `host`; from another host a message is late."""
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
            elif observation.outcome is Outcome.CANCELLED:
                commands.append(ForgetSession(call.id, call.viewer))
            else:
                commands.append(ReleaseToViewer(call.id, call.viewer, observation.outcome is Outcome.SERVED))
        event = self._make_event(now, call, transition.controller_event, observation)
        call.state = transition.next_state or call.state
        if transition.next_state is CallState.ESTABLISHED:
            call.established_at, call.forwarded = now, ()
        elif transition.next_state is not CallState.CANCELLING:
            self._detach_from_host(call)
        if transition.next_state is None:
            self._remove(now, call)
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

    def _remove(self, now: int, call: Call) -> None:
        is_repeatable = self.controller.settings.classes[call.service].effect is api.Effect.FREE
        if not is_repeatable and (call.may_have_run or call.may_be_running):
            self._past.record(now, call.id)
        self._detach_from_host(call)
        self.by_id.pop(call.id, None)
        self._by_number.pop(call.number, None)

    def _dispatch(self, now: int, event: api.Event) -> list[Command]:
        """Pass an event to the controller and turn its actions into commands.

        An action can cause another event, which is processed before this returns.
        """
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
            call.may_be_running = True
            self._by_host.setdefault(call.host, {})[call.number] = call
            deadline = min(action.timeout_at or call.deadline, call.deadline)
            commands.append(SendSetUp(call.id, call.host, call.attempt, call.rung, deadline, call.forwarded))
        elif isinstance(action, api.Refuse):
            self._remove(now, call)
            commands.append(
                RefuseRequest(call.id, call.viewer, action.retry_after, call.attempts, call.evidence)
            )
        elif isinstance(action, api.Fail):
            self._remove(now, call)
            commands.append(FailRequest(call.id, call.viewer, call.attempts, call.evidence))
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
                self._remove(now, call)
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
            self._remove(now, call)
