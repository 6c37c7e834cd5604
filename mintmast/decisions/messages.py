"""Events and commands of the session book: types without behaviour.

Times are whole microseconds of the gateway's clock, rates are kB/s. Sessions, requests and polls are numbered
within one generation (run of the gateway's process); `server` is a host's id in the server list.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast import interface as api
from mintmast.decisions.outcomes import Evidence, HostReport
from mintmast.interface import ListKind


class Verdict(Enum):
    """The answer to a viewer's request; each request gets exactly one."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


class HostStatus(msgspec.Struct, frozen=True, gc=False):
    """A host's load and a reading of its clock (µs, -1 for none), as its replies carry them."""

    load: tuple[float, ...] = ()
    clock: int = -1


NO_STATUS = HostStatus()


# Events from fronts


class ViewerRequest(msgspec.Struct, frozen=True, gc=False):
    """A front received a viewer's request for a session; the viewer waits `timeout` µs for the answer.

    `key` is the idempotency key that all retries of the viewer carry ("" for none), `best_rung` the highest
    rung that the viewer can use, `length` the clip's length in µs (0 if unknown or live).
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
    """A front reports that the viewer no longer waits for the answer."""

    request_id: int


class Poll(msgspec.Struct, frozen=True, gc=False):
    """A front received a player's steering poll; the player waits `timeout` µs.

    The player has buffered `buffer` µs of media.
    """

    poll_id: int
    session: int
    buffer: int
    timeout: int


class PollCancelled(msgspec.Struct, frozen=True, gc=False):
    """A front reports that the player no longer waits for the answer to its poll."""

    poll_id: int


# Events from hosts


class SetUpEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a set-up attempt, once for each `SendSetUp`."""

    session: int
    attempt: int
    evidence: Evidence
    status: HostStatus = NO_STATUS


class TerminationAttemptEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of an attempt to terminate a session.

    `is_confirmed` is true if the host confirmed that it no longer holds the session.
    """

    session: int
    server: bytes
    is_confirmed: bool


class ReconciliationEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a query, sent at `sent_at` (µs), on earlier generations' sessions.

    `reports` has (session, the host's report, its rung) and is empty if no answer came. `memory_since` is the
    time on the host's own clock from which it remembers sessions (µs, -1 if not reported).
    """

    server: bytes
    sent_at: int
    call_number: int
    memory_since: int = -1
    reports: tuple[tuple[int, HostReport, int], ...] = ()
    status: HostStatus = NO_STATUS


class RenewalEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a lease renewal that it sent at `sent_at` (µs).

    `arrived` is false only if the renewal provably never reached the host; the host does not hold the
    sessions in `unknown_sessions`.
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
    """A host reports that a session has ended there."""

    server: bytes
    session: int


class HostConnected(msgspec.Struct, frozen=True, gc=False):
    """The event stream from a host is established.

    `uptime` is how long the host's process has run in µs, None if not reported.
    """

    server: bytes
    process: str
    uptime: int | None
    is_draining: bool
    clock: int = -1


class HostHeartbeat(msgspec.Struct, frozen=True, gc=False):
    """A host's periodic sign of life, with a reading of its clock in µs."""

    server: bytes
    clock: int


class HostDisconnected(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports that the event stream broke or could not be opened.

    `random_fraction`, from 0 to 1, is the jitter of the reconnect; `refused` says that the host refused the
    connection.
    """

    server: bytes
    random_fraction: float
    refused: bool = False


class HostDrainChanged(msgspec.Struct, frozen=True, gc=False):
    """A host reports that it started or stopped draining."""

    server: bytes
    is_draining: bool


class HostMeasurement(msgspec.Struct, frozen=True, gc=False):
    """A host reports the share of a session's rate that it delivers, or its link's or uplink's utilisation.

    Utilisation is the requested rate divided by the capacity.
    """

    server: bytes
    kind: api.NoteKind
    value: float


# Events from operators, list sources and the loop


class DrainOrdered(msgspec.Struct, frozen=True, gc=False):
    """An operator orders a host to drain or revokes the order.

    The host should be empty in `within` µs; None means that no deadline was set.
    """

    server: bytes
    drain: bool
    within: int | None = None


class ServerListUpdate(msgspec.Struct, frozen=True, gc=False):
    """A list source reports the server list, either complete or as changes."""

    kind: ListKind
    version: int
    entries: tuple[api.ListEntry, ...] = ()


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The loop reports that the timer of a `ScheduleTimer` has expired."""

    token: tuple


# Commands to fronts


class AnswerRequest(msgspec.Struct, frozen=True, gc=False):
    """Answer a viewer's request; `reason` is a short text for logs and problem details.

    `retry_after` (µs) is when the viewer may retry. `try_elsewhere` says that no set-up was sent for the
    request and that another gateway may be able to determine the owner of its key.
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
    """Answer a player's poll with the host at which to continue; `is_closed`: the session has ended."""

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


# Commands to host adapters


class SendSetUp(msgspec.Struct, frozen=True, gc=False):
    """Set up a session at a host; `SetUpEnded` reports the end by `until` (µs) at the latest.

    `call_number` is the sequence number of a call that grants leases, `clock` the reading of the host's clock
    (µs, -1 for none) from which the lease counts, `moved_from` the session that it replaces (0 for none).
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
    """Cancel a set-up attempt; no `SetUpEnded` need follow."""

    session: int
    attempt: int


class SendRung(msgspec.Struct, frozen=True, gc=False):
    """Set the rung of a playing session at its host."""

    session: int
    server: bytes
    rung: int
    epoch: int


class SendTermination(msgspec.Struct, frozen=True, gc=False):
    """Terminate a session at a host: all its epochs up to this one, including set-ups still under way.

    `TerminationAttemptEnded` reports the end by `until` (µs) at the latest.
    """

    session: int
    server: bytes
    epoch: int
    until: int


class SendRenewal(msgspec.Struct, frozen=True, gc=False):
    """Renew the leases of (session, epoch, rung) for `lease` µs; the rung repairs a lost `SendRung`."""

    server: bytes
    sessions: tuple[tuple[int, int, int], ...]
    until: int
    call_number: int
    clock: int
    lease: int


class SendReconciliation(msgspec.Struct, frozen=True, gc=False):
    """Query the state of sessions (number, epoch) of earlier generations and take them over.

    `ReconciliationEnded` reports the end by `until` (µs) at the latest. A session that plays gets a lease of
    `lease` µs from `clock` on, as by a renewal; from then on the host rejects the set-up of one that has
    not run.
    """

    server: bytes
    sessions: tuple[tuple[int, int], ...]
    until: int
    call_number: int
    clock: int
    lease: int


class WatchHost(msgspec.Struct, frozen=True, gc=False):
    """Open the event stream from a host."""

    server: bytes


class UnwatchHost(msgspec.Struct, frozen=True, gc=False):
    """Close the event stream from a host that has left the list."""

    server: bytes


# Commands to list sources, the core, the loop and the log


class FetchServerList(msgspec.Struct, frozen=True, gc=False):
    """Request the complete server list; `subscribe` requests its changes as well."""

    subscribe: bool = False


class SessionNamed(msgspec.Struct, frozen=True, gc=False):
    """Register the name that an earlier generation gave to a recovered session."""

    session: int
    name: str


class DrainRecorded(msgspec.Struct, frozen=True, gc=False):
    """Report that an operator's order (`DrainOrdered`) is in force.

    `is_durable` is false if the store could not record it.
    """

    server: bytes
    is_durable: bool


class ScheduleTimer(msgspec.Struct, frozen=True, gc=False):
    """Deliver `TimerFired(token)` at `at` (µs)."""

    at: int
    token: tuple


class LogEvent(msgspec.Struct, frozen=True, gc=False):
    """Write one line to the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


Command = object
