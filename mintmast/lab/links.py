"""Links between processes on loopback: one for every ordered pair, with what befalls it.

A gateway reaches each other one at an address of the link's own, over TCP and UDP alike; the link passes on
to the real address what its `PathConditions` lets through. The bytes that come back on a connection go
the other pair's way. A link takes no connections while nobody listens behind it, so that a
dead process is told from a cut path as on a real network.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from itertools import permutations
from typing import Any

from mintmast.loop import Loop
from mintmast.loop.base import CloseReason, Handler, Listener, Stream
from mintmast.loop.memory import PathConditions

Place = tuple[str, int]
Pair = tuple[int, int]
# µs between tries of what a cut holds up, and to find out whether somebody listens
TRY_AGAIN = 50_000


class _Half(Handler):
    """One side of a connection through a link: what comes here goes out at `other`."""

    def __init__(self, links: Links, pair: Pair) -> None:
        self.links, self.pair = links, pair  # the pair whose way these bytes go
        self.stream: Stream | None = None
        self.other: _Half | None = None
        self._waiting: list[bytes | None] = []  # None: the end
        self._busy = False

    def opened(self, stream: Stream) -> None:
        """Take note that this side is connected."""
        self.stream = stream
        if self.other is not None:
            self.other.go_on()

    def received(self, data: bytes) -> None:
        """Take bytes that are to go on."""
        self._waiting.append(bytes(data))
        self.go_on()

    def finished(self) -> None:
        """Take the end of what comes."""
        self._waiting.append(None)
        self.go_on()

    def closed(self, reason: CloseReason) -> None:
        """Take note that this side is over."""
        self.stream = None
        self.links.open.discard(self)
        other, self.other = self.other, None
        if other is not None and reason is not CloseReason.LOCAL:
            other.other = None
            self.links.loop.call_soon(other.abort)

    def abort(self) -> None:
        """Break this side off."""
        if self.stream is not None:
            self.stream.abort()

    def go_on(self) -> None:
        """Pass on what waits, as the way lets it."""
        target = self.other.stream if self.other is not None else None
        if self._busy or not self._waiting or target is None:
            return
        way = self.links.ways[self.pair]
        self._busy = True
        if way.is_cut or way.is_black_hole:
            if way.is_black_hole:
                self._waiting.clear()
            self.links.loop.call_at(self.links.loop.now() + TRY_AGAIN, self._again)
        else:
            self.links.loop.call_at(self.links.loop.now() + way.extra_delay, self._pass)

    def _again(self) -> None:
        self._busy = False
        self.go_on()

    def _pass(self) -> None:
        target = self.other.stream if self.other is not None else None
        if target is not None and self._waiting:
            data = self._waiting.pop(0)
            if data is None:
                target.close()
            elif self.links.random.random() < self.links.ways[self.pair].truncation:
                target.write(data[: len(data) // 2])
                target.close()
                self.abort()
            else:
                target.write(data)
        self._again()


class Links:
    """All links among `count` gateways on `address`; `port_of(name)` gives a port that is kept."""

    def __init__(
        self, loop: Loop, address: str, count: int, port_of: Callable[[str], int], seed: int
    ) -> None:
        self.loop, self.address, self.count, self._port_of = loop, address, count, port_of
        self.random = random.Random(f"{seed}/links")
        self.ways: dict[Pair, PathConditions] = defaultdict(PathConditions)
        self.open: set[_Half] = set()
        self._listeners: dict[Pair, Listener] = {}
        self._vanished: set[int] = set()
        self._ports: dict[Pair, Any] = {}
        for pair in self._pairs():
            self._ports[pair] = loop.open_datagrams(
                address, self._port(pair), lambda data, sender, pair=pair: self._datagram(pair, data)
            )

    def _pairs(self) -> list[Pair]:
        return list(permutations(range(self.count), 2))

    def _port(self, pair: Pair) -> int:
        return self._port_of(f"link-{pair[0]}-{pair[1]}")

    def place(self, source: int, target: int) -> str:
        """Give the address at which one gateway reaches another."""
        return f"{self.address}:{self._port((source, target))}"

    def real(self, target: int) -> Place:
        """Give where a gateway listens for the others."""
        return self.address, self._port_of(f"gw{target}-peers")

    # TCP

    def vanish(self, target: int) -> None:
        """Take a gateway's machine away: connections to it open, and nothing comes back."""
        self._vanished.add(target)

    def vanished(self, target: int) -> bool:
        """Tell whether its machine is away."""
        return target in self._vanished

    def listen(self, target: int, on: bool = True) -> None:
        """Take connections for a gateway, or refuse them as its machine does."""
        for pair in self._pairs():
            if pair[1] != target:
                continue
            if on and pair not in self._listeners:
                accept = lambda pair=pair: self._accept(pair)  # noqa: E731
                self._listeners[pair] = self.loop.listen(self.address, self._port(pair), accept)
            elif not on and pair in self._listeners:
                self._listeners.pop(pair).close()

    def listen_when_there(self, target: int, wanted: Callable[[], bool]) -> None:
        """Take connections for a gateway as soon as it listens, while it is `wanted`."""
        probe = _Probe(lambda there: self._found(target, there, wanted))
        self.loop.connect(*self.real(target), probe)

    def _found(self, target: int, there: bool, wanted: Callable[[], bool]) -> None:
        if not wanted():
            return
        if there:
            self._vanished.discard(target)
            self.listen(target)
        else:
            again = self.loop.now() + TRY_AGAIN
            self.loop.call_at(again, self.listen_when_there, target, wanted)

    def _accept(self, pair: Pair) -> Handler:
        near, far = _Half(self, pair), _Half(self, (pair[1], pair[0]))
        near.other, far.other = far, near
        self.open |= {near, far}
        if pair[1] not in self._vanished:
            self.loop.connect(*self.real(pair[1]), far)
        return near

    def break_all(self, one: int, other: int) -> None:
        """Reset all connections between two gateways."""
        for half in [each for each in self.open if set(each.pair) == {one, other}]:
            half.abort()

    # UDP

    def _datagram(self, pair: Pair, data: bytes) -> None:
        way = self.ways[pair]
        if way.is_cut or way.is_black_hole:
            return
        for _ in range(1 + (self.random.random() < way.duplication)):
            if self.random.random() >= way.loss:
                at = self.loop.now() + way.extra_delay
                self.loop.call_at(at, self._ports[pair].send, bytes(data), self.real(pair[1]))

    def close(self) -> None:
        """Close all."""
        for each in (*self._listeners.values(), *self._ports.values()):
            each.close()
        for half in list(self.open):
            half.abort()


class _Probe(Handler):
    """Finds out whether somebody listens."""

    def __init__(self, told: Callable[[bool], None]) -> None:
        self._told = told
        self._there = False

    def opened(self, stream: Stream) -> None:
        """Somebody does."""
        self._there = True
        stream.abort()

    def closed(self, reason: CloseReason) -> None:
        """Tell."""
        self._told(self._there)
