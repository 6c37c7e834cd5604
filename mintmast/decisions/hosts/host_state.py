"""State of each host, from the list, from the host's own reports and from broken connections to it.

The module knows a host by its list entry. Three rules correct that entry, each by sending a new one:

* A host reports its process age. If the list reports a restart late, or never reports starts, a cold host
  would look warm. Cost: a host that reports a wrong age is paced as cold.
* The connection to a host breaks. It may have restarted, which is unknown until it is connected again, so its
  start is assumed to be no earlier than the next connection attempt. If it refuses connections it does not
  run and counts as gone until it is connected. Cost: if only the connection broke, the host is paced until it
  reports the same process, and is trusted again at once.
* A host reports that it drains. The list may be late, so this overrides a list that still calls it ready,
  until the host withdraws it or restarts. Cost: a host that reports it by mistake is not used.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# µs; initial and maximum backoff before reconnecting: a restart takes some hundred ms, and a host that stays
# down costs one attempt in two seconds. Jitter of up to a half keeps gateways from retrying in step
RETRY_INITIAL_US, RETRY_MAX_US = SECOND // 10, 2 * SECOND


@dataclass(slots=True)
class HostState:
    """State of one host."""

    listed: ListEntry
    process: str = ""  # identifies the host's process, as it reports
    started_at: int = 0  # start of the process (µs), 0 if long ago or not reported
    is_draining: bool = False  # as the host reports
    drain_ordered: bool = False  # drained by an operator's order at this gateway
    first_retry_at: int = 0  # µs; when the first reconnect was due, 0 while connected
    refuses_connections: bool = False  # at the last attempt
    failed_attempts: int = 0
    reported_entry: ListEntry | None = None  # the entry last sent to the module


class HostStates:
    """States of all hosts; methods return the list entries that changed."""

    def __init__(self) -> None:
        self.hosts: dict[bytes, HostState] = {}
        self.drain_orders: set[bytes] = set()  # hosts to be drained by an operator's order, listed or not

    def handle_list(self, entries: tuple[ListEntry, ...], whole: bool) -> list[ListEntry]:
        """Apply entries of the list, all of them if `whole`, else the changed ones."""
        listed = {entry.server for entry in entries}
        if whole:
            for server, host in self.hosts.items():
                if server not in listed:
                    host.listed = replace(host.listed, state=ServerState.GONE)
        for entry in entries:
            host = self.hosts.get(entry.server)
            if host is None:
                self.hosts[entry.server] = HostState(entry, drain_ordered=entry.server in self.drain_orders)
            else:
                host.listed = entry
        return self._changed_entries(self.hosts if whole else listed)

    def handle_hello(
        self, now: int, server: bytes, process: str, age: int | None, is_draining: bool
    ) -> tuple[list[ListEntry], bool]:
        """Apply the first report on a new connection; also return whether the host's process changed."""
        host = self.hosts.get(server)
        if host is None:
            return [], False
        process_changed = bool(host.process) and process != host.process
        host.failed_attempts, host.process, host.is_draining = 0, process, is_draining
        if process_changed or not host.started_at:
            host.started_at = 0 if age is None else max(1, now - max(0, age))
        host.first_retry_at = 0
        host.refuses_connections = False
        return self._changed_entries([server]), process_changed

    def handle_connection_lost(
        self, now: int, server: bytes, draw: float, was_refused: bool
    ) -> tuple[list[ListEntry], int]:
        """Record a lost connection or a failed attempt; also return when to retry (µs).

        `draw` is a random number from 0 to 1 for the jitter.
        """
        host = self.hosts.get(server)
        if host is None:
            return [], now + RETRY_MAX_US
        backoff = min(RETRY_MAX_US, RETRY_INITIAL_US << min(host.failed_attempts, 10))
        backoff = int(backoff * (0.5 + draw / 2))
        host.first_retry_at = host.first_retry_at or now + backoff
        host.refuses_connections = was_refused
        host.failed_attempts += 1
        return self._changed_entries([server]), now + backoff

    def handle_drain(self, server: bytes, is_draining: bool) -> list[ListEntry]:
        """Apply a host's report that it drains or no longer drains."""
        host = self.hosts.get(server)
        if host is None:
            return []
        host.is_draining = is_draining
        return self._changed_entries([server])

    def handle_drain_order(self, server: bytes, is_ordered: bool) -> list[ListEntry]:
        """Apply an operator's order to drain a host, or its revocation."""
        (self.drain_orders.add if is_ordered else self.drain_orders.discard)(server)
        host = self.hosts.get(server)
        if host is None:
            return []
        host.drain_ordered = is_ordered
        return self._changed_entries([server])

    def effective_entry(self, host: HostState) -> ListEntry:
        """Return a host's list entry, corrected by its own reports and its connection."""
        entry = host.listed
        if host.refuses_connections:
            entry = replace(entry, state=ServerState.GONE)
        elif (host.is_draining or host.drain_ordered) and entry.state is ServerState.READY:
            entry = replace(entry, state=ServerState.DRAINING)
        started = max(entry.started, host.started_at)
        if host.process and host.first_retry_at:
            started = max(started, host.first_retry_at)
        return replace(entry, started=started) if started != entry.started else entry

    def should_vacate(self, server: bytes) -> bool:
        """Return whether a host's sessions should move elsewhere, because it drains or left the list.

        A host that refuses connections has nothing left to move.
        """
        host = self.hosts.get(server)
        return (
            host is not None
            and not host.refuses_connections
            and self.effective_entry(host).state is not ServerState.READY
        )

    def _changed_entries(self, servers) -> list[ListEntry]:
        changed = []
        for server in servers:
            host = self.hosts[server]
            entry = self.effective_entry(host)
            if entry != host.reported_entry:
                host.reported_entry = entry
                changed.append(entry)
        return changed
