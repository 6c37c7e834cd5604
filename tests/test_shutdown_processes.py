"""Shutdowns of real processes on loopback under faults, audited from outside."""

import signal
from dataclasses import replace

import pytest
from click.testing import CliRunner

from mintmast.cli import main
from mintmast.http.client import Reply
from mintmast.lab.drills import FREE
from mintmast.lab.drills.day import Day, model, settings
from mintmast.lab.loopback import LoopbackStage
from mintmast.lab.soak.run import play
from mintmast.lab.soak.schedule import CASES

TRIES = 3  # of a run that says nothing, as the stand-ins themselves ran late


def play_in_time(schedule):
    seen = []
    for _ in range(TRIES):
        report = play(schedule)
        if not report.is_void:
            return report
        stall, excuse = report.records.longest_stall, report.records.longest_excuse_delay
        seen.append(f"stand-ins {stall} µs late, excuses {excuse} µs late, broken: {report.broken}")
    pytest.fail("\n".join(["the machine is too busy: the stand-ins ran late in each run", *seen]))


@pytest.mark.parametrize(
    ("case", "seed"),
    [("restarts-hosts-hang", 1), ("restarts-hosts-fail", 2), ("restarts-short-deadlines", 3)],
)
def test_requests_on_open_connections_of_a_stopping_process_are_not_lost_at_the_kill(case, seed):
    report = play_in_time(CASES[case](seed))
    assert not report.broken, report.broken
    assert all(report.verdicts[rule].judged for rule in ("every request is answered", "no paid set-up twice"))


def test_a_request_read_before_sigterm_is_answered_by_the_process_of_mintmast_serve():
    day = Day(hosts=4)
    conf = settings(day)
    for title in conf["titles"].values():
        title["copies"] = 4
    stage = LoopbackStage(1, conf, replace(model(day), set_up_time=300_000))
    try:
        for number in range(4):
            stage.start_host(number)
        stage.start_gateway(0)
        stage.wait_for_gateways()
        stage.loop.run(stage.now() + 7_000_000)  # until the hosts no longer count as cold
        process, replies = stage._processes[0], []
        token = stage.token("viewer", "north-tv", FREE, 3, "key")
        place = stage.address, stage._port(stage.machine(0))
        stage.client.call(
            place,
            "GET",
            "/dash/gate-1/manifest.mpd",
            replies.append,
            [("Authorization", f"Bearer {token}")],
            deadline=stage.now() + 10_000_000,
        )
        stage.loop.run(stage.now() + 150_000)
        process.send_signal(signal.SIGTERM)
        until = stage.now() + 10_000_000
        while not replies and stage.now() < until:
            stage.loop.run(stage.now() + 10_000)
        assert isinstance(replies[0], Reply) and replies[0].status == 200, replies
        assert process.wait(10) == 0
    finally:
        stage.close()


def test_the_soak_command_refuses_an_unknown_case():
    done = CliRunner().invoke(main, ["soak", "--case", "no-such-case"])
    assert done.exit_code == 2 and "restarts-hosts-hang" in done.stderr
