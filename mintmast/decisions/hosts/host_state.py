"""What is believed of each host: the list's word, the host's own, and what a broken line between them means.

The module knows a host by a list entry. Three defences correct it, each by a fresh entry:

* A host says how long it has run. Danger: a restart that the list tells late makes a cold host look warm.
  Also guards against lists that never tell of starts. May hurt when a host tells a wrong age: it is paced as
  cold.
* The line to a host breaks. Danger: it may have restarted and the gateway cannot tell until it speaks again,
  so its start counts as not before the next time it is asked. Where it refuses connections it does not run at
  all, and counts as gone until it speaks. May hurt where only the line broke: the host is paced until it
  says that it is the same process, and is then believed at once.
* A host says that it drains. Danger: the list is late. It holds against a list that still calls it ready,
  until the host itself takes it back, or starts anew. May hurt if a host says so by mistake.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# µs; first and longest wait before a broken line is tried again: a restart takes some hundred ms, and a host
# that is down for long costs one try in two seconds. Halved at random, so that gateways do not come in step
RETRY_INITIAL_US, RETRY_MAX_US = SECOND // 10, 2 * SECOND


@dataclass(slots=True)
class HostState:
    """One host."""

    listed: ListEntry
    process: str = ""  # the host's own name for its present life
    started_at: int = 0  # its start as it tells, 0 for long ago or not told
    is_draining: bool = False
    drain_ordered: bool = False  # drained by an operator's order here
    first_retry_at: int = 0  # while the line is broken: when it was to be tried again for the first time
    refuses_connections: bool = False  # it took no connection when last asked
    failed_attempts: int = 0
    reported_entry: ListEntry | None = None  # what the module was told last


class HostStates:
    """Beliefs about all hosts; methods give the entries that changed."""

    def __init__(self) -> None:
        self.hosts: dict[bytes, HostState] = {}
        self.drain_orders: set[bytes] = set()  # to be drained by an operator's order, listed or not

    def handle_list(self, entries: tuple[ListEntry, ...], whole: bool) -> list[ListEntry]:
        """Take the list's news: changed entries, or all of them."""
        named = {entry.server for entry in entries}
        if whole:
            for server, host in self.hosts.items():
                if server not in named:
                    host.listed = replace(host.listed, state=ServerState.GONE)
        for entry in entries:
            host = self.hosts.get(entry.server)
            if host is None:
                self.hosts[entry.server] = HostState(entry, drain_ordered=entry.server in self.drain_orders)
            else:
                host.listed = entry
        return self._changed_entries(self.hosts if whole else named)

    def handle_hello(
        self, now: int, server: bytes, process: str, age: int | None, drains: bool
    ) -> tuple[list[ListEntry], bool]:
        """Take a host's first word on a new line; also tell whether it is another process than before."""
        host = self.hosts.get(server)
        if host is None:
            return [], False
        other = bool(host.process) and process != host.process
        host.failed_attempts, host.process, host.is_draining = 0, process, drains
        if other or not host.started_at:
            host.started_at = 0 if age is None else max(1, now - max(0, age))
        host.first_retry_at = 0
        host.refuses_connections = False
        return self._changed_entries([server]), other

    def handle_connection_lost(
        self, now: int, server: bytes, draw: float, refused: bool
    ) -> tuple[list[ListEntry], int]:
        """Take the end of a line, or a try in vain; give the time to try again. `draw` is from 0 to 1."""
        host = self.hosts.get(server)
        if host is None:
            return [], now + RETRY_MAX_US
        wait = min(RETRY_MAX_US, RETRY_INITIAL_US << min(host.failed_attempts, 10))
        wait = int(wait * (0.5 + draw / 2))
        host.first_retry_at = host.first_retry_at or now + wait
        host.refuses_connections = refused
        host.failed_attempts += 1
        return self._changed_entries([server]), now + wait

    def handle_drain(self, server: bytes, drains: bool) -> list[ListEntry]:
        """Take a host's word that it drains, or drains no more."""
        host = self.hosts.get(server)
        if host is None:
            return []
        host.is_draining = drains
        return self._changed_entries([server])

    def handle_drain_order(self, server: bytes, drains: bool) -> list[ListEntry]:
        """Take an operator's order to drain a host, or to take that back."""
        (self.drain_orders.add if drains else self.drain_orders.discard)(server)
        host = self.hosts.get(server)
        if host is None:
            return []
        host.drain_ordered = drains
        return self._changed_entries([server])

    def effective_entry(self, host: HostState) -> ListEntry:
        """Give what is believed of a host."""
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
        """Tell whether what plays at a host had better go on elsewhere: it drains, or left the list.

        Where it takes no connections there is nothing left to move.
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
