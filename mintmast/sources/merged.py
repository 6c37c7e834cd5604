"""The sources of one gateway: versions go to the merger, its changes to the core."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from mintmast.decisions.hosts.merging import Merger
from mintmast.interface import ListEntry, ListKind
from mintmast.loop import Loop, Timer
from mintmast.sources.eureka import EurekaSource
from mintmast.sources.files import WatchedFile
from mintmast.sources.fixed import SavedList, Tell


class MergedList:
    """A watched file, a registry, or both; the saved copy of the last list for a start without them."""

    def __init__(
        self,
        loop: Loop,
        told: dict[str, Any],
        fleet: dict[str, Any],
        seed: int,
        saved: SavedList | None,
        say: Callable[..., None],
    ) -> None:
        self.loop, self.saved, self.say = loop, saved, say
        names = tuple(name for name in ("file", "registry") if name in told)
        self.merger = Merger(names)
        self.version = 0
        self._tell: Tell | None = None
        self._timer: Timer | None = None
        every = told["every_ms"] * 1000
        self._sources: list[WatchedFile | EurekaSource] = []
        if "file" in told:
            good, bad = partial(self._good, "file"), partial(self._bad, "file")
            self._sources.append(WatchedFile(loop, Path(told["file"]), every, fleet, good, bad))
        if "registry" in told:
            good, bad = partial(self._good, "registry"), partial(self._bad, "registry")
            registry = told["registry"]
            addresses = tuple(registry["addresses"])
            self._sources.append(EurekaSource(loop, addresses, registry["app"], every, seed, good, bad, say))

    def start(self, tell: Tell) -> None:
        """Begin: the saved list first, then the sources."""
        self._tell = tell
        cached = self.saved.load() if self.saved is not None else None
        if cached:
            self.version += 1
            self.merger.merged = {entry.server: entry for entry in cached}
            tell(ListKind.CACHED, self.version, cached)
        for source in self._sources:
            source.start()

    def refresh(self) -> None:
        """Tell the whole list as it is believed."""
        if self._tell is not None:
            self._tell(ListKind.FULL, self.version, tuple(self.merger.merged.values()))

    def state(self) -> dict[str, Any]:
        """Tell of each source: servers in force, seconds since it was well, what is wrong, what is held."""
        now = self.loop.now()
        return {
            name: {
                "servers": len(source.entries or {}),
                "age_s": (now - source.last_read_at) / 1e6 if source.last_read_at else None,
                "fault": source.fault,
                "held_back": len(source.held_back) if source.held_back is not None else None,
            }
            for name, source in self.merger.sources.items()
        }

    def _good(self, name: str, entries: tuple[ListEntry, ...]) -> None:
        self._changed(self.merger.update_source(self.loop.now(), name, entries))

    def _bad(self, name: str, fault: str) -> None:
        if self.merger.sources[name].fault != fault:
            self.say("list_not_taken", source=name, reason=fault)
        self._changed(self.merger.mark_failed(self.loop.now(), name, fault))

    def record_refusal(self, server: bytes, refuses: bool) -> None:
        """Take a host's own evidence; in a turn of its own, as it comes from the midst of another."""
        self.loop.call_soon(self._refuses, server, refuses)

    def _refuses(self, server: bytes, refuses: bool) -> None:
        self._changed(self.merger.set_refusing(self.loop.now(), server, refuses))

    def _tick(self) -> None:
        self._changed(self.merger.tick(self.loop.now()))

    def _changed(self, changed: list[ListEntry]) -> None:
        for note in self.merger.notes:
            self.say("list_note", text=note)
        if changed and self._tell is not None:
            self.version += 1
            self.say("list_changed", version=self.version, entries=len(changed))
            self._tell(ListKind.DELTA, self.version, tuple(changed))
            if self.saved is not None:
                self.saved.save(tuple(self.merger.merged.values()))
        due = self.merger.next_change_at(self.loop.now())
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(due, self._tick) if due is not None else None
