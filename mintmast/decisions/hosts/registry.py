"""Reader of a Eureka registry without I/O: instances, deltas and their hash, the next request and its time.

Follows the Eureka REST operations: `apps` returns all instances, `apps/delta` the recent changes, and
`apps__hashcode` counts the instances by status, so that a reader can detect a delta applied to a wrong base.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mintmast.decisions.hedged_calls import CallTiming
from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# OUT_OF_SERVICE is what operators set to empty a host. STARTING accepts no work yet. UNKNOWN gets no new
# sessions, but sessions that play go on
STATE_BY_STATUS = {
    "UP": ServerState.READY,
    "OUT_OF_SERVICE": ServerState.DRAINING,
    "UNKNOWN": ServerState.DRAINING,
    "STARTING": ServerState.GONE,
    "DOWN": ServerState.GONE,
}
# polls per full read in place of a delta: a hash of counts misses two errors that cancel out
POLLS_PER_FULL_READ = 30
# jitter as a share of the poll interval, so that hundreds of gateways do not poll at the same moment
POLL_JITTER = 0.2
# consecutive failures of one address before the next one is asked
FAILURES_BEFORE_FAILOVER = 1


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


def compute_hashcode(instances: Iterable[Instance]) -> str:
    """Return `apps__hashcode`: each status and its count, ordered by status name."""
    counts = Counter(instance.status for instance in instances)
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def build_list_entries(instances: Iterable[Instance], app: str) -> tuple[ListEntry, ...]:
    """Return the list entries of an app; of two instances on one address the later started one counts."""
    by_address: dict[str, Instance] = {}
    for each in instances:
        if each.app.upper() != app.upper():
            continue
        known = by_address.get(each.address)
        if known is None or (each.started, each.status == "UP") > (known.started, known.status == "UP"):
            by_address[each.address] = each
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
        for address, each in sorted(by_address.items())
    )


def poll_timing(poll_interval: int) -> CallTiming:
    """Return the times of polls: one more poll where none is answered within the interval, in µs."""
    return CallTiming(
        silence_timeout=poll_interval,
        connect_timeout=max(1, poll_interval // 2),
        retry_delay=poll_interval,
        max_retry_delay=poll_interval,
    )


@dataclass(slots=True)
class RegistryReader:
    """Chooses requests and applies replies. `addresses` are tried in turn from the first.

    `poll_interval` is in µs. A lagging replica, or a delta on a wrong base, would bring back servers that are
    gone, so a delta counts only if the hash matches afterwards; otherwise everything is read again.
    """

    addresses: tuple[str, ...]
    poll_interval: int
    instances: dict[tuple[str, str], Instance] = field(default_factory=dict)
    address_index: int = 0
    has_base: bool = False  # a full read succeeded, so that a delta has a base
    polls: int = 0
    failures: int = 0

    def next_request(self) -> tuple[str, bool]:
        """Return the address to ask and whether to request a delta."""
        delta = self.has_base and self.polls % POLLS_PER_FULL_READ != 0
        self.polls += 1
        return self.addresses[self.address_index % len(self.addresses)], delta

    def next_poll_at(self, now: int, draw: float) -> int:
        """Return when to poll next (µs); `draw`, from 0 to 1, shortens the interval by the jitter."""
        return now + int(self.poll_interval * (1 - POLL_JITTER * draw))

    def apply_full(self, instances: Iterable[Instance]) -> bool:
        """Apply a full read; return whether anything changed."""
        updated = {(each.app, each.id): each for each in instances}
        changed, self.instances = updated != self.instances or not self.has_base, updated
        self.has_base, self.failures = True, 0
        return changed

    def apply_delta(self, changes: Iterable[tuple[str, Instance]], expected_hashcode: str) -> bool | None:
        """Apply changes (action, instance); return whether any was made, None if a full read is needed."""
        updated = dict(self.instances)
        for action, each in changes:
            if action == "DELETED":
                updated.pop((each.app, each.id), None)
            else:
                updated[each.app, each.id] = each
        self.failures = 0
        if expected_hashcode != compute_hashcode(updated.values()):
            self.has_base = False
            return None
        changed, self.instances = updated != self.instances, updated
        return changed

    def handle_failure(self) -> None:
        """Record a failed poll; the next address is read in full, because replicas differ."""
        self.failures += 1
        if self.failures % FAILURES_BEFORE_FAILOVER == 0 and len(self.addresses) > 1:
            self.address_index += 1
            self.has_base = False
