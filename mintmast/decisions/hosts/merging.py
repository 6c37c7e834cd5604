"""List of servers merged from several sources.

Performs no I/O: time and versions are passed in. A source supplies complete, validated versions. The merger
keeps the last valid one of each source and returns the entries that changed. Its protections:

* Self-preservation: a registry that returns half of its list for a moment must not empty the fleet. A version
  that drops more than `MAX_DROPPED_SHARE` of the ready servers without marking them as gone is held back for
  `HOLD_US`, or until another source has dropped them too or the hosts themselves refuse connections. This
  also covers an operator's file saved half edited. Cost: if half of the fleet really leaves without notice,
  its servers are tried for that long.
* An explicit drain or removal is applied at once, from any source, whatever the others report. Cost: if one
  source is wrong, the server is unused until that source corrects it.
* Flap damping: an entry that comes and goes would send viewers to a server that is not there. After
  `FLAP_LOSSES` losses within `FLAP_WINDOW_US` it counts as ready only after it was ready for `STEADY_US`.
  Cost: a server restarted by hand several times is used late.
* A failing source keeps its last version, whose age is reported.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from mintmast.interface import ListEntry, ServerState

SECOND = 1_000_000
# a version is held back if it drops more than this share of the ready servers and at least this many of them
# without notice: rollouts take a fifth of a fleet at a time, and a small fleet may lose one at any time
MAX_DROPPED_SHARE, MIN_DROPPED = 0.3, 2
# µs for which such a version is held back: several polls of any source, and long enough for hosts that are
# really gone to refuse a connection
HOLD_US = 10 * SECOND
# losses within a window (µs) that make an entry flapping, and how long it must then be ready (µs)
FLAP_LOSSES, FLAP_WINDOW_US, STEADY_US = 3, 60 * SECOND, 10 * SECOND


@dataclass(slots=True)
class Source:
    """State of one source."""

    name: str
    entries: dict[bytes, ListEntry] | None = None  # the version in force
    last_read_at: int = 0  # µs; last successful read
    held_back: dict[bytes, ListEntry] | None = None  # a version that drops too many servers
    held_back_since: int = 0
    fault: str = ""  # why the last read failed, "" if it succeeded


@dataclass(slots=True)
class _FlapHistory:
    losses: list[int] = field(default_factory=list)
    ready_since: int = 0


class Merger:
    """Merges sources; an entry in several sources has the attributes of the earliest one in `names`."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.sources = {name: Source(name) for name in names}
        self.merged: dict[bytes, ListEntry] = {}
        self.refusing: set[bytes] = set()
        self.notes: list[str] = []  # decisions of the last call, for the log
        self._history: dict[bytes, _FlapHistory] = {}

    def update_source(self, now: int, name: str, entries: tuple[ListEntry, ...]) -> list[ListEntry]:
        """Apply a validated version of a source; return the changed entries, removed ones marked as gone."""
        self.notes = []
        source = self.sources[name]
        version = {entry.server: entry for entry in entries}
        source.last_read_at, source.fault = now, ""
        held_since = source.held_back_since if source.held_back is not None else now
        if self._drops_too_many(source, version) and now - held_since < HOLD_US:
            if source.held_back is None:
                self.notes.append(f"{name}: version held back because it drops too many servers")
            source.held_back, source.held_back_since = version, held_since
            # its explicit states and its additions are applied all the same
            source.entries = {**(source.entries or {}), **version}
        else:
            source.entries, source.held_back = version, None
        return self._merge(now)

    def mark_failed(self, now: int, name: str, fault: str) -> list[ListEntry]:
        """Record that a source could not be read; its last version stays in force."""
        self.notes = []
        self.sources[name].fault = fault
        return self._merge(now)

    def set_refusing(self, now: int, server: bytes, is_refusing: bool) -> list[ListEntry]:
        """Record that a host refuses connections, or accepts them again."""
        self.notes = []
        (self.refusing.add if is_refusing else self.refusing.discard)(server)
        return self.tick(now)

    def tick(self, now: int) -> list[ListEntry]:
        """Put versions in force whose hold has expired; return the changed entries."""
        for source in self.sources.values():
            if source.held_back is None:
                continue
            if now - source.held_back_since >= HOLD_US or not self._drops_too_many(source, source.held_back):
                self.notes.append(f"{source.name}: version that was held back is now in force")
                source.entries, source.held_back = source.held_back, None
        return self._merge(now)

    def next_change_at(self, now: int) -> int | None:
        """Return the time (µs) at which `tick` may change something, None for never."""
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
        if others:  # a server that no other source has either is not missed
            dropped = [s for s in dropped if any(s in (each.entries or {}) for each in others)]
        return len(dropped) >= MIN_DROPPED and len(dropped) > MAX_DROPPED_SHARE * len(ready)

    def _merge(self, now: int) -> list[ListEntry]:
        merged: dict[bytes, ListEntry] = {}
        for source in self.sources.values():
            for server, entry in (source.entries or {}).items():
                known = merged.get(server)
                if known is None:
                    merged[server] = entry
                    continue
                started = max(known.started, entry.started)
                state = known.state if known.state is not ServerState.READY else entry.state
                merged[server] = replace(known, state=state, started=started)
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
            self.notes.append(f"{entry.server.decode()}: flapping, not used until it stays ready")
            return replace(entry, state=ServerState.DRAINING)
        return entry

    @staticmethod
    def _is_flapping(now: int, history: _FlapHistory) -> bool:
        return sum(at > now - FLAP_WINDOW_US for at in history.losses) >= FLAP_LOSSES
