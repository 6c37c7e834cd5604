"""Measures what claims of paid keys add: `python -m benchmarks.claims [--seeds 3]`.

Loopback: the same drawn day with three gateways, with claims, with claims and a store, and without, by turns;
answer times of paid viewers who play, once the witnesses vote. Memory: calls between gateways and their bytes
(without the heads of answers) for each paid ask.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import replace
from typing import Any

from mintmast.http.client import HttpClient
from mintmast.lab import drills
from mintmast.lab.drills import frame
from mintmast.peers import transport


def _answers(seed: int, mutate: str | None, stores: bool) -> list[float]:
    """Give answer times (ms) of paid viewers who play, on loopback."""
    plain = drills.DRILLS["drain"]
    seen: list[dict[str, Any]] = []
    audit = frame.audit

    def keep(rows: list[dict[str, Any]], terms: Any) -> Any:
        seen.extend(rows)
        return audit(rows, terms)

    frame.audit = keep
    try:
        day = replace(plain.day, rate=20.0, load_s=10.0, whole_s=12.0, gateways=3)
        drills.DRILLS["drain"] = replace(plain, stores=stores)
        drills.run("drain", seed, "loopback", mutate, day)
    finally:
        frame.audit, drills.DRILLS["drain"] = audit, plain
    begin = min(row["at"] for row in seen if row["what"] == "hello") + 2_000_000
    over = [row for row in seen if row["what"] == "request_over" and row["paid"] and row["status"] == 200]
    over = [row for row in over if row["asked_at"] > begin]
    return [(row["at"] - row["asked_at"]) / 1000 for row in over]


def _calls(hosts: int, gateways: int) -> dict[str, float]:
    """Give calls and bytes between gateways for each ask of a paid viewer, in memory."""
    counts = {"calls": 0, "bytes": 0}
    call, answer = HttpClient.call, transport.PeerTransport._decode_reply

    def counted(self: HttpClient, address: Any, method: str, target: str, *rest: Any, **more: Any) -> Any:
        under_way = call(self, address, method, target, *rest, **more)
        if target == transport.PATH:
            counts["calls"] += 1
            counts["bytes"] += len(under_way.data)
        return under_way

    def told(self: transport.PeerTransport, reply: Any, mac: str) -> Any:
        counts["bytes"] += len(getattr(reply, "body", b""))
        return answer(self, reply, mac)

    HttpClient.call, transport.PeerTransport._decode_reply = counted, told  # type: ignore[method-assign]
    try:
        asks: list[int] = []
        audit = frame.audit
        frame.audit = lambda rows, terms: (
            asks.append(sum(row["what"] == "request_over" and row["paid"] for row in rows)),
            audit(rows, terms),
        )[1]
        drills.run("bad-day", 1, "memory", day=drills.DRILLS["bad-day"].day.sized(hosts, gateways))
    finally:
        HttpClient.call, transport.PeerTransport._decode_reply = call, answer  # type: ignore[method-assign]
        frame.audit = audit
    return {name: round(count / asks[0], 1) for name, count in counts.items()}


def main() -> None:
    """Print one JSON object."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--seeds", type=int, default=3)
    options = arguments.parse_args()
    took: dict[str, list[float]] = {"claims": [], "claims and store": [], "no-claims": []}
    for seed in range(options.seeds):
        for name, times in took.items():
            times += _answers(seed, name if name == "no-claims" else None, "store" in name)
    report: dict[str, Any] = {}
    for name, times in took.items():
        times.sort()
        middle, late = times[len(times) // 2], times[int(len(times) * 0.99)]
        report[name] = {"asks": len(times), "p50_ms": round(middle, 2), "p99_ms": round(late, 2)}
    report["each_paid_ask"] = {"8 hosts, 3 gateways": _calls(8, 3), "48 hosts, 8 gateways": _calls(48, 8)}
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
