"""Segments of a stand-in host, by session token; filler of the size and time that the link model gives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mintmast.fronts.tokens import TokenError
from mintmast.http.server import Exchange, Headers
from mintmast.lab.hostmodel import SHORT, Held

if TYPE_CHECKING:
    from mintmast.lab.standin import StandIn

# part of its segment's time in which a segment is sent while the link has room
HASTE = 0.25


def segment(host: StandIn, exchange: Exchange, parts: list[str]) -> None:
    """Answer `GET /s/TOKEN/rN/K.m4s` and `POST /s/TOKEN/end`; `parts` are those of the path after `/s/`."""
    if len(parts) not in (2, 3):
        exchange.respond_problem(404, "no such path")
        return
    try:
        # a moved session keeps its address and shows its new token as a parameter (ETSI TS 103 998)
        claims = host.tokens.check(exchange.query.get("token", parts[0]), host.loop.wall())
    except TokenError as error:
        exchange.respond_problem(401, str(error))
        return
    held = host.sessions.get(claims["sid"])
    if held is not None and host.loop.now() >= held.until:
        host.drop(held, "lease over")
        held = None
    if held is None or claims["epo"] != held.epoch or claims["hst"] != host.name:
        exchange.respond_problem(403, "the session does not play here")
        return
    held.seen = host.loop.now()
    if parts[1] == "end" and exchange.method == "POST":
        host.drop(held, "played")
        exchange.respond(204)
        return
    wanted = parts[1].removeprefix("r")
    if not wanted.isdigit() or int(wanted) > claims.get("rng", 255) or len(parts) != 3:
        exchange.respond_problem(403, "the token is not for this rung")
        return
    if exchange.query.get("title", held.title) != held.title or claims["ttl"] != held.title:
        exchange.respond_problem(403, "the token is for another title")
        return
    headers: Headers = [
        ("Content-Type", "video/mp4"),
        ("CMSD-Dynamic", f'"{host.name}";mb={round(held.kb * 8)}'),
    ]
    size, duration = _size(parts[2], held, int(wanted))
    body = bytes(size)
    ranged = exchange.headers.get("range")
    status = 200
    if ranged:
        status, body, headers = _range(ranged, body, headers)
    host.loop.call_at(
        host.loop.now() + int(duration * 1e6 * _haste(host, held, int(wanted))),
        exchange.respond, status, headers, body,
    )  # fmt: skip


def _size(what: str, held: Held, rung: int) -> tuple[int, float]:
    if what == "init.mp4":
        return 100, 0.0
    return max(1, min(1 << 20, int(held.kb * 200))), 2.0


def _haste(host: StandIn, held: Held, wanted: int) -> float:
    share = max(0.02, host.share())
    above = 2.0 ** max(0, wanted - held.rung)  # a rung above the one held gets no more of the link
    return (HASTE if share >= SHORT else 1 / share) * above


def _range(asked: str, body: bytes, headers: Headers) -> tuple[int, bytes, Headers]:
    """Serve one range of bytes (RFC 9110, 14); others are served whole, as the RFC allows."""
    unit, _, spec = asked.partition("=")
    first, dash, last = spec.partition("-")
    if unit.strip() != "bytes" or not dash or "," in spec or not (first + last).isdigit():
        return 200, body, headers
    begin = int(first) if first else max(0, len(body) - int(last))
    end = min(int(last), len(body) - 1) if first and last else len(body) - 1
    if begin > end:
        return 416, b"", [*headers, ("Content-Range", f"bytes */{len(body)}")]
    return 206, body[begin : end + 1], [*headers, ("Content-Range", f"bytes {begin}-{end}/{len(body)}")]
