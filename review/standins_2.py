"""Stand-ins for the second review: media hosts, viewers, a change log, and the gateway as a process.

Written from the platform's pages, with the standard library alone. The media hosts, viewers and the change
log run in the test's own process on loopback addresses; gateways are processes of the deploy file's `run`.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"

# message types and parameters of the platform's protocol page
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE, TEST, TEST_REPLY, RUNG = (
    1, 6, 9, 12, 16, 44, 51, 52, 53, 60,
)  # fmt: skip
P_CLASS, P_TIMEOUT, P_TENANT, P_TITLE, P_PLACE, P_AWAY, P_NOTE, P_LOAD, P_RUNG, P_VALUE, P_CAUSE, P_DESC = (
    16, 18, 20, 24, 26, 28, 30, 34, 38, 40, 44, 46,
)  # fmt: skip
ENDED, CANCELLED, FULL, RESET, ERROR, MOOT = 16, 31, 34, 41, 47, 102
REFUSALS = frozenset({34, 42, 102})
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, for a reason that is not the gateway's fault."""


def encode(kind: int, call: bytes, params: dict[int, bytes] | None = None) -> bytes:
    """Encode a message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in (params or {}).items())
    return struct.pack(">HB", 9 + len(body), kind) + call + body


def release(call: bytes, cause: int) -> bytes:
    """Encode a release with a cause."""
    return encode(RELEASE, call, {P_CAUSE: bytes((cause,))})


@dataclass(slots=True)
class Message:
    """A decoded message."""

    kind: int
    call: bytes
    params: dict[int, bytes]

    @property
    def cause(self) -> int | None:
        """Return the cause, or None if there is none."""
        value = self.params.get(P_CAUSE)
        return value[0] if value else None


def split(buffer: bytearray) -> list[Message]:
    """Take the whole messages off the front of a buffer."""
    messages = []
    while len(buffer) >= 2 and len(buffer) >= 2 + (size := struct.unpack_from(">H", buffer)[0]):
        data, kind, params, offset = bytes(buffer[2 : 2 + size]), buffer[2], {}, 9
        del buffer[: 2 + size]
        while offset < size:
            code, length = struct.unpack_from(">BH", data, offset)
            params[code] = data[offset + 3 : offset + 3 + length]
            offset += 3 + length
        messages.append(Message(kind, data[1:9], params))
    return messages


class Record:
    """The record of a run: what was sent, answered and run, with seconds since its begin."""

    def __init__(self, path: Path, begin: float | None = None) -> None:
        """Begin a record, or go on with the one that began at `begin` (for a further process)."""
        self.path = path
        if begin is None:
            path.unlink(missing_ok=True)
        self._file = path.open("a", encoding="utf-8")
        self.begin = time.monotonic() if begin is None else begin

    def now(self) -> float:
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self.begin

    def __call__(self, who: str, what: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {who}: {what}\n")
        self._file.flush()


def free_port(host: str = LOOPBACK) -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def close_socket(sock: socket.socket) -> None:
    """Close a socket that the event loop may watch."""
    asyncio.get_running_loop().remove_reader(sock)
    sock.close()


class Peer:
    """One TCP connection of a stand-in; `handle` gets each whole message."""

    def __init__(self, sock: socket.socket, handle: Callable[[Peer, Message], Awaitable[None]]) -> None:
        self.sock, self._handle, self._buffer = sock, handle, bytearray()
        self.is_open = True
        self.on_end: Callable[[Peer], None] = lambda peer: None
        self.may_read = asyncio.Event()
        self.may_read.set()
        self._late: bytearray = bytearray()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.is_open:
                await self.may_read.wait()
                data = await loop.sock_recv(self.sock, 65536)
                await self.may_read.wait()
                if not data:
                    break
                self._buffer += data
                for message in split(self._buffer):
                    await self._handle(self, message)
        except OSError:
            pass
        finally:
            self.close()

    def write(self, data: bytes) -> None:
        """Write now, or when the peer may speak again."""
        if not self.is_open:
            return
        if not self.may_read.is_set():
            self._late += data
            return
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()

    def hush(self) -> None:
        """Neither read nor write until `speak`; the connection stays open."""
        self.may_read.clear()

    def speak(self) -> None:
        """Read and write again."""
        self.may_read.set()
        late, self._late = bytes(self._late), bytearray()
        if late:
            self.write(late)

    def reset(self) -> None:
        """Break the connection with a reset."""
        if self.is_open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            if asyncio.current_task() is not self.task:
                self.task.cancel()
            close_socket(self.sock)
            self.on_end(self)


@dataclass
class Attempt:
    """A set-up that reached a host whole."""

    call: bytes
    service: str
    title: str
    rung: int
    at: float
    peer: Peer
    answered_at: float | None = None
    ended_at: float | None = None
    end: str = ""  # how it ended


class MediaHost:
    """A media host; `silence`, `die` and the fields below are its faults."""

    def __init__(self, record: Record, name: str, cell: int = 0, port: int = 0) -> None:
        self.record, self.name, self.cell = record, name, cell
        self.place = (LOOPBACK, port or free_port())
        self.answer_after, self.session_length = 0.004, 30.0
        self.length_of: Callable[[Attempt], float] = lambda attempt: self.session_length
        self.refuse_with: int | None = None  # a cause with which each set-up is released
        self.is_deaf = False  # answers no set-up, nor runs it
        self.come_up_after = 0.0  # seconds until a new connection is heard (see `late`)
        self.attempts: list[Attempt] = []
        self.standing: dict[bytes, Attempt] = {}
        self.peers: list[Peer] = []
        self.is_silent = False
        self._owed: list[bytes] = []  # releases to repeat on the next connection
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task] = set()
        self.on_set_up: Callable[[Attempt], None] = lambda attempt: None

    def start(self) -> None:
        """Listen and accept."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self.place)
        self._listener.listen(128)
        self._listener.setblocking(False)
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            peer = Peer(sock, self._handle)
            peer.on_end = self._forget
            self.peers.append(peer)
            owed, self._owed = self._owed, []
            for call in owed:
                peer.write(release(call, ENDED))
            # the rungs of the sessions that play on, for a gateway that got them by a handover
            for attempt in self.standing.values():
                if not attempt.peer.is_open:
                    rung = {P_NOTE: b"level", P_VALUE: b"%d" % attempt.rung}
                    peer.write(encode(NOTE, attempt.call, rung))

    def _forget(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)
        for attempt in self.attempts:
            if attempt.peer is peer and attempt.answered_at is None and attempt.ended_at is None:
                self._end(attempt, "given up by a close")

    def _end(self, attempt: Attempt, how: str) -> None:
        attempt.ended_at, attempt.end = self.record.now(), how
        self.standing.pop(attempt.call, None)
        self.record(self.name, f"{attempt.call.hex()} over: {how}")

    async def _handle(self, peer: Peer, message: Message) -> None:
        if message.kind == TEST:
            peer.write(encode(TEST_REPLY, message.call, {P_CAUSE: b"\1"}))
        elif message.kind == SET_UP:
            params = message.params
            attempt = Attempt(
                message.call,
                params[P_CLASS].decode(),
                params[P_TITLE].decode(),
                int(params.get(P_RUNG, b"0")),
                self.record.now(),
                peer,
            )
            self.attempts.append(attempt)
            self.record(self.name, f"set-up {message.call.hex()} {attempt.service} title {attempt.title}")
            self.on_set_up(attempt)
            task = asyncio.create_task(self._play(attempt, params[P_DESC]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif message.kind == RELEASE:
            self._handle_release(peer, message.call)

    def _handle_release(self, peer: Peer, call: bytes) -> None:
        peer.write(encode(RELEASE_HEARD, call))
        for attempt in self.attempts:
            if attempt.call == call and attempt.ended_at is None:
                was_standing = attempt.answered_at is not None
                self._end(attempt, "released by the gateway")
                if was_standing:
                    peer.write(release(call, CANCELLED))

    async def _play(self, attempt: Attempt, description: bytes) -> None:
        await asyncio.sleep(self.answer_after)
        if attempt.ended_at is not None or self.is_deaf:
            return
        if self.refuse_with is not None:
            self._end(attempt, f"answered with cause {self.refuse_with}")
            attempt.peer.write(release(attempt.call, self.refuse_with))
            return
        attempt.answered_at = self.record.now()
        self.standing[attempt.call] = attempt
        self.record(self.name, f"answer {attempt.call.hex()}: the session stands")
        attempt.peer.write(encode(ANSWER, attempt.call, {P_DESC: b"at " + self.name.encode()}))
        await asyncio.sleep(self.length_of(attempt))
        if attempt.ended_at is None:
            self._end(attempt, "played to its end")
            peer = attempt.peer if attempt.peer.is_open else next((p for p in self.peers if p.is_open), None)
            if peer is not None:
                peer.write(release(attempt.call, ENDED))
            self._owed.append(attempt.call)

    async def silence(self) -> None:
        """Be cut off: open connections stay open and silent, new ones never come up."""
        self.is_silent = True
        self.record(self.name, "is cut off")
        self._accepting.cancel()
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(2):  # an accept queue that is full lets no further connection come up
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.place)
            self._fillers.append(filler)
        for peer in self.peers:
            peer.hush()

    async def speak(self) -> None:
        """Be reachable again."""
        self.is_silent = False
        self.record(self.name, "is reachable again")
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(128)
        self._accepting = asyncio.create_task(self._accept())
        for peer in list(self.peers):
            peer.speak()

    def cut_all(self, how: str) -> None:
        """End all sessions and set-ups without a word."""
        for attempt in self.attempts:
            if attempt.ended_at is None:
                self._end(attempt, how)
        self._owed.clear()

    def die(self) -> None:
        """End as a killed process does: connections are reset, sessions cut, new connections refused."""
        self.record(self.name, "dies")
        self.cut_all("cut by the death of the host")
        self._accepting.cancel()
        close_socket(self._listener)
        for peer in list(self.peers):
            peer.reset()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.is_silent = False

    def close(self) -> None:
        """Stop everything."""
        for task in list(self._tasks):
            task.cancel()
        if self._accepting is not None:
            self._accepting.cancel()
        for filler in self._fillers:
            filler.close()
        if self._listener is not None and self._listener.fileno() >= 0:
            close_socket(self._listener)
        for peer in list(self.peers):
            peer.close()

    def entry(self, state: str = "Ready", started_ms: int = 0, kind: str = "std") -> dict[str, Any]:
        """Return the host's entry in the list."""
        return {
            "id": self.name,
            "addr": f"{self.place[0]}:{self.place[1]}",
            "zone": "east",
            "kind": kind,
            "cell": self.cell,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
        }


class HostProcess:
    """A media host that is a process of its own, so that it can be stopped and continued."""

    def __init__(self, record: Record, name: str, cell: int, session_length: float) -> None:
        self.twin = MediaHost(record, name, cell)  # for its place and its entry in the list
        self.record, self.name, self.session_length = record, name, session_length
        self.process: subprocess.Popen | None = None

    def entry(self, state: str = "Ready") -> dict[str, Any]:
        """Return the host's entry in the list."""
        return self.twin.entry(state)

    def start(self) -> None:
        """Start the process."""
        values = [self.name, self.twin.cell, self.twin.place[1], self.session_length, self.record.begin]
        command = [sys.executable, __file__, str(self.record.path), *map(str, values)]
        self.process = subprocess.Popen(command)

    async def listens(self) -> None:
        """Wait until the process accepts connections."""
        for _ in range(100):
            try:
                with socket.create_connection(self.twin.place, 1):
                    return
            except OSError:
                await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not listen")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.record(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def run_host(path: str, name: str, cell: str, port: str, length: str, begin: str) -> None:
    """Run a media host until the process is killed."""
    host = MediaHost(Record(Path(path), float(begin)), name, int(cell), int(port))
    host.session_length = float(length)
    host.start()
    await asyncio.Event().wait()


class ChangeLog:
    """The platform's change log: server-sent events over HTTP, and a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record, self.place = record, (LOOPBACK, free_port())
        self.events: list[dict[str, Any]] = []
        self._watches: dict[asyncio.StreamWriter, int] = {}
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None

    def add(self, entries: list[dict[str, Any]], full: bool = False) -> None:
        """Add an event, and tell it on all watches."""
        number = len(self.events) + 1
        event = {"seq": number, "fleet": {"version": number, "full": full, "servers": entries}}
        self.events.append(event)
        told = ", ".join(f"{each['id']} {each['state']}" for each in entries)
        self.record("change log", f"event {number}: {told}")
        for writer in list(self._watches):
            self._tell(writer)

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as a configuration holds them."""
        return {"seq": len(self.events), "results": list(self.events)}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._watch, *self.place)
        self._beat = asyncio.create_task(self._comment())

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = [line.partition(":")[2] for line in head.split("\r\n") if line.startswith("last-event-id")]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            self._watches[writer] = int(last[0]) if last else 0
            self._tell(writer)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.close()

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        while self._watches[writer] < len(self.events):
            event = self.events[self._watches[writer]]
            self._watches[writer] += 1
            writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())

    async def _comment(self) -> None:
        while True:
            await asyncio.sleep(1)
            for writer in list(self._watches):
                writer.write(b": here\n\n")

    def close(self) -> None:
        """Stop everything."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()


@dataclass
class Request:
    """A viewer's request and, once it is answered, its session."""

    call: bytes
    service: str
    title: str
    sent_at: float
    answers: list[tuple[float, int | None]] = field(default_factory=list)  # with a cause, or None: it stands
    over_at: float | None = None  # when the viewer was told that the session is over
    over_cause: int | None = None
    left_at: float | None = None  # when the viewer itself gave the request or the session up
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def stands(self) -> bool:
        """Return whether the viewer was told that the session stands."""
        return bool(self.answers) and self.answers[0][1] is None


class Viewer:
    """A viewer's side with connections of its own to one gateway."""

    last_call = 0

    def __init__(self, record: Record, name: str, gateway: Gateway) -> None:
        self.record, self.name, self.gateway = record, name, gateway
        self.requests: dict[bytes, Request] = {}
        self.foreign: list[tuple[float, Message]] = []  # messages about calls of others
        self.peer: Peer | None = None
        self.peers: list[Peer] = []
        self._test_passed = asyncio.Event()

    async def connect(self, source: str | None = None) -> Peer:
        """Open a connection and use it from now on."""
        sock = socket.socket()
        sock.setblocking(False)
        if source is not None:
            sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, self.gateway.place)
        self.peer = Peer(sock, self._handle)
        self.peers.append(self.peer)
        self.record(self.name, f"connects from {sock.getsockname()[0]}:{sock.getsockname()[1]}")
        return self.peer

    async def test(self) -> bool:
        """Send a test and return whether it was passed."""
        self._test_passed.clear()
        self.peer.write(encode(TEST, bytes(8), {P_CAUSE: b"\0"}))
        try:
            await asyncio.wait_for(self._test_passed.wait(), 1)
        except TimeoutError:
            return False
        return True

    async def _handle(self, peer: Peer, message: Message) -> None:
        if message.kind == TEST_REPLY:
            if message.cause == 1:
                self._test_passed.set()
            return
        if message.kind not in (ANSWER, RELEASE, MOVE):
            return
        request = self.requests.get(message.call)
        text = {ANSWER: "answer", RELEASE: f"release, cause {message.cause}", MOVE: "move"}[message.kind]
        self.record(self.name, f"hears of {message.call.hex()}: {text}")
        if request is None:
            self.foreign.append((self.record.now(), message))
        elif message.kind == ANSWER:
            request.answers.append((self.record.now(), None))
        elif request.stands:
            request.over_at, request.over_cause = self.record.now(), message.cause
        else:
            request.answers.append((self.record.now(), message.cause))
        if request is not None:
            request.done.set()

    def ask(
        self,
        service: str,
        title: str = "00000000000000aa",
        timeout_ms: int = 3000,
        place: str = "home:0;copies:4;top:2",
        tenant: str = "acme",
    ) -> Request:
        """Send a set-up."""
        Viewer.last_call += 1
        call = (0x5E55 << 48 | Viewer.last_call).to_bytes(8)
        request = self.requests[call] = Request(call, service, title, self.record.now())
        self.record(self.name, f"set-up {call.hex()} {service} title {title} timeout {timeout_ms} ms")
        self.peer.write(
            encode(
                SET_UP,
                call,
                {
                    P_CLASS: service.encode(),
                    P_TIMEOUT: b"%d" % timeout_ms,
                    P_TENANT: tenant.encode(),
                    P_TITLE: title.encode(),
                    P_PLACE: place.encode(),
                    P_DESC: b"session " + call.hex().encode(),
                },
            )
        )
        return request

    def hand_over(self, request: Request, host: str, place: str = "home:0;copies:4;top:2") -> None:
        """Tell the gateway of a session that plays at a host."""
        self.record(self.name, f"hands {request.call.hex()} over, at {host}")
        params = {
            P_CLASS: request.service.encode(),
            P_TENANT: b"acme",
            P_TITLE: request.title.encode(),
            P_PLACE: f"{place};at:{host}".encode(),
        }
        self.peer.write(encode(SET_UP, request.call, params))

    def leave(self, request: Request) -> None:
        """Give a request up, or end its session."""
        request.left_at = self.record.now()
        self.record(self.name, f"releases {request.call.hex()}")
        self.peer.write(release(request.call, ENDED))

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers:
            peer.close()


async def answer(request: Request, within: float = 4.0) -> Request:
    """Wait for a request's final answer, or until the time is up."""
    try:
        await asyncio.wait_for(request.done.wait(), within)
    except TimeoutError:
        pass
    return request


class Gateway:
    """A process of the deploy file's `run`."""

    def __init__(self, scene: Scene, name: str, settings: dict[str, Any]) -> None:
        self.scene, self.name, self.settings = scene, name, settings
        self.place = (LOOPBACK, free_port())
        self.limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
        self.config = scene.folder / f"{name}.json"
        self.log = scene.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_config(self) -> None:
        """Write the configuration file."""
        log = self.scene.log
        document = {
            "name": self.name,
            "listen": f"{self.place[0]}:{self.place[1]}",
            "seed": "1f5c92d07ab4e836",
            "limits": self.limits,
            "changelog": f"{log.place[0]}:{log.place[1]}",
            "known": log.known(),
            "settings": self.settings,
        }
        self.config.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start the process and wait until a test is passed."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.scene.folder / f"{self.name}.tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        environment = os.environ | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{self.place[0]}:{self.place[1]}",
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.scene.record(self.name, "starts")
        probe = Viewer(self.scene.record, f"test of {self.name}", self)
        for _ in range(200):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                raise CannotRunError(f"the gateway ended at once: {self.log.read_text()[-500:]}")
            try:
                await probe.connect()
            except OSError:
                continue
            is_ready = await probe.test()
            probe.close()
            if is_ready:
                return
        raise CannotRunError("the gateway passed no test")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.scene.record(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the end of the process and return its exit code, or None if it goes on."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def kill(self) -> None:
        """End the process for certain."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Scene:
    """All that a case starts; everything ends with it."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.log = ChangeLog(self.record)
        self.hosts: list[MediaHost] = []
        self.processes: list[HostProcess] = []
        self.gateways: list[Gateway] = []
        self.viewers: list[Viewer] = []

    async def open(self, hosts: int, gateways: int, cells: int = 4, **settings: Any) -> None:
        """Start hosts, the change log and gateways."""
        for number in range(hosts):
            host = MediaHost(self.record, f"m-{number:02d}", number % cells)
            host.start()
            self.hosts.append(host)
        for process in self.processes:
            process.start()
        for process in self.processes:
            await process.listens()
        self.log.add([host.entry() for host in (*self.hosts, *self.processes)], full=True)
        await self.log.start()
        for number in range(gateways):
            gateway = Gateway(self, f"g{number}", make_settings(number, gateways, **settings))
            self.gateways.append(gateway)
            await gateway.start()

    def viewer(self, name: str, gateway: int = 0) -> Viewer:
        """Add a viewer of a gateway."""
        viewer = Viewer(self.record, name, self.gateways[gateway])
        self.viewers.append(viewer)
        return viewer

    def close(self) -> None:
        """End all processes and connections that the case has started."""
        for viewer in self.viewers:
            viewer.close()
        for gateway in self.gateways:
            gateway.kill()
        for host in (*self.hosts, *self.processes):
            host.close()
        self.log.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def service(name: str, is_paid: bool, aim_ms: int, limit_ms: int, worth: float = 1.0) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "name": name,
        "idempotency": "single_shot" if is_paid else "free",
        "aim": aim_ms * 1000,
        "hardLimit": limit_ms * 1000,
        "stream": True,
        "worth": worth,
        "group": "all",
        "window": 5_000_000,
    }


PAID, FREE = service("full-film", True, 1000, 3000, 2.0), service("trailer", False, 1500, 5000)


def make_settings(
    me: int,
    instances: int,
    services: tuple[dict[str, Any], ...] = (PAID, FREE),
    seats: tuple[int, ...] = (0, 0),
    floors: tuple[int, ...] = (0, 0),
    grace_ms: int = 1000,
    rules: dict[str, Any] | None = None,
    family: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the settings of a gateway in a small deployment."""
    return {
        "accounts": [{"name": "acme", "quotaPerS": 50.0, "share": 1.0}],
        "azs": ["east"],
        "caps": {
            "cancel": True,
            "connectTimeout": 250_000,
            "idleClose": 30_000_000,
            "maxAttempts": 5,
            "maxRetryAfter": 500_000,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
        },
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "family": "streams",
        "familyInfo": {
            "cells": 4,
            "classTop": [2, 2],
            "kindSlots": [40],
            "ladderWorth": [0.25, 0.6, 1.0],
            "levelKb": [200.0, 600.0, 1500.0],
            "linksKb": 400_000.0,
            "lowestRung": list(floors),
            "rackLinkKb": 900_000.0,
            "racks": 1,
            "reportsEvery": 3_000_000,
            "scaleByClass": [1.0, 0.7],
            "seats": list(seats),
            "see": 600_000,
        }
        | (family or {}),
        "invariants": {
            "answerSlack": 40_000,
            "askWithin": 10_000_000,
            "cold": 8_000_000,
            "coldFrom": 0.5,
            "fall": 2_000_000,
            "overloadFactor": 2.0,
            "stopSendingWithin": grace_ms * 1000,
        }
        | (rules or {}),
        "me": me,
        "nInstances": instances,
        "overShareWorth": 0.2,
        "report": {"fields": ["x0"], "via": "piggyback"},
        "round": 10_000,
        "services": list(services),
        "shapes": ["std"],
        "weights": "silent",
        "zone": 0,
    }


def play(case: Callable[[Scene, bool], Awaitable[bool]], script: str, limit: float = 110.0) -> int:
    """Play a case and return its exit code; `case` returns whether the rule was broken.

    `TROUBLE=0` in the environment plays it without the disruption.
    """
    folder = Path(script).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        scene = Scene(folder)
        try:
            return await asyncio.wait_for(case(scene, has_trouble), limit)
        finally:
            scene.close()

    try:
        is_broken = asyncio.run(run())
    except (CannotRunError, OSError, TimeoutError, subprocess.SubprocessError) as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    print("rule broken" if is_broken else "rule held")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    asyncio.run(run_host(*sys.argv[1:]))
