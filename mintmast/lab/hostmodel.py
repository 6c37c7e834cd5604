"""What a stand-in host is: its link, its rack's uplink, its warm-up, and the sessions that it holds.

Sessions ask their rung's rate times a true factor of their title; a link, and the uplink that its rack
shares, give all of them the same part when more is asked. A host that started is cold, and falls over when it
is sent set-ups too fast.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from mintmast.loop import Loop

# share under which delivery counts as short
SHORT = 0.98


@dataclass(slots=True)
class HostModel:
    """What a stand-in is: rates in kB a second, times in µs."""

    link_kb: float = 400.0
    streams: int = 30
    set_up_time: int = 8_000
    cold: int = 12_000_000
    cold_from: float = 0.4
    fall: int = 1_500_000
    fall_multiple: float = 2.5
    notes_every: int = 3_000_000
    report_delay: int = 300_000
    idle: int = 6_000_000  # a session whose player asks nothing for so long has been left
    vary: float = 0.15  # true rates lie so far from the ladder's, by title
    guard: float = 0.0


@dataclass(slots=True)
class Rack:
    """An uplink and the hosts that share it."""

    uplink_kb: float = 1e12
    hosts: list[Link] = field(default_factory=list)

    def use(self) -> float:
        """Give what is asked over what it gives."""
        return sum(min(host.asked(), host.rate()) for host in self.hosts if host.alive) / self.uplink_kb


@dataclass(slots=True)
class Held:
    """A session at its host."""

    name: str
    title: str
    rung: int
    kb: float
    epoch: int
    who: str
    key: str
    until: int
    paid: bool
    factor: float
    seen: int
    idempotency: str = ""
    came_from: str = ""  # the session that it takes the place of
    call: int = 0  # number of the last call that gave it a lease


class Link:
    """A host's link as its sessions load it. Times are µs of the host's clock."""

    def __init__(self, loop: Loop, model: HostModel, rack: Rack, cold_start: bool) -> None:
        self.loop, self.model, self.rack, self.cold_start = loop, model, rack, cold_start
        self.started = loop.now()
        self.sessions: dict[str, Held] = {}
        self.alive = True
        self.hang = False  # nothing is carried and nothing answered
        self.weak = 1.0  # it gives so much less
        self._arrivals: deque[int] = deque()

    def rate(self) -> float:
        """Give what the link carries now."""
        return self.model.link_kb / self.weak * self.warmth()

    def asked(self) -> float:
        """Give what its sessions ask of the link."""
        return sum(each.kb * each.factor for each in self.sessions.values())

    def warmth(self) -> float:
        """Give the part of its capacity that it has."""
        if not self.cold_start:
            return 1.0
        age = max(0, self.loop.now() - self.started)
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age / self.model.cold)

    def share(self) -> float:
        """Give the part of their rates that its sessions get."""
        if self.hang:
            return 0.0
        return min(1.0, self.rate() / max(1e-9, self.asked()), 1 / max(1e-9, self.rack.use()))

    def overrun(self) -> tuple[int, float] | None:
        """Count a set-up against the cold pace; give how many were sent and borne where that is too much."""
        now, model = self.loop.now(), self.model
        if not self.cold_start or now - self.started > model.cold:
            return None
        self._arrivals.append(now)
        while self._arrivals[0] <= now - model.fall:
            self._arrivals.popleft()
        most = model.fall_multiple * model.streams / model.cold * self.warmth() * model.fall
        return (len(self._arrivals), most) if len(self._arrivals) > max(1.0, most) else None
