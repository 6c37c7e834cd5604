"""A gateway's process under test: configuration, signals, readiness, end and successor."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mintmast.lab.soak import frames
from mintmast.lab.soak.frames import FrameReader, encode_frame
from mintmast.lab.soak.records import Records, Start
from mintmast.lab.soak.schedule import MS, HostState, Schedule
from mintmast.lab.soak.viewers import Front
from mintmast.loop import CloseReason, Handler, Loop, Stream

# µs between looks at a process, until its successor starts, and after SIGTERM in which the front still leads
# new connections to it; the page gives 0.2 to 0.4 s for the last
POLL_US, RESTART_DELAY_US, FRONT_NOTICE_US = 5 * MS, 250 * MS, 300 * MS


class GatewayProcess:
    """A gateway that is started again whenever its process has ended."""

    def __init__(
        self,
        loop: Loop,
        records: Records,
        front: Front,
        folder: Path,
        make_document: Callable[[], dict[str, Any]],
    ) -> None:
        self.loop, self.records, self.front = loop, records, front
        self._make_document = make_document
        self.log_path = folder / f"{front.name}.log"
        self._config_path = folder / f"{front.name}.json"
        self._process: subprocess.Popen | None = None
        self._start: Start | None = None
        self._is_closed = False

    def start(self) -> None:
        """Start the process and wait until a health check passes."""
        if self._is_closed:
            return
        self._write_configuration()
        environment = os.environ | {"NODE_CONFIG": str(self._config_path), "NODE_NAME": self.front.name}
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", "mintmast", "node"]
            self._start = Start(self.front.name, self.loop.now())
            self._process = subprocess.Popen(command, env=environment, stderr=log, stdout=log)
        self.records.starts.append(self._start)
        self._look(self._process)
        self._check_health()

    def _write_configuration(self) -> None:
        self._config_path.write_text(json.dumps(self._make_document()))

    def send_signal(self, sent: signal.Signals, due: int, is_sudden: bool) -> None:
        """Send a signal, due at a time, to a process that has been ready.

        SIGKILL is sent only after SIGTERM, unless it is sudden.
        """
        start, process = self._start, self._process
        if process is None or start is None or start.ready_at is None:
            return
        if sent is signal.SIGKILL and not is_sudden and start.time_of(signal.SIGTERM) is None:
            return
        if sent is signal.SIGKILL and (start.ended_at is None or start.ended_at > due):
            self.records.record_excuse(due, self.loop.now())
        if start.ended_at is not None:
            return
        if sent is signal.SIGHUP:
            self._write_configuration()
        start.signals.append((self.loop.now(), sent))
        process.send_signal(sent)
        if sent is signal.SIGTERM:
            self.loop.call_at(self.loop.now() + FRONT_NOTICE_US, self._withdraw, start)

    def _withdraw(self, start: Start) -> None:
        if self._start is start:
            self.front.accepts = False

    def _look(self, process: subprocess.Popen) -> None:
        code = process.poll()
        if code is None:
            self.loop.call_at(self.loop.now() + POLL_US, self._look, process)
            return
        self._start.ended_at, self._start.exit_code = self.loop.now(), code
        self.front.accepts = False
        self.loop.call_at(self.loop.now() + RESTART_DELAY_US, self.start)

    def _check_health(self) -> None:
        start = self._start
        if start.ended_at is None and start.ready_at is None and not self._is_closed:
            self.loop.connect(*self.front.place, _HealthCheck(lambda: self._handle_ready(start)))
            self.loop.call_at(self.loop.now() + 4 * POLL_US, self._check_health)

    def _handle_ready(self, start: Start) -> None:
        if start is self._start and start.ended_at is None and start.ready_at is None:
            start.ready_at = self.loop.now()
            self.front.accepts = True

    def close(self) -> None:
        """Kill the process and wait for its end."""
        self._is_closed = True
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def read_tracebacks(self) -> list[str]:
        """Return the lines of the log that report an exception."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if '"event":"error"' in line or line.startswith("Traceback")]


class _HealthCheck(Handler):
    """One health check on a connection of its own; calls back if the gateway is ready."""

    def __init__(self, on_ready: Callable[[], None]) -> None:
        self._on_ready = on_ready
        self._stream: Stream | None = None
        self._reader = FrameReader()

    def opened(self, stream: Stream) -> None:
        self._stream = stream
        stream.write(encode_frame(frames.HEALTH_CHECK, bytes(8), {frames.CAUSE: b"\0"}))

    def received(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            if frame.kind == frames.HEALTH_CHECK_REPLY and frame.cause == 1:
                self._on_ready()
            self._stream.abort()

    def closed(self, reason: CloseReason) -> None:
        self._stream = None


def host_entry(number: int, place: tuple[str, int], state: HostState) -> dict[str, Any]:
    """Return a host's entry in the list."""
    entry = {"id": f"host-{number}", "addr": f"{place[0]}:{place[1]}", "zone": "east", "kind": "std"}
    return entry | {"cell": number % 4, "state": state.value, "weight": 1, "started_ms": 0}


def gateway_document(
    schedule: Schedule,
    front: Front,
    change_log: tuple[str, int],
    entries: list[dict[str, Any]],
    events: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the configuration of a gateway: the hosts at first, and the change log's events since."""
    known = [{"seq": 1, "fleet": {"version": 1, "full": True, "servers": entries}}, *events]
    return {
        "name": front.name,
        "listen": f"{front.place[0]}:{front.place[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "changelog": f"{change_log[0]}:{change_log[1]}",
        "known": {"seq": len(known), "results": known},
        "settings": _settings(schedule),
    }


def _settings(schedule: Schedule) -> dict[str, Any]:
    services = [
        {"name": each.name, "idempotency": "single_shot" if each.is_paid else "free", "worth": 1}
        | {"aim": each.deadline // 5, "hardLimit": each.deadline}
        for each in schedule.services
    ]
    caps = {"cancel": True, "connectTimeout": 250_000, "idleClose": 30_000_000, "maxAttempts": 5}
    ladder = {"ladderWorth": [0.25, 0.5, 1.0], "levelKb": [2.0, 4.0, 9.0]}
    links = {"racks": 1, "linksKb": 40_000.0, "rackLinkKb": 4_000_000.0, "see": 500_000}
    return {
        "accounts": [{"name": "acme", "quotaPerS": 5000.0, "share": 1.0}],
        "azs": ["east", "west"],
        "caps": caps | {"maxRetryAfter": 500_000, "retryAfter": True},
        "familyInfo": {"cells": 4, "kindSlots": [60]} | ladder | links,
        "invariants": {"cold": 0, "coldFrom": 1, "fall": 1_500_000, "overloadFactor": 2.5},
        "me": 0,
        "nInstances": schedule.gateways,
        "report": {"fields": ["x0"], "via": "piggyback"},
        "services": services,
        "rules": {"stopSendingWithin": schedule.drain_grace},
        "shapes": ["std"],
    }
