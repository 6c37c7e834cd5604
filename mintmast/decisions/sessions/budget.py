"""The budget of further attempts, as a gateway keeps it beside the module.

The rule: in any window of `span`, further attempts (a session sent once more, or moved) are at most `free`
plus `ratio` for each request that a viewer made. Danger: attempts that stand for nothing a viewer asked drown
a fleet that is short already. It also guards hosts that are about to switch off from a wave of moves. It may
hurt where a drain must be quick: moves wait for their turn.

The gateway looks at the window that ends with each further attempt, at the time of sending. A window that an
observer of the hosts takes can be wider by what passes between sending and arrival, so he must shorten his by
that much to be sure of a breach; `docs/design/fleet-rules.md` has the argument, `tests/test_budget.py` draws
it.
"""

from __future__ import annotations

from collections import deque

from mintmast.interface import AttemptBudget


class RetryBudget:
    """Further attempts and viewers' requests of the last window. Without a rule everything is allowed."""

    def __init__(self, rule: AttemptBudget | None) -> None:
        self._rule = rule
        self._attempt_times: deque[int] = deque()
        self._request_times: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """Count a request of a viewer; never one that the gateway makes for him."""
        if self._rule is not None:
            self._request_times.append(now)

    def record_attempt(self, now: int) -> None:
        """Count a further attempt."""
        if self._rule is not None:
            self._attempt_times.append(now)

    def allows(self, now: int) -> bool:
        """Tell whether one more further attempt stays in the budget."""
        rule = self._rule
        if rule is None:
            return True
        for times in (self._attempt_times, self._request_times):
            while times and times[0] <= now - rule.span:
                times.popleft()
        return len(self._attempt_times) + 1 <= rule.free + rule.ratio * len(self._request_times)
