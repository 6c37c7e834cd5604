"""The scale run: slopes on made data, the page from its runs, the command's bad input, a small fleet."""

import contextlib
import json
import math
import random
import sys
import time
import types
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from mintmast.cli import main
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.lab.crowd import SECOND
from mintmast.lab.scale import answers, applying, fleet, page, slopes
from mintmast.lab.scale.record import Row, load, made, save

CAPACITY = Path(__file__).parent.parent / "docs" / "capacity"
SIZES = (50, 200, 800, 3400)


def rows(value, sizes=SIZES, figure="made.up", unit="ms", seeds=(1, 2, 3), **more):
    return [Row(figure, unit, "gateways", n, value(n, s), s, **more) for n in sizes for s in seeds]


def fitted(value, sizes=SIZES):
    (one,) = slopes.series(rows(value, sizes))
    return one.fit


def run(*words):
    return CliRunner().invoke(main, ["scale", *map(str, words)])


@pytest.mark.parametrize(
    ("shape", "value"),
    [
        ("constant", lambda n: 7.0),
        ("log N", lambda n: 1 + 2 * math.log(n)),
        ("N", lambda n: 5 + 0.3 * n),
        ("N log N", lambda n: 5 + 0.3 * n * math.log(n)),
        ("N^2", lambda n: 5 + 0.003 * n * n),
    ],
)
def test_each_shape_is_found_under_noise_and_carried_on_to_larger_sizes(shape, value):
    draw = random.Random(shape)
    fit = fitted(lambda n, _: value(n) * draw.uniform(0.98, 1.02))
    assert fit.shape == shape and fit.residual < 0.03
    assert fit.at(34_000) == pytest.approx(value(34_000), rel=0.1) and fit.beyond(34_000) == 10


def test_small_sizes_count_as_much_as_large_ones():
    fit = fitted(lambda n, _: 10 + 0.001 * n * n)
    assert fit.at(50) == pytest.approx(12.5, rel=0.01)


def test_no_fit_of_too_few_sizes_or_of_sizes_too_close_and_none_that_falls_with_the_size():
    assert fitted(lambda n, _: n, SIZES[:3]) is None
    assert fitted(lambda n, _: n, (50, 60, 70, 80)) is None
    assert fitted(lambda n, _: 10 - n / 1000).shape == "constant"
    assert fitted(lambda n, _: 0).at(34_000) == 0


def test_noise_bends_no_curve():
    draw = random.Random(1)
    found = [fitted(lambda n, _: 7 * draw.uniform(0.95, 1.05)).shape for _ in range(50)]
    assert found.count("constant") >= 42


def test_what_the_sizes_leave_open_is_told_as_a_range():
    draw = random.Random(5)
    fit = fitted(lambda n, _: 1 + n * draw.uniform(0.8, 1.2), (50, 100, 150, 200))
    least, most = fit.between(3400)
    assert fit.rivals and least < 0.8 * most and least <= fit.at(3400) <= most


def test_the_size_at_which_a_need_passes_its_budget():
    fit = fitted(lambda n, _: 10 + 0.1 * n)
    assert slopes.breaks_at(fit, 110) == pytest.approx(1000, rel=0.01)
    assert slopes.breaks_at(fit, 5) == 1
    assert slopes.breaks_at(fitted(lambda n, _: 7), 8) is None


def test_points_give_least_most_and_mid_of_the_seeds_and_two_units_are_refused():
    (point,) = slopes.points(rows(lambda n, s: s * s, (50,)))
    assert (point.least, point.mid, point.most, point.count) == (1, 4, 9, 3)
    with pytest.raises(ValueError, match="in ms and in s"):
        slopes.series([*rows(lambda n, s: 1), *rows(lambda n, s: 1, unit="s")])


TOML = """
[targets]
gateways = { value = 6800, over = "gateways", why = "w" }
[budgets]
turn = { value = 0.36, unit = "s", why = "w" }
[assumed]
length = { value = 500, unit = "ms", why = "w" }
[[tables]]
name = "t"
title = "T"
rows = [
  { role = "a", figure = "made.up", budget = "turn", mechanism = "m" },
  { role = "b", figure = "other", budget = "turn", assumed = "length" },
  { role = "c", figure = "third", budget = "turn" },
  { role = "d", figure = "steep", budget = "turn", runs = "new*" },
]
[[tables]]
name = "s"
title = "S"
kind = "sizes"
rows = [{ figure = "made.*" }, { figure = "third" }]
[[tables]]
name = "n"
title = "N"
kind = "next"
"""


@pytest.fixture
def folder(tmp_path):
    home = tmp_path / "capacity"
    (home / "runs").mkdir(parents=True)
    (home / "tables.toml").write_text(TOML)
    (home / "page.md").write_text("# P\n\n<!-- table t -->\n\n<!-- table s -->\n\n<!-- table n -->\n")
    steep = rows(lambda n, s: 0.001 * n * n, figure="steep")
    save(made("one", "abc", {}, rows(lambda n, s: 1 + n / 10 + s / 10)), home / "runs" / "one.json")
    save(made("two", "abc", {}, steep), home / "runs" / "new-steep.json")
    save(made("old", "abc", {}, rows(lambda n, s: 1, figure="steep")), home / "runs" / "old.json")
    return home


def test_a_table_tells_what_is_measured_extrapolated_and_assumed_and_never_leaves_a_cell_empty(folder):
    text = page.write(folder)
    line = {each.split(":")[0][2:]: each for each in text.splitlines() if each.startswith("| ")}
    assert "50: 6.1..6.3;" in line["a"] and "N, residual" in line["a"] and "| m | one |" in line["a"]
    assert "681 ms at 6,800 gateways, extrapolated (×2) | 0.36 s | 1.89 |" in line["a"]
    assert "52.8% of the target" in line["a"]
    assert "500 ms at 6,800 gateways, assumed" in line["b"] and "not measured | not measured" in line["c"]
    assert "new-steep" in line["d"] and "old" not in line["d"]
    assert not [each for each in text.splitlines() if "|  |" in each and "role and figure" not in each]
    after = text[text.index("**N**") :]
    assert after.index("d: `steep`") < after.index("a: `made.up`")  # 600 gateways before 3,590
    assert "for want of a slope: b: `other`; c: `third`" in after


@pytest.mark.parametrize(
    ("prose", "told"),
    [
        ("made.up 50", "6.1..6.3 ms (measured)"),
        ("made.up gateways", "681 ms (extrapolated (×2))"),
        ("made.up gateways 6800", "681 ms (extrapolated (×2))"),
        ("nothing 50", "not measured"),
        ("target gateways", "6,800 gateways"),
        ("assumed length", "500 ms (assumed)"),
        ("breaks steep", "600 gateways, 8.82% of the target"),
    ],
)
def test_figures_in_prose(folder, prose, told):
    (folder / "page.md").write_text(f"it is {{{{{prose}}}}}.")
    assert page.write(folder).endswith(f"it is {told}.")


@pytest.mark.parametrize(
    ("file", "old", "new", "told"),
    [
        ("page.md", "table t ", "table none ", "no table none"),
        ("page.md", "# P", "{{made.up}}", "a figure and a size"),
        ("page.md", "# P", "{{made.up many}}", "neither a size nor a target"),
        ("page.md", "# P", "{{budget none}}", "no budget none"),
        ("tables.toml", 'budget = "turn"', 'budget = "none"', "no budget none"),
        ("tables.toml", 'role = "a"', 'rolle = "a"', "rolle"),
        ("tables.toml", '"s", why', '"MB", why', "do not go together"),
        ("tables.toml", "value = 0.36", "value = 0", "not above 0"),
        ("tables.toml", "[budgets]", "[budgets", "tables.toml: "),
        ("runs/one.json", '"rows"', '"lines"', "one.json: not a recorded run"),
        ("runs/one.json", '"unit":"ms"', '"unit":"MB"', "do not go together"),
    ],
)
def test_what_does_not_fit_is_told_in_a_line_and_writes_no_page(folder, file, old, new, told):
    text = (folder / file).read_text()
    assert old in text
    (folder / file).write_text(text.replace(old, new))
    done = run("page", "--folder", folder)
    assert done.exit_code == 2 and told in done.stderr and len(done.stderr.splitlines()) == 1
    assert not (folder.parent / "CAPACITY.md").exists()


def test_a_page_that_somebody_typed_into_is_found_out(folder):
    assert run("page", "--folder", folder).exit_code == 0
    assert run("page", "--check", "--folder", folder).exit_code == 0
    path = folder.parent / "CAPACITY.md"
    path.write_text(path.read_text().replace("1.89", "0.89"))
    assert run("page", "--check", "--folder", folder).exit_code == 1


def test_the_committed_page_is_what_its_runs_and_template_give():
    assert (CAPACITY.parent / "CAPACITY.md").read_text(encoding="utf-8") == page.write(CAPACITY)


def test_plots_are_small_and_come_of_what_is_measured(folder):
    lines = '{ figure = "made.up", budget = "turn" }, { figure = "third" }'
    (folder / "tables.toml").write_text(f'{TOML}\n[[plots]]\nname = "p"\ntitle = "P"\nlines = [{lines}]')
    done = run("plots", "--folder", folder)
    assert done.output == "p.svg: 1 curves\n" and 1000 < (folder / "p.svg").stat().st_size < 60_000


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("run", "nothing"), "nothing"),
        (("run", "fleet", "--sizes", "50,,200"), "numbers from 1 to"),
        (("run", "fleet", "--sizes", "0"), "numbers from 1 to"),
        (("run", "fleet", "--sizes", "1" * 400), "numbers from 1 to"),
        (("run", "fleet", "--sizes", "5"), "16 to 1000 gateways"),
        (("run", "fleet", "--seconds", "3"), "takes no --seconds"),
        (("run", "fleet", "--limit-s", "0"), "range"),
        (("run", "fleet", "--out", "/nowhere/at/all"), "no such folder"),
        (("fit", "/nowhere/at/all"), "No such file"),
        (("page", "--folder", "/nowhere/at/all"), "No such file"),
    ],
)
def test_bad_use_is_told_and_exits_2(words, told):
    done = run(*words)
    assert done.exit_code == 2 and told in done.stderr and "Traceback" not in done.stderr


def part(monkeypatch, play):
    module = types.ModuleType("mintmast.lab.scale.configuration")
    if play is not None:
        module.rows = play
    monkeypatch.setitem(sys.modules, module.__name__, module)


def test_a_part_that_is_not_there_is_told_in_a_line(monkeypatch):
    part(monkeypatch, None)
    done = run("run", "configuration")
    assert done.exit_code == 2 and done.stderr.startswith("mintmast: part configuration is not there")


@pytest.mark.parametrize("fault", ["late", "broken"])
def test_a_run_that_does_not_end_keeps_the_sizes_before(tmp_path, monkeypatch, fault):
    def play(sizes, seeds):
        if sizes == (200,):
            if fault == "broken":
                raise RuntimeError("it broke")
            with contextlib.suppress(Exception):  # a part that takes all faults for its own
                time.sleep(30)
        return rows(lambda n, s: n, sizes, seeds=seeds)

    part(monkeypatch, play)
    out = tmp_path / "run.json"
    done = run("run", "configuration", "--sizes", "50,200", "--limit-s", "1", "--out", out)
    kept = load(out)
    assert done.exit_code == 1 and [row.size for row in kept.rows] == [50, 50, 50]
    assert ("time limit" if fault == "late" else "it broke") in kept.settings["ended"]


def test_a_fit_is_told_as_a_table_and_as_json(folder):
    done = run("fit", folder / "runs" / "one.json", "--at", "6800")
    assert "made.up [ms, gateways, memory] 50: 6.1..6.3" in done.output
    assert "at 6,800: 681, extrapolated (×2)" in done.output
    (told,) = json.loads(run("fit", folder / "runs" / "one.json", "--json").output)
    assert told["fit"]["shape"] == "N" and told["points"][0]["size"] == 50


def test_a_small_fleet_goes_through_all_events_twice_alike(monkeypatch):
    monkeypatch.setattr(fleet, "CUT", 10.0)
    monkeypatch.setattr(fleet, "DENSE_SECONDS", 8.0)
    done = run("run", "fleet", "--sizes", "16", "--seeds", "3")
    told = msgspec.json.decode(done.stdout, type=dict)["rows"]
    value = {row["figure"].removeprefix("fleet."): row["value"] for row in told}
    again = fleet.rows((16,), (3,))
    assert len(again) == len(value) > 40 and value == {
        r.figure.removeprefix("fleet."): r.value for r in again
    }
    events = "start lost lost.back rack rack.back zone zone.back cut joined restarts day".split()
    for event in events:
        assert 0 < value[f"{event}.known"] < fleet.PATIENCE
        # a gateway says two to seven words a second of its own, and answers; with 28 bytes of headers a word
        assert 10 <= value[f"{event}.messages"] <= 100
        assert 28 * value[f"{event}.messages"] < value[f"{event}.sent"] <= value[f"{event}.sent_by_all"]
    assert value["lost.known"] > 1  # a suspicion stands for a second at least
    assert 0 < value["day.in_force"] < 18 and value["day.sent_mean"] < 2000


def test_the_course_of_paid_answers_and_that_of_changes_with_sessions_held():
    (row,) = applying.rows((200,), (1,))
    assert (row.figure, row.over, row.size) == ("configuration.apply", "sessions", 200) and row.value > 0
    for bad in (2, 101):
        with pytest.raises(ValueError, match="3 to 100 gateways"):
            answers.rows((bad,))


def test_paid_answers_over_processes_with_shared_settings_and_without(monkeypatch):
    monkeypatch.setattr(answers, "TURNS", 1)
    monkeypatch.setattr(answers, "SETTLE", 6.0)
    told = {row.figure: row for row in answers.rows((3,), (1,), 1.0)}
    assert set(told) == {
        f"paid.{what}" for what in "p50_alone p99_alone p50_shared p99_shared p99_ratio".split()
    }
    for kind in ("alone", "shared"):
        counts = [int(word) for word in told[f"paid.p99_{kind}"].note.split() if word.isdigit()]
        assert counts[0] >= 10 and (counts[2] > 0) == (kind == "shared")


def test_a_watch_waits_for_each_observer_and_for_the_life_that_it_was_told():
    course = fleet.Course(16, 1)
    course.run(10)
    lost, one = course.crowd.names[-1], course.crowd.names[0]
    course.crowd.vanish(lost)
    watch = course.watch([lost], there=False)
    now = course.crowd.now
    watch.saw(now + SECOND, one, lost, Liveness.SILENT, 1)  # one observer's word is no knowledge
    assert one in watch.waits
    watch.saw(now + SECOND, one, lost, Liveness.CONFIRMED, 1)
    assert one not in watch.waits and len(watch.waits) == 14 and watch.seconds() == (1, fleet.PATIENCE)
    course.until(watch)
    assert not watch.waits and watch.seconds()[1] < 10
    old = course.crowd.parts[one].others[lost].status.generation
    course.crowd.start(lost)
    back = course.watch([lost], there=True)
    back.saw(course.crowd.now, one, lost, Liveness.HEARD, old)  # a late word of the life before
    assert one in back.waits and lost not in back.waits
    back.drop(one)  # it ended itself, and is waited for no more
    assert one not in back.waits and len(back.waits) == 14
    back.drop(lost)
    assert not back.waits
