"""Failure detection among the gateways of a region: probes, suspicion, refutation and gossiped updates.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard (Dadgar, Phillips, Currey
2017). In each period a gateway probes one other, first directly, then through other gateways and over TCP,
and piggybacks updates on the messages that it sends anyway. It differs in three points: the word of one
observer never makes a member unreachable, however long the suspicion lasts; a gateway whose process was
paused suspects nobody; and unreachable never becomes dead by itself (`member_status.py`).

Pure: `handle(now, event)` returns commands. Times are in µs; the random generator is passed in.
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
# length of a probe, direct and indirect parts together: half a second detects a failure within the time that
# a paid viewer waits
PERIOD = 500 * MS
# time for a direct answer before the indirect probes: a round trip in a region and one turn of a busy loop.
# The next probe starts after this time if the last was answered and there are updates to send, else after a
# period
ANSWER = 150 * MS
# gateways asked to probe on this one's behalf, as in SWIM: with a fifth of all datagrams lost, all three fail
# for a healthy member once in fourteen probes
HELPERS = 3
# observers required before a member counts as unreachable, if there are that many: a fault on one machine, or
# on two behind one broken switch, makes nobody unreachable
OBSERVERS = 3
# least duration of a suspicion, so that the suspected member has time to refute it
SUSPECTED_FOR = 2 * PERIOD
# transmissions of an update for each doubling of the number of gateways; SWIM's lambda
SPREAD = 3
# a timer that is late by more than this means that the process was paused: longer than any turn of a healthy
# loop, shorter than the wait of a probe
STOOD_STILL = 200 * MS
# members to hear from after a pause, where half of the region is more: together they know all recent updates
# of the region, and so many are not all behind one partition
HEARD_ENOUGH = 5
# time after a message with another digest in which old updates are sent in turn and probes go fast; if the
# two still differ, the next such message arrives sooner
APART = 2 * PERIOD
# consecutive messages with this gateway's own digest after which it drops its pending updates. If one member
# in four were behind, this would happen one time in ten, and those members announce it by their digests
AGREED = 8
# distance between the first old updates of consecutive answers: a few less than a message holds, because new
# updates go first
STRIDE = 8
# limit of the local health penalty, each step of which lengthens the timeouts by one: Lifeguard's bound
MOST_SLOW = 8
# at most one probe in so many goes to a member that is not present, so that its return is noticed; and all
# gateways together send it so many in a period, once this gateway has finished its first round. With always
# one in four, a returning machine would receive messages from thousands of gateways in its first second
RETURN_EVERY, RETURNS = 4, 1.0
# gateways that probe a suspected member out of turn: the required observers and a few more, as some are late.
# If all that learn of a suspicion did so at once, they would flood a member that is often only slow
VERIFIERS = 12
# fields of a message that announces no revision and carries none; see `GossipWithRevision`
NO_HEAD = -1, 0, 0, ()
# consecutive direct answers after which a broken path counts as working again; one alone would let it flap
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
    """Membership as one gateway sees it; `names` are all gateways of the region, itself included."""

    def __init__(
        self, name: str, start: int, names: tuple[str, ...], rng: random.Random, place: str = ""
    ) -> None:
        self.name, self.own, self._random = name, Standing(start, 0, State.ALIVE), rng
        self._place = place
        self.others = {each: Member(each) for each in sorted(names) if each != name}
        self._names = tuple(self.others)
        self._suspects: dict[str, None] = {}
        self._lost = dict.fromkeys(self._names)  # members neither alive nor suspected
        self._unheard = dict.fromkeys(self._names)  # those of them that were never heard from
        self.slow = 0
        self.condemned = ""  # why this process must no longer act under its name
        self.dropped = dict.fromkeys(("foreign", "old", "doubled", "bad state"), 0)
        self.words = 0
        self.rumour: Rumour | None = None  # None if the configuration is not shared
        self._wait: set[str] | None = set()  # members heard since a pause; None when there were enough
        self._waits = 0  # periods since the pause
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[str, int, int]] = {}  # own probe number: requester, its number, time
        self._number = 0
        self._order: list[str] = []
        self._next: deque[str] = deque(maxlen=64)  # suspected by others, to be probed out of turn
        self._hot: dict[str, int] = {}  # updates to send, and how often each was sent
        self._slice = 0
        self._table = mark_of(name, self.own)
        self._agreed = 0  # consecutive messages whose digest equals this gateway's
        self._apart = 0  # µs until when the digests of others are taken to differ
        self._rested = False
        self._due = 0
        self._out: list[Command] = []

    # Queries

    @property
    def steady(self) -> bool:
        """Return whether elapsed time is meaningful: no recent pause, and the process is not disqualified."""
        return self._wait is None and not self.condemned

    def proof(self, name: str, start: int | None = None) -> Proof:
        """Return what is known about a member, or about one of its generations."""
        member = self.others[name]
        return Proof.LATER_START if start is not None and start < member.standing.start else member.proof

    def conclusion(self, name: str, start: int | None = None) -> Conclusion:
        """Return what may be assumed about a member."""
        return CONCLUSIONS[self.proof(name, start)]

    def counts(self) -> tuple[int, int]:
        """Count the gateways, this one included, that may spend shared budgets and those that carry load."""
        return live_counts([each.proof for each in self.others.values()])

    # Events

    def begin(self, now: int) -> list[Command]:
        """Start at a random point of the first period, so that gateways started together stay out of step."""
        if self.others:
            self._wake(now + self._random.randrange(PERIOD))
        return self._take_out()

    def leave(self, now: int) -> list[Command]:
        """Announce the shutdown of this gateway."""
        self.own = replace(self.own, state=State.LEFT)
        there = [each.name for each in self.others.values() if each.proof is Proof.HEARD]
        for name in self._random.sample(there, min(len(there), 2 * HELPERS)):
            self._send(now, name, Kind.LEAVE)
        return self._take_out()

    def take(self, now: int, event: Event) -> list[Command]:
        """Handle an event and return the commands that follow."""
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

    # Timers

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
        """Return whether there are no updates to send and no suspicions to check.

        If not idle, a gateway sends thirteen messages a second; filled with what the receivers already know,
        they would cost one and a half times the bytes that all control traffic may use. The price is that a
        failure meets its first probe later, by up to a period divided by the number of gateways that probe.
        """
        busy = self._hot or self._suspects or self.slow or self._wait is not None
        return not busy and now >= self._apart

    def _stood_still(self, now: int) -> None:
        """Record that this process was paused and does not know what the others did meanwhile.

        Without this, a gateway that was stopped for a while would believe that all others had gone silent,
        suspect them, and support suspicions of others. It drops the probe that spans the pause and hears from
        the others first.
        """
        self._probe, self._wait, self._waits = None, set(), 0
        self.slow = min(MOST_SLOW, self.slow + 1)
        for member in self.others.values():
            if member.proof is Proof.SILENT:
                member.observers.discard(self.name)
                member.since = now
        self._out.append(Noted("stood_still"))

    def _listen(self) -> None:
        """End the recovery from a pause once enough members were heard, or if there are none."""
        if self._wait is None:
            return
        self._waits += 1
        half = (len(self.others) + 1) // 2  # with this gateway, more than half
        if len(self._wait) >= min(half, HEARD_ENOUGH):
            self._wait = None

    def _judge(self, now: int) -> None:
        """Evaluate the current probe, which nobody answered."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        member = self.others[probe.target]
        member.answered = 0
        if probe.helpers and not probe.nacks:
            self.slow = min(MOST_SLOW, self.slow + 1)  # not even a NACK: the fault may be on this machine
        if self._wait is not None and self._waits < 3:
            return  # just paused or started
        heard = member.heard_at is not None and member.heard_at >= probe.at
        member.way = Way.NOT_HEARD if heard else Way.BROKEN
        if not heard and member.standing.state in (State.ALIVE, State.SUSPECTED):
            self._accuse(now, member, replace(member.standing, state=State.SUSPECTED), self.name)

    def _accuse(self, now: int, member: Member, told: Standing, by: str) -> None:
        """Record that an observer cannot reach a member."""
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
        """Mark as unreachable the members that enough observers have suspected for long enough."""
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
        """Choose the member to probe: those suspected by others first, then all in a shuffled round robin."""
        while self._next:
            name = self._next.popleft()
            if self.others[name].standing.state is State.SUSPECTED:
                return name
        lost, new = self._lost, self._unheard if self._number <= len(self.others) else {}
        if lost:
            few = 1.0 if new else RETURNS * len(lost) / len(self.others)
            # random instead of counted: all gateways learned of the loss together and would probe it together
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
        """Continue an unanswered probe through other gateways, and over TCP, which recovers lost packets."""
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
        # whether the target received the probe, so that only its answer was lost
        came = 0 <= word.gap * MS <= now - probe.at + ANSWER
        member.way = Way.NOT_HEARING if came else Way.NOT_HEARD
        if not came and (member.datagram_at is None or now - member.datagram_at > self._round()):
            member.way = Way.BROKEN

    def _round(self) -> int:
        """Return the time in which every other gateway probes this one once, in µs."""
        return 2 * PERIOD * (len(self.others) + 1)

    # Messages

    def _send(
        self,
        now: int,
        to: str,
        kind: Kind,
        number: int = 0,
        about: str = "",
        gap: int = -1,
        sure: bool = False,
        heard: Word | None = None,  # the message that this one answers
    ) -> None:
        self.words += 1
        own, news = self.own, () if kind == Kind.ACK and not number else self._news(now, to, kind, number)
        told = kind, self.name, own.start, own.incarnation, self.words, number, about, gap, news, self._place
        word = TabledWord(*told, *self._headed(now, to, kind, heard), self._table)
        self._out.append(SendWord(to, word, sure, self.others[to].standing.start, now))

    def _headed(self, now: int, to: str, kind: Kind, heard: Word | None) -> tuple:
        """Return the fields that announce the active revision and carry deltas that the receiver lacks."""
        rumour, theirs = self.rumour, head_of(heard)
        if rumour is None or rumour.head is None:
            return NO_HEAD
        if theirs is None and (kind != Kind.PING or not rumour.first(now)):
            return NO_HEAD
        return *rumour.head, rumour.bring(now, to, theirs) if theirs else ()

    def _news(self, now: int, to: str, kind: Kind, number: int) -> tuple[News, ...]:
        """Choose updates to send: what others report of the receiver, then the newest, then all in turn.

        Old updates go out only while digests differed recently. An answer's old updates start at a position
        derived from the probe number, so that a gateway that probes one after the other receives each of them
        once. If every sender started at its own cursor, a newly started gateway would receive some updates
        again and again and the last ones late.
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
                self._send(now, member.name, Kind.ACK, heard=word)  # carries deltas, answers no probe

    def _compare(self, now: int, word: Word) -> None:
        """Compare the sender's digest with this gateway's, after the message's updates were applied.

        A newly started gateway takes all that it learns for new and would send thousands of updates dozens of
        times to gateways that know them. As in Demers' rumour mongering with feedback, it stops after meeting
        only gateways that agree; not during a suspicion, because observers are not part of the digest and
        must spread.
        """
        if isinstance(word, TabledWord) and word.table == self._table:
            self._agreed += 1
            if self._agreed >= AGREED and not self._suspects:
                self._hot.clear()
        else:
            self._agreed, self._apart = 0, now + APART

    def _placed(self, member: Member, start: int, place: str) -> None:
        """Store the address of a member's generation.

        With the address of an earlier generation, the machine there would refuse connections, and that would
        be taken as proof that this generation has ended.
        """
        if start <= member.placed:
            return
        member.placed = start
        if place != member.place:
            member.place = place
            self._out.append(Moved(member.name, place))

    def _relay(self, now: int, asker: str, word: Word) -> None:
        """Probe on another gateway's behalf; the NACK shows it at once that this gateway is reachable."""
        self._number += 1
        self._relays[self._number] = asker, word.number, now
        while len(self._relays) > 4 * len(self.others):
            del self._relays[next(iter(self._relays))]
        self._send(now, word.about, Kind.PING, self._number, asker)
        self._send(now, asker, Kind.NACK, word.number, word.about)

    def _told(self, now: int, news: News) -> None:
        """Apply an update that another gateway sent."""
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
            self._condemn("the other gateways consider this process dead")
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

    # Status

    def _proved(self, now: int, event: Refused | Forget) -> None:
        """Apply proof that a process has ended.

        A refused connection counts against the generation that was known when the message was sent, and only
        if nothing was heard from it since: a refusal may arrive late, when the next process already answers.
        """
        member = self.others[event.name]
        if member.standing.state is State.DEAD:
            return
        order = isinstance(event, Forget)
        told = replace(member.standing, state=State.DEAD)
        if isinstance(event, Forget) and event.start:
            if event.start < member.standing.start:
                return  # a later generation has been seen since
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
