"""Which messages to a viewer may not have arrived when its connection ends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class UnconfirmedMessage:
    """A sent answer or session end that may not have reached the viewer."""

    end_offset: int  # bytes that the connection has handed to the network once it is fully sent
    call_id: bytes
    frame: bytes
    is_session_end: bool  # else it is an answer


class DeliveryTracker:
    """The answers and session ends that were written on one connection and may not have been received.

    A viewer that closed before the write, or whose connection accepts no bytes, never receives them: the
    session would play without a viewer, or count as playing for ever. A message is tracked until the network
    has taken it, and until everything that the viewer had sent before it is read, as that may be its close.
    """

    def __init__(self) -> None:
        self._unconfirmed: deque[UnconfirmedMessage] = deque()
        self._settled_offset = 0

    @property
    def is_settled(self) -> bool:
        """Return whether no message waits for the viewer's bytes to be read."""
        return not self._unconfirmed or self._unconfirmed[-1].end_offset <= self._settled_offset

    def track(self, message: UnconfirmedMessage) -> None:
        """Track a message that was just written."""
        self._unconfirmed.append(message)

    def settle(self, bytes_written: int, bytes_sent: int) -> None:
        """Record that all bytes are read that the viewer sent before `bytes_written` bytes were written.

        `bytes_sent` is the number of bytes that the network has taken.
        """
        self._settled_offset = bytes_written
        while self._unconfirmed and self._unconfirmed[0].end_offset <= bytes_sent:
            self._unconfirmed.popleft()

    def take_undelivered(self, bytes_sent: int) -> list[UnconfirmedMessage]:
        """Return the messages that cannot have been received, now that the connection has ended."""
        arrived = min(bytes_sent, self._settled_offset)
        undelivered = [message for message in self._unconfirmed if message.end_offset > arrived]
        self._unconfirmed.clear()
        return undelivered
