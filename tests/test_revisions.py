"""Revisions: every order of a small model, mutations, random faults, invalid input, and the transport."""

import json
import os
import random

import msgspec
import pytest

from mintmast.decisions.gateways import history, publisher, pulls
from mintmast.decisions.gateways.gossip_messages import GossipKind, GossipMessage, GossipWithRevision
from mintmast.decisions.gateways.revision_gossip import RevisionGossip
from mintmast.decisions.gateways.revision_types import (
    EMPTY_PATCH,
    MAX_NUMBER,
    ActiveRevision,
    Delta,
    LogEvent,
    OrderAnswered,
    Publish,
    PullRevisions,
    PullSucceeded,
    RevisionAnnounced,
    RevisionId,
    RevisionReply,
    RevisionRequest,
    ScheduleTimer,
    TakeOver,
    TimerFired,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.lab.revisionwalk import BEGUN, PATCHES, Model, fleet, head, walk
from mintmast.lab.scale.configuration import rows
from mintmast.lab.spread import Spread, check, weather
from mintmast.loop.memory import World
from mintmast.peers import MembershipTransport, PeerTransport

SECOND = 1_000_000
# seconds after the last fault in which all running gateways must have the same revision active: the target
TARGET = 18


@pytest.fixture
def still(monkeypatch):
    monkeypatch.setattr(pulls, "BACKOFF_US", 0)
    monkeypatch.setattr(pulls, "REJECTED_BACKOFF_US", 0)


# larger ones are run manually: see docs/design/configuration.md
WALKS = [(1, 0, 1, 3000), (1, 1, 0, 3000), (2, 1, 1, 3000)]


@pytest.mark.parametrize(("publishes", "overs", "deaths", "most"), WALKS)
def test_in_every_order_no_head_falls_and_no_number_is_two_documents(still, publishes, overs, deaths, most):
    states, fault = walk(Model(fleet(), publishes, overs, deaths, 1), most)
    assert not fault and states > 1000


# each function disables one safeguard and returns the steps on which that must show
def pulled_by_c(patch):
    word = [("word", "c", "a"), ("reply", "c"), ("kept", "c", True)]
    return [("publish", "a", patch), ("kept", "a", True), *word]


def told_early(monkeypatch):
    keep = Revisions._write

    def early(self, *args):
        keep(self, *args)
        self._activate(0, self._pending_write)

    monkeypatch.setattr(Revisions, "_write", early)
    return [("publish", "a", PATCHES[0]), ("death", "a", 0)]


def never_resigns(monkeypatch):
    monkeypatch.setattr(publisher.Publisher, "step_down", lambda self, term: False)
    return [("over", "b"), ("kept", "b", True), ("word", "a", "b"), ("reply", "a"), ("kept", "a", True),
            ("publish", "a", PATCHES[0]), ("kept", "a", True)]  # fmt: skip


def takes_over_in_the_old_term(monkeypatch):
    old = lambda self, order: (1, getattr(order, "patch", EMPTY_PATCH))  # noqa: E731
    monkeypatch.setattr(publisher.Publisher, "term_and_patch", old)
    return [("over", "b"), ("kept", "b", True), ("publish", "a", PATCHES[0]), ("kept", "a", True)]


def does_not_check(monkeypatch):
    monkeypatch.setattr(history, "validate_patch", lambda _, document, patch: check(document, patch))
    return pulled_by_c(PATCHES[2])


def does_not_compare_digests(monkeypatch):
    monkeypatch.setattr(history, "digest_of", lambda document: digest_of(b'{"n":0,"twisted":1}'))
    return pulled_by_c(PATCHES[3])


def takes_over_alone(monkeypatch):
    monkeypatch.setattr(pulls.StartupPhase, "refusal", lambda self, head: "")
    lost = [("death", "b", -1), ("settle", "b"), ("over", "b"), ("kept", "b", True)]
    return [*lost, *(("publish", "b", PATCHES[4]), ("kept", "b", True)), *pulled_by_c(PATCHES[0])]


MUTATIONS = [
    told_early,
    never_resigns,
    takes_over_in_the_old_term,
    takes_over_alone,
    does_not_check,
    does_not_compare_digests,
]


def follow(way):
    """Play the steps as far as they are possible; return the fault."""
    model = Model(fleet(), 2, 1, 1, 2)
    for part in model.parts.values():
        part._startup.is_over = True
    for kind, name, *more in way:
        step = kind, name, *more
        if kind == "word":
            step = (*step, model.parts[more[0]].head)
        elif kind == "reply":
            step = kind, next((call for call in model.calls if call[0] == name), None)
        if step[1] is not None and (kind != "kept" or name in model.kept):
            model.play(step)
    return model.fault


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_what_is_taken_out_is_missed(still, monkeypatch, mutation):
    with monkeypatch.context() as patched:
        way = mutation(patched)
        assert follow(way)
    assert not follow(way)


def test_a_fork_is_told_put_over_by_neither_and_healed_by_the_next_revision(still):
    model = Model(fleet(fork=True), 2, 1)
    assert model.fault  # two documents of 1.1, from the start
    model.fault = ""
    for part in model.parts.values():
        part._startup.is_over = True
    model.play(("word", "c", "a", model.parts["a"].head))
    model.play(("word", "a", "c", model.parts["c"].head))
    assert model.parts["c"].document == b'{"n":9}' and model.parts["c"].forks == model.parts["a"].forks == 1
    model.take("a", Publish(1, b"{}"))
    assert not model.kept and not model.parts["a"].publisher.term  # it may no longer publish
    for step in (("over", "b"), ("kept", "b", True), ("word", "c", "b", model.parts["b"].head)):
        model.play(step if step[0] != "word" else (*step[:3], model.parts["b"].head))
    model.play(("reply", model.calls[0]))
    model.play(("kept", "c", True))
    assert model.parts["c"].head == model.parts["b"].head and model.parts["c"].document == BEGUN


# Random faults on the real `Members` and `Revisions`


# SEEDS=500 runs more of them
@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "40"))))
def test_after_any_weather_all_have_one_head_within_the_target(seed):
    net = Spread(7, seed, 2)
    weather(net, seed, 25)
    net.run(25.1)
    for name in net.names:
        if name not in net.parts:
            net.start(name)
        net.go_on(name)
    net.cuts.clear()
    net.run(TARGET)
    assert net.same() and not net.faults()
    assert max(each[-1][1].number for each in net.force.values()) > 3


# Invalid input, and the transport


def settled(others=2, stored=None):
    part = Revisions(stored or fleet()["b"], check, random.Random(1), others)
    part.begin(0)
    part._startup.is_over = True
    return part


def asks(commands):
    return [each for each in commands if isinstance(each, PullRevisions)]


@pytest.mark.parametrize(
    "told", [(-1, 0, 0), (1, -5, 0), (MAX_NUMBER + 1, 1, 0), (1, 1 << 90, 0), (2, 2, 1 << 32)]
)
def test_a_head_that_cannot_be_is_counted_and_nothing_is_asked(told):
    part = settled()
    assert part.handle(1, RevisionAnnounced("a", *told)) == [] and part.dropped["bad head"] == 1
    assert part.publisher.highest_term == 1


DEEP = b'{"n":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
NEXT = head(1, 2, b'{"n":1}')
BAD = [
    ("bad reply", RevisionReply(RevisionId(1, 2, "x" * 16))),
    ("bad reply", RevisionReply(RevisionId(1 << 50, 2, NEXT.digest))),
    ("bad reply", RevisionReply(NEXT)),
    ("bad reply", RevisionReply(NEXT, (Delta(head(1, 9, b""), EMPTY_PATCH),))),
    ("bad reply", RevisionReply(NEXT, (), b"{", 5, 9)),
    ("bad reply", RevisionReply(NEXT, (), b"{}{}{}", 0, 2)),
    ("bad reply", RevisionReply(NEXT, (), b"{", 0, 1 << 40)),
    ("bad digest", RevisionReply(NEXT, (Delta(NEXT, b'{"n":2}'),))),
    ("bad digest", RevisionReply(NEXT, (), b"{}", 0, 2)),
    ("refused", RevisionReply(NEXT, (Delta(NEXT, b"no JSON"),))),
    ("refused", RevisionReply(NEXT, (Delta(NEXT, DEEP),))),
    ("refused", RevisionReply(NEXT, (Delta(NEXT, b'{"bad":1}'),))),
    ("refused", RevisionReply(NEXT, (Delta(NEXT, b" " * (1 << 17)),))),
]


@pytest.mark.parametrize(("why", "reply"), BAD)
def test_a_reply_that_does_not_fit_is_counted_said_and_not_in_force(why, reply):
    part = settled()
    (ask,) = asks(part.handle(1, RevisionAnnounced("a", 1, 2, 7)))
    out = part.handle(2, PullSucceeded(ask.call, reply))
    assert part.dropped[why] == 1 and part.document == BEGUN
    assert any(isinstance(each, LogEvent) for each in out) and not any(
        isinstance(each, WriteRevision) for each in out
    )
    assert part.handle(3, PullSucceeded(ask.call, reply)) == [] and part.dropped["late reply"] == 1
    # after a backoff the next sender is asked
    wait = 5 * SECOND
    (ask,) = asks(part.handle(wait, RevisionAnnounced("c", 1, 2, 7)))
    good = (
        RevisionReply(NEXT, (), b'{"n":1}', 0, 7)
        if ask.request.whole
        else RevisionReply(NEXT, (Delta(NEXT, b'{"n":1}'),))
    )
    (keep,) = [
        each for each in part.handle(wait, PullSucceeded(ask.call, good)) if isinstance(each, WriteRevision)
    ]
    part.handle(wait, WriteFinished(keep.number))
    assert part.head == NEXT and part.rejection_reason == ""


def test_a_lost_answer_is_not_the_last_and_questions_that_are_none_are_counted():
    part = settled()
    (ask,) = asks(part.handle(1, RevisionAnnounced("a", 1, 2, 7)))
    part.handle(ask.deadline, TimerFired(ask.deadline))
    assert asks(part.handle(ask.deadline + SECOND, RevisionAnnounced("c", 1, 2, 7)))[0].source == "c"
    for bad in (
        RevisionRequest(-1, 0, "0" * 16),
        RevisionRequest(1, 1, "?" * 16),
        RevisionRequest(1, 0, "0" * 16, -1),
    ):
        assert part.answer(bad) is None
    assert part.dropped["bad question"] == 3


def test_a_gateway_that_slept_gets_deltas_or_where_these_are_gone_the_document_in_pieces(monkeypatch):
    monkeypatch.setattr(history, "MAX_HISTORY_REVISIONS", 64)
    long = check(b'{"n":0}', json.dumps({f"{n:05}": "x" * 20 for n in range(4000)}).encode())[0]
    net = Spread(3, 1, document=long)
    net.run(6)
    net.order("g0", TakeOver(0))
    net.run(3)
    for sleeps, pages in ((30, 0), (100, 1)):
        net.kill("g2")
        for number in range(sleeps):
            net.order("g0", Publish(number, b'{"n":%d}' % number))
        net.run(3)
        net.start("g2")
        before = sum(part.pull_counts["pages"] for part in net.configuration.values())
        net.run(3)
        assert net.same() and not net.faults()
        told = sum(part.pull_counts["pages"] for part in net.configuration.values()) - before
        assert (told > 1) == bool(pages)


def test_orders_are_refused_for_what_they_are():
    part = settled()
    (told,) = part.handle(1, Publish(1, b'{"n":1}'))
    assert told == OrderAnswered(1, False, "this gateway is not the publisher", part.head)
    part.handle(1, RevisionAnnounced("a", 1, 2, 7))
    assert "later revision" in part.handle(1, TakeOver(2))[0].reason
    new = Revisions(fleet()["a"], check, random.Random(1), 2)
    new.begin(0)
    assert "just started" in new.handle(1, Publish(1, EMPTY_PATCH))[0].reason


def gateway(world, name, part, members="abc"):
    """Connect `part` to the two transports of a gateway; return its event handler and membership."""
    node, places = world.node(name), {each: (each, 7946) for each in members}
    lines = PeerTransport(node, name, 1, places, ["x" * 32], 30, None, (name, 7946))
    met = MembershipTransport(node, name, 1, dict(places), ["x" * 32], (name, 7946), 1, lambda *_, **__: None)
    lines.answer_gossip = met.handle_request

    def take(event):
        do(part.handle(node.now(), event))

    def do(commands):
        for each in commands:
            if isinstance(each, PullRevisions):
                place = ("a", 7946) if isinstance(each.source, int) else each.source
                lines.request_revisions(place, each, take)
            elif isinstance(each, WriteRevision):
                node.call_soon(take, WriteFinished(each.number))
            elif isinstance(each, ActiveRevision):
                met.members.revision_gossip.set_head(
                    (each.head.term, each.head.number, each.head.digest_prefix)
                )
            elif isinstance(each, ScheduleTimer):
                node.call_at(each.at, take, TimerFired(each.at))

    if part is not None:
        lines.answer_revisions, met.on_revision_announced = part.answer, take
        met.members.revision_gossip = RevisionGossip(part.history.deltas_after)
        do(part.begin(node.now()))
    return take, met


def test_over_lines_and_datagrams_also_where_lists_differ_and_from_abroad_and_off_is_off():
    world, parts = World(1), {}
    for name, members, far in (("a", "abc", 0), ("b", "abcd", 0), ("z", "z", 1)):
        parts[name] = Revisions(
            fleet()[name if name == "a" else "b"], check, random.Random(1), len(members) - 1, far
        )
        parts[name, 0], parts[name, 1] = gateway(world, name, parts[name], members)
    _, off = gateway(world, "c", None)
    world.run(world.time + 6 * SECOND)
    parts["a", 0](Publish(1, b'{"n":1}'))
    world.run(world.time + 8 * SECOND)
    assert {parts[name].head for name in "abz"} == {NEXT}
    assert off.members.others["a"].revision is None and off.state()["members"]["b"]["stands"] == "heard"
    assert parts["a", 1].state()["members"]["b"]["revision"] == f"1.2/{NEXT.digest_prefix:08x}"
    assert "revision" not in parts["a", 1].state()["members"]["c"]


def test_words_without_a_head_are_the_bytes_of_before_and_both_kinds_are_read_by_both():
    told = GossipKind.PING, "a", 1, 0, 1, 1
    plain, headed = GossipMessage(*told), GossipWithRevision(*told, "", -1, (), "", 2, 3, 4)
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert (
        encode(plain) == encode(list(msgspec.structs.astuple(plain)))
        and len(encode(headed)) == len(encode(plain)) + 3
    )
    assert (
        decode(encode(plain), type=GossipWithRevision).term == -1
        and decode(encode(headed), type=GossipMessage) == plain
    )


def test_the_scale_run_gives_its_figures_and_refuses_a_fleet_without_regions():
    told = {row.figure: row.value for row in rows((9,), (1,))}
    names = "spread spread_half pulls heads bytes change core burst joined"
    assert set(told) == {f"configuration.{name}" for name in names.split()}
    assert max(told[f"configuration.{name}"] for name in ("spread", "burst", "joined")) < TARGET
    with pytest.raises(ValueError, match="5 gateways"):
        rows((5,), (1,))
