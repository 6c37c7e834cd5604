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


def told(at):
    return (*at.key, at.digest_prefix)


def settled(**more):
    part = Revisions(more.pop("stored", fleet()["b"]), more.pop("check", check), random.Random(1), 2)
    part.begin(0)
    part._startup.is_over = True
    return part


def history(of):
    return History(Stored(DELTAS[of - 1].revision if of else ONE, b"", 0, ONE, tuple(DELTAS[:of])))


def asks(out):
    return [each for each in out if isinstance(each, PullRevisions)]


# What a message carries


def test_revisions_after_a_head_as_far_as_there_is_room_and_none_after_another_one_of_its_number():
    kept = history(30)
    assert kept.deltas_after(told(ONE), 10**6) == tuple(DELTAS[:16])
    assert kept.deltas_after(told(DELTAS[27].revision), 10**6) == tuple(DELTAS[28:30])
    assert kept.deltas_after(told(DELTAS[29].revision), 10**6) == ()
    few = kept.deltas_after(told(DELTAS[3].revision), MAX_DELTA_BYTES)
    assert few == tuple(DELTAS[4 : 4 + len(few)]) and 5 < len(few) < 26
    for no in (
        (1, 1, ONE.digest_prefix ^ 1),
        (1, 9, DELTAS[0].revision.digest_prefix),
        (1, 99, 0),
        (0, 9, 0),
        (2, 1, ONE.digest_prefix),
    ):
        assert kept.deltas_after(no, 10**6) == ()
    assert history(0).deltas_after(told(ONE), 10**6) == ()


def test_a_head_goes_with_the_first_probes_after_a_change_and_with_one_in_a_while():
    rumour = RevisionGossip(lambda told, room: ())
    rumour.set_head((1, 2, 3))
    assert all(rumour.should_announce(n) for n in range(ANNOUNCEMENTS))
    later = [rumour.should_announce(ANNOUNCEMENTS + n * REANNOUNCE_US // 5) for n in range(1, 51)]
    assert (
        sum(later) == 10
        and not rumour.should_send_deltas(0, "b", (1, 2, 9))
        and not rumour.should_send_deltas(0, "b", (2, 0, 0))
    )
    now = 20 * REANNOUNCE_US
    rumour.set_head((1, 2, 3))
    assert rumour.should_announce(now) and not rumour.should_announce(now + 1)
    rumour.set_head((1, 3, 3))
    assert all(rumour.should_announce(now + 1) for _ in range(ANNOUNCEMENTS)) and not rumour.should_announce(
        now + 2
    )


def test_the_same_is_sent_to_one_gateway_once_in_a_while_and_at_once_after_the_next_change():
    rumour = RevisionGossip(history(3).deltas_after)
    rumour.set_head(told(DELTAS[2].revision))
    assert (
        rumour.deltas_for(5, "b", told(ONE)) == tuple(DELTAS[:3])
        and rumour.deltas_for(6, "b", told(ONE)) == ()
    )
    assert rumour.deltas_for(7, "c", told(DELTAS[0].revision)) == tuple(DELTAS[1:3])
    assert not rumour.should_send_deltas(4 + RESEND_US, "b", told(ONE)) and rumour.should_send_deltas(
        5 + RESEND_US, "b", told(ONE)
    )
    rumour.set_head(told(DELTAS[3].revision))
    assert rumour.should_send_deltas(8, "b", told(ONE))


def members(of=30):
    part = Members("a", 1, ("a", "b", "c"), random.Random(1))
    part.revision_gossip = RevisionGossip(history(of).deltas_after)
    part.revision_gossip.set_head(told(DELTAS[of - 1].revision if of else ONE))
    part.begin(0)
    return part


def words(out):
    return [each.message for each in out if isinstance(each, SendGossip)]


def of_b(kind, number, seq, of=None):
    plain = kind, "b", 1, 0, seq, number
    return GossipReceived(
        GossipWithRevision(*plain, "", -1, (), "", *told(of)) if of else GossipMessage(*plain)
    )


def test_an_answer_tells_a_head_where_the_question_did_and_brings_what_the_asker_lacks():
    part = members(2)
    assert revision_summary_of(words(part.handle(1, of_b(GossipKind.PING, 7, 1)))[0]) is None
    (same,) = words(part.handle(2, of_b(GossipKind.PING, 8, 2, DELTAS[1].revision)))
    (newer,) = words(part.handle(2, of_b(GossipKind.PING, 8, 3, DELTAS[5].revision)))
    assert not same.deltas and not newer.deltas and revision_summary_of(newer) == told(DELTAS[1].revision)
    (older,) = words(part.handle(3, of_b(GossipKind.PING, 9, 4, ONE)))
    assert older.probe_number == 9 and older.deltas == tuple(DELTAS[:2])
    # an answer that announces an older revision is answered once, with deltas and no updates
    part.revision_gossip.set_head(told(DELTAS[1].revision)), part.revision_gossip._sent_at.clear()
    (more,) = words(part.handle(4, of_b(GossipKind.ACK, 99, 5, ONE)))
    assert (more.kind, more.probe_number, more.updates) == (GossipKind.ACK, 0, ()) and more.deltas == tuple(
        DELTAS[:2]
    )
    assert words(part.handle(5, of_b(GossipKind.ACK, 99, 6, ONE))) == []
    assert words(part.handle(5 + RESEND_US, of_b(GossipKind.ACK, 0, 7, DELTAS[1].revision))) == []


def test_the_longest_word_is_one_datagram_and_names_of_64_letters_leave_room_for_all_that_it_brings():
    names = {"n" * 63 + str(n): ("h" * 53, 60_000 + n) for n in range(9)}
    world = World(1)
    roster = MembershipTransport(
        world.node("h" * 53), min(names), 1, names, ["x" * 32], ("h" * 53, 60_000), 1, lambda *_, **__: 0
    )
    long = [Delta(RevisionId(MOST, MOST - n, "f" * 16), b"x" * (MAX_DELTA_BYTES // 2 - 40)) for n in range(2)]
    news = tuple([each, 10**15, 9, 1, each, "h" * 53 + ":60000"] for each in names)
    plain = GossipKind.ACK, min(names), 10**15, 9, 10**9, 10**9, max(names), 10**6, news, "h" * 53 + ":60000"
    word = roster.decode(
        roster.encode(GossipWithDigest(*plain, MOST, MOST, (1 << 32) - 1, tuple(long), (1 << 32) - 1))
    )
    assert word.deltas == tuple(long) and len(roster.encode(word)) <= MAX_DATAGRAM_BYTES


MOST = 1 << 42


# What the receiver does with it


def test_what_a_word_brings_is_checked_written_and_in_force():
    part = settled()
    out = part.handle(1, RevisionAnnounced("a", *told(DELTAS[2].revision), tuple(DELTAS[:3])))
    (keep,) = [each for each in out if isinstance(each, WriteRevision)]
    assert keep.deltas == tuple(DELTAS[:3]) and not asks(out)
    part.handle(2, WriteFinished(keep.number))
    assert (
        part.head == DELTAS[2].revision
        and part.pull_counts["brought"] == 1
        and part.pull_counts["asked"] == 0
    )
    assert part.history.deltas_after(told(ONE), 10**6) == tuple(DELTAS[:3])


def test_what_a_word_brings_in_part_late_or_after_a_gap_is_no_fault_and_the_rest_is_asked_for():
    part = settled()
    out = part.handle(1, RevisionAnnounced("a", *told(DELTAS[9].revision), tuple(DELTAS[:2])))
    (keep,) = [each for each in out if isinstance(each, WriteRevision)]
    assert (
        part.handle(2, RevisionAnnounced("c", *told(DELTAS[9].revision), tuple(DELTAS[:4]))) == []
    )  # a write is pending
    (ask,) = asks(part.handle(3, WriteFinished(keep.number)))
    assert ask.source == "c" and ask.request.number == DELTAS[1].revision.number
    late = settled(stored=Stored(DELTAS[4].revision, DOCUMENTS[5]))
    (ask,) = asks(late.handle(1, RevisionAnnounced("a", *told(DELTAS[9].revision), tuple(DELTAS[:2]))))
    gap = settled()
    (ask,) = asks(gap.handle(1, RevisionAnnounced("a", *told(DELTAS[9].revision), tuple(DELTAS[3:5]))))
    for each in (part, late, gap):
        assert not any(each.dropped.values())


def test_a_word_that_wants_an_answer_is_waited_for_once_and_then_asked_about():
    part = settled()
    word = RevisionAnnounced("a", *told(DELTAS[0].revision), wants_answer=True)
    assert asks(part.handle(1, word)) == []
    for at in range(2, 2 + pulls.DELTA_WAIT_US, 10 * MS):  # further messages whose answers are lost
        assert (
            asks(part.handle(at, RevisionAnnounced("c", *told(DELTAS[0].revision), wants_answer=True))) == []
        )
    due = 1 + pulls.DELTA_WAIT_US
    assert part._timer_at == due
    (ask,) = asks(part.handle(due, TimerFired(due)))
    assert ask.source == "c"


def test_a_revision_too_long_for_a_word_is_asked_for_as_soon_as_the_word_says_so():
    part = settled()
    part.handle(1, RevisionAnnounced("a", *told(DELTAS[0].revision), wants_answer=True))
    (ask,) = asks(part.handle(2, RevisionAnnounced("a", *told(DELTAS[0].revision))))
    assert ask.source == "a"


def test_only_words_that_want_an_answer_tell_a_head_of_their_own_accord():
    """A relayed answer with a revision would look like one without deltas, and trigger a request."""
    part = members()
    for number in range(8):
        for word in words(
            part.handle(number * REANNOUNCE_US, of_b(GossipKind.PING_REQUEST, number, number + 1))
        ):
            assert revision_summary_of(word) is None or word.kind == GossipKind.PING


@pytest.mark.parametrize(
    ("patch", "after", "why"),
    [(b'{"bad":1}', b"{}", "refused"), (b'{"n":7}', b"{}", "bad digest")],
)
def test_a_bad_revision_is_said_and_not_checked_again_with_every_word(patch, after, why):
    looks = []
    part = settled(check=lambda *what: looks.append(what) or check(*what))
    bad = (Delta(head(1, 2, after), patch),)
    out = part.handle(1, RevisionAnnounced("a", *told(bad[0].revision), bad))
    assert (
        part.dropped[why] == 1 and any(isinstance(each, LogEvent) for each in out) and part.document == BEGUN
    )
    for at in range(2, 50):
        out = part.handle(at, RevisionAnnounced("ac"[at % 2], *told(bad[0].revision), bad))
        assert not any(isinstance(each, (WriteRevision, LogEvent)) for each in out)
    assert len(looks) == 1 and part.head == ONE


@pytest.mark.parametrize(
    "deltas",
    [
        (Delta(RevisionId(1, 2, "x" * 16), b"{}"),),
        (Delta(RevisionId(1, 2, ""), b"{}"),),
        (DELTAS[0], Delta(RevisionId(1, 2, DELTAS[1].revision.digest), b'{"n":2}')),
        (Delta(RevisionId(1 << 50, 2, "0" * 16), b"{}"),),
    ],
)
def test_revisions_that_can_be_none_are_counted_and_not_in_force(deltas):
    part = settled()
    out = part.handle(1, RevisionAnnounced("a", 1, 9, 7, deltas))
    kept = [each.head for each in out if isinstance(each, WriteRevision)]
    assert part.dropped["bad reply"] == 1 and kept in ([], [DELTAS[0].revision])


# Over a fleet


def play(count=30, seed=1, patches=20, size=20, **more):
    net = Spread(count, seed, **more)
    net.run(6)
    net.take_over("g0")
    net.run(6)
    asked, took = net.pulled, []
    for number in range(patches):
        begun = net.now
        net.publish(Publish(number, b'{"n":"%0*d"}' % (size, number)))
        net.run(7.85)
        assert net.same() and not net.faults()
        took.append(max(each[-1][0] for each in net.force.values()) - begun)
    return net, (net.pulled - asked) / patches / count, max(took) / SECOND


def test_small_changes_come_with_words_and_hardly_one_is_asked_for():
    net, asked, took = play()
    assert asked < 0.05 and took < 4
    brought = sum(part.pull_counts["brought"] for part in net.configuration.values())
    assert brought >= 0.95 * 20 * 29


def test_a_long_change_is_asked_for_and_comes_as_soon():
    _, asked, took = play(patches=8, size=5000)
    assert 0.9 < asked < 1.1 and took < 4


def test_with_a_fifth_of_all_datagrams_lost_changes_come_in_time():
    _, asked, took = play(patches=8, loss=0.2)
    assert asked < 0.6 and took < 6


def test_a_head_that_is_told_by_a_probe_in_a_while_only_reaches_a_gateway_that_missed_all_others(monkeypatch):
    monkeypatch.setattr(revision_gossip, "ANNOUNCEMENTS", 0)
    _, _, took = play(patches=4)
    assert took < 7.85


# Mutations of the code: each one breaks one of the tests above


def test_a_refused_revision_costs_no_words_beyond_those_of_every_second(monkeypatch):
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


def test_an_order_to_take_over_comes_with_words_too():
    net, asked, _ = play(count=8, patches=1)
    net.order("g3", TakeOver(0))
    net.run(6)
    assert net.same() and net.configuration["g3"].publisher.term == net.configuration["g5"].head.term
    assert digest_of(net.configuration["g5"].document) == net.configuration["g3"].head.digest
