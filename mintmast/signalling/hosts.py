"""All media hosts, keyed by host id: which pool a set-up or a release goes to, and the limit of connections.

Host selection and retries on another host are the controller's.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from mintmast.decisions.outcomes import Evidence
from mintmast.loop import CloseReason, Loop
from mintmast.signalling.hostconnection import Attempt
from mintmast.signalling.hostpool import Address, HostPool
from mintmast.signalling.messages import MessageKind, Param, encode

# µs between checks of all connections
CHECK_PERIOD_US = 250_000


class HostEvents(Protocol):
    """Callbacks for events of media hosts."""

    def handle_connection_closed(self, host: bytes, reason: str, call_id: bytes | None) -> None:
        """Process the end of a connection; `call_id` is the set-up that was open on it, if any."""

    def handle_answer(self, host: bytes, call_id: bytes, description: bytes) -> None:
        """Process an answer to an attempt."""

    def handle_attempt_end(self, host: bytes, call_id: bytes, evidence: Evidence, load: str) -> None:
        """Process the end of an attempt without an answer."""

    def handle_release(self, host: bytes, call_id: bytes, cause: int, load: str) -> None:
        """Process a release that belongs to no attempt in progress."""

    def handle_note(self, host: bytes, call_id: bytes, name: str, text: str) -> None:
        """Process a note about a session."""

    def handle_host_death(self, host: bytes, when: int, reason: str, may_return: bool) -> None:
        """Process the death of the host's process, observed at `when`; its sessions ended with it.

        A host that `may_return` is only unreachable, and its sessions may play on.
        """

    def has_sessions(self, host: bytes) -> bool:
        """Return whether sessions play at the host, so that a connection to it must be kept."""


@dataclass(slots=True)
class HostLimits:
    """Timeouts in µs, and the largest number of connections; all from the settings."""

    connect_timeout: int
    idle_timeout: int
    max_connections: int


class MediaHosts:
    """All connection pools. Reports to `events`, never before the method that caused the event returns."""

    def __init__(self, loop: Loop, events: HostEvents, limits: HostLimits) -> None:
        self.loop, self.events, self.limits = loop, events, limits
        self.pools: dict[bytes, HostPool] = {}
        self.connections_in_use = 0
        self.address_changes = 0  # counts hosts' arrivals at an address, to order them
        loop.call_at(loop.now() + CHECK_PERIOD_US, self._check_pools)

    def update_host(self, host: bytes, address: Address, is_gone: bool, is_new_process: bool = False) -> None:
        """Update a host from the list; `is_new_process` if it has restarted."""
        pool = self.pools.get(host)
        if pool is None:
            if is_gone:
                return
            pool = self.pools[host] = HostPool(self, host, address)
        elif pool.address != address and address[0]:
            pool.change_address(address)
        elif is_new_process:
            pool.record_arrival()
            pool.pending_releases.clear()  # they concern sessions of the process before
        pool.left_list = is_gone
        pools_at_address = [each for each in self.pools.values() if each.address == pool.address]
        for each in pools_at_address:
            if any(other.replaces(each) for other in pools_at_address):
                each.mark_replaced()
            else:
                each.is_replaced = each.is_replaced and each.left_list

    def send_set_up(self, host: bytes, call_id: bytes, frame: bytes, deadline: int) -> None:
        """Send a set-up. Exactly one report of its answer or its end follows, unless it is cancelled."""
        pool = self.pools.get(host)
        if pool is None or pool.is_replaced:
            self.loop.call_soon(self.events.handle_attempt_end, host, call_id, Evidence.NOT_CONNECTED, "")
            return
        now = self.loop.now()
        attempt = Attempt(call_id, frame, min(deadline, now + self.limits.connect_timeout))
        attempt.timers = (
            self.loop.call_at(deadline, pool.handle_deadline, attempt),
            self.loop.call_at(attempt.connect_deadline, pool.handle_connect_timeout, attempt),
        )
        pool.attempts[call_id] = attempt
        pool.assign(attempt)

    def cancel_set_up(self, host: bytes, call_id: bytes) -> None:
        """Cancel a set-up; nothing more is reported about it."""
        pool = self.pools.get(host)
        attempt = pool.attempts.get(call_id) if pool is not None else None
        if pool is not None and attempt is not None:
            pool.cancel_attempt(attempt)

    def is_unsent(self, host: bytes, call_id: bytes) -> bool:
        """Return whether a set-up is in progress and was not written yet."""
        pool = self.pools.get(host)
        attempt = pool.attempts.get(call_id) if pool is not None else None
        return attempt is not None and attempt.end_offset is None

    def unsent_set_ups(self, host: bytes) -> list[bytes]:
        """Return the calls whose set-ups for a host are in progress and were not written yet."""
        pool = self.pools.get(host)
        attempts = pool.attempts.values() if pool is not None else ()
        return [attempt.call_id for attempt in attempts if attempt.end_offset is None]

    def withdraw_unsent(self, host: bytes, call_id: bytes) -> bool:
        """Cancel a set-up that was not written yet. Return False, without a change, if there is none."""
        if not self.is_unsent(host, call_id):
            return False
        self.cancel_set_up(host, call_id)
        return True

    def release_session(self, host: bytes, call_id: bytes) -> None:
        """Release a session, at once or on the next connection."""
        pool = self.pools.get(host)
        if pool is not None:
            pool.release_session(call_id)

    def send_rung(self, host: bytes, call_id: bytes, rung: int) -> None:
        """Send a new rung if a connection is open."""
        pool = self.pools.get(host)
        connection = pool.latest_connection() if pool is not None else None
        if connection is not None:
            connection.write(encode(MessageKind.RUNG, call_id, [(Param.RUNG, b"%d" % rung)]))

    def has_capacity(self) -> bool:
        """Return whether one more connection is allowed; closes the least recently used spare one for it.

        Otherwise spare connections to hosts that are no longer selected would exhaust the limit.
        """
        if self.connections_in_use >= self.limits.max_connections:
            spare = [connection for pool in self.pools.values() for connection in pool.spare_connections()]
            if spare:
                min(spare, key=lambda connection: connection.last_used_at).abort(CloseReason.LOCAL)
        return self.connections_in_use < self.limits.max_connections

    def _check_pools(self) -> None:
        self.loop.call_at(self.loop.now() + CHECK_PERIOD_US, self._check_pools)
        for host, pool in list(self.pools.items()):
            pool.check_connections()
            if (
                pool.left_list
                and not pool.connections
                and not pool.attempts
                and not self.events.has_sessions(host)
            ):
                del self.pools[host]
