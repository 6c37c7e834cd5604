"""`mintmast sources check`: the verdict on a file of servers, and the difference to the one in force."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from mintmast.config import ConfigError, load
from mintmast.interface import ListEntry
from mintmast.sources.files import read_servers


def check(file: str, settings: str) -> int:
    """Print the verdict; 0 good, 2 not."""
    try:
        config = load(settings)
        entries = _read(file, config)
    except ConfigError as error:
        for line in error.errors:
            print(f"mintmast: {line}", file=sys.stderr)
        return 2
    old: tuple[ListEntry, ...] = config.entries
    if (
        "file" in config.raw.get("list", {})
        and Path(config["list"]["file"]).resolve() != Path(file).resolve()
    ):
        try:
            old = _read(config["list"]["file"], config)
        except ConfigError:
            old = ()
    before = {entry.server: entry for entry in old}
    after = {entry.server: entry for entry in entries}
    for server in sorted(before.keys() | after.keys()):
        if before.get(server) != after.get(server):
            mark = "+" if server not in before else "-" if server not in after else "~"
            state = after[server].state.name.lower() if server in after else "not listed"
            print(f"{mark} {server.decode()} {state}")
    print(f"good: {len(entries)} servers")
    return 0


def _read(file: str, config) -> tuple[ListEntry, ...]:
    try:
        return read_servers(Path(file).read_bytes(), config["fleet"], 0, time.time())
    except OSError as error:
        raise ConfigError([f"{file}: cannot be read: {error.strerror}"]) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError([f"{file}: not JSON: {error}"]) from None
