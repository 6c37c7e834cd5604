"""Measures what durable records cost: `python -m benchmarks.kept [--seconds 4] [--records 1000000]`.

Paid set-ups a second and answer times of one gateway with a store and without, by turns, on loopback; bytes a
paid session; a start with many records, its memory; the loop's longest turn while room is given back; the
delay of a write on a disk whose flush takes 5 ms.
"""

from __future__ import annotations

import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from benchmarks.gateway import host, load, pin, settings_of, start, tokens_of
from mintmast.config import parse
from mintmast.decisions.gateways.records import Grant, Intent, RecordKind, StoredRecord, WriteRecords
from mintmast.gateway import Gateway
from mintmast.lab.drills import PAID
from mintmast.loop.real import SelectorLoop, tune_garbage_collector
from mintmast.store import Engine, StoreLine, line, open_store

SECOND = 1_000_000
# a writer whose flush takes 5 ms more
SLOW = """
import sys, time
from mintmast.store import engine, writer
write = engine.Engine.write
engine.Engine.write = lambda self, records: (time.sleep(0.005), write(self, records))[1]
sys.exit(writer.main(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
"""


def _gateway(pipe: Any, hosts: list[int], path: str) -> None:
    """Run a gateway with a store at `path`, or without."""
    pin(3)  # where the writer stays; the gateway itself has core 0
    loop = SelectorLoop(lambda text: print(text, file=sys.stderr))
    store = StoreLine(loop, open_store(path, "gateway", int(time.time() * 1000))) if path else None
    pin(0)
    conf = settings_of(hosts)
    conf["classes"][0]["seats"] = 0
    gateway = Gateway(loop, parse(conf), store=store)
    pipe.send(gateway.dash.server.port)
    tune_garbage_collector()
    loop.run()


def _cost(seconds: float, rounds: int, folder: str) -> dict[str, Any]:
    tokens = tokens_of(PAID)
    pin(2)
    media, pipe = start(host)
    hosts = pipe.recv()
    paths = {"without": "", "with": f"{folder}/gw.store"}
    running = {name: start(_gateway, hosts, path) for name, path in paths.items()}
    ports = {name: ours.recv() for name, (_, ours) in running.items()}
    rates: dict[str, list[float]] = {name: [] for name in paths}
    first = 0
    for _ in range(rounds):
        for name in paths:
            first += 1_000_000
            rates[name].append(load(ports[name], seconds, None, tokens, first)[0])
    half = min(map(min, rates.values())) / 2
    told: dict[str, Any] = {"set_ups_per_s": {k: [round(each) for each in v] for k, v in rates.items()}}
    told["ratio"] = [round(a / b, 3) for a, b in zip(rates["with"], rates["without"], strict=True)]
    for name in paths:
        first += 1_000_000
        times = load(ports[name], seconds, half, tokens, first)[1]
        p50, p99 = (round(times[int(len(times) * part)], 2) for part in (0.5, 0.99))
        told[f"answer_ms_{name}"] = {"rate": round(half), "p50": p50, "p99": p99}
    for process in (media, *(each for each, _ in running.values())):
        process.kill()
        process.join()
    time.sleep(1.0)  # the writer ends by itself
    engine = Engine(paths["with"], "gateway")
    rows = sum(row.kind == RecordKind.INTENT.value for row in engine.rows())
    told["bytes_a_paid_session"] = round(engine.size()[0] / max(1, rows))
    engine.close()
    return told


def _record(number: int) -> StoredRecord:
    if number % 3:
        grant = Grant("gw1/18bcfe56800", number, 10**15)
        return StoredRecord(RecordKind.GRANT.value, f"{number:032x}", msgspec.msgpack.encode(grant))
    where = "10.0.0.1:9000", 5, 123_456_789, 2
    about = f"north-tv/viewer-{number}/paid-film/gate-1/wish", f"gw0-18bcfe56800-{number}", *where
    intent = Intent(
        10**15, *about, "paid-film", "north-tv", "gate-1", 3, 9, 0, 4, False, "gw0/1", number, True
    )
    return StoredRecord(RecordKind.INTENT.value, f"{number:032x}", msgspec.msgpack.encode(intent))


def _start_with(pipe: Any, path: str) -> None:
    """Start with what is there; tell how long until the gateway serves, and the memory."""
    loop = SelectorLoop()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    opened = open_store(path, "gateway", int(time.time() * 1000))
    read = time.perf_counter() - began
    gateway = Gateway(loop, parse(settings_of([9])), store=StoreLine(loop, opened))
    whole = time.perf_counter() - began
    grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    pipe.send({"read_s": round(read, 2), "serves_s": round(whole, 2), "memory_mb": round(grown)})
    gateway.close()


def _many(records: int, folder: str) -> dict[str, Any]:
    path = f"{folder}/many.store"
    engine = Engine(path, "gateway")
    for first in range(0, records, 10_000):
        engine.write(_record(number) for number in range(first, min(first + 10_000, records)))
    size = engine.size()[0]
    engine.close()
    process, pipe = start(_start_with, path)
    told = {"records": records, "file_mb": round(size / 1e6), **pipe.recv()}
    process.join()
    return {**told, **_compacting(path, records)}


def _compacting(path: str, records: int) -> dict[str, Any]:
    """Take nearly all out, and write on while room is given back."""
    with tempfile.TemporaryDirectory() as _:
        engine = Engine(path, "gateway", wait=5.0)
        for first in range(0, records, 50_000):
            numbers = range(first, min(first + 50_000, records))
            engine.write(StoredRecord(_record(n).kind, f"{n:032x}", None) for n in numbers)
        engine.close()
    loop = SelectorLoop()
    store = StoreLine(loop, open_store(path, "gateway", int(time.time() * 1000)))
    asked: dict[int, float] = {}
    times: list[float] = []
    store.attach(lambda end: times.append(time.perf_counter() - asked.pop(end.token)), lambda *a, **k: None)
    loop.turn()
    loop.longest_turn, first = 0, Path(path).stat().st_size
    for token in range(1, 21):
        asked[token] = time.perf_counter()
        store.write(WriteRecords((_record(token),), token))
        loop.run(loop.now() + SECOND // 2)
    told = {"given_back_mb": round((first - store.size[0]) / 1e6)}
    told |= {"longest_turn_ms": loop.longest_turn / 1000, "write_then_ms_max": round(max(times) * 1000, 1)}
    store.close()
    loop.run(loop.now() + SECOND // 10)
    return told


def _slow(folder: str) -> dict[str, Any]:
    """Write 200 records a second to a disk whose flush takes 5 ms."""
    spawn = line._spawn
    line._spawn = lambda path, gateway: _spawn_slow(path, gateway)  # type: ignore[assignment]
    try:
        loop = SelectorLoop()
        store = StoreLine(loop, open_store(f"{folder}/slow.store", "gateway", 1))
    finally:
        line._spawn = spawn
    asked: dict[int, float] = {}
    times: list[float] = []
    store.attach(lambda end: times.append(time.perf_counter() - asked.pop(end.token)), lambda *a, **k: None)
    for token in range(1, 1001):
        asked[token] = time.perf_counter()
        store.write(WriteRecords((_record(token),), token))
        loop.run(loop.now() + SECOND // 200)
    loop.run(loop.now() + SECOND // 5)
    store.close()
    cuts = statistics.quantiles(times, n=100)
    return {"writes": len(times), "p50_ms": round(cuts[49] * 1000, 1), "p99_ms": round(cuts[98] * 1000, 1)}


def _spawn_slow(path: str, gateway: str) -> tuple[Any, subprocess.Popen]:
    ours, theirs = line.socket.socketpair()
    command = [sys.executable, "-c", SLOW, str(theirs.fileno()), path, gateway]
    with theirs:
        return ours, subprocess.Popen(command, pass_fds=(theirs.fileno(),))


@click.command()
@click.option("--seconds", default=4.0, show_default=True, help="Seconds of each load.")
@click.option("--rounds", default=3, show_default=True, help="Loads of each kind, by turns.")
@click.option("--records", default=1_000_000, show_default=True, help="Records of the large store.")
def main(seconds: float, rounds: int, records: int) -> None:
    """Print one JSON object."""
    with tempfile.TemporaryDirectory(prefix="mintmast-kept-") as folder:
        told = {"cost": _cost(seconds, rounds, folder), "flush_of_5_ms": _slow(folder)}
        told["many"] = _many(records, str(Path(folder)))
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()
