"""A network in memory with a virtual clock: the same seed gives the same run, and nothing ever waits.

Every machine of the world is a `Node`, which is a `Loop` of its own; the `World` holds the one clock. Bytes
take a drawn time between nodes and keep their order; a node may be killed, paths may be slowed or cut.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mintmast.loop.base import DEFAULT_LIMITS, CloseReason, Handler, StreamLimits, Timer, Timers

EPOCH_S = 1_800_000_000  # s; the wall clock of every world at its start
CONNECT_TIMEOUT_US = 3_000_000  # µs; a connection into a cut path is given up by the network after this


@dataclass(slots=True)
class PathConditions:
    """What befalls what goes one way between two machines; parts are of all datagrams, or of all writes.

    `cut`: nothing comes, TCP tries on. `swallows`: TCP connections open and stay open, and nothing comes.
    `late` in µs. `short`: a write comes by half, then the connection breaks.
    """

    is_cut: bool = False
    is_black_hole: bool = False
    extra_delay: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    truncation: float = 0.0

    @property
    def is_usable(self) -> bool:
        """Tell whether most of what is sent comes."""
        return not (self.is_cut or self.is_black_hole) and self.loss < 0.5 and self.truncation < 0.5


NO_FAULTS = PathConditions()


class World:
    """All nodes, one clock, one seed. `latency` is the range of one way between nodes in microseconds."""

    def __init__(self, seed: int, latency: tuple[int, int] = (100, 900)) -> None:
        self.random = random.Random(seed)
        self.latency = latency
        self.time = 1_000_000
        self.nodes: dict[str, Node] = {}
        self.cut_paths: set[tuple[str, str]] = set()
        self.extra_delays: dict[tuple[str, str], int] = {}  # µs more, one way
        self.loss = self.duplication = 0.0  # parts of all datagrams
        self.path_conditions: dict[tuple[str, str], PathConditions] = {}
        self._timers = Timers()

    def node(self, name: str) -> Node:
        """Make the machine `name`, or make it anew after `kill`."""
        old = self.nodes.get(name)
        node = self.nodes[name] = Node(self, name, old.skew if old else 0.0)
        return node

    def at(self, when: int, do: Callable[..., Any], *args: Any) -> Timer:
        """Call at a time of the world, whichever nodes live then."""
        return self._timers.add(max(when, self.time), do, args)

    def run(self, until: int) -> None:
        """Let the world go on to the time `until`."""
        while (due := self._timers.next()) is not None and due <= until:
            timer = self._timers.pop(due)
            if timer is not None and timer.callback is not None:
                self.time = max(self.time, due)
                timer.callback(*timer.args)
        self.time = max(self.time, until)

    def draw_delay(self, source: str, target: str) -> int | None:
        """Draw the time of one way; None where the path is cut."""
        way = self.conditions_between(source, target)
        if (source, target) in self.cut_paths or way.is_cut:
            return None
        return (
            self.random.randint(*self.latency) + self.extra_delays.get((source, target), 0) + way.extra_delay
        )

    def conditions_between(self, source: str, target: str) -> PathConditions:
        """Give what befalls what goes from one node to another."""
        return self.path_conditions.get((source, target), NO_FAULTS)

    def reset_connections(self, one: str, other: str) -> None:
        """Reset all connections between two nodes."""
        for name, peer in ((one, other), (other, one)):
            node = self.nodes.get(name)
            for end in list(node._streams) if node is not None else ():
                if end.other is not None and end.other.node.name == peer:
                    node.run_callback(end.end, CloseReason.RESET)


class Node:
    """A machine of the world: its timers, listeners and streams die with it."""

    def __init__(self, world: World, name: str, skew: float) -> None:
        self.world, self.name, self.skew = world, name, skew
        self.alive = True
        self.frozen_calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] | None = None
        self._listeners: dict[int, _Listener] = {}
        self._ports: dict[int, _DatagramSocket] = {}
        self._streams: dict[_Endpoint, None] = {}
        self._port = 20_000
        self.longest_turn = self.turns = 0

    def now(self) -> int:
        """Give the microseconds of the world's clock."""
        return self.world.time

    def wall(self) -> float:
        """Give the seconds since 1970, with this node's skew."""
        return EPOCH_S + self.world.time / 1e6 + self.skew

    def call_at(self, when: int, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` at `when` if the node still lives."""
        timer = Timer(when, do, args)
        self.world.at(when, self._run_timer, timer)
        return timer

    def call_soon(self, do: Callable[..., Any], *args: Any) -> Timer:
        """Call `do(*args)` after what is going on."""
        return self.call_at(self.world.time, do, *args)

    def _run_timer(self, timer: Timer) -> None:
        if timer.callback is not None:
            self.run_callback(timer.callback, *timer.args)

    def run_callback(self, what: Callable[..., Any], *args: Any) -> None:
        """Run a callback of this node: now, after a stand-still, or never if it is dead."""
        if not self.alive:
            return
        if self.frozen_calls is not None:
            self.frozen_calls.append((what, args))
            return
        what(*args)

    def freeze(self) -> None:
        """Stand still: what comes waits."""
        if self.frozen_calls is None:
            self.frozen_calls = []

    def thaw(self) -> None:
        """Go on, with all that came meanwhile at once."""
        waiting, self.frozen_calls = self.frozen_calls or [], None
        for what, args in waiting:
            self.run_callback(what, *args)

    def kill(self) -> None:
        """Die without warning: peers see their connections break."""
        self.alive = False
        for end in list(self._streams):
            end.break_off()
        self._listeners.clear()
        self._ports.clear()
        self._streams.clear()

    def listen(
        self,
        host: str,
        port: int,
        accept: Callable[[], Handler],
        backlog: int = 512,
        limits: StreamLimits = DEFAULT_LIMITS,
    ) -> _Listener:
        """Accept connections; the host name is the node's."""
        self._port += 1
        port = port or self._port
        if port in self._listeners:
            raise OSError(f"port {port} of {self.name} is taken")
        listener = self._listeners[port] = _Listener(self, port, accept, limits)
        return listener

    def connect(
        self, host: str, port: int, handler: Handler, limits: StreamLimits = DEFAULT_LIMITS
    ) -> _Endpoint:
        """Begin to connect to the node `host`."""
        ours = _Endpoint(self, handler, limits, (host, port))
        self._streams[ours] = None
        there = self.world.draw_delay(self.name, host)
        back = self.world.draw_delay(host, self.name)
        if there is None or back is None:
            self.call_at(self.now() + CONNECT_TIMEOUT_US, ours.end, CloseReason.UNREACHABLE)
        else:
            self.world.at(self.now() + there, self._accept_connection, ours, host, port, back)
        return ours

    def open_datagrams(
        self, host: str, port: int, take: Callable[[bytes, tuple[str, int]], Any]
    ) -> _DatagramSocket:
        """Take and send datagrams; the host name is the node's."""
        if port in self._ports:
            raise OSError(f"datagram port {port} of {self.name} is taken")
        bound = self._ports[port] = _DatagramSocket(self, port, take)
        return bound

    def _accept_connection(self, ours: _Endpoint, host: str, port: int, back: int) -> None:
        target = self.world.nodes.get(host)
        listener = target._listeners.get(port) if target is not None and target.alive else None
        if target is None or listener is None or ours.is_closed:
            self.world.at(self.world.time + back, self.run_callback, ours.end, CloseReason.REFUSED)
            return
        self._port += 1
        theirs = _Endpoint(target, listener.accept(), listener.limits, (self.name, self._port))
        target._streams[theirs] = None
        theirs.other, ours.other = ours, theirs
        target.run_callback(theirs.open)
        self.world.at(self.world.time + back, self.run_callback, ours.open)


class _Listener:
    def __init__(self, node: Node, port: int, accept: Callable[[], Handler], limits: StreamLimits) -> None:
        self._node, self.port, self.accept, self.limits = node, port, accept, limits

    def close(self) -> None:
        self._node._listeners.pop(self.port, None)

    finish = close


class _DatagramSocket:
    """A port for datagrams."""

    def __init__(self, node: Node, port: int, take: Callable[[bytes, tuple[str, int]], Any]) -> None:
        self.node, self.port, self._take = node, port, take

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        world = self.node.world
        way = world.conditions_between(self.node.name, to[0])
        if way.is_black_hole:
            return
        lost, doubled = max(world.loss, way.loss), max(world.duplication, way.duplication)
        for _ in range(1 + (world.random.random() < doubled)):
            delay = world.draw_delay(self.node.name, to[0])
            if delay is not None and world.random.random() >= lost:
                world.at(world.time + delay, self._arrive, bytes(data), to)

    def _arrive(self, data: bytes, to: tuple[str, int]) -> None:
        target = self.node.world.nodes.get(to[0])
        port = target._ports.get(to[1]) if target is not None else None
        if target is not None and port is not None:
            target.run_callback(port._take, data, (self.node.name, self.port))

    def close(self) -> None:
        self.node._ports.pop(self.port, None)


class _Endpoint:
    """One side of a connection."""

    def __init__(self, node: Node, handler: Handler, limits: StreamLimits, peer: tuple[str, int]) -> None:
        self.node, self.handler, self.limits, self.peer = node, handler, limits, peer
        self.other: _Endpoint | None = None
        self.bytes_sent = 0
        self.is_closed = self.is_open = False
        self._closing = self._paused = self._backlog = False
        self._queued_before_open: list[bytes] = []
        self._inbox: deque[bytes | CloseReason] = deque()
        self._in_flight = 0  # bytes on the way to the other side or unread there
        self._last_arrival = 0  # arrival of the last thing sent: order is kept

    def open(self) -> None:
        if self.is_closed:
            return
        self.is_open = True
        self.handler.opened(self)
        early, self._queued_before_open = self._queued_before_open, []
        for data in early:
            self._transmit(data)
        if self._closing:
            self._finish()

    def write(self, data: bytes) -> bool:
        if self.is_closed or self._closing or not data:
            return not self._backlog
        self._in_flight += len(data)
        if self._in_flight > self.limits.max_unsent + self.limits.read_size:
            self.node.call_soon(self.end, CloseReason.OVERFLOW)
            return False
        if self.is_open:
            self._transmit(data)
        else:
            self._queued_before_open.append(data)
        self._backlog = self._backlog or self._in_flight > self.limits.drained_below
        return not self._backlog

    def _transmit(self, data: bytes) -> None:
        self.bytes_sent += len(data)
        self._send(bytes(data))

    def _send(self, what: bytes | CloseReason) -> None:
        other = self.other
        if other is None:
            return
        world = self.node.world
        way = world.conditions_between(self.node.name, other.node.name)
        if way.is_black_hole:
            return
        delay = world.draw_delay(self.node.name, other.node.name)
        if (
            way.truncation
            and isinstance(what, bytes)
            and delay is not None
            and world.random.random() < way.truncation
        ):
            self._last_arrival = max(self._last_arrival, world.time + delay)
            world.at(self._last_arrival, other.node.run_callback, other.arrive, what[: len(what) // 2], self)
            world.at(self._last_arrival, other.node.run_callback, other.end, CloseReason.RESET)
            self.node.call_soon(self.end, CloseReason.RESET)
            return
        if delay is None:  # cut: TCP tries on, nothing arrives until the path is back
            world.at(world.time + 50_000, self._send, what)
            return
        self._last_arrival = max(self._last_arrival, world.time + delay)
        world.at(self._last_arrival, other.node.run_callback, other.arrive, what, self)

    def arrive(self, what: bytes | CloseReason, sender: _Endpoint) -> None:
        if self.is_closed:
            return
        if what is CloseReason.RESET:
            self.end(CloseReason.RESET)
            return
        self._inbox.append(what)
        self._read()

    def _read(self) -> None:
        while self._inbox and not self._paused and not self.is_closed and self.is_open:
            what = self._inbox.popleft()
            if isinstance(what, CloseReason):
                self.handler.finished()
                if not self._closing:
                    self.end(CloseReason.EOF)
                return
            if self.other is not None:
                self.other._record_read(len(what))
            self.handler.received(what)

    def _record_read(self, size: int) -> None:
        self._in_flight -= size
        if self._backlog and self._in_flight <= self.limits.drained_below and not self.is_closed:
            self._backlog = False
            self.node.call_soon(self._drained)

    def _drained(self) -> None:
        if not self.is_closed:
            self.handler.drained()

    def pause(self) -> None:
        self._paused = True

    def resume(self) -> None:
        self._paused = False
        self.node.call_soon(self._read)

    def close(self) -> None:
        if self._closing or self.is_closed:
            return
        self._closing = True
        if self.is_open:
            self._finish()

    def _finish(self) -> None:
        self._send(CloseReason.EOF)
        self.node.call_soon(self.end, CloseReason.LOCAL)

    def has_unread(self) -> bool:
        return bool(self._inbox)

    finish = close

    def abort(self) -> None:
        self.end(CloseReason.LOCAL)

    def end(self, reason: CloseReason) -> None:
        if self.is_closed:
            return
        if reason in (CloseReason.LOCAL, CloseReason.OVERFLOW) and not self._closing:
            self._send(CloseReason.RESET)
        self.is_closed = True
        self.node._streams.pop(self, None)
        self.handler.closed(reason)

    def break_off(self) -> None:
        self.is_closed = True
        self._send(CloseReason.RESET)
