"""Judges the records of a run by the platform's rules; knows nothing of the gateway's inside."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mintmast.lab.soak import frames
from mintmast.lab.soak.records import Attempt, AttemptEnd, Records, Request
from mintmast.lab.soak.schedule import MS, SECOND, HostState

# µs after its time in which an answer is late but not lost; after SIGTERM in which a request may be left to
# SIGKILL; after a viewer's cancel in which an attempt may still begin; and in which a start must be ready
LATE_ANSWER_US, KILL_EXEMPT_US, CANCEL_GRACE_US, READY_US = 500 * MS, 700 * MS, 100 * MS, 10 * SECOND
SOCKET_SLACK_US = 50 * MS


@dataclass(slots=True)
class Verdict:
    """How many cases of a rule were judged, and a line for each that broke it."""

    judged: int = 0
    broken: list[str] = field(default_factory=list)

    def judge(self, is_kept: bool, describe: Callable[[], str]) -> None:
        """Count a case; `describe` returns its description and is called if the rule was broken."""
        self.judged += 1
        if not is_kept:
            self.broken.append(describe())


AttemptsByCall = dict[bytes, list[Attempt]]


def audit(records: Records, ended_at: int, drain_grace: int) -> dict[str, Verdict]:
    """Judge a run whose last moment was `ended_at`; return a verdict for each rule."""
    by_call: AttemptsByCall = {}
    for attempt in records.attempts:
        by_call.setdefault(attempt.call_id, []).append(attempt)
    return {
        "every request is answered": _judge_answers(records, ended_at),
        "one final answer": _judge_single_answers(records),
        "no paid set-up twice": _judge_paid_set_ups(records, by_call),
        "a refused request never ran": _judge_refusals(records, by_call),
        "no attempt after a cancel": _judge_cancels(records, by_call),
        "drains kept": _judge_drains(records, drain_grace),
        "no crash": _judge_ends(records),
        "ready in time": _judge_readiness(records, ended_at),
    }


def broken_lines(verdicts: dict[str, Verdict]) -> list[str]:
    """Return a line for each case that broke a rule."""
    return [f"{rule}: {line}" for rule, verdict in verdicts.items() for line in verdict.broken]


def _judge_answers(records: Records, ended_at: int) -> Verdict:
    verdict = Verdict()
    for request in records.requests.values():
        due = request.sent_at + request.timeout + LATE_ANSWER_US + SOCKET_SLACK_US
        if (
            request.cancelled_at is not None
            or request.was_sent_again
            or (due > ended_at and _is_open(request))
        ):
            continue
        if not request.answers and _is_left_to_kill(records, request):
            continue
        answered_at = request.answers[0].at if request.answers else None
        verdict.judge(answered_at is not None and answered_at <= due, partial(_describe, records, request))
    return verdict


def _is_open(request: Request) -> bool:
    return not request.answers and request.connection_ended_at is None


def _is_left_to_kill(records: Records, request: Request) -> bool:
    """Return whether SIGKILL found the request unanswered and the page does not count it as lost."""
    start = records.start_of(request.gateway, request.sent_at)
    killed_at = start.time_of(signal.SIGKILL) if start is not None else None
    if killed_at is None or request.connection_ended_at is None or request.connection_ended_at < killed_at:
        return False
    told_at = start.time_of(signal.SIGTERM)
    return told_at is None or request.sent_at <= told_at + KILL_EXEMPT_US


def _judge_single_answers(records: Records) -> Verdict:
    verdict = Verdict()
    for request in records.requests.values():
        if request.answers:
            verdict.judge(len(request.answers) == 1, partial(_describe, records, request))
    return verdict


def _judge_paid_set_ups(records: Records, by_call: AttemptsByCall) -> Verdict:
    verdict = Verdict()
    for call_id, attempts in by_call.items():
        request = records.requests.get(call_id)
        if request is not None and request.is_paid:
            may_have_run = [each for each in attempts if each.end is not AttemptEnd.REFUSED]
            verdict.judge(len(may_have_run) <= 1, partial(_describe, records, request))
    return verdict


def _judge_refusals(records: Records, by_call: AttemptsByCall) -> Verdict:
    verdict = Verdict()
    for request in records.requests.values():
        if request.is_paid and any(each.cause in frames.REFUSAL_CAUSES for each in request.answers):
            ran = [a for a in by_call.get(request.call_id, ()) if a.end is not AttemptEnd.REFUSED]
            verdict.judge(not ran, partial(_describe, records, request))
    return verdict


def _judge_cancels(records: Records, by_call: AttemptsByCall) -> Verdict:
    verdict = Verdict()
    for request in records.requests.values():
        if request.cancelled_at is not None:
            last = max((each.received_at for each in by_call.get(request.call_id, ())), default=0)
            verdict.judge(
                last <= request.cancelled_at + CANCEL_GRACE_US, partial(_describe, records, request)
            )
    return verdict


def _judge_drains(records: Records, drain_grace: int) -> Verdict:
    """Judge the attempts at hosts that drained or were gone, from the grace after the change was told."""
    verdict = Verdict()
    for attempt in records.attempts:
        since = _drained_since(records, attempt)
        if since is not None:
            late = attempt.received_at - since
            verdict.judge(late <= drain_grace + SOCKET_SLACK_US, partial(_describe_late, attempt, late))
    return verdict


def _describe_late(attempt: Attempt, late: int) -> str:
    return f"{attempt.call_id.hex()} to {attempt.host} {late / SECOND:.3f} s after its drain was told"


def _drained_since(records: Records, attempt: Attempt) -> int | None:
    """Return since when an attempt's host counted as draining or gone; None if it was ready."""
    since = None
    for notice in records.notices:
        if notice.host == attempt.host and notice.at <= attempt.received_at:
            since = None if notice.state is HostState.READY else since or notice.told_at
    return since


def _judge_ends(records: Records) -> Verdict:
    verdict = Verdict()
    for start in records.starts:
        if start.ended_at is not None:
            was_killed = start.time_of(signal.SIGKILL) is not None and start.exit_code == -signal.SIGKILL
            was_stopped = start.time_of(signal.SIGTERM) is not None and start.exit_code == 0
            describe = partial("{} ended with code {}".format, start.gateway, start.exit_code)
            verdict.judge(was_killed or was_stopped, describe)
    for line in records.tracebacks:
        verdict.judge(False, partial(str, line))
    return verdict


def _judge_readiness(records: Records, ended_at: int) -> Verdict:
    verdict = Verdict()
    for start in records.starts:
        is_known = start.ready_at is not None or ended_at - start.started_at > READY_US
        if is_known:
            ready_after = (start.ready_at or ended_at) - start.started_at
            describe = partial("{} was ready after {:.1f} s".format, start.gateway, ready_after / SECOND)
            verdict.judge(ready_after <= READY_US, describe)
    return verdict


def _describe(records: Records, request: Request) -> str:
    """Describe a request as the users' report does; times in s after SIGTERM where there was one."""
    start = records.start_of(request.gateway, request.sent_at)
    stop_at = start.time_of(signal.SIGTERM) if start is not None else None
    origin, name = (stop_at, "SIGTERM") if stop_at is not None else (request.sent_at, "sending")

    def show(at: int | None) -> str:
        return "never" if at is None else f"{(at - origin) / SECOND:+.3f}"

    def show_attempt(attempt: Attempt) -> str:
        end = attempt.end.value if attempt.end is not None else "open"
        return f"{attempt.host} {show(attempt.received_at)} to {show(attempt.ended_at)} {end}"

    kind = "paid" if request.is_paid else "free"
    attempts = [show_attempt(each) for each in records.attempts if each.call_id == request.call_id]
    answers = [f"{show(each.at)} cause {each.cause}" for each in request.answers]
    end = request.connection_end.value if request.connection_end else "open"
    return (
        f"{request.call_id.hex()} {kind} to {request.gateway}, seconds from {name}: "
        f"sent {show(request.sent_at)}, timeout {request.timeout / SECOND:g}, answers {answers}, "
        f"cancelled {show(request.cancelled_at)}, "
        f"connection {end} {show(request.connection_ended_at)}, attempts {attempts}"
    )
