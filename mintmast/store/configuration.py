"""The file of the shared settings in force: written whole beside the old one, then renamed over it.

One line `mintmast configuration 1 SHA256`, then MessagePack of `File`, whose SHA-256 the line has. A file
that is cut, changed, of another program or another gateway is refused: the gateway begins with its settings.
It holds viewers' keys, so only its owner may read it.
"""

from __future__ import annotations

import hashlib
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from mintmast.decisions.gateways.revision_types import Delta, RevisionId, Stored
from mintmast.loop import CloseReason, Handler, Loop, Stream
from mintmast.loop.base import StreamLimits
from mintmast.loop.real import SelectorLoop
from mintmast.store import keeper
from mintmast.store.keeper import save

MARK = b"mintmast configuration 1 "
# bytes of a file that is read at all: a document and its history, both bounded, with room to spare
MOST_BYTES = 4 << 20
# s for which the process of the life before may still write: a slow disk's last flush, as in `writer.py`
LOCK_TIME = 3.0
# µs after which a write counts as failed: the disk stands still, and an operator waits five seconds
WRITE_TIME = 3_000_000
# µs after which a process that ended is started again
AGAIN = 1_000_000
# bytes not yet taken by it: a few writes of the largest file
LIMITS = StreamLimits(max_unsent=4 * MOST_BYTES)


class FileError(Exception):
    """A file that is not taken; one line that says why."""


class File(msgspec.Struct, frozen=True):
    """What is kept; `gateway` whose it is: a publisher's term must not be copied to another machine."""

    gateway: str
    head: RevisionId
    document: bytes
    leads: int
    base: RevisionId
    history: tuple[Delta, ...]


def encoded(gateway: str, stored: Stored) -> bytes:
    """Give the file's bytes."""
    told = File(gateway, stored.head, stored.document, stored.leads, stored.base, stored.history)
    body = msgspec.msgpack.encode(told)
    return MARK + hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def decoded(data: bytes, gateway: str) -> Stored:
    """Give what a file's bytes hold. Raises FileError."""
    line, _, body = data.partition(b"\n")
    if not line.startswith(MARK):
        raise FileError("not a file of this program, or of a newer one")
    if line[len(MARK) :] != hashlib.sha256(body).hexdigest().encode():
        raise FileError("cut or changed")
    try:
        told = msgspec.msgpack.decode(body, type=File)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise FileError(f"not readable: {error}") from None
    if told.gateway != gateway:
        raise FileError(f"the file of gateway {told.gateway}")
    return Stored(told.head, told.document, told.leads, told.base, told.history)


def load(path: Path, gateway: str) -> Stored | None:
    """Read the file; None where there is none. Raises FileError."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise FileError(f"cannot be read: {error}") from None
    if len(data) > MOST_BYTES:
        raise FileError(f"over {MOST_BYTES} bytes")
    return decoded(data, gateway)


class FileHere:
    """Writes the file in the turn after: for loops without sockets of the system, in tests and drills."""

    def __init__(self, loop: Loop, path: str) -> None:
        self._loop, self._path = loop, path

    def write(self, data: bytes, done: Callable[[bool], None]) -> None:
        """Write; `done` hears whether it is on disk."""
        self._loop.call_soon(self._write, data, done)

    def _write(self, data: bytes, done: Callable[[bool], None]) -> None:
        try:
            save(self._path, data)
        except OSError:
            done(False)
        else:
            done(True)

    def close(self) -> None:
        """Nothing waits."""


def _spawn(path: str) -> tuple[socket.socket, subprocess.Popen]:
    ours, theirs = socket.socketpair()
    command = [sys.executable, "-I", "-S", keeper.__file__, str(theirs.fileno()), path]
    with theirs:
        process = subprocess.Popen(command, pass_fds=(theirs.fileno(),), stdin=subprocess.DEVNULL)
    return ours, process


class FileLine(Handler):
    """The line to the process that writes the file. Raises FileError where it cannot be had.

    The process is started again when it ends; what it was to write then may or may not be on disk.
    """

    def __init__(self, loop: SelectorLoop, path: str) -> None:
        self._loop, self._path = loop, path
        self._waiting: deque[list[Callable[[bool], None]]] = deque()  # each holds who hears, until he did
        self._closing = False
        self._sock, self._process = _spawn(path)
        self._sock.settimeout(LOCK_TIME)
        try:
            told = self._sock.recv(1000)
        except OSError:
            told = b"-another process has it"
        if told != b"+":
            self._process.kill()
            self._process.wait()
            self._sock.close()
            raise FileError(f"{path}: {told[1:].decode('utf-8', 'replace') or 'its writer does not start'}")
        self._ready = True
        self._stream: Stream | None = loop.adopt(self._sock, self, LIMITS)

    def write(self, data: bytes, done: Callable[[bool], None]) -> None:
        """Write; `done` hears once, and not before this returns, whether it is surely on disk."""
        hears = [done]
        if self._stream is None:
            self._loop.call_soon(self._tell, hears, False)
            return
        self._waiting.append(hears)
        self._stream.write(len(data).to_bytes(4) + data)
        self._loop.call_at(self._loop.now() + WRITE_TIME, self._tell, hears, False)

    @staticmethod
    def _tell(hears: list[Callable[[bool], None]], good: bool) -> None:
        if hears:
            hears.pop()(good)

    def received(self, data: bytes) -> None:
        """Take answers; the first one of a process started again says that it is ready."""
        if not self._ready:
            self._ready, data = True, data[1:]
        for each in data:
            if self._waiting:
                self._tell(self._waiting.popleft(), each == ord("+"))

    def closed(self, reason: CloseReason) -> None:
        """Take the process's end: what waits may be lost, and another is started."""
        self._stream, waiting = None, list(self._waiting)
        self._waiting.clear()
        self._process.poll()
        for hears in waiting:
            self._tell(hears, False)
        if not self._closing:
            self._loop.call_at(self._loop.now() + AGAIN, self._again)

    def _again(self) -> None:
        if not self._closing:
            self._sock, self._process = _spawn(self._path)
            self._ready = False
            self._stream = self._loop.adopt(self._sock, self, LIMITS)

    def close(self) -> None:
        """End; what was asked for is still written."""
        self._closing = True
        if self._stream is not None:
            self._stream.close()
