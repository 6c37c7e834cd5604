"""Decides when to call a server that may be slow or gone, and which of the open calls to follow.

A call that has brought nothing for a while may have been lost, or the server may be slow to begin its answer.
The two look alike, so a further call is made while the earlier ones stay open (a hedged request; Dean and
Barroso, The tail at scale, 2013): the first call to bring data is followed, and the others are cancelled. To
cancel a slow call before the next is made would put the caller at the end of the server's queue each time.

Free of I/O: the caller passes the time in µs and carries out the commands that are returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# calls open at a time, which bounds the descriptors in use while the server does not answer
MAX_OPEN_CALLS = 5
# doublings of the retry delay that are counted
MAX_DOUBLINGS = 8


@dataclass(slots=True, frozen=True)
class CallTiming:
    """Times of calls to one server, in µs.

    One more call is made after `silence_timeout` without data, or when the newest has not connected after
    `connect_timeout` and the retry delay. The retry delay doubles with each call in a row that brings
    nothing, from `retry_delay` to `max_retry_delay` (exponential backoff).
    """

    silence_timeout: int
    connect_timeout: int
    retry_delay: int
    max_retry_delay: int


@dataclass(slots=True, frozen=True)
class StartCall:
    """Call the server."""

    number: int


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Cancel a call; nothing that it brings or reports afterwards counts."""

    number: int


Command = StartCall | CancelCall


@dataclass(slots=True)
class _OpenCall:
    number: int
    started_at: int
    is_connected: bool = False
    has_brought_data: bool = False


@dataclass(slots=True)
class HedgedCalls:
    """The open calls to a server. `next_check_at` is when the caller invokes `handle_timer`."""

    timing: CallTiming
    next_check_at: int = 0
    _calls: list[_OpenCall] = field(default_factory=list)  # the oldest first
    _last_number: int = 0
    _fruitless: int = 0  # calls started since the last success

    def start(self, now: int) -> list[Command]:
        """Cancel all calls and make a new one, for example to another address."""
        self._fruitless = 0
        return [*self._cancel_except(None), *self._call(now)]

    def restart_at(self, when: int) -> list[Command]:
        """Cancel all calls, and make a new one at `when`."""
        self.next_check_at = when
        return self._cancel_except(None)

    def handle_connected(self, number: int) -> None:
        """Note that a call's connection has come up."""
        for call in self._calls:
            if call.number == number:
                call.is_connected = True

    def handle_data(self, now: int, number: int) -> list[Command]:
        """Follow the call that brought data, and cancel the others."""
        self.next_check_at = now + self.timing.silence_timeout
        cancelled = self._cancel_except(number)
        for call in self._calls:
            call.is_connected = call.has_brought_data = True
        return cancelled

    def handle_success(self) -> None:
        """Note that what was asked for has come: the next failure is the first in a row."""
        self._fruitless = 0

    def handle_end(self, now: int, number: int, retry_at: int | None = None) -> None:
        """Note that a call has ended, and plan the next one, at `retry_at` or after the retry delay."""
        self._calls = [call for call in self._calls if call.number != number]
        self.next_check_at = retry_at if retry_at is not None else now + self._retry_delay()

    def handle_timer(self, now: int) -> list[Command]:
        """Make one more call if the newest has had its time, and cancel one if too many are open."""
        if now < self.next_check_at:
            return []
        if self._calls and now < (answer_by := self._answer_by(self._calls[-1])):
            self.next_check_at = answer_by
            return []
        commands: list[Command] = []
        if len(self._calls) >= MAX_OPEN_CALLS:
            dropped = self._least_useful_call()
            self._calls.remove(dropped)
            commands.append(CancelCall(dropped.number))
        return commands + self._call(now)

    def _call(self, now: int) -> list[Command]:
        self._last_number += 1
        self._fruitless += 1
        call = _OpenCall(self._last_number, now)
        self._calls.append(call)
        self.next_check_at = self._answer_by(call)
        return [StartCall(call.number)]

    def _answer_by(self, call: _OpenCall) -> int:
        """Return when one more call is due if this one brings nothing."""
        if call.is_connected:
            return call.started_at + self.timing.silence_timeout
        return call.started_at + self.timing.connect_timeout + self._retry_delay()

    def _retry_delay(self) -> int:
        doublings = min(max(0, self._fruitless - 1), MAX_DOUBLINGS)
        return min(self.timing.max_retry_delay, self.timing.retry_delay << doublings)

    def _least_useful_call(self) -> _OpenCall:
        """Return the oldest call that did not connect, else the one that fell silent, else the second oldest.

        The oldest one that waits for its answer stays open for as long as it takes: it is first in the
        server's queue. A call that has brought data is no longer in that queue.
        """
        for call in self._calls:
            if not call.is_connected:
                return call
        for call in self._calls:
            if call.has_brought_data:
                return call
        return self._calls[1]

    def _cancel_except(self, number: int | None) -> list[Command]:
        cancelled = [call for call in self._calls if call.number != number]
        self._calls = [call for call in self._calls if call.number == number]
        return [CancelCall(call.number) for call in cancelled]
