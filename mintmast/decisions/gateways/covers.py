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

from mintmast.decisions.gateways.standing import CONCLUSIONS, Proof
from mintmast.decisions.gateways.talk import AsideTold, Learnt, SendAside, SendLearn

SECOND = 1_000_000
# µs after which an unanswered message is sent again
ASK_AGAIN = SECOND
NOBODY: frozenset[str] = frozenset()
# sorts after every digest: a learn request that asks for no records
NO_RECORDS = "~"
# saves the exclusions that a peer may have recorded, then calls `then(now, is_durable)`
Save = Callable[[int, str, frozenset[str], Callable[[int, bool], None]], None]


def _at_once(now: int, name: str, names: frozenset[str], then: Callable[[int, bool], None]) -> None:
    then(now, True)


@dataclass(slots=True)
class _Read:
    """A read of another gateway's claims, page by page; `deadline` (µs) is that of the latest request."""

    until: int
    number: int  # of the latest request
    start: int = 0
    pages: int = 0
    records: bool = True
    unready: set[str] = field(default_factory=set)
    version: int = -1  # of the peer's exclusions that this read is for; -1 for none


@dataclass(slots=True)
class _Cover:
    """Gateways that another one, in all its generations, excludes towards this one."""

    start: int = 0
    version: int = -1
    covered: frozenset[str] = NOBODY  # its earlier grants have been read
    wanted: frozenset[str] = NOBODY  # its earlier grants are still to be read


@dataclass(slots=True)
class _Other:
    """Another gateway.

    `excluded` are all exclusions that it may have recorded, `acknowledged` those that it certainly has.
    """

    out: bool = not CONCLUSIONS[Proof.NEVER_HEARD].relied_on
    gone: bool = False
    first: bool = False  # asked before others
    start: int = 0
    before: int = 0
    # it replied, and has seen no generation of this gateway that the records lack
    met: bool = False
    # with whom it did not vote when it reported all its claims; None: it has not reported them
    told: frozenset[str] | None = None
    covers: frozenset[str] = NOBODY  # as it replied
    held: frozenset[str] = NOBODY
    acked: frozenset[str] | None = None
    version: int = 0
    sent: tuple[int, frozenset[str]] = (-1, NOBODY)
    sent_until: int = 0
    read: _Read | None = None
    cover: _Cover = field(default_factory=_Cover)

    def forget_word(self) -> None:
        """Drop what the peer acknowledged: the process that recorded it has ended."""
        self.held, self.acked, self.sent_until = NOBODY, None, 0


class Covers:
    """Exclusions of one gateway. `members` are all gateways of the region; `emit` receives commands."""

    def __init__(
        self,
        gateway: str,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        save: Save | None = None,
    ) -> None:
        self._gateway, self._emit, self._save = gateway, emit, save or _at_once
        self._life: int | None = None  # the latest in the records, if they are complete
        self.others = {each: _Other() for each in sorted(members) if each != gateway}
        self._out = {name for name, other in self.others.items() if other.out}
        self._all = not self.others  # each peer has reported or its process has ended
        self._voting = False
        self._asked = 0
        self.stale = False  # a peer has seen a later generation than the records contain
        self.begun = False  # claims that an earlier generation voted on are decided by now

    # Conclusions

    def ready(self, others: tuple[str, ...]) -> bool:
        """Return whether this gateway may vote on keys that it witnesses together with these."""
        if self._life is not None and others:
            if not self._met([self.others[each] for each in others]):
                return False
        return self.begun and (self._all or all(self._accounted(each, others) for each in others))

    @staticmethod
    def _met(others: list[_Other]) -> bool:
        """Return whether each reachable one of these peers, and at least one peer, confirmed the records.

        Any of them may be the one that has seen a later generation, as after a backup was restored.
        """
        return any(each.met for each in others) and all(each.met or each.out for each in others)

    def restore(self, life: int, aside: dict[str, frozenset[str]]) -> None:
        """Start from complete records: the latest generation in them and the exclusions by peer."""
        self._life, self._all, self.begun = life, True, True
        for name, names in aside.items():
            if name in self.others:
                self.others[name].held = names & self.others.keys()

    def doubt(self) -> None:
        """Distrust records that are not the latest: ask all peers, as without records."""
        self._life, self._all, self._voting, self.begun = None, False, False, False
        for other in self.others.values():
            other.told, other.covers, other.read = None, NOBODY, None

    def _accounted(self, name: str, others: tuple[str, ...]) -> bool:
        if self._whole(name, others):
            return True
        return any(
            name in self.others[each].covers and self._whole(each, others) for each in others if each != name
        )

    def _whole(self, name: str, others: tuple[str, ...]) -> bool:
        told = self.others[name].told
        return told is not None and self._gateway not in told and told.isdisjoint(others)

    def without(self, others: tuple[str, ...]) -> tuple[str, ...]:
        """Return those of a key's other witnesses whose votes must not be combined with this gateway's."""
        return tuple(a for a in others if any(a in self.others[b].held for b in others))

    @property
    def voting(self) -> bool:
        """Return whether it votes on all keys that can be decided, those with another reachable witness."""
        if not self._voting:
            told = self._all or any(self._whole(each, ()) for each in self.others)
            if self._life is not None and self.others:
                self._voting = self._met(list(self.others.values()))
                return self._voting
            self._voting = self.begun and told and next(self._waits(), None) is None
        return self._voting

    @property
    def whole(self) -> bool:
        """Return whether it knows all grants of its generations, also on keys of unreachable witnesses."""
        return self.begun and all(self._settled(name, other) for name, other in self.others.items())

    def waits_for(self) -> list[str]:
        """Return the peers without whose reply there are keys that it does not vote on."""
        return list(self._waits())

    def state(self) -> dict[str, object]:
        """Return for operators: awaited peers, exclusions by peer, gateways vouched for by peer."""
        held = {name: sorted(other.held) for name, other in self.others.items() if other.held}
        here = {
            name: sorted(other.cover.covered) for name, other in self.others.items() if other.cover.covered
        }
        return {"waits_for": self.waits_for(), "held_aside": held, "covers": here}

    def _waits(self) -> Iterator[str]:
        for name, other in self.others.items():
            if not self._settled(name, other, self._out):
                yield name

    def _settled(self, name: str, other: _Other, out: set[str] | frozenset[str] = NOBODY) -> bool:
        """Return whether it votes on all keys with this peer, except those whose witnesses are all `out`."""
        if self._life is None and (self._all or other.told == NOBODY):
            return self.begun
        if len(self.others) == 1:
            return self.ready((name,))
        return all(self.ready((name, each)) or {name, each} <= out for each in self.others if each != name)

    # Input from membership and peers

    def stands(self, name: str, proof: Proof, start: int) -> None:
        """Update a peer's liveness and generation."""
        other = self.others[name]
        self.lives(name, start)
        row = CONCLUSIONS[proof]
        other.out, other.gone, other.first = not row.relied_on, row.gone, row.asked_first
        (self._out.add if other.out else self._out.discard)(name)
        if other.gone:  # its memory is lost with it
            other.forget_word()
            self._look()

    def lives(self, name: str, start: int) -> None:
        """Record a peer's generation; a later one does not remember what an earlier one acknowledged."""
        other = self.others[name]
        if start > other.start:
            if other.start:
                other.before = other.start
                other.forget_word()
            other.read, other.cover.wanted = None, NOBODY
            other.start = start

    def learnt(self, now: int, event: Learnt) -> None:
        """Handle the end of a learn request; the claims in the reply are merged by the witness service."""
        other = self.others[event.peer]
        read = other.read
        if read is None or event.number != read.number or not event.whole:
            return  # sent again after its deadline
        start = event.start or other.start  # gateways of the previous release send none and vouch for nobody
        if start > other.start:
            self.lives(event.peer, start)
        if start < other.start or (read.pages and read.start != start):
            other.read = None  # pages of two generations do not make one complete report
            return
        other.read, read.start, read.pages = read, start, read.pages + 1
        if self._life is not None and event.before > self._life:
            self.stale = True
            return
        other.met = True
        read.unready.update(event.unready if event.start else (self._gateway,))
        if event.more and event.records:
            self._question(now, event.peer, read, event.records[-1][0])
            return
        other.read = None
        if read.records:
            self._read_whole(other, read, event)

    def _read_whole(self, other: _Other, read: _Read, event: Learnt) -> None:
        covered = frozenset(event.covered) & self.others.keys()
        if other.told is None:  # exclusions of earlier generations still hold
            other.held |= covered
            other.acked = other.held
        other.covers |= covered if other.told is None else NOBODY
        unready = frozenset(read.unready)
        other.told = unready if other.told is None else other.told & unready
        cover = other.cover
        if (read.start, read.version) == (cover.start, cover.version):
            cover.covered, cover.wanted = cover.covered | cover.wanted, NOBODY
        self._look()

    def _look(self) -> None:
        """Check whether each peer has reported or its process has ended: then no further claims are known."""
        if all(each.told is not None or each.gone for each in self.others.values()):
            self._all = True

    def asided(self, now: int, event: AsideTold) -> None:
        """Handle a peer's acknowledgement that it has recorded exclusions."""
        other = self.others[event.peer]
        version, names = other.sent
        if event.version == version:
            other.held = other.acked = names
            other.sent_until = 0
            self._save(now, event.peer, names, lambda at, good: None)

    def start_of(self, name: str) -> int:
        """Return the latest known generation of a peer; 0 if none is known, or for this gateway."""
        return self.others[name].start if name in self.others else 0

    # Answers to peers

    def tell(self, name: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return for a learn reply: third witnesses that it does not vote with, and whom it vouches for."""
        rest = [each for each in self.others if each != name]
        unready = [each for each in rest if not self.ready((name, each))]
        if not rest and not self.ready((name,)):
            unready = [name]
        return tuple(unready), tuple(sorted(self.others[name].cover.covered))

    def book(self, name: str, start: int, version: int, names: tuple[str, ...]) -> int:
        """Record whom a peer excludes; return the version that is recorded, -1 if none is.

        Messages of an earlier generation and overtaken ones are ignored: they would vouch for what no longer
        holds.
        """
        other = self.others[name]
        self.lives(name, start)
        cover = other.cover
        if start < other.start:
            return -1
        if start > cover.start:
            cover.start, cover.version = start, -1
        if version > cover.version:
            told = frozenset(names) & self.others.keys()
            cover.version, cover.covered = version, cover.covered & told
            cover.wanted = told - cover.covered
        return cover.version

    # Requests to peers

    def go_on(self, now: int) -> bool:
        """Send all requests and exclusions that are due; return True if any is still unanswered."""
        open_ = False
        for name, other in self.others.items():
            open_ |= self._ask(now, name, other) | self._tell_aside(now, name, other)
        return open_

    def _ask(self, now: int, name: str, other: _Other) -> bool:
        learns = not other.gone and not self._settled(name, other)
        pulls = bool(other.cover.wanted) and not other.out
        if not learns and not pulls:
            return False
        if other.read is None or now >= other.read.until:
            version = other.cover.version if pulls else -1
            records = pulls or not self._all
            other.read = _Read(0, 0, version=version, records=records)
            self._question(now, name, other.read, "" if records else NO_RECORDS)
        return True

    def _question(self, now: int, name: str, read: _Read, after: str) -> None:
        self._asked += 1
        read.number, read.until = self._asked, now + ASK_AGAIN
        self._emit(SendLearn(name, after, read.number, read.until))

    def _tell_aside(self, now: int, name: str, other: _Other) -> bool:
        if other.out or not other.start:
            return False
        wanted = self._wanted(name, other)
        if wanted == other.held and (wanted == other.acked or not wanted and other.acked is None):
            return False
        if now >= other.sent_until:
            other.version += 1
            other.held |= wanted
            other.sent, other.sent_until = (other.version, wanted), now + ASK_AGAIN
            word = SendAside(name, other.start, tuple(sorted(wanted)), other.version, other.sent_until)
            self._save(now, name, other.held, lambda at, good: self._emit(word) if good else None)
        return True

    def _wanted(self, name: str, other: _Other) -> frozenset[str]:
        """Return whom to exclude towards a reachable peer."""
        return frozenset(
            each
            for each in self._out
            if each != name
            and (each in other.held or (name not in self.others[each].held and self.ready((name, each))))
        )
