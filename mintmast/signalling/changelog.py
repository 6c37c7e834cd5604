"""Client of the platform's change log: service discovery by server-sent events over HTTP.

A new call resumes after the last event received, by `Last-Event-ID`. `HedgedRequests` sends the calls.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from mintmast.decisions.calls.discovery import CHANGE_LOG_TIMING
from mintmast.hedged_requests import HedgedRequests
from mintmast.http.client import Address, Call, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.events import EventReader
from mintmast.loop import Loop

# the hedged requests decide how long a call may take to connect; this bounds it alone
CLIENT_LIMITS = ClientLimits(connect_time=30_000_000)
# bytes of one event: enough for a full list of several thousand hosts
MAX_EVENT_BYTES = 4 << 20


@dataclass(slots=True)
class _Watch:
    """The answer to one request: its status, 0 until the headers have come, and the reader of its events."""

    number: int
    reader: EventReader
    status: int = 0

    def handle_headers(self, status: int, headers: dict[str, str]) -> None:
        """Record the status."""
        self.status = status


class ChangeLog:
    """Follows the log at `address` after sequence number `seq` and passes each event on once, in order.

    An event that a broken connection cut off is dropped and requested again; duplicates are ignored.
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
        self._client = HttpClient(loop, CLIENT_LIMITS)
        self._requests = HedgedRequests(loop, CHANGE_LOG_TIMING, self._send_request, self._log_late)
        self._highest_version = -1  # the highest list version received
        self._refetched_after: int | None = None  # where a gap was found and requested again
        self._requests.restart_at(loop.now())

    def change_address(self, address: Address) -> None:
        """Follow the log at another address, from the same sequence number on."""
        if address != self.address:
            self.address = address
            self._requests.start()

    def handle_event(self, event: dict[str, Any]) -> None:
        """Process one event, from the log or from the configuration."""
        seq = event.get("seq")
        if not isinstance(seq, int) or isinstance(seq, bool):
            return
        fleet = event.get("fleet")
        update = fleet if isinstance(fleet, dict) else {}
        version = update.get("version")
        if seq <= self.seq:
            # A log that lost its sequence numbers starts again at a low one. Its events would be ignored as
            # duplicates until it catches up, and the list would be stale meanwhile. A full list with a new
            # version reveals the restart; in a duplicate the version is old.
            is_newer = isinstance(version, int) and version > self._highest_version
            if not (is_newer and update.get("full") is True):
                return
            self._log("changelog", state="sequence numbers restarted", seq=self.seq, told=seq)
        if isinstance(version, int):
            self._highest_version = max(self._highest_version, version)
        self.seq = seq
        self._on_event(event)

    def _send_request(self, number: int) -> Call:
        reader = EventReader(lambda kind, fields: self._receive_event(number, fields), MAX_EVENT_BYTES)
        watch = _Watch(number, reader)
        return self._client.call(
            self.address,
            "GET",
            "/changes",
            lambda reply: self._handle_end(number, reply),
            [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.seq))],
            on_headers=watch.handle_headers,
            on_chunk=lambda data: self._handle_chunk(watch, data),
        )

    def _log_late(self) -> None:
        self._log("changelog", state="silent", seq=self.seq, open=len(self._requests.open))

    def _handle_chunk(self, watch: _Watch, data: bytes) -> None:
        if watch.number not in self._requests.open or watch.status != HTTPStatus.OK:
            return
        self._requests.handle_data(watch.number)
        is_valid = watch.reader.feed(data)
        call = self._requests.open.get(watch.number)
        if call is not None and not is_valid:
            self._log("changelog", state="unreadable", seq=self.seq)
            call.cancel()

    def _receive_event(self, number: int, fields: dict[str, Any]) -> None:
        if number not in self._requests.open:
            return
        self._requests.handle_success()
        seq = fields.get("seq")
        if isinstance(seq, int) and seq > self.seq + 1 and self._refetched_after != self.seq:
            # events were skipped: request them again once; if they do not come, accept the gap
            self._refetched_after = self.seq
            self._log("changelog", state="gap", seq=self.seq, told=seq)
            self._requests.restart_at(self.loop.now() + CHANGE_LOG_TIMING.retry_delay)
        else:
            self.handle_event(fields)

    def _handle_end(self, number: int, reply: Reply | CallFailure) -> None:
        if self._requests.handle_end(number):
            reason = reply.value if isinstance(reply, CallFailure) else f"status {reply.status}"
            self._log("changelog", state="ended", why=reason, seq=self.seq)
