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

from mintmast.decisions.gateways.standing import CONCLUSIONS, Proof
from mintmast.decisions.gateways.talk import AsideTold, Learnt, SendAside, SendLearn

SECOND = 1_000_000
# µs after which a gateway that did not answer is asked again
ASK_AGAIN = SECOND
NOBODY: frozenset[str] = frozenset()
# after every digest: a question that asks for no records
NO_RECORDS = "~"
# writes who may be held aside towards another, then calls `then(now, good)`
Save = Callable[[int, str, frozenset[str], Callable[[int, bool], None]], None]


def _at_once(now: int, name: str, names: frozenset[str], then: Callable[[int, bool], None]) -> None:
    then(now, True)


@dataclass(slots=True)
class _Read:
    """What is being read from another gateway; `until` (µs) the answer to the last question comes or not."""

    until: int
    number: int  # of the last question
    start: int = 0
    pages: int = 0
    records: bool = True
    unready: set[str] = field(default_factory=set)
    version: int = -1  # of the other's word that this is read for; -1 for none


@dataclass(slots=True)
class _Cover:
    """What another gateway, in all its lives, holds aside towards this one."""

    start: int = 0
    version: int = -1
    covered: frozenset[str] = NOBODY  # and what it had granted was read
    wanted: frozenset[str] = NOBODY  # still to be read


@dataclass(slots=True)
class _Other:
    """Another gateway. `held` is all that it may have booked, `acked` what it surely has."""

    out: bool = not CONCLUSIONS[Proof.NEVER_HEARD].relied_on  # as it stands
    gone: bool = False
    first: bool = False  # it is asked before others
    start: int = 0
    before: int = 0  # its start before that
    met: bool = False  # it answered, and knows of no life of this gateway that the records do not
    told: frozenset[str] | None = None  # those with whom it did not vote when it told all; None: it did not
    covers: frozenset[str] = NOBODY  # whom it said to cover for this gateway
    held: frozenset[str] = NOBODY
    acked: frozenset[str] | None = None
    version: int = 0
    sent: tuple[int, frozenset[str]] = (-1, NOBODY)
    sent_until: int = 0
    read: _Read | None = None
    cover: _Cover = field(default_factory=_Cover)

    def forget_word(self) -> None:
        """Take it that the process which booked this gateway's word is over."""
        self.held, self.acked, self.sent_until = NOBODY, None, 0


class Covers:
    """One gateway's part. `members` are all gateways of the region, `emit` takes commands."""

    def __init__(
        self,
        gateway: str,
        members: tuple[str, ...],
        emit: Callable[[object], None],
        save: Save | None = None,
    ) -> None:
        self._gateway, self._emit, self._save = gateway, emit, save or _at_once
        self._life: int | None = None  # the last start in the records, where they are whole
        self.others = {each: _Other() for each in sorted(members) if each != gateway}
        self._out = {name for name, other in self.others.items() if other.out}
        self._all = not self.others  # every other one told, or is gone
        self._voting = False
        self._asked = 0
        self.stale = False  # the records are not the last
        self.begun = False  # claims that an earlier life voted on are decided by now

    # What may be done

    def ready(self, others: tuple[str, ...]) -> bool:
        """Tell whether this gateway may vote on keys that it witnesses together with these."""
        if self._life is not None and others:
            if not self._met([self.others[each] for each in others]):
                return False
        return self.begun and (self._all or all(self._accounted(each, others) for each in others))

    @staticmethod
    def _met(others: list[_Other]) -> bool:
        """Tell whether these say that the records are the last; one is enough where the rest is out.

        Danger: any of them may be the one that met a later life, as when a backup was put back.
        """
        return any(each.met for each in others) and all(each.met or each.out for each in others)

    def restore(self, life: int, aside: dict[str, frozenset[str]]) -> None:
        """Start from whole records: the last start in them, and who was held aside towards whom."""
        self._life, self._all, self.begun = life, True, True
        for name, names in aside.items():
            if name in self.others:
                self.others[name].held = names & self.others.keys()

    def doubt(self) -> None:
        """Take it that the records are not the last: ask all, as without."""
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
        """Give those of a key's other witnesses with whose votes this gateway's must not be combined."""
        return tuple(a for a in others if any(a in self.others[b].held for b in others))

    @property
    def voting(self) -> bool:
        """Tell whether it votes on all keys that can be decided: those with one other witness in reach."""
        if not self._voting:
            told = self._all or any(self._whole(each, ()) for each in self.others)
            if self._life is not None and self.others:
                self._voting = self._met(list(self.others.values()))
                return self._voting
            self._voting = self.begun and told and next(self._waits(), None) is None
        return self._voting

    @property
    def whole(self) -> bool:
        """Tell whether it knows all that its lives granted, on keys of those out of reach too."""
        return self.begun and all(self._settled(name, other) for name, other in self.others.items())

    def waits_for(self) -> list[str]:
        """Name those without whose word there are keys that it does not vote on."""
        return list(self._waits())

    def state(self) -> dict[str, object]:
        """Tell operators whose word is waited for, who is held aside towards whom, who is covered here."""
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
        """Tell whether it votes on all keys with this one, but for those whose witnesses are all out."""
        if self._life is None and (self._all or other.told == NOBODY):
            return self.begun
        if len(self.others) == 1:
            return self.ready((name,))
        return all(self.ready((name, each)) or {name, each} <= out for each in self.others if each != name)

    # What is heard

    def stands(self, name: str, proof: Proof, start: int) -> None:
        """Take how another gateway stands."""
        other = self.others[name]
        self.lives(name, start)
        row = CONCLUSIONS[proof]
        other.out, other.gone, other.first = not row.relied_on, row.gone, row.asked_first
        (self._out.add if other.out else self._out.discard)(name)
        if other.gone:  # its memory is gone with it
            other.forget_word()
            self._look()

    def lives(self, name: str, start: int) -> None:
        """Take note of a start of another gateway: a later one has no memory of this gateway's word."""
        other = self.others[name]
        if start > other.start:
            if other.start:
                other.before = other.start
                other.forget_word()
            other.read, other.cover.wanted = None, NOBODY
            other.start = start

    def learnt(self, now: int, event: Learnt) -> None:
        """Take the end of a question; its records are the witness's."""
        other = self.others[event.peer]
        read = other.read
        if read is None or event.number != read.number or not event.whole:
            return  # asked again when its time is over
        start = event.start or other.start  # none is told by the version before, which covers nobody
        if start > other.start:
            self.lives(event.peer, start)
        if start < other.start or (read.pages and read.start != start):
            other.read = None  # pages of two lives do not make one whole
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
        if other.told is None:  # this life's promise is that of the lives before it
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
        """Look whether every other one has told, or is gone: then nobody knows of more."""
        if all(each.told is not None or each.gone for each in self.others.values()):
            self._all = True

    def asided(self, now: int, event: AsideTold) -> None:
        """Take another gateway's word that it has booked who is held aside."""
        other = self.others[event.peer]
        version, names = other.sent
        if event.version == version:
            other.held = other.acked = names
            other.sent_until = 0
            self._save(now, event.peer, names, lambda at, good: None)

    def start_of(self, name: str) -> int:
        """Give the last start of a gateway that is known; 0 for this one, or for none."""
        return self.others[name].start if name in self.others else 0

    # What is told

    def tell(self, name: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Give for one that asks: with whom as third witness this one does not vote, and whom it covers."""
        rest = [each for each in self.others if each != name]
        unready = [each for each in rest if not self.ready((name, each))]
        if not rest and not self.ready((name,)):
            unready = [name]
        return tuple(unready), tuple(sorted(self.others[name].cover.covered))

    def book(self, name: str, start: int, version: int, names: tuple[str, ...]) -> int:
        """Book whom another gateway holds aside; gives the version that is booked, -1 for none.

        Danger: a word of an earlier life, or one that was overtaken, would vouch for what is not so any more.
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

    # What is asked

    def go_on(self, now: int) -> bool:
        """Ask and tell what is to be asked and told by now; True where something is still open."""
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
        """Give whom to hold aside towards one that is heard."""
        return frozenset(
            each
            for each in self._out
            if each != name
            and (each in other.held or (name not in self.others[each].held and self.ready((name, each))))
        )
