"""Paid answers of real gateways on loopback, with shared settings and without: what these cost viewers.

So many `mintmast serve` processes that know each other, eight stand-in hosts, and paid viewers who ask one
after the other, each at a gateway drawn anew; a key is claimed at two of three witnesses before each set-up.
Timed at the viewer, from the request to the whole answer, by the wall clock: run it on a quiet machine. The
courses without and with take turns, so that what else the machine does meets both alike.
"""

from __future__ import annotations

import json
import random
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from mintmast.http.client import CallFailure, Reply
from mintmast.lab.drills.day import PAID, Day, model, settings
from mintmast.lab.loopback import LoopbackStage
from mintmast.lab.scale.record import Row
from mintmast.lab.stage import SECRET

SECOND = 1_000_000
MOST = 100  # processes of gateways at the most
HOSTS = 8
# paid viewers a second over all gateways, and s until gateways that have begun know each other and vote
RATE, SETTLE = 40.0, 10.0
# s between changes where they are shared: eight times as many as the target's 11,000 a day
CHANGES_EVERY = 1.0
PATIENCE = 2 * SECOND
# courses of each kind, one after the other in turn
TURNS = 3


class Course:
    """One course: starts all, lets viewers ask, ends all it started."""

    def __init__(self, size: int, seed: int, shares: bool) -> None:
        day = Day(hosts=HOSTS, gateways=size, link_kb=30_000.0, uplink_kb=120_000.0)
        told = settings(day)
        for each in told["classes"]:
            each.pop("seats", None)
        told["fleet"]["kinds"] = [{"streams": 3000}]
        told["tenants"] = [{**each, "quota_per_s": 10_000} for each in told["tenants"]]
        self.stage = LoopbackStage(seed, told, model(day))
        self.stage.shares = shares
        self.size, self.draw = size, random.Random(f"{seed}/answers")
        self.titles = sorted(told["titles"])
        self.seen = HdrHistogram(1, 60 * SECOND, 3)
        self.served = self.other = self.published = 0
        self._asked = 0

    def play(self, seconds: float) -> None:
        """Play it whole."""
        stage = self.stage
        try:
            for number in range(HOSTS):
                stage.start_host(number)
            for number in range(self.size):
                stage.start_gateway(number)
            stage.begin()
            stage.run(SETTLE)
            if stage.shares:
                self._operate("/v1/configuration/take-over", {})
                self._change(0)
            stage.run(SETTLE + 2)
            end = stage.now() + int(seconds * SECOND)
            self._next(end)
            stage.loop.run(end + PATIENCE + SECOND)
        finally:
            stage.close()

    def _next(self, end: int) -> None:
        now = self.stage.now()
        if now < end:
            self._ask()
            wait = int(self.draw.expovariate(RATE) * SECOND)
            self.stage.loop.call_at(now + wait, self._next, end)

    def _ask(self) -> None:
        stage, draw = self.stage, self.draw
        self._asked += 1
        key = f"key-{self._asked}"
        token = stage.token(f"viewer-{self._asked}", "north-tv", PAID, 3, key)
        url = f"{stage.gateway_url(draw.randrange(self.size))}/dash/{draw.choice(self.titles)}/manifest.mpd"
        host, _, rest = url.removeprefix("http://").partition("/")
        address, _, port = host.rpartition(":")
        begun = stage.now()

        def answered(reply: Reply | CallFailure) -> None:
            if isinstance(reply, Reply) and reply.status == 200:
                self.served += 1
                self.seen.record_value(max(1, stage.now() - begun))
            else:
                self.other += 1

        headers = [("Authorization", f"Bearer {token}")]
        stage.client.call(
            (address, int(port)), "GET", f"/{rest}", answered, headers, b"", begun + PATIENCE + SECOND // 2
        )

    def _change(self, number: int) -> None:
        self._operate("/v1/configuration", {"titles": {f"extra-{number % 20}": {"home": 1, "copies": 2}}})
        later = self.stage.now() + int(CHANGES_EVERY * SECOND)
        self.stage.loop.call_at(later, self._change, number + 1)

    def _operate(self, path: str, body: dict[str, Any]) -> None:
        def told(reply: Reply | CallFailure) -> None:
            good = isinstance(reply, Reply) and reply.status == 200
            self.published += good and path.endswith("configuration")

        stage = self.stage
        headers = [("Authorization", f"Bearer {SECRET}")]
        data, until = json.dumps(body).encode(), stage.now() + 2 * SECOND
        stage.client.call(stage.admin_place(0), "POST", path, told, headers, data, until)


def rows(sizes: tuple[int, ...] = (50,), seeds: tuple[int, ...] = (1,), seconds: float = 30.0) -> list[Row]:
    """Play each size for so many real s. Raises ValueError for a bad size, RuntimeError for no answer."""
    if max(sizes) > MOST or min(sizes) < 3:
        raise ValueError(f"3 to {MOST} gateways of their own processes")
    out = []
    for size in sizes:
        for seed in seeds:
            seen = {shares: HdrHistogram(1, 60 * SECOND, 3) for shares in (False, True)}
            notes: dict[bool, list[str]] = {False: [], True: []}
            for turn in range(TURNS):
                for shares in (False, True):
                    course = Course(size, seed * 100 + turn, shares)
                    course.play(seconds)
                    seen[shares].add(course.seen)
                    p99 = course.seen.get_value_at_percentile(99) / 1000
                    told = f"{course.served} served, {course.other} not, {course.published} changes"
                    notes[shares].append(f"{told}, p99 {p99:.1f} ms")
                    time.sleep(1.0)
            if not all(each.get_total_count() for each in seen.values()):
                raise RuntimeError(f"{size} gateways: nobody was served: {notes}")
            for shares, name in ((False, "alone"), (True, "shared")):
                for part in (50, 99):
                    value = seen[shares].get_value_at_percentile(part) / 1000
                    note = "; ".join(notes[shares])
                    told = f"paid.p{part}_{name}", "ms", "gateways", size, value, seed
                    out.append(Row(*told, net="loopback", parts="real", note=note))
            ratio = seen[True].get_value_at_percentile(99) / seen[False].get_value_at_percentile(99)
            told = "paid.p99_ratio", "ratio", "gateways", size, ratio, seed
            out.append(Row(*told, net="loopback", parts="real", note="shared over alone"))
    return out
