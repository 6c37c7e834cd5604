"""What goes into the session book and what comes out of it: types and nothing else.

All times are whole microseconds of the gateway's clock, rates kB a second; sessions, asks and polls are
numbers of this gateway's life, `server` is a host's id as the list has it.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast import interface as api
from mintmast.decisions.outcomes import Evidence, HostReport
from mintmast.interface import ListKind


class Verdict(Enum):
    """The one answer to an ask."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


class HostStatus(msgspec.Struct, frozen=True, gc=False):
    """What a host's word carries beside its matter: its load, a reading of its clock (µs, -1 for none)."""

    load: tuple[float, ...] = ()
    clock: int = -1


NO_STATUS = HostStatus()


# In: from fronts


class ViewerRequest(msgspec.Struct, frozen=True, gc=False):
    """A front: a viewer asks; he waits `budget` µs, and `key` stays with him over his tries ("" for none).

    `best_rung` is the highest rung he can use, `length` the clip's length in µs (0 for not known or live).
    """

    request_id: int
    service: int
    tenant: int
    title: int
    home_cell: int
    copies: int
    best_rung: int
    timeout: int
    key: str = ""
    length: int = 0
    moved: bool = False
    is_retry: bool = False


class RequestCancelled(msgspec.Struct, frozen=True, gc=False):
    """A front: the viewer waits no more."""

    request_id: int


class Poll(msgspec.Struct, frozen=True, gc=False):
    """A front: a player asks where to go on, and waits `budget` µs; it holds `buffer` µs of media ahead."""

    poll_id: int
    session: int
    buffer: int
    timeout: int


class PollCancelled(msgspec.Struct, frozen=True, gc=False):
    """A front: the player waits no more for the answer to its poll."""

    poll_id: int


# In: from hosts


class SetUpEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter: what was seen of a set-up; once for each sent."""

    session: int
    attempt: int
    evidence: Evidence
    status: HostStatus = NO_STATUS


class TerminationAttemptEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter: a try to end a session is over; `sure` says that the host holds it no more."""

    session: int
    server: bytes
    is_confirmed: bool


class ReconciliationEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter: a question after sessions of earlier lives, sent at `sent` (µs), is over.

    `words` are (session, the host's word, its rung), nothing where no answer came; `since` is from when on
    the host remembers, on its own clock (µs, -1 for not told).
    """

    server: bytes
    sent_at: int
    call_number: int
    memory_since: int = -1
    reports: tuple[tuple[int, HostReport, int], ...] = ()
    status: HostStatus = NO_STATUS


class RenewalEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter: a renewal's call, sent at `sent` (µs), is over; `unknown` the host does not hold.

    `arrived` is false where it provably never came to the host.
    """

    server: bytes
    sent_at: int
    call_number: int
    answered: bool
    arrived: bool
    sessions: tuple[int, ...]
    unknown_sessions: tuple[int, ...] = ()
    status: HostStatus = NO_STATUS


class SessionEnded(msgspec.Struct, frozen=True, gc=False):
    """A host: a session is over there."""

    server: bytes
    session: int


class HostConnected(msgspec.Struct, frozen=True, gc=False):
    """A host: the line stands; `age` is how long its process has run in µs, None for not told."""

    server: bytes
    process: str
    uptime: int | None
    is_draining: bool
    clock: int = -1


class HostHeartbeat(msgspec.Struct, frozen=True, gc=False):
    """A host: a sign of life, with a reading of its clock in µs."""

    server: bytes
    clock: int


class HostDisconnected(msgspec.Struct, frozen=True, gc=False):
    """A host adapter: the line broke or was not to be had; `draw` is a random number from 0 to 1."""

    server: bytes
    random_fraction: float
    refused: bool = False


class HostDrainChanged(msgspec.Struct, frozen=True, gc=False):
    """A host: it drains, or drains no more."""

    server: bytes
    is_draining: bool


class HostMeasurement(msgspec.Struct, frozen=True, gc=False):
    """A host: a share delivered, or the use of its link or uplink (asked over given)."""

    server: bytes
    kind: api.NoteKind
    value: float


# In: from other gateways


# In: from operators, sources and the loop


class DrainOrdered(msgspec.Struct, frozen=True, gc=False):
    """An operator: drain a host, or take that back; `within` µs it is to be empty, None for not said."""

    server: bytes
    drain: bool
    within: int | None = None


class ServerListUpdate(msgspec.Struct, frozen=True, gc=False):
    """A source of the list: news, whole or as changes."""

    kind: ListKind
    version: int
    entries: tuple[api.ListEntry, ...] = ()


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The loop: a `Wake` has come."""

    token: tuple


# Out: to fronts


class AnswerRequest(msgspec.Struct, frozen=True, gc=False):
    """To a front: answer an ask. `advice` is in µs; `reason` a short word for logs and problem details.

    With `elsewhere` nothing was sent for this ask, and another gateway may be able to tell who has its key.
    """

    request_id: int
    verdict: Verdict
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    retry_after: int = 0
    reason: str = ""
    try_elsewhere: bool = False


class AnswerPoll(msgspec.Struct, frozen=True, gc=False):
    """To a front: answer a poll: play on at this host, or (with `over`) nowhere."""

    poll_id: int
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    title: int = 0
    service: int = 0
    best_rung: int = 0
    moved: bool = False
    is_closed: bool = False


# Out: to hosts


class SendSetUp(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: set a session up; `SetUpEnded` tells its end, by `until` (µs) at the latest.

    `number` counts calls that give leases, `clock` is the reading of the host's clock (µs, -1 for none) that
    the lease counts from, `moved_from` the session that it takes the place of (0 for none).
    """

    session: int
    attempt: int
    server: bytes
    rung: int
    epoch: int
    until: int
    request: ViewerRequest
    call_number: int
    clock: int
    moved_from: int = 0


class CancelSetUp(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: break off a set-up; no `SetUpEnded` need follow."""

    session: int
    attempt: int


class SendRung(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: tell a host the rung of a session that plays."""

    session: int
    server: bytes
    rung: int
    epoch: int


class SendTermination(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: end a session there, all its epochs up to this one, also those still under way.

    The try is over by `until` (µs).
    """

    session: int
    server: bytes
    epoch: int
    until: int


class SendRenewal(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: renew (session, epoch, rung) for `lease` µs; the rung mends a lost change."""

    server: bytes
    sessions: tuple[tuple[int, int, int], ...]
    until: int
    call_number: int
    clock: int
    lease: int


class SendReconciliation(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: ask what became of sessions (number, epoch) of earlier lives, and take them over.

    `Settled` tells the end by `until` (µs). One that plays gets a lease of `lease` µs from `clock` on, as by
    a renewal; one that has not run is passed over from then on.
    """

    server: bytes
    sessions: tuple[tuple[int, int], ...]
    until: int
    call_number: int
    clock: int
    lease: int


class WatchHost(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: open the line to a host."""

    server: bytes


class UnwatchHost(msgspec.Struct, frozen=True, gc=False):
    """To a host adapter: close the line to a host that is gone."""

    server: bytes


# Out: to other gateways


# Out: to sources, loop and log


class FetchServerList(msgspec.Struct, frozen=True, gc=False):
    """To the sources: tell all of the list, or (with `standing`) its changes."""

    subscribe: bool = False


class SessionNamed(msgspec.Struct, frozen=True, gc=False):
    """To the core: this session goes under a name that an earlier life gave it."""

    session: int
    name: str


class DrainRecorded(msgspec.Struct, frozen=True, gc=False):
    """To the core: an operator's order (`Drain`) is taken, and durable where there is a store."""

    server: bytes
    is_durable: bool


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """To the loop: hand in `Due(token)` at `at` (µs)."""

    at: int
    token: tuple


class LogEvent(msgspec.Struct, frozen=True, gc=False):
    """To the log: one line."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


Command = object
