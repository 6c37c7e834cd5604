"""Power cuts under the store's engine: what was told as durable is there, and nothing is half there."""

import random
import sqlite3
import sys
from contextlib import closing
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

from mintmast.decisions.gateways.records import StoredRecord
from mintmast.lab.crashdisk import CrashDisk, crash, lay_out
from mintmast.store import Engine, StoreError

NAMES = count()


def state(engine):
    """Give the records, without the word that the log broke off: a torn commit that was told to nobody."""
    return {(row.kind, row.key): row.value for row in engine.rows() if row.kind != "log"}


def written(folder, seed, full=0.0, flushes=True, commits=24):
    """Write, compact and write on; give the disk, and of each commit its places and all rows then."""
    draw = random.Random(seed)
    disk = CrashDisk(f"crash{next(NAMES)}", seed, flushes=flushes)
    engine = Engine(str(folder / "gw0.store"), "gw0", connect=disk.connect)
    begun, told, history = [len(disk.steps)], [len(disk.steps)], [state(engine)]
    disk.full = full
    for n in range(commits):
        rows = dict(history[-1])
        records = [StoredRecord("grant", f"k{draw.randrange(8)}", draw.choice((None, b"%d" % n * 300)))]
        records += [StoredRecord("intent", f"k{n}", b"%d" % n), StoredRecord("grant", "same", b"%d" % n)]
        begun.append(len(disk.steps))
        try:
            if n in (8, 17):
                engine.give_back(100) if n == 8 else engine.compact()
            else:
                engine.write(records)
                rows.update({(each.kind, each.key): each.value for each in records})
            good = True
        except StoreError:
            good = False
        rows = {key: value for key, value in rows.items() if value is not None}
        history.append(rows if good else history[-1])
        told.append(len(disk.steps) if good else -1)
        if good:
            assert state(engine) == history[-1]
    disk.full = 0.0
    engine.close()
    return disk, begun, told, history


def crashes(folder, seed, times, full=0.0, flushes=True):
    """Cut the power after each step, `times` draws of what stays; give how many were checked."""
    (folder / "first").mkdir()
    (folder / "then").mkdir()
    disk, begun, told, history = written(folder / "first", seed, full, flushes)
    draw, checked = random.Random(f"{seed}/crash"), 0
    for after in range(told[0], len(disk.steps) + 1):
        last = max(n for n, at in enumerate(told) if 0 <= at <= after)
        may_be = history[last : 1 + max(n for n, at in enumerate(begun) if at <= after)]
        for _ in range(times):
            lay_out(crash(disk.steps, after, draw), folder / "then")
            with closing(Engine(str(folder / "then" / "gw0.store"), "gw0")) as engine:
                found = state(engine)
                assert found in may_be or full, (after, sorted(found))
                if full:  # a commit that found no room may be there or not, and so may each one after it
                    for key, value in history[last].items():
                        after_it = [rows.get(key) for rows in history[last:]]
                        assert found.get(key) in {value, *after_it, *retold(history, last, key)}, key
                assert None not in found.values()  # each checksum is good
                assert not [each for each in engine.verify() if not each.startswith("the log has")]
                checked += 1
    return checked


def retold(history, last, key):
    """Give what a commit that was not told as good may have written to a key."""
    number = int(key[1][1:]) if key[1] != "same" else 0
    return {None, *(b"%d" % n * 300 for n in range(len(history))), *(b"%d" % n for n in range(number + 99))}


@pytest.mark.parametrize("seed", ["a", "b"])
def test_a_power_cut_after_any_step_loses_nothing_that_was_told(tmp_path, seed):
    assert crashes(tmp_path, seed, 4) > 300


def test_a_full_disk_and_a_power_cut_leave_a_file_that_is_whole(tmp_path):
    assert crashes(tmp_path, "c", 4, full=0.08) > 300


def test_a_disk_that_does_not_flush_is_found_out(tmp_path):
    with pytest.raises((AssertionError, StoreError, sqlite3.Error)):
        crashes(tmp_path, "d", 4, flushes=False)


if __name__ == "__main__":  # many seeds, by hand
    total = 0
    for seed in range(int(sys.argv[1])):
        for full in (0.0, 0.05):
            with TemporaryDirectory() as folder:
                total += crashes(Path(folder), f"hand{seed}", int(sys.argv[2]), full)
    print(total, "power cuts")
