"""One `mintmast serve` process on loopback among hollow gateways of one other process, seen from outside.

Two processes of ours run at a time, and one empty one for the memory that Python itself takes. They are ended
by their own ids, also where the run fails, and end by themselves at the time limit.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

from mintmast.lab.ports import Ports, own_address
from mintmast.lab.scale.hollow import Hollow
from mintmast.lab.scale.record import Row
from mintmast.lab.scale.tapped import SECOND, SECRET, names_of, settings_of
from mintmast.loop.real import SelectorLoop

# gateways at most: each hollow one has a port of its own for datagrams and one for calls
MOST = 200
# s that one size may take in all, and until its processes serve and have learnt
LIMIT, SETTLE = 120.0, 15.0
# s that /metrics may take; one that does not answer stands still so long at the least
UNANSWERED = 5.0
# part of the machine's memory that what is started may hold together
MEMORY_PART = 0.5
CLAIMS = 5.0  # paid keys a gateway claims a second, as in `peers.py`


def _turn(text: str) -> float:
    """Give the bound in ms of the bucket of the longest turn, of the metrics' text; 0 for none told.

    One past all buckets gets the last one's bound: it is a least then.
    """
    rows = [line for line in text.splitlines() if line.startswith("mintmast_turn_seconds_bucket")]
    counts = [(line.split('le="')[1].split('"')[0], float(line.rsplit(" ", 1)[1])) for line in rows]
    bounds = [float(bound) * 1000 for bound, count in counts[:-1] if count < counts[-1][1]]
    return float(counts[min(len(bounds), len(counts) - 2)][0]) * 1000 if counts else 0.0


def _ended(processes: list[subprocess.Popen]) -> None:
    for process in processes:
        process.kill()
        process.wait()


def _in_bounds(watched: list[Any], begun: float, most: float) -> None:
    """Raise RuntimeError where a process is over, memory is past its part, or time is up."""
    if time.monotonic() - begun > LIMIT:
        raise RuntimeError(f"over {LIMIT:.0f} s")
    if not all(each.is_running() and each.status() != "zombie" for each in watched):
        raise RuntimeError("a process of the run has ended")
    if sum(each.memory_info().rss for each in watched) > most:
        raise RuntimeError("half of the machine's memory is held")


def measure(size: int, seed: int, seconds: float) -> list[Row]:
    """Run one size. Raises ValueError for too many, RuntimeError past a bound or where a process ends."""
    import psutil  # of the lab extra: only this run needs it

    if not 2 <= size <= MOST:
        raise ValueError(f"{size} gateways on loopback: 2 to {MOST}")
    begun, most = time.monotonic(), psutil.virtual_memory().total * MEMORY_PART
    address, names = own_address(), names_of(size)
    ports = Ports(address)
    real = names[size // 2]
    places = {name: (address, ports(name)) for name in names}
    members = [{"name": name, "address": f"{host}:{port}"} for name, (host, port) in places.items()]
    admin = ports("admin")
    told = settings_of(real, members, seed, (address, ports("viewers")))
    told["admin"] = {"host": address, "port": admin}
    processes: list[subprocess.Popen] = []

    def begin(*command: str) -> Any:
        process = subprocess.Popen(
            [sys.executable, *command], stdin=subprocess.PIPE, stdout=subprocess.DEVNULL
        )
        processes.append(process)
        return psutil.Process(process.pid)

    with tempfile.TemporaryDirectory(prefix="mintmast-scale-") as folder:
        path, spec = Path(folder, "gateway.json"), Path(folder, "hollow.json")
        path.write_text(json.dumps(told), encoding="utf-8")
        spec.write_text(json.dumps([real, places, seed, CLAIMS]), encoding="utf-8")
        try:
            empty = begin("-c", "input()")
            others = begin("-m", "mintmast.lab.scale.loopback", str(spec))
            time.sleep(1.0)
            gateway = begin("-m", "mintmast", "serve", str(path))
            watched = [empty, others, gateway]
            until = time.monotonic() + SETTLE
            while time.monotonic() < until:
                time.sleep(0.2)
                _in_bounds(watched, begun, most)
            before, since = gateway.cpu_times(), time.monotonic()
            while time.monotonic() < since + seconds:
                time.sleep(min(0.5, seconds))
                _in_bounds(watched, begun, most)
            spent, took = gateway.cpu_times(), time.monotonic() - since
            note = "bound of the longest turn's bucket of /metrics, or the last one"
            try:
                with urllib.request.urlopen(f"http://{address}:{admin}/metrics", timeout=UNANSWERED) as reply:
                    turn = _turn(reply.read().decode())
            except OSError:  # it stands still: that is what is to be told
                turn, note = UNANSWERED * 1000, f"/metrics was not answered in {UNANSWERED:.0f} s"
            core = (spent.user + spent.system - before.user - before.system) / took * 100
            held = (gateway.memory_info().rss - empty.memory_info().rss) / 1e6
            found = (
                ("process.memory", "MB", held, "RSS over that of an empty Python process"),
                ("process.core", "% core", core, f"membership and {CLAIMS} paid keys a gateway a second"),
                ("process.descriptors", "count", gateway.num_fds(), "all of the process"),
                ("process.turn", "ms", turn, note),
            )
        finally:
            _ended(processes)
    return [
        Row(figure, unit, "gateways", size, float(value), seed, "loopback", "hollow", note)
        for figure, unit, value, note in found
    ]


def rows(
    sizes: tuple[int, ...] = (25, 50, 100, 200), seeds: tuple[int, ...] = (1,), seconds: float = 10.0
) -> list[Row]:
    """Run all sizes and seeds, one after the other; `seconds` are real ones."""
    return [row for size in sizes for seed in seeds for row in measure(size, seed, seconds)]


def main() -> None:
    """Be the hollow ones, until the time limit or until whoever started this has gone."""
    real, places, seed, claims = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    loop = SelectorLoop()
    places = {name: (host, port) for name, (host, port) in places.items()}
    hollow = Hollow(real, tuple(places), lambda name: loop, places.__getitem__, SECRET, seed)
    hollow.claims = claims
    loop.call_at(loop.now() + 4 * SECOND, hollow.claim)
    loop.run(loop.now() + int(LIMIT * SECOND))


if __name__ == "__main__":
    main()
