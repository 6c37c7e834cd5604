"""Reads Eureka's registry over HTTP and keeps the gateway registered there (Eureka REST operations).

Bodies are JSON or XML; sizes and types are not trusted. A read that cannot be understood changes nothing.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlsplit

import msgspec
from lxml import etree

from mintmast.decisions import hedged_calls
from mintmast.decisions.hedged_calls import HedgedCalls, StartCall
from mintmast.decisions.hosts.registry import Instance, RegistryReader, build_list_entries, poll_timing
from mintmast.http.client import Call, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.interface import ListEntry
from mintmast.loop import Loop, Timer

SECOND = 1_000_000
# bytes of a body, as sent and unpacked: 10,000 instances are some 15 MB of JSON
MAX_BODY_BYTES = 64 << 20
# the hedged calls decide how long a poll may take to connect; this bounds it alone
MAX_CONNECT_US = 30_000_000


class RegistryError(Exception):
    """What a registry said cannot be understood."""


def _many(value: Any) -> list[Any]:
    """Give a list: the JSON of one element is the element itself in some versions."""
    return value if isinstance(value, list) else [] if value is None else [value]


def _number(value: Any, least: float, most: float) -> float:
    if isinstance(value, dict):  # {"$": 9000, "@enabled": "true"}
        value = value.get("$")
    number = float(value)
    if not math.isfinite(number) or not least <= number <= most:
        raise ValueError(f"{number} is not from {least} to {most}")
    return number


def _instance(app: str, raw: dict[str, Any], now: int, wall: float) -> tuple[str, Instance]:
    meta = raw.get("metadata") or {}
    lease = raw.get("leaseInfo") or {}
    up = _number(lease.get("serviceUpTimestamp") or 0, 0, 1e15) / 1000
    # a registry's clock may be ahead of ours: nothing has started later than now
    started = min(now, max(1, now - int((wall - up) * 1e6))) if up else 0
    overridden = str(raw.get("overriddenStatus") or raw.get("overriddenstatus") or "UNKNOWN")
    status = str(raw["status"]) if overridden == "UNKNOWN" else overridden
    host = str(raw.get("ipAddr") or raw["hostName"])
    port = int(_number(raw["port"], 1, 65_535))
    instance = Instance(
        app,
        str(raw.get("instanceId") or f"{host}:{port}"),
        f"{host}:{port}",
        status,
        started,
        int(_number(meta.get("cell", 0), 0, 65_535)),
        int(_number(meta.get("zone", 0), 0, 65_535)),
        int(_number(meta.get("kind", 0), 0, 65_535)),
        _number(meta.get("weight", 1.0), 1e-3, 1e6),
    )
    return str(raw.get("actionType") or "ADDED"), instance


def read_applications(
    body: bytes, xml: bool, now: int, wall: float
) -> tuple[list[tuple[str, Instance]], str, list[str]]:
    """Give (action, instance) of each, the hash told, and the faults of instances passed over.

    Raises RegistryError for a body that is not of the kind; a single bad instance costs only itself.
    """
    try:
        top = _from_xml(body) if xml else msgspec.json.decode(body)["applications"]
        told = str(top.get("apps__hashcode") or "")
        found, faults = [], []
        for app in _many(top.get("application")):
            for raw in _many(app.get("instance")):
                try:
                    found.append(_instance(str(app["name"]), raw, now, wall))
                except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                    faults.append(f"instance of {app.get('name')} passed over: {error!r}")
        return found, told, faults
    except (msgspec.DecodeError, etree.XMLSyntaxError, KeyError, TypeError, AttributeError) as error:
        raise RegistryError(f"not a list of applications: {error!r}"[:200]) from None
    except (RecursionError, ValueError) as error:
        raise RegistryError(f"not a list of applications: {error!r}"[:200]) from None


def _from_xml(body: bytes) -> dict[str, Any]:
    parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False, load_dtd=False)
    root = etree.fromstring(body, parser)
    if root.tag != "applications":
        raise ValueError(f"the root is {root.tag}")

    def plain(node: Any) -> Any:
        if len(node) == 0:
            return node.text
        return {child.tag: plain(child) for child in node}

    apps = []
    for app in root.iterfind("application"):
        instances = [plain(each) for each in app.iterfind("instance")]
        apps.append({"name": app.findtext("name"), "instance": instances})
    return {"apps__hashcode": root.findtext("apps__hashcode"), "application": apps}


@dataclass(slots=True)
class _Poll:
    """A call to a registry that has not been answered."""

    address: str
    target: str
    is_delta: bool
    call: Call | None = None


class EurekaSource:
    """Polls a registry; `good` hears each changed list, `bad` why a poll was in vain.

    A poll that is late stays open beside the next one, as the registry may only be slow to answer; the first
    to be answered counts.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: tuple[str, ...],
        app: str,
        every: int,
        seed: int,
        good: Callable[[tuple[ListEntry, ...]], None],
        bad: Callable[[str], None],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.app = loop, app
        self.reader = RegistryReader(addresses, every)
        self._random = random.Random(seed)
        self._good, self._bad, self._say = good, bad, say
        limits = ClientLimits(connect_time=MAX_CONNECT_US, body_bytes=MAX_BODY_BYTES)
        self._client = HttpClient(loop, limits, "mintmast")
        self._etag: dict[str, str] = {}
        self._calls = HedgedCalls(poll_timing(every))
        self._polls: dict[int, _Poll] = {}
        self._timer: Timer | None = None

    def start(self) -> None:
        """Poll now, and from now on."""
        self._execute(self._calls.start(self.loop.now()))

    def _execute(self, commands: list[hedged_calls.Command]) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                self._start_poll(command.number)
            else:
                self._cancel_poll(command.number)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(self._calls.next_check_at, self._check)

    def _check(self) -> None:
        for number, poll in self._polls.items():
            if poll.call is not None and poll.call.is_connected:
                self._calls.handle_connected(number)
        commands = self._calls.handle_timer(self.loop.now())
        if commands and self._polls:  # the newest poll is late, and another node is asked
            late = self._polls[max(self._polls)]
            self._record_failure(late, "late")
        self._execute(commands)

    def _start_poll(self, number: int) -> None:
        address, is_delta = self.reader.next_request()
        parts = urlsplit(address)
        target = f"{parts.path.rstrip('/')}/apps{'/delta' if is_delta else ''}"
        headers = [("Accept", "application/json, application/xml;q=0.5"), ("Accept-Encoding", "gzip")]
        if target in self._etag and is_delta:
            headers.append(("If-None-Match", self._etag[target]))
        poll = self._polls[number] = _Poll(address, target, is_delta)
        place = parts.hostname or "", parts.port or 80
        poll.call = self._client.call(
            place, "GET", target, lambda reply: self._handle_reply(number, reply), headers
        )

    def _cancel_poll(self, number: int) -> None:
        poll = self._polls.pop(number, None)
        if poll is not None and poll.call is not None:
            poll.call.cancel()

    def _handle_reply(self, number: int, reply: Reply | CallFailure) -> None:
        poll = self._polls.pop(number, None)
        if poll is None:
            return
        now = self.loop.now()
        self._calls.handle_end(now, number)
        next_poll_at = self.reader.next_poll_at(now, self._random.random())
        try:
            if isinstance(reply, CallFailure):
                raise RegistryError(reply.value)
            if reply.status == 304 and poll.is_delta:
                self.reader.failures = 0
            elif reply.status != 200:
                raise RegistryError(f"status {reply.status}")
            else:
                next_poll_at = self._take(poll.target, poll.is_delta, reply) or next_poll_at
            self._calls.handle_success()
            self._execute(self._calls.restart_at(next_poll_at))
        except RegistryError as error:
            self._record_failure(poll, str(error))
            self._execute([])

    def _record_failure(self, poll: _Poll, reason: str) -> None:
        self.reader.handle_failure()
        self._bad(f"{poll.address}: {reason}")

    def _take(self, target: str, delta: bool, reply: Reply) -> int | None:
        body = reply.body
        if reply.headers.get("content-encoding") == "gzip":
            body = _unpacked(body)
        xml = "xml" in reply.headers.get("content-type", "")
        found, told, faults = read_applications(body, xml, self.loop.now(), self.loop.wall())
        for fault in faults[:5]:
            self._say("registry_instance", fault=fault)
        if delta:
            changed = self.reader.apply_delta(found, told)
            if changed is None:  # the hash disagrees: all is read at once
                return self.loop.now()
        else:
            changed = self.reader.apply_full(instance for _, instance in found)
        self._etag[target] = reply.headers.get("etag", "")
        if changed:
            self._good(build_list_entries(self.reader.instances.values(), self.app))
        return None


def _unpacked(body: bytes) -> bytes:
    unpacker = zlib.decompressobj(31)
    try:
        data = unpacker.decompress(body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise RegistryError(f"not gzip: {error}") from None
    if unpacker.unconsumed_tail:
        raise RegistryError(f"unpacks to more than {MAX_BODY_BYTES} bytes")
    return data


class Registration:
    """Keeps the gateway registered: register, renew, register again when forgotten, cancel at the end."""

    def __init__(
        self, loop: Loop, address: str, app: str, name: str, host: str, port: int, every: int
    ) -> None:
        self.loop, self.every = loop, every
        parts = urlsplit(address)
        self._place = parts.hostname or "", parts.port or 80
        self._base = f"{parts.path.rstrip('/')}/apps/{quote(app.upper())}"
        self._name, self._client = name, HttpClient(loop, ClientLimits(connect_time=every))
        self._known = False
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
                    "leaseInfo": {"renewalIntervalInSecs": max(1, every // SECOND), "durationInSecs": 90},
                }
            }
        )

    def start(self) -> None:
        """Register, and renew from now on."""
        if self._known:
            self._call("PUT", f"{self._base}/{quote(self._name)}", b"")
        else:
            self._call("POST", self._base, self._body)
        self._renewal = self.loop.call_at(self.loop.now() + self.every, self.start)

    def cancel(self, on_done: Callable[[], None] = lambda: None) -> None:
        """Cancel the registration and its renewal; `on_done` is called when the call has ended."""
        if self._renewal is not None:
            self._renewal.cancel()
        self._call("DELETE", f"{self._base}/{quote(self._name)}", b"", on_done)

    def _call(
        self, method: str, target: str, body: bytes, on_done: Callable[[], None] = lambda: None
    ) -> None:
        headers = [("Content-Type", "application/json")] if body else []
        until = self.loop.now() + self.every

        def done(reply: Reply | CallFailure) -> None:
            self._known = isinstance(reply, Reply) and reply.status in (200, 204)
            on_done()

        self._client.call(self._place, method, target, done, headers, body, until)
