"""Settings, command line, log, metrics, traces, saved list."""

import copy
import io
import json

import jsonschema
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from mintmast.cli import main
from mintmast.config import SCHEMA, ConfigError, parse
from mintmast.hosts.protocol import encode_event, encode_load, parse_load
from mintmast.http.events import EventReader
from mintmast.interface import ListEntry, ServerState
from mintmast.lab.drills import Day, settings
from mintmast.lab.stage import ACCESS, SESSION
from mintmast.sources.fixed import SavedList
from mintmast.telemetry.lines import make_log_function
from mintmast.telemetry.metrics import Metrics, Traces


def good():
    conf = settings(Day())
    conf["tokens"] = {"access": [ACCESS], "session": [SESSION]}
    conf["servers"] = [{"address": f"127.0.0.1:{9000 + n}", "cell": n} for n in range(4)]
    return conf


def test_schema_is_a_schema_and_takes_what_the_drills_use():
    jsonschema.Draft202012Validator.check_schema(SCHEMA)
    config = parse(good())
    assert config.settings.rung_kb == (4.0, 8.0, 16.0, 32.0) and config.settings.classes[0].seats == 6
    assert config["limits"]["header_ms"] == 5000  # a default


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        (("classes", 0, "deadline_ms"), "soon", ["classes/0/deadline_ms", '"soon"', "integer"]),
        (("classes", 0, "effect"), "twice", ["classes/0/effect", '"twice"', "single_shot"]),
        (("classes", 0, "flor"), 1, ["classes/0", "unknown key flor", "floor"]),
        (("ladder", 0, "kb"), 99.0, ["ladder", "rising"]),
        (("servers", 1, "address"), "127.0.0.1:9000", ["servers/1/address", "twice"]),
        (("servers", 1, "address"), "127.0.0.1:70000", ["servers/1/address", "port"]),
        (("servers", 1, "cell"), 99, ["servers/1/cell", "99", "8"]),
        (("servers", 1, "kind"), 3, ["servers/1/kind", "fleet.kinds"]),
        (("instance",), 5, ["instance", "5", "3"]),
        (("classes", 1, "name"), "paid-film", ["classes", "twice"]),
        (("limits", "answer_margin_ms"), 2500, ["deadline_ms", "2000", "margin"]),
    ],
)
def test_each_error_names_its_place_the_value_and_what_is_allowed(path, value, words):
    conf = copy.deepcopy(good())
    at = conf
    for part in path[:-1]:
        at = at[part]
    at[path[-1]] = value
    with pytest.raises(ConfigError) as caught:
        parse(conf)
    assert all(word in caught.value.errors[0] for word in words), caught.value.errors


def test_all_errors_are_told_at_once_and_the_exit_code_is_two(tmp_path):
    conf = good()
    conf["zone"], conf["seed"], conf["nothing"] = -1, "x", 1
    file = tmp_path / "c.json"
    file.write_text(json.dumps(conf))
    result = CliRunner().invoke(main, ["config", "check", str(file)])
    assert result.exit_code == 2 and len(result.output.strip().splitlines()) == 3
    for text in ("{", "[]", ""):
        file.write_text(text)
        assert CliRunner().invoke(main, ["serve", str(file)]).exit_code == 2
    file.write_text(json.dumps(good()))
    assert CliRunner().invoke(main, ["config", "check", str(file)]).exit_code == 0


@given(
    st.recursive(st.none() | st.integers() | st.text(), lambda x: st.lists(x) | st.dictionaries(st.text(), x))
)
def test_no_json_whatever_breaks_the_reader_of_settings(value):
    with pytest.raises(ConfigError):
        parse(value)


@given(st.text(max_size=60))
def test_load_header_is_read_or_passed_over(text):
    for form in (text, f"JSON {text}", f"TEXT {text}"):
        assert len(parse_load(form, ("x0",))) in (0, 1)
    assert parse_load(encode_load({"x0": 0.5, "x1": 2}), ("x0", "x1")) == (0.5, 2.0)
    assert parse_load("TEXT named_metrics.x0=0.25,cpu_utilization=1", ("x0",)) == (0.25,)
    assert parse_load('JSON {"named_metrics":{"x0":NaN}}', ("x0",)) == ()


@given(st.lists(st.binary(max_size=20)), st.integers(1, 9))
def test_event_lines_are_read_whole_in_any_pieces_and_rubbish_ends_the_line(rubbish, size):
    seen = []
    reader = EventReader(lambda kind, fields: seen.append((kind, fields)))
    data = b": \n\n" + encode_event("link", value=0.5) + encode_event("ended", session="a")
    for at in range(0, len(data), size):
        assert reader.feed(data[at : at + size])
    assert seen == [("link", {"value": 0.5}), ("ended", {"session": "a"})]
    for each in rubbish:
        reader.feed(each)
    assert EventReader(seen.append).feed(b"data: [1]\n\n") is False
    assert EventReader(seen.append).feed(b"x" * 70_000) is False


def test_log_lines_metrics_and_traces_tell_of_a_request():
    sink = io.StringIO()
    say = make_log_function(sink, lambda: 1.5, gateway="g1")
    traces, metrics = Traces(1.0, 1, say, lambda: 1.5), Metrics()
    attempt = {"session": "g1-1-1", "attempt": 0, "host": "h", "evidence": "started", "took_ms": 5.0}
    request = {"ask": 1, "session": "g1-1-1", "verdict": "plays", "took_ms": 7.0}
    for name, fields in (("attempt", attempt), ("request", request)):
        say(name, **fields)
        traces.take(name, fields)
        metrics.take(name, fields)
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert lines[0] == {"gateway": "g1", "event": "attempt", "at": 1.5, **attempt}
    child, parent = (line for line in lines if line["event"] == "span")
    assert child["parent"] == parent["span"] and child["trace"] == parent["trace"]
    assert child["end_ns"] - child["start_ns"] == 5_000_000
    assert b'mintmast_answers_total{verdict="plays"} 1.0' in metrics.text()


def test_saved_list_comes_back_whole_or_not_at_all(tmp_path):
    told = []
    saved = SavedList(tmp_path / "list.json", lambda event, **fields: told.append(event))
    assert saved.load() is None and not told
    entries = (ListEntry(b"h:1", ServerState.DRAINING, 5, 1, 0, 0, 1.5),)
    saved.save(entries)
    assert saved.load() == entries
    text = saved.path.read_text()
    for cut in range(len(text)):
        saved.path.write_text(text[:cut])
        assert saved.load() is None
    SavedList(tmp_path / "no" / "list.json", lambda event, **fields: told.append(event)).save(entries)
    assert told[-1] == "saved_list_unwritten"
