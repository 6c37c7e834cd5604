"""Connections to media hosts: pools by the host's id, set-ups with one truthful result, tests, cuts.

A connection carries one set-up at a time, so that an answer that cannot be read takes no other with it.
Before a set-up is written the connection is tested: on one that has silently died a paid set-up could not be
proved unsent any more. Nothing here chooses a host or tries another.
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
# µs between looks at connections
LOOK = 250_000
# µs after which an idle connection beyond the first is given back
SPARE = 4_000_000
# part of the connections in use from which spare ones are given back also where sessions stand
SCARCE = 0.75
# bytes that may wait for one host; sessions to be released at a host that cannot be reached just now
LIMITS, MOST_CUTS = Limits(unsent=1 << 18, chunk=1 << 15), 1024


class HostEvents(Protocol):
    """What is told of hosts."""

    def started(self, host: bytes, call: bytes, description: bytes) -> None:
        """Take an answer."""

    def ended(self, host: bytes, call: bytes, evidence: Evidence, load: str) -> None:
        """Take the end of an attempt without an answer."""

    def over(self, host: bytes, call: bytes, cause: int, load: str) -> None:
        """Take a release of what is no attempt that is out."""

    def noted(self, host: bytes, call: bytes, name: str, figure: str) -> None:
        """Take a note."""

    def dead(self, host: bytes, when: int, why: str) -> None:
        """Take it that the host's process was gone at `when`, and what stood there with it."""

    def wanted(self, host: bytes) -> bool:
        """Tell whether sessions stand at the host, so that a connection to it is to be kept."""


@dataclass(slots=True)
class HostLimits:
    """Bounds, in microseconds and connections; all from the settings."""

    connect_time: int
    idle_time: int
    connections: int


class MediaHosts:
    """All pools. `events` hears what hosts say and what is seen of them, never before a call returns."""

    def __init__(self, loop: Loop, events: HostEvents, limits: HostLimits) -> None:
        self.loop, self.events, self.limits = loop, events, limits
        self.pools: dict[bytes, Pool] = {}
        self.in_use = 0
        self.moves = 0  # times that a host came to an address
        loop.call_at(loop.now() + LOOK, self._look)

    def listed(self, host: bytes, address: Address, gone: bool, anew: bool = False) -> None:
        """Take what the list says of a host; `anew`: its process is another than before."""
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
        """Send a set-up; one of `started` and `ended` follows."""
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
        """Give up a set-up; nothing more is told of it."""
        pool = self.pools.get(host)
        attempt = pool.out.get(call) if pool is not None else None
        if pool is not None and attempt is not None:
            pool.drop(attempt)

    def withdraw(self, host: bytes, call: bytes) -> bool:
        """Give up a set-up that was not written yet; False where there is none, and nothing changes."""
        pool = self.pools.get(host)
        attempt = pool.out.get(call) if pool is not None else None
        if pool is None or attempt is None or attempt.end is not None:
            return False
        pool.drop(attempt)
        return True

    def cut(self, host: bytes, call: bytes) -> None:
        """End a session, at once or with the next connection."""
        pool = self.pools.get(host)
        if pool is not None:
            pool.cut(call)

    def rung(self, host: bytes, call: bytes, rung: int) -> None:
        """Tell a new rung, where a connection is open."""
        pool = self.pools.get(host)
        connection = pool.any_open() if pool is not None else None
        if connection is not None:
            connection.write(encode(Kind.RUNG, call, [(Param.RUNG, b"%d" % rung)]))

    def has_room(self) -> bool:
        """Tell whether there may be one more connection; a spare one goes for it, the one unused for longest.

        Danger: spare connections to hosts that are not chosen any more would keep all others out.
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
    """All connections to one host, keyed by its id: another host may come to its address."""

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
        """Take it that the host has just come to its address."""
        self.hosts.moves += 1
        self._came = self.hosts.moves

    def move(self, address: Address) -> None:
        """Take another address; set-ups not written yet go there, and so does what comes later.

        Danger: the old address may be another host's by now, and a set-up written there would run at a host
        that its session may not go to.
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
        """Tell whether this host came to the other's address later: the other is not reached there now."""
        return self is not other and not self.gone and (other.gone or self._came > other._came)

    def spare(self) -> list[HostConnection]:
        """Give connections that can go: idle ones to a host where no session stands."""
        if self.cuts or self.hosts.events.wanted(self.host):
            return []
        return [connection for connection in self.connections if connection.idle]

    # Set-ups

    def assign(self, attempt: Attempt) -> None:
        """Put a set-up on an idle connection, the one last heard, or on a new one."""
        idle = [connection for connection in self.connections if connection.idle]
        if idle:
            max(idle, key=lambda connection: connection.heard).take(attempt)
        elif not self.is_replaced and self.hosts.has_room():
            self.connect().take(attempt)
        else:
            self.finish(attempt, Evidence.NOT_CONNECTED)

    def connect(self) -> HostConnection:
        """Begin a new connection."""
        connection = HostConnection(self)
        self.connections.append(connection)
        self.hosts.in_use += 1
        connection.raw = self.hosts.loop.connect(*self.address, connection, LIMITS)
        return connection

    def unconnected(self, attempt: Attempt) -> None:
        """End an attempt that found no connection that works in the time for it, and that connection."""
        connection = attempt.connection
        if attempt.end is None:
            self.finish(attempt, Evidence.NOT_CONNECTED)
            if connection is not None:
                connection.attempt = None
                connection.fail(Close.UNREACHABLE)

    def late(self, attempt: Attempt) -> None:
        """Give up an attempt whose time has run out."""
        sent = attempt.end is not None
        self.drop(attempt)
        self._tell(attempt, Evidence.SILENT if sent else Evidence.LATE_UNSENT)

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt; the host hears that it is given up where it may have heard of it."""
        connection = attempt.connection
        self.forget(attempt)
        if connection is None:
            return
        connection.attempt = None
        if attempt.end is None:
            return
        # no answer came on this connection: nothing that stands on it can be trusted to come either
        connection.write(release(attempt.call, Cause.NORMAL_CLEARING))
        connection.close()
        self.cut(attempt.call)

    def finish(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        """Tell the end of an attempt."""
        self.forget(attempt)
        self._tell(attempt, evidence, load)

    def forget(self, attempt: Attempt) -> None:
        """Drop an attempt and its timers; nothing is told."""
        self.out.pop(attempt.call, None)
        for timer in attempt.timers:
            timer.cancel()

    def _tell(self, attempt: Attempt, evidence: Evidence, load: str = "") -> None:
        self.hosts.loop.call_soon(self.hosts.events.ended, self.host, attempt.call, evidence, load)

    # Cuts

    def any_open(self) -> HostConnection | None:
        """Give an open connection, the one last heard."""
        connections = [
            connection
            for connection in self.connections
            if connection.stream is not None and not (connection.over or connection.stale)
        ]
        return max(connections, key=lambda connection: connection.heard) if connections else None

    def cut(self, call: bytes) -> None:
        """Release what may stand there, now or with the next connection."""
        connection = self.any_open()
        if connection is not None:
            connection.release(call)
        elif not self.is_replaced:
            self.cuts.append(call)

    # Connections

    def opened(self, connection: HostConnection) -> None:
        """Take a new connection, and send what waited for one."""
        self.misses = 0
        while self.cuts:
            connection.release(self.cuts.popleft())

    def ended(self, connection: HostConnection, reason: Close) -> None:
        """Take the end of a connection; without any left, and none to be had, the process is gone."""
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
            return  # it says nothing of the host; tried again at the next look
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
        """Open a connection in place of one that ended, where sessions stand; False where none is needed.

        Danger: what the host told on the old one may have crossed its end. It tells ends once more, on the
        next connection that is opened, and would never be heard by a gateway that keeps to the others.
        """
        if self.is_replaced or not self.hosts.events.wanted(self.host):
            return False
        if self.hosts.in_use < self.hosts.limits.connections and all(
            each.stream for each in self.connections
        ):
            self.connect()
        return True

    def replaced(self) -> None:
        """Take it that another host has the address: what is reached there is no longer this one."""
        if not self.is_replaced:
            self.is_replaced = True
            for connection in list(self.connections):
                connection.fail(Close.RESET)
            self._dead("replaced")

    def _dead(self, why: str) -> None:
        self.cuts.clear()
        self.hosts.loop.call_soon(self.hosts.events.dead, self.host, self.hosts.loop.now(), why)

    def look(self) -> None:
        """Test quiet connections, end deaf ones, give back spare ones, keep one where sessions stand."""
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
