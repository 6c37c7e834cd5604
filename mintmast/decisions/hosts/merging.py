"""What the gateway believes of the list of servers: several sources, merged.

Pure: time and versions are handed in. A source gives whole versions, already checked. The merger keeps the
last good one of each, and says which entries change. Its defences, each with what it is for:

* Self-preservation. Danger: a registry that returns half of its list for a moment empties the fleet. A
  version that drops more than `SHARE` of the ready servers without saying that they are gone is held back for
  `HOLD`, or until another source has dropped them too or the hosts themselves refuse connections. Also guards
  against an operator's file saved half edited. May hurt when half of the fleet really leaves without a word:
  its servers are tried for that long.
* An explicit drain or gone is taken at once, from any source, whatever the others say. May hurt if one source
  is wrong: the server is left alone until that source says otherwise.
* Flapping. Danger: an entry that comes and goes sends viewers to a server that is not there. After `FLAPS`
  losses in `FLAP_SPAN` it counts as ready only when it has been so for `STEADY`. May hurt a server restarted
  by hand several times.
* Silence is no news: a source that fails keeps its last version, and its age is told.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# part of the ready servers, and how many at least, that a version may drop without a word: releases take a
# fifth of a fleet at a time, and a fleet of few servers loses one at any time
MAX_DROPPED_SHARE, MIN_DROPPED = 0.3, 2
# µs for which such a version is held back: several polls of any source, and the time in which hosts that are
# really gone have refused a connection
HOLD_US = 10 * SECOND
# losses in a span (µs) after which an entry is taken for flapping, and how long it must then be there (µs)
FLAP_LOSSES, FLAP_WINDOW_US, STEADY_US = 3, 60 * SECOND, 10 * SECOND


@dataclass(slots=True)
class Source:
    """One source as the merger knows it."""

    name: str
    entries: dict[bytes, ListEntry] | None = None  # the one in force
    last_read_at: int = 0  # when it was last heard well, µs
    held_back: dict[bytes, ListEntry] | None = None  # a version that drops too much
    held_back_since: int = 0
    fault: str = ""  # why the last try was in vain, '' where it was not


@dataclass(slots=True)
class _FlapHistory:
    losses: list[int] = field(default_factory=list)
    ready_since: int = 0


class Merger:
    """Merges sources; the earlier ones of `names` tell an entry's attributes where several have it."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.sources = {name: Source(name) for name in names}
        self.merged: dict[bytes, ListEntry] = {}
        self.refusing: set[bytes] = set()
        self.notes: list[str] = []  # what was decided in the last call, for the log
        self._history: dict[bytes, _FlapHistory] = {}

    def update_source(self, now: int, name: str, entries: tuple[ListEntry, ...]) -> list[ListEntry]:
        """Take a checked version of a source; give the entries that change, those gone marked so."""
        self.notes = []
        source = self.sources[name]
        version = {entry.server: entry for entry in entries}
        source.last_read_at, source.fault = now, ""
        held_since = source.held_back_since if source.held_back is not None else now
        if self._drops_too_many(source, version) and now - held_since < HOLD_US:
            if source.held_back is None:
                self.notes.append(f"{name}: a version that drops too many servers is held back")
            source.held_back, source.held_back_since = version, held_since
            # what it says aloud, and what it adds, is taken all the same
            source.entries = {**(source.entries or {}), **version}
        else:
            source.entries, source.held_back = version, None
        return self._merge(now)

    def mark_failed(self, now: int, name: str, fault: str) -> list[ListEntry]:
        """Take note that a source could not be read; its last version stays."""
        self.notes = []
        self.sources[name].fault = fault
        return self._merge(now)

    def set_refusing(self, now: int, server: bytes, refuses: bool) -> list[ListEntry]:
        """Take a host's own evidence: it refuses connections, or is there again."""
        self.notes = []
        (self.refusing.add if refuses else self.refusing.discard)(server)
        return self.tick(now)

    def tick(self, now: int) -> list[ListEntry]:
        """Let time pass: what was held back may be due."""
        for source in self.sources.values():
            if source.held_back is None:
                continue
            if now - source.held_back_since >= HOLD_US or not self._drops_too_many(source, source.held_back):
                self.notes.append(f"{source.name}: the version held back is in force")
                source.entries, source.held_back = source.held_back, None
        return self._merge(now)

    def next_change_at(self, now: int) -> int | None:
        """Give the time at which `tick` may change something; None for never."""
        times = [
            source.held_back_since + HOLD_US
            for source in self.sources.values()
            if source.held_back is not None
        ]
        times += [
            each.ready_since + STEADY_US for each in self._history.values() if self._is_flapping(now, each)
        ]
        return min((at for at in times if at > now), default=None)

    def _drops_too_many(self, source: Source, version: dict[bytes, ListEntry]) -> bool:
        old = source.entries or {}
        ready = [server for server, entry in old.items() if entry.state is ServerState.READY]
        dropped = [server for server in ready if server not in version and server not in self.refusing]
        others = [each for each in self.sources.values() if each is not source and each.entries is not None]
        if others:  # a second opinion: what another source does not have either is not missed
            dropped = [s for s in dropped if any(s in (each.entries or {}) for each in others)]
        return len(dropped) >= MIN_DROPPED and len(dropped) > MAX_DROPPED_SHARE * len(ready)

    def _merge(self, now: int) -> list[ListEntry]:
        merged: dict[bytes, ListEntry] = {}
        for source in self.sources.values():
            for server, entry in (source.entries or {}).items():
                first = merged.get(server)
                if first is None:
                    merged[server] = entry
                    continue
                started = max(first.started, entry.started)
                state = first.state if first.state is not ServerState.READY else entry.state
                merged[server] = replace(first, state=state, started=started)
        changed = []
        for server, old in self.merged.items():
            if server not in merged:
                merged[server] = replace(old, state=ServerState.GONE)
        for server, entry in merged.items():
            entry = self._dampen_flapping(now, entry)
            if self.merged.get(server) != entry:
                self.merged[server] = entry
                changed.append(entry)
        return changed

    def _dampen_flapping(self, now: int, entry: ListEntry) -> ListEntry:
        history = self._history.setdefault(entry.server, _FlapHistory())
        if entry.state is not ServerState.READY:
            if history.ready_since:
                history.losses = [at for at in history.losses if at > now - FLAP_WINDOW_US] + [now]
            history.ready_since = 0
            return entry
        if not history.ready_since:
            history.ready_since = now
        if self._is_flapping(now, history) and now - history.ready_since < STEADY_US:
            self.notes.append(f"{entry.server.decode()}: flaps, and is not used until it is steady")
            return replace(entry, state=ServerState.DRAINING)
        return entry

    @staticmethod
    def _is_flapping(now: int, history: _FlapHistory) -> bool:
        return sum(at > now - FLAP_WINDOW_US for at in history.losses) >= FLAP_LOSSES
