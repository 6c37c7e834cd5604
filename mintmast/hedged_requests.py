"""Carries out hedged calls over HTTP: sends and cancels the requests that `HedgedCalls` decides on."""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.hedged_calls import CallTiming, Command, HedgedCalls, StartCall
from mintmast.http.client import Call
from mintmast.loop import Loop, Timer


class HedgedRequests:
    """The open requests to one server, by number.

    `send` sends the request of a number and returns its call. `on_late` is called before a further request is
    sent beside the open ones, because the newest of them is late.
    """

    def __init__(
        self, loop: Loop, timing: CallTiming, send: Callable[[int], Call], on_late: Callable[[], None]
    ) -> None:
        self.open: dict[int, Call] = {}
        self._loop, self._send, self._on_late = loop, send, on_late
        self._calls = HedgedCalls(timing)
        self._timer: Timer | None = None

    def start(self) -> None:
        """Cancel all requests and send a new one."""
        self._execute(self._calls.start(self._loop.now()))

    def restart_at(self, when: int) -> None:
        """Cancel all requests, and send a new one at `when` (µs)."""
        self._execute(self._calls.restart_at(when))

    def handle_data(self, number: int) -> None:
        """Follow the request that brought data, and cancel the others."""
        self._execute(self._calls.handle_data(self._loop.now(), number))

    def handle_success(self) -> None:
        """Note that what was asked for has come: the next failure is the first in a row."""
        self._calls.handle_success()

    def handle_end(self, number: int, retry_at: int | None = None) -> bool:
        """Note that a request has ended, and plan the next, at `retry_at` (µs) or after the retry delay.

        Return False if the request was cancelled here before.
        """
        if self.open.pop(number, None) is None:
            return False
        self._calls.handle_end(self._loop.now(), number, retry_at)
        self._execute([])
        return True

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                self.open[command.number] = self._send(command.number)
            elif (call := self.open.pop(command.number, None)) is not None:
                call.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._calls.next_check_at, self._check)

    def _check(self) -> None:
        for number, call in self.open.items():
            if call.is_connected:
                self._calls.handle_connected(number)
        commands = self._calls.handle_timer(self._loop.now())
        if commands and self.open:
            self._on_late()
        self._execute(commands)
