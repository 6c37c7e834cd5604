"""A stand-in change log: server-sent events, a comment every second; it can fall silent or go down."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from mintmast.lab.soak.schedule import SECOND, HostState, LogMode
from mintmast.loop import CloseReason, Handler, Listener, Loop, Stream

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
_ID_HEADER = "last-event-id:"


class StandInChangeLog:
    """A change log at an address; `entry_of` gives a host's entry for a state."""

    def __init__(
        self, loop: Loop, place: tuple[str, int], entry_of: Callable[[int, HostState], dict[str, Any]]
    ) -> None:
        self.loop, self._place, self._entry_of = loop, place, entry_of
        self.connections: set[_Subscription] = set()
        self.events: list[dict[str, Any]] = []  # numbered from 2: all gateways start with the first
        self.states: dict[int, HostState] = {}
        self._listener: Listener | None = loop.listen(*place, lambda: _Subscription(self))

    @property
    def last_number(self) -> int:
        """Return the number of the newest event."""
        return 1 + len(self.events)

    def change(self, host: int, state: HostState) -> None:
        """Add a change, and send it to the open watches."""
        self.states[host] = state
        number = self.last_number + 1
        fleet = {"version": number, "full": False, "servers": [self._entry_of(host, state)]}
        self.events.append({"seq": number, "fleet": fleet})
        for connection in list(self.connections):
            connection.send_news()

    def set_mode(self, mode: LogMode | None) -> None:
        """Fall silent on the open watches or go down, or end that with None."""
        if mode is LogMode.SILENT:
            for connection in self.connections:
                connection.is_silent = True
        elif mode is LogMode.DOWN:
            self.close()
        elif self._listener is None:
            self._listener = self.loop.listen(*self._place, lambda: _Subscription(self))

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.stream.abort()


class _Subscription(Handler):
    """A connection from a gateway."""

    def __init__(self, log: StandInChangeLog) -> None:
        self.log = log
        self.stream: Stream | None = None
        self.is_silent = False
        self._next: int | None = None  # number of the next event to send, once it is known
        self._head = b""

    def opened(self, stream: Stream) -> None:
        self.stream = stream
        self.log.connections.add(self)

    def received(self, data: bytes) -> None:
        self._head += data
        if self._next is None and b"\r\n\r\n" in self._head:
            lines = self._head.decode().lower().split("\r\n")
            self._next = 1 + next(
                int(line.removeprefix(_ID_HEADER)) for line in lines if line.startswith(_ID_HEADER)
            )
            self.stream.write(_HEAD)
            self.send_news()
            self._comment()

    def send_news(self) -> None:
        """Send the events that this watch has not got yet."""
        while not self.is_silent and self._next is not None and self._next <= self.log.last_number:
            event = self.log.events[self._next - 2]
            self.stream.write(f"id: {self._next}\ndata: {json.dumps(event)}\n\n".encode())
            self._next += 1

    def _comment(self) -> None:
        if self.stream is not None:
            if not self.is_silent:
                self.stream.write(b": here\n\n")
            self.log.loop.call_at(self.log.loop.now() + SECOND, self._comment)

    def closed(self, reason: CloseReason) -> None:
        self.stream = None
        self.log.connections.discard(self)
