"""Hand-over of the list: what must stop at once goes to the module at once, the rest in bounded steps."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mintmast import interface as api
from mintmast.decisions.hosts.host_state import HostStates
from mintmast.decisions.messages import ScheduleTimer, UnwatchHost, WatchHost

# of a long list, entries that the module gets in a turn, lines opened in a turn, and µs between two such
# turns: a list of 10,000 is through in half a second, and viewers are answered meanwhile
ENTRIES_PER_TURN, WATCHES_PER_TURN, SLICE_INTERVAL_US = 500, 50, 2_000


class ListHandover:
    """What of the list the module has not heard yet, and which hosts have a line."""

    def __init__(self, watch: HostStates, emit: Callable[[object], None]) -> None:
        self._hosts, self._emit = watch, emit
        self._watched: set[bytes] = set()
        self._pending_watches: deque[bytes] = deque()
        self._pending_entries: deque[bytes] = deque()

    def update_watches(self, now: int, plays: Callable[[bytes], bool]) -> None:
        """Open lines to hosts that are new, and close those to hosts that are gone and hold nothing."""
        for server, host in self._hosts.hosts.items():
            gone = host.listed.state is api.ServerState.GONE
            if gone and server in self._watched and not plays(server):
                self._watched.discard(server)
                self._emit(UnwatchHost(server))
            elif not gone and server not in self._watched:
                self._watched.add(server)
                self._pending_watches.append(server)
        self.open_pending_watches(now)

    def open_pending_watches(self, now: int) -> None:
        """Open lines to new hosts, a few in a turn: thousands of connections at once would stop the loop."""
        for _ in range(min(WATCHES_PER_TURN, len(self._pending_watches))):
            server = self._pending_watches.popleft()
            if server in self._watched:
                self._emit(WatchHost(server))
        if self._pending_watches:
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("watches",)))

    def reopen_watch(self, server: bytes) -> None:
        """Open a line that broke."""
        if server in self._watched:
            self._emit(WatchHost(server))

    def schedule_reopen(self, server: bytes, again: int) -> None:
        """See to it that a broken line is tried again at `again`."""
        if server in self._watched:
            self._emit(ScheduleTimer(again, ("watch", server)))

    def select_immediate(self, now: int, changed: list[api.ListEntry]) -> list[api.ListEntry]:
        """Give those of the changed entries that the module hears now; the others are kept for later."""
        ready = [entry for entry in changed if entry.state is api.ServerState.READY]
        if len(ready) > ENTRIES_PER_TURN:
            self._pending_entries.extend(entry.server for entry in ready[ENTRIES_PER_TURN:])
            later = {entry.server for entry in ready[ENTRIES_PER_TURN:]}
            changed = [entry for entry in changed if entry.server not in later]
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("entries",)))
        return changed

    def next_slice(self) -> list[api.ListEntry]:
        """Give the next slice, each entry as it is believed by now; `rest` is to be called after."""
        some = [
            self._pending_entries.popleft() for _ in range(min(ENTRIES_PER_TURN, len(self._pending_entries)))
        ]
        return [self._hosts.effective_entry(self._hosts.hosts[server]) for server in some]

    def schedule_next_slice(self, now: int) -> None:
        """Wake for the slice after."""
        if self._pending_entries:
            self._emit(ScheduleTimer(now + SLICE_INTERVAL_US, ("entries",)))
