"""The faults of a run as data, drawn from its seed: the same seed plays the same faults at the same times."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MS = 1_000
SECOND = 1_000_000
# the page's earliest SIGKILL after SIGTERM is the longest deadline, counted as 3 s at most, and 0.7 s
MAX_COUNTED_DEADLINE, KILL_AFTER_DEADLINE = 3 * SECOND, 700 * MS
START_TIME = 1_500 * MS  # from a process's end to the next signal to its successor, at least


class HostMode(Enum):
    """What a host does with set-ups for a while."""

    HANGS = "reads and answers nothing, then goes on"
    SILENT = "passes health checks and answers no set-up"
    SLOW = "answers after 0.3 to 2 s"
    LOSES_ANSWERS = "sets up and sends no answer"
    RESETS = "resets the connection under a set-up"


@dataclass(slots=True, frozen=True)
class Service:
    """A class of requests; `deadline` in µs."""

    name: str
    is_paid: bool
    deadline: int


@dataclass(slots=True, frozen=True)
class HostFault:
    """A host's mode from `at` to `until`, in µs from the run's begin."""

    host: int
    mode: HostMode
    at: int
    until: int


@dataclass(slots=True, frozen=True)
class ProcessSignal:
    """A signal to a gateway's process at a time in µs from the run's begin."""

    gateway: int
    sent: signal.Signals
    at: int


@dataclass(slots=True, frozen=True)
class Schedule:
    """All that is done to the gateways in one run; `length` is in µs and `rate` in requests per second."""

    seed: int
    gateways: int
    hosts: int
    length: int
    rate: float
    services: tuple[Service, ...]
    host_faults: tuple[HostFault, ...]
    signals: tuple[ProcessSignal, ...]
    connections: int = 3  # of viewers to each gateway
    repeats_at_once: int = 2  # times that a viewer comes again after a refusal
    cancel_share: float = 0.05  # of requests that their viewer gives up early
    in_pieces_share: float = 0.1  # of requests that are written in pieces

    @property
    def earliest_kill(self) -> int:
        """Return the time in µs from SIGTERM to the earliest SIGKILL."""
        longest = max(each.deadline for each in self.services)
        return min(longest, MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE


def _restarts_one_after_another(
    draw: random.Random, gateways: int, length: int, kill_after: int
) -> list[ProcessSignal]:
    """SIGTERM to one gateway after another, SIGKILL at the page's earliest, some with a SIGHUP before."""
    signals, at, gateway = [], 2 * SECOND, 0
    while at + kill_after < length - 2 * SECOND:
        if draw.random() < 0.4:
            signals.append(ProcessSignal(gateway, signal.SIGHUP, at - draw.randrange(10, 400) * MS))
        signals.append(ProcessSignal(gateway, signal.SIGTERM, at))
        signals.append(ProcessSignal(gateway, signal.SIGKILL, at + kill_after))
        at += draw.randrange(kill_after + START_TIME, kill_after + START_TIME + 2 * SECOND)
        gateway = (gateway + 1) % gateways
    return signals


def _faulty_hosts(
    draw: random.Random, hosts: int, modes: tuple[HostMode, ...], signals: list[ProcessSignal]
) -> list[HostFault]:
    """Let half of the hosts be faulty through each shutdown."""
    faults = []
    for each in signals:
        if each.sent is signal.SIGTERM:
            for host in draw.sample(range(hosts), hosts // 2):
                begin = each.at + draw.randrange(-1000, 3000) * MS
                end = begin + draw.randrange(500, 5000) * MS
                faults.append(HostFault(host, draw.choice(modes), begin, end))
    return faults


def draw_restarts_while_hosts_hang(seed: int) -> Schedule:
    """Shutdowns one after another while hosts hang; viewers go on sending on open connections."""
    modes = (HostMode.HANGS, HostMode.SILENT)
    return _draw_restarts(seed, _STANDARD_SERVICES, modes)


def draw_restarts_while_hosts_fail(seed: int) -> Schedule:
    """Shutdowns one after another while hosts hang, are slow, lose answers or reset connections."""
    return _draw_restarts(seed, _STANDARD_SERVICES, tuple(HostMode))


def draw_restarts_with_short_deadlines(seed: int) -> Schedule:
    """As while hosts fail, with classes of 0.5 and 1 s, so that SIGKILL comes soon."""
    services = (Service("paid", True, SECOND), Service("free", False, 500 * MS))
    return _draw_restarts(seed, services, tuple(HostMode))


_STANDARD_SERVICES = (Service("paid", True, 3 * SECOND), Service("free", False, 5 * SECOND))


def _draw_restarts(seed: int, services: tuple[Service, ...], modes: tuple[HostMode, ...]) -> Schedule:
    draw = random.Random(seed)
    gateways, hosts, length = draw.choice((2, 3)), draw.choice((10, 14, 16)), 24 * SECOND
    empty = Schedule(seed, gateways, hosts, length, 80.0, services, (), ())
    signals = _restarts_one_after_another(draw, gateways, length, empty.earliest_kill + 50 * MS)
    faults = _faulty_hosts(draw, hosts, modes, signals)
    return Schedule(seed, gateways, hosts, length, 80.0, services, tuple(faults), tuple(signals))


CASES: dict[str, Callable[[int], Schedule]] = {
    "restarts-hosts-hang": draw_restarts_while_hosts_hang,
    "restarts-hosts-fail": draw_restarts_while_hosts_fail,
    "restarts-short-deadlines": draw_restarts_with_short_deadlines,
}
