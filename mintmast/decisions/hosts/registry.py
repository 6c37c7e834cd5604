"""Eureka's registry without I/O: instances, deltas and their hash, what to ask next and when.

After the Eureka REST operations: `apps` gives all, `apps/delta` what changed lately, and `apps__hashcode`
counts the instances by status, so that a reader that applied a delta to a wrong base can tell.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# states that a status stands for. OUT_OF_SERVICE is what operators set to empty a host. STARTING takes no
# work yet. Of UNKNOWN nothing is known: nothing new goes there, what plays plays on
STATES = {
    "UP": ServerState.READY,
    "OUT_OF_SERVICE": ServerState.DRAINING,
    "UNKNOWN": ServerState.DRAINING,
    "STARTING": ServerState.GONE,
    "DOWN": ServerState.GONE,
}
# full reads in place of deltas, at least one in so many polls: a hash of counts cannot see two errors that
# cancel out
FULL_EVERY = 30
# part of the poll's time by which polls are spread, so that hundreds of gateways do not ask at one moment
SPREAD = 0.2
# fails of one address in a row before the next is asked
PATIENCE = 1


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance as a registry has it; `started` µs of the gateway's clock, 0 for not told."""

    app: str
    id: str
    address: str
    status: str
    started: int = 0
    cell: int = 0
    zone: int = 0
    kind: int = 0
    weight: float = 1.0


def hashcode(instances: Iterable[Instance]) -> str:
    """Give `apps__hashcode`: each status and its count, in the order of the statuses' names."""
    counts = Counter(instance.status for instance in instances)
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def entries(instances: Iterable[Instance], app: str) -> tuple[ListEntry, ...]:
    """Give the list that the instances of `app` stand for; of two on one address the later started counts."""
    best: dict[str, Instance] = {}
    for each in instances:
        if each.app.upper() != app.upper():
            continue
        other = best.get(each.address)
        if other is None or (each.started, each.status == "UP") > (other.started, other.status == "UP"):
            best[each.address] = each
    return tuple(
        ListEntry(
            address.encode(),
            STATES.get(each.status, ServerState.DRAINING),
            each.started,
            each.cell,
            each.zone,
            each.kind,
            each.weight,
        )
        for address, each in sorted(best.items())
    )


@dataclass(slots=True)
class Reader:
    """Decides what to ask, and what an answer is worth. `addresses` are tried in turn from the first.

    `every` is the time between polls in µs. Danger: a registry's replica that lags, or a delta on a wrong
    base, would take servers back that are gone. A delta counts only if the hash agrees after it, else
    everything is read.
    """

    addresses: tuple[str, ...]
    every: int
    known: dict[tuple[str, str], Instance] = field(default_factory=dict)
    at: int = 0  # which address
    whole: bool = False  # something was read in full, so that a delta has a base
    polls: int = 0
    fails: int = 0

    def ask(self) -> tuple[str, bool]:
        """Give the address to ask and whether a delta will do."""
        delta = self.whole and self.polls % FULL_EVERY != 0
        self.polls += 1
        return self.addresses[self.at % len(self.addresses)], delta

    def next(self, now: int, draw: float) -> int:
        """Give when to ask next; `draw` from 0 to 1 spreads the polls, never later than `every`."""
        return now + int(self.every * (1 - SPREAD * draw))

    def full(self, instances: Iterable[Instance]) -> bool:
        """Take a full read; true where anything changed."""
        new = {(each.app, each.id): each for each in instances}
        changed, self.known = new != self.known or not self.whole, new
        self.whole, self.fails = True, 0
        return changed

    def delta(self, changes: Iterable[tuple[str, Instance]], told: str) -> bool | None:
        """Take changes as (action, instance) and the hash told; None where all must be read anew."""
        new = dict(self.known)
        for action, each in changes:
            if action == "DELETED":
                new.pop((each.app, each.id), None)
            else:
                new[each.app, each.id] = each
        self.fails = 0
        if told != hashcode(new.values()):
            self.whole = False
            return None
        changed, self.known = new != self.known, new
        return changed

    def failed(self) -> None:
        """Take a try in vain: the next address is asked, in full, as replicas differ."""
        self.fails += 1
        if self.fails % PATIENCE == 0 and len(self.addresses) > 1:
            self.at += 1
            self.whole = False
