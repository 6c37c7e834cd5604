"""The scale run's sessions: counts of what one gateway does, never its times."""

import pytest

from mintmast.lab.scale import lists, sessions
from mintmast.lab.scale.bench import KEEP_ALIVE, LATENCY, NOTES_EVERY, SECOND
from mintmast.lab.scale.record import Row

HOSTS, HELD = 20, 200


@pytest.fixture
def held():
    made = sessions.Held(1, HOSTS)
    made.fill(HELD)
    made.tell()
    made.known()
    return made


def test_arrivals_keep_the_level_and_each_is_answered_once(held):
    held.window(rate=40, seconds=1.0)
    held.bench.run(held.bench.time + SECOND // 10)
    book, module = held.gateway.core.book, held.gateway.controller
    assert book.held == len(module.sessions) == HELD
    assert len(held.viewers) == 40 and not held.missed
    assert [viewer.answer.count(b"HTTP/1.1 ") for viewer in held.viewers] == [1] * 40
    assert all(viewer.answer.startswith(b"HTTP/1.1 200") and viewer.at for viewer in held.viewers)
    assert len(held.bench.sent["set_up"]) == 40 == len(held.module["request"])
    assert len(held.module["price"]) == 4  # one a quarter second, however many ask


def test_renewals_and_notes_come_at_the_rate_of_leases_and_hosts(held):
    lease = held.gateway.core.book.leases.length
    held.reset()
    held.bench.run(held.bench.time + 2 * lease)  # six rounds
    assert held.bench.renewed == 6 * HELD
    assert len(held.bench.sent["renew"]) == 6 * HOSTS
    ticks, links = (len(held.bench.spent[f"line.{kind}"]) for kind in ("tick", "link"))
    assert ticks == HOSTS * 2 * lease // KEEP_ALIVE
    assert abs(links - HOSTS * 2 * lease // NOTES_EVERY) <= HOSTS
    assert held.gateway.core.book.held == HELD and not held.bench.sent["rung"]


def test_a_herd_comes_on_top_and_a_poll_is_answered_with_where_it_plays(held):
    held.window(rate=100, seconds=0.2, level=False)
    held.bench.run(held.bench.time + SECOND // 10)
    assert held.gateway.core.book.held == HELD + 20
    held.polls(10)
    assert len(held.viewers) == 10
    assert all(b"PATHWAY-PRIORITY" in viewer.answer for viewer in held.viewers)


def test_a_turn_that_takes_its_time_holds_up_whoever_comes_meanwhile(held, monkeypatch):
    held.window(rate=100, seconds=0.2)
    held.bench.run(held.bench.time + SECOND // 10)
    least = {LATENCY, 2 * LATENCY}  # over a connection that stands, or a new one
    assert {viewer.at - viewer.wanted for viewer in held.viewers} <= least
    clock = iter(range(0, 10**15, 50_000_000))  # each look at it is 50 ms of the processor later
    monkeypatch.setattr("time.process_time_ns", lambda: next(clock))
    held.window(rate=100, seconds=1.0, paced=True)
    assert held.missed and len(held.viewers) + len(held.missed) == 100  # nobody who waits is left out
    assert all(viewer.at - viewer.wanted > 50_000 for viewer in held.viewers if viewer.at)


def test_a_change_of_the_list_hands_over_what_changed_and_no_more():
    told = lists.one_list(700, 1)
    assert (told["full_entries"], told["change_entries"]) == (700, 7)
    assert told["full_turns"] == 1 + 1 + 13 and told["change_turns"] == 1  # by slices, lines by fifties
    assert told["full_bytes"] == len(lists.text_of(700))


def test_rows_name_figure_unit_and_size_and_records_are_told_once():
    _, sent = lists.record_loop()
    made = lists._record_rows(50, 1) + lists._told_rows(50, 1)
    assert all(isinstance(row, Row) and row.size == 50 and "." in row.figure for row in made)
    assert {row.figure: row.value for row in made}["records.sent"] == sent > 100
