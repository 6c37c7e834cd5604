"""One whole gateway in memory, its work timed by kind and its bytes counted, among hollow ones or real ones.

Processor time is the process's own, taken around the calls into each part, with what it calls in another part
taken out.
"""

from __future__ import annotations

import gc
import math
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from mintmast.config import Config, parse
from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.witness import RECORD_RETENTION_US
from mintmast.gateway import Gateway
from mintmast.lab.drills.day import Day, settings
from mintmast.lab.scale.hollow import Hollow
from mintmast.lab.stage import ACCESS, GATEWAY_PORT, PEER_PORT, SESSION
from mintmast.loop.base import DEFAULT_LIMITS, CloseReason, Handler, Stream, StreamLimits
from mintmast.loop.memory import Node, World

SECOND = 1_000_000
SECRET = "a secret of the scale run, of over thirty letters"
# bytes of headers: IP and UDP; TCP and IP for each segment of so many (Ethernet's 1,500 less 52)
UDP_HEAD, TCP_HEAD, SEGMENT = 28, 40, 1448


class Meter:
    """Processor time, calls, messages and bytes by kind; what one kind calls in another is the other's."""

    def __init__(self) -> None:
        self._inner: list[int] = []
        self.clear()

    def clear(self) -> None:
        """Begin anew."""
        self.spent: dict[str, int] = defaultdict(int)  # ns
        self.longest: dict[str, int] = defaultdict(int)  # ns, of one call with all that it calls
        self.calls: dict[str, int] = defaultdict(int)
        self.messages: dict[str, int] = defaultdict(int)
        self.bytes: dict[str, int] = defaultdict(int)

    def timed(self, kind: str | Callable[..., str], do: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a call; `kind` may choose by the arguments."""

        def call(*args: Any) -> Any:
            name = kind if isinstance(kind, str) else kind(*args)
            self._inner.append(0)
            began = time.process_time_ns()
            try:
                return do(*args)
            finally:
                took = time.process_time_ns() - began
                self.spent[name] += took - self._inner.pop()
                self.longest[name] = max(self.longest[name], took)
                self.calls[name] += 1
                if self._inner:
                    self._inner[-1] += took

        return call

    def passed(self, way: str, data: bytes, head: int) -> None:
        """Count what went one way; a segment's headers for each begun one."""
        self.messages[way] += 1
        segments = 1 if head == UDP_HEAD else math.ceil(len(data) / SEGMENT)
        self.bytes[way] += len(data) + head * segments


# what a stream's handler was told: µs, which stream (`udp` for datagrams), what, and its argument
Told = tuple[int, str, str, Any]


class _Tapped(Handler):
    """A stream's handler, its bytes counted both ways. A stream passes through with its writes counted."""

    def __init__(self, node: WatchedNode, name: str, handler: Handler) -> None:
        self._node, self._name, self._handler = node, name, handler
        self._stream: Any = None

    def opened(self, stream: Stream) -> None:
        self._stream = stream
        self._node.told(self._name, "opened")
        self._handler.opened(self)  # type: ignore[arg-type]

    def received(self, data: bytes) -> None:
        self._node.meter.passed("tcp.received", data, TCP_HEAD)
        self._node.told(self._name, "received", data)
        self._handler.received(data)

    def finished(self) -> None:
        self._node.told(self._name, "finished")
        self._handler.finished()

    def drained(self) -> None:
        self._node.told(self._name, "drained")
        self._handler.drained()

    def closed(self, reason: CloseReason) -> None:
        self._node.told(self._name, "closed", reason)
        self._handler.closed(reason)

    def write(self, data: bytes) -> bool:
        if data:
            self._node.meter.passed("tcp.sent", data, TCP_HEAD)
        return self._stream.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class WatchedNode(Node):
    """A machine of the world whose turns are timed and whose bytes are counted."""

    def __init__(self, world: World, name: str, meter: Meter) -> None:
        super().__init__(world, name, 0.0)
        self.meter = meter
        self._run = meter.timed("rest", super().run_callback)
        self.most_streams = 0
        self.tape: list[Told] | None = None
        self._taps: dict[str, int] = defaultdict(int)

    def run_callback(self, what: Callable[..., Any], *args: Any) -> None:
        """Run a callback in a timed turn."""
        self._run(what, *args)
        self.most_streams = max(self.most_streams, len(self._streams))

    def told(self, name: str, what: str, arg: Any = None) -> None:
        """Keep what came from the network, where it is kept."""
        if self.tape is not None:
            self.tape.append((self.now(), name, what, arg))

    def _tap(self, kind: str, handler: Handler) -> _Tapped:
        self._taps[kind] += 1
        return _Tapped(self, f"{kind}{self._taps[kind]}", handler)

    def connect(self, host: str, port: int, handler: Handler, limits: StreamLimits = DEFAULT_LIMITS) -> Any:
        """Connect, with the bytes counted."""
        return super().connect(host, port, self._tap("out", handler), limits)

    def listen(
        self, host: str, port: int, accept: Any, backlog: int = 512, limits: StreamLimits = DEFAULT_LIMITS
    ) -> Any:
        """Listen, with the bytes counted."""
        return super().listen(host, port, lambda: self._tap("in", accept()), backlog, limits)

    def open_datagrams(self, host: str, port: int, take: Callable[..., Any]) -> Any:
        """Open a port, with the datagrams counted."""

        def came(data: bytes, peer: tuple[str, int]) -> None:
            self.meter.passed("udp.received", data, UDP_HEAD)
            self.told("udp", "came", (data, peer))
            take(data, peer)

        bound = super().open_datagrams(host, port, came)
        send = bound.send

        def sent(data: bytes, to: tuple[str, int]) -> None:
            self.meter.passed("udp.sent", data, UDP_HEAD)
            send(data, to)

        bound.send = self.meter.timed("network", sent)  # type: ignore[method-assign]
        return bound


class Claim(msgspec.Struct, frozen=True):
    """To a gateway under test: claim a key for a session that there is not, or settle it."""

    session: int
    key: str = ""
    ran: bool = True


_KINDS: dict[type, str] = {
    claim_messages.VoteReceived: "keys.owner", Claim: "keys.owner",
    claim_messages.LearnReply: "learn", claim_messages.ExclusionsAcknowledged: "aside",
    claim_messages.PeerStatusChanged: "stands",
}  # fmt: skip


def kind_of(event: object) -> str:
    """Name the kind of work of an event at the core."""
    if isinstance(event, claim_messages.PeerCall):
        asks = event.learn_after is not None
        return "learn.answer" if asks else "aside" if event.excluded is not None else "keys.witness"
    if isinstance(event, msg.TimerFired) and event.token[0] in ("learn", "claim"):
        return "learn" if event.token[0] == "learn" else "keys.owner"
    return _KINDS.get(type(event), "rest")


def names_of(size: int) -> tuple[str, ...]:
    """Name so many gateways: 16 letters with region and zone, on which the sizes of words depend."""
    return tuple(sorted(f"gw-r1-z{number % 8:02}-{number:06}" for number in range(size)))


def settings_of(
    name: str, members: list[dict[str, str]], seed: int, listen: tuple[str, int]
) -> dict[str, Any]:
    """Give the settings of one gateway without hosts; `members` as in `peers.members`."""
    return {
        **settings(Day(gateways=max(2, len(members)))),
        "gateway": name,
        "tokens": {"access": [ACCESS], "session": [SESSION]},
        "servers": [],
        "seed": seed,
        "listen": {"host": listen[0], "port": listen[1]},
        "peers": {"members": members, "secrets": [SECRET]},
    }


def config_of(name: str, names: tuple[str, ...], seed: int) -> Config:
    """Give a gateway's settings with all members; the schema's bound on them is gone around."""
    members = [{"name": each, "address": f"{each}:{PEER_PORT}"} for each in names]
    raw = settings_of(name, [members[names.index(name)]], seed, (name, GATEWAY_PORT))
    config = parse({**raw, "instances": max(2, len(names)), "instance": names.index(name)})
    config.raw["peers"]["members"] = members
    return config


def start(node: Node, names: tuple[str, ...], seed: int, meter: Meter | None = None) -> Gateway:
    """Start a whole gateway on a node of its name, its parts timed where there is a meter."""
    gateway = Gateway(node, config_of(node.name, names, seed), seed)
    claims = gateway.core.book.claims
    gateway.core.book.handlers[Claim] = lambda now, event: (
        claims.claim_key(now, event.session, event.key, RECORD_RETENTION_US, now + SECOND)
        if event.key
        else claims.finish_session(now, event.session, event.ran)
    )
    if meter is None or gateway.roster is None or gateway.peers is None:
        return gateway
    core, roster, lines, part = gateway.core, gateway.roster, gateway.peers, claims.witness_service
    port: Any = roster._port
    for owner, name, kind in (
        (port, "_take", "membership"), (roster, "_take", "membership"),
        (lines, "answer_gossip", "membership"),
        (roster, "_post", "membership"), (core, "_handle", kind_of), (lines.server, "handle", "lines"),
        (lines, "_call", "lines"), (lines, "_decode_reply", "lines"), (part, "_review", "look"),
    ):  # fmt: skip
        setattr(owner, name, meter.timed(kind, getattr(owner, name)))
    return gateway


@dataclass(slots=True)
class Bench:
    """One real gateway among hollow others."""

    world: World
    node: WatchedNode
    gateway: Gateway
    hollow: Hollow
    meter: Meter

    def run(self, seconds: float) -> None:
        """Let it play. No garbage is collected meanwhile: a serving process settles its memory too."""
        gc.collect()
        gc.disable()
        try:
            self.world.run(self.world.time + int(seconds * SECOND))
        finally:
            gc.enable()


def place(name: str) -> tuple[str, int]:
    """Give where a gateway listens for the others."""
    return name, PEER_PORT


def bench(size: int, seed: int, **more: Any) -> Bench:
    """Put a real gateway, the middle one by name, among `size` - 1 hollow others; `more` as `Hollow`."""
    world, meter, names = World(seed), Meter(), names_of(size)
    real = names[size // 2]
    hollow = Hollow(real, names, world.node, place, SECRET, seed, **more)
    node = world.nodes[real] = WatchedNode(world, real, meter)
    return Bench(world, node, start(node, names, seed, meter), hollow, meter)


def claim_often(world: World, gateway: Gateway, rate: float, released: float, draw: random.Random) -> None:
    """Let a gateway claim keys at that rate a second, and settle each a second later."""
    count = iter(range(1 << 40, 1 << 41))

    def one() -> None:
        world.at(world.time + int(draw.expovariate(rate) * SECOND) + 1, one)
        session = next(count)
        node: Any = gateway.loop
        node.run_callback(gateway.core._handle, Claim(session, str(draw.getrandbits(60))))
        settled = Claim(session, "", draw.random() >= released)
        world.at(world.time + SECOND, node.run_callback, gateway.core._handle, settled)

    world.at(world.time + 1, one)
