"""Property tests of the call state machine: duplicate, late and crossing messages, and complete clean-up."""

from helpers import T0, S, make_controller, server_entry
from hypothesis import given, settings
from hypothesis import strategies as st

from mintmast import interface as api
from mintmast.decisions.calls import commands as c
from mintmast.decisions.calls.calls import (
    TRANSITIONS,
    CallEvent,
    Calls,
    CallState,
    ControllerEvent,
    OutgoingMessage,
)
from mintmast.decisions.calls.commands import ViewerRequest
from mintmast.decisions.outcomes import OUTCOME_TABLE as OUTCOMES
from mintmast.decisions.outcomes import Evidence
from mintmast.interface import NoteKind, Outcome, ServerState

HOSTS = [server_entry(n).server for n in range(4)]
ENDS = [evidence for evidence in Evidence if OUTCOMES[evidence].outcome is not None]


def make_request(number, service=1):
    return ViewerRequest(
        number.to_bytes(8), service, 0, 5, 3 * S, 0, 4, 3, 30 * S, forwarded=(b"class", b"title", b"v=0")
    )


class Model:
    """Model of hosts and viewers, updated from the returned commands alone."""

    def __init__(self, may_cancel):
        self.calls = Calls(make_controller(4, may_cancel=may_cancel))
        self.now, self.number = T0, 0
        self.paid, self.answered, self.viewer_left, self.ran = {}, {}, set(), set()
        self.attempts = {}  # host of the attempt in progress, by call
        self.playing = {}  # host that plays the session, by call

    def apply(self, commands):
        for command in commands:
            match command:
                case c.SendSetUp(call, host, _, _, until, passed):
                    assert call not in self.attempts, "two attempts in progress for one call"
                    assert call not in self.answered, "attempt sent after the answer"
                    assert not (self.paid[call] and call in self.ran), "paid set-up sent again after it ran"
                    assert self.now <= until and passed
                    self.attempts[call] = host
                case c.CancelSetUp(call, host):
                    assert self.attempts.pop(call) == host
                case c.ReleaseToHost(call, host):
                    self.playing.pop(call, None)
                    self.attempts.pop(call, None)
                case c.AnswerRequest(call):
                    assert call not in self.answered and call not in self.viewer_left
                    self.answered[call] = "plays"
                case c.RefuseRequest(call) | c.FailRequest(call):
                    assert call not in self.answered and call not in self.viewer_left
                    refused = isinstance(command, c.RefuseRequest)
                    assert not (refused and self.paid[call] and call in self.ran), (
                        "refused after it may have run"
                    )
                    self.answered[call] = "no"
                case c.ReleaseToViewer(call):
                    assert self.answered[call] == "plays"
                    assert call not in self.playing, "released while it plays"
                    self.answered[call] = "over"
                case c.ForgetSession(call):
                    assert self.answered[call] == "plays"
                    assert call not in self.playing, "forgotten while it plays"
                    self.answered[call] = "over"

    def step(self, kind, pick):
        self.now += 10_000 + pick % 50_000
        known = list(self.paid)
        call = known[pick % len(known)] if known else bytes(8)
        host = HOSTS[pick // 7 % 4] if pick % 3 == 0 else self.attempts.get(call, HOSTS[pick % 4])
        if kind == "request":
            self.number += 1
            new = make_request(self.number, pick % 2)
            self.paid[new.call_id] = new.service == 0
            self.apply(self.calls.handle_request(self.now, new, 1))
        elif kind == "answer":
            if self.attempts.get(call) == host:
                self.playing[call] = self.attempts.pop(call)
                self.ran.add(call)
            self.apply(self.calls.handle_answer(self.now, call, host, b"sdp"))
        elif kind == "attempt end":
            evidence = ENDS[pick % len(ENDS)]
            if self.attempts.get(call) == host:
                del self.attempts[call]
                if not OUTCOMES[evidence].never_ran:
                    self.ran.add(call)
            self.apply(self.calls.handle_attempt_end(self.now, call, host, evidence))
        elif kind == "viewer left":
            if call in self.paid and self.answered.get(call) != "no":
                self.viewer_left.add(call)
            self.apply(self.calls.handle_viewer_left(self.now, call))
        elif kind == "session end":
            if self.playing.get(call) == host:
                del self.playing[call]
            outcome = (Outcome.SERVED, Outcome.RESET, Outcome.CANCELLED)[pick % 3]
            self.apply(self.calls.handle_session_end(self.now, call, host, outcome))
        elif kind == "host death":
            self.playing = {k: v for k, v in self.playing.items() if v != host}
            self.apply(self.calls.handle_host_death(self.now, host))
        elif kind == "note":
            note = list(NoteKind)[pick % 4]
            self.apply(self.calls.handle_note(self.now, call, host, note, (pick % 30) / 10))
        elif kind == "end unanswered":
            self.end_unanswered(pick)
        elif kind == "list":
            state = (ServerState.READY, ServerState.DRAINING, ServerState.GONE)[pick % 3]
            update = api.ServerList(api.ListKind.DELTA, self.now, (server_entry(pick % 4, state),))
            self.apply(self.calls.handle_list(self.now, update))

    def end_unanswered(self, pick):
        for place, (call, host) in enumerate(self.calls.attempts_in_progress()):
            may_have_arrived = bool(pick >> place % 16 & 1)
            if may_have_arrived:
                self.ran.add(call)
            commands = self.calls.end_unanswered(self.now, call, may_have_arrived)
            assert isinstance(commands[0], c.FailRequest if call in self.ran else c.RefuseRequest)
            self.apply(commands)
            if not may_have_arrived and self.attempts.pop(call, None) is not None:
                self.apply(self.calls.handle_attempt_end(self.now, call, host, Evidence.WITHDRAWN))

    def settle(self):
        """End all attempts and sessions, as their hosts eventually would."""
        for _ in range(10):
            for call, host in list(self.attempts.items()):
                del self.attempts[call]
                self.now += 1000
                self.apply(self.calls.handle_attempt_end(self.now, call, host, Evidence.FULL))
        for call, host in list(self.playing.items()):
            assert call in self.calls.by_id, "session still plays at its host without a call"
            del self.playing[call]
            self.apply(self.calls.handle_session_end(self.now, call, host, Outcome.SERVED))


KINDS = ["request", "request", "answer", "answer", "attempt end"]
KINDS += ["viewer left", "session end", "host death", "note", "list", "end unanswered"]


@settings(max_examples=150, deadline=None)
@given(st.booleans(), st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 10**6)), max_size=80))
def test_each_call_gets_one_answer_and_is_cleaned_up_for_any_order_of_events(may_cancel, steps):
    model = Model(may_cancel)
    for kind, pick in steps:
        model.step(kind, pick)
    model.settle()
    assert set(model.paid) == model.answered.keys() | model.viewer_left
    assert not model.calls.by_id and not model.calls._by_number and not model.calls._by_host
    assert not model.calls.controller.sessions
    assert not any(each.sessions for each in model.calls.controller.servers.values())


def test_each_transition_that_ends_a_call_reports_a_complete_attempt_end():
    for (state, event), transition in TRANSITIONS.items():
        assert (transition.next_state is None) == (
            transition.controller_event is ControllerEvent.ATTEMPT_COMPLETE
        ), (
            state,
            event,
        )
        if state is CallState.ESTABLISHED:
            assert transition.messages, "a session ended without a message to the other side"
        if event is CallEvent.HOST_ANSWERED:
            assert (OutgoingMessage.ANSWER_TO_VIEWER in transition.messages) != (
                OutgoingMessage.RELEASE_TO_HOST in transition.messages
            ), "needs an answer or a release"


def test_a_host_restart_ends_only_the_sessions_that_began_before_it():
    calls = Calls(make_controller(1))
    for number in (1, 2):
        now = T0 + number * S
        (sent,) = [
            each
            for each in calls.handle_request(now, make_request(number), 1)
            if isinstance(each, c.SendSetUp)
        ]
        calls.handle_answer(now, sent.call_id, sent.host, b"sdp")
    commands = calls.handle_host_death(T0 + 3 * S, HOSTS[0], before=T0 + 3 * S // 2)
    assert [each.call_id for each in commands if isinstance(each, c.ReleaseToViewer)] == [(1).to_bytes(8)]


def test_an_adopted_session_counts_at_its_host_until_it_ends():
    calls = Calls(make_controller(2))
    calls.adopt_session(T0, make_request(1), 1, HOSTS[1])
    assert calls.has_session_at(HOSTS[1]) and len(calls.controller.servers[HOSTS[1]].sessions) == 1
    commands = calls.handle_session_end(T0 + S, (1).to_bytes(8), HOSTS[1], Outcome.RESET)
    assert [type(each) for each in commands] == [c.ReleaseToViewer]
    assert not calls.controller.sessions and not calls.has_session_at(HOSTS[1])
