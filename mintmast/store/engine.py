"""Records in an SQLite file: a row a record, each with a checksum of its own; a commit is durable on return.

SQLite's write-ahead log ends at the last commit that is whole, whatever is cut behind it; a flipped bit in
the main file it may not see, the rows' checksums do. `docs/design/durable-records.md` has the format.
"""

from __future__ import annotations

import sqlite3
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

from mintmast.decisions.gateways.records import StoredRecord

# of the file's layout; a newer one is refused untouched. 2 has kinds of records that 1 does not know
FORMAT = 2
# marks the file as this program's (SQLite's application_id): "mmst"
MARK = 0x6D6D7374
# bytes of the write-ahead log's head and of a frame's, and sizes that a page may have
WAL_HEAD, FRAME_HEAD, PAGE_SIZES = 32, 24, frozenset(1 << n for n in range(9, 17))


# kind of the row that says that the log broke off before its last commit; it has no value
DOUBT = "log"
# what SQLite raises; of a file with flipped bits its own message may not be text
BROKEN = (sqlite3.Error, UnicodeError)


class StoreError(Exception):
    """The store cannot be used; one line that says why."""


# opens an SQLite file by its URI, waiting so many s for who has it; the laboratory hands in another
Connect = Callable[[str, float], Any]


def _connect(uri: str, wait: float) -> Any:
    db = sqlite3.connect(uri, timeout=wait, uri=True)
    db.text_factory = lambda data: data.decode("utf-8", "replace")  # flipped bits: the checksum tells
    return db


def _sum(kind: str, key: str, value: bytes) -> int:
    return zlib.crc32(b"\0".join((kind.encode(), key.encode(), value)))


def last_commit(log: Path) -> int:
    """Give the place, from 1, of the last frame of a write-ahead log that ends a commit; 0 for none.

    Danger: SQLite reads a log up to the first frame that is wrong, as that is what a crash leaves. Flipped
    bits in the middle look the same, and what was told as durable behind them would be gone without a word
    (Alagappan and others, FAST 2018). May hurt after a power cut that tore the last commit, which was told
    to nobody: then the records count as doubtful. The layout is that of SQLite's file format, section 4.
    """
    try:
        data = log.read_bytes()
    except OSError:
        return 0
    if len(data) < WAL_HEAD:
        return 0
    page = int.from_bytes(data[8:12])
    salts = data[16:24]
    last = 0
    if page not in PAGE_SIZES:
        return 0
    frame = FRAME_HEAD + page
    for place, at in enumerate(range(WAL_HEAD, len(data) - frame + 1, frame), 1):
        ends_commit = data[at + 4 : at + 8] != b"\0\0\0\0"
        if ends_commit and data[at + 8 : at + 16] == salts:
            last = place
    return last


class Engine:
    """One gateway's file. Raises StoreError where it cannot be had, is another program's, or is newer.

    `wait` is how long (s) another process may still have it. A file of another gateway is moved aside, and a
    new one begun; `moved` tells where to.
    """

    def __init__(
        self, path: str, gateway: str, read_only: bool = False, wait: float = 0.5, connect: Connect = _connect
    ) -> None:
        self.path, self.moved, self._wait, self._connect = path, "", wait, connect
        self._db: Any = None
        self.doubt = False
        try:
            self._open(read_only)
            owner = self._owner()
            if owner and gateway and owner != gateway and not read_only:
                self.close()
                self.moved = self._aside(owner)
                self._open(read_only)
                owner = ""
            if not owner and not read_only:
                with self._db:
                    self._db.execute("INSERT INTO owner VALUES (?)", (gateway,))
            self.gateway = owner or gateway
        except BROKEN as error:
            self.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self.close()
            raise

    def _open(self, read_only: bool) -> None:
        path = Path(self.path).resolve()
        if read_only and not path.exists():
            raise StoreError(f"{self.path}: there is no such file")
        uri = f"{path.as_uri()}?mode={'ro' if read_only else 'rwc'}"
        self._db = self._connect(uri, self._wait)
        (mark,) = self._db.execute("PRAGMA application_id").fetchone()
        (version,) = self._db.execute("PRAGMA user_version").fetchone()
        (tables,) = self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if (tables or mark) and mark != MARK:
            raise StoreError(f"{self.path}: this is no store of mintmast")
        if version > FORMAT:
            raise StoreError(f"{self.path}: format {version} is newer than {FORMAT}")
        if read_only:
            return
        last = last_commit(path.with_name(f"{path.name}-wal"))
        self._db.execute("PRAGMA locking_mode = EXCLUSIVE")  # a second process on the file does not start
        self._db.execute("PRAGMA auto_vacuum = INCREMENTAL")  # where the file is new, or is compacted
        self._db.execute("PRAGMA journal_mode = WAL")
        self._db.execute("PRAGMA synchronous = FULL")
        read = self._db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()[1]
        self.doubt = last > read
        self._db.execute(f"PRAGMA application_id = {MARK}")
        self._db.execute(f"PRAGMA user_version = {FORMAT}")
        with self._db:
            self._db.execute("CREATE TABLE IF NOT EXISTS owner (gateway TEXT NOT NULL)")
            self._db.execute(
                "CREATE TABLE IF NOT EXISTS records (kind TEXT NOT NULL, key TEXT NOT NULL,"
                " value BLOB NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (kind, key)) WITHOUT ROWID"
            )

    def _owner(self) -> str:
        row = self._db.execute("SELECT gateway FROM owner").fetchone()
        return row[0] if row else ""

    def _aside(self, owner: str) -> str:
        name = f"{self.path}.of-{owner}-{int(time.time())}"
        Path(self.path).rename(name)
        return name

    def rows(self) -> Iterator[StoredRecord]:
        """Give all records; one whose checksum is wrong has no value. Raises StoreError.

        Where the log broke off before its last commit there is one record more, which has no value either.
        """
        if self.doubt:
            yield StoredRecord(DOUBT, "", None)
        try:
            for kind, key, value, told in self._db.execute("SELECT kind, key, value, sum FROM records"):
                good = isinstance(value, bytes) and _sum(str(kind), str(key), value) == told
                yield StoredRecord(str(kind), str(key), value if good else None)
        except BROKEN as error:
            raise StoreError(f"{self.path}: {error}") from None

    def write(self, records: Iterable[StoredRecord]) -> None:
        """Make these durable, all or none. Raises StoreError."""
        try:
            with self._db:
                for each in records:
                    if each.value is None:
                        self._db.execute(
                            "DELETE FROM records WHERE kind = ? AND key = ?", (each.kind, each.key)
                        )
                        continue
                    row = each.kind, each.key, each.value, _sum(each.kind, each.key, each.value)
                    self._db.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?)", row)
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def verify(self) -> list[str]:
        """Give what is wrong with the file; nothing where it is whole."""
        try:
            said = [row[0] for row in self._db.execute("PRAGMA integrity_check(10)")]
            faults = [f"SQLite says: {each}" for each in said if each != "ok"]
            faults += ["the log has commits behind one that cannot be read"] * self.doubt
            wrong = (row for row in self.rows() if row.value is None and row.kind != DOUBT)
            faults += [f"{row.kind} {row.key}: checksum" for row in wrong]
        except (*BROKEN, StoreError) as error:
            faults = [str(error)]
        return faults

    def size(self) -> tuple[int, int]:
        """Give the bytes of the file without its log, and those of them that hold nothing."""
        pages, free, each = (
            self._db.execute(f"PRAGMA {what}").fetchone()[0]
            for what in ("page_count", "freelist_count", "page_size")
        )
        return pages * each, free * each

    def give_back(self, pages: int) -> None:
        """Give back at most so many pages that hold nothing; a file of format 1 never. Raises StoreError."""
        try:
            # a step a page: a plain execute would take the first only
            self._db.executescript(f"PRAGMA incremental_vacuum({int(pages)})")
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def compact(self) -> None:
        """Give all room back at once. Raises StoreError."""
        try:
            self._db.execute("VACUUM")
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        if self._db is not None:
            self._db.close()
