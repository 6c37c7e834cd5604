"""The faults of a run as data, drawn from its seed: the same seed plays the same faults at the same times."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
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


class LinkMode(Enum):
    """What the network between the gateways and a host does for a while."""

    LATE_UP = "connections come up after 50 to 400 ms"
    CLOSES_AT_ONCE = "connections are closed as soon as they are up"
    CUT = "nothing arrives in either direction, then connections are closed"
    CUT_TO_GATEWAY = "nothing arrives from the host, then connections are closed"


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
class LinkFault:
    """The mode of the network to a host from `at` to `until`."""

    host: int
    mode: LinkMode
    at: int
    until: int


@dataclass(slots=True, frozen=True)
class ProcessSignal:
    """A signal to a gateway's process at a time in µs from the run's begin.

    A SIGKILL that is not sudden is for the process that got a SIGTERM before, not for its successor.
    """

    gateway: int
    sent: signal.Signals
    at: int
    is_sudden: bool = False


class HostState(Enum):
    """A host's state in the change log, as the protocol names it."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


@dataclass(slots=True, frozen=True)
class ListChange:
    """A change of a host's state that the change log has from `at` on."""

    host: int
    state: HostState
    at: int


class LogMode(Enum):
    """What the change log does for a while."""

    SILENT = "open watches fall silent; new ones are served"
    DOWN = "refuses connections, and breaks those that are open"


@dataclass(slots=True, frozen=True)
class LogFault:
    """The change log's mode from `at` to `until`."""

    mode: LogMode
    at: int
    until: int


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
    link_faults: tuple[LinkFault, ...] = ()
    list_changes: tuple[ListChange, ...] = ()
    log_faults: tuple[LogFault, ...] = ()
    drain_grace: int = SECOND
    connections: int = 3  # of viewers to each gateway
    repeats_at_once: int = 2  # times that a viewer comes again after a refusal
    cancel_share: float = 0.05  # of requests that their viewer gives up early
    in_pieces_share: float = 0.1  # of requests that are written in pieces
    close_share: float = 0.0  # of requests after which their viewer's whole connection ends early

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
            for _ in range(draw.choice((1, 3))):
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


def _crowds(draw: random.Random, gateways: int, length: int, kill_after: int) -> list[ProcessSignal]:
    """SIGTERM to all gateways within 0.2 s, and SIGKILL at the earliest, twice."""
    signals = []
    for begin in (2 * SECOND, length // 2):
        for gateway in range(gateways):
            at = begin + draw.randrange(200) * MS
            signals.append(ProcessSignal(gateway, signal.SIGTERM, at))
            signals.append(ProcessSignal(gateway, signal.SIGKILL, at + kill_after))
    return signals


def _sudden_kills(draw: random.Random, gateways: int, length: int) -> list[ProcessSignal]:
    """SIGKILL without a SIGTERM, at any time."""
    times = range(SECOND, length - 2 * SECOND, 4 * SECOND)
    return [
        ProcessSignal(draw.randrange(gateways), signal.SIGKILL, at + draw.randrange(3 * SECOND), True)
        for at in times
    ]


def _rolling_drains(draw: random.Random, hosts: int, length: int) -> list[ListChange]:
    """Hosts drain one after another, most go, and come back."""
    changes, at = [], 2 * SECOND
    while at < length - 8 * SECOND:
        host = draw.randrange(hosts // 2)  # the others stay, so that requests can be served
        changes.append(ListChange(host, HostState.DRAINING, at))
        if draw.random() < 0.7:
            changes.append(ListChange(host, HostState.GONE, at + 3 * SECOND))
        changes.append(ListChange(host, HostState.READY, at + 6 * SECOND))
        at += draw.randrange(300, 2500) * MS
    return sorted(changes, key=lambda change: change.at)


def _log_faults(draw: random.Random, length: int) -> list[LogFault]:
    """Let the change log fall silent or go down every few seconds, for up to 5 s."""
    faults, at = [], 1500 * MS
    while at < length - 7 * SECOND:
        until = at + draw.randrange(500, 5000) * MS
        faults.append(LogFault(draw.choice(tuple(LogMode)), at, until))
        at = until + draw.randrange(500, 4000) * MS
    return faults


_STANDARD_SERVICES = (Service("paid", True, 3 * SECOND), Service("free", False, 5 * SECOND))
_SHORT_SERVICES = (Service("paid", True, SECOND), Service("free", False, 500 * MS))
_MIXED_SERVICES = (Service("paid", True, 500 * MS), Service("free", False, 2 * SECOND))
_ALL_MODES = tuple(HostMode)


def _empty(draw: random.Random, seed: int, services: tuple[Service, ...]) -> Schedule:
    gateways, hosts = draw.choice((2, 3)), draw.choice((10, 14, 16))
    return Schedule(seed, gateways, hosts, 24 * SECOND, 80.0, services, (), ())


def _with_restarts(
    draw: random.Random, schedule: Schedule, modes: tuple[HostMode, ...], in_crowds: bool = False
) -> Schedule:
    """Add shutdowns, SIGKILL at the page's earliest, and hosts that are faulty meanwhile."""
    plan = _crowds if in_crowds else _restarts_one_after_another
    signals = plan(draw, schedule.gateways, schedule.length, schedule.earliest_kill)
    faults = _faulty_hosts(draw, schedule.hosts, modes, signals)
    return replace(schedule, signals=tuple(signals), host_faults=tuple(faults))


def draw_restarts_while_hosts_hang(seed: int) -> Schedule:
    """Shutdowns one after another while hosts hang; viewers go on sending on open connections."""
    draw = random.Random(seed)
    return _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), (HostMode.HANGS, HostMode.SILENT))


def draw_restarts_while_hosts_fail(seed: int) -> Schedule:
    """Shutdowns one after another while hosts hang, are slow, lose answers or reset connections."""
    draw = random.Random(seed)
    return _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), _ALL_MODES)


def draw_restarts_with_short_deadlines(seed: int) -> Schedule:
    """As while hosts fail, with classes of 0.5 to 2 s, so that SIGKILL comes soon."""
    draw = random.Random(seed)
    services = draw.choice((_SHORT_SERVICES, _MIXED_SERVICES))
    return _with_restarts(draw, _empty(draw, seed, services), _ALL_MODES)


def draw_restarts_in_a_crowd(seed: int) -> Schedule:
    """All gateways shut down at once, under a crowd of viewers that come again at once and in pieces."""
    draw = random.Random(seed)
    schedule = _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), _ALL_MODES, in_crowds=True)
    return replace(schedule, rate=160.0, connections=8, repeats_at_once=5, in_pieces_share=0.4)


def draw_restarts_under_cuts(seed: int) -> Schedule:
    """Shutdowns while links to half of the hosts are cut, come up late or close at once."""
    draw = random.Random(seed)
    schedule = _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), (HostMode.SLOW,))
    faults = [
        LinkFault(each.host, draw.choice(tuple(LinkMode)), each.at, each.until)
        for each in schedule.host_faults
    ]
    return replace(schedule, link_faults=tuple(faults), host_faults=())


def draw_rude_viewers(seed: int) -> Schedule:
    """Sudden kills, and viewers that cancel, close and reset in the middle of their requests."""
    draw = random.Random(seed)
    schedule = _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), _ALL_MODES)
    signals = _sudden_kills(draw, schedule.gateways, schedule.length)
    return replace(
        schedule,
        signals=tuple(signals),
        cancel_share=0.3,
        close_share=0.1,
        in_pieces_share=0.3,
        connections=6,
    )


def draw_drains_while_discovery_fails(seed: int) -> Schedule:
    """Drains while the change log falls silent or is down, and shutdowns."""
    draw = random.Random(seed)
    schedule = _with_restarts(draw, _empty(draw, seed, _STANDARD_SERVICES), (HostMode.SLOW,))
    changes = _rolling_drains(draw, schedule.hosts, schedule.length)
    faults = _log_faults(draw, schedule.length)
    return replace(schedule, list_changes=tuple(changes), log_faults=tuple(faults))


CASES: dict[str, Callable[[int], Schedule]] = {
    "restarts-hosts-hang": draw_restarts_while_hosts_hang,
    "restarts-hosts-fail": draw_restarts_while_hosts_fail,
    "restarts-short-deadlines": draw_restarts_with_short_deadlines,
    "restarts-in-a-crowd": draw_restarts_in_a_crowd,
    "restarts-under-cuts": draw_restarts_under_cuts,
    "rude-viewers": draw_rude_viewers,
    "drains-discovery-fails": draw_drains_while_discovery_fails,
}
