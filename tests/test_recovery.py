"""Paid set-ups over a gateway's death: recorded before they leave, settled by their hosts' word, once."""

from collections import deque
from dataclasses import replace
from itertools import product

import msgspec
import pytest
from helpers import S, server_entry, settings

from mintmast import interface as api
from mintmast.decide import Controller
from mintmast.decisions import messages as b
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
    """One life of a gateway with a store; `rows` is its disk."""

    def __init__(self, rows, now=T0, start=7, members=(), names=NAMES, seats=2):
        self.rows, self.now = rows, now
        paid, free = settings().classes
        controller = Controller(settings(classes=(replace(paid, seats=seats), free)), 1)
        self.book = SessionBook(
            controller.settings, controller.handle, LEASE, 100, None, "g0", start, members, names
        )
        self.out = self.book.start(now, recover_state(list(rows.values())))
        self.handle(b.ServerListUpdate(api.ListKind.FULL, 1, tuple(server_entry(n) for n in range(4))))
        for n in range(4):
            self.handle(b.HostConnected(server_entry(n).server, "p", None, False, 5))

    def handle(self, event, after=1000):
        self.now += after
        self.out += self.book.handle(self.now, event)

    def take_commands(self, kind):
        found = [each for each in self.out if isinstance(each, kind)]
        self.out = [each for each in self.out if not isinstance(each, kind)]
        return found

    def flush(self, good=True):
        """Let the disk take what waits."""
        for write in self.take_commands(WriteRecords):
            if good:
                for each in write.records:
                    self.rows[each.kind, each.key] = each
                    if each.value is None:
                        del self.rows[each.kind, each.key]
            if write.token:
                self.handle(RecordsWritten(write.token, good))

    def fire_timer(self, name):
        """Let the first wake of a kind come."""
        wake = next(each for each in self.out if isinstance(each, b.ScheduleTimer) and each.token[0] == name)
        self.out.remove(wake)
        self.now = max(self.now, wake.at)
        self.handle(b.TimerFired(wake.token), 0)

    def ask(self, number, key="k", service=0, title=5):
        self.handle(b.ViewerRequest(number, service, 0, title, 0, 4, 3, 2 * S, key, 10 * S))

    def verdicts(self):
        return [each.verdict for each in self.take_commands(b.AnswerRequest)]

    def answer_query(self, word, since=0, rung=2, clock=9):
        (asked,) = self.take_commands(b.SendReconciliation)
        words = tuple((number, word, rung) for number, _ in asked.sessions) if word else ()
        told = b.HostStatus((), clock) if word else b.NO_STATUS
        self.handle(
            b.ReconciliationEnded(
                asked.server, self.now - 500, asked.call_number, since if word else -1, words, told
            )
        )


def play_session(rows, **more):
    """Let a paid session play in one life; give its set-up."""
    first = GatewayRun(rows, **more)
    first.ask(1)
    assert not first.take_commands(b.SendSetUp)  # not before the record is durable
    first.flush()
    (sent,) = first.take_commands(b.SendSetUp)
    first.handle(b.SetUpEnded(sent.session, 0, Evidence.STARTED))
    assert first.verdicts() == [b.Verdict.PLAYS]
    return sent


def test_set_up_that_cannot_be_recorded_is_not_sent_and_its_viewer_is_refused():
    life = GatewayRun({})
    life.ask(1)
    life.flush(good=False)
    (give,) = life.take_commands(b.AnswerRequest)
    assert (
        give.verdict is b.Verdict.REFUSED and "records" in give.reason and not life.take_commands(b.SendSetUp)
    )
    life.ask(2)  # the disk stands: his time goes by, and nothing has left
    life.take_commands(b.AnswerRequest)
    writes = life.take_commands(WriteRecords)
    life.fire_timer("late")
    life.fire_timer("late")
    assert life.verdicts() == [b.Verdict.REFUSED]
    life.ask(3, "gone")
    life.handle(b.RequestCancelled(3))
    life.out += writes
    life.flush()
    assert not life.take_commands(b.SendSetUp) and not life.book.held
    life.ask(4)
    life.flush()
    assert len(life.take_commands(b.SendSetUp)) == 1
    life.ask(5, "free one", service=1)
    assert len(life.take_commands(b.SendSetUp)) == 1  # waits for nothing


def test_playing_session_resumes_after_a_restart_with_its_name_and_seat():
    rows = {}
    sent = play_session(rows)
    life = GatewayRun(rows, now=T0 + S, start=8, seats=1)
    (named,) = life.take_commands(b.SessionNamed)
    assert named.name == "g0-7-1"
    life.ask(1)
    life.ask(2, "other")
    assert life.verdicts() == [b.Verdict.REFUSED]  # the one seat is held; who has the key waits
    life.answer_query(HostReport.PLAYS)
    (give,) = life.take_commands(b.AnswerRequest)
    assert (give.verdict, give.server, give.rung, give.epoch) == (b.Verdict.PLAYS, sent.server, 2, sent.epoch)
    life.fire_timer("renew")
    (renewal,) = life.take_commands(b.SendRenewal)
    assert renewal.sessions == ((named.session, sent.epoch, 2),)
    life.handle(b.SessionEnded(sent.server, named.session))
    life.flush()
    third = GatewayRun(rows, now=T0 + 9 * S, start=9)
    third.ask(1)
    assert third.verdicts() == [b.Verdict.FAILED] and not third.take_commands(b.SendReconciliation)


@pytest.mark.parametrize(("word", "since"), [(HostReport.RAN, 0), (HostReport.NOT_HERE, 8)])
def test_key_of_a_session_that_ran_or_may_have_run_stays_used(word, since):
    rows = {}
    play_session(rows)
    life = GatewayRun(rows, now=T0 + S, start=8, seats=1)
    life.ask(1)
    life.answer_query(word, since)
    assert life.verdicts() == [b.Verdict.FAILED]
    life.flush()
    life.ask(2, "other")
    life.flush()
    assert len(life.take_commands(b.SendSetUp)) == 1  # its seat is free
    life.ask(3)
    assert life.verdicts() == [b.Verdict.FAILED]


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
    assert len(first.take_commands(b.SendSetUp)) == 1  # and the gateway dies
    life = GatewayRun(rows, now=T0 + S, start=8, members=members)
    life.ask(1)
    life.answer_query(HostReport.NOT_HERE)
    assert life.verdicts() == [b.Verdict.REFUSED]
    released = life.take_commands(claim_messages.SendRelease)
    assert {each.owner for each in released} == {"g0/7"} and len(released) == 2
    life.flush()
    assert not [key for kind, key in rows if kind == RecordKind.INTENT.value]


def test_host_that_does_not_reply_is_queried_until_nothing_can_play_there():
    rows = {}
    play_session(rows)
    life = GatewayRun(rows, now=T0 + S, start=8, seats=1)
    begin, asked = life.now, 0
    while life.book.recovery.unsettled_count and asked < 99:
        life.answer_query(None)
        asked += 1
        if life.book.recovery.unsettled_count:
            life.fire_timer("settle")
    assert asked > 5 and 2 * LEASE < life.now - begin < 3 * LEASE
    life.ask(1)
    assert life.verdicts() == [b.Verdict.FAILED]
    life.ask(2, "other")
    life.flush()
    assert len(life.take_commands(b.SendSetUp)) == 1


def test_free_session_resumes_unless_its_viewer_has_retried():
    rows = {}
    first = GatewayRun(rows)
    for number in (1, 2):
        first.ask(number, f"k{number}", service=1)
    first.flush()
    for sent in first.take_commands(b.SendSetUp):
        first.handle(b.SetUpEnded(sent.session, 0, Evidence.STARTED))
    life = GatewayRun(rows, now=T0 + S, start=8)
    life.ask(1, "k1", service=1)
    (again,) = life.take_commands(b.SendSetUp)
    life.handle(b.SetUpEnded(again.session, 0, Evidence.STARTED))
    for asked in life.take_commands(b.SendReconciliation):
        words = tuple((number, HostReport.PLAYS, 1) for number, _ in asked.sessions)
        life.handle(
            b.ReconciliationEnded(asked.server, life.now, asked.call_number, 0, words, b.HostStatus((), 9))
        )
    assert len(life.take_commands(b.SendTermination)) == 1 and life.book.held == 2
    life.ask(2, "k2", service=1)
    assert life.verdicts() == [b.Verdict.PLAYS] * 2 and not life.take_commands(b.SendSetUp)


def test_settings_changed_during_a_restart_never_make_a_used_key_usable():
    rows = {}
    play_session(rows)
    turned = replace(NAMES, titles=tuple(reversed(NAMES.titles)))
    life = GatewayRun(rows, now=T0 + S, start=8, names=turned)
    (found,) = life.book.sessions.by_number.values()
    assert found.request.title == NAMES.titles[::-1].index("t5")
    fewer = GatewayRun(rows, now=T0 + S, start=8, names=replace(NAMES, titles=("t0",)))
    assert not fewer.book.held
    fewer.ask(1)
    assert fewer.verdicts() == [b.Verdict.FAILED]


def test_operators_orders_survive_a_crash_and_are_confirmed_when_durable():
    rows = {}
    first = GatewayRun(rows, members=("g0", "g1", "g2"))
    server = server_entry(2).server
    first.handle(b.DrainOrdered(server, True, 60 * S))
    assert not first.take_commands(b.DrainRecorded)
    first.handle(claim_messages.PeerStatusChanged("g1", Liveness.ORDER, 5))
    first.flush()
    assert first.take_commands(b.DrainRecorded) == [b.DrainRecorded(server, True)]
    kept = recover_state(list(rows.values()))
    assert kept.members == {"g1": (5, True)}
    life = GatewayRun(rows, now=T0 + S, start=8)
    assert life.book.host_watch.hosts[server].drain_ordered and life.book.host_watch.should_vacate(server)
    assert life.book.fleet.drains.deadline_of(server) - T0 > 55 * S
    life.handle(b.DrainOrdered(server, False))
    life.flush()
    assert not GatewayRun(rows, now=T0 + 2 * S, start=9).book.host_watch.should_vacate(server)


def test_malformed_intents_neither_start_sessions_nor_stop_the_gateway():
    good = Intent(10**12, "k", "g0-7-1", "h:1", 3, 5, 1, "paid", "one", "t5", 3, 9, 0, 4, False)
    odd = [msgspec.structs.replace(good, rung=99, best_rung=-5, server="no address", epoch=-1, clock=-9)]
    odd += [msgspec.structs.replace(good, service="nobody", length=-1)]
    for each in odd:
        rows = {("intent", "d"): StoredRecord("intent", "d", msgspec.msgpack.encode(each))}
        life = GatewayRun(rows)
        life.ask(1)
        assert b.Verdict.PLAYS not in life.verdicts()


# What a host's word proves: a walk through everything that may happen to one set-up


FIELDS = "stage clock record out host fenced ran plays asks answers fate".split()


def explore(fates=RECOVERY_TABLE, covers=memory_covers, fence=True, record_first=True):
    """Walk a paid set-up, its gateway's death, its host's restart, and questions that are late or lost.

    A state is (gateway, reading, record on disk, set-up, host's life, fenced there, ran in which life, plays,
    questions under way, answers under way, conclusion). Set-ups and questions are bound to the process that
    they were sent to.
    Gives how many states there are, and the first that breaks a promise, if any.
    """
    # set-up: "none", "held" (waits for its record), ("out", life of the host), "gone"; clock: -1, 0 or 1
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
            return len(seen), state  # the next life knows of nothing, and would set it up again
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
            to(out="gone")  # lost on the way, or refused
        if host == 0:
            to(host=1, fenced=False, plays=False)  # a new process, which knows nothing of the old
        if plays:
            to(plays=False)
        if stage == "asking" and fate is None and len(asks) + len(answers) < 2:
            to(asks=(*asks, host))
        for place, life in enumerate(asks):
            rest = asks[:place] + asks[place + 1 :]
            to(asks=rest)
            if life == host:
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
        {"covers": lambda clock, since: True},  # a host that started anew is believed
        {"fence": False},  # a set-up still under way may run after the question
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
