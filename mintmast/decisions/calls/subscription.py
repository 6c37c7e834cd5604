"""Decides when the gateway calls the change log, and which of its calls it follows.

A call that has brought nothing for a while may have been lost, or the log may be slow to begin its answer.
The two look alike, so a further call is made while the earlier ones stay open (a hedged request; Dean and
Barroso, The tail at scale, 2013): the first call to bring data is followed, and the others are cancelled. To
cancel a slow call before the next is made would put the gateway at the end of the log's queue each time.

Free of I/O: the caller passes the time in µs and carries out the commands that are returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# µs without data on the calls after which one more is made. The log sends a comment every second, and the
# platform expects each change to be known to the gateway within 4 s.
SILENCE_TIMEOUT_US = 2_200_000
# µs for a connection to come up before one more call is made
CONNECT_TIMEOUT_US = 250_000
# µs between calls that fail: exponential backoff, doubled with each call in a row up to the maximum
RETRY_DELAY_US, MAX_RETRY_DELAY_US = 20_000, 500_000
# calls open at a time, which bounds the descriptors in use while the log does not answer
MAX_OPEN_CALLS = 5


@dataclass(slots=True, frozen=True)
class StartCall:
    """Call the change log."""

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


@dataclass(slots=True)
class Subscription:
    """The open calls to the change log. `next_check_at` is when the caller invokes `handle_timer`."""

    next_check_at: int = 0
    _calls: list[_OpenCall] = field(default_factory=list)  # the oldest first
    _last_number: int = 0
    _fruitless: int = 0  # calls started since the last event

    def start(self, now: int) -> list[Command]:
        """Cancel all calls and make a new one, for example to another address."""
        self._fruitless = 0
        return [*self._cancel_except(None), *self._call(now)]

    def restart_later(self, now: int) -> list[Command]:
        """Cancel all calls, and make a new one after the shortest delay."""
        self.next_check_at = now + RETRY_DELAY_US
        return self._cancel_except(None)

    def handle_connected(self, number: int) -> None:
        """Note that a call's connection has come up."""
        for call in self._calls:
            if call.number == number:
                call.is_connected = True

    def handle_data(self, now: int, number: int) -> list[Command]:
        """Follow the call that brought data, and cancel the others."""
        self.handle_connected(number)
        self.next_check_at = now + SILENCE_TIMEOUT_US
        return self._cancel_except(number)

    def handle_event(self) -> None:
        """Note that an event was received: the next failure is the first in a row."""
        self._fruitless = 0

    def handle_end(self, now: int, number: int) -> None:
        """Note that a call has ended, and plan the next one."""
        self._calls = [call for call in self._calls if call.number != number]
        self.next_check_at = now + self._retry_delay()

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
            return call.started_at + SILENCE_TIMEOUT_US
        return call.started_at + CONNECT_TIMEOUT_US + self._retry_delay()

    def _retry_delay(self) -> int:
        doublings = min(max(0, self._fruitless - 1), 8)
        return min(MAX_RETRY_DELAY_US, RETRY_DELAY_US << doublings)

    def _least_useful_call(self) -> _OpenCall:
        """Return the oldest call that did not connect, else the second oldest.

        The oldest one that connected stays open for as long as it takes, as it is first in the log's queue.
        """
        unconnected = [call for call in self._calls if not call.is_connected]
        return unconnected[0] if unconnected else self._calls[1]

    def _cancel_except(self, number: int | None) -> list[Command]:
        cancelled = [call for call in self._calls if call.number != number]
        self._calls = [call for call in self._calls if call.number == number]
        return [CancelCall(call.number) for call in cancelled]
