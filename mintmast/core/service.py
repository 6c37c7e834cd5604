"""The core: passes events to the session book and executes its commands, without decisions of its own."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from mintmast import interface as api
from mintmast.core.ports import AnswerTo, HostPort, ListSource, Order, PeerPort, SteerTo, StorePort
from mintmast.decisions import messages as msg
from mintmast.decisions.gateways import talk
from mintmast.decisions.gateways.records import Recovered, Write, Written
from mintmast.decisions.outcomes import Evidence, Word
from mintmast.decisions.sessions.book import NO_NAMES, SessionBook
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.decisions.sessions.sessions import name_of
from mintmast.loop import Loop

Line = Callable[..., None]
# Epochs reserved for each millisecond of a generation number. A restarted gateway starts above every epoch
# that it has used, as long as each generation sends fewer set-ups per millisecond of its run than this
EPOCHS_A_MS = 1 << 10


@dataclass(slots=True)
class _Asked:
    answer: AnswerTo
    at: int
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
        start: int,
        seed: int,
        say: Line = lambda event, **fields: None,
        table: dict | None = None,
        members: tuple[str, ...] = (),
        catalogue: Catalogue = NO_NAMES,
    ) -> None:
        self.loop, self.settings, self.hosts, self.source = loop, settings, hosts, source
        self.lease, self.gateway, self.start_number, self.say = lease, gateway, start, say
        self._title_of = catalogue.titles.__getitem__
        self._random = random.Random(seed)
        self.book = SessionBook(
            settings, decide, lease, start * EPOCHS_A_MS, table, gateway, start, members, catalogue
        )
        # settings of a session's class at the time of its request, if they have changed since
        self._begun: dict[int, api.ServiceClass] = {}
        self._names: dict[int, str] = {}  # of sessions that an earlier generation named
        self._numbers: dict[str, int] = {}
        self._orders: dict[bytes, list[Callable[[bool], None]]] = {}
        self.peers: PeerPort | None = None  # set if the gateway has peers
        self.store: StorePort | None = None  # set if the gateway has a store
        self._answers: dict[int, Callable[[talk.PeerReply], None]] = {}
        self._asked: dict[int, _Asked] = {}
        self._polls: dict[int, SteerTo] = {}
        self._count = 0
        self._carry: dict[type, Callable] = {
            msg.SendSetUp: self._set_up,
            msg.CallOff: lambda c: hosts.call_off(self.name(c.session), c.attempt),
            msg.SendRung: self._rung,
            msg.SendEnd: self._end,
            msg.SendRenew: self._renew,
            msg.SendSettle: self._settle,
            msg.Named: self._named,
            msg.Ordered: self._ordered,
            msg.Watch: lambda c: hosts.watch(c.server),
            msg.Unwatch: lambda c: hosts.unwatch(c.server),
            msg.Give: self._give,
            msg.Steer: self._steer,
            msg.Wake: lambda c: loop.call_at(c.at, self._take, msg.Due(c.token)),
            talk.SendClaim: lambda c: self.peers.claim(c),
            talk.SendRelease: lambda c: self.peers.release(c),
            talk.SendLearn: lambda c: self.peers.learn(c),
            talk.SendAside: lambda c: self.peers.aside(c),
            talk.PeerReply: lambda c: self._answers.pop(c.call)(c),
            Write: lambda c: self.store.write(c) if self.store is not None else None,
            msg.AskList: lambda c: source.refresh(),
            msg.Say: lambda c: self.say(c.event, **dict(c.fields)),
        }
        hosts.attach(self)

    def begin(self, kept: Recovered | None = None) -> None:
        """Start, with the records of earlier generations; the list source begins to report hosts."""
        self._do(self.book.start(self.loop.now(), kept))
        self.source.start(self._news)

    def name(self, session: int) -> str:
        """Return a session's name on the wire, unique over all gateways and their restarts."""
        return self._names.get(session) or name_of(self.gateway, self.start_number, session)

    def number(self, name: str) -> int:
        """Return the number of a session of this generation or recovered by it; 0 for any other name."""
        if name in self._numbers:
            return self._numbers[name]
        prefix, _, number = name.rpartition("-")
        mine = prefix == f"{self.gateway}-{self.start_number:x}"
        return int(number) if mine and number.isascii() and number.isdigit() and len(number) < 19 else 0

    def adopt(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Apply new settings between two events; open sessions keep their class settings."""
        held = self.book.sessions.by_number
        self._begun = {number: each for number, each in self._begun.items() if number in held}
        before = self.settings.classes
        changed = {place for place, each in enumerate(before) if each != settings.classes[place]}
        for number, session in held.items() if changed else ():
            if session.ask.service in changed:
                self._begun.setdefault(number, before[session.ask.service])
        self.settings = settings
        self._title_of = catalogue.titles.__getitem__
        self.book.adopt(settings, catalogue)

    def service(self, session: int, place: int) -> api.ServiceClass:
        """Return the settings of a session's class as of the session's request."""
        return self._begun.get(session) or self.settings.classes[place]

    # Fronts

    def ask(self, ask: msg.Ask, answer: AnswerTo) -> int:
        """Process a viewer's request and return the id assigned to it; `answer` is called once."""
        self._count += 1
        number = self._count
        self._asked[number] = _Asked(answer, self.loop.now())
        self._take(msgspec.structs.replace(ask, ask=number))
        return number

    def gone(self, ask: int) -> None:
        """Cancel a request whose viewer no longer waits for the answer."""
        if self._asked.pop(ask, None) is not None:
            self._take(msg.AskGone(ask))

    def poll(self, session: str, buffer: int, budget: int, answer: SteerTo) -> int:
        """Process a player's steering poll and return the poll's id; `buffer` and `budget` in µs."""
        self._count += 1
        number = self._count
        self._polls[number] = answer
        self._take(msg.Poll(number, self.number(session), buffer, budget))
        return number

    def poll_gone(self, poll: int) -> None:
        """Cancel a poll whose player no longer waits for the answer."""
        if self._polls.pop(poll, None) is not None:
            self._take(msg.PollGone(poll))

    def order_drain(
        self, server: bytes, on: bool, within: int | None, done: Callable[[bool], None] = lambda good: None
    ) -> bool:
        """Order a host to drain or revoke the order; return False if no list has the host.

        The order is in force at once; `done` receives whether it is durable, if there is a store.
        """
        if server not in self.book.watch.hosts:
            return False
        self._orders.setdefault(server, []).append(done)
        self.say("drain_ordered", host=server.decode(), on=on, within_us=within)
        self._take(msg.Drain(server, on, within))
        return True

    # Hosts

    def hello(self, server: bytes, process: str, age: int | None, drains: bool, clock: int) -> None:
        """Process an established event stream."""
        self.say("host_up", host=server.decode(), process=process, age=age, drains=drains)
        self.source.refuses(server, False)
        self._take(msg.HostHello(server, process, age, drains, clock))

    def tick(self, server: bytes, clock: int) -> None:
        """Process a periodic sign of life."""
        self._take(msg.HostTick(server, clock))

    def lost(self, server: bytes, refused: bool) -> None:
        """Process a broken event stream or a failed connection attempt."""
        if refused:
            self.source.refuses(server, True)
        self._take(msg.HostLost(server, self._random.random(), refused))

    def drain(self, server: bytes, drains: bool) -> None:
        """Process a change of the host's drain state."""
        self.say("host_drains", host=server.decode(), drains=drains)
        self._take(msg.HostDrain(server, drains))

    def note(self, server: bytes, kind: api.NoteKind, value: float) -> None:
        """Process a delivered share or a utilisation."""
        self._take(msg.HostNote(server, kind, value))

    def ended(self, server: bytes, session: str) -> None:
        """Process the end of a session at the host."""
        self._take(msg.SessionEnded(server, self.number(session)))

    # Other gateways

    def called(self, call: talk.PeerCall, answer: Callable[[talk.PeerReply], None]) -> None:
        """Process another gateway's call; `answer` is called once, when what the answer states is durable."""
        self._count += 1
        self._answers[self._count] = answer
        self._take(msgspec.structs.replace(call, call=self._count))

    def written(self, event: Written) -> None:
        """Process the end of a write."""
        self._take(event)

    def heard(self, event: talk.Voted | talk.Learnt | talk.AsideTold) -> None:
        """Process the end of a call to another gateway."""
        self._take(event)

    def stands(self, event: talk.PeerStands | talk.Condemned) -> None:
        """Process an event of the membership protocol."""
        self._take(event)

    # Commands

    def _news(self, kind: api.ListKind, version: int, entries: tuple[api.ListEntry, ...]) -> None:
        self._take(msg.ListNews(kind, version, entries))

    def _take(self, event: object) -> None:
        self._do(self.book.take(self.loop.now(), event))

    def _do(self, commands: list) -> None:
        for command in commands:
            self._carry[type(command)](command)

    def _set_up(self, command: msg.SendSetUp) -> None:
        ask = command.ask
        service = self.service(command.session, ask.service)
        asked = self._asked.get(ask.ask)
        if asked is not None:
            asked.attempts += 1
        order = Order(
            self.name(command.session),
            command.attempt,
            command.server,
            self._title_of(ask.title),
            command.rung,
            self.settings.rung_kb[command.rung] * service.scale,
            min(ask.best_rung, service.top),
            command.epoch,
            self.lease,
            service.effect is api.Effect.SINGLE_SHOT,
            ask.key,
            command.until,
            command.number,
            self.name(command.moved_from) if command.moved_from else "",
            command.clock,
        )

        sent = self.loop.now()

        def done(evidence: Evidence, told: msg.Told) -> None:
            self.say(
                "attempt",
                session=order.session,
                attempt=command.attempt,
                host=command.server.decode(),
                evidence=evidence.value,
                took_ms=(self.loop.now() - sent) / 1000,
            )
            self._take(msg.SetUpEnded(command.session, command.attempt, evidence, told))

        self.hosts.set_up(order, done)

    def _kb(self, session: int, rung: int) -> float:
        held = self.book.sessions.get(session)
        scale = self.service(session, held.ask.service).scale if held is not None else 1.0
        return self.settings.rung_kb[rung] * scale

    def _rung(self, command: msg.SendRung) -> None:
        kb = self._kb(command.session, command.rung)
        self.hosts.rung(command.server, self.name(command.session), command.epoch, command.rung, kb)

    def _end(self, command: msg.SendEnd) -> None:
        def done(sure: bool) -> None:
            self._take(msg.EndEnded(command.session, command.server, sure))

        self.hosts.end(command.server, self.name(command.session), command.epoch, command.until, done)

    def _renew(self, command: msg.SendRenew) -> None:
        sent = self.loop.now()
        named = tuple(
            (self.name(session), epoch, rung, self._kb(session, rung))
            for session, epoch, rung in command.sessions
        )
        numbers = tuple(session for session, _, _ in command.sessions)

        def done(answered: bool, arrived: bool, unknown: tuple[str, ...], told: msg.Told) -> None:
            gone = tuple(self.number(each) for each in unknown)
            call = command.number
            self._take(msg.Renewed(command.server, sent, call, answered, arrived, numbers, gone, told))

        self.hosts.renew(
            command.server, named, command.lease, command.until, command.number, command.clock, done
        )

    def _settle(self, command: msg.SendSettle) -> None:
        sent = self.loop.now()
        named = {self.name(session): epoch for session, epoch in command.sessions}

        def done(since: int, words: tuple[tuple[str, Word, int], ...], told: msg.Told) -> None:
            said = tuple((self.number(name), word, rung) for name, word, rung in words if name in named)
            self._take(msg.Settled(command.server, sent, command.number, since, said, told))

        what = command.lease, command.until, command.number, command.clock
        self.hosts.settle(command.server, named, *what, done)

    def _named(self, command: msg.Named) -> None:
        self._names[command.session], self._numbers[command.name] = command.name, command.session

    def _ordered(self, command: msg.Ordered) -> None:
        waiting = self._orders.get(command.server)
        if waiting:  # each order is confirmed once, in the sequence in which they were given
            waiting.pop(0)(command.good)
        if not waiting:
            self._orders.pop(command.server, None)

    def _steer(self, command: msg.Steer) -> None:
        answer = self._polls.pop(command.poll, None)
        if answer is not None:
            answer(command)

    def _give(self, command: msg.Give) -> None:
        asked = self._asked.pop(command.ask, None)
        if asked is None:
            return
        self.say(
            "request",
            ask=command.ask,
            session=self.name(command.session) if command.session else None,
            verdict=command.verdict.value,
            reason=command.reason,
            host=command.server.decode(),
            rung=command.rung,
            attempts=asked.attempts,
            took_ms=(self.loop.now() - asked.at) / 1000,
        )
        asked.answer(command)
