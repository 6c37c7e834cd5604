"""The session book: maps viewers' requests, hosts' replies and the placement module's actions to commands.

It is pure: `handle(now, event)` returns the resulting commands. It connects the module, which decides
placement, with the network, and keeps the guarantees that neither can keep: one answer for each request, at
most one attempt under way for a session, the termination of every session that a host may hold and no viewer
wants, and the lease of each playing session.

The book only routes: an event goes to the part that owns its subject, and the effects of one part on another
are stated here, in one place. The parts are `requests`, `keys`, `sessions`, `setups`, `leases`,
`terminations`, `active_moves`, `claims` and `fleet`; `docs/architecture.md` describes them all.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast import interface as api
from mintmast.decisions.gateways.claim_messages import (
    ExclusionsAcknowledged,
    LearnReply,
    PeerCall,
    PeerStatusChanged,
    ProcessDisqualified,
    VoteReceived,
)
from mintmast.decisions.gateways.claims import NO_QUORUM_REASON, Claims
from mintmast.decisions.gateways.records import RecordsWritten, RecoveredState
from mintmast.decisions.messages import (
    AnswerRequest,
    CancelSetUp,
    Command,
    DrainOrdered,
    HostConnected,
    HostDisconnected,
    HostDrainChanged,
    HostHeartbeat,
    HostMeasurement,
    LogEvent,
    Poll,
    PollCancelled,
    ReconciliationEnded,
    RenewalEnded,
    RequestCancelled,
    ScheduleTimer,
    ServerListUpdate,
    SessionEnded,
    SetUpEnded,
    TerminationAttemptEnded,
    TimerFired,
    Verdict,
    ViewerRequest,
)
from mintmast.decisions.outcomes import Evidence, OutcomeRow
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.actions import ActionExecutor
from mintmast.decisions.sessions.active_moves import ActiveMoves
from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.decisions.sessions.fleet import Fleet
from mintmast.decisions.sessions.intents import Catalogue, Intents
from mintmast.decisions.sessions.keys import Keys
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.orders import OperatorOrders
from mintmast.decisions.sessions.recovery import Recovery
from mintmast.decisions.sessions.requests import PendingRequests
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal, Stage
from mintmast.decisions.sessions.setups import SetUps
from mintmast.decisions.sessions.terminations import Terminations
from mintmast.interface import Outcome

# µs after a session's deadline at which the book itself answers if no end of the attempt was reported. A bug
# in the network code must not cost a viewer the answer, and the adapter's own timer must expire first
ANSWER_BACKSTOP_US = 5_000
EMPTY_CATALOGUE = Catalogue()


class SessionBook:
    """The session book of one gateway.

    `handle_module_event` is the module's `handle`, `lease_length` the length of a lease in µs.
    """

    def __init__(
        self,
        settings: api.Settings,
        handle_module_event: Callable[[int, api.Event], list[api.Action]],
        lease_length: int,
        epoch_base: int = 0,
        outcome_table: dict[Evidence, OutcomeRow] | None = None,
        gateway: str = "",
        generation: int = 0,
        members: tuple[str, ...] = (),
        catalogue: Catalogue = EMPTY_CATALOGUE,
    ) -> None:
        self.settings = settings
        self._commands: list[Command] = []
        self.sessions, self.keys = Sessions(), Keys()
        self.pending_requests = PendingRequests(self._emit)
        self.leases, self.terminations = (
            Leases(lease_length, self._emit),
            Terminations(lease_length, self._emit),
        )
        self.claims = Claims(gateway, generation, members, self._emit, self._handle_claim_decided)
        self.record_writer = self.claims.witness_service.record_writer
        self.intents = Intents(self.record_writer, self.claims, catalogue, gateway, generation)
        self.set_ups = SetUps(
            self.leases,
            self.terminations,
            self._emit,
            epoch_base,
            outcome_table,
            self.intents.record_set_up,
            self._handle_set_up_ended,
        )
        self.retry_budget = RetryBudget(settings.budget)
        self.moves = ActiveMoves(
            settings, self, self.sessions, self.leases, self.terminations, self.retry_budget, self._emit
        )
        self.actions = ActionExecutor(
            handle_module_event, self, self.sessions, self.set_ups, self.moves, self._emit
        )
        self.fleet = Fleet(self, self.sessions, self.leases, self.moves, self._emit)
        self.host_watch = self.fleet.watch
        self.recovery = Recovery(
            self,
            settings,
            catalogue,
            self.sessions,
            self.keys,
            self.leases,
            self.claims,
            self.intents,
            self._emit,
        )
        self.orders = OperatorOrders(self.fleet, self.record_writer, self._emit)
        self.handlers: dict[type, Callable] = {
            ViewerRequest: self._handle_request,
            RequestCancelled: self._handle_request_cancelled,
            Poll: lambda now, e: self.moves.handle_poll(now, e, self.host_watch.should_vacate),
            PollCancelled: lambda now, e: self.moves.cancel_poll(e.poll_id),
            SetUpEnded: self._handle_set_up_ended,
            TerminationAttemptEnded: self._handle_termination_attempt_ended,
            RenewalEnded: self._handle_renewal_ended,
            SessionEnded: self._handle_session_ended,
            HostConnected: self.fleet.handle_connected,
            HostHeartbeat: lambda now, e: self.leases.record_reading(e.server, e.clock, now, None),
            HostDisconnected: self.fleet.handle_disconnected,
            HostDrainChanged: self.fleet.handle_drain_changed,
            HostMeasurement: self.fleet.handle_measurement,
            PeerCall: lambda now, e: self.claims.witness_service.handle_call(now, e),
            VoteReceived: lambda now, e: self.claims.handle_vote(now, e),
            LearnReply: lambda now, e: self.claims.witness_service.handle_learn_reply(now, e),
            ExclusionsAcknowledged: lambda now, e: self.claims.witness_service.handle_exclusions_acknowledged(
                now, e
            ),
            PeerStatusChanged: self._handle_peer_state,
            ProcessDisqualified: lambda now, e: self.claims.witness_service.disqualify(now, e),
            RecordsWritten: lambda now, e: self.record_writer.handle_written(now, e),
            ReconciliationEnded: lambda now, e: self.recovery.handle_reconciliation_ended(now, e),
            DrainOrdered: self.orders.handle_drain_order,
            ServerListUpdate: self._handle_list_update,
            TimerFired: self._handle_timer,
        }

    def start(self, now: int, recovered: RecoveredState | None = None) -> list[Command]:
        """Start, with the records of earlier generations if there is a store; must be the first call."""
        self._commands = []
        self.claims.witness_service.start(now, recovered)
        if recovered is not None:
            self.recovery.restore(now, recovered)
            self.orders.restore(now, recovered)
        self.dispatch(now, api.Started())
        return self._commands

    def handle(self, now: int, event: object) -> list[Command]:
        """Process one event at time `now` and return the resulting commands."""
        self._commands = []
        self.handlers[type(event)](now, event)
        return self._commands

    def apply_settings(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Apply new settings between two events; class, tenant and title numbers keep their meaning."""
        self.settings = settings
        self.intents.use_catalogue(catalogue)
        self.moves.apply_settings(settings)
        self.recovery.apply_settings(settings, catalogue)

    def has_session(self, key: str, title: int) -> bool:
        """Return whether a session of this title is being set up or plays for a key."""
        session = self.sessions.get(self.keys.holder(key)) if key else None
        return session is not None and session.request.title == title

    @property
    def held(self) -> int:
        """Number of sessions that are being set up or play."""
        return len(self.sessions.by_number)

    def _emit(self, command: Command) -> None:
        self._commands.append(command)

    # Viewers

    def _handle_request(self, now: int, request: ViewerRequest) -> None:
        session = self.sessions.get(self.keys.holder(request.key)) if request.key else None
        if (
            session is not None
            and session.request.title == request.title
            and session.request.service == request.service
        ):
            if session.is_playing:
                self.pending_requests.answer(request.request_id, session, Verdict.PLAYS)
                return
            under_way = session.has_attempt_out or self.claims.is_pending(session.number)
            found = self.recovery.is_unsettled(session.number)
            if under_way and (session.waiting_requests or self.moves.is_move_target(session.number) or found):
                self.pending_requests.add(now, session, request)
                return
        if self.keys.is_used(now, request.key) or (session is not None and not session.is_free):
            # the paid session may have run, or runs for another title: a second set-up would charge twice
            self._emit(AnswerRequest(request.request_id, Verdict.FAILED, reason="this key has been spent"))
            return
        session = self.sessions.open(
            request, now + request.timeout, self.settings.classes[request.service].effect
        )
        self.keys.hold(request.key, session.number)
        self.pending_requests.add(now, session, request)
        self.retry_budget.record_request(now)
        self._emit(ScheduleTimer(session.deadline + ANSWER_BACKSTOP_US, ("late", session.number)))
        if request.key and not session.is_free and self.claims.enabled:
            # at most half of the viewer's timeout, which leaves the other half for the set-up
            self.claims.claim_key(
                now, session.number, request.key, request.length, now + request.timeout // 2
            )
        else:
            self._place_or_fail(now, session)

    def _handle_claim_decided(self, now: int, number: int, failure: str) -> None:
        """Place a session whose key claim succeeded, or close it; `failure` is the reason, "" for success."""
        session = self.sessions.get(number)
        if session is None:
            return
        if failure == NO_QUORUM_REASON:
            # the key's owner cannot be determined here, but perhaps at another gateway
            self.pending_requests.answer_all(session, Verdict.FAILED, reason=failure, try_elsewhere=True)
        if failure or not session.waiting_requests or now >= session.deadline:
            self.close(now, session, Verdict.FAILED, reason=failure or "time is up")
        else:
            self._place_or_fail(now, session)

    def _place_or_fail(self, now: int, session: Session) -> None:
        self.request_placement(now, session)
        if session.waiting_requests and not session.has_attempt_out:
            # the module must have sent or closed it by rule 1
            self._emit(LogEvent("unanswered", (("session", session.number),)))
            self.close(now, session, Verdict.FAILED, reason="undecided")

    def request_placement(self, now: int, session: Session) -> None:
        """Request a host for the session from the module."""
        viewer_request = session.request
        request = api.SessionRequest(
            session.number,
            viewer_request.service,
            viewer_request.tenant,
            viewer_request.title,
            session.deadline - now,
            viewer_request.home_cell,
            viewer_request.copies,
            viewer_request.best_rung,
            viewer_request.length,
            viewer_request.moved,
            viewer_request.is_retry,
        )
        self.dispatch(now, request)

    def _handle_request_cancelled(self, now: int, event: RequestCancelled) -> None:
        self._cancel_unwatched(now, self.pending_requests.cancel(event.request_id))

    def _cancel_unwatched(self, now: int, session: Session | None) -> None:
        if session is not None and self.recovery.is_unsettled(session.number):
            return  # its host is queried whether or not a viewer waits
        if session is not None and session.has_attempt_out:
            self.dispatch(now, api.ViewerGone(session.number))
        elif session is not None and self.claims.is_pending(session.number):
            self.close(now, session)

    def close(
        self,
        now: int,
        session: Session,
        verdict: Verdict | None = None,
        retry_after: int = 0,
        reason: str = "",
    ) -> None:
        """Close a session: answer its requests, remove it and retain a key that must not run again."""
        if session.has_attempt_out:  # no attempt may stay at a host without a termination
            self.set_ups.give_up(now, session, Signal.CALLED_OFF)
        if session.stage is not Stage.OVER:
            session.apply_signal(Signal.ENDED if session.is_playing else Signal.CLOSED)
        if verdict is not None:
            self.pending_requests.answer_all(session, verdict, retry_after, reason)
        self.sessions.remove(session)
        self.keys.release(
            now, session.request.key, session.number, session.may_have_run and not session.is_free
        )
        self.claims.finish_session(now, session.number, session.may_have_run)
        self.intents.record_end(now, session.number, session.may_have_run)
        self.moves.handle_closed(now, session)

    # The module

    def dispatch(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""
        self.actions.dispatch(now, event)

    # Attempts

    def send_set_up(self, now: int, session: Session, server: bytes, timeout_at: int) -> None:
        """Send a session's set-up to the host that the module has chosen."""
        if session.stage is Stage.ASKED and self.moves.hold_place(session.number, server, timeout_at):
            return
        if session.attempts:
            self.retry_budget.record_attempt(now)
        self.set_ups.send(now, session, server, timeout_at, self.moves.moved_from(session.number))

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session's set-up to the host where a place was held for it."""
        self.keys.hold(session.request.key, session.number)
        self._emit(ScheduleTimer(session.deadline + ANSWER_BACKSTOP_US, ("late", session.number)))
        self.set_ups.send(now, session, server, timeout_at, moved_from)

    def _handle_set_up_ended(self, now: int, event: SetUpEnded) -> None:
        session = self.sessions.get(event.session)
        if event.evidence is Evidence.UNRECORDED and session is not None:
            session.refusal_reason = "records cannot be written"
            self._emit(LogEvent("unrecorded", (("session", session.number),)))
        outcome_row = self.set_ups.record_end(now, session, event)
        if outcome_row is None or session is None or session.server is None:
            return
        server, duration, load = session.server, now - session.sent_at, event.status.load
        unwatched = not session.waiting_requests and not self.moves.is_move_target(session.number)
        if outcome_row.outcome is None and unwatched:
            self.set_ups.give_up(now, session, Signal.UNWATCHED)
            self.close(now, session)
            attempt_end = api.AttemptEnd(
                event.session, event.attempt, server, Outcome.SERVED, duration, True, load
            )
            self.dispatch(now, attempt_end)
        elif outcome_row.outcome is None:
            self._handle_started(now, session, server, duration, load)
        else:
            attempt_end = api.AttemptEnd(
                event.session, event.attempt, server, outcome_row.outcome, duration, unwatched, load
            )
            self.dispatch(now, attempt_end)
            if self.sessions.get(event.session) is not None and not session.has_attempt_out:
                self.close(now, session, Verdict.FAILED, reason="over")

    def _handle_started(
        self, now: int, session: Session, server: bytes, duration: int, load: tuple[float, ...]
    ) -> None:
        number = session.number
        self._mark_playing(now, session, server)
        self.dispatch(now, api.Playing(number, session.attempts - 1, server, duration))
        self.moves.handle_playing(now, number)
        for value, name in zip(load, self.settings.load_fields, strict=False):
            kind = {"x0": api.NoteKind.LINK, "x1": api.NoteKind.UPLINK}.get(name)
            if kind is not None:
                self.dispatch(now, api.Note(number, server, kind, value))

    def _mark_playing(self, now: int, session: Session, server: bytes) -> None:
        session.apply_signal(Signal.STARTED)
        session.first_played_at = session.first_played_at or now
        self.sessions.add_playing(session, server)
        self.leases.record_started(now, server, session)
        self.pending_requests.answer_all(session, Verdict.PLAYS)

    def resume_session(self, now: int, session: Session) -> None:
        """Resume a session of an earlier generation that still plays and answer its pending requests."""
        self._mark_playing(now, session, session.server or b"")

    def end_unwatched(self, now: int, session: Session) -> None:
        """Terminate a session of an earlier generation that still plays but has no viewer."""
        self.set_ups.give_up(now, session, Signal.UNWATCHED)
        self.close(now, session)
        server, number = session.server or b"", session.number
        self.dispatch(now, api.AttemptEnd(number, 0, server, Outcome.CANCELLED, 0, True))

    def record_end(self, now: int, session: Session, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Record that a playing session has ended at its host."""
        server, attempt = session.server or b"", session.attempts - 1
        self.close(now, session)
        self.dispatch(now, api.AttemptEnd(session.number, attempt, server, outcome, 0, True, load))
        # RESET: the host's process is gone, which is as certain an end as a report by the host
        died = outcome is Outcome.RESET
        self.moves.handle_session_over(
            now, session.number, moves.Signal.OLD_DIED if died else moves.Signal.LEFT
        )

    # Hosts, operators, other gateways

    def _handle_list_update(self, now: int, event: ServerListUpdate) -> None:
        self.fleet.handle_list_update(now, event)
        if event.entries:
            self.recovery.handle_hosts_known(now)

    def _handle_peer_state(self, now: int, event: PeerStatusChanged) -> None:
        self.claims.witness_service.handle_peer_status(now, event)
        self.orders.handle_peer_state(now, event)

    # Terminations and leases

    def _handle_termination_attempt_ended(self, now: int, event: TerminationAttemptEnded) -> None:
        if not self.terminations.is_pending(event):
            return
        session = self.sessions.get(event.session)
        if event.is_confirmed and session is not None and session.server == event.server:
            self.moves.signal(now, event.session, moves.Signal.ENDED)
        self.terminations.handle_attempt_ended(now, event)

    def _handle_renewal_ended(self, now: int, event: RenewalEnded) -> None:
        playing = self.sessions.playing_at(event.server)
        unknown = set(event.unknown_sessions) if event.answered else set()
        load = event.status.load
        if event.answered:
            self.leases.record_reading(event.server, event.status.clock, now, event.sent_at)
        for number in event.sessions:
            session = playing.get(number)
            if session is None:
                continue
            if number in unknown:
                self.record_end(now, session, Outcome.SERVED, load)
                load = ()
                continue
            self.leases.record_renewal(session, event)
            self.moves.handle_renewal(now, session, event)

    def _renew_leases(self, now: int, server: bytes) -> None:
        if not self.sessions.playing_at(server):
            self.leases.stop_renewing(server)
            return
        staying_sessions = [
            each
            for each in self.sessions.playing_at(server).values()
            if not self.moves.is_moving(each.number)
        ]
        for session in self.leases.expired(now, staying_sessions):
            self.record_end(now, session, Outcome.RESET)
        playing_sessions = self.sessions.playing_at(server).values()
        self.leases.renew_all(
            now, server, [each for each in playing_sessions if not self.moves.is_moving(each.number)]
        )

    def _handle_timer(self, now: int, event: TimerFired) -> None:
        match event.token:
            case ("module", token):
                self.dispatch(now, api.TimerFired(token))
            case ("late", number):
                session = self.sessions.get(number)
                if session is not None and session.has_attempt_out:
                    evidence = Evidence.UNRECORDED if session.awaits_record else Evidence.SILENT
                    self._emit(CancelSetUp(number, session.attempts - 1))
                    self._handle_set_up_ended(now, SetUpEnded(number, session.attempts - 1, evidence))
                elif session is not None and self.claims.is_pending(number):
                    self.close(now, session, Verdict.FAILED, reason="time is up")
            case ("ask", request_id):
                self._cancel_unwatched(now, self.pending_requests.expire(request_id))
            case ("claim", number):
                self.claims.retry(now, number)
            case ("learn",):
                self.claims.witness_service.handle_review_timer(now)
            case ("settle", server):
                self.recovery.retry_host(now, server)
            case ("watches",):
                self.fleet.handover.open_pending_watches(now)
            case ("entries",):
                self.fleet.send_next_slice(now)
            case ("renew", server):
                self._renew_leases(now, server)
            case ("move", number, signal):
                self.moves.signal(now, number, signal)
            case ("poll", poll_id):
                self.moves.expire_poll(poll_id)
            case ("watch", server):
                self.fleet.handover.reopen_watch(server)
            case ("end", number, server):
                self.terminations.retry(now, number, server)

    def _handle_session_ended(self, now: int, event: SessionEnded) -> None:
        session = self.sessions.playing_at(event.server).get(event.session)
        if session is not None:
            self.record_end(now, session, Outcome.SERVED)
