"""The process that writes a gateway's records: `python -m mintmast.store.writer FD PATH GATEWAY`.

The gateway's loop must never wait for a disk, and a flush may take seconds; so this process does. Frames on
the socket FD: four bytes of length, then MessagePack. First all rows are told (`[rows...]`, then `true`, or a
string that says why not); then come writes (`[token, [records]]`), all that lie there at once become one
commit, and each is answered (`[token, good, why not]`). While nothing comes, room that holds nothing is given
back to the file system, a little at a time, and the file's size is told (`{"bytes": B, "free": B}`).
"""

from __future__ import annotations

import os
import select
import signal
import socket
import sqlite3
import sys
import time
from itertools import islice

import msgspec

from mintmast.decisions.gateways.records import StoredRecord
from mintmast.store.engine import Engine, StoreError
from mintmast.store.frames import Frames, framed

# s for which the writer of the process before may still flush: a slow disk's, that of a killed gateway
LAST_FLUSH = 3.0
# rows in one frame at the start: some 60 kB
ROWS_AT_ONCE = 500
# s without a write after which room is given back, and pages at once: 1 MB, some ms that a write may wait
IDLE, PAGES_AT_ONCE = 0.25, 256
# part of the file that may hold nothing: what is over is soon needed again
SLACK = 0.25
# s between two words of the size
SIZE_EVERY = 1.0


class Batch(msgspec.Struct, array_like=True):
    """One write."""

    token: int
    records: list[tuple[str, str, bytes | None]]


def _commit(engine: Engine, batches: list[Batch]) -> bytes:
    """Write all in one commit, and give the answers."""
    why = ""
    try:
        engine.write(StoredRecord(*each) for batch in batches for each in batch.records)
    except StoreError as error:
        why = str(error)
    return b"".join(framed([batch.token, not why, why]) for batch in batches)


class _Housekeeper:
    """Waits for writes, and gives room back while none comes."""

    def __init__(self, engine: Engine, sock: socket.socket) -> None:
        self._engine, self._sock = engine, sock
        self._told_at = 0.0

    def wait(self) -> bytes:
        """Give the next bytes, none at the end."""
        while not select.select([self._sock], [], [], IDLE)[0]:
            try:
                size, free = self._engine.size()
                if free > SLACK * size:
                    self._engine.give_back(PAGES_AT_ONCE)
                if time.monotonic() - self._told_at >= SIZE_EVERY:
                    self._told_at = time.monotonic()
                    self._sock.sendall(framed({"bytes": size, "free": free}))
            except (StoreError, OSError, sqlite3.Error):
                pass  # the next write says what is wrong
        try:
            return self._sock.recv(1 << 16)
        except OSError:  # the gateway died with words of ours unread; what it sent was read before
            return b""


def main(fd: int, path: str, gateway: str) -> int:
    """Open the file, tell what is in it, write until the gateway is gone."""
    for each in (signal.SIGINT, signal.SIGTERM):  # the gateway ends first, and what it wrote is still written
        signal.signal(each, signal.SIG_IGN)
    sock = socket.socket(fileno=fd)
    try:
        engine = Engine(path, gateway, wait=LAST_FLUSH)
        all_rows = engine.rows()
        while rows := list(islice(all_rows, ROWS_AT_ONCE)):
            sock.sendall(framed([[row.kind, row.key, row.value] for row in rows]))
        sock.sendall(framed(engine.moved or True))
    except StoreError as error:
        sock.sendall(framed(f"!{error}"))
        return 2
    except OSError:  # the gateway was killed while it read
        return 2
    frames, keeper = Frames(), _Housekeeper(engine, sock)
    while data := keeper.wait():
        batches = [msgspec.msgpack.decode(frame, type=Batch) for frame in frames.feed(data)]
        while batches and select.select([sock], [], [], 0)[0] and len(batches) < 10_000:
            more = sock.recv(1 << 16)
            if not more:
                break
            batches += [msgspec.msgpack.decode(frame, type=Batch) for frame in frames.feed(more)]
        if batches:
            try:
                sock.sendall(_commit(engine, batches))
            except OSError:
                break
    engine.close()
    return 0


if __name__ == "__main__":
    code = main(int(sys.argv[1]), sys.argv[2], sys.argv[3])
    sys.stdout.flush()
    os._exit(code)
