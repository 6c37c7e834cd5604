"""Events and commands of the session book: types without behaviour.

Times are whole microseconds of the gateway's clock, rates are kB/s. Sessions, requests and polls are numbered
within one generation (run of the gateway's process); `server` is a host's id in the server list.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from mintmast import interface as api
from mintmast.decisions.outcomes import Evidence, Word
from mintmast.interface import ListKind


class Verdict(Enum):
    """The answer to a viewer's request; each request gets exactly one."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


class Told(msgspec.Struct, frozen=True, gc=False):
    """A host's load and a reading of its clock (µs, -1 for none), as its replies carry them."""

    load: tuple[float, ...] = ()
    clock: int = -1


NOTHING = Told()


# Events from fronts


class Ask(msgspec.Struct, frozen=True, gc=False):
    """A front received a viewer's request for a session; the viewer waits `timeout` µs for the answer.

    `key` is the idempotency key that all retries of the viewer carry ("" for none), `best_rung` the highest
    rung that the viewer can use, `length` the clip's length in µs (0 if unknown or live).
    """

    ask: int
    service: int
    tenant: int
    title: int
    home_cell: int
    copies: int
    best_rung: int
    budget: int
    key: str = ""
    length: int = 0
    moved: bool = False
    again: bool = False


class AskGone(msgspec.Struct, frozen=True, gc=False):
    """A front reports that the viewer no longer waits for the answer."""

    ask: int


class Poll(msgspec.Struct, frozen=True, gc=False):
    """A front received a player's steering poll; the player waits `timeout` µs.

    The player has buffered `buffer` µs of media.
    """

    poll: int
    session: int
    buffer: int
    budget: int


class PollGone(msgspec.Struct, frozen=True, gc=False):
    """A front reports that the player no longer waits for the answer to its poll."""

    poll: int


# Events from hosts


class SetUpEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a set-up attempt, once for each `SendSetUp`."""

    session: int
    attempt: int
    evidence: Evidence
    told: Told = NOTHING


class EndEnded(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of an attempt to terminate a session.

    `is_confirmed` is true if the host confirmed that it no longer holds the session.
    """

    session: int
    server: bytes
    sure: bool


class Settled(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a query, sent at `sent_at` (µs), on earlier generations' sessions.

    `reports` has (session, the host's report, its rung) and is empty if no answer came. `memory_since` is the
    time on the host's own clock from which it remembers sessions (µs, -1 if not reported).
    """

    server: bytes
    sent: int
    number: int
    since: int = -1
    words: tuple[tuple[int, Word, int], ...] = ()
    told: Told = NOTHING


class Renewed(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports the end of a lease renewal that it sent at `sent_at` (µs).

    `arrived` is false only if the renewal provably never reached the host; the host does not hold the
    sessions in `unknown_sessions`.
    """

    server: bytes
    sent: int
    number: int
    answered: bool
    arrived: bool
    sessions: tuple[int, ...]
    unknown: tuple[int, ...] = ()
    told: Told = NOTHING


class SessionEnded(msgspec.Struct, frozen=True, gc=False):
    """A host reports that a session has ended there."""

    server: bytes
    session: int


class HostHello(msgspec.Struct, frozen=True, gc=False):
    """The event stream from a host is established.

    `uptime` is how long the host's process has run in µs, None if not reported.
    """

    server: bytes
    process: str
    age: int | None
    drains: bool
    clock: int = -1


class HostTick(msgspec.Struct, frozen=True, gc=False):
    """A host's periodic sign of life, with a reading of its clock in µs."""

    server: bytes
    clock: int


class HostLost(msgspec.Struct, frozen=True, gc=False):
    """A host adapter reports that the event stream broke or could not be opened.

    `random_fraction`, from 0 to 1, is the jitter of the reconnect; `refused` says that the host refused the
    connection.
    """

    server: bytes
    draw: float
    refused: bool = False


class HostDrain(msgspec.Struct, frozen=True, gc=False):
    """A host reports that it started or stopped draining."""

    server: bytes
    drains: bool


class HostNote(msgspec.Struct, frozen=True, gc=False):
    """A host reports the share of a session's rate that it delivers, or its link's or uplink's utilisation.

    Utilisation is the requested rate divided by the capacity.
    """

    server: bytes
    kind: api.NoteKind
    value: float


# Events from operators, list sources and the loop


class Drain(msgspec.Struct, frozen=True, gc=False):
    """An operator orders a host to drain or revokes the order.

    The host should be empty in `within` µs; None means that no deadline was set.
    """

    server: bytes
    on: bool
    within: int | None = None


class ListNews(msgspec.Struct, frozen=True, gc=False):
    """A list source reports the server list, either complete or as changes."""

    kind: ListKind
    version: int
    entries: tuple[api.ListEntry, ...] = ()


class Due(msgspec.Struct, frozen=True, gc=False):
    """The loop reports that the timer of a `ScheduleTimer` has expired."""

    token: tuple


# Commands to fronts


class Give(msgspec.Struct, frozen=True, gc=False):
    """Answer a viewer's request; `reason` is a short text for logs and problem details.

    `retry_after` (µs) is when the viewer may retry. `try_elsewhere` says that no set-up was sent for the
    request and that another gateway may be able to determine the owner of its key.
    """

    ask: int
    verdict: Verdict
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    advice: int = 0
    reason: str = ""
    elsewhere: bool = False


class Steer(msgspec.Struct, frozen=True, gc=False):
    """Answer a player's poll with the host at which to continue; `is_closed`: the session has ended."""

    poll: int
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    title: int = 0
    service: int = 0
    best_rung: int = 0
    moved: bool = False
    over: bool = False


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
    ask: Ask
    number: int
    clock: int
    moved_from: int = 0


class CallOff(msgspec.Struct, frozen=True, gc=False):
    """Cancel a set-up attempt; no `SetUpEnded` need follow."""

    session: int
    attempt: int


class SendRung(msgspec.Struct, frozen=True, gc=False):
    """Set the rung of a playing session at its host."""

    session: int
    server: bytes
    rung: int
    epoch: int


class SendEnd(msgspec.Struct, frozen=True, gc=False):
    """Terminate a session at a host: all its epochs up to this one, including set-ups still under way.

    `TerminationAttemptEnded` reports the end by `until` (µs) at the latest.
    """

    session: int
    server: bytes
    epoch: int
    until: int


class SendRenew(msgspec.Struct, frozen=True, gc=False):
    """Renew the leases of (session, epoch, rung) for `lease` µs; the rung repairs a lost `SendRung`."""

    server: bytes
    sessions: tuple[tuple[int, int, int], ...]
    until: int
    number: int
    clock: int
    lease: int


class SendSettle(msgspec.Struct, frozen=True, gc=False):
    """Query the state of sessions (number, epoch) of earlier generations and take them over.

    `ReconciliationEnded` reports the end by `until` (µs) at the latest. A session that plays gets a lease of
    `lease` µs from `clock` on, as by a renewal; from then on the host rejects the set-up of one that has
    not run.
    """

    server: bytes
    sessions: tuple[tuple[int, int], ...]
    until: int
    number: int
    clock: int
    lease: int


class Watch(msgspec.Struct, frozen=True, gc=False):
    """Open the event stream from a host."""

    server: bytes


class Unwatch(msgspec.Struct, frozen=True, gc=False):
    """Close the event stream from a host that has left the list."""

    server: bytes


# Commands to list sources, the core, the loop and the log


class AskList(msgspec.Struct, frozen=True, gc=False):
    """Request the complete server list; `subscribe` requests its changes as well."""

    standing: bool = False


class Named(msgspec.Struct, frozen=True, gc=False):
    """Register the name that an earlier generation gave to a recovered session."""

    session: int
    name: str


class Ordered(msgspec.Struct, frozen=True, gc=False):
    """Report that an operator's order (`DrainOrdered`) is in force.

    `is_durable` is false if the store could not record it.
    """

    server: bytes
    good: bool


class Wake(msgspec.Struct, frozen=True, gc=False):
    """Deliver `TimerExpired(token)` at `at` (µs)."""

    at: int
    token: tuple


class Say(msgspec.Struct, frozen=True, gc=False):
    """Write one line to the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


Command = object
