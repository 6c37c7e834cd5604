"""Settings, events and actions of the controller, as plain typed records.

Times are integer microseconds of one monotonic clock; rates are kB/s; `server` is an opaque id that is
returned unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """The effect of a second set-up of the same session."""

    FREE = 0  # may be repeated without harm
    GUARDED = 1  # for a while, a repeat must stay near the first attempt
    SINGLE_SHOT = 2  # paid at set-up: must not be repeated unless it never ran


class Outcome(IntEnum):
    """The outcome of an attempt."""

    SERVED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class ServerState(IntEnum):
    """The state of a server in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The kind of a server list update."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class NoteKind(IntEnum):
    """The quantity that a report on a playing session carries."""

    DELIVERED = 1  # delivered rate at the server over the requested rate
    RUNG = 2
    LINK = 3  # requested rate of the server's link over its capacity
    UPLINK = 4  # the same for its rack's uplink


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
    """A tenant's share: the requests per second, over all gateways, that keep their full worth."""

    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class AttemptBudget:
    """A retry budget: in any `span`, `free` retries plus `ratio` for each request are allowed."""

    span: int
    free: float
    ratio: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a gateway, fixed at its start."""

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
    connect_time: int = 0  # µs that a set-up may wait for a connection


@dataclass(slots=True, frozen=True)
class ListEntry:
    """One server of the list; a `started` of 0 means long ago."""

    server: bytes
    state: ServerState
    started: int
    cell: int
    zone: int
    kind: int
    weight: float


@dataclass(slots=True, frozen=True)
class Started:
    """The gateway has started; the first event of a controller."""


@dataclass(slots=True, frozen=True)
class ServerList:
    """An update of the server list."""

    kind: ListKind
    version: int
    entries: tuple[ListEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class SessionRequest:
    """A viewer requests a session; a `length_hint` of 0 means none."""

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

    `planned` is false if no predecessor handed it over, but this gateway found it after a crash.
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
    """The set-up is complete and the viewer is watching."""

    request: int
    attempt: int
    server: bytes
    took: int


@dataclass(slots=True, frozen=True)
class Note:
    """A report on a playing session or its server."""

    request: int
    server: bytes
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnd:
    """An attempt or a playing session has ended; with `complete` the request needs no answer any more."""

    request: int
    attempt: int
    server: bytes
    outcome: Outcome
    took: int
    complete: bool
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ViewerGone:
    """The viewer has disconnected and no longer waits for an answer to the request."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The result of a health check."""

    server: bytes
    outcome: Outcome
    took: int
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A payload from another gateway."""

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
    """Send a set-up for the session; the attempt times out at `timeout_at` (0: at the deadline)."""

    request: int
    server: bytes
    timeout_at: int = 0


@dataclass(slots=True, frozen=True)
class SetRung:
    """Set the rung of a session."""

    request: int
    rung: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse a request that never ran; the viewer may retry after `retry_after`."""

    request: int
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request that may have run."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is not playing yet."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Move:
    """Remove a playing session from its server; the viewer returns to this gateway."""

    request: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Schedule a `TimerFired` event after `delay`."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check."""

    server: bytes


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: bytes


@dataclass(slots=True, frozen=True)
class SendToPeers:
    """Send a payload to one peer, or to all if `peer` is None."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Open or close the subscription to server list updates."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Fetch the full server list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operators' log."""

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
