"""A stand-in media host: speaks the host protocol, serves segments by token, models its link, takes faults.

The model of its link stands in `hostmodel.py`, segments in `media.py`. What passes on its sockets goes to
`record`, which the audit reads.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from typing import Any

from mintmast.fronts.tokens import SessionTokens
from mintmast.hosts.protocol import CLOCK, LOAD, NEVER_RAN, encode_event, encode_load
from mintmast.http.server import Exchange, Headers, HttpServer, ServerLimits
from mintmast.lab.hostmodel import SHORT, Held, HostModel, Link, Rack
from mintmast.lab.media import segment
from mintmast.loop import Loop, Timer

Record = Callable[..., None]
# µs between notes of a short share, and between signs of life on a line
NOTE_SHORT, KEEP_ALIVE = 1_000_000, 1_000_000
# s; ended epochs are remembered for so many leases: longer than any set-up can be under way
TOMB_LEASES = 6


class StandIn(Link):
    """One media host. Faults are attributes that a drill sets while it runs."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        tokens: SessionTokens,
        rack: Rack,
        model: HostModel,
        record: Record = lambda what, **fields: None,
        process: str = "1",
        cold_start: bool = False,
    ) -> None:
        super().__init__(loop, model, rack, cold_start)
        self.tokens, self.record, self.process = tokens, record, process
        self.tombs: dict[str, tuple[int, int]] = {}  # ended epochs, and until when they are kept
        self.paid: dict[str, int] = {}  # names of paid sessions that ran in this process, and when
        self.draining = False
        # Faults
        self.lose_answers = 0.0  # part of set-ups that run and whose answer never leaves
        self.cut_answers = 0.0  # part of set-ups that run and whose answer is cut within
        self.lose_ends = 0.0  # part of ends that are carried out and whose answer never leaves
        self.errors = 0.0  # part of set-ups answered 500 at once
        self.slow = 0  # µs more for a set-up
        self.draw: Callable[[], float] = lambda: 1.0
        self._late: list[Exchange] = []
        self._lines: dict[Exchange, str] = {}
        self._timers: list[Timer] = []
        self.server = HttpServer(loop, host, port, self._handle, ServerLimits(idle_time=60_000_000))
        self.name = f"{host}:{self.server.port}"
        rack.hosts.append(self)
        self._every(model.notes_every, self._tell_use)
        self._every(NOTE_SHORT, self._tell_short)
        self._every(KEEP_ALIVE, self._keep_alive)
        self._every(200_000, self._sweep)

    def die(self) -> None:
        """Stop without a word, as a killed process does."""
        if not self.alive:
            return
        self.alive = False
        self.record("host_died", host=self.name, sessions=sorted(self.sessions))
        for timer in self._timers:
            timer.cancel()
        self.rack.hosts.remove(self)
        self.sessions.clear()
        self.server.close()

    def drain(self, on: bool = True) -> None:
        """Take nothing new, and say so."""
        self.draining = on
        self.record("drains", host=self.name, on=on)
        self._tell("drain", drains=on)

    # Control

    def _handle(self, exchange: Exchange) -> None:
        if self.hang:
            self._late.append(exchange)
            if exchange.method == "PUT":
                self._note_arrival(exchange)
            return
        path = exchange.path
        if path.startswith("/v1/sessions/"):
            name = path.removeprefix("/v1/sessions/")
            act = {"PUT": self._set_up, "PATCH": self._rung, "DELETE": self._end}.get(exchange.method)
            if act is None:
                exchange.respond_problem(405, "no such method", headers=[("Allow", "PUT, PATCH, DELETE")])
            else:
                act(exchange, name)
        elif path == "/v1/leases" and exchange.method == "POST":
            self._renew(exchange)
        elif path == "/v1/settle" and exchange.method == "POST":
            self._settle(exchange)
        elif path == "/v1/notes" and exchange.method == "GET":
            self._line(exchange)
        elif path.startswith("/s/"):
            segment(self, exchange, path.split("/")[2:])
        else:
            exchange.respond_problem(404, "no such path")

    def resume(self) -> None:
        """End a hang: what waited is worked off now."""
        self.hang = False
        waiting, self._late = self._late, []
        for exchange in waiting:
            if not exchange.is_answered or exchange.method == "PUT":
                self._handle(exchange)

    def _note_arrival(self, exchange: Exchange) -> None:
        name = exchange.path.removeprefix("/v1/sessions/")
        body = _body(exchange)
        self.record(
            "set_up_came", host=self.name, session=name, epoch=body.get("epoch"), key=body.get("key"),
            paid=body.get("paid"), who=body.get("who"), came_from=body.get("from"),
        )  # fmt: skip
        epoch = body.get("epoch")

        def gone() -> None:
            self.record("set_up_left", host=self.name, session=name, epoch=epoch)

        exchange.on_disconnect = gone

    def _set_up(self, exchange: Exchange, name: str) -> None:
        body = _body(exchange)
        try:
            epoch, kb, rung = int(body["epoch"]), float(body["kb"]), int(body["rung"])
            title, who, key = str(body["title"]), str(body["who"]), str(body["key"])
            lease, paid = int(body["lease_ms"]) * 1000, body["paid"] is True
            call, clock, came_from = int(body["call"]), int(body["clock"]), str(body["from"])
        except (KeyError, ValueError, TypeError):
            exchange.respond_problem(400, "the set-up lacks what is needed")
            return
        if exchange.on_disconnect is None:
            self._note_arrival(exchange)
        over = self.overrun()
        if over is not None:
            self.record("fell", host=self.name, sent=over[0], most=over[1])
            self.die()
            return
        if self.draining:
            self.record("sent_to_draining", host=self.name, session=name, who=who)
            self._never_ran(exchange, name, epoch, 503, "draining")
            return
        full = self.model.guard and self.asked() > self.rate() * self.model.guard
        if len(self.sessions) >= self.model.streams or full:
            self._never_ran(exchange, name, epoch, 503, "full")
            return
        if self.draw() < self.errors:
            self._answered(name, epoch)
            exchange.respond_problem(500, "failed", headers=self._load())
            return
        factor = 1 + self.model.vary * (zlib.crc32(title.encode()) % 2001 / 1000 - 1)
        token = exchange.headers.get("idempotency-key", "")
        until = (clock if clock >= 0 else self.loop.now()) + lease
        held = Held(name, title, rung, kb, epoch, who, key, until, paid, factor, 0, token, came_from, call)
        self.loop.call_at(self.loop.now() + self.model.set_up_time + self.slow, self._run, exchange, held)

    def _run(self, exchange: Exchange, held: Held) -> None:
        if not self.alive:
            return
        if self.hang:
            self._late.append(exchange)
            return
        name, epoch = held.name, held.epoch
        if self.tombs.get(name, (0, 0))[0] >= epoch or self.loop.now() >= held.until:
            self._never_ran(exchange, name, epoch, 409, "fenced")
            return
        old = self.sessions.get(name)
        if old is None or old.idempotency != held.idempotency:
            held.seen = self.loop.now()
            self.sessions[name] = held
            if held.paid:
                self.paid[name] = self.loop.now()
            self.record(
                "ran", host=self.name, session=name, epoch=epoch, key=held.key, paid=held.paid,
                rung=held.rung,                 title=held.title, came_from=held.came_from, who=held.who,
            )  # fmt: skip
        draw = self.draw()
        if draw < self.lose_answers:
            self.record("answer_lost", host=self.name, session=name, epoch=epoch)
            return
        if draw < self.lose_answers + self.cut_answers:
            self._answered(name, epoch)
            self.record("answer_cut", host=self.name, session=name, epoch=epoch)
            exchange.abort()
            return
        self._answered(name, epoch)
        exchange.respond(201, [*self._load(), ("Content-Type", "application/json")], b"{}")

    def _never_ran(self, exchange: Exchange, name: str, epoch: int, status: int, mark: str) -> None:
        self._answered(name, epoch)
        exchange.respond_problem(status, mark, headers=[(NEVER_RAN, mark), *self._load()])

    def _answered(self, name: str, epoch: int) -> None:
        self.record("set_up_answered", host=self.name, session=name, epoch=epoch)

    def _rung(self, exchange: Exchange, name: str) -> None:
        body = _body(exchange)
        held = self.sessions.get(name)
        if held is None or body.get("epoch") != held.epoch:
            exchange.respond_problem(404, "no such session")
            return
        self._to_rung(held, body)
        exchange.respond(204, self._load())

    def _to_rung(self, held: Held, told: dict[str, Any]) -> None:
        held.rung, held.kb = int(told["rung"]), float(told["kb"])
        self.record("rung", host=self.name, session=held.name, rung=held.rung)

    def _end(self, exchange: Exchange, name: str) -> None:
        told = exchange.query.get("epoch", "")
        if not told.isdigit():
            exchange.respond_problem(400, "epoch is missing")
            return
        epoch = int(told)
        until = self.loop.now() + TOMB_LEASES * 10_000_000
        self.tombs[name] = max(self.tombs.get(name, (0, 0))[0], epoch), until
        held = self.sessions.get(name)
        if held is not None and held.epoch <= epoch:
            self.drop(held, "ended by its gateway", tell=False)
        if self.draw() < self.lose_ends:
            return
        exchange.respond(204, self._load())

    def _renew(self, exchange: Exchange) -> None:
        body = _body(exchange)
        sessions, unknown = body.get("sessions"), []
        lease, call, clock = int(body["lease_ms"]) * 1000, int(body["call"]), int(body["clock"])
        until = (clock if clock >= 0 else self.loop.now()) + lease
        for name, told in sessions.items() if isinstance(sessions, dict) else ():
            held = self.sessions.get(name)
            if held is None or held.epoch != told["epoch"] or self.loop.now() >= held.until:
                unknown.append(name)
                continue
            if body.get("who", held.who) != held.who:  # a later life holds it
                unknown.append(name)
                continue
            if call <= held.call:  # worked off after a later one
                continue
            held.until, held.call = until, call
            if held.rung != told["rung"]:
                self._to_rung(held, told)
        exchange.respond(
            200, [*self._load(), ("Content-Type", "application/json")], _json({"unknown": unknown})
        )

    def _settle(self, exchange: Exchange) -> None:
        """Tell a gateway's next life what became of the paid set-ups of the one before, and hand over."""
        body = _body(exchange)
        asked, who = body.get("sessions"), str(body.get("who", ""))
        lease, call, clock = int(body["lease_ms"]) * 1000, int(body["call"]), int(body["clock"])
        until = (clock if clock >= 0 else self.loop.now()) + lease
        told: dict[str, Any] = {}
        for name, about in asked.items() if isinstance(asked, dict) else ():
            held = self.sessions.get(name)
            if held is not None and held.epoch == about["epoch"] and self.loop.now() < min(held.until, until):
                if (_start(who), call) > (_start(held.who), held.call):
                    held.who, held.until, held.call = who, until, call
                told[name] = {"state": "plays", "rung": held.rung}
                self.record("settled", host=self.name, session=name, state="plays", who=who)
                continue
            if held is None:  # one that is still under way must not run any more
                forget = self.loop.now() + TOMB_LEASES * 10_000_000
                self.tombs[name] = max(self.tombs.get(name, (0, 0))[0], about["epoch"]), forget
            state = "ran" if held is not None or name in self.paid else "not here"
            told[name] = {"state": state}
            self.record("settled", host=self.name, session=name, state=state, who=who)
        if self.draw() < self.lose_answers:
            return
        answer = _json({"since": self.started, "sessions": told})
        exchange.respond(200, [*self._load(), ("Content-Type", "application/json")], answer)

    # Notes

    def _line(self, exchange: Exchange) -> None:
        who = f"gateway={exchange.query.get('gateway', '')}&start={exchange.query.get('start', '')}"
        self._lines[exchange] = who
        exchange.on_disconnect = lambda: self._lines.pop(exchange, None)
        exchange.start_stream(200, [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        age = (self.loop.now() - self.started) / 1000 if self.cold_start else None
        exchange.send_chunk(
            encode_event(
                "hello", process=self.process, age_ms=age, drains=self.draining, clock=self.loop.now()
            )
        )
        self.record("hello", host=self.name, who=who, drains=self.draining)
        if self.draining:
            self.record("drain_told", host=self.name, who=who)

    def _tell(self, kind: str, to: str | None = None, **fields: Any) -> None:
        if self.hang or not self.alive:
            return
        for exchange, who in list(self._lines.items()):
            if to is None or to == who:
                exchange.send_chunk(encode_event(kind, **fields))
                if kind == "drain" and fields.get("drains"):
                    self.record("drain_told", host=self.name, who=who)

    def _tell_use(self) -> None:
        use = self.asked() / max(1e-9, self.rate())
        self._later("link", use)
        if self.rack.uplink_kb < 1e11:
            self._later("uplink", self.rack.use())

    def _tell_short(self) -> None:
        share = self.share()
        if share < SHORT and self.sessions:
            self._later("delivered", share)

    def _later(self, kind: str, value: float) -> None:
        when = self.loop.now() + self.model.report_delay
        self.loop.call_at(when, lambda: self._tell(kind, value=round(value, 4)))

    def _keep_alive(self) -> None:
        if not self.hang:
            for exchange in list(self._lines):
                exchange.send_chunk(encode_event("tick", clock=self.loop.now()))

    # Sessions

    def _sweep(self) -> None:
        now = self.loop.now()
        for held in list(self.sessions.values()):
            if now >= held.until:
                self.drop(held, "lease over")
            elif now - held.seen > self.model.idle and not self.hang:
                self.drop(held, "left")
        if len(self.tombs) > 4 * self.model.streams:
            self.tombs = {name: tomb for name, tomb in self.tombs.items() if tomb[1] > now}

    def drop(self, held: Held, why: str, tell: bool = True) -> None:
        """End a session; `tell` its gateway."""
        del self.sessions[held.name]
        self.tombs[held.name] = held.epoch, self.loop.now() + TOMB_LEASES * 10_000_000
        since = min(self.loop.now(), held.until)  # a lease ends by itself, whenever that is noticed
        self.record("session_over", host=self.name, session=held.name, epoch=held.epoch, why=why, since=since)
        if tell:
            self._tell("ended", held.who, session=held.name, why=why)

    def _load(self) -> Headers:
        use = {"x0": round(self.asked() / max(1e-9, self.rate()), 4), "x1": round(self.rack.use(), 4)}
        return [(LOAD, encode_load(use)), (CLOCK, str(self.loop.now()))]

    def _every(self, span: int, do: Callable[[], None]) -> None:
        def again() -> None:
            if self.alive:
                do()
                self._timers[place] = self.loop.call_at(self.loop.now() + span, again)

        place = len(self._timers)
        self._timers.append(self.loop.call_at(self.loop.now() + span, again))


def _start(who: str) -> int:
    """Give the start of a gateway's life by its name for itself."""
    told = who.rpartition("&start=")[2]
    return int(told) if told.isascii() and told.isdigit() else 0


def _body(exchange: Exchange) -> dict[str, Any]:
    try:
        value = json.loads(exchange.body)
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}


def _json(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()
