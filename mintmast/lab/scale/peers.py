"""The peers' side of one gateway, measured: a whole real gateway in memory among hollow others.

Time is virtual; processor time is the process's own, taken around the calls into each part, with what it
calls in another part taken out. Bytes are those handed to the network, with 28 for IP and UDP a datagram and
40 for TCP and IP a segment of 1,448, which is assumed as no segments are made in memory; acknowledgements
and handshakes are not counted.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.members import Members
from mintmast.decisions.gateways.records import RecoveredState
from mintmast.decisions.gateways.witness import WitnessSelector, hash_key, select_witnesses
from mintmast.decisions.gateways.witness_service import WitnessService
from mintmast.lab.scale.record import Row
from mintmast.lab.scale.tapped import SECOND, bench, claim_often, names_of, start
from mintmast.loop.memory import World
from mintmast.peers.transport import MAX_CALL_BYTES, CallBody

SIZES = (50, 200, 800, 3400, 6800)
# the most members that `peers.members` takes, by the schema
ALLOWED = 300
# the largest size at which whole looks over all pairs are timed: they take seconds at 800, minutes beyond.
# There so many names' part is timed, as a look does the same for each
MOST_LOOK, SAMPLES = 200, 20
# the largest size at which the real one's first look is played whole; at 3,400 it takes most of a minute
MOST_PLAYED = 800
# paid keys a gateway claims a second: 76,500 sessions of an hour, a quarter of them paid. Assumed
CLAIMS = 5.0


def peers(size: int, seed: int, net: str = "memory", seconds: float = 10.0) -> list[Row]:
    """Measure one gateway among `size`: start, steady membership, keys, looks, sizes of calls."""
    past = "the schema takes 300 members and would refuse it" if size > ALLOWED else ""
    rows: list[Row] = []

    def row(figure: str, unit: str, value: float, note: str = "") -> None:
        rows.append(
            Row(
                figure,
                unit,
                "gateways",
                size,
                value,
                seed,
                net,
                "hollow",
                "; ".join(filter(None, (note, past))),
            )
        )

    _parts(size, seed, row)
    _steady(size, seed, seconds, row)
    _keys(size, seed, row)
    _looks(size, row)
    _bodies(size, row)
    return rows


def _parts(size: int, seed: int, row: Callable[..., None]) -> None:
    """Time and size of building the part: `Members` and what witnesses hold."""
    names = names_of(size)
    gc.collect()
    tracemalloc.start()
    began = time.process_time_ns()
    part = Members(names[0], 1, names, random.Random(seed))
    for name in names[1:]:
        part.others[name].address_generation = 0
    memory = tracemalloc.get_traced_memory()[0]
    witness = WitnessService(names[0], 1, WitnessSelector(names), lambda command: None, lambda now: {})
    more = tracemalloc.get_traced_memory()[0] - memory
    tracemalloc.stop()
    del part, witness
    row("membership.memory", "MB", memory / 1e6, "`Members` alone, nothing heard yet")
    row("witness.memory", "MB", more / 1e6, "`Witnessing` alone, no records")
    began = time.process_time_ns()
    Members(names[0], 1, names, random.Random(seed)).begin(0)
    WitnessService(names[0], 1, WitnessSelector(names), lambda command: None, lambda now: {})
    row("membership.build", "ms", (time.process_time_ns() - began) / 1e6, "`Members` and `Witnessing`")


# virtual s that a start may take to learn how all stand, before what is steady is measured
LEARNING = 300.0


def _steady(size: int, seed: int, seconds: float, row: Callable[..., None]) -> None:
    made = bench(size, seed, age=86_400.0)
    began = time.process_time_ns()
    other = World(seed)
    start(other.node(names_of(size)[0]), names_of(size), seed)
    row("membership.start", "ms", (time.process_time_ns() - began) / 1e6, "a whole gateway without hosts")
    meter, gateway = made.meter, made.gateway
    part = gateway.core.book.claims.witness_service
    if size > MOST_PLAYED:
        part.handle_review_timer = lambda now: _ask_all(part, now)  # type: ignore[method-assign]
    made.run(2.0)
    note = "processor time of the first 2 s with no records held: calls and looks"
    if size > MOST_PLAYED:
        note += "; its first look asks and tells, and does not name those waited for"
    spent = sum(meter.spent[each] for each in ("learn", "lines", "look"))
    row("witness.learn_start", "ms", spent / 1e6, note)
    for way in ("sent", "received"):
        row(f"witness.learn_start.{way}", "B", meter.bytes[f"tcp.{way}"], "with 40 B a segment, assumed")
        row(f"witness.learn_start.messages.{way}", "count", meter.messages[f"tcp.{way}"])
    if size <= MOST_PLAYED:
        row("witness.learn_start.look", "ms", meter.longest["look"] / 1e6, "longest look of the first 2 s")
    row("membership.start.turn", "ms", meter.longest["rest"] / 1e6, "longest turn of the first 2 s")
    row("membership.descriptors", "count", made.node.most_streams, "connections at once in the first 2 s")
    allowed = gateway.peers.server.limits.connections if gateway.peers is not None else 0
    row("membership.descriptors.allowed", "count", allowed, "connections that the peers' port takes")
    members, learning = gateway.roster.members, 1.0
    made.run(1.0)
    while not members._is_idle(made.world.time) and learning < LEARNING:
        made.run(1.0)
        learning += 1
    row(
        "membership.start.learning",
        "s",
        learning + 2,
        f"until it holds all to stand as all others; {LEARNING:.0f} at most",
    )
    meter.clear()
    made.run(seconds)
    for way in ("sent", "received"):
        row(f"membership.{way}", "B/s", meter.bytes[f"udp.{way}"] / seconds, "with 28 B a datagram")
        row(f"membership.messages.{way}", "1/s", meter.messages[f"udp.{way}"] / seconds)
    messages = meter.messages["udp.sent"] + meter.messages["udp.received"]
    row("membership.messages", "1/s", messages / seconds, "both ways")
    row("membership.core", "% core", meter.spent["membership"] / seconds / 1e7)
    row("membership.turn", "ms", meter.longest["membership"] / 1e6)


def _keys(size: int, seed: int, row: Callable[..., None]) -> None:
    names = names_of(size)
    took = []
    for number in range(20):
        digest = hash_key(f"{seed}/{number}")
        began = time.process_time_ns()
        select_witnesses(digest, names)
        took.append((time.process_time_ns() - began) / 1e6)
    row("keys.witnesses", "ms", statistics.median(took), "median of 20")
    # the learning of the start is not played: it is measured by itself
    made = bench(size, seed, claims=CLAIMS)
    part, meter = made.gateway.core.book.claims.witness_service, made.meter
    part.handle_review_timer = lambda now: None  # type: ignore[method-assign]
    for name in part.exclusions.peers:
        part.exclusions.update_peer(name, Liveness.HEARD, 1)
    part.exclusions._knows_all = part.exclusions.earlier_claims_settled = True
    made.run(2.0)
    meter.clear()
    made.run(4.0)
    witnessed = meter.calls["keys.witness"] or 1
    spent = meter.spent["keys.witness"] + meter.spent["lines"]
    row("keys.claim.witness", "ms", spent / witnessed / 1e6, "a claim or release at a witness, with its call")
    for way in ("sent", "received"):
        told = "a claim at a witness; 40 B a segment, assumed"
        row(f"keys.claim.witness.{way}", "B", meter.bytes[f"tcp.{way}"] / witnessed, told)
    row("keys.rate.witness", "1/s", witnessed / 4.0, f"at {CLAIMS} paid keys a gateway a second, assumed")
    row("keys.core.witness", "% core", spent / 4.0 / 1e7)
    records = len(part.records)
    if records:
        began = time.process_time_ns()
        part._list_known_claims(made.world.time, names[0], "")
        each = (time.process_time_ns() - began) / 1e6 / records
        row("witness.learn_answer", "ms", each, "answer to a learner's page, for each record held here")
    made.hollow.claims = 0.0
    made.run(1.0)
    meter.clear()
    claim_often(made.world, made.gateway, CLAIMS, 0.05, random.Random(seed))
    made.run(4.0)
    claims = made.gateway.core.book.claims._last_number or 1
    spent = meter.spent["keys.owner"] + meter.spent["lines"]
    row("keys.claim.owner", "ms", spent / claims / 1e6, "a claim at its owner, with its calls and releases")
    for way in ("sent", "received"):
        row(f"keys.claim.owner.{way}", "B", meter.bytes[f"tcp.{way}"] / claims, "40 B a segment, assumed")
        row(f"keys.claim.owner.messages.{way}", "count", meter.messages[f"tcp.{way}"] / claims)
    row("keys.rate", "1/s", claims / 4.0, "claims made here; assumed")
    row("keys.core.owner", "% core", spent / 4.0 / 1e7)


def _looks(size: int, row: Callable[..., None]) -> None:
    """Time looks over all pairs with one gateway out, of one that learnt and of one with whole records."""
    names = names_of(size)
    for figure, kept in (("witness.look", True), ("witness.look.learnt", False)):
        asked: list[Any] = []
        part = WitnessService(names[0], 10, WitnessSelector(names), asked.append, lambda now: {})
        now = 1000 * SECOND
        part.start(now, RecoveredState(generation=5, marked_complete=True) if kept else None)
        part._review_interval, part.exclusions.earlier_claims_settled = 0, True
        lost, rest = names[-1], names[1:-1]
        if not kept:
            each = _sampled(part, now) * len(part.exclusions.peers)
            told = f"{SAMPLES} names' part of a look, times their number; at a start, none heard yet"
            row("witness.look.start.sampled", "ms", each, told)
        part.exclusions.update_peer(lost, Liveness.CONFIRMED, 1)
        for name in rest:
            part.exclusions.update_peer(name, Liveness.HEARD, 1)
        part.exclusions.send_pending(now)  # asks all
        for each in [
            each for each in asked if isinstance(each, claim_messages.SendLearnRequest) and each.peer != lost
        ]:
            part.exclusions.handle_learn_reply(
                now, claim_messages.LearnReply(each.peer, number=each.number, generation=1)
            )
        told = "with whole records" if kept else "after learning from all but the one that is out"
        if not kept or size <= MOST_LOOK:
            part.exclusions.send_pending(
                now + SECOND
            )  # tells all whom it holds aside; later looks are the usual ones
        if kept:
            each = _sampled(part, now + 2 * SECOND) * len(part.exclusions.peers)
            row(
                f"{figure}.sampled",
                "ms",
                each,
                f"{SAMPLES} names' part of a look, times their number; {told}",
            )
        if kept and size > MOST_LOOK:
            continue
        took = []
        for number in range(3):
            began = time.process_time_ns()
            part._review(now + (3 + number) * SECOND)
            took.append((time.process_time_ns() - began) / 1e6)
        row(figure, "ms", max(took), f"longest of three, {told}")
        row(f"{figure}.typical", "ms", statistics.median(took), told)


def _ask_all(part: WitnessService, now: int) -> None:
    """Ask all others without the look over all pairs for those waited for; the next look is as far off."""
    part.exclusions.earlier_claims_settled, part._next_review_at = True, now + part._review_interval
    part.exclusions.send_pending(now)


def _sampled(part: WitnessService, now: int) -> float:
    """Give ms of one name's part in a look: what is asked of it, told to it, whether it is waited for."""
    covers = part.exclusions
    names = list(covers.peers)[:: max(1, len(covers.peers) // SAMPLES)]
    began = time.process_time_ns()
    for name in names:
        other = covers.peers[name]
        covers._send_learn_if_due(now, name, other)
        covers._send_exclusions_if_due(now, name, other)
        covers._votes_with(name, other, covers._unreachable)
    return (time.process_time_ns() - began) / 1e6 / len(names)


def _bodies(size: int, row: Callable[..., None]) -> None:
    """Give the bytes of the largest call, which names all other gateways."""
    names = names_of(size)
    body = CallBody(
        f"{names[0]}/18a3f3c2d10", 1.8e9, "0" * 16, aside=names[2:], version=1, to=1_800_000_000_000
    )
    data = msgspec.json.encode(body)
    one = 3 + len(names[0])
    passed_at = (MAX_CALL_BYTES - len(data) + one * (size - 2)) // one + 2
    told = f"budget {MAX_CALL_BYTES}, passed at {passed_at} gateways"
    row("call.body", "B", len(data), f"names of {len(names[0])} letters; {told}")


def rows(
    sizes: tuple[int, ...] = SIZES, seeds: tuple[int, ...] = (1, 2, 3), seconds: float = 20.0
) -> list[Row]:
    """Run all sizes and seeds; `seconds` are virtual ones of steady membership."""
    return [row for size in sizes for seed in seeds for row in peers(size, seed, "memory", seconds)]
