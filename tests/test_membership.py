"""The list of servers: merged sources, files read at any moment, and the hosts that get set-ups."""

import json
import os
from dataclasses import replace

from click.testing import CliRunner
from helpers import S, server_entry
from hypothesis import given
from hypothesis import strategies as st
from world import FREE, Small

from mintmast.cli import main
from mintmast.decisions.hosts.merging import FLAP_LOSSES, HOLD_US, STEADY_US, Merger
from mintmast.interface import ServerState
from mintmast.loop.memory import World
from mintmast.sources.files import WatchedFile

T0 = 1000 * S
READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.GONE
FLEET = {"cells": 0, "kinds": [{}]}


def version(*numbers, state=READY):
    return tuple(server_entry(number, state) for number in numbers)


def ready(merger):
    return sorted(entry.cell for entry in merger.merged.values() if entry.state is READY)


def test_a_list_half_empty_for_a_moment_is_held_back_and_a_lasting_one_is_applied_in_the_end():
    merger = Merger(("registry",))
    merger.update_source(T0, "registry", version(*range(10)))
    assert merger.update_source(T0 + S, "registry", version(*range(5))) == []
    assert (
        merger.update_source(T0 + 2 * S, "registry", version(*range(10))) == [] and len(ready(merger)) == 10
    )
    merger.update_source(T0 + 3 * S, "registry", version(*range(5)))
    due = merger.next_change_at(T0 + 3 * S)
    assert due == T0 + 3 * S + HOLD_US and merger.tick(due - 1) == []
    assert len(merger.tick(due)) == 5 and ready(merger) == list(range(5))


def test_an_empty_list_is_held_back_too_and_a_few_losses_are_applied_at_once():
    merger = Merger(("file",))
    merger.update_source(T0, "file", version(*range(10)))
    assert merger.update_source(T0 + S, "file", ()) == [] and len(ready(merger)) == 10
    merger.update_source(T0 + 2 * S, "file", version(*range(8)))
    assert ready(merger) == list(range(8))


def test_an_explicit_drain_or_removal_is_applied_at_once_even_from_a_version_that_is_held_back():
    merger = Merger(("registry", "file"))
    merger.update_source(T0, "registry", version(*range(10)))
    merger.update_source(T0, "file", version(*range(10)))
    told = (*version(0, 1), server_entry(2, DRAINING), server_entry(3, GONE))
    merger.update_source(T0 + S, "registry", told)
    assert ready(merger) == [0, 1, 4, 5, 6, 7, 8, 9]
    merger.update_source(T0 + 2 * S, "file", (*version(0, 1, 2, 3, 4, 5, 6, 7, 8), server_entry(9, DRAINING)))
    assert 9 not in ready(merger)  # one source's drain overrides the other's ready


def test_hosts_that_refuse_connections_or_a_second_source_confirm_a_large_loss():
    merger = Merger(("registry",))
    merger.update_source(T0, "registry", version(*range(6)))
    merger.update_source(T0 + S, "registry", version(0, 1, 2))
    assert len(ready(merger)) == 6
    for number in (3, 4, 5):
        merger.set_refusing(T0 + 2 * S, server_entry(number).server, True)
    assert ready(merger) == [0, 1, 2]
    two = Merger(("registry", "file"))
    two.update_source(T0, "registry", version(*range(6)))
    two.update_source(T0, "file", version(0, 1, 2))
    two.update_source(T0 + S, "registry", version(0, 1, 2))  # the file never had the others
    assert ready(two) == [0, 1, 2]


def test_a_source_that_fails_keeps_its_last_version_and_its_fault():
    merger = Merger(("registry",))
    merger.update_source(T0, "registry", version(0, 1))
    assert merger.mark_failed(T0 + 600 * S, "registry", "no answer") == [] and ready(merger) == [0, 1]
    assert merger.sources["registry"].fault == "no answer" and merger.sources["registry"].last_read_at == T0


def test_an_entry_that_flaps_is_used_only_when_it_has_been_steady():
    merger = Merger(("file",))
    now = T0
    for _ in range(FLAP_LOSSES):
        merger.update_source(now, "file", version(0, 1, 2, 3))
        merger.update_source(now + S, "file", version(0, 1, 2))
        now += 2 * S
    merger.update_source(now, "file", version(0, 1, 2, 3))
    assert ready(merger) == [0, 1, 2]
    due = merger.next_change_at(now)
    assert due == now + STEADY_US and merger.tick(due) and ready(merger) == [0, 1, 2, 3]


def test_a_restart_is_reported_with_the_latest_start_of_all_sources():
    merger = Merger(("registry", "file"))
    merger.update_source(T0, "registry", (replace(server_entry(0), started=5),))
    merger.update_source(T0, "file", (replace(server_entry(0), started=9, weight=7.0),))
    entry = merger.merged[server_entry(0).server]
    assert entry.started == 9 and entry.weight == 1.0  # other attributes come from the first source


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.lists(st.tuples(st.integers(0, 7), st.sampled_from([READY, DRAINING, GONE])), max_size=8),
        st.integers(0, 20 * S),
    ),
    max_size=12,
)


@given(STEPS)
def test_whatever_sources_report_only_listed_servers_are_used_and_drains_are_applied(steps):
    merger, now, listed, last = Merger(("a", "b")), T0, set(), {}
    for name, rows, gap in steps:
        now += gap
        entries = {number: server_entry(number, state) for number, state in rows}
        listed |= set(entries)
        changed = merger.update_source(now, name, tuple(entries.values()))
        last[name] = entries
        for entry in changed:
            assert merger.merged[entry.server] == entry
        assert set(ready(merger)) <= listed
        for told in last.values():
            for number, entry in told.items():
                if entry.state is not READY:
                    assert number not in ready(merger)


def text(*numbers, **changes):
    rows = [{"address": f"10.0.0.{n}:9000", "cell": n} for n in numbers]
    return json.dumps({"servers": rows, **changes}).encode()


class Watch:
    """A watched file in a real folder on a virtual clock."""

    def __init__(self, folder):
        self.world = World(1)
        self.path = folder / "servers.json"
        self.good, self.bad = [], []
        file = WatchedFile(
            self.world.node("g"), self.path, S // 5, FLEET,
            lambda entries: self.good.append(sorted(e.cell for e in entries)), self.bad.append,
        )  # fmt: skip
        file.start()

    def run(self, seconds):
        self.world.run(self.world.time + int(seconds * S))


def test_a_file_cut_at_any_byte_is_the_old_version_until_it_is_whole(tmp_path):
    watch = Watch(tmp_path)
    watch.path.write_bytes(text(1, 2))
    watch.run(1)
    new = text(1, 2, 3)
    for cut in range(len(new)):
        watch.path.write_bytes(new[:cut])
        watch.run(0.4)
    assert watch.good == [[1, 2]]
    watch.path.write_bytes(new)
    watch.run(0.4)
    assert watch.good == [[1, 2], [1, 2, 3]]


def test_a_file_may_be_renamed_over_removed_put_back_linked_elsewhere_or_swapped_with_its_folder(tmp_path):
    (tmp_path / "one").mkdir()
    (tmp_path / "two").mkdir()
    (tmp_path / "one" / "servers.json").write_bytes(text(1))
    (tmp_path / "two" / "servers.json").write_bytes(text(1, 2))
    os.symlink(tmp_path / "one", tmp_path / "now")
    watch = Watch(tmp_path / "now")
    watch.run(1)
    os.symlink(tmp_path / "two", tmp_path / "next")
    os.replace(tmp_path / "next", tmp_path / "now")
    watch.run(1)
    (tmp_path / "two" / "new").write_bytes(text(1, 2, 3))
    os.replace(tmp_path / "two" / "new", tmp_path / "two" / "servers.json")
    watch.run(1)
    assert watch.good == [[1], [1, 2], [1, 2, 3]] and not watch.bad
    os.remove(tmp_path / "two" / "servers.json")
    watch.run(3)
    assert len(watch.bad) == 1 and "No such file" in watch.bad[0]
    (tmp_path / "two" / "servers.json").write_bytes(text(4))
    watch.run(1)
    assert watch.good[-1] == [4]


def test_each_invalid_version_is_reported_once_with_its_place_and_not_applied(tmp_path):
    watch = Watch(tmp_path)
    watch.path.write_bytes(text(1))
    watch.run(1)
    wrong = [
        (b"{", "not JSON"),
        (text(), "none of 0 is ready"),
        (
            json.dumps({"servers": [{"address": "h:1", "cell": 1, "state": "gone"}]}).encode(),
            "none of 1 is ready",
        ),
        (text(1, 1), "stands at servers/0"),
        (json.dumps({"servers": [{"address": "h:1", "cell": "x"}]}).encode(), "servers/0/cell"),
        (json.dumps({"servers": [{"address": "h:1", "cell": 1, "kind": 4}]}).encode(), "fleet.kinds"),
        (text(1, extra=1), "unknown key extra"),
        (b"\xff\xfe\x00", "not JSON"),
    ]
    for data, words in wrong:
        watch.path.write_bytes(data)
        watch.run(3)
        assert words in watch.bad[-1], watch.bad[-1]
    assert len(watch.bad) == len(wrong) and watch.good == [[1]]


@given(st.binary(max_size=200))
def test_no_bytes_whatever_break_the_reader_of_server_files(data):
    from mintmast.config import ConfigError
    from mintmast.sources.files import read_servers

    try:
        read_servers(data, FLEET, T0, 1.8e9)
    except (ConfigError, ValueError, RecursionError):
        pass


def test_a_gateway_follows_its_file_and_never_sends_to_a_host_that_no_checked_version_named(tmp_path):
    path = tmp_path / "servers.json"
    row = [{"address": f"host{n}:9000", "cell": n} for n in range(4)]
    path.write_text(json.dumps({"servers": row[:3]}))

    def watched(conf):
        conf["list"] = {"file": str(path), "every_ms": 200}
        conf["servers"] = []

    small = Small(change=watched)
    small.stage.settings["servers"] = []

    def ask(first, count=25):
        for number in range(count):
            small.manifest(FREE, key=f"{first}{number}")
        small.run(1)

    ask("a")
    path.write_text(json.dumps({"servers": row})[:-1])  # half written, naming the fourth host
    small.run(2)
    ask("b")
    assert {each["host"] for each in small.seen("set_up_came")} == {f"host{n}:9000" for n in range(3)}
    path.write_text(json.dumps({"servers": [{**row[0], "state": "draining"}, *row[1:]]}))
    small.run(1)
    since = small.stage.now()
    ask("c")
    later = {each["host"] for each in small.seen("set_up_came") if each["at"] > since}
    assert later and "host0:9000" not in later and "host3:9000" in later


def test_sources_check_gives_the_same_verdict_offline(tmp_path):
    from test_config import good

    conf = good()
    conf["servers"] = []
    conf["list"] = {"file": str(tmp_path / "servers.json"), "every_ms": 200}
    settings = tmp_path / "gateway.json"
    settings.write_text(json.dumps(conf))
    new = tmp_path / "new.json"
    (tmp_path / "servers.json").write_bytes(text(1, 2, 3))
    new.write_bytes(text(1, 2, 4))
    result = CliRunner().invoke(main, ["sources", "check", str(new), "--settings", str(settings)])
    assert result.exit_code == 0 and "+ 10.0.0.4:9000" in result.output and "- 10.0.0.3:9000" in result.output
    new.write_bytes(text(99))
    result = CliRunner().invoke(main, ["sources", "check", str(new), "--settings", str(settings)])
    assert result.exit_code == 2 and "servers/0/cell" in result.output
    conf["list"]["every_ms"] = 900
    settings.write_text(json.dumps(conf))
    result = CliRunner().invoke(main, ["config", "check", str(settings)])
    assert result.exit_code == 2 and "twice 900 is over rules.drain_grace_ms, 1000" in result.output
