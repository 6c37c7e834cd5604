"""Tests the session book alone: the outcome table, edge cases, and random event sequences."""

import random
from dataclasses import replace

import pytest
from helpers import S, server_entry, settings
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from mintmast import Controller
from mintmast import interface as api
from mintmast.decisions import messages as msg
from mintmast.decisions.hosts.list_handover import WATCHES_PER_TURN
from mintmast.decisions.outcomes import OUTCOME_TABLE, Evidence
from mintmast.decisions.sessions.book import ANSWER_BACKSTOP_US, SessionBook
from mintmast.decisions.sessions.keys import KEY_RETENTION_US
from mintmast.decisions.sessions.lease import MAX_CLOCK_DRIFT, HostClock, Lease
from mintmast.decisions.sessions.terminations import ATTEMPT_TIMEOUT_US
from mintmast.interface import ServerState

LEASE = 4 * S
T0 = 1000 * S
NEVER_RAN = {
    Evidence.FULL, Evidence.FENCED, Evidence.MOOT, Evidence.REFUSED, Evidence.NOT_CONNECTED,
    Evidence.CUT_UNSENT, Evidence.LATE_UNSENT, Evidence.CALLED_OFF_UNSENT, Evidence.UNRECORDED,
    Evidence.WITHDRAWN, Evidence.DRAINED,
}  # fmt: skip


def new_book(servers=4, **changes):
    controller = Controller(settings(**changes), 1)
    book = SessionBook(controller.settings, controller.handle, LEASE, epoch_base=100)
    book.start(T0 - 100 * S)
    book.handle(
        T0 - 100 * S,
        msg.ServerListUpdate(api.ListKind.FULL, 1, tuple(server_entry(n) for n in range(servers))),
    )
    return book


def viewer_request(number, service=0, key="", timeout=2 * S, title=5):
    return msg.ViewerRequest(number, service, 0, title, 0, 4, 3, timeout, key)


def only(commands, kind):
    return [each for each in commands if isinstance(each, kind)]


def one(commands, kind):
    found = only(commands, kind)
    assert len(found) == 1, commands
    return found[0]


@pytest.mark.parametrize("evidence", [each for each in Evidence if each is not Evidence.STARTED])
def test_no_outcome_lets_a_paid_session_that_may_have_run_be_set_up_again(evidence):
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1)), msg.SendSetUp)
    after = book.handle(T0 + 1000, msg.SetUpEnded(sent.session, 0, evidence))
    if evidence in (Evidence.MOOT, Evidence.UNRECORDED, Evidence.WITHDRAWN):
        assert one(after, msg.AnswerRequest).verdict is msg.Verdict.REFUSED
    elif evidence in NEVER_RAN:
        again = one(after, msg.SendSetUp)
        assert again.server != sent.server and again.epoch > sent.epoch
        assert not only(after, msg.SendTermination)
    else:
        assert one(after, msg.AnswerRequest).verdict is msg.Verdict.FAILED
        end = one(after, msg.SendTermination)
        assert (end.server, end.epoch) == (sent.server, sent.epoch)
    assert OUTCOME_TABLE[evidence].never_ran is (evidence in NEVER_RAN)


def test_free_session_is_resent_to_another_host_and_its_lost_attempt_is_terminated():
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, service=1)), msg.SendSetUp)
    after = book.handle(T0 + S, msg.SetUpEnded(sent.session, 0, Evidence.SILENT))
    assert one(after, msg.SendSetUp).server != sent.server
    assert one(after, msg.SendTermination).server == sent.server


def test_reply_at_the_deadline_is_either_answered_or_late_but_never_both():
    for answer_first in (True, False):
        book = new_book()
        sent = one(book.handle(T0, viewer_request(1)), msg.SendSetUp)
        started = msg.SetUpEnded(sent.session, 0, Evidence.STARTED)
        late = msg.TimerFired(("late", sent.session))
        first, second = (started, late) if answer_first else (late, started)
        answers = only(book.handle(T0 + 2 * S, first) + book.handle(T0 + 2 * S, second), msg.AnswerRequest)
        assert [each.verdict for each in answers] == [
            msg.Verdict.PLAYS if answer_first else msg.Verdict.FAILED
        ]
        assert book.set_ups.late_starts == (not answer_first)


def test_abandoned_attempt_is_terminated_with_retries_until_the_host_confirms():
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1)), msg.SendSetUp)
    end = one(book.handle(T0 + 2 * S, msg.SetUpEnded(sent.session, 0, Evidence.SILENT)), msg.SendTermination)
    timer = one(
        book.handle(T0 + 3 * S, msg.TerminationAttemptEnded(end.session, end.server, False)),
        msg.ScheduleTimer,
    )
    assert one(book.handle(timer.at, msg.TimerFired(timer.token)), msg.SendTermination) == end.__class__(
        end.session, end.server, end.epoch, timer.at + ATTEMPT_TIMEOUT_US
    )
    assert book.handle(timer.at + 1, msg.TerminationAttemptEnded(end.session, end.server, True)) == []
    assert book.handle(timer.at + 2, msg.TimerFired(timer.token)) == []


def test_two_requests_of_one_key_share_one_set_up_and_both_are_answered():
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, key="k")), msg.SendSetUp)
    assert not only(book.handle(T0 + 1, viewer_request(2, key="k")), msg.SendSetUp)
    answers = only(book.handle(T0 + 2, msg.SetUpEnded(sent.session, 0, Evidence.STARTED)), msg.AnswerRequest)
    assert {each.request_id for each in answers} == {1, 2}
    third = one(book.handle(T0 + S, viewer_request(3, key="k")), msg.AnswerRequest)
    assert (third.verdict, third.session) == (msg.Verdict.PLAYS, sent.session)


def test_paid_key_that_may_have_run_is_not_set_up_again_but_a_refused_one_may_be():
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, key="k")), msg.SendSetUp)
    book.handle(T0 + 1, msg.SetUpEnded(sent.session, 0, Evidence.CUT))
    assert (
        one(book.handle(T0 + 2, viewer_request(2, key="k")), msg.AnswerRequest).verdict is msg.Verdict.FAILED
    )
    assert one(book.handle(T0 + KEY_RETENTION_US + 2 * S, viewer_request(3, key="k")), msg.SendSetUp)
    empty = new_book(servers=0)
    assert one(empty.handle(T0, viewer_request(1, key="k")), msg.AnswerRequest).verdict is msg.Verdict.REFUSED
    assert one(empty.handle(T0, viewer_request(2, key="k")), msg.AnswerRequest).verdict is msg.Verdict.REFUSED


def test_set_up_of_a_viewer_who_leaves_is_cancelled_and_terminated():
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, key="k")), msg.SendSetUp)
    after = book.handle(T0 + 1, msg.RequestCancelled(1))
    assert one(after, msg.CancelSetUp).session == sent.session
    assert one(after, msg.SendTermination).epoch == sent.epoch
    assert book.handle(T0 + 2, msg.SetUpEnded(sent.session, 0, Evidence.STARTED)) == []
    assert book.set_ups.late_starts == 1 and not book.sessions.by_number


def playing(book, number=1, now=T0, service=1):
    sent = one(book.handle(now, viewer_request(number, service=service)), msg.SendSetUp)
    book.handle(now + 1000, msg.SetUpEnded(sent.session, 0, Evidence.STARTED))
    return sent


def test_leases_are_renewed_while_the_host_replies_and_expire_when_it_is_silent():
    book = new_book()
    sent = playing(book)
    now, renewals = T0 + 1000, 0
    while sent.session in book.sessions.by_number and now < T0 + 60 * S:
        now += LEASE // 3
        commands = book.handle(now, msg.TimerFired(("renew", sent.server)))
        for renew in only(commands, msg.SendRenewal):
            renewals += 1
            answered = renewals <= 5
            now += 1000
            numbers = tuple(each[0] for each in renew.sessions)
            book.handle(
                now, msg.RenewalEnded(sent.server, now - 1000, renew.call_number, answered, True, numbers)
            )
    # five were answered and later ones may have arrived; the session ends only after these can have expired
    assert 7 <= renewals <= 9 and sent.session not in book.sessions.by_number
    assert now >= T0 + (renewals + 3) * LEASE // 3


def test_long_list_is_passed_in_slices_and_does_not_undo_a_concurrent_drain():
    controller = Controller(settings(), 1)
    book = SessionBook(controller.settings, controller.handle, LEASE)
    book.start(T0)
    entries = tuple(replace(server_entry(0), server=b"host-%d:1" % n, cell=n % 4) for n in range(2000))
    queue, watched, turns = book.handle(T0, msg.ServerListUpdate(api.ListKind.FULL, 1, entries)), 0, 0
    book.handle(T0, msg.HostDrainChanged(b"host-1999:1", True))
    while timers := [each for each in queue if isinstance(each, msg.ScheduleTimer)]:
        watched += len(only(queue, msg.WatchHost))
        assert len(only(queue, msg.WatchHost)) <= 2 * WATCHES_PER_TURN
        queue = [
            command for timer in timers for command in book.handle(timer.at, msg.TimerFired(timer.token))
        ]
        turns += 1
    states = [controller.servers[entry.server].entry.state for entry in entries]
    assert states.count(ServerState.READY) == 1999 and states[1999] is ServerState.DRAINING
    assert watched + len(only(queue, msg.WatchHost)) == 2000 and turns > 5


def test_renewals_of_many_sessions_are_split_into_calls_of_limited_size():
    book = new_book(servers=1, kind_streams=(5000,), weight_kb=1e9, links_kb=1e9, uplink_kb=0.0)
    for number in range(1, 951):
        sent = playing(book, number, T0 + number * 1000)
    renewals = only(book.handle(T0 + 2 * S, msg.TimerFired(("renew", sent.server))), msg.SendRenewal)
    assert [len(each.sessions) for each in renewals] == [200, 200, 200, 200, 150]
    assert len({each.call_number for each in renewals}) == 5


def test_host_that_refuses_connections_loses_its_sessions_and_is_gone_until_it_reconnects():
    book = new_book(servers=1)
    sent = playing(book)
    book.handle(T0 + S, msg.HostConnected(sent.server, "p1", None, False))
    book.handle(T0 + 2 * S, msg.HostDisconnected(sent.server, 0.5, refused=True))
    assert sent.session not in book.sessions.by_number
    assert (
        one(book.handle(T0 + 3 * S, viewer_request(2, service=1)), msg.AnswerRequest).verdict
        is msg.Verdict.REFUSED
    )
    book.handle(T0 + 4 * S, msg.HostConnected(sent.server, "p2", 10_000, False))
    # the host is back with cold caches: the module paces set-ups there, as the start of its process is known
    counts = [
        len(only(book.handle(T0 + 4 * S + n, viewer_request(10 + n, service=1)), msg.SendSetUp))
        for n in range(30)
    ]
    assert 1 <= sum(counts) <= 4


def test_drain_reported_by_a_host_stops_set_ups_at_once_and_the_list_cannot_revoke_it():
    book = new_book(servers=1)
    server = server_entry(0).server
    book.handle(T0, msg.HostDrainChanged(server, True))
    book.handle(T0 + 1, msg.ServerListUpdate(api.ListKind.FULL, 2, (server_entry(0),)))
    assert one(book.handle(T0 + 2, viewer_request(1)), msg.AnswerRequest).verdict is msg.Verdict.REFUSED
    book.handle(T0 + 3, msg.HostDrainChanged(server, False))
    assert one(book.handle(T0 + 4, viewer_request(2)), msg.SendSetUp)
    book.handle(T0 + 5, msg.ServerListUpdate(api.ListKind.FULL, 3, (server_entry(0, ServerState.DRAINING),)))
    assert one(book.handle(T0 + 6, viewer_request(3)), msg.AnswerRequest).verdict is msg.Verdict.REFUSED


CALLS = st.lists(
    st.tuples(st.integers(1000, 3 * S), st.integers(0, 400_000), st.integers(0, 12 * S), st.booleans()),
    max_size=12,
)


@given(CALLS, st.integers(-99, 99), st.integers(0, 10**9))
def test_lease_bounds_hold_however_late_a_host_processes_renewals(calls, percent, offset):
    """The host has its own clock, can be suspended, and may process renewals long after they timed out."""
    rate = 1 + percent / 100 * MAX_CLOCK_DRIFT * 0.99

    def host(at):  # the host's clock at a time on the gateway's clock
        return offset + int((at - T0) * rate)

    lease, clock, now = Lease(), HostClock(), T0
    clock.record_reading(host(T0 + 100), T0 + 200, T0)
    taken = []
    for number, (gap, there, stands, answered) in enumerate(calls, 1):
        now += gap
        ends = clock.reading + LEASE
        lease.record_call(number, now, LEASE, clock)
        taken.append((now + there + (0 if answered else stands), number, ends))
        if answered:
            now += there * 2
            lease.record_answer(number)
            clock.record_reading(host(now - there), now, now - there * 2)
    until = last = 0
    for _, number, ends in sorted(taken):  # in the order of processing; the host ignores outdated calls
        if number > last:
            until, last = ends, number
    if calls:
        over = T0 + (until - offset) / rate  # on the gateway's clock
        assert over <= lease.expires_at and lease.rests_on_readings
        if all(answered for *_, answered in calls):
            assert lease.held_until <= over + 1


KINDS = "ask ask ask again gone start start fail fail wait lost hello drain drain over poll poll poll".split()
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(KINDS),
        st.integers(0, 10**6),
    ),
    max_size=120,
)


@tries(max_examples=150, deadline=None)
@given(EVENTS, st.integers(0, 3))
def test_random_events_keep_one_answer_one_attempt_and_no_second_paid_set_up(events, seed):
    budget = api.AttemptBudget(5 * S, 2, 0.2)
    book = new_book(servers=5, budget=budget, must_subscribe=bool(seed % 2))
    world = FakeWorld(book)
    for what, draw in events:
        world.step(what, draw)
    for _ in range(300):  # until all timers and leases have expired
        world.step("wait", 250_000)
    world.check_finished()


def test_random_events_with_many_moves_keep_the_same_invariants():
    counts = dict.fromkeys(("moved", "lost", "stayed", "over"), 0)
    for seed in range(120):
        draw = random.Random(seed)
        book = new_book(servers=5, budget=api.AttemptBudget(5 * S, 5, 1.0))
        world = FakeWorld(book)
        for _ in range(150):
            world.step(draw.choice(KINDS), draw.randrange(10**6))
        for _ in range(100):
            world.step("wait", 250_000)
        world.check_finished()
        for name, count in book.moves.counts.items():
            counts[name] += count
    assert all(counts.values()), counts


class FakeWorld:
    """Simulates hosts and viewers of a random event sequence; checks each command as the book sends it."""

    def __init__(self, book):
        self.book, self.now, self.requests = book, T0, 0
        self.out, self.timers, self.answered, self.deadline = {}, [], {}, {}
        self.polls, self.polled = set(), 0
        self.may_have_run, self.paid, self.left, self.held = set(), {}, set(), {}
        self.key_ran = {}

    def handle(self, event):
        for command in self.book.handle(self.now, event):
            match command:
                case msg.AnswerPoll(poll):
                    assert poll in self.polls, "poll answered twice"
                    self.polls.remove(poll)
                case msg.SendSetUp(session, attempt, server, _, epoch, until, request, _, _, moved_from):
                    assert moved_from not in {number for number, _ in self.held}, "moved while it plays"
                    assert not (moved_from and request.service == 0), "paid session moved"
                    assert session not in self.out, "two attempts under way"
                    paid = request.service == 0
                    assert not (paid and session in self.may_have_run), "paid session sent twice"
                    assert not (paid and self.key_ran.get(request.key)), "paid key sent twice"
                    assert not request.request_id or until <= self.deadline[request.request_id]
                    self.out[session] = (attempt, server, epoch, until, request)
                    self.held[session, server] = epoch
                case msg.CancelSetUp(session, _):
                    self.out.pop(session, None)
                case msg.SendTermination(session, server, epoch):
                    if self.held.get((session, server), 0) <= epoch:
                        self.held.pop((session, server), None)
                    self.timers.append(
                        (self.now + 1000, msg.TerminationAttemptEnded(session, server, bool(epoch % 3)))
                    )
                case msg.AnswerRequest(number, verdict, session):
                    assert number not in self.answered, "request answered twice"
                    assert number not in self.left, "answer to a viewer who left"
                    assert self.now <= self.deadline[number] + ANSWER_BACKSTOP_US, "late answer"
                    self.answered[number] = verdict
                    if verdict is msg.Verdict.REFUSED:
                        assert not (self.paid[number] and session in self.may_have_run)
                case msg.ScheduleTimer(at, token):
                    self.timers.append((at, msg.TimerFired(token)))
                case msg.SendRenewal(server, sessions, _, call):
                    numbers = tuple(each[0] for each in sessions)
                    self.timers.append(
                        (
                            self.now + 1000,
                            msg.RenewalEnded(
                                server, self.now, call, True, True, numbers, (), msg.HostStatus((), self.now)
                            ),
                        )
                    )

    def step(self, what, draw):
        if what in ("ask", "again"):
            self.requests += 1
            service, key = draw % 2, f"k{draw % 7}" if what == "again" else ""
            self.paid[self.requests] = service == 0
            self.deadline[self.requests] = self.now + 2 * S
            self.handle(
                msg.ViewerRequest(
                    self.requests, service, 0, draw % 3, 0, 4, 3, 2 * S, f"{service}{key}" if key else ""
                )
            )
        elif what == "gone" and self.requests:
            number = draw % self.requests + 1
            if number not in self.answered:
                self.left.add(number)
                self.handle(msg.RequestCancelled(number))
        elif what in ("start", "fail") and self.out:
            session = sorted(self.out)[draw % len(self.out)]
            attempt, server, epoch, _, request = self.out.pop(session)
            kinds = sorted(OUTCOME_TABLE, key=lambda each: each.value)
            evidence = Evidence.STARTED if what == "start" else kinds[draw % len(kinds)]
            self.end(session, attempt, server, request, evidence)
        elif what == "over" and self.book.sessions.by_number:
            session = sorted(self.book.sessions.by_number)[draw % len(self.book.sessions.by_number)]
            for server in [server_entry(n).server for n in range(5)]:
                if session not in self.out:
                    self.held.pop((session, server), None)
                    self.handle(msg.SessionEnded(server, session))
        elif what == "poll" and self.book.sessions.by_number:
            self.polled += 1
            self.polls.add(self.polled)
            session = sorted(self.book.sessions.by_number)[draw % len(self.book.sessions.by_number)]
            self.handle(msg.Poll(self.polled, session, draw % 5 * 3 * S, S))
        elif what == "lost":
            if draw % 3:
                self.died(server_entry(draw % 5).server)
            self.handle(msg.HostDisconnected(server_entry(draw % 5).server, 0.5, bool(draw % 3)))
        elif what == "hello":
            self.died(server_entry(draw % 5).server)
            self.handle(
                msg.HostConnected(server_entry(draw % 5).server, f"p{self.requests}", 0, not draw % 5)
            )
        elif what == "drain":
            self.handle(msg.HostDrainChanged(server_entry(draw % 5).server, bool(draw % 2)))
        elif what == "wait":
            self.wait(self.now + draw)

    def died(self, server):
        """End the sessions of a host's process; set-ups under way may reach its next process."""
        for session, place in list(self.held):
            if place == server and session not in self.out:
                del self.held[session, place]

    def end(self, session, attempt, server, request, evidence):
        if evidence not in NEVER_RAN:
            self.may_have_run.add(session)
            if request.key:
                self.key_ran[request.key] = True
        else:
            self.held.pop((session, server), None)
        replied = evidence in (Evidence.STARTED, Evidence.FULL, Evidence.FENCED, Evidence.HOST_ERROR)
        status = msg.HostStatus((), self.now) if replied else msg.NO_STATUS
        self.handle(msg.SetUpEnded(session, attempt, evidence, status))

    def wait(self, until):
        for server in [server_entry(n).server for n in range(5)]:
            self.handle(msg.HostHeartbeat(server, self.now))
        while True:
            due = [(until_, s) for s, (_, _, _, until_, _) in self.out.items() if until_ <= until]
            timers = [at for at, _ in self.timers if at <= until]
            if not due and not timers:
                break
            if due and (not timers or min(due)[0] <= min(timers)):
                self.now, session = max(self.now, min(due)[0]), min(due)[1]
                attempt, server, _, _, request = self.out.pop(session)
                self.end(session, attempt, server, request, Evidence.SILENT)
                continue
            self.timers.sort(key=lambda each: each[0])
            at, event = self.timers.pop(0)
            self.now = max(self.now, at)
            self.handle(event)
        self.now = max(self.now, until)

    def check_finished(self):
        assert set(self.answered) | self.left == set(range(1, self.requests + 1)), "request without an answer"
        assert not self.out and not self.polls
        held = {session for session, _ in self.held}
        assert held <= set(self.book.sessions.by_number), "a host holds a session that is never terminated"
