"""Plays a schedule on real processes over loopback and judges it."""

from __future__ import annotations

import random
import tempfile
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from mintmast.lab.ports import Ports, own_address
from mintmast.lab.soak.audit import Verdict, audit, broken_lines
from mintmast.lab.soak.change_log import StandInChangeLog
from mintmast.lab.soak.gateway import GatewayProcess, gateway_document, host_entry
from mintmast.lab.soak.host import StandInHost
from mintmast.lab.soak.proxy import Proxy
from mintmast.lab.soak.records import Notice, Records
from mintmast.lab.soak.schedule import (
    MS,
    SECOND,
    HostMode,
    HostState,
    LinkMode,
    ListChange,
    LogFault,
    LogMode,
    Schedule,
)
from mintmast.lab.soak.validity import is_void
from mintmast.lab.soak.viewers import Front, StandInViewers
from mintmast.loop.real import SelectorLoop

BEAT_US = 5 * MS  # between looks at how late the stand-ins' own loop is
START_TIMEOUT_US, SETTLE_US = 20 * SECOND, 6 * SECOND
# µs after which a change counts as told at the latest: from the begin of a silence, and from when the change
# log could be reached again after failed calls
SILENCE_TIME_US, LOST_CALL_TIME_US = 4 * SECOND, 6 * SECOND


@dataclass(slots=True)
class Report:
    """A run's verdicts; `is_void` if the stand-ins ran too late to judge, and the logs by gateway."""

    verdicts: dict[str, Verdict]
    records: Records
    is_void: bool
    logs: dict[str, str]

    @property
    def broken(self) -> list[str]:
        """Return a line for each case that broke a rule."""
        return broken_lines(self.verdicts)


def play(schedule: Schedule) -> Report:
    """Play a schedule. Raises RuntimeError if the processes do not become ready or a stand-in is at fault."""
    with tempfile.TemporaryDirectory(prefix="mintmast-soak-") as folder:
        return _Run(schedule, Path(folder)).play()


class _Run:
    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.records = schedule, Records()
        self._faults: list[str] = []  # of the stand-ins
        self.loop = SelectorLoop(self._faults.append)
        address = own_address()
        ports = Ports(address)
        draw = random.Random(f"{schedule.seed}/hosts")
        places = [(address, ports(f"host-{number}")) for number in range(schedule.hosts)]
        self.hosts = [
            StandInHost(self.loop, self.records, random.Random(draw.random()), f"host-{number}", place)
            for number, place in enumerate(places)
        ]
        links = [(address, ports(f"link-{number}")) for number in range(schedule.hosts)]
        self.proxies = [
            Proxy(self.loop, random.Random(draw.random()), link, place)
            for link, place in zip(links, places, strict=True)
        ]
        log_place = (address, ports("change-log"))
        self.change_log = StandInChangeLog(
            self.loop, log_place, lambda host, state: host_entry(host, links[host], state)
        )
        self._silent_since = self._down_until = -LOST_CALL_TIME_US
        entries = [host_entry(host, place, HostState.READY) for host, place in enumerate(links)]

        def make_document(front: Front) -> dict[str, Any]:
            return gateway_document(schedule, front, log_place, entries, self.change_log.events)

        self.fronts = [Front(f"n{each}", (address, ports(f"n{each}"))) for each in range(schedule.gateways)]
        self.gateways = [
            GatewayProcess(self.loop, self.records, front, folder, partial(make_document, front))
            for front in self.fronts
        ]
        self.viewers = StandInViewers(self.loop, self.records, schedule, self.fronts)

    def _beat(self, due: int) -> None:
        """Record how late the loop is."""
        now = self.loop.now()
        self.records.longest_stall = max(self.records.longest_stall, now - due)
        self.loop.call_at(now + BEAT_US, self._beat, now + BEAT_US)

    def play(self) -> Report:
        """Play the schedule, and end all processes whatever happens."""
        try:
            self._start_gateways()
            self._schedule_faults(self.loop.now())
            self._beat(self.loop.now())
            self.viewers.start()
            end = self.loop.now() + self.schedule.length
            self.loop.run(end)
            self.viewers.stop()
            self.loop.run(end + SETTLE_US)
            ended_at = self.loop.now()
        finally:
            for each in (*self.gateways, self.viewers, *self.proxies, *self.hosts, self.change_log):
                each.close()
        if self._faults:
            raise RuntimeError(self._faults[0])
        for gateway in self.gateways:
            self.records.tracebacks += gateway.read_tracebacks()
        verdicts = audit(self.records, ended_at, self.schedule.drain_grace)
        logs = {each.front.name: each.log_path.read_text(errors="replace") for each in self.gateways}
        is_broken = bool(broken_lines(verdicts))
        return Report(verdicts, self.records, is_void(self.records, is_broken), logs)

    def _start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.start()
        until = self.loop.now() + START_TIMEOUT_US
        while not all(front.accepts for front in self.fronts):
            if self.loop.now() > until:
                raise RuntimeError("the gateways did not become ready")
            self.loop.turn(self.loop.now() + MS)

    def _schedule_faults(self, begin: int) -> None:
        for each in self.schedule.signals:
            due = begin + each.at
            self.loop.call_at(due, self.gateways[each.gateway].send_signal, each.sent, due, each.is_sudden)
        for faults, targets in (
            (self.schedule.host_faults, self.hosts),
            (self.schedule.link_faults, self.proxies),
        ):
            for fault in faults:
                target = targets[fault.host]
                self.loop.call_at(begin + fault.at, target.set_mode, fault.mode)
                self.loop.call_at(begin + fault.until, _end_fault, target, fault.mode)
        for change in self.schedule.list_changes:
            self.loop.call_at(begin + change.at, self._change_list, change, begin + change.at)
        for fault in self.schedule.log_faults:
            self.loop.call_at(begin + fault.at, self._begin_log_fault, fault, begin)
            self.loop.call_at(begin + fault.until, self.change_log.set_mode, None)

    def _begin_log_fault(self, fault: LogFault, begin: int) -> None:
        self.change_log.set_mode(fault.mode)
        if fault.mode is LogMode.SILENT:
            self._silent_since = self.loop.now()
        else:
            self._down_until = begin + fault.until

    def _change_list(self, change: ListChange, due: int) -> None:
        """Change the list; a change that silence or failed calls withhold counts as told later."""
        now = self.loop.now()
        if change.state is HostState.READY:
            self.records.record_excuse(due, now)
        told_at = max(now, self._silent_since + SILENCE_TIME_US, self._down_until + LOST_CALL_TIME_US)
        self.records.notices.append(Notice(self.hosts[change.host].name, change.state, now, told_at))
        self.change_log.change(change.host, change.state)


def _end_fault(target: StandInHost | Proxy, mode: HostMode | LinkMode) -> None:
    """End a fault, unless another one has begun since."""
    if target.mode is mode:
        target.set_mode(None)
