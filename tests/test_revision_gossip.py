"""Which messages announce a revision, which deltas they carry, and when these are requested instead."""

import random

import pytest

from mintmast.decisions.gateways import pulls, revision_gossip
from mintmast.decisions.gateways.gossip_messages import (
    GossipKind,
    GossipMessage,
    GossipWithDigest,
    GossipWithRevision,
    revision_summary_of,
)
from mintmast.decisions.gateways.history import History
from mintmast.decisions.gateways.members import Members
from mintmast.decisions.gateways.membership_types import GossipReceived, SendGossip
from mintmast.decisions.gateways.revision_gossip import (
    ANNOUNCEMENTS,
    MAX_DELTA_BYTES,
    REANNOUNCE_US,
    RESEND_US,
    RevisionGossip,
)
from mintmast.decisions.gateways.revision_types import (
    Delta,
    LogEvent,
    Publish,
    PullRevisions,
    RevisionAnnounced,
    RevisionId,
    Stored,
    TakeOver,
    TimerFired,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.lab.revisionwalk import BEGUN, fleet, head
from mintmast.lab.spread import Spread, check
from mintmast.loop.memory import World
from mintmast.peers.membership_transport import MAX_DATAGRAM_BYTES, MembershipTransport

MS, SECOND = 1000, 1_000_000
ONE = head(1, 1, BEGUN)
DOCUMENTS = [BEGUN, *(b'{"n":%d}' % n for n in range(1, 40))]
DELTAS = [Delta(head(1, n + 1, DOCUMENTS[n]), DOCUMENTS[n]) for n in range(1, 40)]


def summary(revision):
    return (*revision.key, revision.digest_prefix)


def settled_replica(**more):
    part = Revisions(more.pop("stored", fleet()["b"]), more.pop("check", check), random.Random(1), 2)
    part.begin(0)
    part._startup.is_over = True
    return part


def history_of(number):
    return History(
        Stored(DELTAS[number - 1].revision if number else ONE, b"", 0, ONE, tuple(DELTAS[:number]))
    )


def pull_requests(commands):
    return [each for each in commands if isinstance(each, PullRevisions)]


# What a message carries


def test_deltas_after_a_revision_fit_the_limit_and_need_its_digest():
    history = history_of(30)
    assert history.deltas_after(summary(ONE), 10**6) == tuple(DELTAS[:16])
    assert history.deltas_after(summary(DELTAS[27].revision), 10**6) == tuple(DELTAS[28:30])
    assert history.deltas_after(summary(DELTAS[29].revision), 10**6) == ()
    limited = history.deltas_after(summary(DELTAS[3].revision), MAX_DELTA_BYTES)
    assert limited == tuple(DELTAS[4 : 4 + len(limited)]) and 5 < len(limited) < 26
    for unknown in (
        (1, 1, ONE.digest_prefix ^ 1),
        (1, 9, DELTAS[0].revision.digest_prefix),
        (1, 99, 0),
        (0, 9, 0),
        (2, 1, ONE.digest_prefix),
    ):
        assert history.deltas_after(unknown, 10**6) == ()
    assert history_of(0).deltas_after(summary(ONE), 10**6) == ()


def test_a_revision_is_announced_after_a_change_and_periodically():
    gossip = RevisionGossip(lambda summary, max_bytes: ())
    gossip.set_head((1, 2, 3))
    assert all(gossip.should_announce(n) for n in range(ANNOUNCEMENTS))
    later = [gossip.should_announce(ANNOUNCEMENTS + n * REANNOUNCE_US // 5) for n in range(1, 51)]
    assert (
        sum(later) == 10
        and not gossip.should_send_deltas(0, "b", (1, 2, 9))
        and not gossip.should_send_deltas(0, "b", (2, 0, 0))
    )
    now = 20 * REANNOUNCE_US
    gossip.set_head((1, 2, 3))
    assert gossip.should_announce(now) and not gossip.should_announce(now + 1)
    gossip.set_head((1, 3, 3))
    assert all(gossip.should_announce(now + 1) for _ in range(ANNOUNCEMENTS)) and not gossip.should_announce(
        now + 2
    )


def test_deltas_are_resent_after_an_interval_or_the_next_change():
    gossip = RevisionGossip(history_of(3).deltas_after)
    gossip.set_head(summary(DELTAS[2].revision))
    assert (
        gossip.deltas_for(5, "b", summary(ONE)) == tuple(DELTAS[:3])
        and gossip.deltas_for(6, "b", summary(ONE)) == ()
    )
    assert gossip.deltas_for(7, "c", summary(DELTAS[0].revision)) == tuple(DELTAS[1:3])
    assert not gossip.should_send_deltas(4 + RESEND_US, "b", summary(ONE)) and gossip.should_send_deltas(
        5 + RESEND_US, "b", summary(ONE)
    )
    gossip.set_head(summary(DELTAS[3].revision))
    assert gossip.should_send_deltas(8, "b", summary(ONE))


def members_at(number=30):
    part = Members("a", 1, ("a", "b", "c"), random.Random(1))
    part.revision_gossip = RevisionGossip(history_of(number).deltas_after)
    part.revision_gossip.set_head(summary(DELTAS[number - 1].revision if number else ONE))
    part.begin(0)
    return part


def messages(commands):
    return [each.message for each in commands if isinstance(each, SendGossip)]


def message_from_b(kind, number, sequence, revision=None):
    fields = kind, "b", 1, 0, sequence, number
    return GossipReceived(
        GossipWithRevision(*fields, "", -1, (), "", *summary(revision))
        if revision
        else GossipMessage(*fields)
    )


def test_an_answer_announces_if_the_request_did_and_carries_missing_deltas():
    part = members_at(2)
    assert revision_summary_of(messages(part.handle(1, message_from_b(GossipKind.PING, 7, 1)))[0]) is None
    (same,) = messages(part.handle(2, message_from_b(GossipKind.PING, 8, 2, DELTAS[1].revision)))
    (newer,) = messages(part.handle(2, message_from_b(GossipKind.PING, 8, 3, DELTAS[5].revision)))
    assert not same.deltas and not newer.deltas and revision_summary_of(newer) == summary(DELTAS[1].revision)
    (older,) = messages(part.handle(3, message_from_b(GossipKind.PING, 9, 4, ONE)))
    assert older.probe_number == 9 and older.deltas == tuple(DELTAS[:2])
    # an answer that announces an older revision is answered once, with deltas and no updates
    part.revision_gossip.set_head(summary(DELTAS[1].revision)), part.revision_gossip._sent_at.clear()
    (more,) = messages(part.handle(4, message_from_b(GossipKind.ACK, 99, 5, ONE)))
    assert (more.kind, more.probe_number, more.updates) == (GossipKind.ACK, 0, ()) and more.deltas == tuple(
        DELTAS[:2]
    )
    assert messages(part.handle(5, message_from_b(GossipKind.ACK, 99, 6, ONE))) == []
    assert (
        messages(part.handle(5 + RESEND_US, message_from_b(GossipKind.ACK, 0, 7, DELTAS[1].revision))) == []
    )


def test_the_longest_message_fits_one_datagram_with_all_its_deltas():
    names = {"n" * 63 + str(n): ("h" * 53, 60_000 + n) for n in range(9)}
    world = World(1)
    transport = MembershipTransport(
        world.node("h" * 53), min(names), 1, names, ["x" * 32], ("h" * 53, 60_000), 1, lambda *_, **__: 0
    )
    deltas = [
        Delta(RevisionId(MOST, MOST - n, "f" * 16), b"x" * (MAX_DELTA_BYTES // 2 - 40)) for n in range(2)
    ]
    updates = tuple([each, 10**15, 9, 1, each, "h" * 53 + ":60000"] for each in names)
    fields = (
        GossipKind.ACK,
        min(names),
        10**15,
        9,
        10**9,
        10**9,
        max(names),
        10**6,
        updates,
        "h" * 53 + ":60000",
    )
    message = transport.decode(
        transport.encode(GossipWithDigest(*fields, MOST, MOST, (1 << 32) - 1, tuple(deltas), (1 << 32) - 1))
    )
    assert message.deltas == tuple(deltas) and len(transport.encode(message)) <= MAX_DATAGRAM_BYTES


MOST = 1 << 42


# What the receiver does with it


def test_announced_deltas_are_validated_written_and_activated():
    part = settled_replica()
    commands = part.handle(1, RevisionAnnounced("a", *summary(DELTAS[2].revision), tuple(DELTAS[:3])))
    (write,) = [each for each in commands if isinstance(each, WriteRevision)]
    assert write.deltas == tuple(DELTAS[:3]) and not pull_requests(commands)
    part.handle(2, WriteFinished(write.number))
    assert (
        part.head == DELTAS[2].revision
        and part.pull_counts["brought"] == 1
        and part.pull_counts["asked"] == 0
    )
    assert part.history.deltas_after(summary(ONE), 10**6) == tuple(DELTAS[:3])


def test_partial_late_or_gapped_deltas_are_no_fault_and_the_rest_is_pulled():
    part = settled_replica()
    commands = part.handle(1, RevisionAnnounced("a", *summary(DELTAS[9].revision), tuple(DELTAS[:2])))
    (write,) = [each for each in commands if isinstance(each, WriteRevision)]
    # a write is pending
    assert part.handle(2, RevisionAnnounced("c", *summary(DELTAS[9].revision), tuple(DELTAS[:4]))) == []
    (pull,) = pull_requests(part.handle(3, WriteFinished(write.number)))
    assert pull.source == "c" and pull.request.number == DELTAS[1].revision.number
    late = settled_replica(stored=Stored(DELTAS[4].revision, DOCUMENTS[5]))
    (pull,) = pull_requests(
        late.handle(1, RevisionAnnounced("a", *summary(DELTAS[9].revision), tuple(DELTAS[:2])))
    )
    gap = settled_replica()
    (pull,) = pull_requests(
        gap.handle(1, RevisionAnnounced("a", *summary(DELTAS[9].revision), tuple(DELTAS[3:5])))
    )
    for each in (part, late, gap):
        assert not any(each.dropped.values())


def test_a_pull_waits_once_for_the_deltas_of_an_announcement():
    part = settled_replica()
    announcement = RevisionAnnounced("a", *summary(DELTAS[0].revision), wants_answer=True)
    assert pull_requests(part.handle(1, announcement)) == []
    for at in range(2, 2 + pulls.DELTA_WAIT_US, 10 * MS):  # further messages whose answers are lost
        assert (
            pull_requests(
                part.handle(at, RevisionAnnounced("c", *summary(DELTAS[0].revision), wants_answer=True))
            )
            == []
        )
    pull_at = 1 + pulls.DELTA_WAIT_US
    assert part._timer_at == pull_at
    (pull,) = pull_requests(part.handle(pull_at, TimerFired(pull_at)))
    assert pull.source == "c"


def test_a_revision_too_long_for_a_message_is_pulled_at_once():
    part = settled_replica()
    part.handle(1, RevisionAnnounced("a", *summary(DELTAS[0].revision), wants_answer=True))
    (pull,) = pull_requests(part.handle(2, RevisionAnnounced("a", *summary(DELTAS[0].revision))))
    assert pull.source == "a"


def test_only_pings_announce_a_revision_unprompted():
    """A relayed answer with a revision would look like one without deltas, and trigger a request."""
    part = members_at()
    for number in range(8):
        for message in messages(
            part.handle(number * REANNOUNCE_US, message_from_b(GossipKind.PING_REQUEST, number, number + 1))
        ):
            assert revision_summary_of(message) is None or message.kind == GossipKind.PING


@pytest.mark.parametrize(
    ("patch", "after", "why"),
    [(b'{"bad":1}', b"{}", "refused"), (b'{"n":7}', b"{}", "bad digest")],
)
def test_an_invalid_revision_is_logged_and_not_validated_again(patch, after, why):
    validations = []
    part = settled_replica(check=lambda *what: validations.append(what) or check(*what))
    invalid = (Delta(head(1, 2, after), patch),)
    commands = part.handle(1, RevisionAnnounced("a", *summary(invalid[0].revision), invalid))
    assert (
        part.dropped[why] == 1
        and any(isinstance(each, LogEvent) for each in commands)
        and part.document == BEGUN
    )
    for at in range(2, 50):
        commands = part.handle(at, RevisionAnnounced("ac"[at % 2], *summary(invalid[0].revision), invalid))
        assert not any(isinstance(each, (WriteRevision, LogEvent)) for each in commands)
    assert len(validations) == 1 and part.head == ONE


@pytest.mark.parametrize(
    "deltas",
    [
        (Delta(RevisionId(1, 2, "x" * 16), b"{}"),),
        (Delta(RevisionId(1, 2, ""), b"{}"),),
        (DELTAS[0], Delta(RevisionId(1, 2, DELTAS[1].revision.digest), b'{"n":2}')),
        (Delta(RevisionId(1 << 50, 2, "0" * 16), b"{}"),),
    ],
)
def test_malformed_deltas_are_counted_and_not_activated(deltas):
    part = settled_replica()
    commands = part.handle(1, RevisionAnnounced("a", 1, 9, 7, deltas))
    written = [each.head for each in commands if isinstance(each, WriteRevision)]
    assert part.dropped["bad reply"] == 1 and written in ([], [DELTAS[0].revision])


# Over a fleet


def play(count=30, seed=1, patches=20, size=20, **more):
    net = Spread(count, seed, **more)
    net.run(6)
    net.take_over("g0")
    net.run(6)
    asked, durations = net.pulled, []
    for number in range(patches):
        begun = net.now
        net.publish(Publish(number, b'{"n":"%0*d"}' % (size, number)))
        net.run(7.85)
        assert net.same() and not net.faults()
        durations.append(max(each[-1][0] for each in net.force.values()) - begun)
    return net, (net.pulled - asked) / patches / count, max(durations) / SECOND


def test_small_changes_arrive_as_gossip_and_are_hardly_pulled():
    net, asked, took = play()
    assert asked < 0.05 and took < 4
    brought = sum(part.pull_counts["brought"] for part in net.configuration.values())
    assert brought >= 0.95 * 20 * 29


def test_a_long_change_is_pulled_and_arrives_as_soon():
    _, asked, took = play(patches=8, size=5000)
    assert 0.9 < asked < 1.1 and took < 4


def test_with_a_fifth_of_all_datagrams_lost_changes_arrive_in_time():
    _, asked, took = play(patches=8, loss=0.2)
    assert asked < 0.6 and took < 6


def test_periodic_announcements_alone_reach_every_gateway(monkeypatch):
    monkeypatch.setattr(revision_gossip, "ANNOUNCEMENTS", 0)
    _, _, took = play(patches=4)
    assert took < 7.85


# Mutations of the code: each one breaks one of the tests above


def test_a_rejected_revision_costs_at_most_one_message_a_second(monkeypatch):
    """One gateway of another program version rejects a revision that all others have."""
    net = Spread(8, 1, check=check)
    net.run(6)
    net.take_over("g0")
    net.run(4)
    odd = net.configuration["g5"]
    odd._validate = lambda document, patch: (
        (None, "odd") if b"odd" in patch or b"odd" in document else check(document, patch)
    )
    before = dict(net.sent)
    net.run(10)
    calm = sum(net.sent.values()) - sum(before.values())
    net.publish(Publish(1, b'{"odd":1}'))
    net.run(2)
    before = dict(net.sent)
    net.run(10)
    more = sum(net.sent.values()) - sum(before.values())
    heads = {name: part.head.number for name, part in net.configuration.items()}
    assert heads.pop("g5") == 1 and set(heads.values()) == {2} and odd.rejection_reason == "odd"
    # at most one message a second from each of the seven others
    assert more - calm <= 7 * 11 and odd.dropped["refused"] < 6


def test_a_take_over_arrives_as_gossip():
    net, asked, _ = play(count=8, patches=1)
    net.order("g3", TakeOver(0))
    net.run(6)
    assert net.same() and net.configuration["g3"].publisher.term == net.configuration["g5"].head.term
    assert digest_of(net.configuration["g5"].document) == net.configuration["g3"].head.digest
