"""Tests the retry budget: what a gateway counts, and what an observer of the hosts may conclude from it."""

from dataclasses import replace

from helpers import S
from hypothesis import given
from hypothesis import strategies as st

from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.interface import AttemptBudget
from mintmast.lab import drills
from mintmast.lab.audit import Terms, audit

RULE = AttemptBudget(5 * S, 2, 0.5)
UNDER_WAY = S // 2
STEPS = st.lists(
    st.tuples(st.integers(0, S), st.booleans(), st.integers(0, UNDER_WAY)), min_size=20, max_size=150
)


def simulate(steps, gate):
    """Simulate viewers' requests and further attempts; return the violations seen by an observer of arrivals.

    Attempts that the budget allows arrive at a host with a delay.
    """
    rows, now = [], 0
    for number, (gap, asks, under_way) in enumerate(steps):
        now += gap
        if asks:
            gate.record_request(now)
            asked = {"gateway": "g", "asked_at": now, "paid": False, "left": True, "fault": None}
            rows.append({"at": now, "what": "request_over", "request": number, "status": 200, **asked})
        elif gate.allows(now):
            gate.record_attempt(now)
            came = {"host": "h", "session": f"s{number}", "epoch": number, "who": "gateway=g&start=1"}
            rows.append({"at": now + under_way, "what": "set_up_came", "came_from": "other", **came})
    rows.sort(key=lambda row: row["at"])
    floor = {True: 0, False: 0}
    terms = Terms(S, 0, floor, 0, RULE.span, UNDER_WAY, RULE.free, RULE.ratio)
    return audit(rows, terms).broken["budget"]


@given(STEPS)
def test_attempts_that_the_gateway_allows_never_exceed_the_budget_on_arrival(steps):
    assert not simulate(steps, RetryBudget(RULE))


def test_audit_detects_a_budget_that_counts_moves_as_requests():
    class MovesAsRequests(RetryBudget):
        """Counts the request of each move as if a viewer had made it."""

        def record_attempt(self, now):
            super().record_attempt(now)
            self.record_request(now)

    steps = [(S // 20, number % 4 == 0, 0) for number in range(100)]
    assert simulate(steps, MovesAsRequests(RULE)) and not simulate(steps, RetryBudget(RULE))


def test_rack_drain_in_a_large_fleet_keeps_the_budget():
    """Guards against moves that count as viewers' requests and so raise the budget.

    Found with 48 hosts, 8 gateways and 84 viewers a second.
    """
    day = replace(drills.DRILLS["drain-rack"].day, hosts=48, gateways=8, rate=84.0, uplink_kb=7800.0)
    report = drills.run("drain-rack", 777, "memory", day=replace(day, whole_s=14.0))
    seen = report["rules"]["budget"]
    assert seen["checked"] > 20 and not seen["broken"], seen
