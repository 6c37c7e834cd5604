"""Shutdowns of real processes on loopback under faults, audited from outside."""

import pytest

from mintmast.lab.soak.run import play
from mintmast.lab.soak.schedule import CASES

TRIES = 3  # of a run that says nothing, as the stand-ins themselves ran late


def play_in_time(schedule):
    for _ in range(TRIES):
        report = play(schedule)
        if not report.is_void:
            return report
    pytest.fail("the machine is too busy: the stand-ins ran late in each run")


@pytest.mark.parametrize(
    ("case", "seed"),
    [("restarts-hosts-hang", 1), ("restarts-hosts-fail", 2), ("restarts-short-deadlines", 3)],
)
def test_requests_on_open_connections_of_a_stopping_process_are_not_lost_at_the_kill(case, seed):
    report = play_in_time(CASES[case](seed))
    assert not report.broken, report.broken
    assert all(report.verdicts[rule].judged for rule in ("every request is answered", "no paid set-up twice"))
