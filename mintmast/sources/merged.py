"""Merges the sources of one gateway's server list and passes the changes on."""

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
from mintmast.sources.fixed import ListListener, SavedList


class MergedList:
    """The list merged from a watched file, a registry or both.

    A gateway that starts while no source can be read uses the saved copy of the last list.
    """

    def __init__(
        self,
        loop: Loop,
        settings: dict[str, Any],
        fleet: dict[str, Any],
        seed: int,
        saved: SavedList | None,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.saved, self._log = loop, saved, log
        names = tuple(name for name in ("file", "registry") if name in settings)
        self.merger = Merger(names)
        self.version = 0
        self._on_list: ListListener | None = None
        self._timer: Timer | None = None
        interval = settings["every_ms"] * 1000
        self._sources: list[WatchedFile | EurekaSource] = []
        if "file" in settings:
            on_list, on_failure = partial(self._update, "file"), partial(self._mark_failed, "file")
            path = Path(settings["file"])
            self._sources.append(WatchedFile(loop, path, interval, fleet, on_list, on_failure))
        if "registry" in settings:
            on_list, on_failure = partial(self._update, "registry"), partial(self._mark_failed, "registry")
            registry = settings["registry"]
            addresses = tuple(registry["addresses"])
            app = registry["app"]
            self._sources.append(EurekaSource(loop, addresses, app, interval, seed, on_list, on_failure, log))

    def start(self, on_list: ListListener) -> None:
        """Pass on the saved list, and start the sources."""
        self._on_list = on_list
        cached = self.saved.load() if self.saved is not None else None
        if cached:
            self.version += 1
            self.merger.merged = {entry.server: entry for entry in cached}
            on_list(ListKind.CACHED, self.version, cached)
        for source in self._sources:
            source.start()

    def refresh(self) -> None:
        """Pass on the whole merged list again."""
        if self._on_list is not None:
            self._on_list(ListKind.FULL, self.version, tuple(self.merger.merged.values()))

    def state(self) -> dict[str, Any]:
        """Return, by source: servers in use, seconds since its last good read, fault, removals held."""
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

    def _update(self, name: str, entries: tuple[ListEntry, ...]) -> None:
        self._handle_changes(self.merger.update_source(self.loop.now(), name, entries))

    def _mark_failed(self, name: str, fault: str) -> None:
        if self.merger.sources[name].fault != fault:
            self._log("list_not_taken", source=name, reason=fault)
        self._handle_changes(self.merger.mark_failed(self.loop.now(), name, fault))

    def record_refusal(self, server: bytes, refuses: bool) -> None:
        """Record whether a host refuses connections, after the callback that observed it has returned."""
        self.loop.call_soon(self._set_refusing, server, refuses)

    def _set_refusing(self, server: bytes, refuses: bool) -> None:
        self._handle_changes(self.merger.set_refusing(self.loop.now(), server, refuses))

    def _tick(self) -> None:
        self._handle_changes(self.merger.tick(self.loop.now()))

    def _handle_changes(self, changed: list[ListEntry]) -> None:
        for note in self.merger.notes:
            self._log("list_note", text=note)
        if changed and self._on_list is not None:
            self.version += 1
            self._log("list_changed", version=self.version, entries=len(changed))
            self._on_list(ListKind.DELTA, self.version, tuple(changed))
            if self.saved is not None:
                self.saved.save(tuple(self.merger.merged.values()))
        due = self.merger.next_change_at(self.loop.now())
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(due, self._tick) if due is not None else None
