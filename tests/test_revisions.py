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
TARGET_SECONDS = 18


@pytest.fixture
def no_backoff(monkeypatch):
    monkeypatch.setattr(pulls, "BACKOFF_US", 0)
    monkeypatch.setattr(pulls, "REJECTED_BACKOFF_US", 0)


# larger ones are run manually: see docs/design/configuration.md
WALKS = [(1, 0, 1, 3000), (1, 1, 0, 3000), (2, 1, 1, 3000)]


@pytest.mark.parametrize(("publishes", "overs", "deaths", "most"), WALKS)
def test_in_every_order_heads_never_regress_and_numbers_are_unique(
    no_backoff, publishes, overs, deaths, most
):
    states, fault = walk(Model(fleet(), publishes, overs, deaths, 1), most)
    assert not fault and states > 1000


# each function disables one safeguard and returns the steps on which that must show
def pulled_by_c(patch):
    steps = [("word", "c", "a"), ("reply", "c"), ("kept", "c", True)]
    return [("publish", "a", patch), ("kept", "a", True), *steps]


def announces_before_the_write(monkeypatch):
    write = Revisions._write

    def early(self, *args):
        write(self, *args)
        self._activate(0, self._pending_write)

    monkeypatch.setattr(Revisions, "_write", early)
    return [("publish", "a", PATCHES[0]), ("death", "a", 0)]


def never_steps_down(monkeypatch):
    monkeypatch.setattr(publisher.Publisher, "step_down", lambda self, term: False)
    return [("over", "b"), ("kept", "b", True), ("word", "a", "b"), ("reply", "a"), ("kept", "a", True),
            ("publish", "a", PATCHES[0]), ("kept", "a", True)]  # fmt: skip


def takes_over_in_the_old_term(monkeypatch):
    old = lambda self, order: (1, getattr(order, "patch", EMPTY_PATCH))  # noqa: E731
    monkeypatch.setattr(publisher.Publisher, "term_and_patch", old)
    return [("over", "b"), ("kept", "b", True), ("publish", "a", PATCHES[0]), ("kept", "a", True)]


def does_not_validate(monkeypatch):
    monkeypatch.setattr(history, "validate_patch", lambda _, document, patch: check(document, patch))
    return pulled_by_c(PATCHES[2])


def does_not_compare_digests(monkeypatch):
    monkeypatch.setattr(history, "digest_of", lambda document: digest_of(b'{"n":0,"twisted":1}'))
    return pulled_by_c(PATCHES[3])


def takes_over_without_waiting(monkeypatch):
    monkeypatch.setattr(pulls.StartupPhase, "refusal", lambda self, head: "")
    lost = [("death", "b", -1), ("settle", "b"), ("over", "b"), ("kept", "b", True)]
    return [*lost, *(("publish", "b", PATCHES[4]), ("kept", "b", True)), *pulled_by_c(PATCHES[0])]


MUTATIONS = [
    announces_before_the_write,
    never_steps_down,
    takes_over_in_the_old_term,
    takes_over_without_waiting,
    does_not_validate,
    does_not_compare_digests,
]


def play_steps(steps):
    """Play the steps as far as they are possible; return the fault."""
    model = Model(fleet(), 2, 1, 1, 2)
    for part in model.parts.values():
        part._startup.is_over = True
    for kind, name, *more in steps:
        step = kind, name, *more
        if kind == "word":
            step = (*step, model.parts[more[0]].head)
        elif kind == "reply":
            step = kind, next((call for call in model.calls if call[0] == name), None)
        if step[1] is not None and (kind != "kept" or name in model.kept):
            model.play(step)
    return model.fault


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_disabling_a_safeguard_is_detected(no_backoff, monkeypatch, mutation):
    with monkeypatch.context() as patched:
        steps = mutation(patched)
        assert play_steps(steps)
    assert not play_steps(steps)


def test_a_fork_is_reported_and_resolved_by_the_next_revision(no_backoff):
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
def test_after_random_faults_all_have_one_head_within_the_target(seed):
    net = Spread(7, seed, 2)
    weather(net, seed, 25)
    net.run(25.1)
    for name in net.names:
        if name not in net.parts:
            net.start(name)
        net.go_on(name)
    net.cuts.clear()
    net.run(TARGET_SECONDS)
    assert net.same() and not net.faults()
    assert max(each[-1][1].number for each in net.force.values()) > 3


# Invalid input, and the transport


def settled_replica(others=2, stored=None):
    part = Revisions(stored or fleet()["b"], check, random.Random(1), others)
    part.begin(0)
    part._startup.is_over = True
    return part


def pull_requests(commands):
    return [each for each in commands if isinstance(each, PullRevisions)]


@pytest.mark.parametrize(
    "announcement", [(-1, 0, 0), (1, -5, 0), (MAX_NUMBER + 1, 1, 0), (1, 1 << 90, 0), (2, 2, 1 << 32)]
)
def test_an_invalid_announcement_is_counted_and_pulls_nothing(announcement):
    part = settled_replica()
    assert part.handle(1, RevisionAnnounced("a", *announcement)) == [] and part.dropped["bad head"] == 1
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
def test_an_invalid_reply_is_counted_logged_and_not_activated(why, reply):
    part = settled_replica()
    (pull,) = pull_requests(part.handle(1, RevisionAnnounced("a", 1, 2, 7)))
    commands = part.handle(2, PullSucceeded(pull.call, reply))
    assert part.dropped[why] == 1 and part.document == BEGUN
    assert any(isinstance(each, LogEvent) for each in commands) and not any(
        isinstance(each, WriteRevision) for each in commands
    )
    assert part.handle(3, PullSucceeded(pull.call, reply)) == [] and part.dropped["late reply"] == 1
    # after a backoff the next sender is asked
    wait = 5 * SECOND
    (pull,) = pull_requests(part.handle(wait, RevisionAnnounced("c", 1, 2, 7)))
    valid = (
        RevisionReply(NEXT, (), b'{"n":1}', 0, 7)
        if pull.request.whole
        else RevisionReply(NEXT, (Delta(NEXT, b'{"n":1}'),))
    )
    (write,) = [
        each for each in part.handle(wait, PullSucceeded(pull.call, valid)) if isinstance(each, WriteRevision)
    ]
    part.handle(wait, WriteFinished(write.number))
    assert part.head == NEXT and part.rejection_reason == ""


def test_a_lost_reply_is_retried_and_invalid_requests_are_counted():
    part = settled_replica()
    (pull,) = pull_requests(part.handle(1, RevisionAnnounced("a", 1, 2, 7)))
    part.handle(pull.deadline, TimerFired(pull.deadline))
    assert (
        pull_requests(part.handle(pull.deadline + SECOND, RevisionAnnounced("c", 1, 2, 7)))[0].source == "c"
    )
    for invalid in (
        RevisionRequest(-1, 0, "0" * 16),
        RevisionRequest(1, 1, "?" * 16),
        RevisionRequest(1, 0, "0" * 16, -1),
    ):
        assert part.answer(invalid) is None
    assert part.dropped["bad question"] == 3


def test_a_gateway_that_was_away_gets_deltas_or_the_document_in_pages(monkeypatch):
    monkeypatch.setattr(history, "MAX_HISTORY_REVISIONS", 64)
    long = check(b'{"n":0}', json.dumps({f"{n:05}": "x" * 20 for n in range(4000)}).encode())[0]
    net = Spread(3, 1, document=long)
    net.run(6)
    net.order("g0", TakeOver(0))
    net.run(3)
    for missed, pages in ((30, 0), (100, 1)):
        net.kill("g2")
        for number in range(missed):
            net.order("g0", Publish(number, b'{"n":%d}' % number))
        net.run(3)
        net.start("g2")
        before = sum(part.pull_counts["pages"] for part in net.configuration.values())
        net.run(3)
        assert net.same() and not net.faults()
        page_count = sum(part.pull_counts["pages"] for part in net.configuration.values()) - before
        assert (page_count > 1) == bool(pages)


def test_orders_are_refused_with_the_reason():
    part = settled_replica()
    (answer,) = part.handle(1, Publish(1, b'{"n":1}'))
    assert answer == OrderAnswered(1, False, "this gateway is not the publisher", part.head)
    part.handle(1, RevisionAnnounced("a", 1, 2, 7))
    assert "later revision" in part.handle(1, TakeOver(2))[0].reason
    new = Revisions(fleet()["a"], check, random.Random(1), 2)
    new.begin(0)
    assert "just started" in new.handle(1, Publish(1, EMPTY_PATCH))[0].reason


def connect(world, name, part, members="abc"):
    """Connect `part` to the two transports of a gateway; return its event handler and membership."""
    node, addresses = world.node(name), {each: (each, 7946) for each in members}
    transport = PeerTransport(node, name, 1, addresses, ["x" * 32], 30, None, (name, 7946))
    membership = MembershipTransport(
        node, name, 1, dict(addresses), ["x" * 32], (name, 7946), 1, lambda *_, **__: None
    )
    transport.answer_gossip = membership.handle_request

    def handle(event):
        execute(part.handle(node.now(), event))

    def execute(commands):
        for each in commands:
            if isinstance(each, PullRevisions):
                target = ("a", 7946) if isinstance(each.source, int) else each.source
                transport.request_revisions(target, each, handle)
            elif isinstance(each, WriteRevision):
                node.call_soon(handle, WriteFinished(each.number))
            elif isinstance(each, ActiveRevision):
                membership.members.revision_gossip.set_head(
                    (each.head.term, each.head.number, each.head.digest_prefix)
                )
            elif isinstance(each, ScheduleTimer):
                node.call_at(each.at, handle, TimerFired(each.at))

    if part is not None:
        transport.answer_revisions, membership.on_revision_announced = part.answer, handle
        membership.members.revision_gossip = RevisionGossip(part.history.deltas_after)
        execute(part.begin(node.now()))
    return handle, membership


def test_revisions_cross_transports_between_differing_lists_and_regions():
    world, parts = World(1), {}
    for name, members, far in (("a", "abc", 0), ("b", "abcd", 0), ("z", "z", 1)):
        parts[name] = Revisions(
            fleet()[name if name == "a" else "b"], check, random.Random(1), len(members) - 1, far
        )
        parts[name, 0], parts[name, 1] = connect(world, name, parts[name], members)
    _, off = connect(world, "c", None)
    world.run(world.time + 6 * SECOND)
    parts["a", 0](Publish(1, b'{"n":1}'))
    world.run(world.time + 8 * SECOND)
    assert {parts[name].head for name in "abz"} == {NEXT}
    assert off.members.others["a"].revision is None and off.state()["members"]["b"]["stands"] == "heard"
    assert parts["a", 1].state()["members"]["b"]["revision"] == f"1.2/{NEXT.digest_prefix:08x}"
    assert "revision" not in parts["a", 1].state()["members"]["c"]


def test_messages_with_and_without_revision_decode_as_each_other():
    fields = GossipKind.PING, "a", 1, 0, 1, 1
    without_revision, with_revision = (
        GossipMessage(*fields),
        GossipWithRevision(*fields, "", -1, (), "", 2, 3, 4),
    )
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert (
        encode(without_revision) == encode(list(msgspec.structs.astuple(without_revision)))
        and len(encode(with_revision)) == len(encode(without_revision)) + 3
    )
    assert (
        decode(encode(without_revision), type=GossipWithRevision).term == -1
        and decode(encode(with_revision), type=GossipMessage) == without_revision
    )


def test_the_scale_run_returns_its_figures_and_rejects_a_fleet_without_regions():
    figures = {row.figure: row.value for row in rows((9,), (1,))}
    names = "spread spread_half pulls heads bytes change core burst joined"
    assert set(figures) == {f"configuration.{name}" for name in names.split()}
    assert max(figures[f"configuration.{name}"] for name in ("spread", "burst", "joined")) < TARGET_SECONDS
    with pytest.raises(ValueError, match="5 gateways"):
        rows((5,), (1,))
