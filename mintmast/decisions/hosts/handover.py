"""Handover of the host list to the module: removals and drains at once, long lists in bounded slices."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mintmast import interface as api
from mintmast.decisions.hosts.hostwatch import HostWatch
from mintmast.decisions.messages import Unwatch, Wake, Watch

# for a long list: entries handed to the module per turn, watches opened per turn, and µs between such turns.
# A list of 10,000 takes half a second, and viewers are answered meanwhile
ENTRIES_AT_ONCE, WATCHED_AT_ONCE, SLICE_EVERY = 500, 50, 2_000


class HandOver:
    """List entries that the module has not received yet, and the hosts that are watched."""

    def __init__(self, watch: HostWatch, emit: Callable[[object], None]) -> None:
        self._watch, self._emit = watch, emit
        self._watched: set[bytes] = set()
        self._to_watch: deque[bytes] = deque()
        self._to_tell: deque[bytes] = deque()

    def lines(self, now: int, plays: Callable[[bytes], bool]) -> None:
        """Watch new hosts, and stop watching hosts that left the list and have no sessions."""
        for server, host in self._watch.hosts.items():
            gone = host.listed.state is api.ServerState.GONE
            if gone and server in self._watched and not plays(server):
                self._watched.discard(server)
                self._emit(Unwatch(server))
            elif not gone and server not in self._watched:
                self._watched.add(server)
                self._to_watch.append(server)
        self.more_lines(now)

    def more_lines(self, now: int) -> None:
        """Watch new hosts, a few per turn: thousands of connections at once would block the event loop."""
        for _ in range(min(WATCHED_AT_ONCE, len(self._to_watch))):
            server = self._to_watch.popleft()
            if server in self._watched:
                self._emit(Watch(server))
        if self._to_watch:
            self._emit(Wake(now + SLICE_EVERY, ("watches",)))

    def line_again(self, server: bytes) -> None:
        """Watch a host again after its connection broke."""
        if server in self._watched:
            self._emit(Watch(server))

    def line_lost(self, server: bytes, again: int) -> None:
        """Schedule another attempt to watch a host whose connection broke, at `again` (µs)."""
        if server in self._watched:
            self._emit(Wake(again, ("watch", server)))

    def first(self, now: int, changed: list[api.ListEntry]) -> list[api.ListEntry]:
        """Return the changed entries that the module receives now; the others are queued."""
        ready = [entry for entry in changed if entry.state is api.ServerState.READY]
        if len(ready) > ENTRIES_AT_ONCE:
            self._to_tell.extend(entry.server for entry in ready[ENTRIES_AT_ONCE:])
            later = {entry.server for entry in ready[ENTRIES_AT_ONCE:]}
            changed = [entry for entry in changed if entry.server not in later]
            self._emit(Wake(now + SLICE_EVERY, ("entries",)))
        return changed

    def next(self) -> list[api.ListEntry]:
        """Return the next slice of queued entries; the caller calls `schedule_next_slice` afterwards."""
        some = [self._to_tell.popleft() for _ in range(min(ENTRIES_AT_ONCE, len(self._to_tell)))]
        return [self._watch.entry(self._watch.hosts[server]) for server in some]

    def rest(self, now: int) -> None:
        """Schedule the next slice, if entries are queued."""
        if self._to_tell:
            self._emit(Wake(now + SLICE_EVERY, ("entries",)))
