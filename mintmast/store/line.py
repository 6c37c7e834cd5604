"""The gateway's end of its store: opens it before the loop runs, and writes without ever waiting."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from mintmast.decisions.gateways.records import (
    RecordKind,
    RecordsWritten,
    RecoveredState,
    StoredRecord,
    WriteRecords,
    encode_record,
    next_generation,
    recover_state,
)
from mintmast.loop.base import CloseReason, Handler, Stream, StreamLimits
from mintmast.loop.real import SelectorLoop
from mintmast.store.engine import StoreError
from mintmast.store.frames import Frames, framed

# s that opening may take: a recovery of a million records, on a slow disk
OPEN_TIME = 60.0
# µs after which a writer that ended is started again
AGAIN = 1_000_000
# writes that may be without an answer; beyond, they are told as not good: a disk that stands for seconds
MOST_WAITING = 20_000
# bytes: so many writes of the longest records
LIMITS = StreamLimits(max_unsent=1 << 25)


@dataclass(slots=True)
class Opened:
    """A store whose writer runs: what it kept, and the start that it was told to write."""

    path: str
    gateway: str
    sock: socket.socket
    process: subprocess.Popen
    kept: RecoveredState
    start: int
    moved: str = ""


def _spawn(path: str, gateway: str) -> tuple[socket.socket, subprocess.Popen]:
    ours, theirs = socket.socketpair()
    command = [sys.executable, "-m", "mintmast.store.writer", str(theirs.fileno()), path, gateway]
    with theirs:
        process = subprocess.Popen(command, pass_fds=(theirs.fileno(),), stdin=subprocess.DEVNULL)
    return ours, process


def open_store(path: str, gateway: str, wall_ms: int) -> Opened:
    """Open a store, read it, and write the number of this start. Raises StoreError."""
    sock, process = _spawn(path, gateway)
    sock.settimeout(OPEN_TIME)
    frames, moved = Frames(), ""

    def rows() -> Iterator[StoredRecord]:  # as they come: a million at once would be as much memory again
        nonlocal moved
        for frame in _read(sock, frames):
            told = msgspec.msgpack.decode(frame)
            if isinstance(told, list):
                yield from (StoredRecord(*row) for row in told)
            elif isinstance(told, str) and told.startswith("!"):
                raise StoreError(told[1:])
            else:
                moved = told if isinstance(told, str) else ""
                return
        raise ValueError("it ended in the middle")

    try:
        found = recover_state(rows())
        start = next_generation(wall_ms, found.generation)
        sock.sendall(framed(_batch(0, (encode_record(RecordKind.GENERATION, "", start),))))
        answers = (msgspec.msgpack.decode(frame) for frame in _read(sock, frames))
        # many records take their time: a writer that waited has told the file's size meanwhile
        _, good, why = next(told for told in answers if not isinstance(told, dict))
        if not good:
            raise StoreError(why)
    except (OSError, StopIteration, ValueError) as error:
        process.kill()
        process.wait()
        raise StoreError(f"{path}: its writer does not answer: {error}") from None
    except StoreError:
        process.wait()
        raise
    return Opened(path, gateway, sock, process, found, start, moved)


def _read(sock: socket.socket, frames: Frames):  # noqa: ANN202 - an iterator of frames until the end
    while data := sock.recv(1 << 16):
        yield from frames.feed(data)


def _batch(token: int, records: tuple[StoredRecord, ...]) -> list:
    return [token, [[each.kind, each.key, each.value] for each in records]]


class StoreLine(Handler):
    """The line to the writer, which is started again when it ends. What was not told as good may be lost.

    `failing` tells why writes fail, "" where they do not; `size` the file's bytes and those holding nothing.
    """

    def __init__(self, loop: SelectorLoop, opened: Opened) -> None:
        self._loop, self._opened = loop, opened
        self.start, self.kept = opened.start, opened.kept
        opened.kept = RecoveredState()  # whoever begins with it holds what is needed of it
        self._written: Callable[[RecordsWritten], None] = lambda event: None
        self._say: Callable[..., None] = lambda event, **fields: None
        self._waiting: dict[int, None] = {}
        self._unanswered = 0
        self._pending = bytearray()
        self.failing = ""
        self.size = (0, 0)
        self._closing = False
        self._frames = Frames()
        self._stream: Stream | None = loop.adopt(opened.sock, self, LIMITS)

    def attach(self, written: Callable[[RecordsWritten], None], say: Callable[..., None]) -> None:
        """Tell who hears the end of writes, and who takes log lines."""
        self._written, self._say = written, say
        if self._opened.moved:
            say("store_of_another", moved_to=self._opened.moved)

    def write(self, command: WriteRecords) -> None:
        """Make records durable."""
        if self._stream is None or self._unanswered >= MOST_WAITING:
            self._loop.call_soon(self._end, command.token, False)
            return
        self._unanswered += 1
        if command.token:
            self._waiting[command.token] = None
        # what one turn writes leaves as one: each call to the system costs as much as the record itself
        if not self._pending:
            self._loop.call_soon(self._push)
        self._pending += framed(_batch(command.token, command.records))

    def _push(self) -> None:
        data, self._pending = bytes(self._pending), bytearray()
        if self._stream is not None and data:
            self._stream.write(data)

    def received(self, data: bytes) -> None:
        """Take answers; at a new start of the writer its rows are known already."""
        for frame in self._frames.feed(data):
            told = msgspec.msgpack.decode(frame)
            if isinstance(told, str) and told.startswith("!"):
                self._fails(told[1:])
            elif isinstance(told, dict):
                self.size = int(told["bytes"]), int(told["free"])
            elif isinstance(told, list) and len(told) == 3 and isinstance(told[1], bool):
                self._fails("" if told[1] else told[2])
                self._unanswered -= 1
                self._waiting.pop(told[0], None)
                self._end(told[0], told[1])

    def _end(self, token: int, good: bool) -> None:
        if token:
            self._written(RecordsWritten(token, good))

    def _fails(self, why: str) -> None:
        """Say once that writes fail, and once that they do no more."""
        if bool(why) != bool(self.failing):
            self._say("store_fails" if why else "store_writes_again", why=why)
        self.failing = why

    def closed(self, reason: CloseReason) -> None:
        """Take the writer's end: what waits may be lost, and another is started."""
        self._stream, waiting = None, list(self._waiting)
        self._waiting.clear()
        self._pending.clear()
        self._unanswered = 0
        self._opened.process.poll()
        if self._closing:
            return
        self._fails("the process that writes has ended")
        for token in waiting:
            self._end(token, False)
        self._loop.call_at(self._loop.now() + AGAIN, self._again)

    def _again(self) -> None:
        if not self._closing:
            self._opened.sock, self._opened.process = _spawn(self._opened.path, self._opened.gateway)
            self._frames = Frames()
            self._stream = self._loop.adopt(self._opened.sock, self, LIMITS)

    def close(self) -> None:
        """Write what is left, and end."""
        self._closing = True
        self._push()
        if self._stream is not None:
            self._stream.close()
