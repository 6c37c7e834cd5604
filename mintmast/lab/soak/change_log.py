"""A stand-in change log that sends a comment every second; the hosts of a run are all known at its start."""

from __future__ import annotations

from mintmast.lab.soak.schedule import SECOND
from mintmast.loop import CloseReason, Handler, Loop, Stream

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class StandInChangeLog:
    """A change log at an address."""

    def __init__(self, loop: Loop, place: tuple[str, int]) -> None:
        self.loop = loop
        self.connections: set[_Subscription] = set()
        self._listener = loop.listen(*place, lambda: _Subscription(self))

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.stream.abort()


class _Subscription(Handler):
    """A connection from a gateway."""

    def __init__(self, log: StandInChangeLog) -> None:
        self.log = log
        self.stream: Stream | None = None
        self._is_subscribed = False

    def opened(self, stream: Stream) -> None:
        self.stream = stream
        self.log.connections.add(self)

    def received(self, data: bytes) -> None:
        if not self._is_subscribed:
            self._is_subscribed = True
            self.stream.write(_HEAD)
            self._comment()

    def _comment(self) -> None:
        if self.stream is not None:
            self.stream.write(b": here\n\n")
            self.log.loop.call_at(self.log.loop.now() + SECOND, self._comment)

    def closed(self, reason: CloseReason) -> None:
        self.stream = None
        self.log.connections.discard(self)
