"""Handover of the host list to the module: removals and drains at once, long lists in bounded slices."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mintmast import interface as api
from mintmast.decisions.hosts.host_state import HostStates
from mintmast.decisions.messages import ScheduleTimer, UnwatchHost, WatchHost

# for a long list: entries handed to the module per turn, watches opened per turn, and µs between such turns.
# A list of 10,000 takes half a second, and viewers are answered meanwhile
ENTRIES_PER_TURN, WATCHES_PER_TURN, SLICE_INTERVAL_US = 500, 50, 2_000


class ListHandover:
    """List entries that the module has not received yet, and the hosts that are watched."""

    def __init__(self, hosts: HostStates, emit: Callable[[object], None]) -> None:
        self._hosts, self._emit = hosts, emit
        self._watched: set[bytes] = set()
        self._pending_watches: deque[bytes] = deque()
        self._pending_entries: deque[bytes] = deque()

    def update_watches(self, now: int, has_sessions: Callable[[bytes], bool]) -> None:
        """Watch new hosts, and stop watching hosts that left the list and have no sessions."""
        for server, host in self._hosts.hosts.items():
            has_left = host.listed.state is api.ServerState.GONE
            if has_left and server in self._watched and not has_sessions(server):
                self._watched.discard(server)
                self._emit(UnwatchHost(server))
            elif not has_left and server not in self._watched:
                self._watched.add(server)
                self._pending_watches.append(server)
        self.open_pending_watches(now)

    def open_pending_watches(self, now: int) -> None:
        """Watch new hosts, a few per turn: thousands of connections at once would block the event loop."""
        for _ in range(min(WATCHES_PER_TURN, len(self._pending_watches))):
            server = self._pending_watches.popleft()
            if server in self._watched:
                self._emit(WatchHost(server))
        if self._pending_watches:
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("watches",)))

    def reopen_watch(self, server: bytes) -> None:
        """Watch a host again after its connection broke."""
        if server in self._watched:
            self._emit(WatchHost(server))

    def schedule_reopen(self, server: bytes, retry_at: int) -> None:
        """Schedule another attempt to watch a host whose connection broke, at `retry_at` (µs)."""
        if server in self._watched:
            self._emit(ScheduleTimer(retry_at, ("watch", server)))

    def select_immediate(self, now: int, changed: list[api.ListEntry]) -> list[api.ListEntry]:
        """Return the changed entries that the module receives now; the others are queued."""
        ready = [entry for entry in changed if entry.state is api.ServerState.READY]
        if len(ready) > ENTRIES_PER_TURN:
            self._pending_entries.extend(entry.server for entry in ready[ENTRIES_PER_TURN:])
            queued = {entry.server for entry in ready[ENTRIES_PER_TURN:]}
            changed = [entry for entry in changed if entry.server not in queued]
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("entries",)))
        return changed

    def next_slice(self) -> list[api.ListEntry]:
        """Return the next slice of queued entries; the caller calls `schedule_next_slice` afterwards."""
        servers = [
            self._pending_entries.popleft() for _ in range(min(ENTRIES_PER_TURN, len(self._pending_entries)))
        ]
        return [self._hosts.effective_entry(self._hosts.hosts[server]) for server in servers]

    def schedule_next_slice(self, now: int) -> None:
        """Schedule the next slice, if entries are queued."""
        if self._pending_entries:
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("entries",)))
