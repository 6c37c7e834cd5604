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
from mintmast.decisions.gateways.claims import UNASKED, Claims
from mintmast.decisions.gateways.records import Recovered, Written
from mintmast.decisions.gateways.talk import AsideTold, Condemned, Learnt, PeerCall, PeerStands, Voted
from mintmast.decisions.messages import (
    Ask,
    AskGone,
    CallOff,
    Command,
    Drain,
    Due,
    EndEnded,
    Give,
    HostDrain,
    HostHello,
    HostLost,
    HostNote,
    HostTick,
    ListNews,
    Poll,
    PollGone,
    Renewed,
    Say,
    SessionEnded,
    Settled,
    SetUpEnded,
    Verdict,
    Wake,
)
from mintmast.decisions.outcomes import Evidence, Row
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.acts import Acts
from mintmast.decisions.sessions.asks import Asks
from mintmast.decisions.sessions.budget import Budget
from mintmast.decisions.sessions.ends import Ends
from mintmast.decisions.sessions.fleet import Fleet
from mintmast.decisions.sessions.intents import Catalogue, Intents
from mintmast.decisions.sessions.keys import Keys
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.moving import Moves
from mintmast.decisions.sessions.orders import Orders
from mintmast.decisions.sessions.recovery import Recovery
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal, Stage
from mintmast.decisions.sessions.setups import SetUps
from mintmast.interface import Outcome

# µs after a session's deadline at which the book itself answers if no end of the attempt was reported. A bug
# in the network code must not cost a viewer the answer, and the adapter's own timer must expire first
BACKSTOP = 5_000
NO_NAMES = Catalogue()


class SessionBook:
    """The session book of one gateway.

    `handle_module_event` is the module's `handle`, `lease_length` the length of a lease in µs.
    """

    def __init__(
        self,
        settings: api.Settings,
        decide: Callable[[int, api.Event], list[api.Action]],
        lease: int,
        epoch_base: int = 0,
        table: dict[Evidence, Row] | None = None,
        gateway: str = "",
        start: int = 0,
        members: tuple[str, ...] = (),
        catalogue: Catalogue = NO_NAMES,
    ) -> None:
        self.settings = settings
        self._out: list[Command] = []
        self.sessions, self.keys = Sessions(), Keys()
        self.asks = Asks(self._emit)
        self.leases, self.ends = Leases(lease, self._emit), Ends(lease, self._emit)
        self.claims = Claims(gateway, start, members, self._emit, self._claimed)
        self.keeper = self.claims.part.keeper
        self.intents = Intents(self.keeper, self.claims, catalogue, gateway, start)
        self.set_ups = SetUps(
            self.leases, self.ends, self._emit, epoch_base, table, self.intents.before, self._set_up_ended
        )
        self.budget = Budget(settings.budget)
        self.moves = Moves(settings, self, self.sessions, self.leases, self.ends, self.budget, self._emit)
        self.acts = Acts(decide, self, self.sessions, self.set_ups, self.moves, self._emit)
        self.fleet = Fleet(self, self.sessions, self.leases, self.moves, self._emit)
        self.watch = self.fleet.watch
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
        self.orders = Orders(self.fleet, self.keeper, self._emit)
        self.handlers: dict[type, Callable] = {
            Ask: self._ask,
            AskGone: self._ask_gone,
            Poll: lambda now, e: self.moves.poll(now, e, self.watch.to_leave),
            PollGone: lambda now, e: self.moves.poll_gone(e.poll),
            SetUpEnded: self._set_up_ended,
            EndEnded: self._end_ended,
            Renewed: self._renewed,
            SessionEnded: self._session_ended,
            HostHello: self.fleet.hello,
            HostTick: lambda now, e: self.leases.heard(e.server, e.clock, now, None),
            HostLost: self.fleet.lost,
            HostDrain: self.fleet.host_drains,
            HostNote: self.fleet.note,
            PeerCall: lambda now, e: self.claims.part.called(now, e),
            Voted: lambda now, e: self.claims.voted(now, e),
            Learnt: lambda now, e: self.claims.part.learnt(now, e),
            AsideTold: lambda now, e: self.claims.part.asided(now, e),
            PeerStands: self._stands,
            Condemned: lambda now, e: self.claims.part.condemn(now, e),
            Written: lambda now, e: self.keeper.written(now, e),
            Settled: lambda now, e: self.recovery.settled(now, e),
            Drain: self.orders.drain,
            ListNews: self._news,
            Due: self._due,
        }

    def start(self, now: int, kept: Recovered | None = None) -> list[Command]:
        """Start, with the records of earlier generations if there is a store; must be the first call."""
        self._out = []
        self.claims.part.begin_learning(now, kept)
        if kept is not None:
            self.recovery.begin(now, kept)
            self.orders.begin(now, kept)
        self.feed(now, api.Started())
        return self._out

    def take(self, now: int, event: object) -> list[Command]:
        """Process one event at time `now` and return the resulting commands."""
        self._out = []
        self.handlers[type(event)](now, event)
        return self._out

    def adopt(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Apply new settings between two events; class, tenant and title numbers keep their meaning."""
        self.settings = settings
        self.intents.adopt(catalogue)
        self.moves.adopt(settings)
        self.recovery.adopt(settings, catalogue)

    def holds(self, key: str, title: int) -> bool:
        """Return whether a session of this title is being set up or plays for a key."""
        session = self.sessions.get(self.keys.holder(key)) if key else None
        return session is not None and session.ask.title == title

    @property
    def held(self) -> int:
        """Number of sessions that are being set up or play."""
        return len(self.sessions.by_number)

    def _emit(self, command: Command) -> None:
        self._out.append(command)

    # Viewers

    def _ask(self, now: int, ask: Ask) -> None:
        session = self.sessions.get(self.keys.holder(ask.key)) if ask.key else None
        if session is not None and session.ask.title == ask.title and session.ask.service == ask.service:
            if session.playing:
                self.asks.give(ask.ask, session, Verdict.PLAYS)
                return
            under_way = session.out or self.claims.pending(session.number)
            found = self.recovery.holds(session.number)
            if under_way and (session.waiting or self.moves.came(session.number) or found):
                self.asks.wait(now, session, ask)
                return
        if self.keys.spent(now, ask.key) or (session is not None and not session.free):
            # the paid session may have run, or runs for another title: a second set-up would charge twice
            self._emit(Give(ask.ask, Verdict.FAILED, reason="this key has been spent"))
            return
        session = self.sessions.open(ask, now + ask.budget, self.settings.classes[ask.service].effect)
        self.keys.take(ask.key, session.number)
        self.asks.wait(now, session, ask)
        self.budget.asked(now)
        self._emit(Wake(session.deadline + BACKSTOP, ("late", session.number)))
        if ask.key and not session.free and self.claims.on:
            # at most half of the viewer's timeout, which leaves the other half for the set-up
            self.claims.begin(now, session.number, ask.key, ask.length, now + ask.budget // 2)
        else:
            self._placed(now, session)

    def _claimed(self, now: int, number: int, why_not: str) -> None:
        """Place a session whose key claim succeeded, or close it; `failure` is the reason, "" for success."""
        session = self.sessions.get(number)
        if session is None:
            return
        if why_not == UNASKED:  # the key's owner cannot be determined here, but perhaps at another gateway
            self.asks.give_all(session, Verdict.FAILED, reason=why_not, elsewhere=True)
        if why_not or not session.waiting or now >= session.deadline:
            self.close(now, session, Verdict.FAILED, reason=why_not or "time is up")
        else:
            self._placed(now, session)

    def _placed(self, now: int, session: Session) -> None:
        self.place(now, session)
        if session.waiting and not session.out:  # the module must have sent or closed it by rule 1
            self._emit(Say("unanswered", (("session", session.number),)))
            self.close(now, session, Verdict.FAILED, reason="undecided")

    def place(self, now: int, session: Session) -> None:
        """Request a host for the session from the module."""
        ask = session.ask
        request = api.SessionRequest(
            session.number,
            ask.service,
            ask.tenant,
            ask.title,
            session.deadline - now,
            ask.home_cell,
            ask.copies,
            ask.best_rung,
            ask.length,
            ask.moved,
            ask.again,
        )
        self.feed(now, request)

    def _ask_gone(self, now: int, event: AskGone) -> None:
        self._unwatched(now, self.asks.gone(event.ask))

    def _unwatched(self, now: int, session: Session | None) -> None:
        if session is not None and self.recovery.holds(session.number):
            return  # its host is queried whether or not a viewer waits
        if session is not None and session.out:
            self.feed(now, api.ViewerGone(session.number))
        elif session is not None and self.claims.pending(session.number):
            self.close(now, session)

    def close(
        self, now: int, session: Session, verdict: Verdict | None = None, advice: int = 0, reason: str = ""
    ) -> None:
        """Close a session: answer its requests, remove it and retain a key that must not run again."""
        if session.out:  # no attempt may stay at a host without a termination
            self.set_ups.give_up(now, session, Signal.CALLED_OFF)
        if session.stage is not Stage.OVER:
            session.take(Signal.ENDED if session.playing else Signal.CLOSED)
        if verdict is not None:
            self.asks.give_all(session, verdict, advice, reason)
        self.sessions.forget(session)
        self.keys.release(now, session.ask.key, session.number, session.ran and not session.free)
        self.claims.settle(now, session.number, session.ran)
        self.intents.over(now, session.number, session.ran)
        self.moves.closed(now, session)

    # The module

    def feed(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""
        self.acts.feed(now, event)

    # Attempts

    def send(self, now: int, session: Session, server: bytes, timeout_at: int) -> None:
        """Send a session's set-up to the host that the module has chosen."""
        if session.stage is Stage.ASKED and self.moves.hold(session.number, server, timeout_at):
            return
        if session.attempts:
            self.budget.spend(now)
        self.set_ups.send(now, session, server, timeout_at, self.moves.moved_from(session.number))

    def send_moved(self, now: int, session: Session, server: bytes, timeout_at: int, moved_from: int) -> None:
        """Send a moved session's set-up to the host where a place was held for it."""
        self.keys.take(session.ask.key, session.number)
        self._emit(Wake(session.deadline + BACKSTOP, ("late", session.number)))
        self.set_ups.send(now, session, server, timeout_at, moved_from)

    def _set_up_ended(self, now: int, event: SetUpEnded) -> None:
        session = self.sessions.get(event.session)
        if event.evidence is Evidence.UNRECORDED and session is not None:
            session.why = "records cannot be written"
            self._emit(Say("unrecorded", (("session", session.number),)))
        row = self.set_ups.ended(now, session, event)
        if row is None or session is None or session.server is None:
            return
        server, took, load = session.server, now - session.sent_at, event.told.load
        unwatched = not session.waiting and not self.moves.came(session.number)
        if row.outcome is None and unwatched:
            self.set_ups.give_up(now, session, Signal.UNWATCHED)
            self.close(now, session)
            served = api.AttemptEnd(event.session, event.attempt, server, Outcome.SERVED, took, True, load)
            self.feed(now, served)
        elif row.outcome is None:
            self._started(now, session, server, took, load)
        else:
            end = api.AttemptEnd(event.session, event.attempt, server, row.outcome, took, unwatched, load)
            self.feed(now, end)
            if self.sessions.get(event.session) is not None and not session.out:
                self.close(now, session, Verdict.FAILED, reason="over")

    def _started(self, now: int, session: Session, server: bytes, took: int, load: tuple[float, ...]) -> None:
        number = session.number
        self._plays(now, session, server)
        self.feed(now, api.Playing(number, session.attempts - 1, server, took))
        self.moves.arrived(now, number)
        for value, name in zip(load, self.settings.load_fields, strict=False):
            kind = {"x0": api.NoteKind.LINK, "x1": api.NoteKind.UPLINK}.get(name)
            if kind is not None:
                self.feed(now, api.Note(number, server, kind, value))

    def _plays(self, now: int, session: Session, server: bytes) -> None:
        session.take(Signal.STARTED)
        session.started = session.started or now
        self.sessions.plays(session, server)
        self.leases.started(now, server, session)
        self.asks.give_all(session, Verdict.PLAYS)

    def settled(self, now: int, session: Session) -> None:
        """Resume a session of an earlier generation that still plays and answer its pending requests."""
        self._plays(now, session, session.server or b"")

    def unwanted(self, now: int, session: Session) -> None:
        """Terminate a session of an earlier generation that still plays but has no viewer."""
        self.set_ups.give_up(now, session, Signal.UNWATCHED)
        self.close(now, session)
        server, number = session.server or b"", session.number
        self.feed(now, api.AttemptEnd(number, 0, server, Outcome.CANCELLED, 0, True))

    def ended(self, now: int, session: Session, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Record that a playing session has ended at its host."""
        server, attempt = session.server or b"", session.attempts - 1
        self.close(now, session)
        self.feed(now, api.AttemptEnd(session.number, attempt, server, outcome, 0, True, load))
        # RESET: the host's process is gone, which is as certain an end as a report by the host
        died = outcome is Outcome.RESET
        self.moves.left(now, session.number, moves.Signal.OLD_DIED if died else moves.Signal.LEFT)

    # Hosts, operators, other gateways

    def _news(self, now: int, event: ListNews) -> None:
        self.fleet.news(now, event)
        if event.entries:
            self.recovery.hosts_known(now)

    def _stands(self, now: int, event: PeerStands) -> None:
        self.claims.part.stands(now, event)
        self.orders.stands(now, event)

    # Terminations and leases

    def _end_ended(self, now: int, event: EndEnded) -> None:
        if not self.ends.awaits(event):
            return
        session = self.sessions.get(event.session)
        if event.sure and session is not None and session.server == event.server:
            self.moves.signal(now, event.session, moves.Signal.ENDED)
        self.ends.tried(now, event)

    def _renewed(self, now: int, event: Renewed) -> None:
        at = self.sessions.at(event.server)
        unknown = set(event.unknown) if event.answered else set()
        load = event.told.load
        if event.answered:
            self.leases.heard(event.server, event.told.clock, now, event.sent)
        for number in event.sessions:
            session = at.get(number)
            if session is None:
                continue
            if number in unknown:
                self.ended(now, session, Outcome.SERVED, load)
                load = ()
                continue
            self.leases.renewed(session, event)
            self.moves.renewed(now, session, event)

    def _renew(self, now: int, server: bytes) -> None:
        if not self.sessions.at(server):
            self.leases.rest(server)
            return
        staying = [each for each in self.sessions.at(server).values() if not self.moves.moving(each.number)]
        for session in self.leases.over(now, staying):
            self.ended(now, session, Outcome.RESET)
        here = self.sessions.at(server).values()
        self.leases.renew_all(now, server, [each for each in here if not self.moves.moving(each.number)])

    def _due(self, now: int, event: Due) -> None:
        match event.token:
            case ("module", token):
                self.feed(now, api.TimerFired(token))
            case ("late", number):
                session = self.sessions.get(number)
                if session is not None and session.out:
                    seen = Evidence.UNRECORDED if session.held_back else Evidence.SILENT
                    self._emit(CallOff(number, session.attempts - 1))
                    self._set_up_ended(now, SetUpEnded(number, session.attempts - 1, seen))
                elif session is not None and self.claims.pending(number):
                    self.close(now, session, Verdict.FAILED, reason="time is up")
            case ("ask", ask):
                self._unwatched(now, self.asks.late(ask))
            case ("claim", number):
                self.claims.again(now, number)
            case ("learn",):
                self.claims.part.learn(now)
            case ("settle", server):
                self.recovery.again(now, server)
            case ("watches",):
                self.fleet.handover.more_lines(now)
            case ("entries",):
                self.fleet.slice_due(now)
            case ("renew", server):
                self._renew(now, server)
            case ("move", number, signal):
                self.moves.signal(now, number, signal)
            case ("poll", poll):
                self.moves.poll_due(poll)
            case ("watch", server):
                self.fleet.handover.line_again(server)
            case ("end", number, server):
                self.ends.again(now, number, server)

    def _session_ended(self, now: int, event: SessionEnded) -> None:
        session = self.sessions.at(event.server).get(event.session)
        if session is not None:
            self.ended(now, session, Outcome.SERVED)
