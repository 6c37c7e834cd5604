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
RETRY_FIRST, RETRY_MOST = SECOND // 10, 2 * SECOND


@dataclass(slots=True)
class Watched:
    """State of one host."""

    listed: ListEntry
    process: str = ""  # identifies the host's process, as it reports
    born: int = 0  # start of the process (µs), 0 if long ago or not reported
    drains: bool = False  # as the host reports
    ordered: bool = False  # drained by an operator's order at this gateway
    lost_at: int = 0  # µs; when the first reconnect was due, 0 while connected
    refuses: bool = False  # at the last attempt
    tries: int = 0
    told: ListEntry | None = None  # the entry last sent to the module


class HostWatch:
    """States of all hosts; methods return the list entries that changed."""

    def __init__(self) -> None:
        self.hosts: dict[bytes, Watched] = {}
        self.ordered: set[bytes] = set()  # hosts to be drained by an operator's order, listed or not

    def list_entries(self, entries: tuple[ListEntry, ...], whole: bool) -> list[ListEntry]:
        """Apply entries of the list, all of them if `whole`, else the changed ones."""
        named = {entry.server for entry in entries}
        if whole:
            for server, host in self.hosts.items():
                if server not in named:
                    host.listed = replace(host.listed, state=ServerState.GONE)
        for entry in entries:
            host = self.hosts.get(entry.server)
            if host is None:
                self.hosts[entry.server] = Watched(entry, ordered=entry.server in self.ordered)
            else:
                host.listed = entry
        return self._changed(self.hosts if whole else named)

    def hello(
        self, now: int, server: bytes, process: str, age: int | None, drains: bool
    ) -> tuple[list[ListEntry], bool]:
        """Apply the first report on a new connection; also return whether the host's process changed."""
        host = self.hosts.get(server)
        if host is None:
            return [], False
        other = bool(host.process) and process != host.process
        host.tries, host.process, host.drains = 0, process, drains
        if other or not host.born:
            host.born = 0 if age is None else max(1, now - max(0, age))
        host.lost_at = 0
        host.refuses = False
        return self._changed([server]), other

    def lost(self, now: int, server: bytes, draw: float, refused: bool) -> tuple[list[ListEntry], int]:
        """Record a lost connection or a failed attempt; also return when to retry (µs).

        `draw` is a random number from 0 to 1 for the jitter.
        """
        host = self.hosts.get(server)
        if host is None:
            return [], now + RETRY_MOST
        wait = min(RETRY_MOST, RETRY_FIRST << min(host.tries, 10))
        wait = int(wait * (0.5 + draw / 2))
        host.lost_at = host.lost_at or now + wait
        host.refuses = refused
        host.tries += 1
        return self._changed([server]), now + wait

    def drain(self, server: bytes, drains: bool) -> list[ListEntry]:
        """Apply a host's report that it drains or no longer drains."""
        host = self.hosts.get(server)
        if host is None:
            return []
        host.drains = drains
        return self._changed([server])

    def order(self, server: bytes, drains: bool) -> list[ListEntry]:
        """Apply an operator's order to drain a host, or its revocation."""
        (self.ordered.add if drains else self.ordered.discard)(server)
        host = self.hosts.get(server)
        if host is None:
            return []
        host.ordered = drains
        return self._changed([server])

    def entry(self, host: Watched) -> ListEntry:
        """Return a host's list entry, corrected by its own reports and its connection."""
        entry = host.listed
        if host.refuses:
            entry = replace(entry, state=ServerState.GONE)
        elif (host.drains or host.ordered) and entry.state is ServerState.READY:
            entry = replace(entry, state=ServerState.DRAINING)
        started = max(entry.started, host.born)
        if host.process and host.lost_at:
            started = max(started, host.lost_at)
        return replace(entry, started=started) if started != entry.started else entry

    def to_leave(self, server: bytes) -> bool:
        """Return whether a host's sessions should move elsewhere, because it drains or left the list.

        A host that refuses connections has nothing left to move.
        """
        host = self.hosts.get(server)
        return host is not None and not host.refuses and self.entry(host).state is not ServerState.READY

    def _changed(self, servers) -> list[ListEntry]:
        changed = []
        for server in servers:
            host = self.hosts[server]
            entry = self.entry(host)
            if entry != host.told:
                host.told = entry
                changed.append(entry)
        return changed
