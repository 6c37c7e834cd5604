"""The frame of a drill: day, load, faults, verdict. The same seed draws the same day on both networks."""

from __future__ import annotations

import json
import math
from contextlib import closing
from functools import partial
from pathlib import Path
from typing import Any

from mintmast.decisions.sessions.moves import MOVE_TERMINATION_TIMEOUT_US
from mintmast.lab.audit import Findings, Terms, audit, membership, moves, worth
from mintmast.lab.drills import bad_day, configuration, drain, files, kill, members, power, registry, roaming
from mintmast.lab.drills.day import Day, Drill, model, settings
from mintmast.lab.drills.viewers import Viewers
from mintmast.lab.loopback import LoopbackStage
from mintmast.lab.mutant import built_in
from mintmast.lab.stage import MemoryStage, Stage
from mintmast.lab.views import views

# hosts of the smallest fleet on which every fault of a set finds a host of its own
LEAST_HOSTS = 7
# µs between questions what gateways believe of each other
LOOK_EVERY = 250_000
# gateways that are asked so often; more are asked less often, as each tells of all
FEW = 20
DRILLS: dict[str, Drill] = {}
for _family in (registry, files, bad_day, drain, roaming, members, kill, power, configuration):
    DRILLS.update(_family.DRILLS)


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
        under_way=conf["hosts"]["connect_ms"] * 1000 + MOVE_TERMINATION_TIMEOUT_US,
        lives=stage.stores,
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
    drill = DRILLS[name]
    day = day or drill.day
    conf = settings(day)
    stage: Any = (MemoryStage if net == "memory" else LoopbackStage)(seed, conf, model(day), mutate)
    with built_in(mutate), closing(stage):
        for number in range(day.hosts):
            stage.start_host(number)
        stage.stores = drill.stores
        drill.prepare(stage, day)
        if drill.links:
            stage.lay_links()
        for number in range(day.gateways):
            stage.start_gateway(number)
        stage.begin()
        viewers = (drill.load or Viewers)(stage, day, seed)
        drill.script(stage, day, seed)
        if drill.links:
            _look(stage, day)
        stage.run(day.whole_s)
        stage.record("unasked", place="viewers", times=stage.client.unsolicited)
        if keep is not None:
            lines = "".join(json.dumps(row) + "\n" for row in stage.rows)
            Path(keep, f"{name}-{net}-{seed}.jsonl").write_text(lines, encoding="utf-8")
            for log in Path(stage.folder.name).glob("*.log"):  # the gateways' own, to find a cause by
                Path(keep, f"{name}-{net}-{seed}-{log.name}").write_bytes(log.read_bytes())
        found = audit(stage.rows, terms(stage, conf))
        viewers.measures.update(moves(stage.rows, found))
        viewers.measures.update(_emptied(stage.rows))
        viewers.measures.update(power.measure(stage.rows))
        if "list" in stage.settings:
            viewers.measures.update(membership(stage.rows, found, terms(stage, conf)))
        if drill.links:
            names = [f"gw{number}" for number in range(day.gateways)]
            viewers.measures.update(views(stage.rows, found, names))
        if stage.shares:
            viewers.measures.update(configuration.configured(stage.rows, found, day.gateways))
        return _report(name, seed, net, stage, viewers, found)


def _look(stage: Any, day: Day) -> None:
    """Ask all gateways what they believe of each other, again and again."""
    for number in range(day.gateways):
        stage.look(number, partial(_viewed, stage, stage.now()))
    again = LOOK_EVERY * max(1, day.gateways // FEW)
    stage.loop.call_at(stage.now() + again, _look, stage, day)


def _viewed(stage: Any, asked: int, told: dict[str, Any]) -> None:
    stage.record(
        "view", gateway=told["gateway"], start=told["start"], before=asked, votes=told["witness"]["votes"],
        stands={name: (each["stands"], each["start"]) for name, each in told["members"].items()},
        waits_for=told["witness"]["waits_for"], condemned=told["condemned"],
    )  # fmt: skip


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
    if stage.stores:
        told = [row["state"] for row in stage.rows if row["what"] == "settled"]
        for state in ("plays", "ran", "not here"):
            measures[f"settled_{state.replace(' ', '_')}"] = told.count(state)
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
