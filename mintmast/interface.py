"""Settings, events and actions of the controller: plain typed records, no choices.

Times are whole microseconds of one clock that only goes forward; rates are kB a second; `server` is an
opaque id that is given back unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """What a second set-up of the same session would do."""

    FREE = 0  # may be repeated without harm
    GUARDED = 1  # a repeat must stay near the first attempt, for a while
    SINGLE_SHOT = 2  # paid for at set-up: must not be repeated unless it never ran


class Outcome(IntEnum):
    """How an attempt ended."""

    SERVED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class ServerState(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a piece of news from the list holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class NoteKind(IntEnum):
    """What a note on a playing session tells."""

    DELIVERED = 1  # share of the rate that is delivered at the server
    RUNG = 2
    LINK = 3  # asked of the server's link over what it gives
    UPLINK = 4  # the same of its rack's uplink


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of sessions."""

    effect: Effect
    target_time: int
    deadline: int
    worth: float
    scale: float = 1.0
    floor: int = 0
    top: int = 255
    seats: int = 0
    group: str = "all"
    window: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's share: requests a second over all gateways that keep their full worth."""

    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class AttemptBudget:
    """Further attempts allowed in any `span`: `free` plus `ratio` for each request taken."""

    span: int
    free: float
    ratio: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told at its start."""

    instance: int
    instances: int
    zone: int
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    rung_kb: tuple[float, ...]
    rung_worth: tuple[float, ...]
    links_kb: float
    weight_kb: float
    has_weights: bool
    kind_streams: tuple[int, ...]
    cells: int
    racks: int
    uplink_kb: float
    guard: float
    shared_adds: float
    class_is_live: tuple[bool, ...]
    stall_cost: float
    change_costs_s: float
    note_age: int
    notes_every: int
    drain_grace: int
    warm_up: int
    warm_up_from: float
    overload_window: int
    overload_factor: float
    budget: AttemptBudget | None
    max_attempts: int
    max_retry_after: int
    may_advise: bool
    may_cancel: bool
    must_subscribe: bool
    load_fields: tuple[str, ...]
    cross_zone_cost: float = 0.0
    move_cost: float = 0.0
    handshake_cost: float = 0.0
    idle_connection_time: int = 0
    connect_time: int = 0  # µs that a set-up may wait for its connection


@dataclass(slots=True, frozen=True)
class ListEntry:
    """One server of the list; `started` 0 means long ago."""

    server: bytes
    state: ServerState
    started: int
    cell: int
    zone: int
    kind: int
    weight: float


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway has come up; the first event of a controller."""


@dataclass(slots=True, frozen=True)
class ServerList:
    """News from the list of servers."""

    kind: ListKind
    version: int
    entries: tuple[ListEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class SessionRequest:
    """A viewer asks for a session; `length_hint` 0 means none."""

    request: int
    service: int
    tenant: int
    title: int
    budget: int
    home_cell: int
    copies: int
    best_rung: int
    length_hint: int = 0
    moved: bool = False
    is_repeat: bool = False


@dataclass(slots=True, frozen=True)
class SessionOpen:
    """A session that already plays when the gateway starts.

    `planned` is false where nobody handed it over: this gateway found it after a death.
    """

    request: int
    service: int
    tenant: int
    title: int
    best_rung: int
    server: bytes
    length_hint: int = 0
    planned: bool = True


@dataclass(slots=True, frozen=True)
class Playing:
    """Set-up is done and the viewer watches."""

    request: int
    attempt: int
    server: bytes
    took: int


@dataclass(slots=True, frozen=True)
class Note:
    """News about a playing session or the server it plays at."""

    request: int
    server: bytes
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """An attempt or a playing session is over; `complete` says that nothing more is owed."""

    request: int
    attempt: int
    server: bytes
    outcome: Outcome
    took: int
    complete: bool
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ViewerGone:
    """Nobody waits for the request any more."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Answer to a health check."""

    server: bytes
    outcome: Outcome
    took: int
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    payload: bytes


Event = (
    Started
    | ServerList
    | SessionRequest
    | SessionOpen
    | Playing
    | Note
    | AttemptEnd
    | ViewerGone
    | TimerFired
    | ProbeResult
    | PeerMessage
)


@dataclass(slots=True, frozen=True)
class SetUp:
    """Ask a server to start the session; the attempt times out at `timeout_at` (0: at the deadline)."""

    request: int
    server: bytes
    timeout_at: int = 0


@dataclass(slots=True, frozen=True)
class SetRung:
    """Choose the rung of a session."""

    request: int
    rung: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """End a request that never ran; the viewer may come again after `retry_after`."""

    request: int
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """End a request that may have run."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Call off an attempt that has not begun to play."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Move:
    """Take a playing session off its server; the viewer comes back to this gateway."""

    request: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Wake the controller after `delay`."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check."""

    server: bytes


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Give back idle connections to a server."""

    server: bytes


@dataclass(slots=True, frozen=True)
class SendToPeers:
    """Send bytes to one peer, or to all with `peer` None."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Open or close the standing subscription to the list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the full list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    SetUp
    | SetRung
    | Refuse
    | Fail
    | Cancel
    | Move
    | SetTimer
    | Probe
    | CloseIdle
    | SendToPeers
    | Subscribe
    | FetchList
    | Log
)
