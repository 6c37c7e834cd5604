"""The file of the shared settings: torn anywhere, written by a process of its own, read at a start."""

import signal
import subprocess
import sys

import pytest
from world import SECOND, Small

from mintmast.config import parse
from mintmast.config.shared import Shared, document
from mintmast.configuring import begin, taken_out
from mintmast.decisions.gateways.revision_types import Delta, RevisionId, Stored, digest_of
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.loop.memory import World
from mintmast.loop.real import SelectorLoop
from mintmast.store import configuration as kept
from mintmast.store.configuration import FileError, FileLine, decoded, encoded, load, save


def stored_of(data, history=(), leads=3):
    return Stored(RevisionId(3, 9, digest_of(data)), data, leads, RevisionId(3, 8, "0" * 16), history)


def test_a_file_cut_at_any_byte_or_with_one_changed_is_refused_and_never_raises_otherwise(tmp_path):
    whole = encoded(
        "gw0", stored_of(b'{"a":1}', (Delta(RevisionId(3, 9, digest_of(b'{"a":1}')), b'{"a":1}'),))
    )
    assert decoded(whole, "gw0").leads == 3
    cuts = [whole[:size] for size in range(len(whole))]
    flips = [whole[:at] + bytes([whole[at] ^ 4]) + whole[at + 1 :] for at in range(len(whole))]
    for bad in (*cuts, *flips, whole + b"x", b"\0" * 500, b"{}", whole + whole):
        with pytest.raises(FileError):
            decoded(bad, "gw0")
    with pytest.raises(FileError, match="gw0"):
        decoded(whole, "gw1")  # a term copied to another machine would be numbered by two
    path = tmp_path / "shared"
    assert load(path, "gw0") is None
    path.mkdir()
    with pytest.raises(FileError):
        load(path, "gw0")


def test_a_write_that_fails_leaves_the_old_file_whole(tmp_path, monkeypatch):
    path = tmp_path / "shared"
    one, two = (encoded("gw0", stored_of(each)) for each in (b"{}", b'{"a":1}'))
    save(str(path), one)
    assert path.stat().st_mode & 0o077 == 0  # it holds viewers' keys
    order = []
    monkeypatch.setattr("os.fsync", lambda handle: order.append("flushed"))
    monkeypatch.setattr(
        "os.replace", lambda *names: order.append("renamed") or (_ for _ in ()).throw(OSError("full"))
    )
    with pytest.raises(OSError, match="full"):
        save(str(path), two)
    assert order == ["flushed", "renamed"] and load(path, "gw0") == stored_of(b"{}")


def test_the_process_that_writes_holds_the_file_and_a_gateway_waits_for_no_disk(tmp_path, monkeypatch):
    monkeypatch.setattr(kept, "LOCK_TIME", 0.3)
    monkeypatch.setattr(kept, "WRITE_TIME", 200_000)
    monkeypatch.setattr(kept, "AGAIN", 50_000)
    loop, told, path = SelectorLoop(), [], tmp_path / "shared"

    def wait(count):
        until = loop.now() + 5 * SECOND
        while len(told) < count and loop.now() < until:
            loop.run(loop.now() + 10_000)
        return told[-1]

    with pytest.raises(FileError):
        FileLine(loop, str(tmp_path / "none" / "shared"))
    line = FileLine(loop, str(path))
    with pytest.raises(FileError, match="another process"):  # a life before it may still write
        FileLine(loop, str(path))
    line.write(b"one", told.append)
    assert not told and wait(1) and path.read_bytes() == b"one"
    line._process.send_signal(signal.SIGSTOP)  # the disk stands still
    line.write(b"two", told.append)
    assert wait(2) is False
    line._process.send_signal(signal.SIGCONT)
    line.write(b"three", told.append)
    assert wait(3) and path.read_bytes() == b"three" and len(told) == 3
    line._process.kill()
    line._process.wait()
    line.write(b"four", told.append)
    assert wait(4) is False
    loop.run(loop.now() + 400_000)
    line.write(b"five", told.append)
    assert wait(5) and path.read_bytes() == b"five"
    path.with_suffix(".new").mkdir()
    line.write(b"six", told.append)
    assert wait(6) is False and path.read_bytes() == b"five"
    line.close()
    loop.run(loop.now() + 50_000)
    assert line._process.wait(5) == 0
    FileLine(loop, str(path)).close()
    loop.run(loop.now() + 50_000)
    loop.close()


def test_nothing_of_it_is_imported_where_it_is_not_set():
    code = "import sys, {}; print([m for m in sys.modules if m.endswith(({!r}))])"
    mine = (
        "mintmast.configuring",
        "config.shared",
        "config.places",
        "store.configuration",
        "gateways.revisions",
    )
    for entry in ("mintmast.process", "mintmast.signalling.process"):
        run = subprocess.run([sys.executable, "-c", code.format(entry, mine)], capture_output=True, text=True)
        assert run.stdout.strip() == "[]", run


def test_a_start_goes_on_with_its_file_and_one_that_is_torn_with_its_settings(tmp_path):
    small = Small(hosts=2)
    raw = small.stage.gateway_settings(0)
    path, lines = tmp_path / "shared", []
    raw["configuration"] = {"path": str(path)}
    raw["peers"] = {"members": [{"name": "gw0", "address": "h:1"}], "secrets": ["x" * 32]}
    config, node = parse(raw), World(1).node("gw0")
    own = document(config.raw)
    after, fault = Shared().check(own, b'{"titles":{"later":{"copies":2},"gate-1":null}}')
    assert not fault
    say = lambda event, **fields: lines.append((event, fields))  # noqa: E731
    assert begin(node, config, say).stored == Stored(RevisionId(0, 0, digest_of(own)), own)
    patch = b'{"titles":{"gate-1":null,"gone":null}}'
    history = (
        Delta(RevisionId(3, 8, "1" * 16), b'{"titles":{"gone":{"seconds":7.5}}}'),
        Delta(RevisionId(3, 9, digest_of(after)), patch),
    )
    save(str(path), encoded("gw0", stored_of(after, history)))
    begun = begin(node, config, say)
    assert begun.stored.leads == 3 and begun.stored.head.key == (3, 9)
    assert "later" in begun.places.config.titles and "gate-1" not in begun.places.config.titles
    # sessions of titles taken out while the life before ran are found again by their names
    assert begun.places.gone.keys() >= {"gate-1", "gone"} and begun.places.gone["gone"].seconds == 7.5
    assert taken_out(history) == {"gone": {"seconds": 7.5}, "gate-1": {}}
    names = Catalogue(*map(tuple, begun.places.names.values()))
    assert names.titles[begun.places.gone["gone"].number] == "gone"
    whole = path.read_bytes()
    for bad in (whole[:-1], b"", encoded("gw0", Stored(RevisionId(3, 9, "2" * 16), after)),
                encoded("gw0", Stored(RevisionId(3, 9, digest_of(b"{}")), b"{}"))):  # fmt: skip
        path.write_bytes(bad)
        lines.clear()
        assert begin(node, config, say).stored.head.key == (0, 0)
        assert [event for event, _ in lines] == ["configuration_file_refused"]
