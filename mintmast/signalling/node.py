"""A gateway for the platform: connects viewers, media hosts, the change log and the calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from mintmast import interface as api
from mintmast import wire
from mintmast.decide import Controller
from mintmast.decisions.calls import commands as cmd
from mintmast.decisions.calls.calls import Calls, CallState
from mintmast.decisions.calls.early_ends import EarlyEnds
from mintmast.decisions.calls.shutdown import ShutdownPlan
from mintmast.decisions.outcomes import Evidence
from mintmast.loop import Loop
from mintmast.signalling.changelog import ChangeLog
from mintmast.signalling.configuration import (
    AdapterSettings,
    Config,
    FleetUpdate,
    HostEntry,
    parse_address,
)
from mintmast.signalling.hosts import HostLimits, MediaHosts
from mintmast.signalling.messages import Cause, MessageKind, Param, encode, encode_release
from mintmast.signalling.set_up_parser import US_PER_MS, ParsedSetUp, RequestSchema, parse_number
from mintmast.signalling.shutdown import Shutdown
from mintmast.signalling.viewerconnection import SHUTDOWN_REASON
from mintmast.signalling.viewers import STREAM_LIMITS, Viewers
from mintmast.telemetry.lines import LogFunction

_NOTE_KINDS = {
    "got": api.NoteKind.DELIVERED,
    "level": api.NoteKind.RUNG,
    "port": api.NoteKind.LINK,
    "spine": api.NoteKind.UPLINK,
}
_SERVER_STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.GONE,
}
_OUTCOME_BY_CAUSE = {
    Cause.NORMAL_CLEARING: api.Outcome.SERVED,
    Cause.NORMAL_UNSPECIFIED: api.Outcome.CANCELLED,
}
_CAUSE_BY_OUTCOME = {
    api.Outcome.SERVED: Cause.NORMAL_CLEARING,
    api.Outcome.RESET: Cause.TEMPORARY_FAILURE,
}
# share of the file descriptors for viewers: a third for real ones, the rest for peers with idle connections;
# and the number reserved for the listener, the selector, the change log and the interpreter
VIEWER_SOCKET_SHARE, RESERVED_SOCKETS = 0.5, 24
# share of the memory limit for set-ups in progress: the program itself takes 11 MB, the smallest limit is 32
SET_UP_MEMORY_SHARE = 0.25
# share of the memory limit for data of viewers that is not processed yet, or that they do not take
BUFFER_MEMORY_SHARE = 0.125


class Node:
    """A gateway on an event loop: connects viewers, media hosts, the change log and the calls."""

    def __init__(self, loop: Loop, config: Config, log: LogFunction) -> None:
        self.loop, self.log = loop, log
        settings = wire.parse_settings(bytes(config.settings))
        adapter_settings = self._adapter_settings = msgspec.json.decode(config.settings, type=AdapterSettings)
        self.settings = settings
        self.calls = Calls(Controller(settings, int(config.seed, 16)))
        # offset from the loop's clock to Unix time in µs, read once so that all conversions agree
        self._unix_offset = int(loop.wall() * 1_000_000) - loop.now()
        self._listed_hosts: dict[bytes, api.ListEntry] = {}
        self._early_ends = EarlyEnds()
        self._shutdown: Shutdown | None = None
        self.on_stopped: Callable[[], None] = lambda: None
        viewer_sockets = int(config.limits.sockets * VIEWER_SOCKET_SHARE)
        host_sockets = max(1, config.limits.sockets - viewer_sockets - RESERVED_SOCKETS)
        caps = adapter_settings.caps
        memory = config.limits.memory_mb * (1 << 20)
        max_bytes, max_buffered = int(memory * SET_UP_MEMORY_SHARE), int(memory * BUFFER_MEMORY_SHARE)
        self.hosts = MediaHosts(loop, self, HostLimits(caps.connect_timeout, caps.idle_close, host_sockets))
        schema = RequestSchema(
            {each.name.encode(): index for index, each in enumerate(adapter_settings.services)},
            tuple(each.deadline for each in settings.classes),
            {each.name.encode(): index for index, each in enumerate(adapter_settings.accounts)},
        )
        self.viewers = Viewers(loop, self, schema, viewer_sockets, max_bytes, max_buffered, log)
        self._execute(self.calls.start(loop.now()))
        self.changelog = ChangeLog(loop, parse_address(config.changelog), 0, self._handle_list_event, log)
        self._apply_known(config)
        self._listener = loop.listen(*parse_address(config.listen), self.viewers.accept, limits=STREAM_LIMITS)

    @property
    def listed_hosts(self) -> int:
        """Return the number of hosts in the list."""
        return len(self._listed_hosts)

    # Configuration and signals

    def _apply_known(self, config: Config) -> None:
        for event in config.known.results:
            self.changelog.handle_event(event)
        self.changelog.seq = max(self.changelog.seq, config.known.seq)

    def reload(self, config: Config) -> None:
        """Apply the change log's address and the known events of a new configuration; ignore the rest."""
        self._apply_known(config)
        self.changelog.change_address(parse_address(config.changelog))
        self.log("reloaded", changelog=config.changelog, seq=self.changelog.seq)

    def stop(self) -> None:
        """Shut down gracefully: report not ready, answer all set-ups in time, then call `on_stopped`."""
        if self._shutdown is not None:
            return
        self.log("stopping", **self.calls.count_by_state())
        plan = ShutdownPlan.begin(self.loop.now(), max(each.deadline for each in self.settings.classes))
        self._shutdown = Shutdown(
            self.loop,
            plan,
            self._listener,
            self.viewers,
            self._end_unanswered,
            lambda: self.on_stopped(),
            self.log,
        )

    def _end_unanswered(self) -> None:
        """Answer the requests whose attempts are still in progress, and cancel the attempts."""
        for call_id, host in self.calls.attempts_in_progress():
            may_have_arrived = not self.hosts.is_unsent(host, call_id)
            self._execute(self.calls.end_unanswered(self.loop.now(), call_id, may_have_arrived))
            self._withdraw_unsent(host, call_id)

    # Host list

    def _handle_list_event(self, event: dict[str, Any]) -> None:
        if "fleet" not in event:
            return
        try:
            fleet = msgspec.convert(event["fleet"], FleetUpdate)
            entries = tuple(self._parse_entry(each) for each in fleet.servers)
            addresses = [parse_address(each.addr) for each in fleet.servers]
        except (msgspec.ValidationError, ValueError) as error:
            self.log("list", seq=event["seq"], unreadable=str(error))
            return
        now = self.loop.now()
        kind = api.ListKind.FULL if fleet.full else api.ListKind.DELTA
        commands = self.calls.handle_list(now, api.ServerList(kind, fleet.version, entries))
        listed = {entry.server for entry in entries}
        for entry, address in zip(entries, addresses, strict=True):
            is_gone = entry.state is api.ServerState.GONE
            known = self._listed_hosts.get(entry.server)
            is_new_process = known is not None and entry.started > known.started
            if is_new_process:
                commands += self.calls.handle_host_start(now, entry.server, entry.started)
            self.hosts.update_host(entry.server, address, is_gone, is_new_process)
            if entry.state is not api.ServerState.READY:
                commands += self._withdraw_from(entry.server)
            if is_gone:
                self._listed_hosts.pop(entry.server, None)
            else:
                self._listed_hosts[entry.server] = entry
        if fleet.full:
            for server in [each for each in self._listed_hosts if each not in listed]:
                commands += self._withdraw_from(server)
                del self._listed_hosts[server]
                self.hosts.update_host(server, ("", 0), True)
        self.log(
            "list", seq=event["seq"], full=fleet.full, entries=len(entries), hosts=len(self._listed_hosts)
        )
        self._execute(commands)

    def _withdraw_from(self, host: bytes) -> list[cmd.Command]:
        """Withdraw the unwritten set-ups from a host that drains or is gone, and place them anew."""
        commands: list[cmd.Command] = []
        for call_id in self.hosts.unsent_set_ups(host):
            self.hosts.cancel_set_up(host, call_id)
            commands += self.calls.handle_attempt_end(self.loop.now(), call_id, host, Evidence.DRAINED)
        return commands

    def _parse_entry(self, entry: HostEntry) -> api.ListEntry:
        if not 0 < len(entry.id) <= 64 or entry.state not in _SERVER_STATES:
            raise ValueError(f"host {entry.id[:64]!r} has an invalid id or state {entry.state[:64]!r}")
        started = entry.started_ms * US_PER_MS - self._unix_offset if entry.started_ms else 0
        return api.ListEntry(
            entry.id.encode(),
            _SERVER_STATES[entry.state],
            started,
            max(0, entry.cell),
            _index_of(self._adapter_settings.azs, entry.zone),
            _index_of(self._adapter_settings.shapes, entry.kind),
            entry.weight,
        )

    # Callbacks of viewers

    def handle_set_up(self, viewer: int, parsed: ParsedSetUp, received_at: int) -> None:
        """Process a set-up or a session's handover that arrived at `received_at`."""
        now = self.loop.now()
        call_id = parsed.request.call_id
        if not parsed.playing_host:
            self._handle_request(viewer, parsed.request, received_at)
        elif (outcome := self._early_ends.find(call_id, parsed.playing_host)) is not None:
            self._handle_late_handover(viewer, parsed, outcome)
        elif parsed.playing_host in self._listed_hosts and self._early_ends.may_hand_over(now):
            self._execute(self.calls.adopt_session(now, parsed.request, viewer, parsed.playing_host))
        else:
            self.viewers.end_session(viewer, call_id, encode_release(call_id, Cause.TEMPORARY_FAILURE))

    def _handle_request(self, viewer: int, request: cmd.ViewerRequest, received_at: int) -> None:
        if self._shutdown is not None:
            target_time = self.settings.classes[request.service].target_time
            budget = self._shutdown.plan.time_for_request(received_at, request.budget, target_time)
            if budget is None:
                self.viewers.refuse(viewer, request.call_id, SHUTDOWN_REASON)
                return
            request = replace(request, budget=budget)
        self._execute(self.calls.handle_request(self.loop.now(), request, viewer, received_at))

    def _handle_late_handover(self, viewer: int, parsed: ParsedSetUp, outcome: api.Outcome) -> None:
        """Reject the handover of a session that its host or its viewer has already ended."""
        call_id = parsed.request.call_id
        if outcome is api.Outcome.CANCELLED:
            self.viewers.forget_session(viewer, call_id)
            self.hosts.release_session(parsed.playing_host, call_id)
        else:
            self.viewers.end_session(viewer, call_id, encode_release(call_id, _CAUSE_BY_OUTCOME[outcome]))

    def handle_viewer_left(self, call_id: bytes) -> None:
        """Cancel the set-up or end the session, as its viewer no longer waits."""
        known = self.calls.by_id.get(call_id)
        if known is None or known.state is CallState.ESTABLISHED:
            self._early_ends.record_viewer_end(self.loop.now(), call_id)
        if known is None:
            return
        is_unsent = self.hosts.is_unsent(known.host, call_id)
        self._execute(self.calls.handle_viewer_left(self.loop.now(), call_id, is_unsent))
        self.viewers.forget_session(known.viewer, call_id)
        self._withdraw_unsent(known.host, call_id)

    def _withdraw_unsent(self, host: bytes, call_id: bytes) -> None:
        """End the attempt of a request that nobody waits for if nothing of it was written."""
        if self.hosts.withdraw_unsent(host, call_id):
            self._execute(self.calls.handle_attempt_end(self.loop.now(), call_id, host, Evidence.WITHDRAWN))

    def is_established(self, call_id: bytes) -> bool | None:
        """Return whether the call's session is playing, or None if the call is unknown."""
        known = self.calls.by_id.get(call_id)
        return known.state is CallState.ESTABLISHED if known is not None else None

    def is_ready(self) -> bool:
        """Return the readiness to accept set-ups. The first ready reply opens the handover window."""
        if self._shutdown is not None or not self._listed_hosts:
            return False
        window_end = self._early_ends.open_window(self.loop.now())
        if window_end is not None:
            self.loop.call_at(window_end, self._early_ends.clear)
        return True

    # Callbacks of hosts

    def handle_connection_closed(self, host: bytes, reason: str, call_id: bytes | None) -> None:
        """Log the end of a connection to a host, with the set-up that was open on it."""
        self.log("host closed", host=host.decode(), how=reason, call=call_id.hex() if call_id else None)

    def handle_answer(self, host: bytes, call_id: bytes, description: bytes) -> None:
        """Process a host's answer to an attempt."""
        self._execute(self.calls.handle_answer(self.loop.now(), call_id, host, description))

    def handle_attempt_end(self, host: bytes, call_id: bytes, evidence: Evidence, load: str) -> None:
        """Process the end of an attempt without an answer."""
        self.log("attempt", call=call_id.hex(), host=host.decode(), evidence=evidence.value)
        self._execute(
            self.calls.handle_attempt_end(self.loop.now(), call_id, host, evidence, self._parse_load(load))
        )

    def handle_release(self, host: bytes, call_id: bytes, cause: int, load: str) -> None:
        """Process a host's release of a session."""
        now, outcome = self.loop.now(), _OUTCOME_BY_CAUSE.get(cause, api.Outcome.RESET)
        known = self.calls.by_id.get(call_id)
        if known is None or (known.state is CallState.ESTABLISHED and known.host == host):
            self._early_ends.record_host_end(now, call_id, host, outcome)
        elif known.host != host:
            self.log("release ignored", call=call_id.hex(), host=host.decode(), now_at=known.host.decode())
        self._execute(self.calls.handle_session_end(now, call_id, host, outcome, self._parse_load(load)))

    def handle_note(self, host: bytes, call_id: bytes, name: str, text: str) -> None:
        """Process a host's note about a session; ignores an unknown name or a malformed value."""
        kind, value = _NOTE_KINDS.get(name), parse_number(text)
        if kind is not None and value is not None:
            self._execute(self.calls.handle_note(self.loop.now(), call_id, host, kind, value))

    def handle_host_death(self, host: bytes, when: int, reason: str, may_return: bool) -> None:
        """End the host's sessions that are older than `when`: its process has died, or is unreachable.

        At a host that `may_return` they are released as soon as it can be reached, as nobody watches them.
        """
        commands = self.calls.handle_host_death(self.loop.now(), host, when)
        if commands:
            self.log("dead", host=host.decode(), why=reason, sessions=len(commands))
        self._execute(commands)
        for command in commands:
            if may_return and isinstance(command, cmd.ReleaseToViewer):
                self.hosts.release_session(host, command.call_id)

    def has_sessions(self, host: bytes) -> bool:
        """Return whether sessions play at the host."""
        return self.calls.has_session_at(host)

    def _parse_load(self, text: str) -> tuple[float, ...]:
        """Parse a load report such as `x0:12;x1:40` in the order of the settings; missing values are NaN."""
        if not text:
            return ()
        fields = dict(part.partition(":")[::2] for part in text.split(";"))
        values = (parse_number(fields.get(name, "")) for name in self.settings.load_fields)
        return tuple(float("nan") if value is None else value for value in values)

    # Commands

    def _execute(self, commands: list[cmd.Command]) -> None:
        for command in commands:
            _COMMAND_HANDLERS[type(command)](self, command)

    def _send_set_up(self, command: cmd.SendSetUp) -> None:
        timeout_ms = max(1, (command.deadline - self.loop.now()) // US_PER_MS)
        if command.attempt:
            self.log(
                "retry",
                call=command.call_id.hex(),
                host=command.host.decode(),
                attempt=command.attempt + 1,
                timeout_ms=timeout_ms,
            )
        service, title, description = command.forwarded
        params = [
            (Param.CLASS, service),
            (Param.TIMEOUT, b"%d" % timeout_ms),
            (Param.TITLE, title),
            (Param.RUNG, b"%d" % command.rung),
            (Param.DESCRIPTION, description),
        ]
        self.hosts.send_set_up(
            command.host,
            command.call_id,
            encode(MessageKind.SET_UP, command.call_id, params),
            command.deadline,
        )

    def _answer_request(self, command: cmd.AnswerRequest) -> None:
        if not self.viewers.answer(command.viewer, command.call_id, command.description):
            self.handle_viewer_left(command.call_id)

    def _log_unserved(self, event: str, command: cmd.RefuseRequest | cmd.FailRequest) -> None:
        evidence = command.evidence.value if command.evidence is not None else None
        self.log(event, call=command.call_id.hex(), attempts=command.attempts, evidence=evidence)

    def _fail_request(self, command: cmd.FailRequest) -> None:
        self._log_unserved("failed", command)
        self.viewers.reject(command.viewer, command.call_id, Cause.TEMPORARY_FAILURE)

    def _refuse_request(self, command: cmd.RefuseRequest) -> None:
        self._log_unserved("refused", command)
        cause = Cause.SWITCHING_EQUIPMENT_CONGESTION
        self.viewers.reject(command.viewer, command.call_id, cause, -(-command.retry_after // US_PER_MS))

    def _release_to_viewer(self, command: cmd.ReleaseToViewer) -> None:
        cause = Cause.NORMAL_CLEARING if command.played_to_end else Cause.TEMPORARY_FAILURE
        self.viewers.end_session(command.viewer, command.call_id, encode_release(command.call_id, cause))

    def _schedule_timer(self, command: cmd.ScheduleTimer) -> None:
        when = self.loop.now() + command.delay
        self.loop.call_at(
            when, lambda: self._execute(self.calls.handle_timer(self.loop.now(), command.token))
        )


_COMMAND_HANDLERS: dict[type, Callable[[Node, Any], None]] = {
    cmd.SendSetUp: Node._send_set_up,
    cmd.CancelSetUp: lambda node, c: node.hosts.cancel_set_up(c.host, c.call_id),
    cmd.ReleaseToHost: lambda node, c: node.hosts.release_session(c.host, c.call_id),
    cmd.SendRung: lambda node, c: node.hosts.send_rung(c.host, c.call_id, c.rung),
    cmd.AnswerRequest: Node._answer_request,
    cmd.RefuseRequest: Node._refuse_request,
    cmd.FailRequest: Node._fail_request,
    cmd.ReleaseToViewer: Node._release_to_viewer,
    cmd.ForgetSession: lambda node, c: node.viewers.forget_session(c.viewer, c.call_id),
    cmd.MoveViewer: lambda node, c: node.viewers.end_session(
        c.viewer, c.call_id, encode(MessageKind.MOVE, c.call_id)
    ),
    cmd.ScheduleTimer: Node._schedule_timer,
    cmd.LogEvent: lambda node, c: node.log("module", text=c.text),
}


def _index_of(names: list[str], name: str) -> int:
    return names.index(name) if name in names else len(names)
