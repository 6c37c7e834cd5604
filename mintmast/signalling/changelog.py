"""The platform's change log: server-sent events over HTTP, taken up where the last one ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mintmast.http.client import Address, Call, CallFailure, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.loop import Loop, Timer

# µs without a byte after which the log counts as silent: it sends a comment each second, and what it would
# have told counts as told after 4 s
SILENCE_TIMEOUT_US = 2_200_000
# µs before it is asked again after an end or a refusal, doubled with each in a row up to half a second
RETRY_DELAY_US, MAX_RETRY_DELAY_US = 20_000, 500_000
# bytes of one event: a full list of some thousand hosts
MAX_EVENT_BYTES = 4 << 20


class ChangeLog:
    """Follows the log at `address` from number `seq` on; `take` hears each event once, in order.

    What breaks off within an event is dropped and asked for again; what comes twice is passed over.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        seq: int,
        on_event: Callable[[dict[str, Any]], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.seq = loop, address, seq
        self._on_event, self._log = on_event, log
        self._client = HttpClient(loop)
        self._request: Call | None = None
        self._reader = EventReader(self._receive_event, MAX_EVENT_BYTES)
        self._failures = self._last_received_at = 0
        self._highest_version = -1  # the highest of the list that was heard
        self._refetched_after: int | None = None
        self._timer: Timer | None = loop.call_soon(self._subscribe)

    def change_address(self, address: Address) -> None:
        """Follow the log at another address; numbers go on."""
        if address != self.address:
            self.address, self._failures = address, 0
            request, self._request = self._request, None
            if request is not None:
                request.cancel()
            self._subscribe()

    def handle_event(self, event: dict[str, Any]) -> None:
        """Take one event, wherever it was heard."""
        seq = event.get("seq")
        if not isinstance(seq, int) or isinstance(seq, bool):
            return
        fleet = event.get("fleet")
        update = fleet if isinstance(fleet, dict) else {}
        version = update.get("version")
        if seq <= self.seq:
            # Danger: a log that lost its numbers would be passed over until it has caught up, and the list be
            # stale for as long. A whole list of a version not heard yet shows it; a repeat has an old one.
            is_newer = isinstance(version, int) and version > self._highest_version
            if not (is_newer and update.get("full") is True):
                return
            self._log("changelog", state="numbers start again", seq=self.seq, told=seq)
        if isinstance(version, int):
            self._highest_version = max(self._highest_version, version)
        self.seq = seq
        self._on_event(event)

    def _receive_event(self, kind: str, fields: dict[str, Any]) -> None:
        self._failures = 0
        seq = fields.get("seq")
        if isinstance(seq, int) and seq > self.seq + 1 and self._refetched_after != self.seq:
            # something was skipped: ask for it, once; where it does not come, what there is counts
            self._refetched_after = self.seq
            self._log("changelog", state="gap", seq=self.seq, told=seq)
            request, self._request = self._request, None
            if request is not None:
                request.cancel()
            self._schedule(RETRY_DELAY_US, self._subscribe)
        elif self._request is not None:
            self.handle_event(fields)

    def _subscribe(self) -> None:
        self._reader = EventReader(self._receive_event, MAX_EVENT_BYTES)
        self._last_received_at = self.loop.now()
        headers = [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.seq))]
        request: Call | None = None

        def over(reply: Reply | CallFailure) -> None:
            if self._request is request:
                self._handle_stream_end(reply)

        def chunk(data: bytes) -> None:
            self._last_received_at = self.loop.now()
            if self._request is request and request is not None and not self._reader.feed(data):
                self._log("changelog", state="unreadable", seq=self.seq)
                request.cancel()

        request = self._request = self._client.call(
            self.address, "GET", "/changes", over, headers, on_chunk=chunk
        )
        self._schedule(SILENCE_TIMEOUT_US, self._check_silence)

    def _schedule(self, delay: int, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(self.loop.now() + delay, callback)

    def _check_silence(self) -> None:
        remaining = self._last_received_at + SILENCE_TIMEOUT_US - self.loop.now()
        if remaining > 0:
            self._schedule(remaining, self._check_silence)
            return
        self._log("changelog", state="silent", seq=self.seq)
        request, self._request = self._request, None
        if request is not None:
            request.cancel()
        self._subscribe()

    def _handle_stream_end(self, reply: Reply | CallFailure) -> None:
        self._request = None
        reason = reply.value if isinstance(reply, CallFailure) else f"status {reply.status}"
        self._log("changelog", state="ended", why=reason, seq=self.seq)
        self._schedule(min(MAX_RETRY_DELAY_US, RETRY_DELAY_US << min(self._failures, 8)), self._subscribe)
        self._failures += 1
