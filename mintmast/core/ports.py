"""The core's interfaces: what a host adapter, a source of the list and a front see of it."""

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
    """A set-up as a host is asked for it; rates in kB a second, times in microseconds."""

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
    until: int  # time of the loop's clock at which the attempt is given up
    call_number: int  # of the call, among those that give leases
    moved_from: str  # the session that it takes the place of, "" for none
    clock: int  # reading of the host's clock that the lease counts from, -1 for none


class HostEvents(Protocol):
    """What a host tells by itself, as the core hears it."""

    def host_connected(
        self, server: bytes, process: str, uptime: int | None, is_draining: bool, clock: int
    ) -> None:
        """Take the first word on a new line; `age` and `clock` in microseconds, `clock` -1 for none."""

    def host_heartbeat(self, server: bytes, clock: int) -> None:
        """Take a sign of life with a reading of the host's clock."""

    def host_disconnected(self, server: bytes, refused: bool) -> None:
        """Take the end of a line, or a try in vain."""

    def host_drain_changed(self, server: bytes, is_draining: bool) -> None:
        """Take a change of the drain state."""

    def host_measured(self, server: bytes, kind: NoteKind, value: float) -> None:
        """Take a share delivered or a use."""

    def session_ended(self, server: bytes, session: str) -> None:
        """Take the end of a session."""


class HostPort(Protocol):
    """What speaks to media hosts. Every `done` is called exactly once, never before the call returns."""

    def attach(self, events: HostEvents) -> None:
        """Tell who hears what hosts say."""

    def set_up(self, request: SetUpRequest, done: Callable[[Evidence, HostStatus], None]) -> None:
        """Ask a host for a session; by `order.until` at the latest the evidence is told."""

    def cancel_set_up(self, session: str, attempt: int) -> None:
        """Break off a set-up; its evidence is told as called off."""

    def set_rung(self, server: bytes, session: str, epoch: int, rung: int, rate_kb: float) -> None:
        """Tell a host the rung of a session."""

    def end_session(
        self, server: bytes, session: str, epoch: int, until: int, done: Callable[[bool], None]
    ) -> None:
        """End a session's epochs up to this one; `done` hears whether that is sure."""

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

        `done` hears whether it was answered, whether it may have arrived, which are unknown there, and the
        load.
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
        """Ask after sessions (by name, with the epoch) of earlier lives, and take over those which play.

        `done` hears from when on the host remembers (its clock, µs, -1 for no answer), and of each session
        its word and its rung.
        """

    def watch(self, server: bytes) -> None:
        """Open the line on which a host tells what happens; its end is told by `lost`."""

    def unwatch(self, server: bytes) -> None:
        """Close that line; nothing more is told of it."""


class PeerEvents(Protocol):
    """What the core hears from other gateways."""

    def handle_call(
        self, call: claim_messages.PeerCall, answer: Callable[[claim_messages.PeerReply], None]
    ) -> None:
        """Answer another gateway's call: `answer` is called once, maybe before this returns."""

    def handle_reply(
        self,
        event: claim_messages.VoteReceived
        | claim_messages.LearnReply
        | claim_messages.ExclusionsAcknowledged,
    ) -> None:
        """Take the end of a call."""


class PeerPort(Protocol):
    """What speaks to other gateways. Each call's end is told once, never before the call returns."""

    def send_claim(self, call: claim_messages.SendClaim) -> None:
        """Claim a key at a witness."""

    def send_release(self, call: claim_messages.SendRelease) -> None:
        """Give a claim back; nobody hears of its end."""

    def send_learn_request(self, call: claim_messages.SendLearnRequest) -> None:
        """Ask what another gateway knows."""

    def send_exclusions(self, call: claim_messages.SendExclusions) -> None:
        """Tell another gateway who is held aside."""


class StorePort(Protocol):
    """What makes records durable; the end of a write that has a token is told once, by `Core.written`."""

    failing: str  # why writes fail, "" where they do not
    size: tuple[int, int]  # bytes of the file, and those of them that hold nothing

    def write(self, command: WriteRecords) -> None:
        """Write these; nothing waits for it here."""

    def close(self) -> None:
        """Write what is left, and end."""


class ListSource(Protocol):
    """Where the list of servers comes from."""

    def start(self, on_update: Callable[[ListKind, int, tuple[ListEntry, ...]], None]) -> None:
        """Begin; `tell` hears each version, whole or as changes."""

    def refresh(self) -> None:
        """Tell the whole list once more."""

    def record_refusal(self, server: bytes, is_refusing: bool) -> None:
        """Take a host's own evidence: it takes no connections, or does again."""


AnswerCallback = Callable[[msg.AnswerRequest], None]
PollCallback = Callable[[msg.AnswerPoll], None]
