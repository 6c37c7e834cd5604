"""A change log that begins its answers late is never heard, and drained hosts get set-ups for good."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import SETTINGS, Case, ChangeLog, MediaHost, Viewers, run_case  # noqa: E402

HOSTS, RATE, BUDGET = 14, 20, 3.0
# seconds that the slow change log takes to begin its answer to each call
SLOW_ANSWER = 2.5
# when the drain is put into the change log, and when the case ends
DRAIN_AT, END_AT = 8.0, 30.0
# seconds: the longest time after which a change counts as told to a gateway that gave a call up, the grace of
# the site for drains, and the slack of the sockets
TOLD_AFTER, GRACE, SLACK = 6.0, 1.0, 0.05


async def play(case: Case) -> list[str]:
    """Return the set-ups that reached a draining host too late."""
    record = case.record
    hosts = [MediaHost(record, f"host-{number}", number % 4) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    change_log = ChangeLog(record, [host.entry() for host in hosts])
    change_log.answer_delay = SLOW_ANSWER if case.has_trouble else 0.0
    await change_log.start()
    gateway = case.gateway(change_log, SETTINGS)
    await gateway.start()
    viewers = Viewers(record, gateway.address, gateway.port)
    await viewers.wait_ready(gateway)
    connections = [await viewers.connect() for _ in range(4)]
    draining: list[MediaHost] = []
    told_at, number = 0.0, 0
    while record.now() < END_AT:
        connections[number % 4].set_up("paid" if number % 3 == 0 else "free", BUDGET)
        number += 1
        if not draining and record.now() >= DRAIN_AT:
            draining = hosts[:2]
            told_at = change_log.tell([host.entry("Terminating") for host in draining])
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(1)
    if gateway.has_ended():
        return ["the gateway has crashed"]
    limit = TOLD_AFTER + GRACE + SLACK
    return [
        f"{host.name} got {call.hex()} {at - told_at:.3f} s after its drain was put into the change log"
        for host in draining
        for at, call, _ in host.set_ups
        if at - told_at > limit
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
