"""What the stand-ins of a run saw, with their clock; the audit reads nothing else. Times are µs."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from enum import Enum

from mintmast.lab.soak.schedule import HostState


class ConnectionEnd(Enum):
    """How a viewer's connection ended."""

    CLOSED = "closed by the gateway"
    RESET = "reset"


class AttemptEnd(Enum):
    """What became of a set-up that reached a host whole."""

    ANSWERED = "set up there"
    ANSWER_LOST = "set up there, answer lost"
    REFUSED = "refused as full"
    FAILED = "failed"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class Answer:
    """A final message to a viewer: an answer, or a release with a cause."""

    at: int
    cause: int | None  # None: the session is established


@dataclass(slots=True)
class Request:
    """A viewer's set-up."""

    call_id: bytes
    service: str
    is_paid: bool
    gateway: str
    sent_at: int
    timeout: int
    answers: list[Answer] = field(default_factory=list)
    connection_ended_at: int | None = None
    connection_end: ConnectionEnd | None = None
    cancelled_at: int | None = None
    was_sent_again: bool = False


@dataclass(slots=True)
class Attempt:
    """A set-up that a host received."""

    call_id: bytes
    host: str
    gateway: str
    received_at: int
    ended_at: int | None = None
    end: AttemptEnd | None = None


@dataclass(slots=True)
class Start:
    """One life of a gateway's process."""

    gateway: str
    started_at: int
    ready_at: int | None = None
    signals: list[tuple[int, signal.Signals]] = field(default_factory=list)
    ended_at: int | None = None
    exit_code: int | None = None

    def time_of(self, wanted: signal.Signals) -> int | None:
        """Return when a signal was sent first, or None."""
        return next((at for at, sent in self.signals if sent is wanted), None)


@dataclass(slots=True)
class Notice:
    """A change of a host's state at `at`, and when the rules count it as told to all gateways."""

    host: str
    state: HostState
    at: int
    told_at: int


@dataclass(slots=True)
class Records:
    """All that was seen in one run."""

    requests: dict[bytes, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
    longest_stall: int = 0  # of the stand-ins' own loop
    longest_excuse_delay: int = 0  # by which a SIGKILL or a host's return from a drain came late

    def record_excuse(self, due: int, at: int) -> None:
        """Record when an act came that excuses a gateway, and when it was due."""
        self.longest_excuse_delay = max(self.longest_excuse_delay, at - due)

    def start_of(self, gateway: str, at: int) -> Start | None:
        """Return the life of the gateway's process at a time."""
        lives = [each for each in self.starts if each.gateway == gateway and each.started_at <= at]
        return lives[-1] if lives else None
