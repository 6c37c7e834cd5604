"""Gateways' membership among themselves, in memory and on virtual time: lossy paths, cuts, pauses, deaths.

Only the words travel; `Members` is the gateways' own. For detectors' measurements and tests with many seeds;
the drills play whole gateways.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast.decisions.gateways.member_status import MEMBER_POLICIES, Liveness
from mintmast.decisions.gateways.members import Members
from mintmast.decisions.gateways.membership_types import (
    ConnectionRefused,
    GossipReceived,
    Member,
    MemberChanged,
    OperatorNotice,
    ScheduleTimer,
    SendGossip,
    TimerFired,
)

SECOND = 1_000_000
# bytes beside a word's own: version, seal and what IP and UDP take
SEALED, HEADERS = 17, 28
# µs after which TCP gives a message that a cut held up, and between its tries on lossy paths
TCP_AGAIN = 200_000


class Crowd:
    """Gateways `g0`, `g1` and so on; `loss` is the part of datagrams that get lost, `delay` their µs."""

    def __init__(
        self, count: int, seed: int, loss: float = 0.0, delay: tuple[int, int] = (200, 1500)
    ) -> None:
        self.random = random.Random(seed)
        self.names = tuple(f"g{n}" for n in range(count))
        self.loss, self.doubled, self.delay = loss, 0.0, delay
        self.now = 1000 * SECOND
        self.cuts: set[tuple[str, str]] = set()
        self.vanished: set[str] = set()  # machines that say nothing, not even that a port is closed
        self.held: dict[str, list[tuple[Any, ...]]] = {}  # stopped processes and what waits for them
        self.parts: dict[str, Members] = {}
        self.changes: list[tuple[int, str, MemberChanged]] = []
        self.noted: list[tuple[int, str, OperatorNotice]] = []
        self.bytes = dict.fromkeys(self.names, 0)
        self.sent = dict.fromkeys(self.names, 0)
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = itertools.count()
        self._lives = dict.fromkeys(self.names, 0)
        for name in self.names:
            self.start(name)

    # Faults

    def start(self, name: str, number: int | None = None) -> None:
        """Start a gateway's process, or start it anew; `number` where its clock gives another start."""
        self._lives[name] += 1
        self.held.pop(name, None)
        self.vanished.discard(name)
        part = Members(name, number or self.now, self.names, random.Random(self.random.random()))
        self.parts[name] = part
        self._carry(name, part.begin(self.now))

    def kill(self, name: str) -> None:
        """End a process without a word; its machine refuses connections from then on."""
        self._lives[name] += 1
        self.parts.pop(name, None)

    def vanish(self, name: str) -> None:
        """Take a machine away without a word."""
        self.kill(name)
        self.vanished.add(name)

    def stop(self, name: str) -> None:
        """Let a process stand still."""
        self.held.setdefault(name, [])

    def go_on(self, name: str) -> None:
        """Let it go on, with what waited."""
        for life, event in self.held.pop(name, []):
            self._take(name, life, event)

    def cut(self, source: str, target: str, on: bool = True) -> None:
        """Cut one way of a path, or mend it."""
        (self.cuts.add if on else self.cuts.discard)((source, target))

    def at(self, seconds: float, do: Callable[..., None], *args: Any) -> None:
        """Call after so many seconds from now."""
        self._later(int(seconds * SECOND), do, *args)

    # Course

    def run(self, seconds: float) -> None:
        """Let time go on."""
        until = self.now + int(seconds * SECOND)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self._queue)
            do(*args)
        self.now = until

    def _later(self, wait: int, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._queue, (self.now + wait, next(self._count), do, args))

    def _carry(self, name: str, commands: list) -> None:
        life = self._lives[name]
        for command in commands:
            if isinstance(command, ScheduleTimer):
                wait = max(0, command.at - self.now)
                self._later(wait, self._take, name, life, TimerFired(command.at))
            elif isinstance(command, SendGossip):
                self._send(name, command)
            elif isinstance(command, MemberChanged):
                self.changes.append((self.now, name, command))
            else:
                self.noted.append((self.now, name, command))

    def _send(self, name: str, command: SendGossip) -> None:
        self.sent[name] += 1
        self.bytes[name] += len(msgspec.msgpack.encode(command.message)) + SEALED + HEADERS
        wait = self.random.randint(*self.delay)
        if command.reliable:
            self._sure(name, command, wait)
            return
        for _ in range(1 + (self.random.random() < self.doubled)):
            if (name, command.to) not in self.cuts and self.random.random() >= self.loss:
                self._later(wait, self._come, command.to, GossipReceived(command.message))
            wait = self.random.randint(*self.delay)

    def _sure(self, name: str, command: SendGossip, wait: int) -> None:
        """Carry a word over TCP: losses cost time, a cut either way holds it up, a dead process refuses."""
        to = command.to
        if to in self.vanished or (name, to) in self.cuts or (to, name) in self.cuts:
            return
        while self.random.random() < self.loss:
            wait += TCP_AGAIN
        if to in self.parts:
            self._later(wait, self._come, to, GossipReceived(command.message, True))
        else:
            self._later(
                wait, self._come, name, ConnectionRefused(to, command.known_generation, command.sent_at)
            )

    def _come(self, name: str, event: GossipReceived | ConnectionRefused) -> None:
        self._take(name, self._lives[name], event)

    def _take(self, name: str, life: int, event: Any) -> None:
        if life != self._lives[name] or name not in self.parts:
            return
        if name in self.held:
            self.held[name].append((life, event))
            return
        self._carry(name, self.parts[name].handle(self.now, event))

    # What is believed

    def view(self, name: str) -> dict[str, Liveness]:
        """Give what a gateway believes of all others."""
        return {other: each.liveness for other, each in self.parts[name].others.items()}

    def agree(self, among: tuple[str, ...] | None = None) -> bool:
        """Tell whether those who run (or those named) believe the same of each gateway."""
        names = [n for n in (among or self.names) if n in self.parts]
        said: dict[str, set[Liveness]] = {}
        for name in names:
            for other, proof in self.view(name).items():
                said.setdefault(other, set()).add(proof)
        return all(len(each) == 1 for each in said.values())

    def well(self, name: str) -> bool:
        """Tell whether a gateway runs and can talk both ways with more than half of all, itself counted."""
        if name not in self.parts or name in self.held:
            return False
        talks = [
            other
            for other in self.parts
            if other not in self.held and not {(name, other), (other, name)} & self.cuts
        ]
        return 2 * len(talks) > len(self.names)


class Audit:
    """Looks at a crowd every tenth of a second: what was believed that must never be, and for how long."""

    def __init__(self, crowd: Crowd, most: float) -> None:
        self.crowd, self.most = crowd, most
        self.faults: list[str] = []
        self.checked = 0
        self._well: dict[str, int] = {}
        self._out: dict[tuple[str, str], int] = {}
        self._look()

    def _look(self) -> None:
        crowd = self.crowd
        for name in crowd.names:
            if not crowd.well(name):
                self._well.pop(name, None)
            else:
                self._well.setdefault(name, crowd.now)
        for name, part in crowd.parts.items():
            for other, member in part.others.items():
                self._judge(name, other, member)
        crowd.at(0.1, self._look)

    def _judge(self, name: str, other: str, member: Member) -> None:
        crowd = self.crowd
        self.checked += 1
        lives = crowd.parts.get(other)
        same = lives is not None and lives.own_status.generation == member.status.generation
        if same and MEMBER_POLICIES[member.liveness].process_ended:
            self.faults.append(f"{crowd.now}: {name} takes {other} for gone, which lives")
        wrong = member.liveness is Liveness.CONFIRMED and {name, other} <= self._well.keys()
        if not wrong:
            self._out.pop((name, other), None)
            return
        since = self._out.setdefault((name, other), max(self._well[name], self._well[other], member.since))
        if crowd.now - since > self.most * SECOND:
            self.faults.append(f"{crowd.now}: {name} holds {other} for unreachable, which is well")


def weather(crowd: Crowd, seed: int, seconds: float) -> None:
    """Draw faults for so long: cuts one way, halves, flapping, losses, stops, deaths, machines lost."""
    draw = random.Random(f"{seed}/weather")
    names = crowd.names
    at = draw.uniform(0.5, 2)
    while at < seconds:
        kind = draw.choice(("cut", "cut", "deaf", "half", "flap", "loss", "stop", "stop", "kill", "vanish"))
        one, other = draw.sample(names, 2)
        span = draw.choice((0.2, 1.0, 3.0, 8.0))
        until = min(at + span, seconds)
        if kind == "cut":
            _for(crowd, at, until, [(one, other)])
        elif kind == "deaf":
            _for(crowd, at, until, [(each, one) for each in names if each != one])
        elif kind == "half":
            rest = [each for each in names if each != one]
            _for(crowd, at, until, [(one, each) for each in draw.sample(rest, len(rest) // 2)])
        elif kind == "flap":
            for _ in range(6):
                _for(crowd, at, min(at + 0.3, seconds), [(one, other), (other, one)])
                at += draw.uniform(0.3, 0.9)
        elif kind == "loss":
            crowd.at(at, setattr, crowd, "loss", 0.2)
            crowd.at(until, setattr, crowd, "loss", 0.0)
        elif kind == "stop":
            crowd.at(at, crowd.stop, one)
            crowd.at(until, crowd.go_on, one)
        else:
            crowd.at(at, crowd.kill if kind == "kill" else crowd.vanish, one)
            crowd.at(until, crowd.start, one)
        at += draw.uniform(0.1, 4)


def _for(crowd: Crowd, at: float, until: float, ways: list[tuple[str, str]]) -> None:
    for way in ways:
        crowd.at(at, crowd.cut, *way)
        crowd.at(until, crowd.cut, *way, False)
