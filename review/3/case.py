"""A gateway that stood still drops its watch before it reads it, and sends to hosts that drain."""

from __future__ import annotations

import asyncio
import copy
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import SETTINGS, Case, ChangeLog, Gateway, MediaHost, Viewers, run_case  # noqa: E402

GATEWAYS, HOSTS, RATE, BUDGET = 3, 15, 25, 3.0
# seconds that the change log takes to begin its answer to a call, and a media host to one to a test
LOG_ANSWER, TEST_ANSWER = 0.04, 0.004
# two of three gateways stand still for so many seconds, each time so many seconds after the last begin; the
# pages allow up to 90% of the gateways, 1.5 to 2 s, every 2.4 to 4 s and for 20 to 40 s
STALL, STALL_EVERY, STALL_TIME = 2.0, (2.8, 4.0), 32.0
# the rolling deploy: hosts at a time, seconds between two steps, and between a host's drain and its end
STEP_HOSTS, STEP_EVERY, STEPS, DRAIN_TIME = 2, (3.8, 5.0), 7, 3.0
# seconds: the site's grace for drains, and the slack of the sockets
GRACE, SLACK = 0.25, 0.05


def settings() -> dict:
    """Return settings with the site's grace and its slow start."""
    document = copy.deepcopy(SETTINGS) | {"nInstances": GATEWAYS}
    document["familyInfo"]["kindSlots"] = [30]
    document["invariants"] |= {
        "stopSendingWithin": round(GRACE * 1_000_000),
        "cold": 8_000_000,
        "coldFrom": 0.4,
        "fall": 2_000_000,
        "overloadFactor": 2,
    }
    return document


async def send_requests(case: Case, viewers: Viewers, until: float) -> None:
    """Send requests to one gateway."""
    connections = [await viewers.connect() for _ in range(4)]
    number = 0
    while case.record.now() < until:
        connections[number % 4].set_up("paid" if number % 3 == 0 else "free", BUDGET)
        number += 1
        await asyncio.sleep(random.expovariate(RATE))


async def stall(case: Case, gateway: Gateway) -> None:
    """Let a gateway stand still again and again, at times of its own."""
    until = case.record.now() + STALL_TIME
    await asyncio.sleep(random.uniform(0, STALL_EVERY[1]))
    while case.record.now() + STALL < until:
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(STALL)
        gateway.send(signal.SIGCONT)
        await asyncio.sleep(random.uniform(*STALL_EVERY) - STALL)


async def deploy(case: Case, change_log: ChangeLog, hosts: list[MediaHost]) -> dict[str, float]:
    """Replace hosts step by step; return when each was told to drain."""
    told: dict[str, float] = {}
    for step in range(STEPS):
        old = hosts[step * STEP_HOSTS : (step + 1) * STEP_HOSTS]
        at = change_log.tell([host.entry("Terminating") for host in old])
        told |= {host.name: at for host in old}
        await asyncio.sleep(DRAIN_TIME)
        new = [
            MediaHost(case.record, f"host-{len(hosts) + each}", old[each].cell) for each in range(len(old))
        ]
        for host in new:
            host.life, host.test_delay = 10.0, TEST_ANSWER
            await host.start()
        hosts += new
        now_ms = int(time.time() * 1000)
        change_log.tell([host.entry("Gone") for host in old] + [host.entry("Ready", now_ms) for host in new])
        await asyncio.sleep(random.uniform(*STEP_EVERY) - DRAIN_TIME)
    return told


async def play(case: Case) -> list[str]:
    """Return the set-ups that reached a draining host too late."""
    record = case.record
    hosts = [MediaHost(record, f"host-{number}", number % 4) for number in range(HOSTS)]
    for host in hosts:
        host.life, host.test_delay = 10.0, TEST_ANSWER
        await host.start()
    change_log = ChangeLog(record, [host.entry() for host in hosts])
    change_log.answer_delay = LOG_ANSWER
    await change_log.start()
    gateways = [case.gateway(change_log, settings()) for _ in range(GATEWAYS)]
    fronts = []
    for number, gateway in enumerate(gateways):
        await gateway.start()
        fronts.append(Viewers(record, gateway.address, gateway.port, number + 1))
    for front in fronts:
        await front.wait_ready()
    until = record.now() + 1 + max(STALL_TIME, STEPS * STEP_EVERY[1])
    tasks = [asyncio.ensure_future(send_requests(case, front, until)) for front in fronts]
    await asyncio.sleep(1)
    if case.has_trouble:
        tasks += [asyncio.ensure_future(stall(case, gateway)) for gateway in gateways[:2]]
    told = await deploy(case, change_log, hosts)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    if any(gateway.has_ended() for gateway in gateways):
        return ["a gateway has crashed"]
    return [
        f"{host.name} got {call.hex()} {at - told[host.name]:.3f} s after its drain stood in the change log"
        for host in hosts
        if host.name in told
        for at, call, _ in host.set_ups
        if at - told[host.name] > GRACE + SLACK
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
