"""The core's interfaces to host adapters, peer adapters, stores, list sources and fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.records import WriteRecords
from mintmast.decisions.messages import HostStatus
from mintmast.decisions.outcomes import Evidence, HostReport
from mintmast.interface import ListEntry, ListKind, NoteKind


class SetUpRequest(msgspec.Struct, frozen=True, gc=False):
    """A set-up request to a host; rates in kB/s, times in microseconds."""

    session: str
    attempt: int
    server: bytes
    title: str
    rung: int
    rate_kb: float
    best_rung: int
    epoch: int
    lease: int
    paid: bool
    key: str
    until: int  # time on the loop's clock at which the attempt times out
    call_number: int  # sequence number among the calls that grant leases
    moved_from: str  # the session that this one replaces, "" for none
    clock: int  # reading of the host's clock from which the lease counts, -1 for none


class HostEvents(Protocol):
    """Receives the unsolicited events of hosts."""

    def host_connected(
        self, server: bytes, process: str, uptime: int | None, is_draining: bool, clock: int
    ) -> None:
        """Process an established event stream; `uptime` and `clock` in microseconds, `clock` -1 for none."""

    def host_heartbeat(self, server: bytes, clock: int) -> None:
        """Process a periodic sign of life with a reading of the host's clock."""

    def host_disconnected(self, server: bytes, refused: bool) -> None:
        """Process a broken event stream or a failed connection attempt."""

    def host_drain_changed(self, server: bytes, is_draining: bool) -> None:
        """Process a change of the host's drain state."""

    def host_measured(self, server: bytes, kind: NoteKind, value: float) -> None:
        """Process a delivered share or a utilisation."""

    def session_ended(self, server: bytes, session: str) -> None:
        """Process the end of a session at the host."""


class HostPort(Protocol):
    """The adapter to media hosts. Every `done` is called exactly once, never before the method returns."""

    def attach(self, events: HostEvents) -> None:
        """Set the receiver of the hosts' events."""

    def set_up(self, request: SetUpRequest, done: Callable[[Evidence, HostStatus], None]) -> None:
        """Request a session from a host; `done` receives the evidence by `request.until` at the latest."""

    def cancel_set_up(self, session: str, attempt: int) -> None:
        """Cancel a set-up; its `done` receives the evidence of a cancelled attempt."""

    def set_rung(self, server: bytes, session: str, epoch: int, rung: int, rate_kb: float) -> None:
        """Set the rung of a session at a host."""

    def end_session(
        self, server: bytes, session: str, epoch: int, until: int, done: Callable[[bool], None]
    ) -> None:
        """Terminate a session's epochs up to this one; `done` receives whether the host confirmed it."""

    def renew_leases(
        self,
        server: bytes,
        sessions: tuple[tuple[str, int, int, float], ...],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[bool, bool, tuple[str, ...], HostStatus], None],
    ) -> None:
        """Renew leases of (session, epoch, rung, kB a second).

        `done` receives whether the host replied, whether the call may have arrived, the sessions unknown to
        the host, and the host's status.
        """

    def reconcile_sessions(
        self,
        server: bytes,
        sessions: dict[str, int],
        lease: int,
        until: int,
        number: int,
        clock: int,
        done: Callable[[int, tuple[tuple[str, HostReport, int], ...], HostStatus], None],
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

    def handle_call(
        self, call: claim_messages.PeerCall, answer: Callable[[claim_messages.PeerReply], None]
    ) -> None:
        """Process another gateway's call; `answer` is called once, possibly before this returns."""

    def handle_reply(
        self,
        event: claim_messages.VoteReceived
        | claim_messages.LearnReply
        | claim_messages.ExclusionsAcknowledged,
    ) -> None:
        """Process the end of a call to another gateway."""


class PeerPort(Protocol):
    """The adapter to other gateways; reports each call's end once, never before the method returns."""

    def send_claim(self, call: claim_messages.SendClaim) -> None:
        """Send a claim of a key to a witness."""

    def send_release(self, call: claim_messages.SendRelease) -> None:
        """Release a claim; its end is not reported."""

    def send_learn_request(self, call: claim_messages.SendLearnRequest) -> None:
        """Request another gateway's records."""

    def send_exclusions(self, call: claim_messages.SendExclusions) -> None:
        """Send another gateway the set of excluded gateways."""


class StorePort(Protocol):
    """Makes records durable; `Core.handle_written` receives the end of each write that has a token, once."""

    failing: str  # why writes fail, "" if they do not
    size: tuple[int, int]  # bytes of the file, and how many of them are unused

    def write(self, command: WriteRecords) -> None:
        """Queue records for writing and return at once."""

    def close(self) -> None:
        """Write the queued records and close the store."""


class ListSource(Protocol):
    """The source of the server list."""

    def start(self, on_update: Callable[[ListKind, int, tuple[ListEntry, ...]], None]) -> None:
        """Start; `on_update` receives each version, either complete or as changes."""

    def refresh(self) -> None:
        """Report the complete list again."""

    def record_refusal(self, server: bytes, is_refusing: bool) -> None:
        """Record evidence from a host itself: it refuses connections, or accepts them again."""


AnswerCallback = Callable[[msg.AnswerRequest], None]
PollCallback = Callable[[msg.AnswerPoll], None]
