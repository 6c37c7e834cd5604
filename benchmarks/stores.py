"""Engines for durable records weighed: `python -m benchmarks.stores`.

Each makes the same records durable before it goes on: SQLite as the store uses it, LMDB by its binding, and
an append-only log by hand (msgspec, zlib's CRC-32, fsync). Commits of one record and of a hundred, times of a
commit, recovery of many records, size of the file. On one disk, one after the other.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import lmdb
import msgspec

from mintmast.decisions.gateways.records import Grant, RecordKind, StoredRecord, recover_state
from mintmast.store import Engine


def record(number: int) -> StoredRecord:
    """Give a record as a witness writes it."""
    grant = Grant("gw1/18bcfe56800", number, 10**13 + number)
    return StoredRecord(RecordKind.GRANT.value, f"{number:032x}", msgspec.msgpack.encode(grant))


class Sqlite:
    """The store's own engine."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "a.store"
        self.engine = Engine(str(self.path), "gw1")

    def write(self, records: list[StoredRecord]) -> None:
        """Make durable."""
        self.engine.write(records)

    def read(self) -> list[StoredRecord]:
        """Read all, as at a start."""
        self.engine.close()
        self.engine = Engine(str(self.path), "gw1")
        return list(self.engine.rows())


class Lmdb:
    """LMDB: a memory-mapped tree; a commit ends with a flush."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "lmdb"
        self.env = lmdb.open(str(self.path), map_size=1 << 31)

    def write(self, records: list[StoredRecord]) -> None:
        """Make durable."""
        with self.env.begin(write=True) as batch:
            for each in records:
                batch.put(f"{each.kind}/{each.key}".encode(), each.value or b"")

    def read(self) -> list[StoredRecord]:
        """Read all, as at a start."""
        self.env.close()
        self.env = lmdb.open(str(self.path), map_size=1 << 31)
        with self.env.begin() as look:
            rows = [(key.decode().partition("/"), value) for key, value in look.cursor()]
        return [StoredRecord(kind, key, value) for (kind, _, key), value in rows]


class Log:
    """An append-only log: length, checksum, record; what is last counts."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "log"
        self.file = open(self.path, "ab")  # noqa: SIM115 - kept open over commits

    def write(self, records: list[StoredRecord]) -> None:
        """Make durable."""
        for each in records:
            data = msgspec.msgpack.encode((each.kind, each.key, each.value))
            self.file.write(len(data).to_bytes(4) + zlib.crc32(data).to_bytes(4) + data)
        self.file.flush()
        os.fsync(self.file.fileno())

    def read(self) -> list[StoredRecord]:
        """Read all, as at a start."""
        data, at, found = self.path.read_bytes(), 0, {}
        while at + 8 <= len(data):
            length = int.from_bytes(data[at : at + 4])
            body = data[at + 8 : at + 8 + length]
            if zlib.crc32(body) != int.from_bytes(data[at + 4 : at + 8]):
                break
            kind, key, value = msgspec.msgpack.decode(body)
            found[kind, key] = StoredRecord(kind, key, value)
            at += 8 + length
        return list(found.values())


def measure(make: Callable[[Path], Any], commits: int, many: int) -> dict[str, float]:
    """Play one engine."""
    with tempfile.TemporaryDirectory(prefix="mintmast-stores-") as name:
        engine, number = make(Path(name)), 0
        told: dict[str, float] = {}
        for size in (1, 100):
            times = []
            for _ in range(commits):
                batch = [record(number + n) for n in range(size)]
                number += size
                began = time.perf_counter()
                engine.write(batch)
                times.append(time.perf_counter() - began)
            told[f"records/s by {size}"] = size * commits / sum(times)
            told[f"commit of {size}, p50 ms"] = 1000 * statistics.median(times)
            told[f"commit of {size}, p99 ms"] = 1000 * statistics.quantiles(times, n=100)[98]
        for first in range(number, many, 10_000):
            engine.write([record(n) for n in range(first, min(first + 10_000, many))])
        began = time.perf_counter()
        rows = engine.read()
        told["read all s"] = time.perf_counter() - began
        began = time.perf_counter()
        assert len(recover_state(rows).grants) == max(number, many)
        told["recover s"] = time.perf_counter() - began
        size = sum(each.stat().st_blocks * 512 for each in Path(name).rglob("*") if each.is_file())
        told["bytes a record"] = size / max(number, many)
        return told


@click.command()
@click.option("--commits", default=1000, show_default=True, help="Commits of each size.")
@click.option("--records", default=1_000_000, show_default=True, help="Records to be read at a start.")
def main(commits: int, records: int) -> None:
    """Print one table."""
    columns: list[str] = []
    for name, make in (("SQLite", Sqlite), ("LMDB", Lmdb), ("log by hand", Log)):
        row = measure(make, commits, records)
        if not columns:
            columns = list(row)
            print("| engine | " + " | ".join(columns) + " |")
            print("| --- " * (1 + len(columns)) + "|")
        print(f"| {name} | " + " | ".join(f"{row[each]:.3g}" for each in columns) + " |", flush=True)


if __name__ == "__main__":
    main()
