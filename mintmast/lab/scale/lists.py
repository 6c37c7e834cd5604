"""What the list of hosts, their lines, records, log and metrics cost one gateway.

The list goes the way of a watched file: read, merged, handed over to book and module. Lines and admission are
measured on a whole gateway whose hosts are hollow (`sessions.Held`), at `SESSIONS` sessions. Processor time
throughout; what the process that writes records does is told apart.
"""

from __future__ import annotations

import gc
import io
import random
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec

from mintmast import interface as api
from mintmast.config import parse
from mintmast.decide import Controller
from mintmast.decisions import messages as msg
from mintmast.decisions.gateways.records import Intent, RecordKind, RecordWriter, RecoveredState, StoredRecord
from mintmast.decisions.gateways.witness import hash_key
from mintmast.decisions.hosts.merging import Merger
from mintmast.decisions.sessions.book import SessionBook
from mintmast.lab.drills import PAID
from mintmast.lab.scale.bench import SECOND, Bench
from mintmast.lab.scale.record import Row
from mintmast.lab.scale.sessions import Held, conf
from mintmast.loop.memory import EPOCH_S
from mintmast.loop.real import tune_garbage_collector
from mintmast.sources.files import read_servers
from mintmast.store import Engine, StoreLine
from mintmast.store.frames import framed
from mintmast.store.line import Opened
from mintmast.telemetry.lines import make_log_function
from mintmast.telemetry.metrics import Metrics

HOSTS = (100, 1_000, 10_000, 30_000)
# hosts with lines: notes of more would take the whole core, and the bench's time
LINED = (100, 1_000, 3_000, 10_000)
SESSIONS = 10_000  # held while lines and admission are measured
RECORDS = (1_000, 3_000, 10_000, 30_000)  # kept in a file: a paid session each
CHANGED = 100  # one of so many changes
LINES_S = 0.5  # virtual s for which what hosts say is measured
TIMED = 500  # records and log lines


def _ns(do: Callable[[], Any]) -> tuple[int, Any]:
    begin = time.process_time_ns()
    result = do()
    return time.process_time_ns() - begin, result


def text_of(count: int, changed: set[int] = frozenset()) -> bytes:  # type: ignore[assignment]
    """Give a list file of so many hosts; those changed have another weight."""
    servers = [
        {
            "address": f"media-{n}.zone{n % 8}.internal:9000",
            "cell": n,
            "zone": n % 2,
            "weight": 2.0 if n in changed else 1.0,
            "started": float(EPOCH_S - 86_400),
        }
        for n in range(count)
    ]
    return msgspec.json.encode({"servers": servers})


def hand_over(book: SessionBook, now: int, entries: tuple[api.ListEntry, ...]) -> tuple[int, int, int]:
    """Let the book have changed entries, and its wakings; give ns in all, of the longest turn, and turns."""
    events: list[Any] = [msg.ServerListUpdate(api.ListKind.DELTA, 1, entries)]
    turns = []
    while events:
        took, commands = _ns(partial(book.handle, now, events.pop(0)))
        turns.append(took)
        wanted = [each.token for each in commands if isinstance(each, msg.ScheduleTimer)]
        events += [msg.TimerFired(token) for token in wanted if token[0] in ("entries", "watches")]
    return sum(turns), max(turns), len(turns)


def one_list(count: int, seed: int) -> dict[str, float]:
    """Read a list and one of which a hundredth has changed; ms, bytes and counts by figure."""
    config = parse(conf(count))
    book = SessionBook(config.settings, Controller(config.settings, seed).handle, 10 * SECOND)
    merger, now, told = Merger(("file",)), 10 * SECOND, {}
    book.start(1)
    changed = set(random.Random(seed).sample(range(count), max(1, count // CHANGED)))
    for what, text in (("full", text_of(count)), ("change", text_of(count, changed))):
        read, entries = _ns(partial(read_servers, text, config["fleet"], now, EPOCH_S + now / SECOND))
        merge, news = _ns(partial(merger.update_source, now, "file", entries))
        hand, turn, turns = hand_over(book, now, tuple(news))
        told |= {f"{what}_parse": read, f"{what}_merge": merge, f"{what}_tell": hand, f"{what}_slice": turn}
        told[f"{what}_turn"] = read + merge + turn  # read, merged and first slice are one turn of the loop
        told[f"{what}_ms"] = read + merge + hand
        told[f"{what}_turns"], told[f"{what}_entries"], told[f"{what}_bytes"] = turns, len(news), len(text)
        now += SECOND
    return told


def _list_rows(count: int, seed: int) -> list[Row]:
    rows = []
    for name, value in one_list(count, seed).items():
        kind = name.rpartition("_")[2]
        unit = {"bytes": "B", "turns": "count", "entries": "count"}.get(kind, "ms")
        figure = f"list.{name.removesuffix('_ms')}"
        note = "the file is read whole at each change" if name == "change_bytes" else ""
        rows.append(
            Row(figure, unit, "hosts", count, value / 1e6 if unit == "ms" else value, seed, note=note)
        )
    return rows


def _line_rows(count: int, seed: int) -> list[Row]:
    """Measure what hosts' lines and renewals cost, and a request where so many are listed."""
    held = Held(seed, count)
    opened = held.bench.ns("due.watches", "connected", "line.head", "line.hello")
    told = [("lines.open", "ms", opened / count / 1e6, "a line, once at a start")]
    held.fill(SESSIONS)
    held.tell()
    held.known()
    held.reset()
    bench = held.bench
    bench.run(bench.time + int(LINES_S * SECOND))
    kinds = ("line.tick", "line.link", "line.uplink")
    renewing = bench.ns("due.renew", "renew.answer")
    told += [
        ("lines.notes", "count/s", sum(len(bench.spent[kind]) for kind in kinds) / LINES_S, ""),
        ("lines.cpu", "% core", bench.ns(*kinds) / LINES_S / 1e7, "all hosts note and tick"),
        ("lines.received", "B/s", sum(sum(bench.received[kind]) for kind in kinds) / LINES_S, "without TCP"),
        ("lines.renewals_cpu", "% core", renewing / LINES_S / 1e7, f"{SESSIONS} sessions over all hosts"),
        ("lines.renewals_sent", "B/s", sum(bench.sent["renew"]) / LINES_S, ""),
        ("lines.renewals_calls", "count/s", len(bench.sent["renew"]) / LINES_S, ""),
    ]
    held.window(400, 0.25)
    requests = sorted(held.module["request"])
    told += [
        ("admission.listed", "ms", sum(requests) / len(requests) / 1e6, "a hundred, one price among them"),
        ("admission.listed_p50", "ms", requests[len(requests) // 2] / 1e6, "a request that finds it made"),
        ("admission.listed_turn", "ms", requests[-1] / 1e6, "the one that makes it, and the fleet's sums"),
    ]
    parts = "hollow"
    return [Row(*each[:2], "hosts", count, each[2], seed, parts=parts, note=each[3]) for each in told]


class _Writer(Bench):
    """A loop whose writer process is hollow: each record is told as durable."""

    def adopt(self, sock: Any, handler: Any, limits: Any) -> _Writer:
        """Be the stream."""
        self.written: list[int] = []
        return self

    def write(self, data: bytes) -> bool:
        """Take what is to be durable."""
        self.written.append(len(data))
        return True


def _intent(number: int) -> tuple[str, Intent]:
    key = f"north-tv/viewer-{number}/{PAID}/gate-1/wish-{number}"
    name = f"gw0-1a2f3c4d5e6-{number}"
    told = Intent(
        10**13, key, name, "host1:9000", 10**15, 10**12, 3, PAID, "north-tv", "gate-1", 3, 120 * SECOND, 1, 8,
        False, "gw0/1a2f3c4d5e6", number,
    )  # fmt: skip
    return hash_key(key), told


def record_loop() -> tuple[float, float]:
    """Give ms in the gateway's loop and bytes to the writer, of one paid set-up's record made durable."""
    loop, done = _Writer(), []
    process: Any = SimpleNamespace(poll=lambda: None)
    store = StoreLine(loop, Opened("a", "gw0", None, process, RecoveredState(), 1))  # type: ignore[arg-type]
    keeper = RecordWriter(store.write)
    store.attach(lambda event: keeper.handle_written(loop.time, event), lambda event, **fields: None)
    keeper.start(SECOND, 0)
    intents, spent = [_intent(number) for number in range(TIMED)], 0
    for token, (digest, intent) in enumerate(intents, 1):
        took, _ = _ns(
            lambda d=digest, i=intent: keeper.save(
                loop.time, RecordKind.INTENT, d, i, lambda *a: done.append(a)
            )
        )
        loop.run(loop.time + 1)  # the push
        answer = framed([token, True, ""])
        spent += took + _ns(partial(store.received, answer))[0]
    assert len(done) == TIMED
    return (spent + loop.all) / TIMED / 1e6, sum(loop.written) / TIMED


def _record_rows(count: int, seed: int) -> list[Row]:
    """Measure records of paid set-ups where so many are kept."""
    spent, sent = record_loop()
    with tempfile.TemporaryDirectory(prefix="mintmast-scale-") as folder:
        engine = Engine(str(Path(folder) / "a.store"), "gw0")
        for first in range(0, count, 1000):
            made = [_intent(number) for number in range(first, min(count, first + 1000))]
            engine.write(
                StoredRecord(RecordKind.INTENT.value, digest, msgspec.msgpack.encode(told))
                for digest, told in made
            )
        alone = [
            StoredRecord(RecordKind.INTENT.value, d, msgspec.msgpack.encode(t))
            for d, t in map(_intent, range(50))
        ]
        commit = sum(_ns(partial(engine.write, [each]))[0] for each in alone) / len(alone) / 1e6
        engine.close()
        size = sum(each.stat().st_size for each in Path(folder).iterdir())
    told = (
        ("records.loop", "ms", spent, "of the gateway: kept, sent to the writer, heard as durable"),
        ("records.sent", "B", sent, "to the writer, of one; a paid session writes two, and its witnesses"),
        (
            "records.commit",
            "ms",
            commit,
            "of the writer's process, a commit of one; the disk's time is not in",
        ),
        ("records.disk", "B", size / count, "of the file, a record"),
    )
    return [Row(*each[:2], "sessions", count, each[2], seed, note=each[3]) for each in told]


def _told_rows(count: int, seed: int) -> list[Row]:
    """Measure a log line, and an answer of metrics, after so many requests."""
    sink, metrics = io.StringIO(), Metrics()
    say = make_log_function(sink, lambda: float(EPOCH_S), gateway="gw0")
    fields = {
        "session": f"gw0-1a2f3c4d5e6-{count}", "verdict": "plays", "reason": "", "host": "host1:9000",
        "rung": 3, "attempts": 1, "took_ms": 12.345,
    }  # fmt: skip
    lines, _ = _ns(lambda: [say("request", ask=n, **fields) for n in range(TIMED)])
    counted, _ = _ns(lambda: [metrics.take("request", fields) for _ in range(count)])
    metrics.held.set(count)
    shown, text = _ns(lambda: [metrics.text() for _ in range(10)])
    told = (
        ("log.line", "ms", lines / TIMED / 1e6, "a set-up has two: its attempt and its answer"),
        ("log.bytes", "B", len(sink.getvalue()) / TIMED, "a line"),
        ("metrics.count", "ms", counted / count / 1e6, "an answer counted"),
        ("metrics.answer", "ms", shown / 10 / 1e6, "one /metrics, without other gateways"),
        ("metrics.bytes", "B", len(text[0]), "one /metrics"),
    )
    return [Row(*each[:2], "sessions", count, each[2], seed, note=each[3]) for each in told]


def rows(sizes: tuple[int, ...] = HOSTS, seeds: tuple[int, ...] = (1, 2, 3)) -> list[Row]:
    """Give all rows; sizes count hosts. Lines are measured at `LINED`, records and the log at `RECORDS`."""
    told: list[Row] = []
    before = gc.get_threshold()
    tune_garbage_collector()  # as `mintmast serve` does: full collections would count as the gateway's time
    try:
        for seed in seeds:
            for size in sizes:
                told += _list_rows(size, seed)
            for size in LINED:
                told += _line_rows(size, seed)
            for size in RECORDS:
                told += _record_rows(size, seed) + _told_rows(size, seed)
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)
    return told
