"""Hand-over of the list: what must stop at once goes to the module at once, the rest in bounded steps."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mintmast import interface as api
from mintmast.decisions.hosts.hostwatch import HostWatch
from mintmast.decisions.messages import Unwatch, Wake, Watch

# of a long list, entries that the module gets in a turn, lines opened in a turn, and µs between two such
# turns: a list of 10,000 is through in half a second, and viewers are answered meanwhile
ENTRIES_AT_ONCE, WATCHED_AT_ONCE, SLICE_EVERY = 500, 50, 2_000


class HandOver:
    """What of the list the module has not heard yet, and which hosts have a line."""

    def __init__(self, watch: HostWatch, emit: Callable[[object], None]) -> None:
        self._watch, self._emit = watch, emit
        self._watched: set[bytes] = set()
        self._to_watch: deque[bytes] = deque()
        self._to_tell: deque[bytes] = deque()

    def lines(self, now: int, plays: Callable[[bytes], bool]) -> None:
        """Open lines to hosts that are new, and close those to hosts that are gone and hold nothing."""
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
        """Open lines to new hosts, a few in a turn: thousands of connections at once would stop the loop."""
        for _ in range(min(WATCHED_AT_ONCE, len(self._to_watch))):
            server = self._to_watch.popleft()
            if server in self._watched:
                self._emit(Watch(server))
        if self._to_watch:
            self._emit(Wake(now + SLICE_EVERY, ("watches",)))

    def line_again(self, server: bytes) -> None:
        """Open a line that broke."""
        if server in self._watched:
            self._emit(Watch(server))

    def line_lost(self, server: bytes, again: int) -> None:
        """See to it that a broken line is tried again at `again`."""
        if server in self._watched:
            self._emit(Wake(again, ("watch", server)))

    def first(self, now: int, changed: list[api.ListEntry]) -> list[api.ListEntry]:
        """Give those of the changed entries that the module hears now; the others are kept for later."""
        ready = [entry for entry in changed if entry.state is api.ServerState.READY]
        if len(ready) > ENTRIES_AT_ONCE:
            self._to_tell.extend(entry.server for entry in ready[ENTRIES_AT_ONCE:])
            later = {entry.server for entry in ready[ENTRIES_AT_ONCE:]}
            changed = [entry for entry in changed if entry.server not in later]
            self._emit(Wake(now + SLICE_EVERY, ("entries",)))
        return changed

    def next(self) -> list[api.ListEntry]:
        """Give the next slice, each entry as it is believed by now; `rest` is to be called after."""
        some = [self._to_tell.popleft() for _ in range(min(ENTRIES_AT_ONCE, len(self._to_tell)))]
        return [self._watch.entry(self._watch.hosts[server]) for server in some]

    def rest(self, now: int) -> None:
        """Wake for the slice after."""
        if self._to_tell:
            self._emit(Wake(now + SLICE_EVERY, ("entries",)))
