"""Durable records: cuts, flipped bits, full disks, two processes, old copies, and drills of deaths."""

import shutil
import signal
import sqlite3
import sys
import time
import zlib
from contextlib import closing
from dataclasses import replace

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from world import SECOND

from mintmast.cli import main
from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.claim_messages import Vote
from mintmast.decisions.gateways.claims import Claims
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.records import (
    Grant,
    Intent,
    RecordKind,
    RecordsWritten,
    StoredRecord,
    WriteRecords,
    next_generation,
    recover_state,
)
from mintmast.lab import drills
from mintmast.lab.drills.day import Day, model
from mintmast.lab.drills.day import settings as day_settings
from mintmast.lab.stage import MemoryStage
from mintmast.loop.real import SelectorLoop
from mintmast.store import Engine, StoreError, StoreLine, open_store
from mintmast.store import line as line_module

KINDS = st.sampled_from([*(kind.value for kind in RecordKind), "odd"])


def kept(key, value=b"v", kind="grant"):
    return StoredRecord(kind, key, value)


def state(engine):
    return {(row.kind, row.key): row.value for row in engine.rows()}


def history(folder, commits=6):
    """Write commits and give the log's bytes, and after each commit its length and what must be there."""
    path = folder / "gw0.store"
    engine = Engine(str(path), "gw0")
    wal = path.with_name(path.name + "-wal")
    ends = [(wal.stat().st_size, state(engine))]
    for n in range(commits):
        engine.write([kept(f"k{n}", b"%d" % n * 20), kept("same", b"%d" % n), kept(f"k{n - 2}", None)])
        ends.append((wal.stat().st_size, state(engine)))
    engine.compact()
    ends.append((wal.stat().st_size, state(engine)))
    files = path.read_bytes(), wal.read_bytes()
    engine.close()
    return files, ends


def cuts_hold(folder, offsets):
    """Cut the log at these offsets; what was told as durable by then must be there, and nothing else."""
    (main_file, wal), ends = history(folder / "whole")
    checked = 0
    for cut in offsets(len(wal), [end for end, _ in ends]):
        path = folder / "cut.store"
        path.write_bytes(main_file)
        path.with_name("cut.store-wal").write_bytes(wal[:cut])
        try:
            engine = Engine(str(path), "gw0")
        except StoreError:
            assert cut < ends[0][0], cut  # not even begun
            continue
        told = [rows for end, rows in ends if end <= cut]
        assert not told or state(engine) == told[-1], cut
        checked += 1
        engine.close()
    return checked


def near_ends(length, ends):
    frames = range(32, length, 4120)
    near = {at + by for at in (*ends, *frames) for by in (-1, 0, 1, 12, 24, 25)}
    return sorted({*near, *range(0, length, 997), length} & set(range(length + 1)))


def test_a_log_cut_anywhere_holds_all_that_was_told_as_durable(tmp_path):
    (tmp_path / "whole").mkdir()
    assert cuts_hold(tmp_path, near_ends) > 100


def test_a_flipped_byte_never_makes_a_record_of_its_own(tmp_path):
    path = tmp_path / "a.store"
    engine = Engine(str(path), "gw0")
    engine.write(kept(f"key{n}", b"value%d" % n) for n in range(20))
    good = state(engine)
    engine.close()
    data = path.read_bytes()
    lost = 0
    for at in range(0, len(data), 61):
        path.write_bytes(data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :])
        for tail in ("-wal", "-shm", "-journal"):
            path.with_name(path.name + tail).unlink(missing_ok=True)
        try:
            with closing(Engine(str(path), "gw0")) as engine:
                rows = state(engine)
        except (StoreError, sqlite3.Error):
            lost += 1
            continue
        wrong = {key for key, value in rows.items() if value is not None and good.get(key) != value}
        assert not wrong, (at, wrong)
        lost += rows != good
    assert lost


def test_a_bit_flipped_in_the_log_never_takes_away_unnoticed_what_was_told(tmp_path):
    (tmp_path / "whole").mkdir()
    (main_file, wal), ends = history(tmp_path / "whole")
    begun = ends[0][0]
    last, path, noticed = ends[-2][1], tmp_path / "flip.store", 0
    before = ends[-2][0]  # what follows is the compaction
    for at in range(begun, before, 371):
        path.write_bytes(main_file)
        log = wal[:at] + bytes([wal[at] ^ 4]) + wal[at + 1 : before]
        path.with_name("flip.store-wal").write_bytes(log)
        with closing(Engine(str(path), "gw0")) as engine:
            rows = list(engine.rows())
        there = {(row.kind, row.key): row.value for row in rows}
        whole_before = [told for end, told in ends if end <= at]
        # in the last commit it cannot be told from a torn one, whose writer had heard nothing
        doubtful = bool(recover_state(rows).faults) and any(row.kind == "log" for row in rows)
        assert there == last or doubtful or whole_before[-1] == ends[-3][1], at
        noticed += doubtful
    assert noticed > 10


def test_a_full_disk_keeps_what_was_there_and_takes_more_when_there_is_room(tmp_path):
    engine = Engine(str(tmp_path / "a.store"), "gw0")
    engine.write([kept("first")])
    (pages,) = engine._db.execute("PRAGMA page_count").fetchone()
    engine._db.execute(f"PRAGMA max_page_count = {pages + 1}")
    with pytest.raises(StoreError, match="full"):
        engine.write(kept(f"k{n}", b"x" * 500) for n in range(50))
    assert state(engine) == {("grant", "first"): b"v"}
    engine._db.execute("PRAGMA max_page_count = 100000")
    engine.write([kept("second")])
    assert len(state(engine)) == 2


def test_room_that_holds_nothing_is_given_back_while_nothing_is_written(tmp_path):
    path, loop = str(tmp_path / "a.store"), SelectorLoop()
    line = StoreLine(loop, open_store(path, "gw0", 1))
    end = time.monotonic() + 30
    for value in (b"x" * 3000, None):
        rows = tuple(kept(f"k{n}", value) for n in range(1500))
        line.write(WriteRecords(rows, 1))
        while not (line.size[0] > 4_000_000 if value else 0 < line.size[0] < 1_000_000):
            assert time.monotonic() < end, line.size
            loop.run(loop.now() + 20_000)
    line.close()
    while line._opened.process.poll() is None:
        loop.run(loop.now() + 20_000)
    loop.close()
    with closing(Engine(path, "gw0")) as engine:
        size, free = engine.size()
        assert size < 1_000_000 and free <= size and len(state(engine)) == 1


def test_a_file_of_the_format_before_is_read_and_goes_on(tmp_path):
    path = tmp_path / "old.store"
    db = sqlite3.connect(path)
    db.executescript(
        "PRAGMA application_id = 0x6D6D7374; PRAGMA user_version = 1;"
        "CREATE TABLE owner (gateway TEXT NOT NULL); INSERT INTO owner VALUES ('gw0');"
        "CREATE TABLE records (kind TEXT NOT NULL, key TEXT NOT NULL, value BLOB NOT NULL,"
        " sum INTEGER NOT NULL, PRIMARY KEY (kind, key)) WITHOUT ROWID;"
    )
    db.execute("INSERT INTO records VALUES ('life', '', x'07', ?)", (zlib.crc32(b"life\0\0\x07"),))
    db.commit()
    db.close()
    with closing(Engine(str(path), "gw0")) as engine:
        assert recover_state(engine.rows()).generation == 7
        engine.write([kept("new", kind="intent")])
        engine.compact()
        assert engine._db.execute("PRAGMA user_version").fetchone() == (2,) and len(state(engine)) == 2


def test_files_of_others_newer_ones_and_used_ones_are_left_alone(tmp_path):
    path = tmp_path / "a.store"
    engine = Engine(str(path), "gw0")
    engine.write([kept("first")])
    with pytest.raises(StoreError, match="locked"):
        Engine(str(path), "gw0")
    engine.close()
    other = Engine(str(path), "gw1")
    assert "of-gw0" in other.moved and not state(other)
    other.close()
    assert state(Engine(other.moved, "gw0", read_only=True))
    for pragma, why in (("user_version = 99", "newer"), ("application_id = 1", "no store")):
        strange = tmp_path / f"{why}.store"
        shutil.copy(path, strange)
        db = sqlite3.connect(strange)
        db.execute(f"PRAGMA {pragma}")
        db.close()
        before = strange.read_bytes()
        with pytest.raises(StoreError, match=why):
            Engine(str(strange), "gw1")
        assert strange.read_bytes() == before
    (tmp_path / "text.store").write_text("no database at all, but long enough to be one " * 100)
    with pytest.raises(StoreError):
        Engine(str(tmp_path / "text.store"), "gw0")
    with pytest.raises(StoreError):
        Engine(str(tmp_path / "no" / "folder"), "gw0")


@settings(max_examples=200, deadline=None)
@given(st.lists(st.builds(StoredRecord, KINDS, st.text(), st.binary() | st.none())))
def test_odd_records_make_the_whole_doubtful_and_never_a_crash(rows):
    found = recover_state(rows)
    assert not found.is_complete or not found.faults


def test_a_start_is_never_given_twice_whatever_the_clock_says(tmp_path):
    path, starts = str(tmp_path / "a.store"), []
    for wall in (5000, 100, 5001, 9000, 1):
        opened = open_store(path, "gw0", wall)
        starts.append(opened.start)
        opened.sock.close()
        opened.process.wait()
    assert starts == sorted(set(starts)) and starts[0] == 5000 and next_generation(7, 0) == 7
    opened = open_store(path, "gw0", 1)
    with pytest.raises(StoreError, match="locked"):
        open_store(path, "gw0", 1)
    opened.sock.close()
    opened.process.wait()


def test_a_start_that_reads_for_long_is_not_led_astray_by_what_the_writer_tells(tmp_path, monkeypatch):
    def slowly(rows):
        time.sleep(0.8)  # longer than the writer waits before it tells its size
        return recover_state(rows)

    monkeypatch.setattr(line_module, "recover_state", slowly)
    opened = open_store(str(tmp_path / "a.store"), "gw0", 5)
    assert opened.start == 5
    opened.sock.close()
    opened.process.wait()


def test_the_line_outlives_its_writer_and_tells_what_may_be_lost(tmp_path):
    loop = SelectorLoop()
    line = StoreLine(loop, open_store(str(tmp_path / "a.store"), "gw0", 1))
    ends, said = [], []
    line.attach(ends.append, lambda event, **fields: said.append(event))

    def until(so):
        end = time.monotonic() + 30
        while not so():
            assert time.monotonic() < end
            loop.run(loop.now() + 20_000)

    line.write(WriteRecords((kept("a"),), 1))
    until(lambda: ends == [RecordsWritten(1, True)])
    line._opened.process.send_signal(signal.SIGSTOP)
    line.write(WriteRecords((kept("b"),), 2))
    line._opened.process.send_signal(signal.SIGKILL)
    until(lambda: ends[1:] == [RecordsWritten(2, False)])
    assert "store_fails" in said and line.failing
    line.write(WriteRecords((kept("c"),), 3))
    until(lambda: ends[2:] == [RecordsWritten(3, False)])
    until(lambda: line._stream is not None)
    line._unanswered = 10**6  # a disk that stands for seconds
    line.write(WriteRecords((kept("e"),), 5))
    until(lambda: ends[3:] == [RecordsWritten(5, False)])
    line._unanswered = 0
    line.write(WriteRecords((kept("d"),), 4))
    until(lambda: ends[4:] == [RecordsWritten(4, True)])
    assert said[-1] == "store_writes_again" and not line.failing
    line.close()
    until(lambda: line._opened.process.poll() is not None)
    there = state(Engine(str(tmp_path / "a.store"), "gw0", read_only=True))
    assert {("grant", "a"), ("grant", "d")} <= set(there)
    loop.close()


# What votes wait for


def witness_of(rows=(), start=50):
    out = []
    claims = Claims("g0", start, ("g0", "g1", "g2"), out.append, lambda *told: None)
    claims.witness_service.start(0, recover_state(rows))
    for peer in ("g1", "g2"):
        claims.witness_service.handle_peer_status(
            0, claim_messages.PeerStatusChanged(peer, Liveness.HEARD, 5)
        )
    claims.witness_service.handle_review_timer(0)
    return claims.witness_service, out


def answers(part, out, before=0):
    """Let the other two answer what they are asked, knowing of a start before this one."""
    for ask in [each for each in out if isinstance(each, claim_messages.SendLearnRequest)]:
        out.remove(ask)
        told = claim_messages.LearnReply(
            ask.peer, number=ask.number, generation=5, previous_generation=before
        )
        part.handle_learn_reply(0, told)


def rows_of(out):
    return [each for write in out if isinstance(write, WriteRecords) for each in write.records]


def test_a_vote_is_told_when_it_is_durable_and_never_where_it_may_be_lost():
    part, out = witness_of()
    answers(part, out)
    for call, good in ((1, True), (2, False)):
        part.handle_call(0, claim_messages.PeerCall(call, "g1/5", f"key{call}", 1, 3600 * SECOND))
        write = next(each for each in out if isinstance(each, WriteRecords) and each.token)
        out.remove(write)
        assert not [each for each in out if isinstance(each, claim_messages.PeerReply)]
        part.record_writer.handle_written(0, RecordsWritten(write.token, good))
        reply = next(each for each in out if isinstance(each, claim_messages.PeerReply))
        out.remove(reply)
        assert reply.vote is (Vote.GRANTED if good else Vote.NONE)


def test_a_start_with_whole_records_votes_by_them_and_one_with_old_ones_asks_all():
    part, out = witness_of()
    answers(part, out)
    assert part.is_voting
    part.handle_call(0, claim_messages.PeerCall(1, "g1/5", "key", 1, 3600 * SECOND))
    rows = [StoredRecord("life", "", b"\x32"), *rows_of(out)]
    assert any(row.kind == "whole" for row in rows) and recover_state(rows).is_complete
    again, out = witness_of(rows, start=60)
    assert not again.is_voting  # nobody has told yet that no later life was seen
    answers(again, out, before=50)
    assert again.is_voting
    again.handle_call(0, claim_messages.PeerCall(2, "g2/5", "key", 1, 3600 * SECOND))
    assert next(each for each in out if isinstance(each, claim_messages.PeerReply)).vote is Vote.HELD
    old, out = witness_of(rows, start=70)
    answers(old, out, before=60)
    assert not old.is_voting and any(getattr(each, "event", "") == "records_old" for each in out)
    assert StoredRecord("whole", "", None) in rows_of(out)
    old.handle_review_timer(
        SECOND // 4
    )  # a look that was due before: claims of the life that is not known may be under way
    assert not old.exclusions.earlier_claims_settled
    old.handle_review_timer(SECOND // 2)
    assert old.exclusions.earlier_claims_settled
    old.handle_call(0, claim_messages.PeerCall(3, "g2/5", "other", 1, 3600 * SECOND))
    assert next(each for each in out if isinstance(each, claim_messages.PeerReply)).vote is Vote.NONE


def test_a_later_life_that_one_other_gateway_met_is_heard_of_before_any_vote():
    part, out = witness_of()
    answers(part, out)
    rows = [StoredRecord("life", "", b"\x32"), *rows_of(out)]
    old, out = witness_of(rows, start=70)  # a backup: a life of number 60 was met by g2 alone
    asks = {each.peer: each for each in out if isinstance(each, claim_messages.SendLearnRequest)}
    old.handle_learn_reply(0, claim_messages.LearnReply("g1", number=asks["g1"].number, generation=5))
    old.handle_call(0, claim_messages.PeerCall(1, "g1/5", "key", 1, 3600 * SECOND))
    assert next(each for each in out if isinstance(each, claim_messages.PeerReply)).vote is Vote.NONE
    assert not old.is_voting
    old.handle_learn_reply(
        0, claim_messages.LearnReply("g2", number=asks["g2"].number, generation=5, previous_generation=60)
    )
    assert any(getattr(each, "event", "") == "records_old" for each in out)


def test_a_record_is_kept_for_as_long_as_gateways_of_its_name_ran():
    hour = 3600 * SECOND
    part, out = witness_of()
    part.record_writer.start(0, 7 * hour)
    part.record_writer.save(0, RecordKind.CLOCK, "", 7 * hour)
    answers(part, out)
    part.handle_call(0, claim_messages.PeerCall(1, "g1/5", "key", 1, hour))
    found = recover_state(rows_of(out))
    assert found.grants["key"][1] == hour and found.runtime == 7 * hour
    later = [*rows_of(out), StoredRecord("clock", "", b"\xcf" + (9 * hour).to_bytes(8))]
    assert "key" not in recover_state(later).grants


# Deaths


@pytest.mark.parametrize("name", ["kill-one", "kill", "kill-all", "kill-slow", "kill-stuck"])
def test_deaths_of_any_number_charge_nobody_twice(name):
    report = drills.run(name, 501, "memory")
    assert report["good"], report["rules"]
    assert report["measures"]["came_again"] > 50


@pytest.mark.parametrize(
    ("name", "fault", "seed"), [("kill-all-bare", None, 519), ("kill-lone", "told-early", 502)]
)
def test_what_is_not_on_disk_in_time_is_charged_twice(name, fault, seed):
    report = drills.run(name, seed, "memory", fault)
    assert report["rules"]["set_up_once"]["broken"]


def test_processes_that_die_together_charge_nobody_twice():
    day = replace(drills.DRILLS["kill-all"].day, load_s=7.0, whole_s=17.0, rate=8.0)
    report = drills.run("kill-all", 1, "loopback", day=day)
    assert report["good"], report["rules"]


@pytest.mark.parametrize("stores", [True, False])
def test_a_clock_that_goes_back_over_a_start_condemns_nobody_who_keeps_records(stores):
    day = Day(gateways=3)
    stage = MemoryStage(1, day_settings(day), model(day))
    stage.stores = stores
    try:
        stage.start_host(0)
        for number in range(3):
            stage.start_gateway(number)
        stage.begin()
        stage.run(5)
        stage.kill_gateway(1)
        stage.start_gateway(1, wall_shift=-600.0)
        stage.run(15)
        part = stage.gateways[1].roster.members
        assert bool(part.disqualified_reason) is not stores
    finally:
        stage.close()


def test_operators_look_at_a_store_and_compact_it(tmp_path):
    path = str(tmp_path / "a.store")
    engine = Engine(path, "gw0")
    grant = Grant("gw1/5", 3, 10**12)
    engine.write(
        [StoredRecord("grant", "d", msgspec.msgpack.encode(grant)), StoredRecord("life", "", b"\x07")]
    )
    run = CliRunner().invoke
    assert "locked" in run(main, ["store", "compact", path]).stderr
    engine.close()
    shown = run(main, ["store", "inspect", path])
    assert shown.exit_code == 0 and "gw0" in shown.stdout and "grant: 1" in shown.stdout
    assert '"owner":"gw1/5"' in run(main, ["store", "export", path]).stdout
    intent = Intent(10**12, "k", "gw0-7-1", "h:1", 3, 5, 1, "paid", "one", "t5", 3, 9, 0, 4, False)
    with closing(Engine(path, "gw0")) as again:
        again.write([StoredRecord("intent", "d", msgspec.msgpack.encode(intent))])
    assert '"server":"h:1"' in run(main, ["store", "export", path]).stdout
    assert "asks hosts after: 1" in run(main, ["store", "inspect", path]).stdout
    assert [run(main, ["store", what, path]).exit_code for what in ("verify", "compact")] == [0, 0]
    db = sqlite3.connect(path)
    db.execute("UPDATE records SET sum = 1 WHERE kind = 'life'")
    db.commit()
    db.close()
    bad = run(main, ["store", "verify", path])
    assert bad.exit_code == 1 and "checksum" in bad.stdout
    assert run(main, ["store", "verify", str(tmp_path / "none")]).exit_code == 2


if __name__ == "__main__":  # every byte, some minutes
    from pathlib import Path
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as folder:
        Path(folder, "whole").mkdir()
        step = int(sys.argv[1]) if len(sys.argv) > 1 else 1
        print(cuts_hold(Path(folder), lambda length, ends: range(0, length + 1, step)), "cuts")
