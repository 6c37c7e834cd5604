"""Who of the region's gateways is there: probes, suspicion, refutation, and what others told.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2017): each gateway
probes one other a period, first itself, then through helpers and over TCP, and passes on what it heard with
the words that it sends anyway. The changes: nobody is taken out by one observer's word, however long it
stands; a gateway that stood still accuses nobody; unreachable is never dead (`standing.py`).

Pure: `take(now, event)` gives commands; times in µs, random numbers from the generator handed in.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, replace

from mintmast.decisions.gateways.revising import HeadHeard
from mintmast.decisions.gateways.roll import (
    Changed,
    Command,
    Event,
    Forget,
    Heard,
    Member,
    Moved,
    Noted,
    Refused,
    SendWord,
    Tick,
    WakeAt,
    Way,
)
from mintmast.decisions.gateways.rumours import Rumour
from mintmast.decisions.gateways.standing import (
    CONCLUSIONS,
    Conclusion,
    Proof,
    Standing,
    State,
    live_counts,
    merge,
    refused,
    refuted,
)
from mintmast.decisions.gateways.words import (
    MOST_NEWS,
    BringingWord,
    Kind,
    News,
    TabledWord,
    Word,
    head_of,
    mark_of,
)

MS, SECOND = 1000, 1_000_000
# µs that a probe has in all, first itself and then through others; half a second finds a loss within the time
# that a paid viewer waits
PERIOD = 500 * MS
# µs for an answer before others are asked: a round trip in a region and a turn of a busy loop. The next probe
# goes after so long where the last was answered and there is news, and after a whole period otherwise
ANSWER = 150 * MS
# who are asked to probe in this gateway's place, as in SWIM: with a fifth of all datagrams lost, all three
# fail for a gateway that is well once in fourteen times
HELPERS = 3
# observers that must hear nothing before a gateway is taken for unreachable, where there are so many: a
# single machine's trouble, or two on one broken switch, take out nobody
OBSERVERS = 3
# µs for which a suspicion stands at the least, so that the suspected has a chance to say that it lives
SUSPECTED_FOR = 2 * PERIOD
# times that news is passed on, for each doubling of the number of gateways; SWIM's lambda
SPREAD = 3
# µs by which a wake may be late before this process counts as having stood still: longer than any turn of a
# healthy loop, shorter than what a probe waits
STOOD_STILL = 200 * MS
# others to be heard after a stand-still, where half of the region is more: what they say is all the region's
# news, and so many do not all share one cut
HEARD_ENOUGH = 5
# µs after a word of one who holds the region to stand otherwise in which all is passed on in turn, and probes
# go fast: the next such word comes sooner, if they still differ
APART = 2 * PERIOD
# words in a row that tell this gateway's own digest, after which it has no news: were one in four behind, one
# time in ten, and those who are show it by theirs
AGREED = 8
# how much further an answer's old news begins for each question: some fewer than a word takes, as what is new
# goes first
STRIDE = 8
# steps of own slowness, each of which makes time-outs longer by one: Lifeguard's bound
MOST_SLOW = 8
# of so many probes at the most one goes to a gateway that is not reached, so that its return is noticed; and
# of all the region's in a period so many go to each of them, once this one has been through its first round.
# Danger: were it always one in four, a machine that comes back has words of thousands in its first second
RETURN_EVERY, RETURNS = 4, 1.0
# who probe a gateway before its turn where somebody suspects it, some of all: the observers that it takes,
# and some more as a few are late. Danger: all who hear of it at once, and it is one that was only slow
VERIFIERS = 12
# a word's fields that tell no head and bring nothing; see `words.HeadedWord`
NO_HEAD = -1, 0, 0, ()
# answers in a row after which a path that was broken counts as whole again, so that a flapping one does not
WHOLE_AFTER = 4


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    at: int
    helpers: tuple[str, ...] = ()
    asked: bool = False
    nacks: int = 0


class Members:
    """One gateway's part. `names` are all gateways of the region, itself among them; `place`: see `Word`."""

    def __init__(
        self, name: str, start: int, names: tuple[str, ...], rng: random.Random, place: str = ""
    ) -> None:
        self.name, self.own, self._random = name, Standing(start, 0, State.ALIVE), rng
        self._place = place
        self.others = {each: Member(each) for each in sorted(names) if each != name}
        self._names = tuple(self.others)
        self._suspects: dict[str, None] = {}
        self._lost = dict.fromkeys(self._names)  # those neither alive nor suspected
        self._unheard = dict.fromkeys(self._names)  # and those of whom nothing was ever heard
        self.slow = 0
        self.condemned = ""  # why this process must not act under its name any more
        self.dropped = dict.fromkeys(("foreign", "old", "doubled", "bad state"), 0)
        self.words = 0  # that were sent
        self.rumour: Rumour | None = None  # of the configuration in force; None where it is not shared
        self._wait: set[str] | None = set()  # who was heard since this process stood still; None: enough
        self._waits = 0  # whole periods of that
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[str, int, int]] = {}  # own number: asker, its number, when
        self._number = 0
        self._order: list[str] = []
        self._next: deque[str] = deque(maxlen=64)  # suspected by others, to be probed before the rest
        self._hot: dict[str, int] = {}  # news to be passed on, and how often it was
        self._slice = 0
        self._table = mark_of(name, self.own)
        self._agreed = 0  # words in a row from those who hold the region to stand alike
        self._apart = 0  # µs until when others are taken to hold the region to stand otherwise
        self._rested = False
        self._due = 0
        self._out: list[Command] = []

    # What others ask of it

    @property
    def steady(self) -> bool:
        """Tell whether time gone by means anything here: not just after a stand-still, nor when condemned."""
        return self._wait is None and not self.condemned

    def proof(self, name: str, start: int | None = None) -> Proof:
        """Tell what is known of a gateway, or of one of its starts."""
        member = self.others[name]
        return Proof.LATER_START if start is not None and start < member.standing.start else member.proof

    def conclusion(self, name: str, start: int | None = None) -> Conclusion:
        """Tell what may be done about it."""
        return CONCLUSIONS[self.proof(name, start)]

    def counts(self) -> tuple[int, int]:
        """Count gateways, this one among them: those who may spend what all share, those relied on."""
        return live_counts([each.proof for each in self.others.values()])

    # Events

    def begin(self, now: int) -> list[Command]:
        """Start, at a random place in the first period: gateways that start together do not probe in step."""
        if self.others:
            self._wake(now + self._random.randrange(PERIOD))
        return self._take_out()

    def leave(self, now: int) -> list[Command]:
        """Say that this gateway ends."""
        self.own = replace(self.own, state=State.LEFT)
        there = [each.name for each in self.others.values() if each.proof is Proof.HEARD]
        for name in self._random.sample(there, min(len(there), 2 * HELPERS)):
            self._send(now, name, Kind.LEAVE)
        return self._take_out()

    def take(self, now: int, event: Event) -> list[Command]:
        """Take an event and give the commands that follow."""
        if isinstance(event, Tick):
            self._tick(now, event.due)
        elif isinstance(event, Heard):
            self._heard(now, event.word, event.sure)
        elif event.name in self.others:
            self._proved(now, event)
        return self._take_out()

    def _take_out(self) -> list[Command]:
        out, self._out = self._out, []
        return out

    def _wake(self, at: int) -> None:
        self._due = at
        self._out.append(WakeAt(at))

    # Time

    def _tick(self, now: int, due: int) -> None:
        if due != self._due or self.own.state is State.LEFT:
            return
        if now - due > STOOD_STILL:
            self._stood_still(now)
        elif self._probe is not None and not self._probe.asked:
            self._ask_others(now)
        elif self._probe is None and not self._rested and self._calm(now):
            self._rested = True
        else:
            self._rested = False
            self._judge(now)
            self._confirm(now)
            self._listen()
            self._begin_probe(now)
        first = self._probe is not None and not self._probe.asked
        span = (ANSWER if first else PERIOD - ANSWER) * (1 + self.slow)
        self._wake(now + span)

    def _calm(self, now: int) -> bool:
        """Tell whether there is nothing to pass on and nobody to look after.

        Danger: thirteen words a second, each filled with what the reader knows already, are one and a half
        times the bytes that all control may cost. May hurt: a loss meets its first probe later, by up to a
        period over as many as probe.
        """
        busy = self._hot or self._suspects or self.slow or self._wait is not None
        return not busy and now >= self._apart

    def _stood_still(self, now: int) -> None:
        """Take it that this process stood still: what others did meanwhile is not known.

        Danger: a gateway that was stopped for a while believes that all others fell silent, accuses them, and
        lends its vote to a rumour. It judges nothing that ran over its pause, and first hears from others.
        """
        self._probe, self._wait, self._waits = None, set(), 0
        self.slow = min(MOST_SLOW, self.slow + 1)
        for member in self.others.values():
            if member.proof is Proof.SILENT:
                member.observers.discard(self.name)
                member.since = now
        self._out.append(Noted("stood_still"))

    def _listen(self) -> None:
        """After a stand-still: enough were heard, or there is nobody to be heard."""
        if self._wait is None:
            return
        self._waits += 1
        half = (len(self.others) + 1) // 2  # with this one, more than half
        if len(self._wait) >= min(half, HEARD_ENOUGH):
            self._wait = None

    def _judge(self, now: int) -> None:
        """End the probe that is out: nobody reached its target."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        member = self.others[probe.target]
        member.answered = 0
        if probe.helpers and not probe.nacks:
            self.slow = min(MOST_SLOW, self.slow + 1)  # nobody answered at all: the trouble may be here
        if self._wait is not None and self._waits < 3:
            return  # just after a stand-still, or the start
        heard = member.heard_at is not None and member.heard_at >= probe.at
        member.way = Way.NOT_HEARD if heard else Way.BROKEN
        if not heard and member.standing.state in (State.ALIVE, State.SUSPECTED):
            self._accuse(now, member, replace(member.standing, state=State.SUSPECTED), self.name)

    def _accuse(self, now: int, member: Member, told: Standing, by: str) -> None:
        """Book an observer's word that it hears nothing of a gateway."""
        if told < member.standing:
            return
        if told > member.standing:
            member.observers = set()
            self._set(now, member, told, Proof.SILENT)
            if self._random.random() * len(self.others) < VERIFIERS:
                self._next.append(member.name)
        if by not in ("", member.name, *member.observers) and len(member.observers) < OBSERVERS:
            member.observers.add(by)
            self._hot[member.name] = self._agreed = 0

    def _confirm(self, now: int) -> None:
        """Take those for unreachable of whom enough observers hear nothing, for long enough."""
        alive = 1 + len(self.others) - len(self._suspects) - len(self._lost)
        if self._wait is not None:
            return
        for member in [self.others[each] for each in self._suspects]:
            if len(member.observers) >= min(OBSERVERS, alive):
                if now - member.since >= SUSPECTED_FOR * (1 + self.slow):
                    told = replace(member.standing, state=State.UNREACHABLE)
                    self._set(now, member, told, Proof.CONFIRMED)

    # Probes

    def _begin_probe(self, now: int) -> None:
        target = self._target()
        if target is None:
            return
        self._number += 1
        self._probe = _Probe(target, self._number, now)
        self._send(now, target, Kind.PING, self._number)
        for number in [n for n, (_, _, at) in self._relays.items() if now - at > 2 * PERIOD]:
            del self._relays[number]

    def _target(self) -> str | None:
        """Give whom to probe: those that others suspect, then one after the other in an order drawn anew."""
        while self._next:
            name = self._next.popleft()
            if self.others[name].standing.state is State.SUSPECTED:
                return name
        lost, new = self._lost, self._unheard if self._number <= len(self.others) else {}
        if lost:
            few = 1.0 if new else RETURNS * len(lost) / len(self.others)
            # drawn, not counted: all have known of the loss for as long, and would come back to it together
            due = self._random.random() < min(1 / RETURN_EVERY, few)
            if due or len(lost) == len(self.others):
                return self._random.choice(tuple(new or lost))
        while self._order:
            name = self._order.pop()
            if self._there(self.others[name]):
                return name
        self._order = [each.name for each in self.others.values() if self._there(each)]
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    @staticmethod
    def _there(member: Member) -> bool:
        return member.standing.state in (State.ALIVE, State.SUSPECTED)

    def _ask_others(self, now: int) -> None:
        """Go on with a probe that was not answered: through helpers, and over TCP, which loses nothing."""
        probe = self._probe
        if probe is None:
            return
        probe.asked = True
        able = [n for n, m in self.others.items() if m.standing.state is State.ALIVE and n != probe.target]
        probe.helpers = tuple(self._random.sample(able, min(HELPERS, len(able))))
        for helper in probe.helpers:
            self._send(now, helper, Kind.ASK, probe.number, probe.target)
        self._send(now, probe.target, Kind.PING, probe.number, self.name, sure=True)

    def _answered(self, now: int, sender: str, word: Word, sure: bool) -> None:
        relay = self._relays.pop(word.number, None)
        if relay is not None:
            asker, number, _ = relay
            self._send(now, asker, Kind.ACK, number, sender, word.gap)
            return
        probe = self._probe
        if probe is None or word.number != probe.number:
            return
        if word.kind == Kind.NACK:
            probe.nacks += 1
            return
        if sender != probe.target and word.about != probe.target:
            return
        self._probe = None
        member = self.others[probe.target]
        self.slow = max(0, self.slow - 1)
        if sender == probe.target and not sure:
            member.answered += 1
            if member.answered >= WHOLE_AFTER:
                member.way = Way.WHOLE
            return
        member.answered = 0
        # whether it heard the probe itself, so that only its answer was lost
        came = 0 <= word.gap * MS <= now - probe.at + ANSWER
        member.way = Way.NOT_HEARING if came else Way.NOT_HEARD
        if not came and (member.datagram_at is None or now - member.datagram_at > self._round()):
            member.way = Way.BROKEN

    def _round(self) -> int:
        """Give the time in which each other gateway has probed this one, µs."""
        return 2 * PERIOD * (len(self.others) + 1)

    # Words

    def _send(
        self,
        now: int,
        to: str,
        kind: Kind,
        number: int = 0,
        about: str = "",
        gap: int = -1,
        sure: bool = False,
        heard: Word | None = None,  # what it answers
    ) -> None:
        self.words += 1
        own, news = self.own, () if kind == Kind.ACK and not number else self._news(now, to, kind, number)
        told = kind, self.name, own.start, own.incarnation, self.words, number, about, gap, news, self._place
        word = TabledWord(*told, *self._headed(now, to, kind, heard), self._table)
        self._out.append(SendWord(to, word, sure, self.others[to].standing.start, now))

    def _headed(self, now: int, to: str, kind: Kind, heard: Word | None) -> tuple:
        """Give what a word tells of the head in force, and what its reader lacks."""
        rumour, theirs = self.rumour, head_of(heard)
        if rumour is None or rumour.head is None:
            return NO_HEAD
        if theirs is None and (kind != Kind.PING or not rumour.first(now)):
            return NO_HEAD
        return *rumour.head, rumour.bring(now, to, theirs) if theirs else ()

    def _news(self, now: int, to: str, kind: Kind, number: int) -> tuple[News, ...]:
        """Choose what to pass on: what is said of the one who reads it, the newest, then all in turn.

        What is old goes only while somebody was heard lately who holds the region to stand otherwise. Danger:
        did each begin wherever it is, one that has started would hear the same again and again and the last
        ones late. An answer begins by its question's number, and who asks one after the other hears all once.
        """
        names: dict[str, None] = {}
        if self.others[to].proof is not Proof.HEARD and self.others[to].standing.start:
            names[to] = None
        times = SPREAD * math.ceil(math.log2(len(self.others) + 2))
        for name in heapq.nsmallest(MOST_NEWS - len(names), self._hot, key=self._hot.__getitem__):
            names[name] = None
            self._hot[name] += 1
            if self._hot[name] >= times:
                del self._hot[name]
        all_ = self._names
        at = number * STRIDE if kind == Kind.ACK else self._slice
        for _ in range(min(len(all_), MOST_NEWS - len(names)) if now < self._apart else 0):
            at = (at + 1) % len(all_)
            names[all_[at]] = None
        if kind != Kind.ACK:
            self._slice = at
        told = [self.others[name] for name in names if self.others[name].standing.start]
        return tuple(
            News(m.name, m.standing.start, m.standing.incarnation, m.standing.state, self._by(m), m.place)
            for m in told
        )

    def _by(self, member: Member) -> str:
        if member.standing.state is not State.SUSPECTED or not member.observers:
            return ""
        return self._random.choice(sorted(member.observers))

    def _heard(self, now: int, word: Word, sure: bool) -> None:
        if word.sender == self.name and word.start > self.own.start:
            self._condemn("a later process has this gateway's name")
        member = self.others.get(word.sender)
        if member is None:
            self.dropped["foreign"] += word.sender != self.name
            return
        if word.start < member.standing.start:
            self.dropped["old"] += 1
            return
        if not member.window.take(word.start, word.seq):
            self.dropped["doubled"] += 1
            return
        self._placed(member, word.start, word.place)
        member.heard_at = now
        member.observers.discard(self.name)
        if not sure:
            member.datagram_at = now
        if self._wait is not None:
            self._wait.add(member.name)
        state = State.LEFT if word.kind == Kind.LEAVE else State.ALIVE
        self._learn(now, member, Standing(word.start, word.incarnation, state), "")
        head = head_of(word)
        if self.rumour is not None and head is not None:
            member.revision, deltas = head, word.deltas if isinstance(word, BringingWord) else ()
            self._out.append(HeadHeard(member.name, *head, deltas, word.kind == Kind.PING))
        for news in word.news:
            self._told(now, news)
        self._compare(now, word)
        if word.kind == Kind.PING:
            last = self.others.get(word.about)
            gap = -1 if last is None or last.datagram_at is None else (now - last.datagram_at) // MS
            self._send(now, member.name, Kind.ACK, word.number, word.about, gap, sure, word)
        elif word.kind == Kind.ASK and word.about in self.others:
            self._relay(now, member.name, word)
        elif word.kind in (Kind.ACK, Kind.NACK):
            self._answered(now, member.name, word, sure)
            if self.rumour is not None and self.rumour.owes(now, member.name, head):
                self._send(now, member.name, Kind.ACK, heard=word)  # an answer to no probe: what it lacks

    def _compare(self, now: int, word: Word) -> None:
        """Hold the sender's table against this one, which has what the word told.

        Danger: one that has started takes all that it learns for news, and would tell thousands of standings
        dozens of times to who knows them. Demers' rumours with feedback: who meets only such loses interest.
        Not in a suspicion, as who observes it is not in the digest and must come round.
        """
        if isinstance(word, TabledWord) and word.table == self._table:
            self._agreed += 1
            if self._agreed >= AGREED and not self._suspects:
                self._hot.clear()
        else:
            self._agreed, self._apart = 0, now + APART

    def _placed(self, member: Member, start: int, place: str) -> None:
        """Reach a start of a gateway where it is.

        Danger: its machine of before refuses connections, and that would be taken for this start's end.
        """
        if start <= member.placed:
            return
        member.placed = start
        if place != member.place:
            member.place = place
            self._out.append(Moved(member.name, place))

    def _relay(self, now: int, asker: str, word: Word) -> None:
        """Probe another in the asker's place; the asker hears at once that this gateway is there itself."""
        self._number += 1
        self._relays[self._number] = asker, word.number, now
        while len(self._relays) > 4 * len(self.others):
            del self._relays[next(iter(self._relays))]
        self._send(now, word.about, Kind.PING, self._number, asker)
        self._send(now, asker, Kind.NACK, word.number, word.about)

    def _told(self, now: int, news: News) -> None:
        """Take what another passed on."""
        try:
            standing = news.standing()
        except ValueError:
            self.dropped["bad state"] += 1
            return
        if news.name == self.name:
            self._about_self(standing)
            return
        member = self.others.get(news.name)
        if member is None:
            self.dropped["foreign"] += 1
            return
        self._placed(member, news.start, news.place)
        self._learn(now, member, standing, news.by)

    def _about_self(self, told: Standing) -> None:
        if told.start > self.own.start:
            self._condemn("a later process has this gateway's name")
        elif told.start == self.own.start and told.state is State.DEAD and told > self.own:
            self._condemn("the others hold this process for dead")
        after = refuted(self.own, told)
        if self.own.state is not State.LEFT and after != self.own:
            self._table ^= mark_of(self.name, self.own) ^ mark_of(self.name, after)
            self.own = after
            self.slow = min(MOST_SLOW, self.slow + 1)

    def _condemn(self, why: str) -> None:
        if not self.condemned:
            self.condemned = why
            self._out.append(Noted("condemned", why))

    def _learn(self, now: int, member: Member, told: Standing, by: str) -> None:
        if told.state is State.SUSPECTED:
            self._accuse(now, member, told, by)
            return
        if merge(member.standing, told) == member.standing:
            return
        proofs = {
            State.ALIVE: Proof.HEARD,
            State.UNREACHABLE: Proof.CONFIRMED,
            State.LEFT: Proof.LEFT,
            State.DEAD: Proof.REFUSED,
        }
        self._set(now, member, told, proofs[told.state])

    # Standing

    def _proved(self, now: int, event: Refused | Forget) -> None:
        """Take a proof that a process is over.

        A refusal is about the process that was known when the word left, and only where nothing was heard of
        it since: it may come late, when the next process answers already.
        """
        member = self.others[event.name]
        if member.standing.state is State.DEAD:
            return
        order = isinstance(event, Forget)
        told = replace(member.standing, state=State.DEAD)
        if isinstance(event, Forget) and event.start:
            if event.start < member.standing.start:
                return  # another life of it has been heard of since
            told = Standing(event.start, member.standing.incarnation, State.DEAD)
        if isinstance(event, Refused):
            told = refused(member.standing, event.start)
            if told == member.standing or (member.heard_at is not None and member.heard_at >= event.at):
                return
        if self._probe is not None and self._probe.target == member.name:
            self._probe = None
        self._set(now, member, told, Proof.ORDER if order else Proof.REFUSED)

    def _set(self, now: int, member: Member, standing: Standing, proof: Proof) -> None:
        before = member.standing
        changed = proof is not member.proof or standing.start != before.start
        member.standing, member.proof = standing, proof
        self._table ^= mark_of(member.name, before) ^ mark_of(member.name, standing)
        self._suspects.pop(member.name, None)
        self._lost.pop(member.name, None)
        self._unheard.pop(member.name, None)
        if not self._there(member):
            self._lost[member.name] = None
        elif standing.state is State.SUSPECTED:
            self._suspects[member.name] = None
        self._hot[member.name] = self._agreed = 0
        if changed:
            member.since = now
            self._out.append(Changed(member.name, proof, standing.start, tuple(sorted(member.observers))))
