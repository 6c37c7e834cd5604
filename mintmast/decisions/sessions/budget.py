"""The retry budget that a gateway enforces besides the placement module.

In any window of `span`, further attempts (a session sent again, or moved) are at most `free` plus `ratio` for
each request made by a viewer. Without this limit, attempts that no viewer requested overload a fleet that
already lacks capacity. The budget also protects hosts that are about to be switched off from a burst of
moves. Its cost is that moves must wait even if a drain is urgent.

The gateway checks the window that ends with each further attempt, at the time of sending. Between sending and
arrival, delays can push more attempts into a window as seen by the hosts. An observer of the hosts must
therefore shorten the window by the maximum delay to be certain of a violation.
`docs/design/fleet-rules.md` has the proof, `tests/test_budget.py` checks it with random sequences.
"""

from __future__ import annotations

from collections import deque

from mintmast.interface import AttemptBudget


class RetryBudget:
    """Counts further attempts and viewers' requests in the last window; without a rule allows everything."""

    def __init__(self, rule: AttemptBudget | None) -> None:
        self._rule = rule
        self._attempt_times: deque[int] = deque()
        self._request_times: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """Count a request made by a viewer, never one that the gateway makes on the viewer's behalf."""
        if self._rule is not None:
            self._request_times.append(now)

    def record_attempt(self, now: int) -> None:
        """Count a further attempt."""
        if self._rule is not None:
            self._attempt_times.append(now)

    def allows(self, now: int) -> bool:
        """Return whether one more further attempt is within the budget."""
        rule = self._rule
        if rule is None:
            return True
        for times in (self._attempt_times, self._request_times):
            while times and times[0] <= now - rule.span:
                times.popleft()
        return len(self._attempt_times) + 1 <= rule.free + rule.ratio * len(self._request_times)
