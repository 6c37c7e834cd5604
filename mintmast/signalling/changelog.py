"""The platform's change log: server-sent events over HTTP, taken up where the last one ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mintmast.http.client import Address, Call, Fault, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.loop import Loop, Timer

# µs without a byte after which the log counts as silent: it sends a comment each second, and what it would
# have told counts as told after 4 s
SILENT = 2_200_000
# µs before it is asked again after an end or a refusal, doubled with each in a row up to half a second
AGAIN, AGAIN_MOST = 20_000, 500_000
# bytes of one event: a full list of some thousand hosts
MOST_EVENT = 4 << 20


class ChangeLog:
    """Follows the log at `address` from number `seq` on; `take` hears each event once, in order.

    What breaks off within an event is dropped and asked for again; what comes twice is passed over.
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
        self._version = -1  # the highest of the list that was heard
        self._gap: int | None = None
        self._timer: Timer | None = loop.call_soon(self._ask)

    def move(self, address: Address) -> None:
        """Follow the log at another address; numbers go on."""
        if address != self.address:
            self.address, self._fails = address, 0
            call, self._call = self._call, None
            if call is not None:
                call.cancel()
            self._ask()

    def event(self, event: dict[str, Any]) -> None:
        """Take one event, wherever it was heard."""
        seq = event.get("seq")
        if not isinstance(seq, int) or isinstance(seq, bool):
            return
        fleet = event.get("fleet")
        told = fleet if isinstance(fleet, dict) else {}
        version = told.get("version")
        if seq <= self.seq:
            # Danger: a log that lost its numbers would be passed over until it has caught up, and the list be
            # stale for as long. A whole list of a version not heard yet shows it; a repeat has an old one.
            newer = isinstance(version, int) and version > self._version
            if not (newer and told.get("full") is True):
                return
            self._say("changelog", state="numbers start again", seq=self.seq, told=seq)
        if isinstance(version, int):
            self._version = max(self._version, version)
        self.seq = seq
        self._take(event)

    def _event(self, kind: str, fields: dict[str, Any]) -> None:
        self._fails = 0
        seq = fields.get("seq")
        if isinstance(seq, int) and seq > self.seq + 1 and self._gap != self.seq:
            # something was skipped: ask for it, once; where it does not come, what there is counts
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
