"""Tests crash recovery: paid set-ups are recorded before they are sent and settled by hosts' reports."""

from collections import deque
from dataclasses import replace
from itertools import product

import msgspec
import pytest
from helpers import S, server_entry, settings

from mintmast import interface as api
from mintmast.decide import Controller
from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.records import (
    Intent,
    RecordKind,
    RecordsWritten,
    StoredRecord,
    WriteRecords,
    recover_state,
)
from mintmast.decisions.outcomes import RECOVERY_TABLE, Evidence, HostReport, RecoveryOutcome, memory_covers
from mintmast.decisions.sessions.book import SessionBook
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.lab import drills

LEASE, T0 = 4 * S, 1000 * S
NAMES = Catalogue(("paid", "free"), ("one", "two"), tuple(f"t{n}" for n in range(9)))


class GatewayRun:
    """One run of a gateway's process with a store; `rows` is its disk."""

    def __init__(self, rows, now=T0, generation=7, members=(), names=NAMES, seats=2):
        self.rows, self.now = rows, now
        paid, free = settings().classes
        controller = Controller(settings(classes=(replace(paid, seats=seats), free)), 1)
        self.book = SessionBook(
            controller.settings, controller.handle, LEASE, 100, None, "g0", generation, members, names
        )
        self.out = self.book.start(now, recover_state(list(rows.values())))
        self.handle(msg.ServerListUpdate(api.ListKind.FULL, 1, tuple(server_entry(n) for n in range(4))))
        for n in range(4):
            self.handle(msg.HostConnected(server_entry(n).server, "p", None, False, 5))

    def handle(self, event, after=1000):
        self.now += after
        self.out += self.book.handle(self.now, event)

    def take_commands(self, kind):
        found = [each for each in self.out if isinstance(each, kind)]
        self.out = [each for each in self.out if not isinstance(each, kind)]
        return found

    def flush(self, good=True):
        """Complete the pending writes of the store; they fail if `good` is false."""
        for write in self.take_commands(WriteRecords):
            if good:
                for each in write.records:
                    self.rows[each.kind, each.key] = each
                    if each.value is None:
                        del self.rows[each.kind, each.key]
            if write.token:
                self.handle(RecordsWritten(write.token, good))

    def fire_timer(self, name):
        """Fire the first pending timer of a kind."""
        wake = next(
            each for each in self.out if isinstance(each, msg.ScheduleTimer) and each.token[0] == name
        )
        self.out.remove(wake)
        self.now = max(self.now, wake.at)
        self.handle(msg.TimerFired(wake.token), 0)

    def ask(self, number, key="k", service=0, title=5):
        self.handle(msg.ViewerRequest(number, service, 0, title, 0, 4, 3, 2 * S, key, 10 * S))

    def verdicts(self):
        return [each.verdict for each in self.take_commands(msg.AnswerRequest)]

    def answer_query(self, word, since=0, rung=2, clock=9):
        (query,) = self.take_commands(msg.SendReconciliation)
        words = tuple((number, word, rung) for number, _ in query.sessions) if word else ()
        status = msg.HostStatus((), clock) if word else msg.NO_STATUS
        self.handle(
            msg.ReconciliationEnded(
                query.server, self.now - 500, query.call_number, since if word else -1, words, status
            )
        )


def play_session(rows, **more):
    """Play a paid session in one run of the gateway and return its set-up."""
    first = GatewayRun(rows, **more)
    first.ask(1)
    assert not first.take_commands(msg.SendSetUp)  # not before the record is durable
    first.flush()
    (sent,) = first.take_commands(msg.SendSetUp)
    first.handle(msg.SetUpEnded(sent.session, 0, Evidence.STARTED))
    assert first.verdicts() == [msg.Verdict.PLAYS]
    return sent


def test_set_up_that_cannot_be_recorded_is_not_sent_and_its_viewer_is_refused():
    gateway = GatewayRun({})
    gateway.ask(1)
    gateway.flush(good=False)
    (answer,) = gateway.take_commands(msg.AnswerRequest)
    assert (
        answer.verdict is msg.Verdict.REFUSED
        and "records" in answer.reason
        and not gateway.take_commands(msg.SendSetUp)
    )
    gateway.ask(2)  # the disk hangs: the request times out with nothing sent
    gateway.take_commands(msg.AnswerRequest)
    writes = gateway.take_commands(WriteRecords)
    gateway.fire_timer("late")
    gateway.fire_timer("late")
    assert gateway.verdicts() == [msg.Verdict.REFUSED]
    gateway.ask(3, "gone")
    gateway.handle(msg.RequestCancelled(3))
    gateway.out += writes
    gateway.flush()
    assert not gateway.take_commands(msg.SendSetUp) and not gateway.book.held
    gateway.ask(4)
    gateway.flush()
    assert len(gateway.take_commands(msg.SendSetUp)) == 1
    gateway.ask(5, "free one", service=1)
    assert len(gateway.take_commands(msg.SendSetUp)) == 1  # does not wait for the record


def test_playing_session_resumes_after_a_restart_with_its_name_and_seat():
    rows = {}
    sent = play_session(rows)
    gateway = GatewayRun(rows, now=T0 + S, generation=8, seats=1)
    (named,) = gateway.take_commands(msg.SessionNamed)
    assert named.name == "g0-7-1"
    gateway.ask(1)
    gateway.ask(2, "other")
    # the only seat is taken; the request with the key waits
    assert gateway.verdicts() == [msg.Verdict.REFUSED]
    gateway.answer_query(HostReport.PLAYS)
    (answer,) = gateway.take_commands(msg.AnswerRequest)
    assert (answer.verdict, answer.server, answer.rung, answer.epoch) == (
        msg.Verdict.PLAYS,
        sent.server,
        2,
        sent.epoch,
    )
    gateway.fire_timer("renew")
    (renewal,) = gateway.take_commands(msg.SendRenewal)
    assert renewal.sessions == ((named.session, sent.epoch, 2),)
    gateway.handle(msg.SessionEnded(sent.server, named.session))
    gateway.flush()
    third = GatewayRun(rows, now=T0 + 9 * S, generation=9)
    third.ask(1)
    assert third.verdicts() == [msg.Verdict.FAILED] and not third.take_commands(msg.SendReconciliation)


@pytest.mark.parametrize(("word", "since"), [(HostReport.RAN, 0), (HostReport.NOT_HERE, 8)])
def test_key_of_a_session_that_ran_or_may_have_run_stays_used(word, since):
    rows = {}
    play_session(rows)
    gateway = GatewayRun(rows, now=T0 + S, generation=8, seats=1)
    gateway.ask(1)
    gateway.answer_query(word, since)
    assert gateway.verdicts() == [msg.Verdict.FAILED]
    gateway.flush()
    gateway.ask(2, "other")
    gateway.flush()
    assert len(gateway.take_commands(msg.SendSetUp)) == 1  # its seat is free
    gateway.ask(3)
    assert gateway.verdicts() == [msg.Verdict.FAILED]


def test_session_that_never_ran_is_refused_and_may_be_requested_again():
    rows = {}
    members = ("g0", "g1", "g2")
    first = GatewayRun(rows, members=members)
    first.ask(1)
    for peer in ("g1", "g2"):
        first.handle(claim_messages.PeerStatusChanged(peer, Liveness.HEARD, 5))
    for claim in first.take_commands(claim_messages.SendClaim):
        first.handle(
            claim_messages.VoteReceived(claim.peer, claim.number, claim_messages.Vote.GRANTED, (), 5)
        )
    first.flush()
    assert len(first.take_commands(msg.SendSetUp)) == 1  # and the gateway crashes
    gateway = GatewayRun(rows, now=T0 + S, generation=8, members=members)
    gateway.ask(1)
    gateway.answer_query(HostReport.NOT_HERE)
    assert gateway.verdicts() == [msg.Verdict.REFUSED]
    released = gateway.take_commands(claim_messages.SendRelease)
    assert {each.owner for each in released} == {"g0/7"} and len(released) == 2
    gateway.flush()
    assert not [key for kind, key in rows if kind == RecordKind.INTENT.value]


def test_host_that_does_not_reply_is_queried_until_nothing_can_play_there():
    rows = {}
    play_session(rows)
    gateway = GatewayRun(rows, now=T0 + S, generation=8, seats=1)
    begin, queries = gateway.now, 0
    while gateway.book.recovery.unsettled_count and queries < 99:
        gateway.answer_query(None)
        queries += 1
        if gateway.book.recovery.unsettled_count:
            gateway.fire_timer("settle")
    assert queries > 5 and 2 * LEASE < gateway.now - begin < 3 * LEASE
    gateway.ask(1)
    assert gateway.verdicts() == [msg.Verdict.FAILED]
    gateway.ask(2, "other")
    gateway.flush()
    assert len(gateway.take_commands(msg.SendSetUp)) == 1


def test_free_session_resumes_unless_its_viewer_has_retried():
    rows = {}
    first = GatewayRun(rows)
    for number in (1, 2):
        first.ask(number, f"k{number}", service=1)
    first.flush()
    for sent in first.take_commands(msg.SendSetUp):
        first.handle(msg.SetUpEnded(sent.session, 0, Evidence.STARTED))
    gateway = GatewayRun(rows, now=T0 + S, generation=8)
    gateway.ask(1, "k1", service=1)
    (again,) = gateway.take_commands(msg.SendSetUp)
    gateway.handle(msg.SetUpEnded(again.session, 0, Evidence.STARTED))
    for query in gateway.take_commands(msg.SendReconciliation):
        words = tuple((number, HostReport.PLAYS, 1) for number, _ in query.sessions)
        gateway.handle(
            msg.ReconciliationEnded(
                query.server, gateway.now, query.call_number, 0, words, msg.HostStatus((), 9)
            )
        )
    assert len(gateway.take_commands(msg.SendTermination)) == 1 and gateway.book.held == 2
    gateway.ask(2, "k2", service=1)
    assert gateway.verdicts() == [msg.Verdict.PLAYS] * 2 and not gateway.take_commands(msg.SendSetUp)


def test_settings_changed_during_a_restart_never_make_a_used_key_usable():
    rows = {}
    play_session(rows)
    turned = replace(NAMES, titles=tuple(reversed(NAMES.titles)))
    gateway = GatewayRun(rows, now=T0 + S, generation=8, names=turned)
    (found,) = gateway.book.sessions.by_number.values()
    assert found.request.title == NAMES.titles[::-1].index("t5")
    fewer = GatewayRun(rows, now=T0 + S, generation=8, names=replace(NAMES, titles=("t0",)))
    assert not fewer.book.held
    fewer.ask(1)
    assert fewer.verdicts() == [msg.Verdict.FAILED]


def test_operators_orders_survive_a_crash_and_are_confirmed_when_durable():
    rows = {}
    first = GatewayRun(rows, members=("g0", "g1", "g2"))
    server = server_entry(2).server
    first.handle(msg.DrainOrdered(server, True, 60 * S))
    assert not first.take_commands(msg.DrainRecorded)
    first.handle(claim_messages.PeerStatusChanged("g1", Liveness.ORDER, 5))
    first.flush()
    assert first.take_commands(msg.DrainRecorded) == [msg.DrainRecorded(server, True)]
    kept = recover_state(list(rows.values()))
    assert kept.members == {"g1": (5, True)}
    gateway = GatewayRun(rows, now=T0 + S, generation=8)
    assert gateway.book.host_watch.hosts[server].drain_ordered and gateway.book.host_watch.should_vacate(
        server
    )
    assert gateway.book.fleet.drains.deadline_of(server) - T0 > 55 * S
    gateway.handle(msg.DrainOrdered(server, False))
    gateway.flush()
    assert not GatewayRun(rows, now=T0 + 2 * S, generation=9).book.host_watch.should_vacate(server)


def test_malformed_intents_neither_start_sessions_nor_stop_the_gateway():
    good = Intent(10**12, "k", "g0-7-1", "h:1", 3, 5, 1, "paid", "one", "t5", 3, 9, 0, 4, False)
    odd = [msgspec.structs.replace(good, rung=99, best_rung=-5, server="no address", epoch=-1, clock=-9)]
    odd += [msgspec.structs.replace(good, service="nobody", length=-1)]
    for each in odd:
        rows = {("intent", "d"): StoredRecord("intent", "d", msgspec.msgpack.encode(each))}
        gateway = GatewayRun(rows)
        gateway.ask(1)
        assert msg.Verdict.PLAYS not in gateway.verdicts()


# What a host's report proves: exhaustive exploration of all that may happen to one set-up


FIELDS = "stage clock record out host fenced ran plays asks answers fate".split()


def explore(fates=RECOVERY_TABLE, covers=memory_covers, fence=True, record_first=True):
    """Explore a paid set-up with a crash of its gateway, a restart of its host, and delayed or lost queries.

    A state is (gateway, clock reading, record on disk, set-up, host's process, fenced there, the process in
    which it ran, plays, queries under way, replies under way, conclusion). Set-ups and queries are bound to
    the process to which they were sent.
    Returns the number of states, and the first state that violates an invariant, if any.
    """
    # set-up: "none", "held" (waits for its record), ("out", the host's process), "gone"; clock: -1, 0 or 1
    begin = [("held", clock, None, "none", 0, False, None, False, (), (), None) for clock in (-1, 0)]
    if not record_first:
        begin = [(*each[:3], ("out", 0), *each[4:]) for each in begin]
    seen, queue = set(begin), deque(begin)
    while queue:
        state = queue.popleft()
        stage, clock, record, out, host, fenced, ran, plays, asks, answers, fate = state
        may_run = out == ("out", host) and not fenced
        if fate is RecoveryOutcome.NEVER_RAN and (ran is not None or may_run):
            return len(seen), state
        if stage == "lost" and (ran is not None or may_run):
            return len(seen), state  # the next run of the gateway has no record and would set it up again
        after = []

        def to(state=state, after=after, **more):
            after.append(tuple(more.get(name, value) for name, value in zip(FIELDS, state, strict=True)))

        if stage == "held":
            to(record=True)
            if record or not record_first:
                to(stage="sent", out=("out", host) if out == "none" else out)
            to(stage="dead")
        if stage == "sent":
            to(stage="dead")
        if stage == "dead":
            to(stage="asking" if record else "lost")
        if may_run:
            to(out="gone", ran=host, plays=True)
        if out != "none":
            to(out="gone")  # lost in the network, or refused
        if host == 0:
            to(host=1, fenced=False, plays=False)  # a new process without memory of the old one
        if plays:
            to(plays=False)
        if stage == "asking" and fate is None and len(asks) + len(answers) < 2:
            to(asks=(*asks, host))
        for place, process in enumerate(asks):
            rest = asks[:place] + asks[place + 1 :]
            to(asks=rest)
            if process == host:
                word = HostReport.PLAYS if plays else HostReport.RAN if ran == host else HostReport.NOT_HERE
                stop = fenced or (fence and word is HostReport.NOT_HERE)
                to(asks=rest, fenced=stop, answers=(*answers, (word, host)))
        for place, (word, since) in enumerate(answers):
            rest = answers[:place] + answers[place + 1 :]
            to(answers=rest)
            if fate is None:
                to(answers=rest, fate=fates[word, covers(clock, since)].outcome)
        for each in after:
            if each not in seen:
                seen.add(each)
                queue.append(each)
    return len(seen), None


def test_session_that_ran_or_may_run_is_never_concluded_to_have_never_run():
    states, broken = explore()
    print(states, "states")
    assert broken is None and states > 500


@pytest.mark.parametrize(
    "fault",
    [
        {"covers": lambda clock, since: True},  # a restarted host is believed
        {"fence": False},  # a set-up still under way may run after the query
        {"record_first": False},
        {"fates": {**RECOVERY_TABLE, (HostReport.RAN, True): RECOVERY_TABLE[HostReport.NOT_HERE, True]}},
    ],
)
def test_exploration_detects_each_removed_defence(fault):
    assert explore(**fault)[1] is not None


def test_recovery_table_has_a_row_for_each_report():
    assert set(RECOVERY_TABLE) == set(product(HostReport, (True, False))) and all(
        row.reason for row in RECOVERY_TABLE.values()
    )


# Drills


@pytest.mark.parametrize("name", ["kill-lone", "kill-hosts", "kill-lone-hosts", "kill-clock", "kill-long"])
def test_crash_drills_keep_all_rules_and_playing_sessions_resume(name):
    report = drills.run(name, 502, "memory")
    assert report["good"], report["rules"]
    assert report["measures"]["settled_plays"] > 20
    assert name != "kill-long" or report["measures"]["broken_off"] == 0


@pytest.mark.parametrize(
    ("name", "fault", "rule"),
    [
        ("kill-lone", "no-intent", "set_up_once"),
        ("kill-lone-hosts", "trusting", "set_up_once"),
        ("kill-clock", "start-from-clock", "votes_at_end"),
        ("kill-long-bare", None, "set_up_once"),
    ],
)
def test_drills_without_a_defence_break_its_rule(name, fault, rule):
    assert drills.run(name, 503, "memory", fault)["rules"][rule]["broken"]
