"""What one gateway's sessions cost: a whole real `Gateway` on virtual time, its hosts and viewers hollow.

Hosts accept, renew and note at the stand-in's rate, viewers ask and poll, all by real bytes (`bench.py`).

Held sessions are put in place as set-ups leave them (the module hears `SessionOpen`), as a set-up each would
take the bench's time. All hosts are half used, so that every step is worth its rate; keys are kept, records,
log and peers are off. Sessions' length is an assumption with its range: `LENGTHS`.
"""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import jwt
import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from mintmast import interface as api
from mintmast.config import parse
from mintmast.core.service import EPOCHS_PER_MS
from mintmast.decisions import messages as msg
from mintmast.decisions.sessions.sessions import Signal
from mintmast.fronts.tokens import Keys
from mintmast.gateway import Gateway
from mintmast.lab.drills import FREE, Day, settings
from mintmast.lab.scale.bench import SECOND, Bench, Viewer
from mintmast.lab.scale.record import Row
from mintmast.lab.stage import ACCESS, SESSION
from mintmast.loop.memory import EPOCH_S
from mintmast.loop.real import tune_garbage_collector

SIZES = (1_000, 10_000, 30_000, 76_500, 153_000)
# s that a session lasts: a clip, and an hour of a film or live event. The range of an assumption
LENGTHS = (120, 3_600)
# hosts where sessions lie: a host holds some 150 of a gateway at the target, under what one renewal names
HOSTS = 500
HERD_S, ZONES = 10, 8  # s in which the sessions of one zone of eight come to the gateways of the others
# ends of windows: arrivals wanted, and virtual s at the least (the time of one price) and the most
WANTED, LEAST_S, MOST_S = 5, 0.25, 4.0
DEAR = 100_000  # sessions beyond which the same is not asked again in other ways: a price takes seconds
HERD_TIMED, POLLS_TIMED = 200, 200  # of a herd and of all polls so many are timed
GRACE = 5_000  # µs after a window in which hosts answer what is under way
MOST_TIME = 240  # s that a size may take in its process
PACED_S, PACED_NS = 2.0, 1_000_000_000  # virtual s of a paced window, and processor time it may take


def conf(hosts: int, titles: int = 100) -> dict[str, Any]:
    """Give settings of a gateway whose hosts have room for all; a title lies on eight hosts."""
    made = settings(Day(hosts=hosts, gateways=1))
    made["fleet"].update(weight_kb=1e9, uplink_kb=1e10, kinds=[{"streams": 100_000}])
    made["rules"].update(cold_ms=0, budget=None)
    made["limits"]["connections"] = 1_000_000
    del made["hosts"]  # the program's own: leases of 10 s
    made["titles"] = {
        f"gate-{n}": {"home": n * hosts // titles, "copies": 8, "seconds": LENGTHS[0], "segment_s": 2.0}
        for n in range(titles)
    }
    return {
        **made,
        "gateway": "gw0",
        "tokens": {"access": [ACCESS], "session": [SESSION]},
        "listen": {"host": "gw0", "port": 8080},
        "servers": [{"address": "host0:9000", "cell": 0}],  # the others are told by `Held`
        "seed": 1,
    }


class Held:
    """A gateway that holds sessions. `module` has the ns of its requests and prices in the module."""

    def __init__(self, seed: int, hosts: int = HOSTS) -> None:
        self.bench, self.random, self.hosts = Bench(), random.Random(seed), hosts
        self.gateway = Gateway(self.bench, parse(conf(hosts)), seed)
        self.module: dict[str, list[int]] = defaultdict(list)
        controller = self.gateway.controller
        request = controller.handlers[api.SessionRequest]
        controller.handlers[api.SessionRequest] = self._timed("request", request)
        controller._compute_price = self._timed("price", controller._compute_price)
        key = Keys([ACCESS]).keys[ACCESS["kid"]][0].key
        claims = {"aud": "mintmast", "tenant": "north-tv", "class": FREE, "rung": 3, "exp": EPOCH_S + 10**6}
        self._tokens = [
            jwt.encode({**claims, "sub": f"v{n}", "jti": f"k{n}"}, key, "HS256", {"kid": ACCESS["kid"]})
            for n in range(50)
        ]
        self.playing: list[tuple[int, int]] = []  # host and number
        self.viewers: list[Viewer] = []
        self._asked = self._window = 0
        self.missed: list[int] = []  # when those wanted to ask who had not come when a window ended
        listed = ((b"host%d:9000" % n, n, n % 2) for n in range(hosts))
        ready = api.ServerState.READY
        entries = (api.ListEntry(server, ready, 0, cell, zone, 0, 1.0) for server, cell, zone in listed)
        self.gateway.list.entries = tuple(entries)
        self.gateway.list.refresh()
        by = self.bench.time + 5 * SECOND
        while len(self.bench.lines) < hosts and self.bench.time < by:  # the list is handed over before that
            self.bench.run(self.bench.time + SECOND // 50)

    def _timed(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any) -> Any:
            begin = time.process_time_ns()
            result = call(*args)
            self.module[name].append(time.process_time_ns() - begin)
            return result

        return timed

    def reset(self) -> None:
        """Forget what was measured."""
        self.bench.reset()
        self.module.clear()
        self.viewers = []

    def fill(self, count: int) -> None:
        """Put sessions in the book, host after host over one round of renewals: they are renewed evenly."""
        core, begin = self.gateway.core, self.bench.time
        every = core.book.leases.length // 3
        self.reset()
        for host in range(self.hosts):
            self.bench.run(begin + every * host // self.hosts)
            first, last = (count * n // self.hosts for n in (host, host + 1))
            for _ in range(first, last):
                self._hold(host)
            core._execute(core.book._commands)
            core.book._commands = []
        self.bench.run(begin + every)

    def tell(self) -> None:
        """Let the module hear of all sessions that play."""
        for host in range(self.hosts):
            numbers = list(self.gateway.core.book.sessions.playing_at(b"host%d:9000" % host))
            self._tell(host, numbers)

    def known(self) -> None:
        """Keep who plays, for polls and ends."""
        at = self.gateway.core.book.sessions.playing_at
        self.playing = [(host, number) for host in range(self.hosts) for number in at(b"host%d:9000" % host)]

    def _hold(self, host: int) -> None:
        core, now, server = self.gateway.core, self.bench.time, b"host%d:9000" % host
        book = core.book
        title = host * len(self.gateway.config.titles) // self.hosts
        self._asked += 1
        key = f"north-tv/v{self._asked}/{FREE}/gate-{title}/wish-{self._asked}"
        ask = msg.ViewerRequest(self._asked, 1, 0, title, host, 8, 3, 3 * SECOND, key, LENGTHS[0] * SECOND)
        session = book.sessions.open(ask, now + ask.timeout, api.Effect.FREE)
        session.server, session.attempts, session.rung = server, 1, 3
        session.sent_at = session.first_played_at = now
        session.epoch = core.generation * EPOCHS_PER_MS + session.number
        book.leases.begin_set_up(now, server, session)
        session.apply_signal(Signal.SENT)
        session.apply_signal(Signal.STARTED)
        book.sessions.add_playing(session, server)
        book.leases.record_started(now, server, session)
        book.keys.hold(key, session.number)

    def _tell(self, host: int, numbers: list[int]) -> None:
        controller, now, server = self.gateway.controller, self.bench.time, b"host%d:9000" % host
        for number in numbers:
            ask = self.gateway.core.book.sessions.by_number[number].request
            told = api.SessionOpen(number, 1, 0, ask.title, 3, server, ask.length)
            controller.handle(now, told)
            controller.handle(now, api.Note(number, server, api.NoteKind.RUNG, 3))
            controller.sessions[number].rung_is_provisional = False  # or each would be settled anew at a note

    def arrive(self, window: int, wanted: int, level: bool) -> None:
        """Let a viewer of a window ask; where the level is kept, another's session ends at its host."""
        if window != self._window:
            return
        self._asked += 1
        title = self.random.randrange(len(self.gateway.config.titles))
        token = self._tokens[self._asked % len(self._tokens)]
        viewer = Viewer(self.bench)
        self.viewers.append(viewer)
        head = f"Authorization: Bearer {token}\r\nIdempotency-Key: n{self._asked}\r\n"
        viewer.ask("set_up", f"/dash/gate-{title}/manifest.mpd", wanted, head)
        if level and self.playing:
            place = self.random.randrange(len(self.playing))
            self.playing[place], last = self.playing[-1], self.playing[place]
            self.playing.pop()
            name = self.gateway.core.session_name(last[1])
            self.bench.line(f"host{last[0]}:9000", "ended", session=name, why="played")

    def window(self, rate: float, seconds: float, level: bool = True, paced: bool = False) -> None:
        """Let viewers arrive at a rate (a second), evenly, for so long, and what is under way end."""
        bench = self.bench
        bench.run(bench.time + SECOND // 4)  # the price is of old: the first to ask has it made
        self.reset()
        self._window += 1
        begin = bench.time
        times = [begin + int(place / rate * SECOND) for place in range(max(1, int(rate * seconds)))]
        for wanted in times:
            bench.at(wanted, self.arrive, self._window, wanted, level)
        bench.paced = paced
        bench.run(begin + int(seconds * SECOND) + GRACE, PACED_NS if paced else None)
        bench.paced = False
        self.missed = [each for each in times[len(self.viewers) :] if each <= bench.time]

    def polls(self, count: int) -> None:
        """Let players of held sessions ask where to go on, each over a connection that stands."""
        self.reset()
        core, dash = self.gateway.core, self.gateway.dash
        for host, number in self.random.sample(self.playing, min(count, len(self.playing))):
            session = core.book.sessions.by_number[number]
            title = next(t for t in self.gateway.config.titles.values() if t.number == session.request.title)
            until = self.bench.wall() + 600
            at = f"host{host}:9000"
            token = dash.sessions.sign(core.session_name(number), title.name, at, 3, session.epoch, until)
            viewer = Viewer(self.bench)
            self.viewers.append(viewer)
            viewer.ask("poll", f"/dash/steer?token={token}&CMCD=bl%3D8000", self.bench.time)
            self.bench.run(self.bench.time + 1)  # each in a turn of its own


def _ms(all_ns: list[int]) -> dict[str, float]:
    """Give mean, p50, p99 and most of times in ms."""
    times = sorted(all_ns) or [0]
    at = {"p50": times[len(times) // 2], "p99": times[min(len(times) - 1, len(times) * 99 // 100)]}
    return {k: v / 1e6 for k, v in {"mean": sum(times) / len(times), **at, "most": times[-1]}.items()}


class _Rows:
    """Rows of one size and seed, as the windows give them."""

    def __init__(self, held: Held, size: int, seed: int) -> None:
        self.held, self.size, self.seed, self.rows = held, size, seed, []

    def add(self, figure: str, unit: str, value: float, note: str = "") -> None:
        """Take one."""
        self.rows.append(
            Row(figure, unit, "sessions", self.size, value, self.seed, parts="hollow", note=note)
        )

    def steady(self, length: int) -> None:
        """Measure arrivals at the rate that keeps the level where sessions last so many s."""
        rate, held, bench = self.size / length, self.held, self.held.bench
        seconds = min(MOST_S, max(LEAST_S, WANTED / rate))
        held.window(rate, seconds)
        spent = bench.all
        asked, module = len(held.viewers), held.module
        note = f"sessions of {length} s: {rate:.4g} arrivals/s, {asked} timed"
        self.requests(str(length), note)
        self.add(f"process.cpu_{length}", "% core", spent / seconds / 1e7, note)
        self.add(f"arrivals.rate_{length}", "count/s", rate, note)
        if length == LENGTHS[0]:
            self.set_ups(sum(module["request"]))
            price, alone = _ms(module["price"])["most"], _ms(module["request"])["p50"]
            self.add("admission.price", "ms", price, "one look over all sessions")
            self.add("admission.alone", "ms", alone, "a request that finds the price made")
        else:
            self.renewals(seconds)
            for kind in ("line.tick", "line.link", "line.uplink"):
                at = bench.spent[kind]
                self.add(f"notes.{kind[5:]}", "ms", _ms(at)["mean"], f"{len(at)} in {seconds:.3g} s")
            self.add(
                "notes.cpu",
                "% core",
                sum(bench.ns(k) for k in ("line.tick", "line.link", "line.uplink")) / seconds / 1e7,
                f"{HOSTS} hosts",
            )

    def requests(self, name: str, note: str) -> None:
        """Give what requests and prices cost in the module, and the longest turn."""
        module, turns = self.held.module, self.held.bench.spent
        if not module["request"]:
            return
        for what, value in _ms(module["request"]).items():
            if what != "most":
                self.add(f"admission.{'request' if what == 'mean' else what}_{name}", "ms", value, note)
        if module["price"]:
            self.add(f"admission.prices_{name}", "count", len(module["price"]), note)
        self.add(
            f"admission.turn_{name}", "ms", max(max(each, default=0) for each in turns.values()) / 1e6, note
        )

    def set_ups(self, in_requests: int) -> None:
        """Give what a set-up costs over all of its turns but for the module's request, and its bytes."""
        bench = self.held.bench
        asked = max(1, len(self.held.viewers))
        kinds = ("viewer.opened", "viewer.set_up", "connected", "set_up.answer")
        self.add(
            "front.set_up",
            "ms",
            (bench.ns(*kinds) - in_requests) / asked / 1e6,
            "without the module's request",
        )
        self.add("front.ended", "ms", _ms(bench.spent["line.ended"])["mean"])
        for figure, sizes in (
            ("front.set_up_in", bench.received["viewer.set_up"]),
            ("front.set_up_out", [len(each.answer) for each in self.held.viewers]),
            ("hosts.set_up_sent", bench.sent["set_up"]),
            ("hosts.set_up_received", bench.received["set_up.answer"]),
        ):
            self.add(figure, "B", sum(sizes) / max(1, len(sizes)))

    def renewals(self, seconds: float) -> None:
        """Give renewals a second, what one session's costs, and their bytes with headers."""
        bench, count = self.held.bench, max(1, self.held.bench.renewed)
        spent = bench.ns("due.renew", "renew.answer")
        self.add("renewals.rate", "count/s", bench.renewed / seconds, "sessions renewed")
        self.add("renewals.calls", "count/s", len(bench.sent["renew"]) / seconds, f"to {HOSTS} hosts")
        self.add("renewals.each", "ms", spent / count / 1e6, "a session renewed, both ways")
        self.add("renewals.cpu", "% core", spent / seconds / 1e7)
        self.add(
            "renewals.turn", "ms", max([*bench.spent["due.renew"], *bench.spent["renew.answer"], 0]) / 1e6
        )
        self.add("renewals.sent", "B/s", sum(bench.sent["renew"]) / seconds)
        self.add("renewals.received", "B/s", sum(bench.received["renew.answer"]) / seconds)

    def hundred(self) -> None:
        """Give a request's cost where a hundred share a price: 400 arrivals a second."""
        self.held.window(400, 0.25)
        self.requests("hundred", "a hundred requests in a quarter second, one price among them")

    def herd(self) -> None:
        """Let a lost zone's sessions come: an eighth of all, on the gateways of the others, within 10 s."""
        rate = self.size / (ZONES - 1) / HERD_S
        self.held.window(rate, min(MOST_S, HERD_TIMED / rate), level=False)
        self.requests("herd", f"{rate:.4g} arrivals/s on top; {len(self.held.viewers)} timed")

    def paced(self, name: str, rate: float, level: bool) -> None:
        """Give the times of answers where turns take their time: what comes meanwhile waits."""
        seconds = min(MOST_S, max(PACED_S, WANTED / rate))
        self.held.window(rate, seconds, level, paced=True)
        seen, now = HdrHistogram(1, 600 * SECOND, 3), self.held.bench.time
        spans = [(each.at or now) - each.wanted for each in self.held.viewers]
        spans += [now - each for each in self.held.missed]
        for span in spans:
            seen.record_value(max(1, span))
        waiting = sum(not each.at for each in self.held.viewers) + len(self.held.missed)
        note = f"{rate:.4g} arrivals/s; of {len(spans)} {waiting} still waited at the end: least time taken"
        for part in (50, 99):
            self.add(f"answers.p{part}_{name}", "ms", seen.get_value_at_percentile(part) / 1000, note)

    def polls(self) -> None:
        """Give what a player's poll costs over the whole path, and its bytes."""
        self.held.polls(POLLS_TIMED)
        bench = self.held.bench
        times = _ms(bench.spent["viewer.poll"])
        self.add("steering.poll", "ms", times["mean"], f"{len(bench.spent['viewer.poll'])} timed")
        self.add("steering.poll_p99", "ms", times["p99"])
        count = max(1, len(self.held.viewers))
        self.add("steering.poll_in", "B", sum(bench.received["viewer.poll"]) / count)
        self.add("steering.poll_out", "B", sum(len(each.answer) for each in self.held.viewers) / count)


_CHILD = """
import sys, msgspec
from mintmast.lab.scale.sessions import measured
print(msgspec.json.encode(measured(int(sys.argv[1]), int(sys.argv[2]))).decode())
"""


def measured(size: int, seed: int) -> list[Row]:
    """Measure one size; takes the process's memory for its own."""
    held, process = Held(seed), psutil.Process()
    told = _Rows(held, size, seed)
    tune_garbage_collector()
    empty = process.memory_info().rss
    held.fill(size)
    book = process.memory_info().rss
    held.tell()
    both = process.memory_info().rss
    note = f"resident memory over an empty gateway of {HOSTS} hosts"
    told.add("book.memory", "B", (book - empty) / size, note)
    told.add("module.memory", "B", (both - book) / size, note)
    told.add("process.memory", "MB", both / 1e6, "with code and bench")
    held.known()
    for length in reversed(LENGTHS):
        told.steady(length)
    told.polls()
    if size <= DEAR:
        told.hundred()
        told.herd()
        for length in reversed(LENGTHS):
            told.paced(str(length), size / length, level=True)
    return told.rows


def rows(sizes: tuple[int, ...] = SIZES, seeds: tuple[int, ...] = (1, 2, 3)) -> list[Row]:
    """Give all rows; sizes count sessions. Each size is a process of its own, one after the other.

    Raises ValueError where one ends without its rows, with its last word.
    """
    told: list[Row] = []
    for seed in seeds:
        for size in sizes:
            command = [sys.executable, "-c", _CHILD, str(size), str(seed)]
            ran = subprocess.run(command, capture_output=True, timeout=MOST_TIME, check=False)
            if ran.returncode:
                last = ran.stderr.decode("utf-8", "replace").strip().rpartition("\n")[2]
                raise ValueError(f"{size} sessions: ended with {ran.returncode}: {last[:200]}")
            told += msgspec.json.decode(ran.stdout, type=list[Row])
    return told
