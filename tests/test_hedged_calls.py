"""Hedged calls to a change log that is slow, hangs or cannot be reached."""

import pytest

from mintmast.decisions.calls.discovery import CHANGE_LOG_TIMING
from mintmast.decisions.hedged_calls import MAX_OPEN_CALLS, HedgedCalls, StartCall

MS, S = 1_000, 1_000_000
NEVER = 1_000 * S


class Log:
    """A change log on a virtual clock; records when each call began and when data came.

    `behaviour(now)` returns, for a call begun at `now`, the delays in µs until it connects and until it
    brings data, or None for a call that is refused.
    """

    def __init__(self, behaviour):
        self.behaviour, self.calls, self.now = behaviour, HedgedCalls(CHANGE_LOG_TIMING), 0
        self.open, self.begun, self.heard, self.most_open = {}, [], [], 0
        self.execute(self.calls.start(0))

    def execute(self, commands):
        for command in commands:
            if not isinstance(command, StartCall):
                del self.open[command.number]
                continue
            self.begun.append(self.now)
            delays = self.behaviour(self.now)
            if delays is None:
                self.calls.handle_end(self.now, command.number)
            else:
                self.open[command.number] = [self.now + delay for delay in delays]
        self.most_open = max(self.most_open, len(self.open))

    def run(self, until):
        """Advance in steps of 10 ms; a call that has brought data does so every second."""
        while self.now < until:
            self.now += 10 * MS
            for number, (connects_at, data_at) in list(self.open.items()):
                if connects_at <= self.now:
                    self.calls.handle_connected(number)
                if data_at <= self.now and number in self.open:
                    self.heard.append(self.now)
                    self.open[number][1] += S
                    self.execute(self.calls.handle_data(self.now, number))
            self.execute(self.calls.handle_timer(self.now))

    def first_heard(self, after=0):
        return next(at for at in self.heard if at >= after)


@pytest.mark.parametrize("delay", [int(2.5 * S), int(3.9 * S), 10 * S, 40 * S])
def test_a_log_that_begins_each_answer_late_is_heard_by_the_first_call(delay):
    """Guards against cancelling each call before the log begins to answer, so that no call is ever heard."""
    log = Log(lambda now: (MS, delay))
    log.run(delay + 5 * S)
    assert log.first_heard() <= delay + 10 * MS
    assert len(log.open) == 1 and log.most_open <= MAX_OPEN_CALLS


@pytest.mark.parametrize("connect", [300 * MS, S, 3 * S])
def test_a_log_whose_connections_come_up_late_is_heard(connect):
    """Guards against giving up each connection before it comes up."""
    log = Log(lambda now: (connect, connect + MS))
    log.run(8 * S)
    assert log.first_heard() <= 6 * S and log.most_open <= MAX_OPEN_CALLS and len(log.open) == 1


@pytest.mark.parametrize("connects", [True, False])
@pytest.mark.parametrize("delay", [10 * MS, int(2.5 * S), int(3.7 * S)])
def test_a_change_is_known_6_s_after_an_outage_of_two_minutes(connects, delay):
    """Guards against calls of an outage that fill the bound, and keep the calls after it from being heard."""
    end = 120 * S
    lost = (MS if connects else NEVER, NEVER)
    log = Log(lambda now: lost if now < end else (MS, delay))
    log.run(end + 10 * S)
    assert log.first_heard() <= end + 6 * S
    assert log.most_open <= MAX_OPEN_CALLS and len(log.open) == 1


def test_a_watch_that_falls_silent_is_kept_until_a_further_call_brings_data():
    """Guards against missing what a watch brings after a pause that is longer than the silence timeout."""
    log = Log(lambda now: (MS, MS) if now == 0 else (MS, NEVER))
    log.run(S // 2)
    (watch,) = log.open
    log.open[watch][1] = 4 * S
    log.run(3 * S)
    assert watch in log.open and len(log.open) == 2
    log.run(int(4.1 * S))
    assert list(log.open) == [watch]


@pytest.mark.parametrize("delay", [int(3.9 * S), 9 * S, 40 * S])
def test_a_log_that_answers_late_is_heard_after_the_followed_watch_fell_silent(delay):
    """Guards against keeping the silent watch in place of the call that has waited longest for its answer."""
    log = Log(lambda now: (MS, MS) if now == 0 else (MS, delay))
    log.run(S // 2)
    (watch,) = log.open
    log.open[watch][1] = NEVER
    log.run(60 * S)
    silent_since = log.heard[0]
    assert log.first_heard(after=silent_since + 1) <= silent_since + int(2.2 * S) + delay + 20 * MS
    assert log.most_open <= MAX_OPEN_CALLS and len(log.open) == 1


def test_refused_calls_back_off_and_start_anew_after_an_event():
    """Guards against a log that is down being called without pause."""
    log = Log(lambda now: None)
    log.run(5 * S)
    gaps = [later - earlier for earlier, later in zip(log.begun, log.begun[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[0] <= 30 * MS and max(gaps) <= 510 * MS and len(log.begun) < 20
    log.calls.handle_success()
    log.calls.handle_end(log.now, 0)
    assert log.calls.next_check_at == log.now + 20 * MS
