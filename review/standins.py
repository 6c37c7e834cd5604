"""Stand-ins for viewers, media hosts and the change log, and the gateway's process, for the review's cases.

Everything is on loopback addresses and the real clock, in one asyncio loop. The stand-ins follow the users'
page on the protocol; what a case does to them on top is in the case itself.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, NOTE, TEST, TEST_RESULT = 1, 9, 12, 16, 44, 52, 53
CLASS, TIMEOUT, TENANT, TITLE, FIGURES, HINT = 16, 18, 20, 24, 26, 36
CAUSE, DESCRIPTION = 44, 46
REFUSED_CAUSES = {34, 42, 102}
PLAYED_TO_ITS_END, CANCELLED = 16, 31


# a loopback address of this run's own, so that runs beside each other do not meet
ADDRESS = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
# ports below those of outgoing connections, which could take a port before it is listened on
_PORTS = range(20_000, 32_000)
_given_ports: set[int] = set()


def free_port(address: str = ADDRESS) -> int:
    """Return a port that is free now. Raises OSError if none is found."""
    for _ in range(1000):
        port = random.choice(_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((address, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port
    raise OSError("no free port")


def frame(kind: int, call: bytes, params: dict[int, bytes] | None = None) -> bytes:
    """Encode one message of the platform's protocol."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in (params or {}).items())
    return struct.pack(">HB8s", len(body) + 9, kind, call) + body


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, bytes, dict[int, bytes]]:
    """Read one message. Raises IncompleteReadError or ConnectionError at the end of the connection."""
    size = struct.unpack(">H", await reader.readexactly(2))[0]
    data = await reader.readexactly(size)
    params, offset = {}, 9
    while offset < size:
        code, length = struct.unpack_from(">BH", data, offset)
        params[code] = data[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return data[0], data[1:9], params


class Record:
    """The record of what was sent, answered and run, one line each, in seconds from the begin."""

    def __init__(self, path: Path) -> None:
        self.begin = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.begin

    def write(self, actor: str, event: str, **fields: object) -> None:
        """Write a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():9.3f} {actor} {event} {text}".rstrip() + "\n")
        self._file.flush()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    try:
        await reader.read(1)
    except OSError:
        pass


class ChangeLog:
    """The change log: server-sent events by `GET /changes`, a comment every second.

    `answer_delay` is the time in seconds that it needs to begin its answer to a call.
    """

    def __init__(self, record: Record, servers: list[dict]) -> None:
        self.record, self.answer_delay = record, 0.0
        full = {"version": 1, "full": True, "servers": servers}
        self.events = [{"seq": 1, "fleet": full}]
        self.address, self.port = ADDRESS, free_port()
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    def stop(self) -> None:
        """Close the listener and break all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def tell(self, servers: list[dict]) -> float:
        """Put a change into the log and return the time."""
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"version": seq, "full": False, "servers": servers}})
        named = ",".join(f"{each['id']}:{each['state']}" for each in servers)
        self.record.write("log", "told", seq=seq, servers=named)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.record.now()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            sent = int(fields.get("last-event-id", "0"))
            self.record.write("log", "called", after=sent)
            gone = asyncio.ensure_future(_wait_for_end(reader))
            await asyncio.wait([gone], timeout=self.answer_delay or 0.001)
            if gone.done():
                self.record.write("log", "caller left before the answer")
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n:\n\n"
            )
            while not gone.done():
                changed = self._changed
                for event in self.events[sent:]:
                    writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record.write("log", "sent", seq=event["seq"])
                sent = len(self.events)
                waiter = asyncio.ensure_future(changed.wait())
                done, _ = await asyncio.wait([gone, waiter], timeout=1, return_when=asyncio.FIRST_COMPLETED)
                waiter.cancel()
                if not done:
                    writer.write(b":\n\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class MediaHost:
    """A sound media host. `test_delay` and `answer_delay` are seconds, `life` that of a session."""

    def __init__(self, record: Record, name: str, cell: int = 0, address: str = ADDRESS) -> None:
        self.record, self.name, self.cell, self.address = record, name, cell, address
        self.port = free_port(address)
        self.test_delay, self.answer_delay, self.life = 0.0, 0.02, 20.0
        self.set_ups: list[tuple[float, bytes, bytes]] = []  # when it came whole, the session and the class
        self.standing: dict[bytes, asyncio.StreamWriter] = {}
        self.ends: dict[bytes, float] = {}  # when each session had played to its end
        self._open: dict[bytes, asyncio.StreamWriter] = {}
        self._writers: list[asyncio.StreamWriter] = []
        # share of the set-ups that run while their answer never comes; their connection is of no more use
        self.lost_answers = 0.0
        self._useless: set[asyncio.StreamWriter] = set()
        self._used_at: dict[asyncio.StreamWriter, float] = {}  # when a message was last passed
        # sessions that ended since the last connection was opened, with the cause to send on the next one
        self._unheard: list[tuple[bytes, int]] = []
        self._server: asyncio.Server | None = None

    def entry(self, state: str = "Ready", started_ms: int = 0) -> dict:
        """Return the host's entry in the list."""
        return {
            "id": self.name,
            "addr": f"{self.address}:{self.port}",
            "zone": "east",
            "kind": "std",
            "cell": self.cell,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    def close(self) -> None:
        """Stop listening and reset all connections; all sessions are cut."""
        if self._server is not None:
            self._server.close()
        for writer in [*self._writers, *self._useless]:
            writer.transport.abort()
        self.standing.clear()

    def reset_idle(self, quiet: float) -> None:
        """Reset a connection on which nothing was open or passed for `quiet` seconds, if there is one."""
        before = self.record.now() - quiet
        idle = [each for each in self._writers if self._used_at[each] < before]
        idle = [each for each in idle if each not in self._open.values()]
        if idle:
            self.record.write(self.name, "an idle connection is reset")
            random.choice(idle).transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        self._used_at[writer] = self.record.now()
        ends, self._unheard = self._unheard, []
        for call, cause in ends:
            self.record.write(self.name, "release on a new connection", session=call.hex(), cause=cause)
            writer.write(frame(RELEASE, call, {CAUSE: bytes((cause,))}))
        try:
            while True:
                message = await read_frame(reader)
                self._used_at[writer] = self.record.now()
                if writer not in self._useless:
                    self._handle(writer, *message)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self._writers:
                self._writers.remove(writer)
            self._useless.discard(writer)
            del self._used_at[writer]
            for call in [each for each, owner in self._open.items() if owner is writer]:
                del self._open[call]
                self.record.write(self.name, "given up with its connection", session=call.hex())
            writer.close()

    def _handle(self, writer: asyncio.StreamWriter, kind: int, call: bytes, params: dict) -> None:
        loop = asyncio.get_running_loop()
        if kind == TEST:
            loop.call_later(self.test_delay, self._write, writer, frame(TEST_RESULT, call, {CAUSE: b"\1"}))
        elif kind == SET_UP:
            self.set_ups.append((self.record.now(), call, params.get(CLASS, b"")))
            self.record.write(self.name, "set-up", session=call.hex(), left=params[TIMEOUT].decode())
            self._open[call] = writer
            loop.call_later(self.answer_delay, self._answer, writer, call, params.get(DESCRIPTION, b""))
        elif kind == RELEASE:
            self._write(writer, frame(RELEASE_HEARD, call))
            if self._open.pop(call, None) is not None:
                self.record.write(self.name, "set-up given up by the gateway", session=call.hex())
            elif call in self.standing:
                self.record.write(self.name, "session cut by the gateway", session=call.hex())
                self._release(call, CANCELLED)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.transport.is_closing():
            self._used_at[writer] = self.record.now()
            writer.write(data)

    def _answer(self, writer: asyncio.StreamWriter, call: bytes, description: bytes) -> None:
        if self._open.pop(call, None) is None:
            return
        self.standing[call] = writer
        asyncio.get_running_loop().call_later(self.life, self._end, call)
        if random.random() < self.lost_answers:
            self.record.write(self.name, "runs, and its answer never comes", session=call.hex())
            self._useless.add(writer)
            self._writers.remove(writer)
            return
        self.record.write(self.name, "answered", session=call.hex())
        self._write(
            writer, frame(ANSWER, call, {DESCRIPTION: b"at " + self.name.encode() + b" " + description})
        )

    def _end(self, call: bytes) -> None:
        if call in self.standing:
            self.ends[call] = self.record.now()
            self.record.write(self.name, "session over", session=call.hex())
            self._release(call, PLAYED_TO_ITS_END)

    def _release(self, call: bytes, cause: int) -> None:
        """Send a release on the connection of the set-up or any open one, and on the next that is opened."""
        writer = self.standing.pop(call)
        if writer not in self._writers:
            writer = self._writers[-1] if self._writers else None
        self._unheard.append((call, cause))
        if writer is not None:
            self._write(writer, frame(RELEASE, call, {CAUSE: bytes((cause,))}))


class Request:
    """A viewer's request and what became of it; times in seconds of the record."""

    def __init__(self, call: bytes, service: str, budget: float, sent_at: float) -> None:
        self.call, self.service, self.budget, self.sent_at = call, service, budget, sent_at
        self.answered_at: float | None = None
        self.result = ""  # served, refused, failed, "closed" without an answer
        self.description = b""
        self.released_at: float | None = None
        self.answers = 0
        self.given_up_at: float | None = None


class Viewers:
    """Viewers: connections to one gateway, requests on them and their answers."""

    def __init__(self, record: Record, address: str, port: int, prefix: int = 1) -> None:
        self.record, self.address, self.port = record, address, port
        self.requests: dict[bytes, Request] = {}
        self._last, self._prefix = 0, prefix

    async def connect(self, source: str = "127.0.0.1") -> ViewerConnection:
        """Open a connection."""
        reader, writer = await asyncio.open_connection(self.address, self.port, local_addr=(source, 0))
        return ViewerConnection(self, reader, writer)

    async def test(self) -> bool:
        """Return whether the gateway passes a test on a new connection."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.port)
        except OSError:
            return False
        try:
            writer.write(frame(TEST, bytes(8), {CAUSE: b"\0"}))
            kind, _, params = await asyncio.wait_for(read_frame(reader), 2)
            return kind == TEST_RESULT and params.get(CAUSE) == b"\1"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, gateway: Gateway, limit: float = 30.0) -> float:
        """Wait until a test is passed and return the time that it took. Raises RuntimeError."""
        begin = self.record.now()
        while not await self.test():
            if gateway.has_ended() or self.record.now() - begin > limit:
                raise RuntimeError("the gateway has ended or is not ready in time")
            await asyncio.sleep(0.05)
        self.record.write("platform", "gateway ready")
        return self.record.now() - begin

    def new_call(self) -> bytes:
        """Return a new session number."""
        self._last += 1
        return struct.pack(">HHI", self._prefix, 0x5A5A, self._last)


class ViewerConnection:
    """One connection from viewers."""

    def __init__(self, viewers: Viewers, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.viewers, self.reader, self.writer = viewers, reader, writer
        self.open: set[bytes] = set()
        self.sessions: set[bytes] = set()
        self.is_closed = self.has_answered = False
        self.task = asyncio.ensure_future(self._read())

    def set_up(self, service: str, budget: float, title: int = 7, home: int = 0, copies: int = 4) -> Request:
        """Send a set-up that waits `budget` seconds for its answer."""
        viewers, call = self.viewers, self.viewers.new_call()
        request = Request(call, service, budget, viewers.record.now())
        viewers.requests[call] = request
        self.open.add(call)
        figures = f"home:{home};copies:{copies};top:2;viewer:{call.hex()}"
        params = {
            CLASS: service.encode(),
            TIMEOUT: b"%d" % round(budget * 1000),
            TENANT: b"acme",
            TITLE: b"%016x" % title,
            HINT: b"20000.0",
            FIGURES: figures.encode(),
            DESCRIPTION: b"offer " + call.hex().encode(),
        }
        viewers.record.write("viewer", "set-up", session=call.hex(), service=service, left=budget)
        self.writer.write(frame(SET_UP, call, params))
        return request

    def release(self, call: bytes) -> None:
        """Give a set-up up or end a session."""
        self.viewers.record.write("viewer", "release", session=call.hex())
        self.viewers.requests[call].given_up_at = self.viewers.record.now()
        self.open.discard(call)
        self.sessions.discard(call)
        self.writer.write(frame(RELEASE, call, {CAUSE: b"\x10"}))

    async def _read(self) -> None:
        try:
            while True:
                kind, call, params = await read_frame(self.reader)
                if kind in (ANSWER, RELEASE) and call in self.viewers.requests:
                    self._handle(self.viewers.requests[call], kind, params)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.is_closed = True
        self.writer.close()
        for call in self.open:
            self.viewers.requests[call].result = "closed"
            self.viewers.record.write("viewer", "connection ended without an answer", session=call.hex())

    def _handle(self, request: Request, kind: int, params: dict[int, bytes]) -> None:
        self.has_answered = True
        now, call = self.viewers.record.now(), request.call
        cause = params.get(CAUSE, b"\0")[0]
        if request.result == "served" and kind == RELEASE:
            request.released_at = now
            self.sessions.discard(call)
            self.viewers.record.write("viewer", "session released", session=call.hex(), cause=cause)
            return
        request.answers += 1
        request.answered_at = now
        self.open.discard(call)
        if kind == ANSWER:
            request.result, request.description = "served", params.get(DESCRIPTION, b"")
            self.sessions.add(call)
        else:
            request.result = "refused" if cause in REFUSED_CAUSES else "failed"
        took = round(now - request.sent_at, 3)
        self.viewers.record.write("viewer", request.result, session=call.hex(), cause=cause, took=took)

    def close(self) -> None:
        """Finish the connection; what the gateway has sent on it until it sees that is still read."""
        self.writer.write_eof()


SETTINGS = {
    "accounts": [{"name": "acme", "quotaPerS": 50.0, "share": 1.0}],
    "azs": ["east"],
    "caps": {
        "cancel": True,
        "connectTimeout": 250_000,
        "idleClose": 30_000_000,
        "maxAttempts": 5,
        "maxRetryAfter": 500_000,
        "retryAfter": True,
    },
    "discovery": "automatic",
    "family": "streams",
    "familyInfo": {
        "cells": 4,
        "kindSlots": [60],
        "ladderWorth": [0.25, 0.5, 1.0],
        "levelKb": [2.0, 4.0, 9.0],
        "lowestRung": [0, 0],
        "seats": [0, 0],
        "racks": 1,
        "linksKb": 40_000.0,
        "rackLinkKb": 4_000_000.0,
        "see": 500_000,
        "reportsEvery": 2_750_000,
    },
    "invariants": {
        "answerSlack": 40_000,
        "cold": 0,
        "coldFrom": 1,
        "fall": 1_500_000,
        "overloadFactor": 2.5,
        "stopSendingWithin": 1_000_000,
    },
    "me": 0,
    "nInstances": 1,
    "report": {"fields": ["x0"], "via": "piggyback"},
    "services": [
        {"name": "paid", "idempotency": "single_shot", "aim": 1_500_000, "hardLimit": 3_000_000, "worth": 3},
        {"name": "free", "idempotency": "free", "aim": 1_000_000, "hardLimit": 5_000_000, "worth": 1},
    ],
    "shapes": ["std"],
    "weights": "silent",
    "worthBy": "work",
    "zone": 0,
}


class Gateway:
    """The process that `run` of the deploy file starts."""

    def __init__(
        self, record: Record, change_log: ChangeLog, settings: dict, sockets: int = 256, number: int = 0
    ) -> None:
        self.record, self.change_log, self.sockets, self.name = record, change_log, sockets, f"n{number}"
        self.settings = settings | {"me": number}
        self.address, self.port = ADDRESS, free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.config_path, self.log_path = self.folder / "config.json", self.folder / "log"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Write the configuration with the change log's events up to now."""
        events = list(self.change_log.events)
        document = {
            "name": self.name,
            "listen": f"{self.address}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.sockets},
            "changelog": f"{self.change_log.address}:{self.change_log.port}",
            "known": {"seq": len(events), "results": events},
            "settings": self.settings,
        }
        partial = self.folder / "config.new"
        partial.write_text(json.dumps(document))
        partial.rename(self.config_path)

    async def start(self) -> None:
        """Start the process with the platform's limit of descriptors."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{self.address}:{self.port}",
            "NODE_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        sockets = self.sockets

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=limit
            )
        self.record.write(self.name, "started", pid=self.process.pid)

    def send(self, number: int) -> None:
        """Send a signal."""
        self.record.write(self.name, "signal", number=int(number))
        self.process.send_signal(number)

    def descriptors(self) -> int:
        """Return the number of descriptors that the process holds."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return -1

    def has_ended(self) -> bool:
        """Return whether the process has ended, which no case asks of it."""
        return self.process is None or self.process.returncode is not None

    async def close(self) -> str:
        """End the process and return its log."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        self._folder.cleanup()
        return text


class Case:
    """What a case's play uses: the record, whether the disruption is on, and the processes to end."""

    def __init__(self, record: Record, has_trouble: bool) -> None:
        self.record, self.has_trouble = record, has_trouble
        self.gateways: list[Gateway] = []
        self.worst_lag = 0.0

    def gateway(self, change_log: ChangeLog, settings: dict, sockets: int = 256) -> Gateway:
        """Return a new gateway, which is ended with the case."""
        self.gateways.append(Gateway(self.record, change_log, settings, sockets, len(self.gateways)))
        return self.gateways[-1]

    async def watch_lag(self) -> None:
        """Measure how late the stand-ins' own loop runs."""
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.worst_lag = max(self.worst_lag, time.monotonic() - due)


HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# s; a stand-in that runs later than this proves nothing about a gateway
MAX_LAG = 0.2


def run_case(folder: Path, play: Callable[[Case], Awaitable[list[str]]], limit: float = 117.0) -> int:
    """Play a case and return its exit code; `play` returns one line for each breach of its rule."""
    record = Record(folder / "record.txt")
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    record.write("case", "begins", trouble=int(case.has_trouble))

    async def main() -> list[str]:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        lag = asyncio.ensure_future(case.watch_lag())
        try:
            return await asyncio.wait_for(play(case), limit)
        finally:
            lag.cancel()
            for gateway in case.gateways:
                if gateway.has_ended():
                    record.write(gateway.name, "ended by itself")
                for line in (await gateway.close()).splitlines()[-40:]:
                    record.write(gateway.name, "log", line=line)

    try:
        breaches = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - whatever stops it, it could not run
        record.write("case", "could not run", error=repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    for line in breaches:
        record.write("case", "breach", what=line)
    text = f"{len(breaches)} breaches, the stand-ins ran at most {case.worst_lag * 1000:.0f} ms late"
    record.write("case", "ends", result=text)
    print(text, *breaches[:5], sep="\n  ")
    if case.worst_lag > MAX_LAG:
        return COULD_NOT_RUN
    return BROKEN if breaches else HELD
