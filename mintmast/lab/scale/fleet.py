"""Measured over the fleet: how long it takes until all gateways know, and what the worst second costs.

The gateways' real `Members`, all of them, in memory and on virtual time (`lab/crowd.py`); times are virtual,
so the machine's load plays no part. One fleet goes through all events of `rows`, one after the other, and
settles between them; the dense day has one of its own, which shares its settings (`lab/spread.py`). Bytes
are those sent, with the headers of IP and UDP; questions about settings are left out.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from mintmast.decisions.gateways.member_status import MEMBER_POLICIES, Liveness
from mintmast.decisions.gateways.revision_types import Publish
from mintmast.lab.crowd import SECOND, Crowd
from mintmast.lab.scale.record import Row
from mintmast.lab.spread import Spread

ZONES, REGIONS = 8, 3
# seconds that something not known to all is waited for: many times the 18 s that it may take
PATIENCE = 180.0
# seconds between looks at the crowd; changes carry their own times, so this only bounds how long a run goes
STEP = 0.2
# seconds that a process is away at a restart, and that a failed machine is away in the dense day
AWAY, REPLACED = 1.0, 10.0
# seconds that a region is cut off at the least: until all know, where that takes longer
CUT = 60.0
# restarts in turn that are played: all of a region's up to 200 gateways; of more, each is like those before
MOST_IN_TURN = 66
# gateways of a rack, of the target's: assumed; at the least two
RACK = 40 / 3400
# s between changes of configuration in the dense day: eight times the target's 11,000 a day. They are the
# fleet's and do not grow with it, so that they cannot be as dense as what befalls machines
CHANGES_EVERY = 1.0
# the users' ordinary day: failures and restarts over so many gateways, and its seconds
DAY_FAILURES, DAY_RESTARTS, DAY_GATEWAYS, DAY = 26, 1000, 3400, 86_400
# times that the dense day is faster than a real one: at 50 gateways some ten events within its seconds, so
# that events meet, which the real day's at that size would not in weeks
DENSE, DENSE_SECONDS = 1440, 40.0
# seconds of an event that its worst one is looked for in, at the least
LEAST_SECONDS = 4.2
# gateways at the most: a word costs more with each, and the machine is shared
MOST_GATEWAYS = 1000


class Watch:
    """Waits until each of some gateways knows of each of some others: that it is lost, or there again."""

    def __init__(
        self, crowd: Crowd, observers: Iterable[str], about: dict[str, int], there: bool, since: int
    ) -> None:
        """`about` gives for each gateway the start that is waited for; `since` in µs."""
        self.about, self.there, self.since = about, there, since
        self.knew: dict[str, int] = {}  # when a gateway came to know of all
        self.waits = {n: set(about) - {n} for n in observers if n in crowd.parts and set(about) - {n}}
        for name in list(self.waits):
            for other in list(self.waits[name]):
                member = crowd.parts[name].others[other]
                self.saw(crowd.now, name, other, member.liveness, member.status.generation)

    def saw(self, now: int, name: str, other: str, proof: Liveness, start: int) -> None:
        """Take what a gateway believes of another from now on."""
        if name not in self.waits or other not in self.about:
            return
        known = start >= self.about[other] if self.there else not MEMBER_POLICIES[proof].counts_as_capacity
        if self.there:
            known = known and proof is Liveness.HEARD
        if known:
            self.waits[name].discard(other)
            if not self.waits[name]:
                del self.waits[name]
                self.knew[name] = now

    def drop(self, name: str) -> None:
        """Wait no longer for a gateway that ended itself, nor for word of it."""
        self.waits.pop(name, None)
        self.about.pop(name, None)
        for observer in list(self.waits):
            self.waits[observer].discard(name)
            if not self.waits[observer]:
                del self.waits[observer]

    def seconds(self) -> tuple[float, float]:
        """Give the seconds until the first and the last gateway knew; `PATIENCE` where one never did."""
        times = [(at - self.since) / SECOND for at in self.knew.values()]
        times += [PATIENCE] * len(self.waits)
        return (min(times), max(times)) if times else (0.0, 0.0)


class Course:
    """A crowd, what is waited for in it, and what each second of it cost."""

    def __init__(self, count: int, seed: int, crowd: Crowd | None = None) -> None:
        self.crowd, self.size, self.seed = crowd or Crowd(count, seed), count, seed
        self.watches: list[Watch] = []
        self.rows: list[Row] = []
        self._read = 0
        self._cost = self._second = (0, 0)
        self.worst_all = self.worst_bytes = self.worst_words = 0
        self._mark()

    def tell(self, figure: str, unit: str, value: float, note: str = "") -> None:
        """Record a figure."""
        self.rows.append(
            Row(f"fleet.{figure}", unit, "gateways", self.size, value, self.seed, "memory", "real", note)
        )

    def watch(self, about: Iterable[str], there: bool, among: Iterable[str] = (), since: int = 0) -> Watch:
        """Wait for those running, or those named, to know of some others."""
        crowd = self.crowd
        starts = {n: crowd.parts[n].own_status.generation if there and n in crowd.parts else 0 for n in about}
        watch = Watch(crowd, list(among) or list(crowd.parts), starts, there, since or crowd.now)
        self.watches.append(watch)
        return watch

    def run(self, seconds: float) -> None:
        """Let time go on, and take what the gateways come to believe."""
        crowd = self.crowd
        until = crowd.now + int(seconds * SECOND)
        while crowd.now < until:
            crowd.run(min(STEP, (until - crowd.now) / SECOND))
            for now, name, change in crowd.changes[self._read :]:
                for watch in self.watches:
                    watch.saw(now, name, change.name, change.liveness, change.generation)
            self._read = len(crowd.changes)
            if crowd.now - self._marked >= SECOND:
                self._mark()

    def until(self, *watches: Watch) -> None:
        """Run until all is known, at most `PATIENCE`."""
        end = self.crowd.now + PATIENCE * SECOND
        while any(watch.waits for watch in watches) and self.crowd.now < end:
            self.run(STEP)
        self.watches = [each for each in self.watches if each not in watches]

    def _mark(self) -> None:
        """End a second: what the gateway that sent most sent in it, and all together."""
        crowd = self.crowd
        if self.rows or self.watches:
            span = (crowd.now - self._marked) / SECOND or 1.0
            spent = [round((crowd.bytes[n] - self._bytes[n]) / span) for n in crowd.names]
            words = [round((crowd.sent[n] - self._words[n]) / span) for n in crowd.names]
            self.worst_bytes = max(self.worst_bytes, *spent)
            self.worst_words = max(self.worst_words, *words)
            self.worst_all = max(self.worst_all, sum(spent))
        self._marked, self._bytes, self._words = crowd.now, dict(crowd.bytes), dict(crowd.sent)

    def event(self) -> None:
        """Begin an event: the seconds are counted from here on."""
        self._mark()  # a second that is not whole is left out, as its rate may be a chance
        self.worst_all = self.worst_bytes = self.worst_words = 0
        self._began = self.crowd.now

    def told(self, name: str, known: str, watch: Watch) -> None:
        """Record when the first and last gateway knew, with the event's worst second so far."""
        first, last = watch.seconds()
        note = f"not known at {len(watch.waits)} gateways within {PATIENCE:.0f} s" if watch.waits else ""
        self.tell(f"{name}.{known}_first", "s", first)
        self.tell(f"{name}.{known}", "s", last, note)

    def cost(self, name: str) -> None:
        """Record the event's worst second, of some at least: words go on after all know."""
        self.run(max(0.0, LEAST_SECONDS - (self.crowd.now - self._began) / SECOND))
        self.tell(f"{name}.sent", "B/s", self.worst_bytes, "the gateway that sent most, in its worst second")
        self.tell(f"{name}.messages", "1/s", self.worst_words, "the gateway that sent most")
        self.tell(f"{name}.sent_by_all", "B/s", self.worst_all, "all gateways together, in the worst second")


def _begin(course: Course) -> None:
    """All start at once and know nobody."""
    course.event()
    watch = course.watch(course.crowd.names, there=True)
    course.until(watch)
    course.told("start", "known", watch)
    course.cost("start")


def _lost(course: Course, name: str, gone: Sequence[str]) -> None:
    """Machines are lost without a word, and come back empty once all know."""
    crowd = course.crowd
    course.event()
    for each in gone:
        crowd.vanish(each)
    watch = course.watch(gone, there=False)
    course.until(watch)
    course.told(name, "known", watch)
    course.cost(name)
    course.event()
    for each in gone:
        crowd.start(each)
    back = course.watch(gone, there=True, among=[n for n in crowd.names if n not in gone])
    learned = course.watch(crowd.names, there=True, among=gone)
    course.until(back, learned)
    course.told(f"{name}.back", "known", back)
    course.tell(f"{name}.back.learned", "s", learned.seconds()[1], "until those that came back know all")
    course.cost(f"{name}.back")


def _cut(course: Course) -> None:
    """One region of three is cut off both ways for `CUT`, and joined."""
    crowd = course.crowd
    inner = crowd.names[: course.size // REGIONS]
    outer = crowd.names[len(inner) :]
    ways = [way for a in inner for b in outer for way in ((a, b), (b, a))]
    course.event()
    for way in ways:
        crowd.cut(*way)
    ends = crowd.now + int(CUT * SECOND)
    watches = course.watch(outer, there=False, among=inner), course.watch(inner, there=False, among=outer)
    course.until(*watches)
    _both(course, "cut", *watches)
    course.cost("cut")
    if crowd.now < ends:
        course.run((ends - crowd.now) / SECOND)
    lasted = f"after a cut of {CUT + (crowd.now - ends) / SECOND:.0f} s"
    course.event()
    for way in ways:
        crowd.cut(*way, False)
    watches = course.watch(outer, there=True, among=inner), course.watch(inner, there=True, among=outer)
    course.until(*watches)
    _both(course, "joined", *watches, lasted)
    course.cost("joined")


def _both(course: Course, name: str, one: Watch, other: Watch, note: str = "") -> None:
    (first, last), (first2, last2) = one.seconds(), other.seconds()
    course.tell(f"{name}.known_first", "s", min(first, first2))
    missing = len(one.waits) + len(other.waits)
    if missing:
        note = f"not known at {missing} gateways within {PATIENCE:.0f} s; {note}"
    course.tell(f"{name}.known", "s", max(last, last2), note)


def _restarts(course: Course) -> None:
    """Restart processes of a region in turn, the next once all know of the one before."""
    crowd = course.crowd
    course.event()
    turn = crowd.names[: min(course.size // REGIONS, MOST_IN_TURN)]
    since, slowest = crowd.now, 0.0
    for each in turn:
        crowd.kill(each)
        course.run(AWAY)
        crowd.start(each)
        watch = course.watch([each], there=True)
        course.until(watch)
        slowest = max(slowest, watch.seconds()[1])
    note = f"{len(turn)} in turn, each {AWAY:.0f} s away"
    course.tell("restarts.known", "s", slowest, f"the slowest of {note}")
    course.tell("restarts.each", "s", (crowd.now - since) / SECOND / max(1, len(turn)), f"the mean of {note}")
    course.cost("restarts")


def _settled(course: Course) -> None:
    """Let all start and learn of each other, and one publish their settings."""
    course.until(course.watch(course.crowd.names, there=True))
    course.run(LEAST_SECONDS)
    course.crowd.take_over(course.crowd.names[0])
    course.run(LEAST_SECONDS)


def _force(net: Spread, since: int) -> tuple[float, int]:
    """Give the longest s that a change took to the last gateway that ran all the while, and how many did."""
    published = {head.key: at for at, head, _ in net.force[net.names[0]] if at >= since}
    longest, counted = 0.0, 0
    for name, told in net.force.items():
        if net._lives[name] == 1:
            came = [(at, head.key) for at, head, _ in told]
            for key, begun in published.items():
                at = next((at for at, each in came if each >= key), None)
                longest = max(longest, PATIENCE if at is None else (at - begun) / SECOND)
            counted += 1
    return longest, counted


def _day(course: Course) -> None:
    """Play the ordinary day's failures and restarts for a gateway, so many times faster, with changes."""
    crowd, draw = course.crowd, random.Random(f"{course.seed}/day")
    part = course.size / DAY_GATEWAYS * DENSE * DENSE_SECONDS / DAY
    failures, restarts = max(1, round(DAY_FAILURES * part)), max(1, round(DAY_RESTARTS * part))
    course.event()
    spent = sum(crowd.bytes.values())
    backs: list[Watch] = []
    losses: list[Watch] = []

    def away(name: str, failed: bool) -> None:
        if name not in crowd.parts:
            return  # it is away already
        (crowd.vanish if failed else crowd.kill)(name)
        for watch in course.watches:
            watch.drop(name)
        if failed:
            losses.append(course.watch([name], there=False))
        crowd.at(REPLACED if failed else AWAY, back, name)

    def back(name: str) -> None:
        for watch in losses:
            watch.drop(name)
        crowd.start(name)
        backs.append(course.watch([name], there=True))

    for n in range(failures + restarts):  # the publisher's own death is a drill's matter
        crowd.at(draw.uniform(0, DENSE_SECONDS), away, draw.choice(crowd.names[1:]), n < failures)
    changes = int(DENSE_SECONDS / CHANGES_EVERY)
    for n in range(changes):
        crowd.at(n * CHANGES_EVERY, crowd.publish, Publish(n, b'{"titles":"%060d"}' % n))
    since = crowd.now
    course.run(DENSE_SECONDS)
    mean = (sum(crowd.bytes.values()) - spent) / DENSE_SECONDS / course.size
    course.run(REPLACED + STEP)
    course.until(*backs)
    note = f"{failures} failures, {restarts} restarts ({DENSE} times a real day's) and {changes} changes"
    note += f" in {DENSE_SECONDS:.0f} s"
    force, counted = _force(crowd, since)
    course.tell(
        "day.in_force", "s", force, f"the longest change, at {counted} that ran all the while; {note}"
    )
    course.tell("day.known", "s", max(each.seconds()[1] for each in backs), f"the slowest return; {note}")
    told = [at - each.since for each in losses for at in each.knew.values()]
    if told:
        course.tell("day.lost_known", "s", max(told) / SECOND, f"the slowest gateway that knew; {note}")
    course.tell("day.sent_mean", "B/s", mean, f"a gateway; {note}")
    course.cost("day")


def rows(sizes: Sequence[int] = (25, 50, 100, 200), seeds: Sequence[int] = (1, 2, 3)) -> list[Row]:
    """Play all events at each size and seed. Raises ValueError for a size out of bounds."""
    if not all(2 * ZONES <= size <= MOST_GATEWAYS for size in sizes):
        raise ValueError(f"fleet plays {2 * ZONES} to {MOST_GATEWAYS} gateways, not {list(sizes)}")
    out: list[Row] = []
    for size in sizes:
        for seed in seeds:
            course = Course(size, seed)
            names = course.crowd.names
            _begin(course)
            _lost(course, "lost", names[-1:])
            _lost(course, "rack", names[: max(2, round(size * RACK))])
            _lost(course, "zone", names[-(size // ZONES) :])
            _cut(course)
            _restarts(course)
            out += course.rows
            course = Course(size, seed, Spread(size, seed))
            _settled(course)
            _day(course)
            out += course.rows
    return out
