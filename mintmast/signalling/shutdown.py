"""Carries out a gateway's shutdown plan: accepts late connections, answers all requests, closes, ends."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.calls.shutdown import ShutdownPlan
from mintmast.loop import Listener, Loop
from mintmast.signalling.viewers import Viewers
from mintmast.telemetry.lines import LogFunction

# µs between checks of whether the next step is possible before its deadline
POLL_US = 50_000


class Shutdown:
    """One shutdown from SIGTERM to the end of the process.

    `end_unanswered` answers all requests that are submitted and unanswered; `on_stopped` ends the process.
    """

    def __init__(
        self,
        loop: Loop,
        plan: ShutdownPlan,
        listener: Listener,
        viewers: Viewers,
        end_unanswered: Callable[[], None],
        on_stopped: Callable[[], None],
        log: LogFunction,
    ) -> None:
        self.plan = plan
        self._loop, self._listener, self._viewers, self._log = loop, listener, viewers, log
        self._end_unanswered, self._on_stopped = end_unanswered, on_stopped
        loop.call_at(plan.listen_until, self._stop_listening)
        loop.call_at(plan.answer_by, end_unanswered)

    def _stop_listening(self) -> None:
        self._listener.finish()
        self._log("draining", **self._viewers.count_pending())
        self._wait_until_idle()

    def _wait_until_idle(self) -> None:
        """Close the connections once all answers are sent, or at the deadline."""
        now = self._loop.now()
        if self._must_wait(now):
            self._loop.call_at(min(now + POLL_US, self.plan.close_by), self._wait_until_idle)
        else:
            self._close_connections()

    def _must_wait(self, now: int) -> bool:
        if now >= self.plan.close_by:
            return False
        if self._viewers.has_open_set_ups():
            return True
        return now < self.plan.flush_until and self._viewers.has_pending_data()

    def _close_connections(self) -> None:
        """Refuse what was read too late, and close all connections.

        Answers that the peer has not read when a reset arrives are lost, so the peers' closes are waited for.
        """
        self._log("closing", connections=len(self._viewers.connections), **self._viewers.count_pending())
        self._viewers.refuse_queued()
        self._end_unanswered()
        self._viewers.close_all()
        self._wait_until_closed(self.plan.peers_close_by(self._loop.now()))

    def _wait_until_closed(self, wait_until: int) -> None:
        now = self._loop.now()
        if self._viewers.connections and now < wait_until:
            self._loop.call_at(min(now + POLL_US, wait_until), self._wait_until_closed, wait_until)
        else:
            self._on_stopped()
