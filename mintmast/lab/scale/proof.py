"""Hollow is proven: the same run with whole real gateways in place of the hollow ones, and the two compared.

Both runs measure the same gateway in the same way over the same span. All others are whole `Gateway`s on the
same world; only the one under test is timed. A row's value is hollow over real, and is to lie within 10%.

Spans: `quiet`, steady; `restart`, another gateway killed and back two seconds later; `lost`, another killed
for good; `claims`, keys claimed at each gateway.

Messages and bytes are those among real others. Processor time is that of the same gateway alone, to which all
comes again that came to it there: among real others in one process it finds the caches full of their work and
its memory among theirs, and takes longer, which is neither's doing.
Not proven here: cut ways, stand-stills, several at once.
"""

from __future__ import annotations

import gc
import random
from dataclasses import dataclass, field, replace
from typing import Any

from mintmast.decisions.gateways.witness import hash_key, select_witnesses
from mintmast.lab.scale.hollow import Hollow
from mintmast.lab.scale.record import Row
from mintmast.lab.scale.tapped import (
    SECOND,
    SECRET,
    Meter,
    Told,
    WatchedNode,
    claim_often,
    names_of,
    place,
    start,
)
from mintmast.lab.stage import PEER_PORT
from mintmast.loop.base import DEFAULT_LIMITS, CloseReason, StreamLimits
from mintmast.loop.memory import World

# s until all have heard of all, also at 200
SETTLED = 10.0
# s of each span: a loss has its asides and their reading within it; quiet long enough for even counts
SPANS = {"quiet": 60.0, "restart": 20.0, "lost": 20.0, "claims": 20.0}
# paid keys a gateway claims a second in the span `claims`, and the part of them that is given back
CLAIMS, RELEASED = 6.0, 0.05
# µs of a course that are played before the next has its turn
SLICE = SECOND // 4
# part by which counts of the one alone may differ for its time to be taken
ALIKE = 0.02
# s after which one that was killed starts anew
BACK = 2.0


@dataclass(slots=True)
class Seen:
    """What the gateway under test did in one span: processor time in ms, messages and bytes both ways."""

    core: float
    membership: float
    datagrams: int
    datagram_bytes: int
    calls: int
    call_bytes: int
    kinds: dict[str, tuple[int, float]] = field(default_factory=dict)  # calls, ms

    def over(self, other: Seen) -> dict[str, float]:
        """Give each as a part of the other's; 1.0 where both have none."""
        pairs = {
            "membership.messages": (self.datagrams, other.datagrams),
            "membership.bytes": (self.datagram_bytes, other.datagram_bytes),
            "membership.core": (self.membership, other.membership),
            "calls.messages": (self.calls, other.calls),
            "calls.bytes": (self.call_bytes, other.call_bytes),
            "core": (self.core, other.core),
        }
        return {name: one / two if two else float(one == 0) or 99.0 for name, (one, two) in pairs.items()}


def _seen(meter: Meter) -> Seen:
    def both(of: dict[str, int], kind: str) -> int:
        return of[f"{kind}.sent"] + of[f"{kind}.received"]

    return Seen(
        sum(meter.spent.values()) / 1e6,
        meter.spent["membership"] / 1e6,
        both(meter.messages, "udp"),
        both(meter.bytes, "udp"),
        both(meter.messages, "tcp"),
        both(meter.bytes, "tcp"),
        {kind: (meter.calls[kind], round(spent / 1e6, 1)) for kind, spent in sorted(meter.spent.items())},
    )


def _settled(world: World, gateways: Any) -> None:
    """Let gateways begin as witnesses once all have heard of all, as if they had learnt, and play until then.

    So that the runs start alike and at once: what all tell all at a common start is measured in `peers.py`.
    """
    parts = [gateway.core.book.claims.witness_service for gateway in gateways]
    for part in parts:
        part.handle_review_timer = lambda now: None
    world.run(world.time + int(SETTLED * SECOND))
    for part in parts:
        part.exclusions._knows_all = part.exclusions.earlier_claims_settled = True
        del part.handle_review_timer


# a course that stands ready to be measured
Ready = tuple[World, Meter]


def _measured(ready: list[Ready], seconds: float) -> list[Seen]:
    """Play courses so long, by turns, so that what else the machine does disturbs all alike.

    No garbage is collected meanwhile: a serving process settles its memory too.
    """
    for _, meter in ready:
        meter.clear()
    gc.collect()
    gc.disable()
    try:
        for _ in range(int(seconds * SECOND) // SLICE):
            for world, _ in ready:
                world.run(world.time + SLICE)
    finally:
        gc.enable()
    return [_seen(meter) for _, meter in ready]


def _claims(world: World, gateways: dict[str, Any], rate: float, seed: int) -> None:
    for name, gateway in gateways.items():
        claim_often(world, gateway, rate, RELEASED, random.Random(f"{seed}/{name}/claims"))


def _same_claims(world: World, hollow: Hollow, seed: int) -> None:
    """Let hollow gateways claim just the keys that real ones would in `_claims`: chance plays no part."""
    for index, row in hollow.rows.items():
        draw, at = random.Random(f"{seed}/{row.name}/claims"), world.time + 1
        while at < world.time + SPANS["claims"] * SECOND:
            wait = int(draw.expovariate(CLAIMS) * SECOND) + 1
            digest, released = hash_key(str(draw.getrandbits(60))), draw.random() < RELEASED
            if hollow.real in select_witnesses(digest, hollow.names):
                world.at(at, hollow.claimed, index, digest, released)
            at += wait


def hollow_run(size: int, seed: int, span: str, probes: float = 1.0, seconds: float | None = None) -> Seen:
    """Play a span among hollow gateways; `probes` other than 1.0 is a fault that must be seen."""
    return _measured([_hollow(size, seed, span, probes)], seconds or SPANS[span])[0]


def _hollow(size: int, seed: int, span: str, probes: float = 1.0) -> Ready:
    world, meter, names = World(seed), Meter(), names_of(size)
    real, victim = names[size // 2], size // 4
    hollow = Hollow(real, names, world.node, place, SECRET, seed, probes=probes)
    node = world.nodes[real] = WatchedNode(world, real, meter)
    gateway = start(node, names, seed, meter)
    _settled(world, [gateway])
    if span == "claims":
        _claims(world, {real: gateway}, CLAIMS, seed)
        _same_claims(world, hollow, seed)
    if span in ("lost", "restart"):
        world.nodes[names[victim]].kill()
        hollow.gone(victim)
    if span == "restart":
        world.at(world.time + int(BACK * SECOND), lambda: hollow.back(victim, world.node(names[victim])))
    return world, meter


def real_run(
    size: int, seed: int, span: str, seconds: float | None = None, tape: list[Told] | None = None
) -> Seen:
    """Play a span among whole real gateways; `tape` takes what comes to the one under test."""
    world, meter, names = World(seed), Meter(), names_of(size)
    real, victim = names[size // 2], names[size // 4]
    gateways = {}
    for name in names:
        if name == real:
            node: Any = WatchedNode(world, name, meter)
            world.nodes[name], node.tape = node, tape
        else:
            node = world.node(name)
        gateways[name] = start(
            node,
            names,
            seed if name == real else seed * 10_000 + len(gateways),
            meter if name == real else None,
        )
    _settled(world, gateways.values())
    if span == "claims":
        _claims(world, gateways, CLAIMS, seed)
    if span in ("lost", "restart"):
        world.nodes[victim].kill()
    if span == "restart":
        world.at(world.time + int(BACK * SECOND), lambda: start(world.node(victim), names, seed))
    return _measured([(world, meter)], seconds or SPANS[span])[0]


class _Player:
    """A stream's other side as it was kept: what is written goes nowhere, what came comes again."""

    bytes_sent = 0

    def __init__(self, handler: Any) -> None:
        self.handler, self.over = handler, False

    def write(self, data: bytes) -> bool:
        self.bytes_sent += len(data)
        return True

    def abort(self) -> None:
        self.told("closed", CloseReason.LOCAL)

    def close(self) -> None:  # its end was kept, and comes
        pass

    finish = pause = resume = close

    def has_unread(self) -> bool:
        return False

    def told(self, what: str, arg: Any) -> None:
        if self.over:
            return
        self.over = what == "closed"
        if what == "opened":
            self.handler.opened(self)
        else:
            getattr(self.handler, what)(*([arg] if what in ("received", "closed") else []))


class ReplayNode(WatchedNode):
    """A machine alone, to which comes what came to another: so its gateway does the same by itself."""

    def __init__(self, world: World, name: str, meter: Meter, tape: list[Told]) -> None:
        super().__init__(world, name, meter)
        self._players: dict[str, _Player] = {}
        for at, stream, what, arg in tape:
            world.at(at, self.run_callback, self._play, stream, what, arg)

    def connect(self, host: str, port: int, handler: Any, limits: StreamLimits = DEFAULT_LIMITS) -> Any:
        """Take a handler whose stream was kept."""
        tapped = self._tap("out", handler)
        self._players[tapped._name] = player = _Player(tapped)
        return player

    def _play(self, stream: str, what: str, arg: Any) -> None:
        if stream == "udp":
            self._ports[PEER_PORT]._take(*arg)
            return
        if stream not in self._players:
            tapped = self._listeners[PEER_PORT].accept()
            self._players[tapped._name] = _Player(tapped)
        self._players[stream].told(what, arg)


def alone(size: int, seed: int, span: str, tape: list[Told], seconds: float | None = None) -> Seen:
    """Play what came to the one among real gateways to one by itself, in caches and memory of its own."""
    return _measured([_alone(size, seed, span, tape)], seconds or SPANS[span])[0]


def _alone(size: int, seed: int, span: str, tape: list[Told]) -> Ready:
    world, meter, names = World(seed), Meter(), names_of(size)
    real = names[size // 2]
    node = world.nodes[real] = ReplayNode(world, real, meter, tape)
    gateway = start(node, names, seed, meter)
    _settled(world, [gateway])
    if span == "claims":
        _claims(world, {real: gateway}, CLAIMS, seed)
    return world, meter


def prove(
    sizes: tuple[int, ...] = (50, 200),
    seeds: tuple[int, ...] = (1,),
    spans: tuple[str, ...] = tuple(SPANS),
) -> list[Row]:
    """Give hollow over real for each size and span, as `proof.SPAN.WHAT`."""
    out = []
    for size in sizes:
        for seed in seeds:
            for span in spans:
                tape: list[Told] = []
                real = real_run(size, seed, span, tape=tape)
                both = [_alone(size, seed, span, tape), _hollow(size, seed, span)]
                again, hollow = _measured(both, SPANS[span])
                # where two things came in one µs their order, and so a word or two, may differ alone
                same = all(
                    abs(one - two) <= ALIKE * two
                    for one, two in ((again.datagrams, real.datagrams), (again.calls, real.calls))
                )
                real = replace(real, core=again.core, membership=again.membership) if same else real
                for what, ratio in hollow.over(real).items():
                    note = f"hollow {hollow}; real {real}" if what == "core" else ""
                    told = f"alone {again.datagrams} datagrams, {again.calls} calls"
                    note = f"{told}; {note}" if same else f"time not taken alone: {told}; {note}"
                    row = Row(f"proof.{span}.{what}", "ratio", "gateways", size, ratio, seed, note=note)
                    out.append(row)
    return out
