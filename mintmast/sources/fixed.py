"""The list from the settings, and the saved copy that survives a restart."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

from mintmast.interface import ListEntry, ListKind, ServerState

Tell = Callable[[ListKind, int, tuple[ListEntry, ...]], None]


class FixedList:
    """A list that is told once, and again when asked."""

    def __init__(self, entries: tuple[ListEntry, ...], saved: SavedList | None = None) -> None:
        self.entries, self.saved, self.version = entries, saved, 1
        self._tell: Tell | None = None

    def start(self, tell: Tell) -> None:
        """Begin: the saved list first, then the one of the settings."""
        self._tell = tell
        cached = self.saved.load() if self.saved is not None else None
        if cached:
            tell(ListKind.CACHED, 0, cached)
        self.refresh()

    def refresh(self) -> None:
        """Tell the whole list."""
        if self._tell is not None:
            self._tell(ListKind.FULL, self.version, self.entries)
        if self.saved is not None:
            self.saved.save(self.entries)

    def change(self, entries: tuple[ListEntry, ...]) -> None:
        """Take another list; who is not on it any more is gone."""
        self.entries, self.version = entries, self.version + 1
        self.refresh()

    def record_refusal(self, server: bytes, refuses: bool) -> None:
        """Nothing: the settings are not in doubt."""


class SavedList:
    """The last list in a file, written whole or not at all. Errors are told, not raised."""

    def __init__(self, path: Path, say: Callable[..., None] = lambda event, **fields: None) -> None:
        self.path, self.say = path, say

    def load(self) -> tuple[ListEntry, ...] | None:
        """Give the saved list; None where there is none that can be read."""
        try:
            rows = json.loads(self.path.read_text(encoding="utf-8"))
            return tuple(
                ListEntry(str(r[0]).encode(), ServerState(r[1]), int(r[2]), *map(int, r[3:6]), float(r[6]))
                for r in rows
            )
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, IndexError, RecursionError) as error:
            self.say("saved_list_unreadable", path=str(self.path), error=str(error))
            return None

    def save(self, entries: tuple[ListEntry, ...]) -> None:
        """Write the list beside the old one, then rename it over."""
        rows = [
            [e.server.decode(), int(e.state), e.started, e.cell, e.zone, e.kind, e.weight] for e in entries
        ]
        beside = self.path.with_suffix(".new")
        try:
            beside.write_text(json.dumps(rows), encoding="utf-8")
            beside.replace(self.path)
        except OSError as error:
            self.say("saved_list_unwritten", path=str(self.path), error=str(error))
