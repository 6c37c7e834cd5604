"""Power cuts under the store's engine: confirmed records survive, and no commit survives in part."""

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


def records_of(engine):
    """Return the records without the note that the log was torn: that commit was never confirmed."""
    return {(row.kind, row.key): row.value for row in engine.rows() if row.kind != "log"}


def write_history(folder, seed, full=0.0, flushes=True, commits=24):
    """Write, compact and write again; return the disk, each commit's first and last step, and its rows."""
    draw = random.Random(seed)
    disk = CrashDisk(f"crash{next(NAMES)}", seed, flushes=flushes)
    engine = Engine(str(folder / "gw0.store"), "gw0", connect=disk.connect)
    first_steps, confirmed_at, history = [len(disk.steps)], [len(disk.steps)], [records_of(engine)]
    disk.full = full
    for n in range(commits):
        rows = dict(history[-1])
        records = [StoredRecord("grant", f"k{draw.randrange(8)}", draw.choice((None, b"%d" % n * 300)))]
        records += [StoredRecord("intent", f"k{n}", b"%d" % n), StoredRecord("grant", "same", b"%d" % n)]
        first_steps.append(len(disk.steps))
        try:
            if n in (8, 17):
                engine.give_back(100) if n == 8 else engine.compact()
            else:
                engine.write(records)
                rows.update({(each.kind, each.key): each.value for each in records})
            is_confirmed = True
        except StoreError:
            is_confirmed = False
        rows = {key: value for key, value in rows.items() if value is not None}
        history.append(rows if is_confirmed else history[-1])
        confirmed_at.append(len(disk.steps) if is_confirmed else -1)
        if is_confirmed:
            assert records_of(engine) == history[-1]
    disk.full = 0.0
    engine.close()
    return disk, first_steps, confirmed_at, history


def check_crashes(folder, seed, times, full=0.0, flushes=True):
    """Cut the power after each step with `times` random outcomes; return how many were checked."""
    (folder / "first").mkdir()
    (folder / "then").mkdir()
    disk, first_steps, confirmed_at, history = write_history(folder / "first", seed, full, flushes)
    draw, checked = random.Random(f"{seed}/crash"), 0
    for after in range(confirmed_at[0], len(disk.steps) + 1):
        last = max(n for n, at in enumerate(confirmed_at) if 0 <= at <= after)
        possible = history[last : 1 + max(n for n, at in enumerate(first_steps) if at <= after)]
        for _ in range(times):
            lay_out(crash(disk.steps, after, draw), folder / "then")
            with closing(Engine(str(folder / "then" / "gw0.store"), "gw0")) as engine:
                found = records_of(engine)
                assert found in possible or full, (after, sorted(found))
                if full:  # a commit that hit the full disk may be present or not, and so may later ones
                    for key, value in history[last].items():
                        later_values = [rows.get(key) for rows in history[last:]]
                        assert found.get(key) in {
                            value,
                            *later_values,
                            *possible_values(history, last, key),
                        }, key
                assert None not in found.values()  # all checksums are valid
                assert not [each for each in engine.verify() if not each.startswith("the log has")]
                checked += 1
    return checked


def possible_values(history, last, key):
    """Return what a commit that was not confirmed may have written to a key."""
    number = int(key[1][1:]) if key[1] != "same" else 0
    return {None, *(b"%d" % n * 300 for n in range(len(history))), *(b"%d" % n for n in range(number + 99))}


@pytest.mark.parametrize("seed", ["a", "b"])
def test_a_power_cut_after_any_step_loses_no_confirmed_record(tmp_path, seed):
    assert check_crashes(tmp_path, seed, 4) > 300


def test_a_full_disk_and_a_power_cut_leave_a_consistent_file(tmp_path):
    assert check_crashes(tmp_path, "c", 4, full=0.08) > 300


def test_a_disk_that_does_not_flush_is_detected(tmp_path):
    with pytest.raises((AssertionError, StoreError, sqlite3.Error)):
        check_crashes(tmp_path, "d", 4, flushes=False)


if __name__ == "__main__":  # many seeds, run manually
    total = 0
    for seed in range(int(sys.argv[1])):
        for full in (0.0, 0.05):
            with TemporaryDirectory() as folder:
                total += check_crashes(Path(folder), f"hand{seed}", int(sys.argv[2]), full)
    print(total, "power cuts")
