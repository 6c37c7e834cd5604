"""Connection pools to media hosts, keyed by host id: one result for each set-up, health checks, releases.

A connection carries one set-up at a time, so that a malformed answer fails no other set-up with it. A set-up
is written only after a health check has passed: on a connection that died silently it could not be proved
that a paid set-up was never sent. Host selection and retries on another host are the controller's.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import Close, Limits, Loop
from mintmast.signalling.hostconnection import Attempt, HostConnection
from mintmast.signalling.messages import Cause, Kind, Param, encode, release

Address = tuple[str, int]
# µs between checks of all connections
LOOK = 250_000
# µs of idleness after which a connection beyond the first is closed
SPARE = 4_000_000
# share of the connections in use above which spare ones are closed even to hosts with sessions
SCARCE = 0.75
# bounds of a host's stream in bytes, and of the releases queued for a host that cannot be reached
LIMITS, MOST_CUTS = Limits(unsent=1 << 18, chunk=1 << 15), 1024


class HostEvents(Protocol):
    """Callbacks for events of media hosts."""

    def started(self, host: bytes, call: bytes, description: bytes) -> None:
        """Process an answer to an attempt."""

    def ended(self, host: bytes, call: bytes, evidence: Evidence, load: str) -> None:
        """Process the end of an attempt without an answer."""

    def over(self, host: bytes, call: bytes, cause: int, load: str) -> None:
        """Process a release that belongs to no attempt in progress."""

    def noted(self, host: bytes, call: bytes, name: str, figure: str) -> None:
        """Process a note about a session."""

    def dead(self, host: bytes, when: int, why: str) -> None:
        """Process the death of the host's process, observed at `when`; its sessions ended with it."""

    def wanted(self, host: bytes) -> bool:
        """Return whether sessions play at the host, so that a connection to it must be kept."""


@dataclass(slots=True)
class HostLimits:
    """Timeouts in µs, and the largest number of connections; all from the settings."""

    connect_time: int
    idle_time: int
    connections: int


class MediaHosts:
    """All connection pools. Reports to `events`, never before the method that caused the event returns."""

    def __init__(self, loop: Loop, events: HostEvents, limits: HostLimits) -> None:
        self.loop, self.events, self.limits = loop, events, limits
        self.pools: dict[bytes, Pool] = {}
        self.in_use = 0
        self.moves = 0  # counts hosts' arrivals at an address, to order them
        loop.call_at(loop.now() + LOOK, self._look)

    def listed(self, host: bytes, address: Address, gone: bool, anew: bool = False) -> None:
        """Update a host from the list; `anew` if its process has restarted."""
        pool = self.pools.get(host)
        if pool is None:
            if gone:
                return
            pool = self.pools[host] = Pool(self, host, address)
        elif pool.address != address and address[0]:
            pool.move(address)
        elif anew:
            pool.arrive()
        pool.gone = gone
        here = [each for each in self.pools.values() if each.address == pool.address]
        for each in here:
            if any(other.took_over(each) for other in here):
                each.replaced()
            else:
                each.is_replaced = each.is_replaced and each.gone

    def set_up(self, host: bytes, call: bytes, frame: bytes, until: int) -> None:
        """Send a set-up. Exactly one report of its answer or its end follows, unless it is cancelled."""
        pool = self.pools.get(host)
        if pool is None or pool.is_replaced:
            self.loop.call_soon(self.events.ended, host, call, Evidence.NOT_CONNECTED, "")
            return
        now = self.loop.now()
        attempt = Attempt(call, frame, min(until, now + self.limits.connect_time))
        attempt.timers = (
            self.loop.call_at(until, pool.late, attempt),
            self.loop.call_at(attempt.connect_by, pool.unconnected, attempt),
        )
        pool.out[call] = attempt
        pool.assign(attempt)

    def call_off(self, host: bytes, call: bytes) -> None:
        """Cancel a set-up; nothing more is reported about it."""
        pool = self.pools.get(host)
        attempt = pool.out.get(call) if pool is not None else None
        if pool is not None and attempt is not None:
            pool.drop(attempt)

    def withdraw(self, host: bytes, call: bytes) -> bool:
        """Cancel a set-up that was not written yet. Return False, without a change, if there is none."""
        pool = self.pools.get(host)
        attempt = pool.out.get(call) if pool is not None else None
        if pool is None or attempt is None or attempt.end is not None:
            return False
        pool.drop(attempt)
        return True

    def cut(self, host: bytes, call: bytes) -> None:
        """Release a session, at once or on the next connection."""
        pool = self.pools.get(host)
        if pool is not None:
            pool.cut(call)

    def rung(self, host: bytes, call: bytes, rung: int) -> None:
        """Send a new rung if a connection is open."""
        pool = self.pools.get(host)
        connection = pool.any_open() if pool is not None else None
        if connection is not None:
            connection.write(encode(Kind.RUNG, call, [(Param.RUNG, b"%d" % rung)]))

    def has_room(self) -> bool:
        """Return whether one more connection is allowed; closes the least recently used spare one for it.

        Otherwise spare connections to hosts that are no longer selected would exhaust the limit.
        """
        if self.in_use >= self.limits.connections:
            spare = [connection for pool in self.pools.values() for connection in pool.spare()]
            if spare:
                min(spare, key=lambda connection: connection.used).fail(Close.LOCAL)
        return self.in_use < self.limits.connections

    def _look(self) -> None:
        self.loop.call_at(self.loop.now() + LOOK, self._look)
        for host, pool in list(self.pools.items()):
            pool.look()
            if pool.gone and not pool.connections and not pool.out and not self.events.wanted(host):
                del self.pools[host]


class Pool:
    """All connections to one host. Pools are keyed by id, as another host may take over its address."""

    def __init__(self, hosts: MediaHosts, host: bytes, address: Address) -> None:
        self.hosts, self.host, self.address = hosts, host, address
        self.gone = False
        self.connections: list[HostConnection] = []
        self.out: dict[bytes, Attempt] = {}
        self.cuts: deque[bytes] = deque(maxlen=MOST_CUTS)
        self.misses = 0
        self.is_replaced = False
        self._came = 0
        self.arrive()

    def arrive(self) -> None:
        """Record that the host has just arrived at its address."""
        self.hosts.moves += 1
        self._came = self.hosts.moves

    def move(self, address: Address) -> None:
        """Use another address, also for the set-ups that were not written yet.

        The old address may be another host's by now, and a set-up written there would run at a host that its
        session may not use.
        """
        self.address = address
        self.arrive()
        waiting = []
        for connection in list(self.connections):
            if connection.attempt is None or connection.attempt.end is None:
                if connection.attempt is not None:
                    waiting.append(connection.attempt)
                    connection.attempt.connection = connection.attempt = None
                connection.fail(Close.LOCAL)
            else:
                connection.stale = True
        for attempt in waiting:
            self.assign(attempt)

    def took_over(self, other: Pool) -> bool:
        """Return whether this host took over the other's address; the other is not reachable there."""
        return self is not other and not self.gone and (other.gone or self._came > other._came)

    def spare(self) -> list[HostConnection]:
        """Return the connections that may be closed: idle ones to a host without sessions."""
        if self.cuts or self.hosts.events.wanted(self.host):
            return []
        return [connection for connection in self.connections if connection.idle]

    # Set-ups

    def assign(self, attempt: Attempt) -> None:
        """Assign a set-up to the idle connection that received last, or to a new one."""
        idle = [connection for connection in self.connections if connection.idle]
        if idle:
            max(idle, key=lambda connection: connection.heard).take(attempt)
        elif not self.is_replaced and self.hosts.has_room():
            self.connect().take(attempt)
        else:
            self.finish(attempt, Evidence.NOT_CONNECTED)

    def connect(self) -> HostConnection:
        """Open a new connection."""
        connection = HostConnection(self)
        self.connections.append(connection)
        self.hosts.in_use += 1
        connection.raw = self.hosts.loop.connect(*self.address, connection, LIMITS)
        return connection

    def unconnected(self, attempt: Attempt) -> None:
        """End an attempt that got no working connection in time, and abort the connection it waited for."""
        connection = attempt.connection
        if attempt.end is None:
            self.finish(attempt, Evidence.NOT_CONNECTED)
            if connection is not None:
                connection.attempt = None
                connection.fail(Close.UNREACHABLE)

    def late(self, attempt: Attempt) -> None:
        """End an attempt at its deadline."""
        sent = attempt.end is not None
        self.drop(attempt)
        self._tell(attempt, Evidence.SILENT if sent else Evidence.LATE_UNSENT)

    def drop(self, attempt: Attempt) -> None:
        """Cancel an attempt, also at the host if the set-up may have reached it."""
        connection = attempt.connection
        self.forget(attempt)
        if connection is None:
            return
        connection.attempt = None
        if attempt.end is None:
            return
        # the host did not answer on this connection, so it may not process the release there either: the
        # connection is closed, and the release is repeated on another one
        connection.write(release(attempt.call, Cause.NORMAL_CLEARING))
        connection.close()
        self.cut(attempt.call)

    def finish(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        """End an attempt and report its evidence."""
        self.forget(attempt)
        self._tell(attempt, evidence, load)

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt and its timers without a report."""
        self.out.pop(attempt.call, None)
        for timer in attempt.timers:
            timer.cancel()

    def _tell(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        self.hosts.loop.call_soon(self.hosts.events.ended, self.host, attempt.call, evidence, load)

    # Releases

    def any_open(self) -> HostConnection | None:
        """Return the open connection that received last, if any."""
        connections = [
            connection
            for connection in self.connections
            if connection.stream is not None and not (connection.over or connection.stale)
        ]
        return max(connections, key=lambda connection: connection.heard) if connections else None

    def cut(self, call: bytes) -> None:
        """Release a session that the host may hold, now or on the next connection."""
        connection = self.any_open()
        if connection is not None:
            connection.release(call)
        elif not self.is_replaced:
            self.cuts.append(call)

    # Connections

    def opened(self, connection: HostConnection) -> None:
        """Send the queued releases on a new connection."""
        self.misses = 0
        while self.cuts:
            connection.release(self.cuts.popleft())

    def ended(self, connection: HostConnection, reason: Close) -> None:
        """Process the end of a connection; if none is left and none can be opened, report the host dead."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.hosts.in_use -= 1
        for call in connection.unheard():
            self.cut(call)
        if connection.was_open and self._hear_again():
            return
        if any(each.stream is not None for each in self.connections):
            return
        if reason is Close.EXHAUSTED or connection.stale:
            return  # no evidence about the host; the next periodic check reconnects
        if reason is Close.REFUSED:
            self._dead("refused")
        elif not connection.was_open and reason is not Close.LOCAL:
            self.misses += 1
            if self.misses >= 2:
                self._dead("unreachable")
        if (
            not self.is_replaced
            and not self.connections
            and (self.cuts or self.hosts.events.wanted(self.host))
        ):
            self.connect()

    def _hear_again(self) -> bool:
        """Open a connection in place of one that ended, if sessions play there. Return False if not needed.

        A message of the host about a session's end may have crossed the close of the old connection. The host
        repeats it on the next connection that opens, so a gateway that only kept its other connections would
        never receive it.
        """
        if self.is_replaced or not self.hosts.events.wanted(self.host):
            return False
        if self.hosts.in_use < self.hosts.limits.connections and all(
            each.stream for each in self.connections
        ):
            self.connect()
        return True

    def replaced(self) -> None:
        """Report the host dead: another host has its address, so this one is not reachable there."""
        if not self.is_replaced:
            self.is_replaced = True
            for connection in list(self.connections):
                connection.fail(Close.RESET)
            self._dead("replaced")

    def _dead(self, why: str) -> None:
        self.cuts.clear()
        self.hosts.loop.call_soon(self.hosts.events.dead, self.host, self.hosts.loop.now(), why)

    def look(self) -> None:
        """Check the host's connections: health checks, timeouts, spare ones, and one to keep for sessions."""
        now = self.hosts.loop.now()
        wanted = bool(self.cuts) or self.hosts.events.wanted(self.host)
        for connection in list(self.connections):
            connection.look(now)
            if connection.stale and connection.attempt is None:
                connection.close()
        idle = sorted(
            (connection for connection in self.connections if connection.idle),
            key=lambda connection: connection.heard,
        )
        scarce = self.hosts.in_use > self.hosts.limits.connections * SCARCE
        for connection in idle[:-1]:
            if (scarce or not wanted) and now - connection.used > SPARE:
                connection.close()
        if not wanted and len(self.connections) == 1 and idle:
            if self.gone or now - idle[-1].used > self.hosts.limits.idle_time // 2:
                idle[-1].close()
        if wanted and not self.connections:
            if self.is_replaced:
                self._dead("replaced")
            elif self.hosts.in_use < self.hosts.limits.connections:
                self.connect()
