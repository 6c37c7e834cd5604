"""The load of a drill: viewers' wishes drawn ahead, each tried until it is answered for good."""

from __future__ import annotations

import random
from typing import Any

from mintmast.http.client import CallFailure, Reply
from mintmast.lab.drills.day import FREE, LADDER, PAID, TRIES, Day
from mintmast.player import Player, Report


class Viewers:
    """The load: wishes drawn ahead, each tried until it is answered for good."""

    def __init__(self, stage: Any, day: Day, seed: int) -> None:
        self.stage, self.day = stage, day
        self.random = random.Random(f"{seed}/viewers")
        self.measures: dict[str, Any] = {
            "plays": 0, "refused": 0, "failed": 0, "left": 0, "unreached": 0, "misdirected": 0,
            "stalls": 0, "stalled_s": 0.0, "broken_off": 0, "gaps": 0, "longest_gap_s": 0.0, "gaps_moved": 0,
            "tokens_misused": 0, "misuse_accepted": 0,
        }  # fmt: skip
        self.requests = self.answers = 0
        self.open = 0
        at = 0.0
        number = 0
        while at < day.load_s:
            at += self.random.expovariate(day.rate)
            number += 1
            stage.at(at, self._wish, number, self._drawn(number))

    def _drawn(self, number: int) -> dict[str, Any]:
        draw = self.random.random
        paid, most = draw() < 0.4, self.day.titles - 1
        return {
            "service": PAID if paid else FREE,
            "title": f"gate-{min(most, int(self.day.titles * draw() ** 1.7))}",
            "tenant": "north-tv" if draw() < 0.67 else "island-tv",
            "rung": 3 if draw() < 0.8 else 1,
            "gateways": [self.random.randrange(self.day.gateways) for _ in range(TRIES)],
            "leaves": draw() * 0.03 if draw() < 0.05 else None,
            "twice": draw() < 0.05,
            "misuses": draw() < 0.1,
            "gaps": [0.2 + 0.6 * draw() for _ in range(TRIES)],
        }

    def _wish(self, number: int, drawn: dict[str, Any]) -> None:
        self.open += 1
        self._try(number, drawn, 0)
        if drawn["twice"]:
            self._ask(number, drawn, 0, lambda report: None, copy=True)

    def _try(self, number: int, drawn: dict[str, Any], tries: int) -> None:
        self._ask(number, drawn, tries, lambda report: self._over(number, drawn, tries, report))

    def _ask(self, number: int, drawn: dict[str, Any], tries: int, done: Any, copy: bool = False) -> None:
        leave = int(drawn["leaves"] * 1e6) if drawn["leaves"] is not None and not tries else None
        name = f"{tries}{'b' if copy else ''}"
        self.ask_at(drawn["gateways"][tries], number, drawn, name, done, leave)

    def ask_at(
        self, gateway: int, number: int, drawn: dict[str, Any], name: str, done: Any, leave: int | None
    ) -> None:
        """Ask a gateway; `name` tells asks of a wish apart, after `leave` (µs) this one is broken off."""
        stage, paid = self.stage, drawn["service"] == PAID
        key = f"wish-{number}"
        token = stage.token(f"viewer-{number}", drawn["tenant"], drawn["service"], drawn["rung"], key)
        patience = 2_000_000 if paid else 3_000_000
        asked = stage.now()
        self.requests += 1
        request = f"{key}/{name}"

        def over(report: Report) -> None:
            if report.status is not None:
                self.answers += 1
            fault = report.fault if report.status is None else None
            stage.record(
                "request_over", request=request, gateway=f"gw{gateway}", paid=paid, asked_at=asked,
                patience=patience, status=report.status, fault=fault, left=leave is not None,
                refusal="refused" in report.reason,
                key=f"{drawn['tenant']}/viewer-{number}/{drawn['service']}/{drawn['title']}/{key}",
            )  # fmt: skip

        def answered(reply: Reply | CallFailure) -> None:
            self._misuse(drawn, reply)

        headers = [("Authorization", f"Bearer {token}")]
        url = f"{stage.gateway_url(gateway)}/dash/{drawn['title']}/manifest.mpd"
        player = Watched(stage.loop, stage.client, url, headers, patience, done, leave, 60.0)
        player.on_answer = over
        player.on_reply = answered

    def _over(self, number: int, drawn: dict[str, Any], tries: int, report: Report) -> None:
        paid, counts = drawn["service"] == PAID, self.measures
        again = False
        if report.status == 200:
            counts["plays"] += 1
            counts["stalls"] += report.stalls
            counts["stalled_s"] = round(counts["stalled_s"] + report.stalled_s, 6)
            counts["gaps"] += report.gaps
            counts["longest_gap_s"] = round(max(counts["longest_gap_s"], report.longest_gap_s), 6)
            if report.moves:
                counts["gaps_moved"] += report.gaps
            if not report.whole:
                counts["broken_off"] += 1
        elif report.status == 503:
            counts["refused"] += 1
            again = True
        elif report.status == 421:
            counts["misdirected"] += 1
            again = True
        elif report.status is not None:
            counts["failed"] += 1
            again = not paid
        elif report.fault in ("refused", "not connected", "cut unsent"):
            counts["unreached"] += 1
            again = True
        elif drawn["leaves"] is not None:
            counts["left"] += 1
        else:
            counts["unreached"] += 1
            again = not paid  # a paid one that may run is not asked for again
        if again and tries + 1 < TRIES:
            wait = max(drawn["gaps"][tries], report.retry_ms / 1000)
            self.stage.loop.call_at(self.stage.now() + int(wait * 1e6), self._try, number, drawn, tries + 1)
            return
        self.open -= 1
        self._book(drawn, report)

    def _book(self, drawn: dict[str, Any], report: Report) -> None:
        value = {f"r{place}": worth for place, (_, worth) in enumerate(LADDER)}
        each = 3.0 if drawn["service"] == PAID else 1.0
        seconds = self.day.shortest + int(drawn["title"].partition("-")[2]) % 5
        asked = 0.0 if drawn["leaves"] is not None else each * seconds * LADDER[drawn["rung"]][1]
        media = sum(report.rungs.values())
        mean = sum(value.get(r, 0.0) * s for r, s in report.rungs.items()) / media if media else 0.0
        answered = each * mean * min(report.played_s, seconds) if asked else 0.0
        self.stage.record(
            "wish_over", service=drawn["service"], worth_asked=asked, worth_answered=min(asked, answered)
        )

    def _misuse(self, drawn: dict[str, Any], reply: Reply | CallFailure) -> None:
        """Try a good token on another rung or host: every one of these must be turned away."""
        if not drawn["misuses"] or isinstance(reply, CallFailure) or reply.status != 200:
            return
        base = reply.body.partition(b"<BaseURL")[2].partition(b">")[2].partition(b"<")[0].decode()
        authority, _, path = base.removeprefix("http://").partition("/")
        tries = [(authority, f"/{path}r9/1.m4s"), (authority, f"/{path}r0/1.m4s?title=gate-99")]
        others = [host.name for host in self.stage.hosts.values() if host.alive and host.name != authority]
        if others:
            tries.append((others[0], f"/{path}r0/1.m4s"))
        for place, target in tries:
            host, _, port = place.rpartition(":")

            def done(answer: Reply | CallFailure) -> None:
                if isinstance(answer, Reply):
                    self.measures["tokens_misused"] += 1
                    self.measures["misuse_accepted"] += answer.status < 400

            until = self.stage.now() + 3_000_000
            self.stage.client.call((host, int(port)), "GET", target, done, deadline=until)


class Watched(Player):
    """A player whose manifest's answer is recorded as it comes."""

    on_answer: Any = None
    on_reply: Any = None
    _told = False

    def _answered(self, reply: Reply | CallFailure) -> None:
        if not isinstance(reply, CallFailure):
            self.report.status = reply.status
            self.report.reason = reply.body[:200].decode("utf-8", "replace") if reply.status != 200 else ""
        else:
            self.report.fault = reply.value
        self.on_answer(self.report)
        self.on_reply(reply)
        super()._answered(reply)
