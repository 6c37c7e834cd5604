"""Whose word a witness may do without: what others told it, and whom it holds aside so that others can.

A witness that starts has no memory. It may vote on a key once it knows of every owned claim to which an
earlier life of its own helped; such a claim has a second vote, by one of the key's other two witnesses. So it
hears both of them; a third gateway need not be heard. Where one, X, cannot be reached, the other, A, may
stand in: while X was out of reach this gateway held it **aside** towards A. That is two things. A has read
all that this gateway granted before; and each vote given since says that it does not count together with
X's, on keys that all three witness, so that it counts with A's only and A knows of it itself.

Dangers, and what is done against each (`tests/test_covers.py` takes them out one by one):

* A promise outlives the process that gave it: A keeps it for all later lives. A life that has not heard from
  A does not vote on such keys, and one that has keeps the promise until A has booked its end.
* X aside towards A and A aside towards X, in different lives, would each vouch for what only the other knows:
  nobody is held aside towards one who is held aside himself on the same keys.
* A gateway that is learning knows nothing that others could read: it says with whom it does not vote yet, and
  nothing is built on that.
* Records that were kept over the death stand in for all that, if they are this gateway's last: another that
  knows of a later life than they do says so, and one such answer makes this one ask all, as without records.
* Words overtake each other: each has a version, and those of an earlier life are not booked.

Two gateways out of reach at once are not covered: keys with both among their witnesses wait for one of them,
or for an operator's word.
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
# µs after which a gateway that did not answer is asked again
RESEND_INTERVAL_US = SECOND
NOBODY: frozenset[str] = frozenset()
# after every digest: a question that asks for no records
NO_RECORDS = "~"
# writes who may be held aside towards another, then calls `then(now, good)`
SaveExclusions = Callable[[int, str, frozenset[str], Callable[[int, bool], None]], None]


def _save_immediately(now: int, name: str, names: frozenset[str], then: Callable[[int, bool], None]) -> None:
    then(now, True)


@dataclass(slots=True)
class _PendingRead:
    """What is being read from another gateway; `until` (µs) the answer to the last question comes or not."""

    deadline: int
    number: int  # of the last question
    generation: int = 0
    pages: int = 0
    with_records: bool = True
    not_voting_with: set[str] = field(default_factory=set)
    version: int = -1  # of the other's word that this is read for; -1 for none


@dataclass(slots=True)
class _Vouching:
    """What another gateway, in all its lives, holds aside towards this one."""

    generation: int = 0
    version: int = -1
    vouched_for: frozenset[str] = NOBODY  # and what it had granted was read
    unread: frozenset[str] = NOBODY  # still to be read


@dataclass(slots=True)
class _Peer:
    """Another gateway. `held` is all that it may have booked, `acked` what it surely has."""

    unreachable: bool = not MEMBER_POLICIES[Liveness.NEVER_HEARD].counts_as_capacity  # as it stands
    process_ended: bool = False
    is_preferred: bool = False  # it is asked before others
    generation: int = 0
    previous_generation: int = 0  # its start before that
    confirmed_records: bool = (
        False  # it answered, and knows of no life of this gateway that the records do not
    )
    not_voting_with: frozenset[str] | None = (
        None  # those with whom it did not vote when it told all; None: it did not
    )
    vouches_for: frozenset[str] = NOBODY  # whom it said to cover for this gateway
    excluded: frozenset[str] = NOBODY
    acknowledged: frozenset[str] | None = None
    version: int = 0
    sent: tuple[int, frozenset[str]] = (-1, NOBODY)
    resend_at: int = 0
    read: _PendingRead | None = None
    vouching: _Vouching = field(default_factory=_Vouching)

    def forget_acknowledged(self) -> None:
        """Take it that the process which booked this gateway's word is over."""
        self.excluded, self.acknowledged, self.resend_at = NOBODY, None, 0


class Exclusions:
    """One gateway's part. `members` are all gateways of the region, `emit` takes commands."""

    def __init__(
        self,
        gateway: str,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        save: SaveExclusions | None = None,
    ) -> None:
        self._gateway, self._emit, self._save = gateway, emit, save or _save_immediately
        self._recorded_generation: int | None = None  # the last start in the records, where they are whole
        self.peers = {each: _Peer() for each in sorted(members) if each != gateway}
        self._unreachable = {name for name, other in self.peers.items() if other.unreachable}
        self._knows_all = not self.peers  # every other one told, or is gone
        self._is_voting = False
        self._last_request = 0
        self.records_are_stale = False  # the records are not the last
        self.earlier_claims_settled = False  # claims that an earlier life voted on are decided by now

    # What may be done

    def may_vote_with(self, witnesses: tuple[str, ...]) -> bool:
        """Tell whether this gateway may vote on keys that it witnesses together with these."""
        if self._recorded_generation is not None and witnesses:
            if not self._records_confirmed([self.peers[each] for each in witnesses]):
                return False
        return self.earlier_claims_settled and (
            self._knows_all or all(self._is_accounted_for(each, witnesses) for each in witnesses)
        )

    @staticmethod
    def _records_confirmed(peers: list[_Peer]) -> bool:
        """Tell whether these say that the records are the last; one is enough where the rest is out.

        Danger: any of them may be the one that met a later life, as when a backup was put back.
        """
        return any(each.confirmed_records for each in peers) and all(
            each.confirmed_records or each.unreachable for each in peers
        )

    def restore(self, generation: int, exclusions: dict[str, frozenset[str]]) -> None:
        """Start from whole records: the last start in them, and who was held aside towards whom."""
        self._recorded_generation, self._knows_all, self.earlier_claims_settled = generation, True, True
        for name, names in exclusions.items():
            if name in self.peers:
                self.peers[name].excluded = names & self.peers.keys()

    def distrust_records(self) -> None:
        """Take it that the records are not the last: ask all, as without."""
        self._recorded_generation, self._knows_all, self._is_voting, self.earlier_claims_settled = (
            None,
            False,
            False,
            False,
        )
        for other in self.peers.values():
            other.not_voting_with, other.vouches_for, other.read = None, NOBODY, None

    def _is_accounted_for(self, name: str, witnesses: tuple[str, ...]) -> bool:
        if self._has_told_all(name, witnesses):
            return True
        return any(
            name in self.peers[each].vouches_for and self._has_told_all(each, witnesses)
            for each in witnesses
            if each != name
        )

    def _has_told_all(self, name: str, witnesses: tuple[str, ...]) -> bool:
        not_voting_with = self.peers[name].not_voting_with
        return (
            not_voting_with is not None
            and self._gateway not in not_voting_with
            and not_voting_with.isdisjoint(witnesses)
        )

    def excluded_among(self, peers: tuple[str, ...]) -> tuple[str, ...]:
        """Give those of a key's other witnesses with whose votes this gateway's must not be combined."""
        return tuple(a for a in peers if any(a in self.peers[b].excluded for b in peers))

    @property
    def is_voting(self) -> bool:
        """Tell whether it votes on all keys that can be decided: those with one other witness in reach."""
        if not self._is_voting:
            told = self._knows_all or any(self._has_told_all(each, ()) for each in self.peers)
            if self._recorded_generation is not None and self.peers:
                self._is_voting = self._records_confirmed(list(self.peers.values()))
                return self._is_voting
            self._is_voting = (
                self.earlier_claims_settled and told and next(self._find_awaited(), None) is None
            )
        return self._is_voting

    @property
    def knows_all_grants(self) -> bool:
        """Tell whether it knows all that its lives granted, on keys of those out of reach too."""
        return self.earlier_claims_settled and all(
            self._votes_with(name, other) for name, other in self.peers.items()
        )

    def awaited_peers(self) -> list[str]:
        """Name those without whose word there are keys that it does not vote on."""
        return list(self._find_awaited())

    def state(self) -> dict[str, object]:
        """Tell operators whose word is waited for, who is held aside towards whom, who is covered here."""
        held = {name: sorted(other.excluded) for name, other in self.peers.items() if other.excluded}
        here = {
            name: sorted(other.vouching.vouched_for)
            for name, other in self.peers.items()
            if other.vouching.vouched_for
        }
        return {"waits_for": self.awaited_peers(), "held_aside": held, "covers": here}

    def _find_awaited(self) -> Iterator[str]:
        for name, other in self.peers.items():
            if not self._votes_with(name, other, self._unreachable):
                yield name

    def _votes_with(self, name: str, other: _Peer, out: set[str] | frozenset[str] = NOBODY) -> bool:
        """Tell whether it votes on all keys with this one, but for those whose witnesses are all out."""
        if self._recorded_generation is None and (self._knows_all or other.not_voting_with == NOBODY):
            return self.earlier_claims_settled
        if len(self.peers) == 1:
            return self.may_vote_with((name,))
        return all(
            self.may_vote_with((name, each)) or {name, each} <= out for each in self.peers if each != name
        )

    # What is heard

    def update_peer(self, name: str, liveness: Liveness, generation: int) -> None:
        """Take how another gateway stands."""
        other = self.peers[name]
        self.note_generation(name, generation)
        policy = MEMBER_POLICIES[liveness]
        other.unreachable, other.process_ended, other.is_preferred = (
            not policy.counts_as_capacity,
            policy.process_ended,
            policy.is_preferred,
        )
        (self._unreachable.add if other.unreachable else self._unreachable.discard)(name)
        if other.process_ended:  # its memory is gone with it
            other.forget_acknowledged()
            self._update_knows_all()

    def note_generation(self, name: str, generation: int) -> None:
        """Take note of a start of another gateway: a later one has no memory of this gateway's word."""
        other = self.peers[name]
        if generation > other.generation:
            if other.generation:
                other.previous_generation = other.generation
                other.forget_acknowledged()
            other.read, other.vouching.unread = None, NOBODY
            other.generation = generation

    def handle_learn_reply(self, now: int, event: LearnReply) -> None:
        """Take the end of a question; its records are the witness's."""
        other = self.peers[event.peer]
        read = other.read
        if read is None or event.number != read.number or not event.answered:
            return  # asked again when its time is over
        generation = (
            event.generation or other.generation
        )  # none is told by the version before, which covers nobody
        if generation > other.generation:
            self.note_generation(event.peer, generation)
        if generation < other.generation or (read.pages and read.generation != generation):
            other.read = None  # pages of two lives do not make one whole
            return
        other.read, read.generation, read.pages = read, generation, read.pages + 1
        if self._recorded_generation is not None and event.previous_generation > self._recorded_generation:
            self.records_are_stale = True
            return
        other.confirmed_records = True
        read.not_voting_with.update(event.not_voting_with if event.generation else (self._gateway,))
        if event.more and event.records:
            self._send_learn_request(now, event.peer, read, event.records[-1][0])
            return
        other.read = None
        if read.with_records:
            self._finish_read(other, read, event)

    def _finish_read(self, other: _Peer, read: _PendingRead, event: LearnReply) -> None:
        covered = frozenset(event.vouched_for) & self.peers.keys()
        if other.not_voting_with is None:  # this life's promise is that of the lives before it
            other.excluded |= covered
            other.acknowledged = other.excluded
        other.vouches_for |= covered if other.not_voting_with is None else NOBODY
        not_voting_with = frozenset(read.not_voting_with)
        other.not_voting_with = (
            not_voting_with if other.not_voting_with is None else other.not_voting_with & not_voting_with
        )
        vouching = other.vouching
        if (read.generation, read.version) == (vouching.generation, vouching.version):
            vouching.vouched_for, vouching.unread = vouching.vouched_for | vouching.unread, NOBODY
        self._update_knows_all()

    def _update_knows_all(self) -> None:
        """Look whether every other one has told, or is gone: then nobody knows of more."""
        if all(each.not_voting_with is not None or each.process_ended for each in self.peers.values()):
            self._knows_all = True

    def handle_acknowledgement(self, now: int, event: ExclusionsAcknowledged) -> None:
        """Take another gateway's word that it has booked who is held aside."""
        other = self.peers[event.peer]
        version, names = other.sent
        if event.version == version:
            other.excluded = other.acknowledged = names
            other.resend_at = 0
            self._save(now, event.peer, names, lambda at, good: None)

    def generation_of(self, name: str) -> int:
        """Give the last start of a gateway that is known; 0 for this one, or for none."""
        return self.peers[name].generation if name in self.peers else 0

    # What is told

    def describe_for(self, name: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Give for one that asks: with whom as third witness this one does not vote, and whom it covers."""
        others = [each for each in self.peers if each != name]
        not_voting_with = [each for each in others if not self.may_vote_with((name, each))]
        if not others and not self.may_vote_with((name,)):
            not_voting_with = [name]
        return tuple(not_voting_with), tuple(sorted(self.peers[name].vouching.vouched_for))

    def record_exclusions(self, name: str, generation: int, version: int, names: tuple[str, ...]) -> int:
        """Book whom another gateway holds aside; gives the version that is booked, -1 for none.

        Danger: a word of an earlier life, or one that was overtaken, would vouch for what is not so any more.
        """
        other = self.peers[name]
        self.note_generation(name, generation)
        vouching = other.vouching
        if generation < other.generation:
            return -1
        if generation > vouching.generation:
            vouching.generation, vouching.version = generation, -1
        if version > vouching.version:
            told = frozenset(names) & self.peers.keys()
            vouching.version, vouching.vouched_for = version, vouching.vouched_for & told
            vouching.unread = told - vouching.vouched_for
        return vouching.version

    # What is asked

    def send_pending(self, now: int) -> bool:
        """Ask and tell what is to be asked and told by now; True where something is still open."""
        is_pending = False
        for name, other in self.peers.items():
            is_pending |= self._send_learn_if_due(now, name, other) | self._send_exclusions_if_due(
                now, name, other
            )
        return is_pending

    def _send_learn_if_due(self, now: int, name: str, other: _Peer) -> bool:
        learns = not other.process_ended and not self._votes_with(name, other)
        pulls = bool(other.vouching.unread) and not other.unreachable
        if not learns and not pulls:
            return False
        if other.read is None or now >= other.read.deadline:
            version = other.vouching.version if pulls else -1
            records = pulls or not self._knows_all
            other.read = _PendingRead(0, 0, version=version, with_records=records)
            self._send_learn_request(now, name, other.read, "" if records else NO_RECORDS)
        return True

    def _send_learn_request(self, now: int, name: str, read: _PendingRead, after: str) -> None:
        self._last_request += 1
        read.number, read.deadline = self._last_request, now + RESEND_INTERVAL_US
        self._emit(SendLearnRequest(name, after, read.number, read.deadline))

    def _send_exclusions_if_due(self, now: int, name: str, other: _Peer) -> bool:
        if other.unreachable or not other.generation:
            return False
        wanted = self._select_excluded(name, other)
        if wanted == other.excluded and (
            wanted == other.acknowledged or not wanted and other.acknowledged is None
        ):
            return False
        if now >= other.resend_at:
            other.version += 1
            other.excluded |= wanted
            other.sent, other.resend_at = (other.version, wanted), now + RESEND_INTERVAL_US
            message = SendExclusions(
                name, other.generation, tuple(sorted(wanted)), other.version, other.resend_at
            )
            self._save(now, name, other.excluded, lambda at, good: self._emit(message) if good else None)
        return True

    def _select_excluded(self, name: str, other: _Peer) -> frozenset[str]:
        """Give whom to hold aside towards one that is heard."""
        return frozenset(
            each
            for each in self._unreachable
            if each != name
            and (
                each in other.excluded
                or (name not in self.peers[each].excluded and self.may_vote_with((name, each)))
            )
        )
