"""Paid viewers come again with the same key: elsewhere, at two gateways at once, around a gateway's death."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from mintmast.lab.drills.day import PAID, Day, Drill
from mintmast.lab.drills.viewers import Viewers
from mintmast.player import Report

# s after which a viewer comes again with his key, whatever he was told
BACK = (0.0, 0.02, 0.2, 0.8, 2.5)
# µs by which copies of one ask are apart: from the same instant to a little over a round trip
APART = (0, 0, 300, 2000, 30_000)


class Roamers(Viewers):
    """Viewers who keep their key and change their gateway: after every kind of answer, cut or silence."""

    def _drawn(self, number: int) -> dict[str, Any]:
        drawn = super()._drawn(number)
        draw = self.random
        drawn["roams"] = [draw.choice(BACK) for _ in range(draw.choice((0, 1, 1, 2)))]
        drawn["copies"] = [
            (draw.randrange(self.day.gateways), draw.choice(APART))
            for _ in range(draw.choice((0, 0, 1, 1, 2, 3)))
        ]
        drawn["cuts"] = draw.uniform(0, 0.05) if draw.random() < 0.15 else None
        return drawn

    def _wish(self, number: int, drawn: dict[str, Any]) -> None:
        super()._wish(number, drawn)
        if drawn["service"] != PAID:
            return
        for place, (gateway, apart) in enumerate(drawn["copies"]):
            at = self.stage.now() + apart
            self.stage.loop.call_at(at, self._again, number, drawn, gateway, f"c{place}", [])
        if drawn["cuts"] is not None:  # asks, breaks off, and asks elsewhere at once
            gateway = (drawn["gateways"][0] + 1) % self.day.gateways
            self._again(number, drawn, gateway, "cut", [0.0], int(drawn["cuts"] * 1e6))

    def _over(self, number: int, drawn: dict[str, Any], tries: int, report: Report) -> None:
        super()._over(number, drawn, tries, report)
        if drawn["service"] == PAID and not tries:
            self._come_back(number, drawn, "r", drawn["roams"])

    def _come_back(self, number: int, drawn: dict[str, Any], name: str, waits: list[float]) -> None:
        if waits:
            gateway = random.Random(f"{number}/{name}").randrange(self.day.gateways)
            at = self.stage.now() + int(waits[0] * 1e6)
            self.stage.loop.call_at(at, self._again, number, drawn, gateway, name + "+", waits[1:])

    def _again(
        self,
        number: int,
        drawn: dict[str, Any],
        gateway: int,
        name: str,
        waits: list[float],
        leave: int | None = None,
    ) -> None:
        """Ask once more with the same key, and come back after `waits` whatever the answer is."""
        self.measures["came_again"] = self.measures.get("came_again", 0) + 1

        def told(report: Report) -> None:
            what = {200: "again_plays", 503: "again_refused", None: "again_silent"}
            verdict = what.get(report.status, "again_failed")
            self.measures[verdict] = self.measures.get(verdict, 0) + 1
            self._come_back(number, drawn, name, waits)

        self.ask_at(gateway, number, drawn, name, told, leave)


def roaming(stage: Any, day: Day, seed: int) -> None:
    """Script gateways' deaths and returns, two of them near each other, and hosts that lose answers."""
    draw = random.Random(f"{seed}/faults")
    at = draw.uniform(1.5, 4.0)
    last = -1
    while at < day.load_s:
        gateway = draw.choice([n for n in range(day.gateways) if n != last])
        last, back = gateway, draw.uniform(0.2, 2.0)
        stage.at(at, kill_if_all_vote, stage, day, gateway, back)
        at += back + draw.uniform(2.5, 4.0)
    for _ in range(day.sets):
        lossy = draw.sample(range(day.hosts), 3)
        begin = draw.uniform(0.5, day.load_s / 2)
        for number in lossy:
            stage.at(begin, faulty, stage, number, 0.3)
            stage.at(begin + 5, faulty, stage, number, 0.0)
        slow = draw.randrange(day.hosts)
        stage.at(begin, partial(setattr, stage.hosts[slow], "slow", draw.choice([100_000, 600_000])))
        stage.at(begin + 4, partial(setattr, stage.hosts[slow], "slow", 0))


def kill_if_all_vote(
    stage: Any, day: Day, gateway: int, back: float, lost: int | None = None, **more: Any
) -> None:
    """Kill a gateway and start it again, if all vote: claims promise to live through one death at a time.

    `lost` is one that is away and need not vote; `more` is for the start.

    A process may need seconds to start on a busy machine; operators wait for the same word.
    """
    if all(stage.votes(number) for number in range(day.gateways) if number != lost):
        stage.restart_gateway(gateway, back, **more)


def _unheard(day: Day, stage: Any, gateway: int) -> None:
    """Let a gateway hear the others and not be heard by them."""
    for other in range(day.gateways):
        if other != gateway:
            stage.way(gateway, other, is_cut=True)


def faulty(stage: Any, number: int, part: float) -> None:
    """Let a host lose so much of its answers, and cut as much."""
    stage.hosts[number].lose_answers = stage.hosts[number].cut_answers = part


def _lost(how: str, stage: Any, day: Day, seed: int) -> None:
    """Lose one gateway for good, then start each other one anew, one after the other."""
    draw = random.Random(f"{seed}/lost")
    order = draw.sample(range(day.gateways), day.gateways)
    stage.at(
        draw.uniform(2.0, 4.0),
        {
            "refuses": stage.kill_gateway,
            "vanishes": stage.vanish_gateway,
            "unheard": partial(_unheard, day, stage),
        }[how],
        order[0],
    )
    at = draw.uniform(8.0, 9.0)
    for gateway in order[1:]:
        stage.at(at, stage.kill_gateway, gateway)
        stage.at(at + draw.uniform(0.2, 1.0), stage.start_gateway, gateway)
        at += draw.uniform(5.0, 6.0)


_DAY = Day(rate=14.0, load_s=14.0, whole_s=34.0, uplink_kb=1200.0)
_LONG = Day(rate=14.0, load_s=30.0, whole_s=50.0, uplink_kb=1200.0)
DRILLS = {
    "roaming": Drill(roaming, _DAY, load=Roamers),
    **{
        f"roaming-{how}": Drill(partial(_lost, how), _LONG, load=Roamers)
        for how in ("refuses", "vanishes", "unheard")
    },
}
