"""A session's end is never told to its viewer, as an earlier host of the request repeated its own release."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import SETTINGS, Case, ChangeLog, MediaHost, Viewers, run_case  # noqa: E402

# requests per second, seconds that a viewer waits, and seconds that a session plays
HOSTS, RATE, BUDGET, LIFE = 10, 3, 3.0, 14.0
# share of the set-ups that run while their answer never comes
LOST_ANSWERS = 0.1
# seconds between two resets of idle connections to media hosts, and for which such a connection was quiet
RESET_EVERY, QUIET = 0.5, 0.3
# connections of viewers, and seconds after which the oldest without an open set-up is replaced by a new one
CONNECTIONS, REPLACE_EVERY = 4, 1.5
SEND_UNTIL = 75.0
# seconds after its end until which a session has to be released, if no release could be sent, and the slack
RELEASE_WITHIN, SLACK = 8.0, 0.05


async def send_requests(case: Case, viewers: Viewers) -> None:
    """Send requests on a few connections, and replace these in turn."""
    connections = []
    opened_at, number = -REPLACE_EVERY, 0
    while (now := case.record.now()) < SEND_UNTIL:
        connections = [each for each in connections if not each.is_closed]
        if len(connections) < CONNECTIONS or now - opened_at >= REPLACE_EVERY:
            opened_at = now
            idle = [each for each in connections if not each.open]
            if len(connections) >= CONNECTIONS and idle:
                case.record.write("viewer", "closes a connection", sessions=len(idle[0].sessions))
                connections.remove(idle[0])
                idle[0].close()
            connections.append(await viewers.connect())
            connection = connections[-1]
        else:
            connection = random.choice(connections)
        connection.set_up("paid" if number % 3 == 0 else "free", BUDGET)
        number += 1
        await asyncio.sleep(random.expovariate(RATE))


async def reset_connections(hosts: list[MediaHost]) -> None:
    """Reset idle connections, one host after another."""
    while True:
        await asyncio.sleep(RESET_EVERY)
        random.choice(hosts).reset_idle(QUIET)


async def play(case: Case) -> list[str]:
    """Return the sessions that had played to their end and were not released to their viewers in time."""
    hosts = [MediaHost(case.record, f"host-{number}", number % 4) for number in range(HOSTS)]
    for host in hosts:
        host.life = LIFE
        host.lost_answers = LOST_ANSWERS if case.has_trouble else 0.0
        await host.start()
    change_log = ChangeLog(case.record, [host.entry() for host in hosts])
    await change_log.start()
    gateway = case.gateway(change_log, SETTINGS)
    await gateway.start()
    viewers = Viewers(case.record, gateway.address, gateway.port)
    await viewers.wait_ready(gateway)
    resets = asyncio.ensure_future(reset_connections(hosts)) if case.has_trouble else None
    await send_requests(case, viewers)
    if resets is not None:
        resets.cancel()
    await asyncio.sleep(BUDGET + LIFE)
    last = [await viewers.connect() for _ in range(2)]
    for connection in last:
        connection.set_up("free", BUDGET)
    await asyncio.sleep(RELEASE_WITHIN + SLACK + 0.5)
    if gateway.has_ended():
        return ["the gateway has crashed"]
    by_name = {host.name: host for host in hosts}
    breaches = []
    for request in viewers.requests.values():
        if request.result != "served":
            continue
        # the description begins with "at" and the name of the host that made it
        host = by_name[request.description.split()[1].decode()]
        ended_at = host.ends.get(request.call)
        if ended_at is None or ended_at > case.record.now() - RELEASE_WITHIN - SLACK:
            continue
        if request.released_at is None or request.released_at - ended_at > RELEASE_WITHIN + SLACK:
            at = "never" if request.released_at is None else f"{request.released_at:.3f}"
            breaches.append(
                f"session {request.call.hex()} over at {host.name} at {ended_at:.3f}, released: {at}"
            )
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
