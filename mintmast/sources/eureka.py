"""Source of the server list: polls Eureka's registry over HTTP (Eureka REST operations).

A reply that cannot be read changes nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import urlsplit

from mintmast.decisions.hosts.registry import RegistryReader, build_list_entries, poll_timing
from mintmast.hedged_requests import HedgedRequests
from mintmast.http.client import Call, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.interface import ListEntry
from mintmast.loop import Loop
from mintmast.sources.eureka_bodies import MAX_BODY_BYTES, RegistryError, read_applications, unpack

# the hedged requests decide how long a poll may take to connect; this bounds it alone
MAX_CONNECT_US = 30_000_000
# invalid instances of one reply that are logged
MAX_LOGGED_FAULTS = 5


@dataclass(slots=True)
class _Poll:
    """A request to a registry."""

    number: int
    address: str
    target: str
    is_delta: bool


class EurekaSource:
    """Polls a registry at an interval in µs, and passes each changed list to `on_list`.

    `on_failure` gets the reason why a poll failed. A poll that is late stays open beside the next one, as the
    registry may only be slow to answer; the first to be answered counts.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: tuple[str, ...],
        app: str,
        poll_interval: int,
        seed: int,
        on_list: Callable[[tuple[ListEntry, ...]], None],
        on_failure: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.app = loop, app
        self.reader = RegistryReader(addresses, poll_interval)
        self._random = random.Random(seed)
        self._on_list, self._on_failure, self._log = on_list, on_failure, log
        limits = ClientLimits(connect_time=MAX_CONNECT_US, body_bytes=MAX_BODY_BYTES)
        self._client = HttpClient(loop, limits, "mintmast")
        self._etag: dict[str, str] = {}
        timing = poll_timing(poll_interval)
        self._requests = HedgedRequests(loop, timing, self._send_poll, self._handle_late)
        self._newest: _Poll | None = None

    def start(self) -> None:
        """Poll now, and at the interval from then on."""
        self._requests.start()

    def _send_poll(self, number: int) -> Call:
        address, is_delta = self.reader.next_request()
        parts = urlsplit(address)
        target = f"{parts.path.rstrip('/')}/apps{'/delta' if is_delta else ''}"
        headers = [("Accept", "application/json, application/xml;q=0.5"), ("Accept-Encoding", "gzip")]
        if target in self._etag and is_delta:
            headers.append(("If-None-Match", self._etag[target]))
        poll = self._newest = _Poll(number, address, target, is_delta)
        host = parts.hostname or "", parts.port or 80
        return self._client.call(host, "GET", target, lambda reply: self._handle_reply(poll, reply), headers)

    def _handle_late(self) -> None:
        if self._newest is not None:  # another node may be asked next
            self._record_failure(self._newest, "late")

    def _handle_reply(self, poll: _Poll, reply: Reply | CallFailure) -> None:
        next_poll_at = self.reader.next_poll_at(self.loop.now(), self._random.random())
        if not self._requests.handle_end(poll.number, next_poll_at):
            return
        try:
            if isinstance(reply, CallFailure):
                raise RegistryError(reply.value)
            if reply.status == HTTPStatus.NOT_MODIFIED and poll.is_delta:
                self.reader.failures = 0
            elif reply.status != HTTPStatus.OK:
                raise RegistryError(f"status {reply.status}")
            else:
                next_poll_at = self._apply_reply(poll, reply) or next_poll_at
            self._requests.handle_success()
            self._requests.restart_at(next_poll_at)
        except RegistryError as error:
            self._record_failure(poll, str(error))

    def _record_failure(self, poll: _Poll, reason: str) -> None:
        self.reader.handle_failure()
        self._on_failure(f"{poll.address}: {reason}")

    def _apply_reply(self, poll: _Poll, reply: Reply) -> int | None:
        """Apply a complete reply; return when to poll next (µs), None for the usual interval."""
        body = unpack(reply.body) if reply.headers.get("content-encoding") == "gzip" else reply.body
        is_xml = "xml" in reply.headers.get("content-type", "")
        applications = read_applications(body, is_xml, self.loop.now(), self.loop.wall())
        for fault in applications.faults[:MAX_LOGGED_FAULTS]:
            self._log("registry_instance", fault=fault)
        changes = [(change.action, change.instance) for change in applications.changes]
        if poll.is_delta:
            changed = self.reader.apply_delta(changes, applications.hashcode)
            if changed is None:  # the hash differs: a full read follows at once
                return self.loop.now()
        else:
            changed = self.reader.apply_full(instance for _, instance in changes)
        self._etag[poll.target] = reply.headers.get("etag", "")
        if changed:
            self._on_list(build_list_entries(self.reader.instances.values(), self.app))
        return None
