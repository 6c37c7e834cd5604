"""Case 6: a media host stands still for 9 s; the sessions that end meanwhile are never released."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import CannotRunError, HostProcess, Scene, answer, play

# one media host of six; the sessions are to end while it stands still
HOSTS, LENGTH_S, STILL_FROM_S, STILL_S = 6, 26.0, 21.0, 9.0
# s after a session's end in which its viewer has to be told: 1 s after a release that the gateway heard, and
# 8 s if none could be sent; 50 ms longer on sockets
BOUND_S = 8.05


def ends(scene: Scene) -> dict[str, float]:
    """Return when each session ended at its media host, from the record."""
    times = {}
    for line in scene.record.path.read_text().splitlines():
        at, _, rest = line.strip().partition(" ")
        if rest.endswith("over: played to its end"):
            times[rest.split()[1]] = float(at)
    return times


async def case(scene: Scene, has_trouble: bool) -> bool:
    """Stop a media host with sessions, continue it, and see which of their ends the viewer hears of."""
    scene.processes = [HostProcess(scene.record, f"m-{n:02d}", n, LENGTH_S) for n in range(HOSTS)]
    await scene.open(hosts=0, gateways=1)
    viewer = scene.viewer("viewer")
    await viewer.connect()
    requests = [await answer(viewer.ask("trailer", timeout_ms=5000)) for _ in range(12)]
    if not all(request.stands for request in requests):
        raise CannotRunError("the sessions were not set up")
    await asyncio.sleep(STILL_FROM_S)
    if has_trouble:
        scene.processes[0].signal(signal.SIGSTOP)
    await asyncio.sleep(STILL_S)
    if has_trouble:
        scene.processes[0].signal(signal.SIGCONT)
    await asyncio.sleep(BOUND_S + 2)
    ended = ends(scene)
    left = []
    for request in requests:
        end = ended.get(request.call.hex())
        if end is None:
            raise CannotRunError("a session has not ended")
        if request.over_at is None or request.over_at - end > BOUND_S:
            left.append(request.call.hex())
    scene.record(
        "check", f"{len(left)} of {len(requests)} sessions ended, and their viewer was never told: {left}"
    )
    return bool(left)


if __name__ == "__main__":
    sys.exit(play(case, __file__))
