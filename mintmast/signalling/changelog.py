"""Client of the platform's change log: service discovery by server-sent events over HTTP.

A new connection resumes after the last event received, by `Last-Event-ID`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mintmast.http.client import Address, Call, Fault, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.loop import Loop, Timer

# µs without a byte after which the client reconnects. The log sends a comment every second, and the platform
# expects each change to be known to the gateway within 4 s.
SILENT = 2_200_000
# µs between reconnections: exponential backoff, doubled with each failure in a row up to the maximum
AGAIN, AGAIN_MOST = 20_000, 500_000
# bytes of one event: enough for a full list of several thousand hosts
MOST_EVENT = 4 << 20


class ChangeLog:
    """Follows the log at `address` after sequence number `seq` and passes each event on once, in order.

    An event that a broken connection cut off is dropped and requested again; duplicates are ignored.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        seq: int,
        take: Callable[[dict[str, Any]], None],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.seq = loop, address, seq
        self._take, self._say = take, say
        self._client = HttpClient(loop)
        self._call: Call | None = None
        self._reader = EventReader(self._event, MOST_EVENT)
        self._fails = self._heard = 0
        self._version = -1  # the highest list version received
        self._gap: int | None = None
        self._timer: Timer | None = loop.call_soon(self._ask)

    def move(self, address: Address) -> None:
        """Follow the log at another address, from the same sequence number on."""
        if address != self.address:
            self.address, self._fails = address, 0
            call, self._call = self._call, None
            if call is not None:
                call.cancel()
            self._ask()

    def event(self, event: dict[str, Any]) -> None:
        """Process one event, from the log or from the configuration."""
        seq = event.get("seq")
        if not isinstance(seq, int) or isinstance(seq, bool):
            return
        fleet = event.get("fleet")
        told = fleet if isinstance(fleet, dict) else {}
        version = told.get("version")
        if seq <= self.seq:
            # A log that lost its sequence numbers starts again at a low one. Its events would be ignored as
            # duplicates until it catches up, and the list would be stale meanwhile. A full list with a new
            # version reveals the restart; in a duplicate the version is old.
            newer = isinstance(version, int) and version > self._version
            if not (newer and told.get("full") is True):
                return
            self._say("changelog", state="sequence numbers restarted", seq=self.seq, told=seq)
        if isinstance(version, int):
            self._version = max(self._version, version)
        self.seq = seq
        self._take(event)

    def _event(self, kind: str, fields: dict[str, Any]) -> None:
        self._fails = 0
        seq = fields.get("seq")
        if isinstance(seq, int) and seq > self.seq + 1 and self._gap != self.seq:
            # events were skipped: request them again once; if they do not come, accept the gap
            self._gap = self.seq
            self._say("changelog", state="gap", seq=self.seq, told=seq)
            call, self._call = self._call, None
            if call is not None:
                call.cancel()
            self._wait(AGAIN, self._ask)
        elif self._call is not None:
            self.event(fields)

    def _ask(self) -> None:
        self._reader = EventReader(self._event, MOST_EVENT)
        self._heard = self.loop.now()
        headers = [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.seq))]
        call: Call | None = None

        def over(reply: Reply | Fault) -> None:
            if self._call is call:
                self._ended(reply)

        def chunk(data: bytes) -> None:
            self._heard = self.loop.now()
            if self._call is call and call is not None and not self._reader.feed(data):
                self._say("changelog", state="unreadable", seq=self.seq)
                call.cancel()

        call = self._call = self._client.call(self.address, "GET", "/changes", over, headers, on_chunk=chunk)
        self._wait(SILENT, self._look)

    def _wait(self, span: int, do: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(self.loop.now() + span, do)

    def _look(self) -> None:
        left = self._heard + SILENT - self.loop.now()
        if left > 0:
            self._wait(left, self._look)
            return
        self._say("changelog", state="silent", seq=self.seq)
        call, self._call = self._call, None
        if call is not None:
            call.cancel()
        self._ask()

    def _ended(self, reply: Reply | Fault) -> None:
        self._call = None
        told = reply.value if isinstance(reply, Fault) else f"status {reply.status}"
        self._say("changelog", state="ended", why=told, seq=self.seq)
        self._wait(min(AGAIN_MOST, AGAIN << min(self._fails, 8)), self._ask)
        self._fails += 1
