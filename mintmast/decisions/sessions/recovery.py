"""Crash recovery: what a new generation does with the sessions that earlier generations had set up.

A record says that a set-up may have been sent. Only its host knows what became of it, so the host is queried.
Until it replies the session is neither resent nor refused, keeps its seat, and requests with its key wait.
`outcomes.RECOVERY_TABLE` lists every possible conclusion with its reason. The query also takes over: a
session that plays belongs to this generation from then on, and a set-up still under way can no longer run.

A host that does not reply is queried again until the session's lease has certainly expired. Then nothing
plays, the seat is free, and the key stays used, as the session may have run.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from mintmast import interface as api
from mintmast.decisions.gateways.claims import Claims
from mintmast.decisions.gateways.records import Intent, RecoveredState
from mintmast.decisions.messages import (
    LogEvent,
    ReconciliationEnded,
    ScheduleTimer,
    SendReconciliation,
    SessionNamed,
    Verdict,
    ViewerRequest,
)
from mintmast.decisions.outcomes import RECOVERY_TABLE, HostReport, RecoveryOutcome, memory_covers
from mintmast.decisions.sessions.intents import Catalogue, Intents
from mintmast.decisions.sessions.keys import Keys
from mintmast.decisions.sessions.lease import Lease
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal
from mintmast.interface import NoteKind, Outcome

SECOND = 1_000_000
# µs after which a host that did not reply is queried again, and the timeout of one query
RETRY_INTERVAL_US = SECOND // 2
# sessions in one query: about 20 kB, as in a renewal
MAX_SESSIONS_PER_QUERY = 200
# hosts queried concurrently: a start with a long list must not open all its connections at the same time
MAX_HOSTS_QUERIED = 16


class RecoveryCallbacks(Protocol):
    """The book's operations that the recovery calls."""

    def dispatch(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""

    def close(
        self,
        now: int,
        session: Session,
        verdict: Verdict | None = None,
        retry_after: int = 0,
        reason: str = "",
    ) -> None:
        """Close a session and answer its pending requests."""

    def end_unwatched(self, now: int, session: Session) -> None:
        """Terminate a session that plays but has no viewer."""

    def resume_session(self, now: int, session: Session) -> None:
        """Resume a session that plays and answer its pending requests."""


class Recovery:
    """The recovery of one start; `emit` receives commands."""

    def __init__(
        self,
        callbacks: RecoveryCallbacks,
        settings: api.Settings,
        catalogue: Catalogue,
        sessions: Sessions,
        keys: Keys,
        leases: Leases,
        claims: Claims,
        intents: Intents,
        emit: Callable[[object], None],
    ) -> None:
        self._callbacks, self._settings, self._catalogue = callbacks, settings, catalogue
        self._sessions, self._keys, self._leases = sessions, keys, leases
        self._claims, self._intents, self._emit = claims, intents, emit
        self._unsettled: dict[int, tuple[str, Intent]] = {}  # unsettled session: digest and record
        self._module_informed = False  # whether the module knows the unsettled sessions
        self._waiting_hosts: deque[bytes] = deque()  # hosts still to be queried
        self._pending_calls: dict[bytes, int] = {}  # host being queried: call number
        self.counts = dict.fromkeys((*(each.value for each in RecoveryOutcome), "not offered"), 0)

    def apply_settings(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Apply new settings."""
        self._settings, self._catalogue = settings, catalogue

    def is_unsettled(self, session: int) -> bool:
        """Return whether a session of an earlier generation is not settled yet."""
        return session in self._unsettled

    @property
    def unsettled_count(self) -> int:
        """Number of sessions that are not settled yet."""
        return len(self._unsettled)

    def restore(self, now: int, recovered: RecoveredState) -> None:
        """Restore the records of earlier generations; no host is queried before the hosts are known."""
        for digest, (intent, retention) in sorted(recovered.intents.items(), key=lambda each: each[1][1]):
            self._claims.restore_owned(now, digest, intent.owner, intent.number, retention)
            numbers = self._catalogue.numbers_of(intent)
            if intent.over or numbers is None:
                self.counts["not offered"] += not intent.over
                if not intent.free:
                    self._keys.mark_used(now, intent.key, retention)
                self._intents.restore(now, 0, digest, intent)
            else:
                self._restore_session(now, digest, intent, numbers)
        self._waiting_hosts.extend(
            dict.fromkeys(each.server.encode() for _, each in self._unsettled.values())
        )
        if self._unsettled:
            self._emit(
                LogEvent(
                    "unsettled", (("sessions", len(self._unsettled)), ("hosts", len(self._waiting_hosts)))
                )
            )

    def _restore_session(self, now: int, digest: str, intent: Intent, numbers: tuple[int, int, int]) -> None:
        """Reopen a session as one with an attempt under way."""
        service, tenant, title = numbers
        deadline = now + 2 * self._leases.length
        placement = intent.home, intent.copies, intent.best_rung
        request = ViewerRequest(0, service, tenant, title, *placement, 0, intent.key, intent.length)
        session = self._sessions.open(request, deadline, self._settings.classes[service].effect)
        session.apply_signal(Signal.SENT)
        session.server, session.epoch, session.rung = intent.server.encode(), intent.epoch, intent.rung
        session.sent_at, session.attempts = now, 1
        session.lease = Lease()
        # bounds the last lease of the earlier generation as if it had been granted at this start
        session.lease.record_call(0, now, self._leases.length, None)
        if not session.is_free:
            self._keys.hold(intent.key, session.number)
        self._intents.restore(now, session.number, digest, intent)
        self._unsettled[session.number] = digest, intent
        self._emit(SessionNamed(session.number, intent.session))

    def handle_hosts_known(self, now: int) -> None:
        """Pass the unsettled sessions to the module once it knows hosts, and start to query them.

        Before the module knows a host it would reserve no capacity for these sessions. It also places no
        session before that, so their seats count from its first decision on.
        """
        if self._module_informed:
            return
        self._module_informed = True
        for number in self._unsettled:
            session = self._sessions.by_number[number]
            request = session.request
            session_details = (
                request.service,
                request.tenant,
                request.title,
                request.best_rung,
                session.server or b"",
                request.length,
            )
            self._callbacks.dispatch(now, api.SessionOpen(number, *session_details, planned=False))
        self.continue_queries(now)

    def continue_queries(self, now: int) -> None:
        """Query waiting hosts up to the concurrency limit."""
        while self._waiting_hosts and len(self._pending_calls) < MAX_HOSTS_QUERIED:
            self._query_host(now, self._waiting_hosts.popleft())

    def _query_host(self, now: int, server: bytes) -> None:
        sessions = self._unsettled_at(server)[:MAX_SESSIONS_PER_QUERY]
        if not sessions:
            return
        number, clock = self._leases.begin_reconciliation(now, server, sessions)
        self._pending_calls[server] = number
        queried = tuple((each.number, each.epoch) for each in sessions)
        self._emit(
            SendReconciliation(server, queried, now + RETRY_INTERVAL_US, number, clock, self._leases.length)
        )

    def _unsettled_at(self, server: bytes) -> list[Session]:
        """Return the unsettled sessions at a host."""
        unsettled = (self._sessions.by_number[number] for number in self._unsettled)
        return [each for each in unsettled if each.server == server]

    def handle_reconciliation_ended(self, now: int, event: ReconciliationEnded) -> None:
        """Process the end of a query, with or without a reply."""
        if self._pending_calls.get(event.server) != event.call_number:
            return
        del self._pending_calls[event.server]
        self._leases.record_reading(event.server, event.status.clock, now, event.sent_at)
        for number, report, rung in event.reports:
            if number in self._unsettled:
                self._conclude_from_report(now, number, report, event.memory_since, rung)
        for session in self._unsettled_at(event.server):
            if session.lease is not None and now >= session.lease.expires_at:
                self._conclude(now, session.number, RecoveryOutcome.UNKNOWN)
        if self._unsettled_at(event.server):
            self._emit(ScheduleTimer(now + RETRY_INTERVAL_US, ("settle", event.server)))
        self.continue_queries(now)

    def retry_host(self, now: int, server: bytes) -> None:
        """Queue another query of a host."""
        if server not in self._pending_calls and server not in self._waiting_hosts:
            self._waiting_hosts.append(server)
        self.continue_queries(now)

    def _conclude_from_report(
        self, now: int, number: int, report: HostReport, memory_since: int, rung: int
    ) -> None:
        _, intent = self._unsettled[number]
        self._conclude(
            now, number, RECOVERY_TABLE[report, memory_covers(intent.clock, memory_since)].outcome, rung
        )

    def _conclude(self, now: int, number: int, outcome: RecoveryOutcome, rung: int = 0) -> None:
        digest, intent = self._unsettled.pop(number)
        session = self._sessions.by_number[number]
        self.counts[outcome.value] += 1
        self._emit(LogEvent("settled", (("session", intent.session), ("fate", outcome.value))))
        if not self._unsettled:
            self._emit(LogEvent("all_settled", tuple(self.counts.items())))
        server = session.server or b""
        if outcome is RecoveryOutcome.PLAYS and session.is_free and self._keys.holder(intent.key):
            # the viewer has retried and already has another session
            self._callbacks.end_unwatched(now, session)
            return
        if outcome is RecoveryOutcome.PLAYS:
            self._keys.hold(intent.key, number)
            session.rung = min(max(0, rung), len(self._settings.rung_kb) - 1)
            self._callbacks.dispatch(now, api.Note(number, server, NoteKind.RUNG, float(session.rung)))
            self._callbacks.resume_session(now, session)
            return
        attempt_outcome = Outcome.NOT_SENT if outcome is RecoveryOutcome.NEVER_RAN else Outcome.CANCELLED
        self._callbacks.dispatch(now, api.AttemptEnd(number, 0, server, attempt_outcome, 0, True))
        if outcome is RecoveryOutcome.NEVER_RAN:
            session.apply_signal(Signal.NEVER_RAN)
            self._claims.release_restored(now, digest)
            self._callbacks.close(now, session, Verdict.REFUSED, 0, "its gateway had died")
            return
        session.apply_signal(Signal.MAY_HAVE_RUN)
        self._callbacks.close(now, session, Verdict.FAILED, reason="this key has been spent")
