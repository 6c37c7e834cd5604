"""Configuration in force over a fleet: until when the last gateway has a change, and what that costs each.

`Light` has the real `Revisions` and `RevisionGossip` of every gateway and, in place of `Members`, only its
words' rate and whom they go to: two probes a second, each answered, through a region in an order drawn anew.
Left out are losses and suspicion, and with them the faster pace. `rows` plays `Spread`, which has all of
`Members`, beside it at 50. Bytes are those that a word takes more than one that tells no head, whole words
where there would be none, and questions. Five minutes of a cut are not played but jumped over: nothing
happens in them but questions that fail.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import time
from collections.abc import Callable
from functools import cache
from typing import Any

import msgspec

from mintmast.decisions.gateways.gossip_messages import GossipKind, GossipWithDigest
from mintmast.decisions.gateways.members import NO_REVISION, PROBE_PERIOD_US
from mintmast.decisions.gateways.revision_gossip import RevisionGossip, RevisionSummary
from mintmast.decisions.gateways.revision_types import (
    ActiveRevision,
    Command,
    Delta,
    Event,
    OrderAnswered,
    Publish,
    PullFailed,
    PullRevisions,
    PullSucceeded,
    RevisionAnnounced,
    RevisionId,
    RevisionReply,
    ScheduleTimer,
    Stored,
    TimerFired,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.lab.scale.record import Row
from mintmast.lab.spread import CALLED, DISK, FIRST, Spread, check

SECOND = 1_000_000
REGIONS = 3
# changes a second of the target's 11,000 a day
A_DAY = 11_000 / 86_400
# bytes of a word beside head and revisions, without news: version, seal, IP and UDP, names of twelve letters
ANSWERED = 17 + 28 + 43
# µs one way: within a region, and between two
NEAR, FAR = (200, 1500), (20_000, 60_000)
# addresses of each other region in a gateway's `configuration.abroad`
ABROAD = 8
# changes that are played one after the other, as far apart as on a day
CHANGES = 5
# changes of five minutes, while a region is cut off, and of the burst
CUT, BURST = round(300 * A_DAY), 200
# s played for a change, a burst and a join to come to all; the target is 18
PLAYED = 18

_check = cache(check)


class Light:
    """A fleet of so many gateways in three regions, all settled, the first one its publisher."""

    def __init__(self, count: int, seed: int, document: bytes = FIRST) -> None:
        self.random = random.Random(f"{seed}/{count}")
        self.now = 1000 * SECOND
        self.regions = [list(range(first, count, REGIONS)) for first in range(REGIONS)]
        self.force = [0] * count  # µs when its head came in force
        self.cut: set[int] = set()  # regions that reach no other
        self.pulls = self.bytes = self.heads = self.told = 0
        self.spent = 0.0  # s of processor time in all `Revisions`
        self.answers: list[OrderAnswered] = []
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = itertools.count()
        self._orders: list[list[int]] = [[] for _ in range(count)]
        # numbers as they are after some years of changes
        stored = Stored(RevisionId(20_000, 4_000_000, digest_of(document)), document)
        first = msgspec.structs.replace(stored, leads=stored.head.term)
        self.parts = [
            Revisions(
                stored if number else first,
                _check,
                random.Random(self.random.random()),
                len(self.regions[number % REGIONS]) - 1,
                ABROAD * (REGIONS - 1),
            )
            for number in range(count)
        ]
        self.rumours = [RevisionGossip(part.history.deltas_after) for part in self.parts]
        for number, part in enumerate(self.parts):
            part._startup.is_over = True
            self._do(number, part.begin(self.now))
            self.later(self.random.randrange(PROBE_PERIOD_US), self._probe, number)

    def later(self, wait: int, do: Callable[..., None], *args: Any) -> None:
        """Call after so many µs."""
        heapq.heappush(self._queue, (self.now + wait, next(self._count), do, args))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Let time go on, until something is so at the longest; gives the seconds that it took."""
        begun, end = self.now, self.now + int(seconds * SECOND)
        looked = self.now
        while self._queue and self._queue[0][0] <= end:
            self.now, _, do, args = heapq.heappop(self._queue)
            do(*args)
            if self.now - looked > SECOND // 20:
                looked = self.now
                if until():
                    return (self.now - begun) / SECOND
        self.now = end
        return seconds

    def take(self, number: int, event: Event) -> None:
        """Let an event come to a gateway."""
        begun = time.process_time()
        out = self.parts[number].handle(self.now, event)
        self.spent += time.process_time() - begun
        self._do(number, out)

    def same(self) -> bool:
        """Tell whether all have the same in force."""
        first = self.parts[0].head
        return all(part.head == first for part in self.parts)

    def _probe(self, number: int) -> None:
        order = self._orders[number]
        if not order:
            order.extend(each for each in self.regions[number % REGIONS] if each != number)
            self.random.shuffle(order)
        to, rumour = order.pop(), self.rumours[number]
        if rumour.should_announce(self.now):
            self._say(number, to, True, rumour.head)
        self.later(PROBE_PERIOD_US, self._probe, number)

    def _say(
        self, source: int, to: int, asked: bool, head: RevisionSummary, deltas: tuple[Delta, ...] = ()
    ) -> None:
        """Send a word that tells a head; those that tell none do nothing here."""
        self.told += 1
        self.bytes += _headed(head, deltas)
        self.later(self.random.randint(*NEAR), self._heard, source, to, asked, head, deltas)

    def _heard(
        self, source: int, to: int, asked: bool, head: RevisionSummary, deltas: tuple[Delta, ...]
    ) -> None:
        rumour = self.rumours[to]
        if asked:
            self._say(to, source, False, rumour.head, rumour.deltas_for(self.now, str(source), head))
        elif rumour.should_send_deltas(self.now, str(source), head):
            self.bytes += ANSWERED
            self._say(to, source, False, rumour.head, rumour.deltas_for(self.now, str(source), head))
        self.heads += 1
        self.take(to, RevisionAnnounced(str(source), *head, deltas, asked))

    def _do(self, number: int, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, ScheduleTimer):
                self.later(max(0, command.at - self.now), self.take, number, TimerFired(command.at))
            elif isinstance(command, WriteRevision):
                self.later(self.random.randint(*DISK), self.take, number, WriteFinished(command.number))
            elif isinstance(command, ActiveRevision):
                self.force[number] = self.now
                self.rumours[number].set_head((*command.head.key, command.head.digest_prefix))
            elif isinstance(command, PullRevisions):
                self._ask(number, command)
            elif isinstance(command, OrderAnswered):
                self.answers.append(command)

    def _ask(self, number: int, command: PullRevisions) -> None:
        source, own = command.source, number % REGIONS
        if isinstance(source, int):
            region = (own + 1 + source % (REGIONS - 1)) % REGIONS
            source = self.regions[region][source // (REGIONS - 1) % len(self.regions[region])]
            if self.cut & {own, region}:
                self.later(command.deadline - self.now, self.take, number, PullFailed(command.call))
                return
        path = FAR if int(source) % REGIONS != own else NEAR
        self.later(3 * self.random.randint(*path), self._asked, number, int(source), command, path)

    def _asked(self, number: int, source: int, command: PullRevisions, path: tuple[int, int]) -> None:
        begun = time.process_time()
        reply = self.parts[source].answer(command.request)
        self.spent += time.process_time() - begun
        self.pulls += 1
        told = reply or RevisionReply(RevisionId())
        encode = msgspec.json.encode
        self.bytes += len(encode(command.request)) + len(encode(told)) + sum(CALLED)
        self.later(self.random.randint(*path), self.take, number, PullSucceeded(command.call, told))


def _change(number: int) -> Publish:
    return Publish(number, b'{"titles":"%060d"}' % number)


def _spread(fleet: Light) -> tuple[float, float]:
    """Publish a change; gives the seconds until it was in force at the last one, and at half of them."""
    begun, before = fleet.now, fleet.parts[0].head
    fleet.take(0, _change(begun))
    fleet.run(PLAYED, lambda: fleet.parts[0].head != before and fleet.same())
    if not fleet.same():
        raise RuntimeError(f"a change is not in force everywhere after {PLAYED} s")
    return (max(fleet.force) - begun) / SECOND, (statistics.median(fleet.force) - begun) / SECOND


def _burst(fleet: Light) -> float:
    """Publish 200 changes in a second; gives the seconds until the last one was in force everywhere."""
    for number in range(BURST):
        fleet.later(number * SECOND // BURST, fleet.take, 0, _change(number))
    goal = fleet.parts[0].head.number + BURST
    fleet.run(1)
    begun = fleet.now
    fleet.run(PLAYED, lambda: fleet.parts[0].head.number == goal and fleet.same())
    return (max(fleet.force) - begun) / SECOND if fleet.same() else float("inf")


def _joined(fleet: Light) -> float:
    """Cut the last region off for five minutes of changes; gives the seconds from the join to one head."""
    fleet.cut = {REGIONS - 1}
    for number in range(CUT):
        fleet.later(number * SECOND // 10, fleet.take, 0, _change(number))
    fleet.run(CUT / 10 + 6)
    cut = {fleet.parts[number].head for number in fleet.regions[REGIONS - 1]}
    if fleet.parts[0].head in cut:
        raise RuntimeError("a change came through the cut")
    fleet.cut, begun = set(), fleet.now
    fleet.run(PLAYED, fleet.same)
    return (max(fleet.force) - begun) / SECOND if fleet.same() else float("inf")


@cache
def _headed(head: RevisionSummary, deltas: tuple[Delta, ...]) -> int:
    """Give the bytes that this makes a word longer."""
    told = GossipKind.PING, "g", 1, 0, 1, 1, "", -1, (), ""
    encode = msgspec.msgpack.encode
    return len(encode(GossipWithDigest(*told, *head, deltas, 1 << 31))) - len(
        encode(GossipWithDigest(*told, *NO_REVISION, 1 << 31))
    )


def _real(count: int, seed: int) -> float:
    """Give the seconds of a change's spread with all of `Members`, in three regions."""
    net = Spread(count, seed, REGIONS)
    net.run(6)
    net.take_over("g0")
    net.run(PLAYED)
    took = []
    for number in range(5):
        begun = net.now
        net.publish(_change(number))
        net.run(PLAYED)
        if not net.same():
            raise RuntimeError("with real members a change is not in force everywhere")
        took.append(max(each[-1][0] for each in net.force.values()) - begun)
    return max(took) / SECOND


def rows(sizes: tuple[int, ...], seeds: tuple[int, ...]) -> list[Row]:
    """Measure at these numbers of gateways; sizes under six have no three regions of two and are refused."""
    if min(sizes) < 2 * REGIONS:
        raise ValueError(f"{min(sizes)} gateways are no {REGIONS} regions of two")
    out: list[Row] = []

    def put(figure: str, unit: str, value: float, parts: str = "hollow", note: str = "") -> None:
        told = f"configuration.{figure}", unit, "gateways", size, value, seed
        out.append(Row(*told, parts=parts, note=note))

    for size, seed in itertools.product(sizes, seeds):
        fleet = Light(size, seed)
        fleet.run(1)
        spreads, pulls, told, moved, spent = [], fleet.pulls, fleet.told, fleet.bytes, fleet.spent
        begun = fleet.now
        for number in range(1, CHANGES + 1):
            spreads.append(_spread(fleet))
            fleet.run(max(0.0, begun / SECOND + number / A_DAY - fleet.now / SECOND))
        seconds = size * (fleet.now - begun) / SECOND
        put("spread", "s", max(last for last, _ in spreads), note="the longest of five changes")
        half = statistics.median(half for _, half in spreads)
        put("spread_half", "s", half, note="at half of the gateways, the median of five changes")
        pulled = (fleet.pulls - pulls) / size / CHANGES
        put("pulls", "count", pulled, note="questions a gateway a change, with those abroad meanwhile")
        put("heads", "1/s", (fleet.told - told) / seconds, note="words a gateway that tell a head")
        sent = (fleet.bytes - moved) / seconds
        put("bytes", "B/s", sent, note="sent, over five changes at 11,000 a day; as much is received")
        core = fleet.spent - spent
        note = "of processor time, a gateway a change, the check left out"
        put("change", "ms", 1e3 * core / size / CHANGES, note=note)
        put("core", "% core", 100 * core / seconds, note="at 11,000 a day")
        put("burst", "s", _burst(fleet), note="200 in a second, from the last one on")
        put("joined", "s", _joined(fleet), note=f"one of three regions cut off, {CUT} changes behind")
        if size <= 50:
            put(
                "spread", "s", _real(size, seed), "real", "the longest of five changes, with all of `Members`"
            )
    return out
