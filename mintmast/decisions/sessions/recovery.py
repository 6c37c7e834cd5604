"""Recovery: what a start does with the paid sessions that its earlier lives had set up.

A record says that a set-up may have left. What became of it only its host can tell, so the host is asked,
and until it has answered the session is neither sent again nor refused, holds its seat, and whoever comes
with its key waits. `outcomes.FATES` is the whole of what may be concluded, each row with its reason. A
question also takes over: a session that plays is held by this life from then on, and a set-up that is still
under way can not run any more.

A host that does not answer is asked again until the session's lease is surely over: then nothing plays, its
seat is free, and its key stays spent, as it may have run.
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
# µs after which a host that did not answer is asked again, and for which one question may take
RETRY_INTERVAL_US = SECOND // 2
# sessions in one question: some 20 kB, as in a renewal
MAX_SESSIONS_PER_QUERY = 200
# hosts asked at once: a start with a long list must not open all its connections in one moment
MAX_HOSTS_QUERIED = 16


class RecoveryCallbacks(Protocol):
    """What the recovery asks of the book."""

    def dispatch(self, now: int, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions."""

    def close(
        self,
        now: int,
        session: Session,
        verdict: Verdict | None = None,
        retry_after: int = 0,
        reason: str = "",
    ) -> None:
        """End a session, and answer those who wait."""

    def end_unwatched(self, now: int, session: Session) -> None:
        """End a session that plays and nobody watches."""

    def resume_session(self, now: int, session: Session) -> None:
        """Let a session that plays go on, and answer those who wait."""


class Recovery:
    """One start's recovery. `emit` takes commands; `done` tells whether all is settled."""

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
        self._unsettled: dict[int, tuple[str, Intent]] = {}  # not settled: digest and record
        self._module_informed = False  # the module knows of them
        self._waiting_hosts: deque[bytes] = deque()  # hosts still to be asked
        self._pending_calls: dict[bytes, int] = {}  # hosts that are being asked: number of the call
        self.counts = dict.fromkeys((*(each.value for each in RecoveryOutcome), "not offered"), 0)

    def apply_settings(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Go on with these settings."""
        self._settings, self._catalogue = settings, catalogue

    def is_unsettled(self, session: int) -> bool:
        """Tell whether a session of an earlier life is not settled yet."""
        return session in self._unsettled

    @property
    def unsettled_count(self) -> int:
        """Sessions that are not settled yet."""
        return len(self._unsettled)

    def restore(self, now: int, recovered: RecoveredState) -> None:
        """Take the records of earlier lives; nothing is asked before the hosts are known."""
        for digest, (intent, keep) in sorted(recovered.intents.items(), key=lambda each: each[1][1]):
            self._claims.restore_owned(now, digest, intent.owner, intent.number, keep)
            numbers = self._catalogue.numbers_of(intent)
            if intent.over or numbers is None:
                self.counts["not offered"] += not intent.over
                if not intent.free:
                    self._keys.mark_used(now, intent.key, keep)
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
        """Open a session again as one whose attempt is out."""
        service, tenant, title = numbers
        deadline = now + 2 * self._leases.length
        where = intent.home, intent.copies, intent.best_rung
        request = ViewerRequest(0, service, tenant, title, *where, 0, intent.key, intent.length)
        session = self._sessions.open(request, deadline, self._settings.classes[service].effect)
        session.apply_signal(Signal.SENT)
        session.server, session.epoch, session.rung = intent.server.encode(), intent.epoch, intent.rung
        session.sent_at, session.attempts = now, 1
        session.lease = Lease()
        # what the life before gave last is over by then, as if it had been sent at this start
        session.lease.record_call(0, now, self._leases.length, None)
        if not session.is_free:
            self._keys.hold(intent.key, session.number)
        self._intents.restore(now, session.number, digest, intent)
        self._unsettled[session.number] = digest, intent
        self._emit(SessionNamed(session.number, intent.session))

    def handle_hosts_known(self, now: int) -> None:
        """Hand the sessions to the module, once it knows of hosts, and begin to ask.

        Danger: before it knows a host it would charge nothing for them. Before it knows one it sends nothing
        either, so their seats count from its first decision on.
        """
        if self._module_informed:
            return
        self._module_informed = True
        for number in self._unsettled:
            session = self._sessions.by_number[number]
            request = session.request
            about = (
                request.service,
                request.tenant,
                request.title,
                request.best_rung,
                session.server or b"",
                request.length,
            )
            self._callbacks.dispatch(now, api.SessionOpen(number, *about, planned=False))
        self.continue_queries(now)

    def continue_queries(self, now: int) -> None:
        """Ask hosts, as many at once as may be."""
        while self._waiting_hosts and len(self._pending_calls) < MAX_HOSTS_QUERIED:
            self._query_host(now, self._waiting_hosts.popleft())

    def _query_host(self, now: int, server: bytes) -> None:
        here = self._unsettled_at(server)[:MAX_SESSIONS_PER_QUERY]
        if not here:
            return
        number, clock = self._leases.begin_reconciliation(now, server, here)
        self._pending_calls[server] = number
        queried = tuple((each.number, each.epoch) for each in here)
        self._emit(
            SendReconciliation(server, queried, now + RETRY_INTERVAL_US, number, clock, self._leases.length)
        )

    def _unsettled_at(self, server: bytes) -> list[Session]:
        """Give what is not settled at a host."""
        found = (self._sessions.by_number[number] for number in self._unsettled)
        return [each for each in found if each.server == server]

    def handle_reconciliation_ended(self, now: int, event: ReconciliationEnded) -> None:
        """Take a host's answer, or that there was none."""
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
        """Ask a host once more."""
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
            self._callbacks.end_unwatched(now, session)  # its viewer came again and has another one by now
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
