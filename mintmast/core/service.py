"""The core: passes events to the session book and executes its commands, without decisions of its own."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from mintmast import interface as api
from mintmast.core.ports import (
    AnswerCallback,
    HostPort,
    ListSource,
    PeerPort,
    PollCallback,
    SetUpRequest,
    StorePort,
)
from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import claim_messages
from mintmast.decisions.gateways.records import RecordsWritten, RecoveredState, WriteRecords
from mintmast.decisions.outcomes import Evidence, HostReport
from mintmast.decisions.sessions.book import EMPTY_CATALOGUE, SessionBook
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.decisions.sessions.sessions import format_session_name
from mintmast.loop import Loop

LogFunction = Callable[..., None]
# Epochs reserved for each millisecond of a generation number. A restarted gateway starts above every epoch
# that it has used, as long as each generation sends fewer set-ups per millisecond of its run than this
EPOCHS_PER_MS = 1 << 10


@dataclass(slots=True)
class _PendingRequest:
    answer: AnswerCallback
    requested_at: int
    attempts: int = 0


class Core:
    """The sessions of one gateway.

    `decide` is the placement module's `handle`, `catalogue` has the names of what the settings number, and
    `log(event, **fields)` writes a log line.
    """

    def __init__(
        self,
        loop: Loop,
        settings: api.Settings,
        decide: Callable[[int, api.Event], list[api.Action]],
        hosts: HostPort,
        source: ListSource,
        lease: int,
        gateway: str,
        generation: int,
        seed: int,
        log: LogFunction = lambda event, **fields: None,
        outcome_table: dict | None = None,
        members: tuple[str, ...] = (),
        catalogue: Catalogue = EMPTY_CATALOGUE,
    ) -> None:
        self.loop, self.settings, self.hosts, self.source = loop, settings, hosts, source
        self.lease, self.gateway, self.generation, self.log = lease, gateway, generation, log
        self._title_of = catalogue.titles.__getitem__
        self._random = random.Random(seed)
        self.book = SessionBook(
            settings,
            decide,
            lease,
            generation * EPOCHS_PER_MS,
            outcome_table,
            gateway,
            generation,
            members,
            catalogue,
        )
        # settings of a session's class at the time of its request, if they have changed since
        self._original_classes: dict[int, api.ServiceClass] = {}
        self._names: dict[int, str] = {}  # of sessions that an earlier generation named
        self._numbers: dict[str, int] = {}
        self._drain_callbacks: dict[bytes, list[Callable[[bool], None]]] = {}
        self.peers: PeerPort | None = None  # set if the gateway has peers
        self.store: StorePort | None = None  # set if the gateway has a store
        self._peer_replies: dict[int, Callable[[claim_messages.PeerReply], None]] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._poll_callbacks: dict[int, PollCallback] = {}
        self._last_id = 0
        self._command_handlers: dict[type, Callable] = {
            msg.SendSetUp: self._send_set_up,
            msg.CancelSetUp: lambda c: hosts.cancel_set_up(self.session_name(c.session), c.attempt),
            msg.SendRung: self._send_rung,
            msg.SendTermination: self._send_termination,
            msg.SendRenewal: self._send_renewal,
            msg.SendReconciliation: self._send_reconciliation,
            msg.SessionNamed: self._name_session,
            msg.DrainRecorded: self._confirm_drain,
            msg.WatchHost: lambda c: hosts.watch(c.server),
            msg.UnwatchHost: lambda c: hosts.unwatch(c.server),
            msg.AnswerRequest: self._answer_request,
            msg.AnswerPoll: self._answer_poll,
            msg.ScheduleTimer: lambda c: loop.call_at(c.at, self._handle, msg.TimerFired(c.token)),
            claim_messages.SendClaim: lambda c: self.peers.send_claim(c),
            claim_messages.SendRelease: lambda c: self.peers.send_release(c),
            claim_messages.SendLearnRequest: lambda c: self.peers.send_learn_request(c),
            claim_messages.SendExclusions: lambda c: self.peers.send_exclusions(c),
            claim_messages.PeerReply: lambda c: self._peer_replies.pop(c.call_id)(c),
            WriteRecords: lambda c: self.store.write(c) if self.store is not None else None,
            msg.FetchServerList: lambda c: source.refresh(),
            msg.LogEvent: lambda c: self.log(c.event, **dict(c.fields)),
        }
        hosts.attach(self)

    def start(self, recovered: RecoveredState | None = None) -> None:
        """Start, with the records of earlier generations; the list source begins to report hosts."""
        self._execute(self.book.start(self.loop.now(), recovered))
        self.source.start(self._handle_list_update)

    def session_name(self, session: int) -> str:
        """Return a session's name on the wire, unique over all gateways and their restarts."""
        return self._names.get(session) or format_session_name(self.gateway, self.generation, session)

    def session_number(self, name: str) -> int:
        """Return the number of a session of this generation or recovered by it; 0 for any other name."""
        if name in self._numbers:
            return self._numbers[name]
        prefix, _, number = name.rpartition("-")
        is_own = prefix == f"{self.gateway}-{self.generation:x}"
        return int(number) if is_own and number.isascii() and number.isdigit() and len(number) < 19 else 0

    def apply_settings(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Apply new settings between two events; open sessions keep their class settings."""
        sessions = self.book.sessions.by_number
        self._original_classes = {
            number: each for number, each in self._original_classes.items() if number in sessions
        }
        before = self.settings.classes
        changed = {place for place, each in enumerate(before) if each != settings.classes[place]}
        for number, session in sessions.items() if changed else ():
            if session.request.service in changed:
                self._original_classes.setdefault(number, before[session.request.service])
        self.settings = settings
        self._title_of = catalogue.titles.__getitem__
        self.book.apply_settings(settings, catalogue)

    def service_class(self, session: int, index: int) -> api.ServiceClass:
        """Return the settings of a session's class as of the session's request."""
        return self._original_classes.get(session) or self.settings.classes[index]

    # Fronts

    def request_session(self, request: msg.ViewerRequest, answer: AnswerCallback) -> int:
        """Process a viewer's request and return the id assigned to it; `answer` is called once."""
        self._last_id += 1
        number = self._last_id
        self._pending_requests[number] = _PendingRequest(answer, self.loop.now())
        self._handle(msgspec.structs.replace(request, request_id=number))
        return number

    def cancel_request(self, request_id: int) -> None:
        """Cancel a request whose viewer no longer waits for the answer."""
        if self._pending_requests.pop(request_id, None) is not None:
            self._handle(msg.RequestCancelled(request_id))

    def poll_session(self, session: str, buffer: int, timeout: int, answer: PollCallback) -> int:
        """Process a player's steering poll and return the poll's id; `buffer` and `timeout` in µs."""
        self._last_id += 1
        number = self._last_id
        self._poll_callbacks[number] = answer
        self._handle(msg.Poll(number, self.session_number(session), buffer, timeout))
        return number

    def cancel_poll(self, poll_id: int) -> None:
        """Cancel a poll whose player no longer waits for the answer."""
        if self._poll_callbacks.pop(poll_id, None) is not None:
            self._handle(msg.PollCancelled(poll_id))

    def order_drain(
        self, server: bytes, drain: bool, within: int | None, done: Callable[[bool], None] = lambda good: None
    ) -> bool:
        """Order a host to drain or revoke the order; return False if no list has the host.

        The order is in force at once; `done` receives whether it is durable, if there is a store.
        """
        if server not in self.book.host_watch.hosts:
            return False
        self._drain_callbacks.setdefault(server, []).append(done)
        self.log("drain_ordered", host=server.decode(), on=drain, within_us=within)
        self._handle(msg.DrainOrdered(server, drain, within))
        return True

    # Hosts

    def host_connected(
        self, server: bytes, process: str, uptime: int | None, is_draining: bool, clock: int
    ) -> None:
        """Process an established event stream."""
        self.log("host_up", host=server.decode(), process=process, age=uptime, drains=is_draining)
        self.source.record_refusal(server, False)
        self._handle(msg.HostConnected(server, process, uptime, is_draining, clock))

    def host_heartbeat(self, server: bytes, clock: int) -> None:
        """Process a periodic sign of life."""
        self._handle(msg.HostHeartbeat(server, clock))

    def host_disconnected(self, server: bytes, refused: bool) -> None:
        """Process a broken event stream or a failed connection attempt."""
        if refused:
            self.source.record_refusal(server, True)
        self._handle(msg.HostDisconnected(server, self._random.random(), refused))

    def host_drain_changed(self, server: bytes, is_draining: bool) -> None:
        """Process a change of the host's drain state."""
        self.log("host_drains", host=server.decode(), drains=is_draining)
        self._handle(msg.HostDrainChanged(server, is_draining))

    def host_measured(self, server: bytes, kind: api.NoteKind, value: float) -> None:
        """Process a delivered share or a utilisation."""
        self._handle(msg.HostMeasurement(server, kind, value))

    def session_ended(self, server: bytes, session: str) -> None:
        """Process the end of a session at the host."""
        self._handle(msg.SessionEnded(server, self.session_number(session)))

    # Other gateways

    def handle_call(
        self, call: claim_messages.PeerCall, answer: Callable[[claim_messages.PeerReply], None]
    ) -> None:
        """Process another gateway's call; `answer` is called once, when what the answer states is durable."""
        self._last_id += 1
        self._peer_replies[self._last_id] = answer
        self._handle(msgspec.structs.replace(call, call_id=self._last_id))

    def handle_written(self, event: RecordsWritten) -> None:
        """Process the end of a write."""
        self._handle(event)

    def handle_reply(
        self,
        event: claim_messages.VoteReceived
        | claim_messages.LearnReply
        | claim_messages.ExclusionsAcknowledged,
    ) -> None:
        """Process the end of a call to another gateway."""
        self._handle(event)

    def handle_membership(
        self, event: claim_messages.PeerStatusChanged | claim_messages.ProcessDisqualified
    ) -> None:
        """Process an event of the membership protocol."""
        self._handle(event)

    # Commands

    def _handle_list_update(
        self, kind: api.ListKind, version: int, entries: tuple[api.ListEntry, ...]
    ) -> None:
        self._handle(msg.ServerListUpdate(kind, version, entries))

    def _handle(self, event: object) -> None:
        self._execute(self.book.handle(self.loop.now(), event))

    def _execute(self, commands: list) -> None:
        for command in commands:
            self._command_handlers[type(command)](command)

    def _send_set_up(self, command: msg.SendSetUp) -> None:
        request = command.request
        service = self.service_class(command.session, request.service)
        pending = self._pending_requests.get(request.request_id)
        if pending is not None:
            pending.attempts += 1
        set_up = SetUpRequest(
            self.session_name(command.session),
            command.attempt,
            command.server,
            self._title_of(request.title),
            command.rung,
            self.settings.rung_kb[command.rung] * service.scale,
            min(request.best_rung, service.top),
            command.epoch,
            self.lease,
            service.effect is api.Effect.SINGLE_SHOT,
            request.key,
            command.until,
            command.call_number,
            self.session_name(command.moved_from) if command.moved_from else "",
            command.clock,
        )

        sent_at = self.loop.now()

        def done(evidence: Evidence, status: msg.HostStatus) -> None:
            self.log(
                "attempt",
                session=set_up.session,
                attempt=command.attempt,
                host=command.server.decode(),
                evidence=evidence.value,
                took_ms=(self.loop.now() - sent_at) / 1000,
            )
            self._handle(msg.SetUpEnded(command.session, command.attempt, evidence, status))

        self.hosts.set_up(set_up, done)

    def _rate_kb(self, session: int, rung: int) -> float:
        open_session = self.book.sessions.get(session)
        scale = (
            self.service_class(session, open_session.request.service).scale
            if open_session is not None
            else 1.0
        )
        return self.settings.rung_kb[rung] * scale

    def _send_rung(self, command: msg.SendRung) -> None:
        kb = self._rate_kb(command.session, command.rung)
        self.hosts.set_rung(
            command.server, self.session_name(command.session), command.epoch, command.rung, kb
        )

    def _send_termination(self, command: msg.SendTermination) -> None:
        def done(is_confirmed: bool) -> None:
            self._handle(msg.TerminationAttemptEnded(command.session, command.server, is_confirmed))

        self.hosts.end_session(
            command.server, self.session_name(command.session), command.epoch, command.until, done
        )

    def _send_renewal(self, command: msg.SendRenewal) -> None:
        sent_at = self.loop.now()
        named_sessions = tuple(
            (self.session_name(session), epoch, rung, self._rate_kb(session, rung))
            for session, epoch, rung in command.sessions
        )
        numbers = tuple(session for session, _, _ in command.sessions)

        def done(
            answered: bool, arrived: bool, unknown_names: tuple[str, ...], status: msg.HostStatus
        ) -> None:
            unknown_sessions = tuple(self.session_number(each) for each in unknown_names)
            call = command.call_number
            self._handle(
                msg.RenewalEnded(
                    command.server, sent_at, call, answered, arrived, numbers, unknown_sessions, status
                )
            )

        self.hosts.renew_leases(
            command.server,
            named_sessions,
            command.lease,
            command.until,
            command.call_number,
            command.clock,
            done,
        )

    def _send_reconciliation(self, command: msg.SendReconciliation) -> None:
        sent_at = self.loop.now()
        named_sessions = {self.session_name(session): epoch for session, epoch in command.sessions}

        def done(
            memory_since: int, reports: tuple[tuple[str, HostReport, int], ...], status: msg.HostStatus
        ) -> None:
            received = tuple(
                (self.session_number(name), report, rung)
                for name, report, rung in reports
                if name in named_sessions
            )
            self._handle(
                msg.ReconciliationEnded(
                    command.server, sent_at, command.call_number, memory_since, received, status
                )
            )

        call_parameters = command.lease, command.until, command.call_number, command.clock
        self.hosts.reconcile_sessions(command.server, named_sessions, *call_parameters, done)

    def _name_session(self, command: msg.SessionNamed) -> None:
        self._names[command.session], self._numbers[command.name] = command.name, command.session

    def _confirm_drain(self, command: msg.DrainRecorded) -> None:
        callbacks = self._drain_callbacks.get(command.server)
        if callbacks:  # each order is confirmed once, in the sequence in which they were given
            callbacks.pop(0)(command.is_durable)
        if not callbacks:
            self._drain_callbacks.pop(command.server, None)

    def _answer_poll(self, command: msg.AnswerPoll) -> None:
        answer = self._poll_callbacks.pop(command.poll_id, None)
        if answer is not None:
            answer(command)

    def _answer_request(self, command: msg.AnswerRequest) -> None:
        pending = self._pending_requests.pop(command.request_id, None)
        if pending is None:
            return
        self.log(
            "request",
            ask=command.request_id,
            session=self.session_name(command.session) if command.session else None,
            verdict=command.verdict.value,
            reason=command.reason,
            host=command.server.decode(),
            rung=command.rung,
            attempts=pending.attempts,
            took_ms=(self.loop.now() - pending.requested_at) / 1000,
        )
        pending.answer(command)
