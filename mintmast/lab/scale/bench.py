"""A loop on virtual time whose hosts and viewers are hollow: real bytes, and no socket.

One whole real gateway runs on it. Of every turn that it takes the processor time is kept, by kind; what hosts
and viewers do is outside of it, and so are the system's calls, which are left out.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from mintmast.decisions import messages as msg
from mintmast.hosts.protocol import CLOCK, LOAD, encode_event, encode_load
from mintmast.lab.standin import KEEP_ALIVE
from mintmast.loop.base import DEFAULT_LIMITS, Handler, StreamLimits, Timer, Timers
from mintmast.loop.memory import EPOCH_S

SECOND = 1_000_000
LATENCY = 500  # µs of a way to a host, its work and the way back, each half: the order of the stand-in's
NOTES_EVERY = 3 * SECOND  # µs between a host's words of use, as `HostModel.notes_every`
USE = 0.5  # of links and uplinks, as hosts note it: every step is worth its rate


class Bench:
    """A loop on virtual time whose hosts are hollow. `spent` has the ns of the gateway's turns, by kind.

    Where `paced`, the clock goes on by what a turn takes, as on one core: what comes meanwhile waits.
    """

    def __init__(self) -> None:
        self.time, self.paced = SECOND, False
        self.accept: Callable[[], Handler] | None = None
        self.lines: dict[str, _HostWire] = {}
        self.answered: list[Viewer] = []
        self._timers = Timers()
        self.reset()

    def reset(self) -> None:
        """Forget what was measured."""
        self.spent: dict[str, list[int]] = defaultdict(list)
        self.sent: dict[str, list[int]] = defaultdict(list)  # bytes of each message, by kind
        self.received: dict[str, list[int]] = defaultdict(list)
        self.renewed = self.all = 0

    def now(self) -> int:
        """Give µs."""
        return self.time

    def wall(self) -> float:
        """Give s since 1970."""
        return EPOCH_S + self.time / SECOND

    def call_at(self, when: int, do: Callable[..., Any], *args: Any) -> Timer:
        """Set a timer of the gateway."""
        return self._timers.add(when, do, args)

    def call_soon(self, do: Callable[..., Any], *args: Any) -> Timer:
        """Call in the next turn."""
        return self._timers.add(self.time, do, args)

    def at(self, when: int, do: Callable[..., Any], *args: Any) -> None:
        """Let the bench itself do something; its time is not the gateway's."""
        self._timers.add(when, do, (_MINE, *args))

    def listen(
        self, host: str, port: int, accept: Callable[[], Handler], backlog: int = 512, limits: Any = None
    ) -> Bench:
        """Keep who accepts: the bench brings its viewers there."""
        self.accept, self.port = accept, port
        return self

    def connect(
        self, host: str, port: int, handler: Handler, limits: StreamLimits = DEFAULT_LIMITS
    ) -> _HostWire:
        """Connect to a hollow host."""
        wire = _HostWire(self, f"{host}:{port}", handler)
        self.at(self.time + LATENCY, self.turn, "connected", handler.opened, wire)
        return wire

    def turn(self, kind: str, do: Callable[..., Any], *args: Any) -> None:
        """Let the gateway take a turn, and keep what it costs."""
        begin = time.process_time_ns()
        do(*args)
        took = time.process_time_ns() - begin
        self.spent[kind].append(took)
        self.all += took
        if self.paced:
            self.time += took // 1000
        for viewer in self.answered:
            viewer.at = self.time
        self.answered.clear()

    def run(self, until: int, most: int | None = None) -> None:
        """Go on to `until`, or until the turns have taken `most` ns."""
        before = self.all
        while (due := self._timers.next()) is not None and due <= until:
            timer = self._timers.pop(due)
            if timer is None or timer.callback is None:
                continue
            self.time, do, args = max(self.time, due), timer.callback, timer.args
            if args and args[0] is _MINE:
                do(*args[1:])
            else:
                due_for = args[0].token[0] if args and isinstance(args[0], msg.TimerFired) else do.__name__
                self.turn(f"due.{due_for}", do, *args)
            if most is not None and self.all - before > most:
                return
        self.time = max(self.time, until)

    def ns(self, *kinds: str) -> int:
        """Give the ns of the turns of some kinds; `all` has those of all."""
        return sum(sum(self.spent[kind]) for kind in kinds)

    def line(self, host: str, kind: str, **fields: Any) -> None:
        """Let a host say something on its line."""
        wire, data = self.lines.get(host), encode_event(kind, **fields)
        if wire is not None:
            wire.told(f"line.{kind}", b"%x\r\n%b\r\n" % (len(data), data))


_MINE = object()


class _HostWire:
    """The gateway's end of a connection to a hollow host."""

    def __init__(self, bench: Bench, host: str, handler: Handler) -> None:
        self.bench, self.host, self._handler = bench, host, handler
        self.bytes_sent, self.peer, self.over = 0, (host, 0), False

    def write(self, data: bytes) -> bool:
        """Take a whole call; it is answered later."""
        self.bytes_sent += len(data)
        self.bench.at(self.bench.time + LATENCY, self._answer, data)
        return True

    def _answer(self, data: bytes) -> None:
        bench, method = self.bench, data.split(b" ", 1)[0].decode()
        kind = {"PUT": "set_up", "POST": "renew", "GET": "line", "PATCH": "rung", "DELETE": "end"}[method]
        bench.sent[kind].append(len(data))
        if kind == "line":
            bench.lines[self.host] = self
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.told("line.head", head)
            bench.line(self.host, "hello", process="1", age_ms=None, drains=False, clock=bench.time)
            spread = random.Random(self.host)  # hosts do not speak in step
            bench.at(bench.time + spread.randrange(KEEP_ALIVE), self._tick)
            bench.at(bench.time + spread.randrange(NOTES_EVERY), self._note)
            return
        body = b'{"unknown": []}' if kind == "renew" else b"{}"
        if kind == "renew":
            bench.renewed += data.count(b'"epoch":')
        use = encode_load({"x0": USE, "x1": USE})
        head = (
            f"HTTP/1.1 {201 if kind == 'set_up' else 200} OK\r\n{LOAD}: {use}\r\n{CLOCK}: {bench.time}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.told(f"{kind}.answer", head.encode() + body)

    def told(self, kind: str, data: bytes) -> None:
        """Bring bytes of the host to the gateway."""
        if not self.over:
            self.bench.received[kind].append(len(data))
            self.bench.turn(kind, self._handler.received, data)

    def _tick(self) -> None:
        self.bench.line(self.host, "tick", clock=self.bench.time)
        self.bench.at(self.bench.time + KEEP_ALIVE, self._tick)

    def _note(self) -> None:
        for kind in ("link", "uplink"):
            self.bench.line(self.host, kind, value=USE)
        self.bench.at(self.bench.time + NOTES_EVERY, self._note)

    def abort(self) -> None:
        """End it."""
        self.over = True

    close = finish = abort


class Viewer:
    """A viewer's connection: `ask` brings a request of a kind, `answer` holds what came back.

    `wanted` is the time at which he asked, `at` the end of the turn that answered (µs; 0 for not yet).
    """

    handed_over, peer = 0, ("viewer", 1)

    def __init__(self, bench: Bench) -> None:
        self.bench, self.answer, self.wanted, self.at = bench, b"", 0, 0
        assert bench.accept is not None
        self._handler = bench.accept()
        bench.turn("viewer.opened", self._handler.opened, self)

    def ask(self, kind: str, target: str, wanted: int, headers: str = "") -> None:
        """Send a request that was wanted at that time."""
        head = f"GET {target} HTTP/1.1\r\nHost: gw0:8080\r\nAccept: */*\r\n{headers}\r\n".encode()
        self.wanted, self.at, self.answer = wanted, 0, b""
        self.bench.received[f"viewer.{kind}"].append(len(head))
        self.bench.turn(f"viewer.{kind}", self._handler.received, head)

    def write(self, data: bytes) -> bool:
        """Take an answer."""
        self.answer += data
        self.bench.answered.append(self)
        return True

    def abort(self) -> None:
        """Nothing: its gateway ends it, or reads on."""

    close = finish = pause = resume = abort
