"""Drills: scripted days with load and faults, checked by the audit.

The same seed draws the same day on both networks.
"""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from mintmast.http.client import Fault, Reply
from mintmast.lab.audit import Findings, Terms, audit, membership, moves, worth
from mintmast.lab.stage import LoopbackStage, MemoryStage, Stage
from mintmast.lab.standin import HostModel
from mintmast.player import Player, Report

PAID, FREE = "billed-route", "entrance-preview"
LADDER = [(4.0, 0.25), (8.0, 0.55), (16.0, 0.8), (32.0, 1.0)]
# s; how often a viewer comes again after a refusal or a broken connection
TRIES = 4


@dataclass(slots=True, frozen=True)
class Day:
    """Size and course of a drill."""

    hosts: int = 8
    gateways: int = 3
    rate: float = 20.0  # viewers a second
    load_s: float = 16.0
    whole_s: float = 34.0
    shortest: float = 4.0  # s of the shortest clip; the longest lasts four more
    link_kb: float = 300.0
    uplink_kb: float = 900.0


def settings(day: Day) -> dict[str, Any]:
    """Give the settings of a drill's gateways."""
    titles = {
        f"gate-{n}": {"home": n % day.hosts, "copies": 4, "seconds": day.shortest + n % 5, "segment_s": 2.0}
        for n in range(12)
    }
    return {
        "instances": day.gateways,
        "zones": ["hall-a", "hall-b"],
        "classes": [
            {
                "name": PAID, "effect": "single_shot", "aim_ms": 1000, "deadline_ms": 2000, "worth": 3,
                "floor": 1, "seats": 6,
            },
            {"name": FREE, "effect": "free", "aim_ms": 800, "deadline_ms": 3000, "worth": 1, "scale": 0.7},
        ],
        "tenants": [
            {"name": "brzi", "quota_per_s": 100, "share": 0.67},
            {"name": "otok", "quota_per_s": 50, "share": 0.33},
        ],
        "ladder": [{"kb": kb, "worth": value} for kb, value in LADDER],
        "fleet": {
            "kinds": [{"streams": 30}], "cells": day.hosts, "racks": 2, "weight_kb": day.link_kb,
            "uplink_kb": day.uplink_kb, "reports": ["x0", "x1"], "note_age_ms": 300,
        },
        "rules": {
            "drain_grace_ms": 1000, "cold_ms": 6000, "cold_from": 0.4, "fall_ms": 1000, "fall_multiple": 2.5,
            "max_attempts": 5, "budget": {"span_ms": 5000, "free": 6, "ratio": 0.3},
        },
        "hosts": {"lease_ms": 4000, "connect_ms": 250, "silent_ms": 2500},
        "limits": {"answer_margin_ms": 150},
        "titles": titles,
    }  # fmt: skip


def model(day: Day) -> HostModel:
    """Give the stand-ins of a drill."""
    return HostModel(link_kb=day.link_kb, cold=6_000_000, fall=1_000_000, idle=5_000_000)


class Viewers:
    """The load: wishes drawn ahead, each tried until it is answered for good."""

    def __init__(self, stage: Any, day: Day, seed: int) -> None:
        self.stage, self.day = stage, day
        self.random = random.Random(f"{seed}/viewers")
        self.measures: dict[str, Any] = {
            "plays": 0, "refused": 0, "failed": 0, "left": 0, "unreached": 0, "stalls": 0, "stalled_s": 0.0,
            "broken_off": 0, "gaps": 0, "longest_gap_s": 0.0, "gaps_moved": 0,
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
        paid = draw() < 0.4
        return {
            "service": PAID if paid else FREE,
            "title": f"gate-{min(11, int(12 * draw() ** 1.7))}",
            "tenant": "brzi" if draw() < 0.67 else "otok",
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
        stage, paid = self.stage, drawn["service"] == PAID
        key = f"wish-{number}"
        gateway = drawn["gateways"][tries]
        token = stage.token(f"viewer-{number}", drawn["tenant"], drawn["service"], drawn["rung"], key)
        patience = 2_000_000 if paid else 3_000_000
        leave = int(drawn["leaves"] * 1e6) if drawn["leaves"] is not None and not tries else None
        asked = stage.now()
        self.requests += 1
        request = f"{key}/{tries}{'b' if copy else ''}"

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

        def answered(reply: Reply | Fault) -> None:
            self._misuse(drawn, reply)

        headers = [("Authorization", f"Bearer {token}")]
        url = f"{stage.gateway_url(gateway)}/dash/{drawn['title']}/manifest.mpd"
        player = _Watched(stage.loop, stage.client, url, headers, patience, done, leave, 60.0)
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

    def _misuse(self, drawn: dict[str, Any], reply: Reply | Fault) -> None:
        """Try a good token on another rung or host: every one of these must be turned away."""
        if not drawn["misuses"] or isinstance(reply, Fault) or reply.status != 200:
            return
        base = reply.body.partition(b"<BaseURL")[2].partition(b">")[2].partition(b"<")[0].decode()
        authority, _, path = base.removeprefix("http://").partition("/")
        tries = [(authority, f"/{path}r9/1.m4s"), (authority, f"/{path}r0/1.m4s?title=gate-99")]
        others = [host.name for host in self.stage.hosts.values() if host.alive and host.name != authority]
        if others:
            tries.append((others[0], f"/{path}r0/1.m4s"))
        for place, target in tries:
            host, _, port = place.rpartition(":")

            def done(answer: Reply | Fault) -> None:
                if isinstance(answer, Reply):
                    self.measures["tokens_misused"] += 1
                    self.measures["misuse_accepted"] += answer.status < 400

            until = self.stage.now() + 3_000_000
            self.stage.client.call((host, int(port)), "GET", target, done, deadline=until)


class _Watched(Player):
    """A player whose manifest's answer is recorded as it comes."""

    on_answer: Any = None
    on_reply: Any = None
    _told = False

    def _answered(self, reply: Reply | Fault) -> None:
        if not isinstance(reply, Fault):
            self.report.status = reply.status
            self.report.reason = reply.body[:200].decode("utf-8", "replace") if reply.status != 200 else ""
        else:
            self.report.fault = reply.value
        self.on_answer(self.report)
        self.on_reply(reply)
        super()._answered(reply)


def bad_day(stage: Any, day: Day, seed: int) -> None:
    """Script a day on which most of what can go wrong does."""
    draw = random.Random(f"{seed}/faults")
    hosts = draw.sample(range(day.hosts), 6)
    dies, drains, hangs, errs, slow, loses = hosts
    load = day.load_s

    def on(number: int, **faults: Any) -> None:
        for name, value in faults.items():
            setattr(stage.hosts[number], name, value)

    # answers lost or cut on the way back, all over the fleet, for a while
    begin = draw.uniform(1, load / 3)
    for number in (loses, dies, errs):
        stage.at(begin, lambda n=number: on(n, lose_answers=0.25, cut_answers=0.25))
        stage.at(begin + 5, lambda n=number: on(n, lose_answers=0.0, cut_answers=0.0))
    # a host killed while set-ups are under way, back cold
    death = draw.uniform(2, load / 2)
    stage.at(death - 0.5, lambda: on(dies, slow=300_000))
    stage.at(death, stage.kill_host, dies)
    stage.at(death + draw.uniform(0.5, 3), stage.start_host, dies, True)
    # a drain, a hang, quick errors, a slow host, a weak link
    drain = draw.uniform(2, load * 0.7)
    stage.at(drain, lambda: stage.hosts[drains].drain())
    stage.at(drain + 6, lambda: stage.hosts[drains].drain(False))
    hang = draw.uniform(1, load * 0.7)
    stage.at(hang, lambda: on(hangs, hang=True))
    stage.at(hang + draw.uniform(1, 5), lambda: stage.hosts[hangs].resume())
    error = draw.uniform(1, load * 0.7)
    stage.at(error, lambda: on(errs, errors=0.7))
    stage.at(error + 3, lambda: on(errs, errors=0.0))
    late = draw.uniform(1, load * 0.7)
    stage.at(late, lambda: on(slow, slow=draw_slow, weak=1.6))
    stage.at(late + 4, lambda: on(slow, slow=0, weak=1.0))
    draw_slow = draw.choice([200_000, 900_000, 1_995_000])
    # a gateway killed and started again, holding its last list
    gateway = draw.randrange(day.gateways)
    crash = draw.uniform(3, load * 0.8)
    stage.at(crash, stage.kill_gateway, gateway)
    stage.at(crash + draw.uniform(0.3, 2), stage.start_gateway, gateway)


def drain(
    stage: Any, day: Day, seed: int, rack: bool = False, lose: bool = False, cold: bool = False
) -> None:
    """Script a drain in the midst of clips: of a host or a rack, with ends' answers lost, to cold hosts."""
    draw = random.Random(f"{seed}/faults")
    begin, plot = day.load_s * draw.uniform(0.6, 0.8), seed % 3
    later, gateway = draw.uniform(0.2, 2.0), draw.randrange(day.gateways)

    def free(number: int) -> int:
        return sum(not each.paid for each in stage.hosts[number].sessions.values())

    def go() -> None:
        """Drain where most sessions can be moved."""
        racks = len(stage.racks)
        most = max(range(day.hosts), key=lambda number: (free(number), -number))
        whole = [number for number in range(day.hosts) if number % racks == most % racks]
        draining = whole if rack else [most]
        for number in draining:
            stage.hosts[number].drain()
            stage.hosts[number].lose_ends = 0.5 if lose else 0.0
        others = [number for number in range(day.hosts) if number not in draining]
        if cold:  # the emptiest has just come back, another dies in the midst of the moves
            emptiest = min(others, key=lambda number: len(stage.hosts[number].sessions))
            stage.kill_host(emptiest)
            stage.start_host(emptiest, True)
            stage.at(begin + later, stage.kill_host, next(n for n in others if n != emptiest))
        elif not lose and not rack and plot == 0:  # the drain is taken back in the midst of the moves
            stage.at(begin + later, lambda: stage.hosts[most].drain(False))
        elif not lose and not rack and plot == 1:  # another host drains too, and a gateway dies
            stage.at(begin + 1.0, lambda: stage.hosts[others[0]].drain())
            stage.at(begin + later, stage.kill_gateway, gateway)
            stage.at(begin + later + 1.0, stage.start_gateway, gateway)

    stage.at(begin, go)


def files(stage: Any, day: Day, seed: int) -> None:
    """Script broken, partial and good versions of the file of servers, written while requests flow."""
    draw = random.Random(f"{seed}/faults")
    path = Path(stage.settings["list"]["file"])
    rogue = {"address": stage.hosts[day.hosts - 1].name, "cell": day.hosts - 1}  # in broken versions only
    known = list(range(day.hosts - 2))
    late, drains, gone = day.hosts - 2, *draw.sample(known, 2)

    def rows(numbers: Any, **states: str) -> list[dict[str, Any]]:
        return [stage.listed(n, state=states.get(f"n{n}", "ready")) for n in numbers]

    def write(listed: list[dict[str, Any]], good: bool = True, cut: float = 1.0, over: bool = True) -> None:
        data = json.dumps({"servers": listed}).encode()
        data = data[: int(len(data) * cut)]
        if over:
            beside = path.with_suffix(".beside")
            beside.write_bytes(data)
            beside.replace(path)
        else:
            path.write_bytes(data)
        states = {each["address"]: each.get("state", "ready") for each in listed}
        if good:
            stage.record("list_written", states=states)

    first = rows(known)
    half = draw.sample(first, len(first) // 2)
    with_late = [*known, late]
    step = day.load_s / 9
    acts: list[Any] = [
        lambda: write([*first, rogue], False, draw.uniform(0.3, 0.98), False),  # caught half written
        lambda: write([*first, {**rogue, "cell": 10**6}], False),  # no such cell
        lambda: write([], False),  # names no servers at all
        lambda: write(half, False),  # half empty for a moment: held back, nobody is to be lost
        lambda: write(first),
        lambda: write(rows(with_late, **{f"n{drains}": "draining"})),  # one more, one drains
        path.unlink,
        lambda: write([*rows(with_late), rogue], False, draw.uniform(0.3, 0.98), False),
        lambda: write(rows(with_late, **{f"n{drains}": "draining", f"n{gone}": "gone"})),
    ]
    order = [*range(5)]
    draw.shuffle(order)
    for place, act in enumerate([*(acts[number] for number in order), *acts[5:]]):
        stage.at(0.5 + step * place + draw.uniform(0, step / 2), act)


def registry(stage: Any, day: Day, seed: int, kind: str = "") -> None:
    """Script a registry's troubles: answers that are none, a dark one, a half-empty list, changes."""
    draw = random.Random(f"{seed}/faults")
    first, second = stage.registries
    known = list(range(day.hosts - 2))
    drains, stops, late = *draw.sample(known, 2), day.hosts - 2
    load = day.load_s

    def both(**faults: Any) -> None:
        for node in (first, second):
            for name, value in faults.items():
                setattr(node, name, value)

    if kind == "calm":
        return
    if kind == "dark":
        stage.at(load * 0.2, lambda: both(hang=True))
        return
    if kind == "half":
        begin = draw.uniform(1, load / 2)
        stage.at(begin, lambda: both(half=0.5))
        stage.at(begin + draw.uniform(0.3, 6.0), lambda: both(half=1.0))
        return
    faults = ["hang", "cut", "wrong_hash", "wrong_types", "packed", "errors", "form"]
    draw.shuffle(faults)
    step = load / 10
    for place, fault in enumerate(faults):  # one node after the other, each for a while
        node = draw.choice([first, second])
        value, back = {"errors": (500, 0), "form": ("xml", "json")}.get(fault, (True, False))
        begin = step * (place + draw.random() / 2)
        stage.at(begin, setattr, node, fault, value)
        stage.at(begin + step, setattr, node, fault, back)
    stage.at(load * 0.3, stage.tell_registries, late)
    stage.at(load * 0.8, stage.tell_registries, drains, "OUT_OF_SERVICE")
    stage.at(load * 0.85, stage.tell_registries, stops, "DOWN")


DRILLS = {
    "registry": registry,
    "registry-calm": partial(registry, kind="calm"),
    "registry-dark": partial(registry, kind="dark"),
    "registry-half": partial(registry, kind="half"),
    "files": files,
    "bad-day": bad_day,
    "drain": drain,
    "drain-rack": partial(drain, rack=True),
    "drain-lost-answer": partial(drain, lose=True),
    "drain-cold": partial(drain, cold=True),
}
# clips long enough to be moved in their midst, and room for them elsewhere
DRAIN_DAY = Day(rate=8.0, load_s=12.0, whole_s=44.0, link_kb=600.0, uplink_kb=1800.0, shortest=14.0)
DAYS = {name: DRAIN_DAY for name in DRILLS if name.startswith("drain")}
# the rest of the fleet has room for about half of what the draining rack holds
DAYS["files"] = Day(hosts=10, rate=18.0, load_s=18.0, whole_s=36.0, link_kb=300.0, uplink_kb=1200.0)
DAYS.update({name: DAYS["files"] for name in DRILLS if name.startswith("registry")})
DAYS["drain-rack"] = replace(DRAIN_DAY, rate=14.0, link_kb=450.0, uplink_kb=1300.0)


def prepare(name: str, stage: Any, day: Day) -> None:
    """Put in place what a drill needs before its gateways start."""
    if name.startswith("registry"):
        stage.start_registries(2)
        for number in range(day.hosts - 2):
            stage.tell_registries(number)
    if name != "files":
        return
    path = Path(stage.folder.name, "servers.json")
    stage.settings["list"] = {"file": str(path), "every_ms": 200}
    listed = [stage.listed(number) for number in range(day.hosts - 2)]
    path.write_text(json.dumps({"servers": listed}), encoding="utf-8")
    stage.record("list_written", states={each["address"]: "ready" for each in listed})


def terms(stage: Stage, conf: dict[str, Any]) -> Terms:
    """Give what the audit must know."""
    rules = conf["rules"]
    return Terms(
        drain_grace=rules["drain_grace_ms"] * 1000,
        slack=stage.slack,
        floor={True: 1, False: 0},
        seats=6,
        span=rules["budget"]["span_ms"] * 1000,
        free=rules["budget"]["free"],
        ratio=rules["budget"]["ratio"],
    )


def run(
    name: str,
    seed: int,
    net: str,
    mutate: str | None = None,
    day: Day | None = None,
    keep: str | None = None,
) -> dict[str, Any]:
    """Play a drill and give its report; the same seed in memory gives the same report.

    With `keep`, what was seen is written to that folder, a JSON line each.
    """
    day = day or DAYS.get(name, Day())
    conf = settings(day)
    stage: Any = (MemoryStage if net == "memory" else LoopbackStage)(seed, conf, model(day), mutate)
    try:
        for number in range(day.hosts):
            stage.start_host(number)
        prepare(name, stage, day)
        for number in range(day.gateways):
            stage.start_gateway(number)
        stage.begin()
        viewers = Viewers(stage, day, seed)
        DRILLS[name](stage, day, seed)
        stage.run(day.whole_s)
        stage.record("unasked", place="viewers", times=stage.client.unasked)
        if keep is not None:
            lines = "".join(json.dumps(row) + "\n" for row in stage.rows)
            Path(keep, f"{name}-{net}-{seed}.jsonl").write_text(lines, encoding="utf-8")
            for log in Path(stage.folder.name).glob("*.log"):  # the gateways' own, to find a cause by
                Path(keep, f"{name}-{net}-{seed}-{log.name}").write_bytes(log.read_bytes())
        found = audit(stage.rows, terms(stage, conf))
        viewers.measures.update(moves(stage.rows, found))
        viewers.measures.update(_emptied(stage.rows))
        if "list" in stage.settings:
            viewers.measures.update(membership(stage.rows, found, terms(stage, conf)))
        return _report(name, seed, net, stage, viewers, found)
    finally:
        stage.close()


def _emptied(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Give, of draining hosts, paid sessions kept there, free ones that stayed, the longest time to empty."""
    held: dict[str, dict[str, bool]] = {}
    began: dict[str, int] = {}
    kept, given_up, longest = 0, 0, 0.0
    for row in rows:
        host = row.get("host", "")
        if row["what"] == "ran":
            held.setdefault(host, {})[row["session"]] = row["paid"]
        elif row["what"] == "drains" and row["on"]:
            began[host] = row["at"]
            kept += sum(held.get(host, {}).values())
        elif row["what"] == "drains" or row["what"] == "host_died":
            began.pop(host, None)
            held.pop(host, None)
        elif row["what"] == "session_over":
            paid = held.get(host, {}).pop(row["session"], True)
            given_up += host in began and not paid and row["why"] == "played"
            if host in began and not held.get(host):
                longest = max(longest, (row["at"] - began[host]) / 1e6)
    return {"kept_paid": kept, "given_up": given_up, "longest_to_empty_s": round(longest, 3)}


def _report(name: str, seed: int, net: str, stage: Any, viewers: Viewers, found: Findings) -> dict[str, Any]:
    asked = answered = 0.0
    for _, want, got in worth(stage.rows):
        asked += want
        answered += got
    seen: dict[str, int] = {}
    for row in stage.rows:
        seen[row["what"]] = seen.get(row["what"], 0) + 1
    measures = dict(viewers.measures)
    measures["set_ups"] = seen.get("set_up_came", 0)
    measures["ran"] = seen.get("ran", 0)
    measures["answers_lost"] = seen.get("answer_lost", 0) + seen.get("answer_cut", 0)
    measures["errors"] = seen.get("error", 0)
    measures["viewers_unfinished"] = viewers.open
    held = sum(len(host.sessions) for host in stage.hosts.values() if host.alive)
    measures["sessions_left_at_hosts"] = held
    good = found.good and not measures["misuse_accepted"] and not measures["errors"]
    return {
        "drill": name,
        "seed": seed,
        "net": net,
        "good": good,
        "requests": viewers.requests,
        "answers": viewers.answers,
        "rules": found.as_dict(),
        "worth": {"asked": round(asked, 6), "answered": round(answered, 6)},
        "measures": measures,
    }


def nothing_checked(report: dict[str, Any]) -> bool:
    """Tell whether a report rests on nothing."""
    return not math.fsum(rule["checked"] for rule in report["rules"].values())
