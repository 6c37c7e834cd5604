"""Reader of a Eureka registry without I/O: instances, deltas and their hash, the next request and its time.

Follows the Eureka REST operations: `apps` returns all instances, `apps/delta` the recent changes, and
`apps__hashcode` counts the instances by status, so that a reader can detect a delta applied to a wrong base.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# OUT_OF_SERVICE is what operators set to empty a host. STARTING accepts no work yet. UNKNOWN gets no new
# sessions, but sessions that play go on
STATES = {
    "UP": ServerState.READY,
    "OUT_OF_SERVICE": ServerState.DRAINING,
    "UNKNOWN": ServerState.DRAINING,
    "STARTING": ServerState.GONE,
    "DOWN": ServerState.GONE,
}
# polls per full read in place of a delta: a hash of counts misses two errors that cancel out
FULL_EVERY = 30
# jitter as a share of the poll interval, so that hundreds of gateways do not poll at the same moment
SPREAD = 0.2
# consecutive failures of one address before the next one is asked
PATIENCE = 1


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance of a registry; `started` is in µs of the gateway's clock, 0 if not reported."""

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
    """Return `apps__hashcode`: each status and its count, ordered by status name."""
    counts = Counter(instance.status for instance in instances)
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def entries(instances: Iterable[Instance], app: str) -> tuple[ListEntry, ...]:
    """Return the list entries of an app; of two instances on one address the later started one counts."""
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
    """Chooses requests and applies replies. `addresses` are tried in turn from the first.

    `poll_interval` is in µs. A lagging replica, or a delta on a wrong base, would bring back servers that are
    gone, so a delta counts only if the hash matches afterwards; otherwise everything is read again.
    """

    addresses: tuple[str, ...]
    every: int
    known: dict[tuple[str, str], Instance] = field(default_factory=dict)
    at: int = 0
    whole: bool = False  # a full read succeeded, so that a delta has a base
    polls: int = 0
    fails: int = 0

    def ask(self) -> tuple[str, bool]:
        """Return the address to ask and whether to request a delta."""
        delta = self.whole and self.polls % FULL_EVERY != 0
        self.polls += 1
        return self.addresses[self.at % len(self.addresses)], delta

    def next(self, now: int, draw: float) -> int:
        """Return when to poll next (µs); `draw`, from 0 to 1, shortens the interval by the jitter."""
        return now + int(self.every * (1 - SPREAD * draw))

    def full(self, instances: Iterable[Instance]) -> bool:
        """Apply a full read; return whether anything changed."""
        new = {(each.app, each.id): each for each in instances}
        changed, self.known = new != self.known or not self.whole, new
        self.whole, self.fails = True, 0
        return changed

    def delta(self, changes: Iterable[tuple[str, Instance]], told: str) -> bool | None:
        """Apply changes (action, instance); return whether any was made, None if a full read is needed."""
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
        """Record a failed poll; the next address is read in full, because replicas differ."""
        self.fails += 1
        if self.fails % PATIENCE == 0 and len(self.addresses) > 1:
            self.at += 1
            self.whole = False
