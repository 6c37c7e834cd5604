"""The gateway process for the platform: configuration, wiring, signals. `python -m mintmast node` runs it."""

from __future__ import annotations

import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast import interface as api
from mintmast import wire
from mintmast.decide import Controller
from mintmast.decisions.calls import calls as cmd
from mintmast.decisions.calls.calls import Calls, Stage
from mintmast.decisions.outcomes import Evidence
from mintmast.loop import Loop
from mintmast.loop.real import SelectorLoop, settle_memory
from mintmast.signalling.asking import MS, Asked, Terms, number_of
from mintmast.signalling.changelog import ChangeLog
from mintmast.signalling.configuration import (
    Config,
    ConfigError,
    Entry,
    Fleet,
    Names,
    address_of,
    read_config,
)
from mintmast.signalling.hosts import HostLimits, MediaHosts
from mintmast.signalling.messages import Cause, Kind, Param, encode, release
from mintmast.signalling.viewers import LIMITS, Viewers
from mintmast.telemetry.lines import MOST_LINES, Say, line_writer

_NOTES = {
    "got": api.NoteKind.DELIVERED,
    "level": api.NoteKind.RUNG,
    "port": api.NoteKind.LINK,
    "spine": api.NoteKind.UPLINK,
}
_STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.GONE,
}
_ENDS = {
    Cause.NORMAL_CLEARING: api.Outcome.SERVED,
    Cause.NORMAL_UNSPECIFIED: api.Outcome.CANCELLED,
}
# µs after SIGTERM in which set-ups are still accepted: the platform sends them for 0.4 s on new connections
# and for 0.2 s more on open ones; and µs between checks of whether the shutdown can go on
STILL_COME, STOP_LOOK = 900_000, 50_000
# µs after that in which unread and unsent data is waited for, and then in which peers may close: a peer that
# floods the gateway or accepts no bytes does not delay the shutdown further
STOP_WAIT, CLOSE_WAIT = 2_000_000, 500_000
# µs until a reload is retried that lacked a file descriptor
READ_AGAIN = 100_000
# share of the file descriptors for viewers: a third for real ones, the rest for peers with idle connections;
# and the number reserved for the listener, the selector, the change log and the interpreter
VIEWERS_PART, OWN_SOCKETS = 0.5, 24
# share of the memory limit for set-ups in progress: the program itself takes 11 MB, the smallest limit is 32
SET_UPS_PART = 0.25
# µs after the first passed health check in which playing sessions may be handed over; the platform hands over
# those of a restart at once
FOUND_WITHIN = 10_000_000
# session ends kept in that time for sessions that were not handed over yet
MOST_EARLY = 4096


class Node:
    """A gateway on an event loop: connects viewers, media hosts, the change log and the calls."""

    def __init__(self, loop: Loop, config: Config, say: Say) -> None:
        self.loop, self.say = loop, say
        settings = wire.parse_settings(bytes(config.settings))
        names = self._names = msgspec.json.decode(config.settings, type=Names)
        self.settings = settings
        self.calls = Calls(Controller(settings, int(config.seed, 16)))
        # offset from the loop's clock to Unix time in µs, read once so that all conversions agree
        self._unix = int(loop.wall() * 1_000_000) - loop.now()
        self._entries: dict[bytes, api.ListEntry] = {}
        self._found_until: int | None = None  # None until a health check has passed
        self._ended_early: dict[bytes, Cause] = {}  # sessions that ended before a possible handover, and how
        self.stopping = False
        self.on_stopped: Callable[[], None] = lambda: None
        viewers = int(config.limits.sockets * VIEWERS_PART)
        hosts = max(1, config.limits.sockets - viewers - OWN_SOCKETS)
        caps = names.caps
        room = int(config.limits.memory_mb * (1 << 20) * SET_UPS_PART)
        self.hosts = MediaHosts(loop, self, HostLimits(caps.connect_timeout, caps.idle_close, hosts))
        terms = Terms(
            {each.name.encode(): place for place, each in enumerate(names.services)},
            tuple(each.deadline for each in settings.classes),
            {each.name.encode(): place for place, each in enumerate(names.accounts)},
        )
        self.viewers = Viewers(loop, self, terms, viewers, room, say)
        self._carry(self.calls.start(loop.now()))
        self.changelog = ChangeLog(loop, address_of(config.changelog), 0, self._news, say)
        self._known(config)
        self._listener = loop.listen(*address_of(config.listen), self.viewers.accept, limits=LIMITS)

    # Configuration and signals

    def _known(self, config: Config) -> None:
        for event in config.known.results:
            self.changelog.event(event)
        self.changelog.seq = max(self.changelog.seq, config.known.seq)

    def reload(self, config: Config) -> None:
        """Apply the change log's address and the known events of a new configuration; ignore the rest."""
        self._known(config)
        self.changelog.move(address_of(config.changelog))
        self.say("reloaded", changelog=config.changelog, seq=self.changelog.seq)

    def stop(self) -> None:
        """Shut down gracefully: report not ready, answer late set-ups, then call `on_stopped`."""
        if not self.stopping:
            self.stopping = True
            self.say("stopping", **self.calls.counts())
            self.loop.call_at(self.loop.now() + STILL_COME, self._stop_taking)

    def _stop_taking(self) -> None:
        self._listener.finish()
        self._stopped(self.loop.now() + STOP_WAIT)

    def _stopped(self, wait_until: int) -> None:
        """Wait until all set-ups are answered and the answers are sent, then close the connections.

        Answers that are still queued here are lost with the process, and so are those that the peer has not
        read when a reset arrives. So the peers' closes are waited for.
        """
        now, connections = self.loop.now(), self.viewers.connections.values()
        if any(each.open for each in connections) or (now < wait_until and self.viewers.busy()):
            self.loop.call_at(now + STOP_LOOK, self._stopped, wait_until)
            return
        self.viewers.finish()
        self._closed(now + CLOSE_WAIT)

    def _closed(self, wait_until: int) -> None:
        if self.viewers.connections and self.loop.now() < wait_until:
            self.loop.call_at(self.loop.now() + STOP_LOOK, self._closed, wait_until)
        else:
            self.on_stopped()

    # Host list

    def _news(self, event: dict[str, Any]) -> None:
        if "fleet" not in event:
            return
        try:
            fleet = msgspec.convert(event["fleet"], Fleet)
            entries = tuple(self._entry(each) for each in fleet.servers)
            addresses = [address_of(each.addr) for each in fleet.servers]
        except (msgspec.ValidationError, ValueError) as error:
            self.say("list", seq=event["seq"], unreadable=str(error))
            return
        now = self.loop.now()
        kind = api.ListKind.FULL if fleet.full else api.ListKind.DELTA
        commands = self.calls.list(now, api.ServerList(kind, fleet.version, entries))
        listed = {entry.server for entry in entries}
        for entry, address in zip(entries, addresses, strict=True):
            gone = entry.state is api.ServerState.GONE
            before = self._entries.get(entry.server)
            anew = before is not None and entry.started > before.started
            if anew:
                commands += self.calls.host_dead(now, entry.server, entry.started)
            self.hosts.listed(entry.server, address, gone, anew)
            if gone:
                self._entries.pop(entry.server, None)
            else:
                self._entries[entry.server] = entry
        if fleet.full:
            for server in [each for each in self._entries if each not in listed]:
                del self._entries[server]
                self.hosts.listed(server, ("", 0), True)
        self.say("list", seq=event["seq"], full=fleet.full, entries=len(entries), hosts=len(self._entries))
        self._carry(commands)

    def _entry(self, told: Entry) -> api.ListEntry:
        if not 0 < len(told.id) <= 64 or told.state not in _STATES:
            raise ValueError(f"host {told.id[:64]!r} has an invalid id or state {told.state[:64]!r}")
        started = told.started_ms * MS - self._unix if told.started_ms else 0
        return api.ListEntry(
            told.id.encode(),
            _STATES[told.state],
            started,
            max(0, told.cell),
            _place(self._names.azs, told.zone),
            _place(self._names.shapes, told.kind),
            told.weight,
        )

    # Callbacks of viewers

    def asked(self, viewer: int, asked: Asked, since: int) -> None:
        """Process a set-up or a session's handover that arrived at `since`."""
        now = self.loop.now()
        if not asked.at:
            self._carry(self.calls.ask(now, asked.wish, viewer, since))
        elif asked.wish.call in self._ended_early:
            self._told_late(viewer, asked)
        elif asked.at in self._entries and now <= (self._found_until or now):
            self._carry(self.calls.found(now, asked.wish, viewer, asked.at))
        else:
            self.viewers.over(viewer, asked.wish.call, release(asked.wish.call, Cause.TEMPORARY_FAILURE))

    def _told_late(self, viewer: int, asked: Asked) -> None:
        """Reject the handover of a session that its host or its viewer has already ended."""
        call = asked.wish.call
        cause = self._ended_early[call]
        if cause is Cause.NORMAL_UNSPECIFIED:
            self.viewers.forget(viewer, call)
            self.hosts.cut(asked.at, call)
        else:
            self.viewers.over(viewer, call, release(call, cause))

    def _keep_early(self, call: bytes, cause: Cause) -> None:
        """Keep the end of a session that may be handed over later; NORMAL_UNSPECIFIED if its viewer ended it.

        Hosts report ends on any connection, so the end of a session can arrive before its handover is read,
        and the session would then count as playing for ever. This also covers a handover that is repeated
        after the session's end.
        """
        now = self.loop.now()
        if now <= (self._found_until or now) and len(self._ended_early) < MOST_EARLY:
            if not self._ended_early:
                self.loop.call_at(now + FOUND_WITHIN, self._ended_early.clear)
            self._ended_early[call] = cause

    def left(self, call: bytes) -> None:
        """Cancel the set-up or end the session, as its viewer no longer waits."""
        known = self.calls.by_id.get(call)
        if known is None or known.stage is Stage.STANDING:
            self._keep_early(call, Cause.NORMAL_UNSPECIFIED)
        if known is None:
            return
        now = self.loop.now()
        self._carry(self.calls.left(now, call))
        self.viewers.forget(known.viewer, call)
        if self.hosts.withdraw(known.host, call):
            self._carry(self.calls.ended(now, call, known.host, Evidence.WITHDRAWN))

    def stands(self, call: bytes) -> bool | None:
        """Return whether the call's session is playing, or None if the call is unknown."""
        known = self.calls.by_id.get(call)
        return known.stage is Stage.STANDING if known is not None else None

    def ready(self) -> bool:
        """Return the readiness to accept set-ups. The first ready reply opens the handover window."""
        ready = not self.stopping and bool(self._entries)
        if ready and self._found_until is None:
            self._found_until = self.loop.now() + FOUND_WITHIN
        return ready

    # Callbacks of hosts

    def started(self, host: bytes, call: bytes, description: bytes) -> None:
        """Process a host's answer to an attempt."""
        self._carry(self.calls.started(self.loop.now(), call, host, description))

    def ended(self, host: bytes, call: bytes, evidence: Evidence, load: str) -> None:
        """Process the end of an attempt without an answer."""
        self.say("attempt", call=call.hex(), host=host.decode(), evidence=evidence.value)
        self._carry(self.calls.ended(self.loop.now(), call, host, evidence, self._load(load)))

    def over(self, host: bytes, call: bytes, cause: int, load: str) -> None:
        """Process a host's release of a session."""
        outcome = _ENDS.get(cause, api.Outcome.RESET)
        known = self.calls.by_id.get(call)
        if known is None or known.stage is Stage.STANDING:
            self._keep_early(call, Cause(cause) if cause in _ENDS else Cause.TEMPORARY_FAILURE)
        if known is not None and outcome is api.Outcome.CANCELLED:
            self.viewers.forget(known.viewer, call)
        self._carry(self.calls.over(self.loop.now(), call, host, outcome, self._load(load)))

    def noted(self, host: bytes, call: bytes, name: str, figure: str) -> None:
        """Process a host's note about a session; ignores an unknown name or a malformed value."""
        kind, value = _NOTES.get(name), number_of(figure)
        if kind is not None and value is not None:
            self._carry(self.calls.noted(self.loop.now(), call, host, kind, value))

    def dead(self, host: bytes, when: int, why: str) -> None:
        """End the host's sessions that are older than `when`: its process has died."""
        commands = self.calls.host_dead(self.loop.now(), host, when)
        if commands:
            self.say("dead", host=host.decode(), why=why, sessions=len(commands))
        self._carry(commands)

    def wanted(self, host: bytes) -> bool:
        """Return whether sessions play at the host."""
        return self.calls.standing_at(host)

    def _load(self, text: str) -> tuple[float, ...]:
        """Parse a load report such as `x0:12;x1:40` in the order of the settings; missing values are NaN."""
        if not text:
            return ()
        told = dict(part.partition(":")[::2] for part in text.split(";"))
        values = (number_of(told.get(name, "")) for name in self.settings.load_fields)
        return tuple(float("nan") if value is None else value for value in values)

    # Commands
    def _carry(self, commands: list[cmd.Command]) -> None:
        for command in commands:
            _CARRY[type(command)](self, command)

    def _send(self, c: cmd.SendSetUp) -> None:
        wait = max(1, (c.until - self.loop.now()) // MS)
        service, title, description = c.passed
        params = [
            (Param.CLASS, service),
            (Param.PATIENCE, b"%d" % wait),
            (Param.TITLE, title),
            (Param.RUNG, b"%d" % c.rung),
            (Param.DESCRIPTION, description),
        ]
        self.hosts.set_up(c.host, c.call, encode(Kind.SET_UP, c.call, params), c.until)

    def _answer(self, c: cmd.Answer) -> None:
        if not self.viewers.answer(c.viewer, c.call, c.description):
            self.left(c.call)

    def _refuse(self, c: cmd.Refuse) -> None:
        cause = Cause.SWITCHING_EQUIPMENT_CONGESTION
        self.viewers.end(c.viewer, c.call, cause, -(-c.retry_after // MS))

    def _release(self, c: cmd.Release) -> None:
        cause = Cause.NORMAL_CLEARING if c.whole else Cause.TEMPORARY_FAILURE
        self.viewers.over(c.viewer, c.call, release(c.call, cause))

    def _wake(self, c: cmd.Wake) -> None:
        when = self.loop.now() + c.delay
        self.loop.call_at(when, lambda: self._carry(self.calls.woken(self.loop.now(), c.token)))


_CARRY: dict[type, Callable[[Node, Any], None]] = {
    cmd.SendSetUp: Node._send,
    cmd.CallOff: lambda node, c: node.hosts.call_off(c.host, c.call),
    cmd.Cut: lambda node, c: node.hosts.cut(c.host, c.call),
    cmd.TellRung: lambda node, c: node.hosts.rung(c.host, c.call, c.rung),
    cmd.Answer: Node._answer,
    cmd.Refuse: Node._refuse,
    cmd.Fail: lambda node, c: node.viewers.end(c.viewer, c.call, Cause.TEMPORARY_FAILURE),
    cmd.Release: Node._release,
    cmd.MoveAway: lambda node, c: node.viewers.over(c.viewer, c.call, encode(Kind.MOVE, c.call)),
    cmd.Wake: Node._wake,
    cmd.Say: lambda node, c: node.say("module", text=c.text),
}


def _place(names: list[str], name: str) -> int:
    return names.index(name) if name in names else len(names)


def run(path: str) -> int:
    """Run until the shutdown after SIGTERM is complete. Return the exit code: 2 if the start fails."""
    say = line_writer(sys.stderr, time.time, MOST_LINES, gateway=os.environ.get("NODE_NAME", ""))
    loop = SelectorLoop(lambda text: say("error", text=text))

    def reload() -> None:
        try:
            node.reload(read_config(path))
        except ConfigError as error:
            say("reload", refused=str(error))
            if error.again:
                loop.call_at(loop.now() + READ_AGAIN, reload)

    # installed before the configuration is read, as either signal may arrive meanwhile
    loop.on_signal(reload, signal.SIGHUP)
    loop.on_signal(lambda: node.stop(), signal.SIGTERM, signal.SIGINT)
    try:
        config = read_config(path)
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if most != resource.RLIM_INFINITY:
            config.limits.sockets = min(config.limits.sockets, most)
        node = Node(loop, config, say)
    except (ConfigError, wire.WireError, msgspec.MsgspecError, OSError) as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 2

    # a stalled process answers late, and no other log line would show afterwards that it stalled, whether the
    # machine or the process itself was the cause
    loop.on_still = lambda took: say("event loop stalled", ms=took / MS)
    node.on_stopped = loop.stop
    settle_memory()
    say("serving", hosts=len(node._entries), seq=node.changelog.seq)
    loop.run()
    say("stopped", longest_turn_ms=loop.longest_turn / MS, turns=loop.turns, **node.calls.counts())
    return 0
