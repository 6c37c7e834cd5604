"""Configuration among gateways in memory and on virtual time: real `Members` and `Revisions`, disks, regions.

On `Crowd`'s network, so with its faults. Questions for revisions go as over TCP: a cut either way, a machine
that is gone or a process that stands still holds them up until their time is over; a dead one refuses.
"""

from __future__ import annotations

import json
import random
from typing import Any

import msgspec

from mintmast.decisions.gateways import revision_types
from mintmast.decisions.gateways.members import Members
from mintmast.decisions.gateways.revision_gossip import RevisionGossip
from mintmast.decisions.gateways.revision_types import (
    EMPTY_PATCH,
    ActiveRevision,
    Command,
    LogEvent,
    OrderAnswered,
    PatchValidator,
    PullFailed,
    PullRevisions,
    PullSucceeded,
    RevisionAnnounced,
    RevisionId,
    RevisionReply,
    ScheduleTimer,
    Stored,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.lab.crowd import Crowd

# µs of a write to a disk
DISK = (500, 5000)
# bytes beside a question's and a reply's own JSON: 275 and 170 of HTTP, MAC and envelope with names of twelve
# letters, and a connection of its own, six and five packets with 52 of IP and TCP each
CALLED = 275 + 6 * 52, 170 + 5 * 52
FIRST = b'{"n":0}'


def check(document: bytes, patch: bytes) -> tuple[bytes | None, str]:
    """Merge one level of a patch; one with `bad` in it is refused."""
    after = json.loads(document)
    for name, value in json.loads(patch).items():
        if value is None:
            after.pop(name, None)
        else:
            after[name] = value
    if "bad" in after:
        return None, "bad is not allowed"
    return json.dumps(after, sort_keys=True, separators=(",", ":")).encode(), ""


class Spread(Crowd):
    """Gateways in regions of the same size; `force` tells what was in force when, `disks` what is kept."""

    def __init__(
        self,
        count: int,
        seed: int,
        regions: int = 1,
        document: bytes = FIRST,
        check: PatchValidator = check,
        **more: Any,
    ) -> None:
        self.regions = [tuple(f"g{n}" for n in range(count) if n % regions == r) for r in range(regions)]
        self.document, self._check = document, check
        self.disks: dict[str, Stored] = {}
        self.configuration: dict[str, Revisions] = {}
        self.force: dict[str, list[tuple[int, RevisionId, bytes]]] = {f"g{n}": [] for n in range(count)}
        self.past: list[list[tuple[int, RevisionId, bytes]]] = []  # of gateways that lost their file
        self.said: list[tuple[str, LogEvent]] = []
        self.answers: list[OrderAnswered] = []
        self.leader = "g0"
        self.pulled = self.pulled_bytes = 0
        super().__init__(count, seed, **more)

    def region(self, name: str) -> tuple[str, ...]:
        """Give the names of a gateway's region."""
        return next(each for each in self.regions if name in each)

    # Processes

    def start(self, name: str, number: int | None = None) -> None:
        """Start a gateway's process with what its disk has, else with the settings' document."""
        self._lives[name] += 1
        self.held.pop(name, None)
        self.vanished.discard(name)
        names = self.region(name)
        part = Members(name, number or self.now, names, random.Random(self.random.random()))
        begun = Stored(RevisionId(0, 0, digest_of(self.document)), self.document)
        draw = random.Random(self.random.random())
        far = len(self.names) - len(names)
        revisions = Revisions(self.disks.get(name, begun), self._check, draw, len(names) - 1, far)
        part.revision_gossip = RevisionGossip(revisions.history.deltas_after)
        self.parts[name], self.configuration[name] = part, revisions
        self._do(name, revisions.begin(self.now))
        self._carry(name, part.begin(self.now))

    def kill(self, name: str, file: bool = True) -> None:
        """End a process without a word, with its file or without."""
        super().kill(name)
        self.configuration.pop(name, None)
        if not file:
            self.disks.pop(name, None)
            self.past.append(self.force[name])
            self.force[name] = []

    def order(self, name: str, event: revision_types.Publish | revision_types.TakeOver) -> None:
        """Let an operator's order come to a gateway, if it runs."""
        if name in self.parts and name not in self.held:
            self._take(name, self._lives[name], event)

    def take_over(self, name: str) -> None:
        """Let an operator make a gateway the publisher."""
        self.leader = name
        self.order(name, revision_types.TakeOver(0))

    def publish(self, event: revision_types.Publish) -> None:
        """Let an operator change the settings where the last take-over was ordered."""
        self.order(self.leader, event)

    # Course

    def _take(self, name: str, life: int, event: Any) -> None:
        if not isinstance(event, revision_types.Event):
            super()._take(name, life, event)
        elif life == self._lives[name] and name in self.parts:
            if name in self.held:
                self.held[name].append((life, event))
            else:
                self._do(name, self.configuration[name].handle(self.now, event))

    def _carry(self, name: str, commands: list) -> None:
        super()._carry(name, [each for each in commands if not isinstance(each, RevisionAnnounced)])
        for each in commands:
            if isinstance(each, RevisionAnnounced):
                self._take(name, self._lives[name], each)

    def _do(self, name: str, commands: list[Command]) -> None:
        life = self._lives[name]
        for command in commands:
            if isinstance(command, ScheduleTimer):
                self._later(
                    max(0, command.at - self.now),
                    self._take,
                    name,
                    life,
                    revision_types.TimerFired(command.at),
                )
            elif isinstance(command, ActiveRevision):
                head = command.head
                self.parts[name].revision_gossip.set_head((head.term, head.number, head.digest_prefix))
                self.force[name].append((self.now, head, command.document))
            elif isinstance(command, WriteRevision):
                self._later(self.random.randint(*DISK), self._write, name, life, command)
            elif isinstance(command, PullRevisions):
                self._later(self.random.randint(*self.delay), self._asked, name, life, command)
            elif isinstance(command, LogEvent):
                self.said.append((name, command))
            elif isinstance(command, OrderAnswered):
                self.answers.append(command)

    def _write(self, name: str, life: int, command: WriteRevision) -> None:
        """Write; of a process that died meanwhile, a write may have been in time."""
        died = life != self._lives[name]
        if died and (name in self.parts or name not in self.disks or self.random.random() < 0.5):
            return
        self.disks[name] = Stored(command.head, command.document, command.publisher_term)
        self._take(name, life, WriteFinished(command.number))

    def _asked(self, name: str, life: int, command: PullRevisions) -> None:
        source = command.source
        far = [each for each in self.names if each not in self.region(name)]
        to = far[source] if isinstance(source, int) else source
        self.pulled += 1
        self.pulled_bytes += len(msgspec.json.encode(command.request)) + sum(CALLED)
        if to in self.held or to in self.vanished or (name, to) in self.cuts or (to, name) in self.cuts:
            self._later(command.deadline - self.now, self._take, name, life, PullFailed(command.call))
            return
        if to not in self.parts:
            self._take(name, life, PullFailed(command.call))
            return
        reply = self.configuration[to].answer(command.request)
        if reply is not None:
            self.pulled_bytes += len(msgspec.json.encode(reply))
            self._later(self.random.randint(*self.delay), self._told, name, life, to, command, reply)

    def _told(self, name: str, life: int, to: str, command: PullRevisions, reply: RevisionReply) -> None:
        if (name, to) in self.cuts or (to, name) in self.cuts:
            self._later(command.deadline - self.now, self._take, name, life, PullFailed(command.call))
        else:
            self._take(name, life, PullSucceeded(command.call, reply))

    # What must be so

    def same(self) -> bool:
        """Tell whether all that run have one head in force."""
        return len({part.head for part in self.configuration.values()}) <= 1

    def faults(self) -> list[str]:
        """Tell what must never be: a head that fell, one number for two documents, what does not check."""
        faults, documents = [], {}
        for all_ in (*self.force.values(), *self.past):
            before = RevisionId()
            for _, head, document in all_:
                if head.key < before.key:
                    faults.append(f"{head} after {before}")
                before = head
                if documents.setdefault(head.key, document) != document:
                    faults.append(f"{head} is another document elsewhere")
                if self._check(document, EMPTY_PATCH)[0] != document or digest_of(document) != head.digest:
                    faults.append(f"{head} does not check")
        return faults


def weather(net: Spread, seed: int, seconds: float) -> None:
    """Draw faults for so long, over two regions, and a change each second where the publisher was last."""
    draw = random.Random(f"{seed}/weather")
    names, at = net.names, 8.0
    net.at(6, net.take_over, "g0")
    for number in range(1, int(seconds)):
        patch = json.dumps({draw.choice(("n", "m", "bad")): number}).encode()
        net.at(7 + number + draw.random(), net.publish, revision_types.Publish(number, patch))
    while at < seconds:
        kind = draw.choice(("cut", "stop", "kill", "lost file", "vanish", "zone", "region", "over"))
        until = min(at + draw.choice((0.5, 2.0, 6.0)), seconds)
        one, other = draw.sample(names, 2)
        if kind in ("cut", "region"):
            far = [(a, b) for a in net.regions[0] for b in net.regions[1]]
            for way in [(one, other)] if kind == "cut" else far + [way[::-1] for way in far]:
                net.at(at, net.cut, *way)
                net.at(until, net.cut, *way, False)
        elif kind == "stop":
            net.at(at, net.stop, one)
            net.at(until, net.go_on, one)
        elif kind == "over":
            net.at(at, net.take_over, one)
        elif kind == "vanish":
            net.at(at, net.vanish, one)
            net.at(until, net.start, one)
        else:
            for name in names[: len(names) // 3] if kind == "zone" else (one,):
                net.at(at, net.kill, name, kind != "lost file")
                net.at(until, net.start, name)
            if kind == "lost file":
                net.at(at + 2, net.take_over, other)  # it may have been the publisher's
        at = until + draw.uniform(0.1, 2)
