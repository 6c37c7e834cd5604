"""Which votes a restarted witness may do without: exclusions, and gateways that vouch for unreachable ones.

A witness that starts has no memory. It may vote on a key once it knows of every owned claim that one of its
earlier generations voted for. Such a claim has a second vote, from one of the key's other two witnesses, so
the witness needs replies from both of these and from no further gateway. Where one of them, X, cannot be
reached, the other, A, may **vouch** for it, provided that this gateway **excluded** X towards A while X was
unreachable. An exclusion means two things: A has read everything that this gateway granted before; and every
vote since then states that it must not be combined with X's, on keys that all three witness. Such a vote
counts only together with A's, so A knows of the claim itself.

Failures that this prevents (`tests/test_exclusions.py` removes each protection in turn):

* An exclusion outlives the process that announced it: A remembers it for all later generations. A generation
  without a reply from A does not vote on such keys; one with a reply keeps the exclusion until A has
  acknowledged its end.
* If X were excluded towards A and, in another generation, A towards X, each would vouch for what only the
  other knows. So no gateway is excluded towards one that is itself excluded on the same keys.
* A gateway that is still learning has nothing that others could read. It lists the gateways with which it
  does not vote yet, and nothing is concluded from its answer for those.
* Records on disk that survived the restart replace all of this, provided that they are this gateway's latest.
  A gateway that has seen a later generation than they contain reports it, and one such reply makes this
  gateway ask all others, as it would without records.
* Messages may overtake each other: each has a version, and those of an earlier generation are not recorded.

Two gateways unreachable at the same time are not handled: keys that have both among their witnesses wait
until one of them can be reached or an operator declares it gone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from mintmast.decisions.gateways.claim_messages import (
    ExclusionsAcknowledged,
    LearnReply,
    SendExclusions,
    SendLearnRequest,
)
from mintmast.decisions.gateways.member_status import MEMBER_POLICIES, Liveness

SECOND = 1_000_000
# µs after which an unanswered message is sent again
RESEND_INTERVAL_US = SECOND
NOBODY: frozenset[str] = frozenset()
# sorts after every digest: a learn request that asks for no records
NO_RECORDS = "~"
# saves the exclusions that a peer may have recorded, then calls the callback with (now, is_durable)
SaveExclusions = Callable[[int, str, frozenset[str], Callable[[int, bool], None]], None]


def _save_immediately(
    now: int, name: str, excluded: frozenset[str], on_saved: Callable[[int, bool], None]
) -> None:
    on_saved(now, True)


@dataclass(slots=True)
class _PendingRead:
    """A read of another gateway's claims, page by page; `deadline` (µs) is that of the latest request."""

    deadline: int
    number: int  # of the latest request
    generation: int = 0
    pages: int = 0
    with_records: bool = True
    not_voting_with: set[str] = field(default_factory=set)
    version: int = -1  # of the peer's exclusions that this read is for; -1 for none


@dataclass(slots=True)
class _Vouching:
    """Gateways that another one, in all its generations, excludes towards this one."""

    generation: int = 0
    version: int = -1
    vouched_for: frozenset[str] = NOBODY  # its earlier grants have been read
    unread: frozenset[str] = NOBODY  # its earlier grants are still to be read


@dataclass(slots=True)
class _Peer:
    """Another gateway.

    `excluded` are all exclusions that it may have recorded, `acknowledged` those that it certainly has.
    """

    unreachable: bool = not MEMBER_POLICIES[Liveness.NEVER_HEARD].counts_as_capacity
    process_ended: bool = False
    is_preferred: bool = False  # asked before others
    generation: int = 0
    previous_generation: int = 0
    # it replied, and has seen no generation of this gateway that the records lack
    confirmed_records: bool = False
    # with whom it did not vote when it reported all its claims; None: it has not reported them
    not_voting_with: frozenset[str] | None = None
    vouches_for: frozenset[str] = NOBODY  # as it replied
    excluded: frozenset[str] = NOBODY
    acknowledged: frozenset[str] | None = None
    version: int = 0
    sent: tuple[int, frozenset[str]] = (-1, NOBODY)
    resend_at: int = 0
    read: _PendingRead | None = None
    vouching: _Vouching = field(default_factory=_Vouching)

    def forget_acknowledged(self) -> None:
        """Drop what the peer acknowledged: the process that recorded it has ended."""
        self.excluded, self.acknowledged, self.resend_at = NOBODY, None, 0


class Exclusions:
    """Exclusions of one gateway. `members` are all gateways of the region; `emit` receives commands."""

    def __init__(
        self,
        gateway: str,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        save: SaveExclusions | None = None,
    ) -> None:
        self._gateway, self._emit, self._save = gateway, emit, save or _save_immediately
        self._recorded_generation: int | None = None  # the latest in the records, if they are complete
        self.peers = {each: _Peer() for each in sorted(members) if each != gateway}
        self._unreachable = {name for name, other in self.peers.items() if other.unreachable}
        self._knows_all = not self.peers  # each peer has reported or its process has ended
        self._is_voting = False
        self._last_request = 0
        self.records_are_stale = False  # a peer has seen a later generation than the records contain
        self.earlier_claims_settled = False  # claims that an earlier generation voted on are decided by now

    # Conclusions

    def may_vote_with(self, witnesses: tuple[str, ...]) -> bool:
        """Return whether this gateway may vote on keys that it witnesses together with these."""
        if self._recorded_generation is not None and witnesses:
            if not self._records_confirmed([self.peers[each] for each in witnesses]):
                return False
        return self.earlier_claims_settled and (
            self._knows_all or all(self._is_accounted_for(each, witnesses) for each in witnesses)
        )

    @staticmethod
    def _records_confirmed(peers: list[_Peer]) -> bool:
        """Return whether each reachable one of these peers, and at least one peer, confirmed the records.

        Any of them may be the one that has seen a later generation, as after a backup was restored.
        """
        return any(each.confirmed_records for each in peers) and all(
            each.confirmed_records or each.unreachable for each in peers
        )

    def restore(self, generation: int, exclusions: dict[str, frozenset[str]]) -> None:
        """Start from complete records: the latest generation in them and the exclusions by peer."""
        self._recorded_generation, self._knows_all, self.earlier_claims_settled = generation, True, True
        for name, excluded in exclusions.items():
            if name in self.peers:
                self.peers[name].excluded = excluded & self.peers.keys()

    def distrust_records(self) -> None:
        """Distrust records that are not the latest: ask all peers, as without records."""
        self._recorded_generation, self._knows_all, self._is_voting, self.earlier_claims_settled = (
            None,
            False,
            False,
            False,
        )
        for peer in self.peers.values():
            peer.not_voting_with, peer.vouches_for, peer.read = None, NOBODY, None

    def _is_accounted_for(self, name: str, witnesses: tuple[str, ...]) -> bool:
        if self._has_reported_all(name, witnesses):
            return True
        return any(
            name in self.peers[each].vouches_for and self._has_reported_all(each, witnesses)
            for each in witnesses
            if each != name
        )

    def _has_reported_all(self, name: str, witnesses: tuple[str, ...]) -> bool:
        not_voting_with = self.peers[name].not_voting_with
        return (
            not_voting_with is not None
            and self._gateway not in not_voting_with
            and not_voting_with.isdisjoint(witnesses)
        )

    def excluded_among(self, peers: tuple[str, ...]) -> tuple[str, ...]:
        """Return those of a key's other witnesses whose votes must not be combined with this gateway's."""
        return tuple(a for a in peers if any(a in self.peers[b].excluded for b in peers))

    @property
    def is_voting(self) -> bool:
        """Return whether it votes on all keys that can be decided, those with another reachable witness."""
        if not self._is_voting:
            any_reported = self._knows_all or any(self._has_reported_all(each, ()) for each in self.peers)
            if self._recorded_generation is not None and self.peers:
                self._is_voting = self._records_confirmed(list(self.peers.values()))
                return self._is_voting
            self._is_voting = (
                self.earlier_claims_settled and any_reported and next(self._find_awaited(), None) is None
            )
        return self._is_voting

    @property
    def knows_all_grants(self) -> bool:
        """Return whether it knows all grants of its generations, also on keys of unreachable witnesses."""
        return self.earlier_claims_settled and all(
            self._votes_with(name, other) for name, other in self.peers.items()
        )

    def awaited_peers(self) -> list[str]:
        """Return the peers without whose reply there are keys that it does not vote on."""
        return list(self._find_awaited())

    def state(self) -> dict[str, object]:
        """Return for operators: awaited peers, exclusions by peer, gateways vouched for by peer."""
        excluded = {name: sorted(other.excluded) for name, other in self.peers.items() if other.excluded}
        vouched_for = {
            name: sorted(other.vouching.vouched_for)
            for name, other in self.peers.items()
            if other.vouching.vouched_for
        }
        return {"waits_for": self.awaited_peers(), "held_aside": excluded, "covers": vouched_for}

    def _find_awaited(self) -> Iterator[str]:
        for name, peer in self.peers.items():
            if not self._votes_with(name, peer, self._unreachable):
                yield name

    def _votes_with(self, name: str, peer: _Peer, unreachable: set[str] | frozenset[str] = NOBODY) -> bool:
        """Return whether it votes on all keys with this peer, except where all others are unreachable."""
        if self._recorded_generation is None and (self._knows_all or peer.not_voting_with == NOBODY):
            return self.earlier_claims_settled
        if len(self.peers) == 1:
            return self.may_vote_with((name,))
        return all(
            self.may_vote_with((name, each)) or {name, each} <= unreachable
            for each in self.peers
            if each != name
        )

    # Input from membership and peers

    def update_peer(self, name: str, liveness: Liveness, generation: int) -> None:
        """Update a peer's liveness and generation."""
        peer = self.peers[name]
        self.note_generation(name, generation)
        policy = MEMBER_POLICIES[liveness]
        peer.unreachable, peer.process_ended, peer.is_preferred = (
            not policy.counts_as_capacity,
            policy.process_ended,
            policy.is_preferred,
        )
        (self._unreachable.add if peer.unreachable else self._unreachable.discard)(name)
        if peer.process_ended:  # its memory is lost with it
            peer.forget_acknowledged()
            self._update_knows_all()

    def note_generation(self, name: str, generation: int) -> None:
        """Record a peer's generation; a later one does not remember what an earlier one acknowledged."""
        peer = self.peers[name]
        if generation > peer.generation:
            if peer.generation:
                peer.previous_generation = peer.generation
                peer.forget_acknowledged()
            peer.read, peer.vouching.unread = None, NOBODY
            peer.generation = generation

    def handle_learn_reply(self, now: int, event: LearnReply) -> None:
        """Handle the end of a learn request; the claims in the reply are merged by the witness service."""
        peer = self.peers[event.peer]
        read = peer.read
        if read is None or event.number != read.number or not event.answered:
            return  # sent again after its deadline
        # gateways of the previous release send no generation and vouch for nobody
        generation = event.generation or peer.generation
        if generation > peer.generation:
            self.note_generation(event.peer, generation)
        if generation < peer.generation or (read.pages and read.generation != generation):
            peer.read = None  # pages of two generations do not make one complete report
            return
        peer.read, read.generation, read.pages = read, generation, read.pages + 1
        if self._recorded_generation is not None and event.previous_generation > self._recorded_generation:
            self.records_are_stale = True
            return
        peer.confirmed_records = True
        read.not_voting_with.update(event.not_voting_with if event.generation else (self._gateway,))
        if event.more and event.records:
            self._send_learn_request(now, event.peer, read, event.records[-1][0])
            return
        peer.read = None
        if read.with_records:
            self._finish_read(peer, read, event)

    def _finish_read(self, peer: _Peer, read: _PendingRead, event: LearnReply) -> None:
        vouched_for = frozenset(event.vouched_for) & self.peers.keys()
        if peer.not_voting_with is None:  # exclusions of earlier generations still hold
            peer.excluded |= vouched_for
            peer.acknowledged = peer.excluded
        peer.vouches_for |= vouched_for if peer.not_voting_with is None else NOBODY
        not_voting_with = frozenset(read.not_voting_with)
        peer.not_voting_with = (
            not_voting_with if peer.not_voting_with is None else peer.not_voting_with & not_voting_with
        )
        vouching = peer.vouching
        if (read.generation, read.version) == (vouching.generation, vouching.version):
            vouching.vouched_for, vouching.unread = vouching.vouched_for | vouching.unread, NOBODY
        self._update_knows_all()

    def _update_knows_all(self) -> None:
        """Check whether each peer has reported or its process has ended: then nobody knows of others."""
        if all(each.not_voting_with is not None or each.process_ended for each in self.peers.values()):
            self._knows_all = True

    def handle_acknowledgement(self, now: int, event: ExclusionsAcknowledged) -> None:
        """Handle a peer's acknowledgement that it has recorded exclusions."""
        peer = self.peers[event.peer]
        version, excluded = peer.sent
        if event.version == version:
            peer.excluded = peer.acknowledged = excluded
            peer.resend_at = 0
            self._save(now, event.peer, excluded, lambda at, is_durable: None)

    def generation_of(self, name: str) -> int:
        """Return the latest known generation of a peer; 0 if none is known, or for this gateway."""
        return self.peers[name].generation if name in self.peers else 0

    # Answers to peers

    def describe_for(self, name: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return for a learn reply: third witnesses that it does not vote with, and whom it vouches for."""
        others = [each for each in self.peers if each != name]
        not_voting_with = [each for each in others if not self.may_vote_with((name, each))]
        if not others and not self.may_vote_with((name,)):
            not_voting_with = [name]
        return tuple(not_voting_with), tuple(sorted(self.peers[name].vouching.vouched_for))

    def record_exclusions(self, name: str, generation: int, version: int, excluded: tuple[str, ...]) -> int:
        """Record whom a peer excludes; return the version that is recorded, -1 if none is.

        Messages of an earlier generation and overtaken ones are ignored: they would vouch for what no longer
        holds.
        """
        peer = self.peers[name]
        self.note_generation(name, generation)
        vouching = peer.vouching
        if generation < peer.generation:
            return -1
        if generation > vouching.generation:
            vouching.generation, vouching.version = generation, -1
        if version > vouching.version:
            announced = frozenset(excluded) & self.peers.keys()
            vouching.version, vouching.vouched_for = version, vouching.vouched_for & announced
            vouching.unread = announced - vouching.vouched_for
        return vouching.version

    # Requests to peers

    def send_pending(self, now: int) -> bool:
        """Send all requests and exclusions that are due; return True if any is still unanswered."""
        is_pending = False
        for name, peer in self.peers.items():
            is_pending |= self._send_learn_if_due(now, name, peer) | self._send_exclusions_if_due(
                now, name, peer
            )
        return is_pending

    def _send_learn_if_due(self, now: int, name: str, peer: _Peer) -> bool:
        needs_report = not peer.process_ended and not self._votes_with(name, peer)
        needs_grants = bool(peer.vouching.unread) and not peer.unreachable
        if not needs_report and not needs_grants:
            return False
        if peer.read is None or now >= peer.read.deadline:
            version = peer.vouching.version if needs_grants else -1
            with_records = needs_grants or not self._knows_all
            peer.read = _PendingRead(0, 0, version=version, with_records=with_records)
            self._send_learn_request(now, name, peer.read, "" if with_records else NO_RECORDS)
        return True

    def _send_learn_request(self, now: int, name: str, read: _PendingRead, after: str) -> None:
        self._last_request += 1
        read.number, read.deadline = self._last_request, now + RESEND_INTERVAL_US
        self._emit(SendLearnRequest(name, after, read.number, read.deadline))

    def _send_exclusions_if_due(self, now: int, name: str, peer: _Peer) -> bool:
        if peer.unreachable or not peer.generation:
            return False
        excluded = self._select_excluded(name, peer)
        if excluded == peer.excluded and (
            excluded == peer.acknowledged or not excluded and peer.acknowledged is None
        ):
            return False
        if now >= peer.resend_at:
            peer.version += 1
            peer.excluded |= excluded
            peer.sent, peer.resend_at = (peer.version, excluded), now + RESEND_INTERVAL_US
            message = SendExclusions(
                name, peer.generation, tuple(sorted(excluded)), peer.version, peer.resend_at
            )
            self._save(
                now, name, peer.excluded, lambda at, is_durable: self._emit(message) if is_durable else None
            )
        return True

    def _select_excluded(self, name: str, peer: _Peer) -> frozenset[str]:
        """Return whom to exclude towards a reachable peer."""
        return frozenset(
            each
            for each in self._unreachable
            if each != name
            and (
                each in peer.excluded
                or (name not in self.peers[each].excluded and self.may_vote_with((name, each)))
            )
        )
