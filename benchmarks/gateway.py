"""Measures the gateway: set-ups a second beside a bare relay, split, delay, memory, longest turn.

`python -m benchmarks.gateway [--seconds 5]`. The load and the stand-in host run in a process of their own,
the gateway or the relay in another, pinned to one core each where the system allows, so that one core's worth
is what is measured.
"""

from __future__ import annotations

import argparse
import cProfile
import gc
import json
import multiprocessing
import os
import pstats
import sys
import time
import tracemalloc
from typing import Any

from mintmast import interface as api
from mintmast.config import parse
from mintmast.decide import Controller
from mintmast.decisions import messages as msg
from mintmast.decisions.outcomes import Evidence
from mintmast.decisions.sessions.book import SessionBook
from mintmast.gateway import Gateway
from mintmast.hosts.protocol import LOAD, encode_event, encode_load
from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import Exchange, HttpServer, ServerLimits
from mintmast.lab.drills import FREE, Day, settings
from mintmast.lab.stage import ACCESS, SESSION, Stage
from mintmast.loop.real import SelectorLoop, tune_garbage_collector

SECOND = 1_000_000
WIDE = ServerLimits(connections=100_000, idle_time=600 * SECOND)
TOLD = msg.HostStatus((0.1, 0.1))
CONNECTIONS = 64  # viewers' connections kept busy at once


CORES = sorted(os.sched_getaffinity(0))  # read before any process is pinned, as children inherit that


def pin(core: int) -> None:
    """Keep this process on one core."""
    os.sched_setaffinity(0, {CORES[core % len(CORES)]})


def spin(loop: SelectorLoop, until: int | None = None) -> None:
    """Turn without ever sleeping.

    On a virtual machine a byte sent to a sleeping core costs the sender the waking of it, over 100 us; the
    measured process would pay that only while its peers are idle, so that slow programs would look slower
    still.
    """
    while until is None or loop.now() < until:
        loop.turn(loop.now())


def host(pipe: Any) -> None:
    """Speak as a host and do nothing else: the least that a set-up can cost there."""
    pin(1)
    loop = SelectorLoop(lambda text: print(text, file=sys.stderr))
    load = [(LOAD, encode_load({"x0": 0.1, "x1": 0.1})), ("Content-Type", "application/json")]

    def serve() -> int:
        lines: list[Exchange] = []

        def handle(exchange: Exchange) -> None:
            if exchange.path == "/v1/notes":
                exchange.start_stream(200, [("Content-Type", "text/event-stream")])
                exchange.send_chunk(encode_event("hello", process="1", age_ms=None, drains=False))
                lines.append(exchange)
            elif exchange.method == "PUT":
                name = exchange.path.rpartition("/")[2]
                exchange.respond(201, load, b"{}")
                loop.call_at(loop.now() + SECOND // 2, over, name)
            else:
                exchange.respond(200, load, b"{}")

        def over(name: str) -> None:
            for line in lines:
                line.send_chunk(encode_event("ended", session=name, why="played"))

        def alive() -> None:
            for line in lines:
                line.send_chunk(b": \n\n")
            loop.call_at(loop.now() + SECOND, alive)

        alive()
        return HttpServer(loop, "127.0.0.1", 0, handle, WIDE).port

    pipe.send([serve() for _ in range(8)])
    spin(loop)


def _relay(pipe: Any, hosts: list[int]) -> None:
    """Relay two exchanges on the same loop and HTTP with no decision: ask a host, pass its answer on."""
    pin(0)
    loop = SelectorLoop(lambda text: print(text, file=sys.stderr))
    client = HttpClient(loop, ClientLimits(idle_per_address=200))
    count = 0

    def handle(exchange: Exchange) -> None:
        nonlocal count
        count += 1

        def done(reply: Reply | CallFailure) -> None:
            exchange.respond(200 if isinstance(reply, Reply) else 502, [], BODY)

        address = "127.0.0.1", hosts[count % len(hosts)]
        client.call(address, "PUT", f"/v1/sessions/{count}", done, [], b"x" * 200, loop.now() + 2 * SECOND)

    pipe.send(HttpServer(loop, "127.0.0.1", 0, handle, WIDE).port)
    loop.run()


BODY = b"x" * 1500  # about a manifest


def settings_of(hosts: list[int], **more: Any) -> dict[str, Any]:
    """Give the settings of a gateway whose hosts have room for all."""
    conf = settings(Day(hosts=len(hosts), gateways=1))
    conf["fleet"].update(weight_kb=1e9, uplink_kb=1e10, kinds=[{"streams": 100_000}])
    conf["rules"].update(cold_ms=0, budget=None)
    conf["limits"]["connections"] = 100_000
    return {
        **conf,
        "tokens": {"access": [ACCESS], "session": [SESSION]},
        "servers": [{"address": f"127.0.0.1:{port}", "cell": n} for n, port in enumerate(hosts)],
        "listen": {"port": 0},
        "seed": 1,
        **more,
    }


def _gateway(pipe: Any, hosts: list[int], profile: bool) -> None:
    pin(0)
    loop = SelectorLoop(lambda text: print(text, file=sys.stderr))
    gateway = Gateway(loop, parse(settings_of(hosts)))
    pipe.send(gateway.dash.server.port)
    if not profile:
        tune_garbage_collector()
        loop.turn()
        loop.longest_turn = 0

        def ask() -> None:
            if pipe.poll():
                pipe.recv()
                pipe.send((loop.longest_turn, gateway.core.book.held))
                loop.longest_turn = 0
            loop.call_at(loop.now() + SECOND // 4, ask)

        ask()
        loop.run()
        return
    profiler = cProfile.Profile()
    end = loop.now() + 8 * SECOND
    profiler.enable()
    loop.run(end)
    profiler.disable()
    if os.environ.get("MINTMAST_PROFILE"):
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)
    pipe.send(_split(pstats.Stats(profiler)))


PARTS = {
    "decide": ("decide.py",), "book": ("decisions/",), "manifest": ("manifest.py", "etree"),
    "token": ("jwt", "tokens.py", "json", "hmac", "base64"),
    "http parse and write": ("http/server.py", "parse"),
    "host call": ("http/client.py", "hosts/"), "loop": ("loop/", "select", "socket", "epoll"),
    "log, metrics": ("telemetry", "prometheus"),
}  # fmt: skip


def _split(stats: pstats.Stats) -> dict[str, float]:
    spent = dict.fromkeys([*PARTS, "other"], 0.0)
    for (file, _, name), (_, _, own, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        text = f"{file} {name}"
        if "poll" in name and "method" in name:
            continue  # waiting is not work
        part = next((part for part, words in PARTS.items() if any(word in text for word in words)), "other")
        spent[part] += own
    whole = sum(spent.values())
    return {part: own / whole for part, own in spent.items()}


def load(
    port: int, seconds: float, rate: float | None, tokens: list[str], first: int = 0
) -> tuple[float, list[float]]:
    """Ask for manifests: all connections busy, or open loop at a rate, timed from the wanted moment.

    Keys are numbers from `first` on. Gives answers a second, and their times in ms, sorted.
    """
    loop = SelectorLoop(lambda text: print(text, file=sys.stderr))
    client = HttpClient(loop, ClientLimits(idle_per_address=CONNECTIONS, connect_time=2 * SECOND))
    taken: list[float] = []
    good = bad = 0
    begin = loop.now()
    end = begin + int(seconds * SECOND)
    number = first

    def ask(wanted: int) -> None:
        nonlocal number
        number += 1
        headers = [
            ("Authorization", f"Bearer {tokens[number % len(tokens)]}"),
            ("Idempotency-Key", str(number)),
        ]

        def done(reply: Reply | CallFailure) -> None:
            nonlocal good, bad
            if isinstance(reply, Reply) and reply.status == 200:
                good += 1
                taken.append((loop.now() - wanted) / 1000)
            else:
                bad += 1
            if rate is None and loop.now() < end:
                ask(loop.now())

        target = f"/dash/gate-{number % 12}/manifest.mpd"
        until = loop.now() + 5 * SECOND
        client.call(("127.0.0.1", port), "GET", target, done, headers, deadline=until)

    def tick(wanted: int) -> None:
        if wanted < end:
            ask(wanted)
            loop.call_at(wanted + int(SECOND / rate), tick, wanted + int(SECOND / rate))

    if rate is None:
        for _ in range(CONNECTIONS):
            ask(loop.now())
    else:
        tick(begin)
    spin(loop, end + SECOND // 2)
    loop.close()
    if bad:
        print(f"  {bad} answers were not 200", file=sys.stderr)
    return good / seconds, sorted(taken)


def tokens_of(service: str = FREE) -> list[str]:
    """Give access tokens of a class."""
    stage = Stage(1, settings(Day()), None)  # type: ignore[arg-type]
    stage.wall = time.time  # type: ignore[method-assign]
    return [stage.token(f"v{n}", "north-tv", service, 3, f"k{n}") for n in range(50)]


def fresh_book() -> SessionBook:
    """Give a book with its module and 50 hosts, and no network."""
    config = parse(settings_of(list(range(9000, 9050))))
    book = SessionBook(config.settings, Controller(config.settings, 1).handle, 10 * SECOND)
    book.start(1)
    book.handle(1, msg.ServerListUpdate(api.ListKind.FULL, 1, config.entries))
    return book


def set_up(book: SessionBook, now: int, number: int) -> list[msg.SendSetUp]:
    """Let a viewer ask and his session start; give the set-ups sent."""
    key = f"north-tv/viewer-{number}/{FREE}/gate-{number % 12}/wish-{number}"
    ask = msg.ViewerRequest(number, 1, 0, number % 12, number % 8, 4, 3, 3 * SECOND, key, 500 * SECOND)
    sent = [each for each in book.handle(now, ask) if isinstance(each, msg.SendSetUp)]
    for command in sent:
        book.handle(now, msg.SetUpEnded(command.session, 0, Evidence.STARTED, TOLD))
    return sent


def memory(count: int) -> dict[str, float]:
    """Give bytes a held session, of module and book together: `count` sessions set up with no network."""
    held = fresh_book()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    now = 10 * SECOND
    for number in range(count):
        now += 2000
        set_up(held, now, number)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {"sessions": float(held.held), "bytes_each": size / max(1, held.held)}


def start(target: Any, *args: Any) -> tuple[Any, Any]:
    """Start a process with one end of a pipe; give it, and the other end."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=target, args=(theirs, *args), daemon=True)
    process.start()
    return process, ours


def main() -> None:
    """Run all and print one JSON object and a few lines."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--seconds", type=float, default=4.0)
    arguments.add_argument("--rounds", type=int, default=3)
    options = arguments.parse_args()
    tokens = tokens_of()
    pin(2)
    media, pipe = start(host)
    hosts = pipe.recv()
    ratios, relays, gateways = [], [], []
    relay, relay_pipe = start(_relay, hosts)
    gateway, gateway_pipe = start(_gateway, hosts, False)
    relay_port, gateway_port = relay_pipe.recv(), gateway_pipe.recv()
    for _ in range(options.rounds):  # by turns, so that a noisy moment meets both
        relays.append(load(relay_port, options.seconds, None, tokens)[0])
        gateways.append(load(gateway_port, options.seconds, None, tokens)[0])
        ratios.append(gateways[-1] / relays[-1])
    half = sorted(gateways)[len(gateways) // 2] / 2
    gateway_pipe.send("reset")
    gateway_pipe.recv()
    _, delays = load(gateway_port, options.seconds, half, tokens)
    gateway_pipe.send("ask")
    longest, held = gateway_pipe.recv()
    _, relay_delays = load(relay_port, options.seconds, half, tokens)
    profiled, profile_pipe = start(_gateway, hosts, True)
    port = profile_pipe.recv()
    load(port, 6.0, None, tokens)
    split = profile_pipe.recv()
    for process in (media, relay, gateway, profiled):
        process.kill()

    def at(values: list[float], part: float) -> float:
        return values[min(len(values) - 1, int(len(values) * part))] if values else float("nan")

    result = {
        "relay_per_s": [round(each) for each in relays],
        "set_ups_per_s": [round(each) for each in gateways],
        "ratio": [round(each, 3) for each in ratios],
        "half_load_per_s": round(half),
        "answer_ms": {"p50": at(delays, 0.5), "p99": at(delays, 0.99)},
        "relay_ms": {"p50": at(relay_delays, 0.5), "p99": at(relay_delays, 0.99)},
        "longest_turn_ms_at_half_load": longest / 1000,
        "sessions_held_then": held,
        "split": {part: round(share, 3) for part, share in split.items()},
        "memory": memory(10_000),
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
