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
STATE_BY_STATUS = {
    "UP": ServerState.READY,
    "OUT_OF_SERVICE": ServerState.DRAINING,
    "UNKNOWN": ServerState.DRAINING,
    "STARTING": ServerState.GONE,
    "DOWN": ServerState.GONE,
}
# full reads in place of deltas, at least one in so many polls: a hash of counts cannot see two errors that
# cancel out
POLLS_PER_FULL_READ = 30
# part of the poll's time by which polls are spread, so that hundreds of gateways do not ask at one moment
POLL_JITTER = 0.2
# fails of one address in a row before the next is asked
FAILURES_BEFORE_FAILOVER = 1


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


def compute_hashcode(instances: Iterable[Instance]) -> str:
    """Give `apps__hashcode`: each status and its count, in the order of the statuses' names."""
    counts = Counter(instance.status for instance in instances)
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def build_list_entries(instances: Iterable[Instance], app: str) -> tuple[ListEntry, ...]:
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
            STATE_BY_STATUS.get(each.status, ServerState.DRAINING),
            each.started,
            each.cell,
            each.zone,
            each.kind,
            each.weight,
        )
        for address, each in sorted(best.items())
    )


@dataclass(slots=True)
class RegistryReader:
    """Decides what to ask, and what an answer is worth. `addresses` are tried in turn from the first.

    `every` is the time between polls in µs. Danger: a registry's replica that lags, or a delta on a wrong
    base, would take servers back that are gone. A delta counts only if the hash agrees after it, else
    everything is read.
    """

    addresses: tuple[str, ...]
    poll_interval: int
    instances: dict[tuple[str, str], Instance] = field(default_factory=dict)
    address_index: int = 0  # which address
    has_base: bool = False  # something was read in full, so that a delta has a base
    polls: int = 0
    failures: int = 0

    def next_request(self) -> tuple[str, bool]:
        """Give the address to ask and whether a delta will do."""
        delta = self.has_base and self.polls % POLLS_PER_FULL_READ != 0
        self.polls += 1
        return self.addresses[self.address_index % len(self.addresses)], delta

    def next_poll_at(self, now: int, draw: float) -> int:
        """Give when to ask next; `draw` from 0 to 1 spreads the polls, never later than `every`."""
        return now + int(self.poll_interval * (1 - POLL_JITTER * draw))

    def apply_full(self, instances: Iterable[Instance]) -> bool:
        """Take a full read; true where anything changed."""
        new = {(each.app, each.id): each for each in instances}
        changed, self.instances = new != self.instances or not self.has_base, new
        self.has_base, self.failures = True, 0
        return changed

    def apply_delta(self, changes: Iterable[tuple[str, Instance]], told: str) -> bool | None:
        """Take changes as (action, instance) and the hash told; None where all must be read anew."""
        new = dict(self.instances)
        for action, each in changes:
            if action == "DELETED":
                new.pop((each.app, each.id), None)
            else:
                new[each.app, each.id] = each
        self.failures = 0
        if told != compute_hashcode(new.values()):
            self.has_base = False
            return None
        changed, self.instances = new != self.instances, new
        return changed

    def handle_failure(self) -> None:
        """Take a try in vain: the next address is asked, in full, as replicas differ."""
        self.failures += 1
        if self.failures % FAILURES_BEFORE_FAILOVER == 0 and len(self.addresses) > 1:
            self.address_index += 1
            self.has_base = False
