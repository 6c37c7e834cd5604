"""Keeps the gateway itself registered at a Eureka registry (Eureka REST operations)."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote, urlsplit

import msgspec

from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.loop import Loop, Timer

SECOND = 1_000_000


class Registration:
    """Keeps the gateway registered: registers, renews, registers again when forgotten, cancels at the end.

    `renewal_interval` is in µs.
    """

    def __init__(
        self, loop: Loop, address: str, app: str, name: str, host: str, port: int, renewal_interval: int
    ) -> None:
        self.loop, self.renewal_interval = loop, renewal_interval
        parts = urlsplit(address)
        self._address = parts.hostname or "", parts.port or 80
        self._path = f"{parts.path.rstrip('/')}/apps/{quote(app.upper())}"
        self._name, self._client = name, HttpClient(loop, ClientLimits(connect_time=renewal_interval))
        self._is_registered = False
        self._renewal: Timer | None = None
        self._body = msgspec.json.encode(
            {
                "instance": {
                    "instanceId": name,
                    "hostName": host,
                    "ipAddr": host,
                    "app": app.upper(),
                    "status": "UP",
                    "port": {"$": port, "@enabled": "true"},
                    "dataCenterInfo": {
                        "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                        "name": "MyOwn",
                    },
                    "leaseInfo": {
                        "renewalIntervalInSecs": max(1, renewal_interval // SECOND),
                        "durationInSecs": 90,
                    },
                }
            }
        )

    def start(self) -> None:
        """Register now, and renew at the interval."""
        if self._is_registered:
            self._call("PUT", f"{self._path}/{quote(self._name)}", b"")
        else:
            self._call("POST", self._path, self._body)
        self._renewal = self.loop.call_at(self.loop.now() + self.renewal_interval, self.start)

    def cancel(self, on_done: Callable[[], None] = lambda: None) -> None:
        """Cancel the registration and its renewal; `on_done` is called when the call has ended."""
        if self._renewal is not None:
            self._renewal.cancel()
        self._call("DELETE", f"{self._path}/{quote(self._name)}", b"", on_done)

    def _call(
        self, method: str, target: str, body: bytes, on_done: Callable[[], None] = lambda: None
    ) -> None:
        headers = [("Content-Type", "application/json")] if body else []
        deadline = self.loop.now() + self.renewal_interval

        def handle_reply(reply: Reply | CallFailure) -> None:
            self._is_registered = isinstance(reply, Reply) and reply.status in (200, 204)
            on_done()

        self._client.call(self._address, method, target, handle_reply, headers, body, deadline)
