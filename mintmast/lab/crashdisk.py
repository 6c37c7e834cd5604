"""A disk that crashes: what a power cut may leave of an engine's files, drawn from all that was written.

The engine runs over a virtual file system (apsw) that books each write, truncation, deletion and flush. A
crash keeps what was flushed; of what was not, any writes in any order, whole or torn at any byte, or none
(Pillai and others, OSDI 2014). The files are then laid out for real and opened as a start would.
"""

from __future__ import annotations

import random
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import apsw

# bytes that a disk writes at once or not at all, at the most; a write may also be torn anywhere
SECTOR = 512


class Step(Enum):
    """What the engine did to a file."""

    WRITE = "write"
    TRUNCATE = "truncate"
    DELETE = "delete"
    FLUSH = "flush"
    FOLDER = "folder"  # the names in the folder are flushed: what was deleted stays so


@dataclass(slots=True, frozen=True)
class Done:
    """One step; `at` is the offset of a write or the size after a truncation."""

    step: Step
    name: str
    at: int = 0
    data: bytes = b""


class _File(apsw.VFSFile):
    """A file whose steps are booked."""

    def __init__(self, disk: CrashDisk, name: Any, flags: Any) -> None:
        self._disk = disk
        self._name = Path(name.filename() if isinstance(name, apsw.URIFilename) else name).name
        self._fresh = bool(flags[0] & (apsw.SQLITE_OPEN_WAL | apsw.SQLITE_OPEN_MAIN_JOURNAL))
        super().__init__("", name, flags)

    def xWrite(self, data: Any, offset: int) -> None:  # noqa: N802, D102
        self._disk.may_fail()
        super().xWrite(data, offset)
        self._disk.steps.append(Done(Step.WRITE, self._name, offset, bytes(data)))

    def xTruncate(self, newsize: int) -> None:  # noqa: N802, D102
        super().xTruncate(newsize)
        self._disk.steps.append(Done(Step.TRUNCATE, self._name, newsize))

    def xSync(self, flags: int) -> None:  # noqa: N802, D102
        super().xSync(flags)
        if self._disk.flushes:
            self._disk.steps.append(Done(Step.FLUSH, self._name))
            if self._fresh:  # SQLite flushes the folder with the first flush of a new log
                self._disk.steps.append(Done(Step.FOLDER, ""))
            self._fresh = False


class CrashDisk(apsw.VFS):
    """A file system under one name. `full` is the part of writes for which there is no room.

    With `flushes` off the disk says that it flushed and did not: a mutation that the proof must find.
    """

    def __init__(self, name: str, seed: str, full: float = 0.0, flushes: bool = True) -> None:
        self.name, self.steps, self.flushes = name, [], flushes
        self.random, self.full = random.Random(seed), full
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: Any) -> _File:  # noqa: N802, D102
        return _File(self, name, flags)

    def xDelete(self, filename: str, syncdir: bool) -> None:  # noqa: N802, D102
        super().xDelete(filename, syncdir)
        self.steps.append(Done(Step.DELETE, Path(filename).name))
        if syncdir:
            self.steps.append(Done(Step.FOLDER, ""))

    def may_fail(self) -> None:
        """Find no room, by lot."""
        if self.random.random() < self.full:
            raise apsw.FullError("no room")

    def connect(self, uri: str, wait: float) -> Connection:
        """Open a file as the engine asks for it."""
        return Connection(uri, self.name)


class Connection:
    """As much of the standard library's connection as the engine uses, over a file system of ours."""

    def __init__(self, uri: str, name: str) -> None:
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE | apsw.SQLITE_OPEN_URI
        self._db = apsw.Connection(uri, flags=flags, vfs=name, statementcachesize=0)

    def execute(self, *what: Any) -> Any:
        """Carry a statement out. Raises sqlite3.Error."""
        return self._sure(self._db.execute, *what)

    def executescript(self, what: str) -> None:
        """Carry statements out to their ends. Raises sqlite3.Error."""
        self._sure(lambda: list(self._db.execute(what)))

    def __enter__(self) -> None:
        self._sure(self._db.__enter__)

    def __exit__(self, *error: Any) -> None:
        self._sure(self._db.__exit__, *error)

    @staticmethod
    def _sure(do: Callable[..., Any], *what: Any) -> Any:
        try:
            return do(*what)
        except apsw.Error as error:
            raise sqlite3.OperationalError(str(error)) from None

    def close(self) -> None:
        """Close it."""
        self._db.close(True)


@dataclass(slots=True)
class _Image:
    """A file as it is on the disk, and what of it is not flushed."""

    data: bytearray = field(default_factory=bytearray)
    there: bool = False
    loose: list[Done] = field(default_factory=list)

    def put(self, done: Done, length: int | None = None) -> None:
        if done.step is Step.TRUNCATE:
            del self.data[done.at :]
            self.data.extend(bytes(max(0, done.at - len(self.data))))
        elif done.step is Step.DELETE:
            self.data, self.there = bytearray(), False
        elif done.step is Step.WRITE:
            data = done.data if length is None else done.data[:length]
            self.data.extend(bytes(max(0, done.at - len(self.data))))
            self.data[done.at : done.at + len(data)] = data
            self.there = True

    def flush_name(self) -> None:
        """Take it that the folder was flushed: what was deleted last stays so."""
        for place in range(len(self.loose), 0, -1):
            if self.loose[place - 1].step is Step.DELETE:
                self.put(self.loose[place - 1])
                del self.loose[:place]
                return


def crash(steps: list[Done], after: int, draw: random.Random) -> dict[str, bytes]:
    """Give what a crash after so many steps may leave: by file name, its bytes.

    A file's name is durable with the first flush in its folder, as SQLite flushes that with a new log.
    """
    images: dict[str, _Image] = {}
    for done in steps[:after]:
        if done.step is Step.FOLDER:
            for image in images.values():
                image.flush_name()
            continue
        if done.step is Step.FLUSH:
            image = images.get(done.name)
            for each in image.loose if image is not None else ():
                image.put(each)
            if image is not None:
                image.loose.clear()
            continue
        images.setdefault(done.name, _Image()).loose.append(done)
    kind = draw.choice(("none", "all", "some", "torn"))
    for image in images.values():
        for done in image.loose:
            if kind == "none" or (kind in ("some", "torn") and draw.random() < 0.5):
                continue
            length = None
            if kind == "torn" and done.step is Step.WRITE and draw.random() < 0.5:
                sectors = draw.randrange(len(done.data) // SECTOR + 1) * SECTOR
                length = draw.choice((sectors, draw.randrange(len(done.data) + 1)))
            image.put(done, length)
    return {name: bytes(image.data) for name, image in images.items() if image.there}


def lay_out(files: dict[str, bytes], folder: Path) -> None:
    """Write the files of a crash into an empty folder."""
    for old in folder.iterdir():
        old.unlink()
    for name, data in files.items():
        (folder / name).write_bytes(data)
