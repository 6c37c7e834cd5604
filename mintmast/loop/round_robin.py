"""Round robin over the work of many connections, so that none of them holds up the others.

A connection whose peer sends without pause could otherwise keep the loop busy with its messages alone. Each
member does a small step of its work at a time, and all of them together a bounded number of steps in each
iteration of the loop. As in deficit round robin (Shreedhar and Varghese, 1995) members with work left take
turns; one that comes with new work goes first, once, as in FlowQueue-CoDel (RFC 8290), so that a peer that
sends little does not wait for all that send much.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.loop.base import Loop, Timer

# does a part of a member's work; returns whether more is left
Step = Callable[[], bool]


class RoundRobin:
    """Runs the steps of its members in turn, at most `steps_per_turn` in one iteration of the loop."""

    def __init__(self, loop: Loop, steps_per_turn: int) -> None:
        self._loop, self._steps_per_turn = loop, steps_per_turn
        # members that were not run since they were added, and the others, each in the order of their turns
        self._new: dict[Step, None] = {}
        self._waiting: dict[Step, None] = {}
        self._steps_at_once = steps_per_turn  # steps that may be run without waiting
        self._timer: Timer | None = None

    def add(self, step: Step) -> None:
        """Run `step` once what is ready has been read, and again in later iterations while work is left."""
        if step not in self._waiting:
            self._new[step] = None
        self._schedule()

    def run_or_add(self, step: Step) -> None:
        """Run `step` at once if no member waits and few steps were run so, else like `add`."""
        if self._new or self._waiting or not self._steps_at_once:
            self.add(step)
            return
        self._steps_at_once -= 1
        if step():
            self._waiting[step] = None
        if self._waiting or not self._steps_at_once:
            self._schedule()

    def remove(self, step: Step) -> None:
        """Run `step` no more; does nothing if it does not wait."""
        self._new.pop(step, None)
        self._waiting.pop(step, None)

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_soon(self._run_some)

    def _run_some(self) -> None:
        # the next iteration is scheduled first, as a step that raises must not stop the others
        self._timer = self._loop.call_at(self._loop.now() + 1, self._run_some)
        self._steps_at_once = self._steps_per_turn
        for _ in range(self._steps_per_turn):
            if not (self._new or self._waiting):
                self._timer.cancel()
                self._timer = None
                return
            self._run_next()

    def _run_next(self) -> None:
        step = next(iter(self._new or self._waiting))
        self.remove(step)
        self._waiting[step] = None  # before it is run, as it stays a member if it raises
        if not step():
            self._waiting.pop(step, None)
