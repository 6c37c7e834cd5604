"""The server list from the settings, and the saved copy that survives a restart."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

from mintmast.interface import ListEntry, ListKind, ServerState

# receives the kind of a list, its version and its entries
ListListener = Callable[[ListKind, int, tuple[ListEntry, ...]], None]


class FixedList:
    """A list that changes only with the settings."""

    def __init__(self, entries: tuple[ListEntry, ...], saved: SavedList | None = None) -> None:
        self.entries, self.saved, self.version = entries, saved, 1
        self._on_list: ListListener | None = None

    def start(self, on_list: ListListener) -> None:
        """Pass on the saved list, then the one from the settings."""
        self._on_list = on_list
        cached = self.saved.load() if self.saved is not None else None
        if cached:
            on_list(ListKind.CACHED, 0, cached)
        self.refresh()

    def refresh(self) -> None:
        """Pass on the whole list again."""
        if self._on_list is not None:
            self._on_list(ListKind.FULL, self.version, self.entries)
        if self.saved is not None:
            self.saved.save(self.entries)

    def change(self, entries: tuple[ListEntry, ...]) -> None:
        """Use another list; servers that it lacks are gone."""
        self.entries, self.version = entries, self.version + 1
        self.refresh()

    def record_refusal(self, server: bytes, refuses: bool) -> None:
        """Ignore a host's refusal: the settings are authoritative."""


class SavedList:
    """The last list in a file, replaced atomically. Errors are logged, not raised."""

    def __init__(self, path: Path, log: Callable[..., None] = lambda event, **fields: None) -> None:
        self.path, self._log = path, log

    def load(self) -> tuple[ListEntry, ...] | None:
        """Return the saved list, or None if there is none that can be read."""
        try:
            rows = json.loads(self.path.read_text(encoding="utf-8"))
            return tuple(
                ListEntry(str(r[0]).encode(), ServerState(r[1]), int(r[2]), *map(int, r[3:6]), float(r[6]))
                for r in rows
            )
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, IndexError, RecursionError) as error:
            self._log("saved_list_unreadable", path=str(self.path), error=str(error))
            return None

    def save(self, entries: tuple[ListEntry, ...]) -> None:
        """Write the list to a new file and rename it over the old one."""
        rows = [
            [e.server.decode(), int(e.state), e.started, e.cell, e.zone, e.kind, e.weight] for e in entries
        ]
        new_path = self.path.with_suffix(".new")
        try:
            new_path.write_text(json.dumps(rows), encoding="utf-8")
            new_path.replace(self.path)
        except OSError as error:
            self._log("saved_list_unwritten", path=str(self.path), error=str(error))
