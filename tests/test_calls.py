"""The table of calls explored: doubled, late and crossed messages, and what is owed at the end."""

from helpers import T0, S, make_controller, server_entry
from hypothesis import given, settings
from hypothesis import strategies as st

from mintmast import interface as api
from mintmast.decisions.calls import calls as c
from mintmast.decisions.calls.calls import (
    TRANSITIONS,
    CallEvent,
    Calls,
    CallState,
    ControllerEvent,
    OutgoingMessage,
    ViewerRequest,
)
from mintmast.decisions.outcomes import OUTCOME_TABLE as OUTCOMES
from mintmast.decisions.outcomes import Evidence
from mintmast.interface import NoteKind, Outcome, ServerState

HOSTS = [server_entry(n).server for n in range(4)]
ENDS = [evidence for evidence in Evidence if OUTCOMES[evidence].outcome is not None]


def wish(number, service=1):
    return ViewerRequest(
        number.to_bytes(8), service, 0, 5, 3 * S, 0, 4, 3, 30 * S, forwarded=(b"class", b"title", b"v=0")
    )


class World:
    """What hosts and viewers believe, kept from the commands alone."""

    def __init__(self, may_cancel):
        self.calls = Calls(make_controller(4, may_cancel=may_cancel))
        self.now, self.number = T0, 0
        self.paid, self.answered, self.gone, self.ran = {}, {}, set(), set()
        self.out = {}  # call: host of its attempt
        self.standing = {}  # call: host, as hosts believe

    def take(self, commands):
        for command in commands:
            match command:
                case c.SendSetUp(call, host, _, _, until, passed):
                    assert call not in self.out, "two attempts out"
                    assert call not in self.answered, "sent after its answer"
                    assert not (self.paid[call] and call in self.ran), "paid set-up sent again"
                    assert self.now <= until and passed
                    self.out[call] = host
                case c.CancelSetUp(call, host):
                    assert self.out.pop(call) == host
                case c.ReleaseToHost(call, host):
                    self.standing.pop(call, None)
                    self.out.pop(call, None)
                case c.AnswerRequest(call):
                    assert call not in self.answered and call not in self.gone
                    self.answered[call] = "plays"
                case c.RefuseRequest(call) | c.FailRequest(call):
                    assert call not in self.answered and call not in self.gone
                    refused = isinstance(command, c.RefuseRequest)
                    assert not (refused and self.paid[call] and call in self.ran), "refused, may have run"
                    self.answered[call] = "no"
                case c.ReleaseToViewer(call):
                    assert self.answered[call] == "plays"
                    self.answered[call] = "over"

    def step(self, kind, pick):
        self.now += 10_000 + pick % 50_000
        known = list(self.paid)
        call = known[pick % len(known)] if known else bytes(8)
        host = HOSTS[pick // 7 % 4] if pick % 3 == 0 else self.out.get(call, HOSTS[pick % 4])
        if kind == "ask":
            self.number += 1
            new = wish(self.number, pick % 2)
            self.paid[new.call_id] = new.service == 0
            self.take(self.calls.handle_request(self.now, new, 1))
        elif kind == "started":
            if self.out.get(call) == host:
                self.standing[call] = self.out.pop(call)
                self.ran.add(call)
            self.take(self.calls.handle_answer(self.now, call, host, b"sdp"))
        elif kind == "ended":
            evidence = ENDS[pick % len(ENDS)]
            if self.out.get(call) == host:
                del self.out[call]
                if not OUTCOMES[evidence].never_ran:
                    self.ran.add(call)
            self.take(self.calls.handle_attempt_end(self.now, call, host, evidence))
        elif kind == "left":
            if call in self.paid and self.answered.get(call) != "no":
                self.gone.add(call)
            self.take(self.calls.handle_viewer_left(self.now, call))
        elif kind == "over":
            if self.standing.get(call) == host:
                del self.standing[call]
            outcome = (Outcome.SERVED, Outcome.RESET, Outcome.CANCELLED)[pick % 3]
            self.take(self.calls.handle_session_end(self.now, call, host, outcome))
        elif kind == "dead":
            self.standing = {k: v for k, v in self.standing.items() if v != host}
            self.take(self.calls.handle_host_death(self.now, host))
        elif kind == "noted":
            note = list(NoteKind)[pick % 4]
            self.take(self.calls.handle_note(self.now, call, host, note, (pick % 30) / 10))
        elif kind == "list":
            state = (ServerState.READY, ServerState.DRAINING, ServerState.GONE)[pick % 3]
            news = api.ServerList(api.ListKind.DELTA, self.now, (server_entry(pick % 4, state),))
            self.take(self.calls.handle_list(self.now, news))

    def settle(self):
        """End all that is out or stands, as hosts would in the end."""
        for _ in range(10):
            for call, host in list(self.out.items()):
                del self.out[call]
                self.now += 1000
                self.take(self.calls.handle_attempt_end(self.now, call, host, Evidence.FULL))
        for call, host in list(self.standing.items()):
            assert call in self.calls.by_id, "left standing"
            self.take(self.calls.handle_session_end(self.now, call, host, Outcome.SERVED))


KINDS = ["ask", "ask", "started", "started", "ended", "left", "over", "dead", "noted", "list"]


@settings(max_examples=150, deadline=None)
@given(st.booleans(), st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 10**6)), max_size=80))
def test_whatever_comes_in_whatever_order_each_call_has_one_answer_and_nothing_is_left(may_cancel, steps):
    world = World(may_cancel)
    for kind, pick in steps:
        world.step(kind, pick)
    world.settle()
    assert set(world.paid) == world.answered.keys() | world.gone
    assert not world.calls.by_id and not world.calls._by_number and not world.calls._by_host
    assert not world.calls.controller.sessions
    assert not any(each.sessions for each in world.calls.controller.servers.values())


def test_each_row_that_ends_a_call_tells_the_module_that_nothing_more_is_owed():
    for (stage, seen), step in TRANSITIONS.items():
        assert (step.next_state is None) == (step.controller_event is ControllerEvent.ATTEMPT_COMPLETE), (
            stage,
            seen,
        )
        if stage is CallState.ESTABLISHED:
            assert step.messages, "the side that does not know yet must hear of it"
        if seen is CallEvent.HOST_ANSWERED:
            assert (OutgoingMessage.ANSWER_TO_VIEWER in step.messages) != (
                OutgoingMessage.RELEASE_TO_HOST in step.messages
            ), "it plays or is cut"


def test_a_session_of_before_the_hosts_new_start_is_over_and_one_of_after_it_is_not():
    calls = Calls(make_controller(1))
    for number in (1, 2):
        now = T0 + number * S
        (sent,) = [
            each for each in calls.handle_request(now, wish(number), 1) if isinstance(each, c.SendSetUp)
        ]
        calls.handle_answer(now, sent.call_id, sent.host, b"sdp")
    commands = calls.handle_host_death(T0 + 3 * S, HOSTS[0], before=T0 + 3 * S // 2)
    assert [each.call_id for each in commands if isinstance(each, c.ReleaseToViewer)] == [(1).to_bytes(8)]


def test_a_session_found_playing_counts_at_its_host_until_it_is_over():
    calls = Calls(make_controller(2))
    calls.adopt_session(T0, wish(1), 1, HOSTS[1])
    assert calls.has_session_at(HOSTS[1]) and len(calls.controller.servers[HOSTS[1]].sessions) == 1
    commands = calls.handle_session_end(T0 + S, (1).to_bytes(8), HOSTS[1], Outcome.RESET)
    assert [type(each) for each in commands] == [c.ReleaseToViewer]
    assert not calls.controller.sessions and not calls.has_session_at(HOSTS[1])
