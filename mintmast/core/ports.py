"""The core's interfaces to host adapters, peer adapters, stores, list sources and fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import talk
from mintmast.decisions.gateways.records import Write
from mintmast.decisions.messages import Told
from mintmast.decisions.outcomes import Evidence, Word
from mintmast.interface import ListEntry, ListKind, NoteKind


class Order(msgspec.Struct, frozen=True, gc=False):
    """A set-up request to a host; rates in kB/s, times in microseconds."""

    session: str
    attempt: int
    server: bytes
    title: str
    rung: int
    kb: float
    best_rung: int
    epoch: int
    lease: int
    paid: bool
    key: str
    until: int  # time on the loop's clock at which the attempt times out
    number: int  # sequence number among the calls that grant leases
    moved_from: str  # the session that this one replaces, "" for none
    clock: int  # reading of the host's clock from which the lease counts, -1 for none


class HostEvents(Protocol):
    """Receives the unsolicited events of hosts."""

    def hello(self, server: bytes, process: str, age: int | None, drains: bool, clock: int) -> None:
        """Process an established event stream; `uptime` and `clock` in microseconds, `clock` -1 for none."""

    def tick(self, server: bytes, clock: int) -> None:
        """Process a periodic sign of life with a reading of the host's clock."""

    def lost(self, server: bytes, refused: bool) -> None:
        """Process a broken event stream or a failed connection attempt."""

    def drain(self, server: bytes, drains: bool) -> None:
        """Process a change of the host's drain state."""

    def note(self, server: bytes, kind: NoteKind, value: float) -> None:
        """Process a delivered share or a utilisation."""

    def ended(self, server: bytes, session: str) -> None:
        """Process the end of a session at the host."""


class HostPort(Protocol):
    """The adapter to media hosts. Every `done` is called exactly once, never before the method returns."""

    def attach(self, events: HostEvents) -> None:
        """Set the receiver of the hosts' events."""

    def set_up(self, order: Order, done: Callable[[Evidence, Told], None]) -> None:
        """Request a session from a host; `done` receives the evidence by `request.until` at the latest."""

    def call_off(self, session: str, attempt: int) -> None:
        """Cancel a set-up; its `done` receives the evidence of a cancelled attempt."""

    def rung(self, server: bytes, session: str, epoch: int, rung: int, kb: float) -> None:
        """Set the rung of a session at a host."""

    def end(self, server: bytes, session: str, epoch: int, until: int, done: Callable[[bool], None]) -> None:
        """Terminate a session's epochs up to this one; `done` receives whether the host confirmed it."""

    def renew(
        self,
        server: bytes,
        sessions: tuple[tuple[str, int, int, float], ...],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[bool, bool, tuple[str, ...], Told], None],
    ) -> None:
        """Renew leases of (session, epoch, rung, kB a second).

        `done` receives whether the host replied, whether the call may have arrived, the sessions unknown to
        the host, and the host's status.
        """

    def settle(
        self,
        server: bytes,
        sessions: dict[str, int],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[int, tuple[tuple[str, Word, int], ...], Told], None],
    ) -> None:
        """Query sessions (by name, with the epoch) of earlier generations and take over those that play.

        `done` receives from when on the host remembers sessions (its clock, µs, -1 for no reply), the host's
        report and the rung of each session, and the host's status.
        """

    def watch(self, server: bytes) -> None:
        """Open a host's event stream; `HostEvents.host_disconnected` reports its end."""

    def unwatch(self, server: bytes) -> None:
        """Close a host's event stream without a further event."""


class PeerEvents(Protocol):
    """Receives the calls of other gateways and the results of calls to them."""

    def called(self, call: talk.PeerCall, answer: Callable[[talk.PeerReply], None]) -> None:
        """Process another gateway's call; `answer` is called once, possibly before this returns."""

    def heard(self, event: talk.Voted | talk.Learnt | talk.AsideTold) -> None:
        """Process the end of a call to another gateway."""


class PeerPort(Protocol):
    """The adapter to other gateways; reports each call's end once, never before the method returns."""

    def claim(self, call: talk.SendClaim) -> None:
        """Send a claim of a key to a witness."""

    def release(self, call: talk.SendRelease) -> None:
        """Release a claim; its end is not reported."""

    def learn(self, call: talk.SendLearn) -> None:
        """Request another gateway's records."""

    def aside(self, call: talk.SendAside) -> None:
        """Send another gateway the set of excluded gateways."""


class StorePort(Protocol):
    """Makes records durable; `Core.handle_written` receives the end of each write that has a token, once."""

    failing: str  # why writes fail, "" if they do not
    size: tuple[int, int]  # bytes of the file, and how many of them are unused

    def write(self, command: Write) -> None:
        """Queue records for writing and return at once."""

    def close(self) -> None:
        """Write the queued records and close the store."""


class ListSource(Protocol):
    """The source of the server list."""

    def start(self, tell: Callable[[ListKind, int, tuple[ListEntry, ...]], None]) -> None:
        """Start; `on_update` receives each version, either complete or as changes."""

    def refresh(self) -> None:
        """Report the complete list again."""

    def refuses(self, server: bytes, refuses: bool) -> None:
        """Record evidence from a host itself: it refuses connections, or accepts them again."""


AnswerTo = Callable[[msg.Give], None]
SteerTo = Callable[[msg.Steer], None]
