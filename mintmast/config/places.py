"""Numbers of names over changes of the settings: a class, tenant or title keeps its own for a process's life.

The module and the book know a class, a tenant and a title by its place. What is taken out of the settings
keeps its place and its last figures, for the sessions that play on; nothing new is let in under it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from mintmast.config.load import Config, ConfigError, Title, entry_of, filled, sense, settings_of, title_of
from mintmast.config.schema import SCHEMA
from mintmast.config.shared import Document, merged

# titles taken out that are remembered before numbers that no session uses are given to others. Danger: a
# catalogue of clips that come and go grows without end
MOST_GONE = 10_000


class Places:
    """The numbers of one process; `config` is what it began with."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.names: dict[str, list[str]] = {
            "classes": list(config.classes),
            "tenants": list(config.tenants),
            "titles": [each.name for each in config.titles.values()],
        }
        self.gone: dict[str, Title] = {}  # the longest gone first
        self._free: list[int] = []  # numbers of titles that stand for none
        self._last = {
            part: {each["name"]: each for each in config.raw[part]} for part in ("classes", "tenants")
        }

    def bring_back(self, titles: dict[str, dict[str, Any]]) -> None:
        """Give numbers to titles that an earlier life here took out: its sessions may still play."""
        for name, told in titles.items():
            if name not in self.config.titles and name not in self.gone:
                self.gone[name] = title_of(self._number("titles", name), name, told)

    def take_up(self, told: Document, used: Callable[[], set[int]] = set) -> Config:
        """Give the settings with a document's parts in them, and keep them.

        `used` gives the numbers of titles of sessions. Raises ConfigError where they do not suit this
        gateway: then nothing has changed.
        """
        before = self.config
        raw = merged(before.raw, told)
        raw["classes"] = [_full("classes", each) for each in raw["classes"]]
        raw["tenants"] = [_full("tenants", each) for each in raw["tenants"]]
        same = raw["servers"] == before.raw["servers"]
        if not same:
            raw["servers"] = [_full("servers", each) for each in raw["servers"]]
        faults = list(sense(raw))
        for each in raw["classes"]:
            known = self._last["classes"].get(each["name"])
            if known is not None and known["effect"] != each["effect"]:
                faults.append(f"classes/{each['name']}/effect: sessions here began with {known['effect']}")
        if faults:
            raise ConfigError(faults)
        for part, last in self._last.items():
            last |= {each["name"]: each for each in raw[part]}
            self._number_all(part, last)
        titles = self._titles(raw["titles"])
        if len(self.gone) > MOST_GONE:
            self._sweep(used())
        placed = {part: [last[name] for name in self.names[part]] for part, last in self._last.items()}
        self.config = Config(
            raw,
            settings_of({**raw, **placed}),
            titles,
            self._offered("classes", raw),
            self._offered("tenants", raw),
            before.entries if same else tuple(entry_of(each) for each in raw["servers"]),
        )
        return self.config

    def _titles(self, told: dict[str, Any]) -> dict[str, Title]:
        """Give the titles on offer; those of before that did not change are the same objects."""
        before, was = self.config.titles, self.config.raw["titles"]
        titles = {}
        for name, each in told.items():
            known = before.get(name)
            if known is None:
                known = self.gone.pop(name, None)
                number = self._number("titles", name) if known is None else known.number
                titles[name] = title_of(number, name, each)
            elif each == was[name]:
                titles[name] = known
            else:
                titles[name] = title_of(known.number, name, each)
        self.gone |= {name: known for name, known in before.items() if name not in titles}
        return titles

    def _number(self, part: str, name: str) -> int:
        names = self.names[part]
        if part == "titles" and self._free:
            number = self._free.pop()
            names[number] = name
            return number
        names.append(name)
        return len(names) - 1

    def _number_all(self, part: str, names: Collection[str]) -> None:
        known = set(self.names[part])
        for name in names:
            if name not in known:
                self._number(part, name)

    def _offered(self, part: str, raw: dict[str, Any]) -> dict[str, int]:
        here = {each["name"] for each in raw[part]}
        return {name: place for place, name in enumerate(self.names[part]) if name in here}

    def _sweep(self, used: set[int]) -> None:
        """Forget titles that are gone and that no session plays."""
        for name, title in list(self.gone.items()):
            if title.number not in used:
                del self.gone[name]
                self._free.append(title.number)


def _full(part: str, entry: dict[str, Any]) -> dict[str, Any]:
    return filled(SCHEMA["properties"][part]["items"], entry)
