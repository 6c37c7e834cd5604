"""Every order of what may happen to three gateways' configuration: the real `Revisions`, a clock that stands.

Late, doubled and lost replies, words that come late, with revisions or without, a write that fails, one
death with the file of any write that was begun, or without. `c` runs another version, whose check refuses
`odd` and gives other bytes for `twisted`. Who walks takes the waits of `pulls.py` as none: what waits may
come at any moment.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from mintmast.decisions.gateways.revision_gossip import MAX_DELTA_BYTES
from mintmast.decisions.gateways.revision_types import (
    EMPTY_PATCH,
    ActiveRevision,
    Command,
    Event,
    Publish,
    PullFailed,
    PullRevisions,
    PullSucceeded,
    RevisionAnnounced,
    RevisionId,
    RevisionRequest,
    Stored,
    TakeOver,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.lab.spread import FIRST, check

Step = tuple[Any, ...]


def head(term: int, number: int, document: bytes) -> RevisionId:
    """Give the head of a document."""
    return RevisionId(term, number, digest_of(document))


BEGUN = check(FIRST, EMPTY_PATCH)[0]


def fleet(fork: bool = False) -> dict[str, Stored]:
    """Give three gateways at revision 1.1, `a` its publisher; with `fork`, `c` has another document there."""
    one = Stored(head(1, 1, BEGUN), BEGUN)
    other = Stored(head(1, 1, b'{"n":9}'), b'{"n":9}')
    return {"a": msgspec.structs.replace(one, leads=1), "b": one, "c": other if fork else one}


class Still:
    """Draws the least."""

    def randint(self, least: int, most: int) -> int:
        """Give the least."""
        return least


def other_version(document: bytes, patch: bytes) -> tuple[bytes | None, str]:
    """Check as another version of the program does."""
    after, why = check(document, patch)
    if after is not None and b"odd" in after:
        return None, "odd is not known here"
    return (b'{"other":1}', "") if after is not None and b"twisted" in patch else (after, why)


CHECKS = {"a": check, "b": check, "c": other_version}
PATCHES = (b'{"n":1}', b'{"bad":1}', b'{"odd":1}', b'{"twisted":1}', b'{"n":2}')


class Model:
    """One state: the real parts, what is under way, what disks may hold, and what may still happen."""

    def __init__(
        self, stored: dict[str, Stored], publishes: int = 2, overs: int = 1, deaths: int = 1, asks: int = 3
    ) -> None:
        self.parts: dict[str, Revisions] = {}
        self.disks: dict[str, list[Stored]] = {}  # what a death may leave; the last is what was begun last
        self.force: dict[str, tuple[int, int]] = {}
        self.words: set[tuple[str, RevisionId]] = set()  # ever told: each may come at any time
        self.calls: list[tuple[str, str, int, RevisionRequest]] = []
        self.kept: dict[str, WriteRevision] = {}
        self.left = {"publish": publishes, "over": overs, "death": deaths, "unkept": 1}
        self.keys = dict.fromkeys(stored, 0)
        self.asks, self.fault = asks, ""
        self.documents: dict[tuple[int, int], bytes] = {}
        for name, each in stored.items():
            self.begin(name, each)

    def begin(self, name: str, stored: Stored) -> None:
        """Start a gateway."""
        self.parts[name] = Revisions(stored, CHECKS[name], Still(), 2)
        self.disks[name] = [stored]
        self._do(name, self.parts[name].begin(0))

    def _do(self, name: str, commands: list[Command]) -> None:
        for each in commands:
            if isinstance(each, ActiveRevision):
                self._in_force(name, each.head, each.document)
            elif isinstance(each, WriteRevision):
                self.kept[name] = each
                self.disks[name].append(Stored(each.head, each.document, each.publisher_term))
            elif isinstance(each, PullRevisions):
                self.calls.append((name, each.source, each.call, each.request))

    def _in_force(self, name: str, head: RevisionId, document: bytes) -> None:
        if head.key < self.force.get(name, (0, 0)):
            self.fault = f"{name}: {head} after {self.force[name]}"
        if self.documents.setdefault(head.key, document) != document:
            self.fault = f"{name}: {head.key} is two documents"
        if CHECKS[name](document, EMPTY_PATCH)[0] != document:
            self.fault = f"{name}: {head} does not check"
        self.force[name] = head.key
        self.words.add((name, head))

    def take(self, name: str, event: Event) -> None:
        """Let an event come to a gateway."""
        self._do(name, self.parts[name].handle(0, event))

    def steps(self) -> Iterator[Step]:
        """Give what may happen next."""
        for name, part in self.parts.items():
            if not part.is_settled:
                yield "settle", name
            if name in self.kept:
                yield "kept", name, True
                if self.left["unkept"] and self.kept[name].publisher_term:
                    yield "kept", name, False
            elif part.is_settled and part.publisher.term and self.left["publish"]:
                for patch in PATCHES:
                    yield "publish", name, patch
            if part.is_settled and self.left["over"] and name == "b":
                yield "over", name
            if self.left["death"]:
                yield from (("death", name, place) for place in range(-1, len(self.disks[name])))
            if part._region_pull is None and name not in self.kept and part._pull_number < self.asks:
                for peer, told in self.words:
                    if peer != name and told.key >= part.head.key and told != part.head:
                        yield "word", name, peer, told
                        if told.key > part.head.key and self.parts[peer].history.deltas:
                            yield "bring", name, peer, told
        for call in self.calls:
            yield "reply", call
            yield "lost", call

    def play(self, step: Step) -> None:
        """Let one thing happen."""
        kind, name = step[0], step[1]
        if kind == "settle":
            self.parts[name]._startup.is_over = True
        elif kind == "kept":
            kept = self.kept.pop(name)
            if step[2]:
                self.disks[name] = self.disks[name][-1:]
            else:
                self.left["unkept"] -= 1
            self.take(name, WriteFinished(kept.number, step[2]))
        elif kind == "publish":
            self.left["publish"] -= 1
            self.take(name, Publish(1, step[2]))
        elif kind == "over":
            self.left["over"] -= 1
            self.take(name, TakeOver(1))
        elif kind == "death":
            self.left["death"] -= 1
            stored = self.disks[name][step[2]] if step[2] >= 0 else Stored(head(0, 0, FIRST), FIRST)
            self.kept.pop(name, None)
            self.calls = [call for call in self.calls if call[0] != name]
            if step[2] < 0:
                del self.force[name]
            self.begin(name, stored)
        elif kind in ("word", "bring"):
            told, own = step[3], self.parts[name].head
            deltas = (
                self.parts[step[2]].history.deltas_after((*own.key, own.digest_prefix), MAX_DELTA_BYTES)
                if kind == "bring"
                else ()
            )
            self.take(name, RevisionAnnounced(step[2], told.term, told.number, told.digest_prefix, deltas))
        else:
            name, source, call, question = step[1]
            if kind == "lost" or self.parts[name]._region_pull is None:
                self.calls.remove(step[1])  # a second answer to one question comes at last, too
                self.take(name, PullFailed(call))
            if kind == "reply":
                self.take(name, PullSucceeded(call, self.parts[source].answer(question)))

    def clone(self, name: str) -> Model:
        """Give a copy in which one part may go on."""
        other = copy.copy(self)
        for what in ("parts", "force", "words", "calls", "kept", "left", "documents", "keys"):
            setattr(other, what, copy.copy(getattr(self, what)))
        other.disks = {each: list(all_) for each, all_ in self.disks.items()}
        part = other.parts[name] = copy.copy(self.parts[name])
        for what in (
            "history",
            "_senders",
            "publisher",
            "_startup",
            "_region_pull",
            "_pending_write",
            "dropped",
            "pull_counts",
        ):
            setattr(part, what, copy.copy(getattr(part, what)))
        part.history.deltas, part.history._keys = list(part.history.deltas), list(part.history._keys)
        part._senders._announced = dict(part._senders._announced)
        part._startup._announcing, part._commands = set(part._startup._announcing), []
        return other

    def key(self, name: str) -> int:
        """Give what tells this state from others; only `name` has changed since the last time."""
        p = self.parts[name]
        near, keeping, publisher = p._region_pull, p._pending_write, p.publisher
        self.keys[name] = hash((
            p.head, publisher.term, publisher.highest_term, p._pull_number, p._write_number,
            p.is_settled, p._startup.heard_any, p._needs_document,
            near and (near.call, near.source, near.since), keeping and (keeping.head, keeping.publisher_term),
            tuple(p._senders._announced.items()), p.history.base, tuple(p.history.deltas),
            tuple(self.disks[name]), name in self.kept, self.force.get(name),
        ))  # fmt: skip
        return hash((*self.keys.values(), tuple(self.calls), frozenset(self.words), *self.left.values()))


def walk(model: Model, most: int = 10**7) -> tuple[int, str]:
    """Play every order; gives how many states there were, and the first fault."""
    for name in model.parts:
        first = model.key(name)
    seen, queue = {first}, deque([model])
    while queue and len(seen) < most:
        model = queue.popleft()
        for step in model.steps():
            name = step[1] if isinstance(step[1], str) else step[1][0]
            after = model.clone(name)
            after.play(step)
            if after.fault:
                return len(seen), after.fault
            key = after.key(name)
            if key not in seen:
                seen.add(key)
                queue.append(after)
    return len(seen), ""
