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
from mintmast.decisions.gateways.records import Intent, Recovered
from mintmast.decisions.messages import Ask, Named, Say, SendSettle, Settled, Verdict, Wake
from mintmast.decisions.outcomes import FATES, Fate, Word, reaches
from mintmast.decisions.sessions.intents import Catalogue, Intents
from mintmast.decisions.sessions.keys import Keys
from mintmast.decisions.sessions.lease import Lease
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Session, Sessions, Signal
from mintmast.interface import NoteKind, Outcome

SECOND = 1_000_000
# µs after which a host that did not answer is asked again, and for which one question may take
AGAIN = SECOND // 2
# sessions in one question: some 20 kB, as in a renewal
SETTLED_AT_ONCE = 200
# hosts asked at once: a start with a long list must not open all its connections in one moment
HOSTS_AT_ONCE = 16


class Desk(Protocol):
    """What the recovery asks of the book."""

    def feed(self, now: int, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions."""

    def close(
        self, now: int, session: Session, verdict: Verdict | None = None, advice: int = 0, reason: str = ""
    ) -> None:
        """End a session, and answer those who wait."""

    def unwanted(self, now: int, session: Session) -> None:
        """End a session that plays and nobody watches."""

    def settled(self, now: int, session: Session) -> None:
        """Let a session that plays go on, and answer those who wait."""


class Recovery:
    """One start's recovery. `emit` takes commands; `done` tells whether all is settled."""

    def __init__(
        self,
        desk: Desk,
        settings: api.Settings,
        catalogue: Catalogue,
        sessions: Sessions,
        keys: Keys,
        leases: Leases,
        claims: Claims,
        intents: Intents,
        emit: Callable[[object], None],
    ) -> None:
        self._desk, self._settings, self._catalogue = desk, settings, catalogue
        self._sessions, self._keys, self._leases = sessions, keys, leases
        self._claims, self._intents, self._emit = claims, intents, emit
        self._open: dict[int, tuple[str, Intent]] = {}  # not settled: digest and record
        self._handed = False  # the module knows of them
        self._waiting: deque[bytes] = deque()  # hosts still to be asked
        self._asked: dict[bytes, int] = {}  # hosts that are being asked: number of the call
        self.counts = dict.fromkeys((*(each.value for each in Fate), "not offered"), 0)

    def adopt(self, settings: api.Settings, catalogue: Catalogue) -> None:
        """Go on with these settings."""
        self._settings, self._catalogue = settings, catalogue

    def holds(self, session: int) -> bool:
        """Tell whether a session of an earlier life is not settled yet."""
        return session in self._open

    @property
    def open(self) -> int:
        """Sessions that are not settled yet."""
        return len(self._open)

    def begin(self, now: int, kept: Recovered) -> None:
        """Take the records of earlier lives; nothing is asked before the hosts are known."""
        for digest, (intent, keep) in sorted(kept.intents.items(), key=lambda each: each[1][1]):
            self._claims.restore(now, digest, intent.owner, intent.number, keep)
            numbers = self._catalogue.numbers(intent)
            if intent.over or numbers is None:
                self.counts["not offered"] += not intent.over
                if not intent.free:
                    self._keys.spend(now, intent.key, keep)
                self._intents.found(now, 0, digest, intent)
            else:
                self._found(now, digest, intent, numbers)
        self._waiting.extend(dict.fromkeys(each.server.encode() for _, each in self._open.values()))
        if self._open:
            self._emit(Say("unsettled", (("sessions", len(self._open)), ("hosts", len(self._waiting)))))

    def _found(self, now: int, digest: str, intent: Intent, numbers: tuple[int, int, int]) -> None:
        """Open a session again as one whose attempt is out."""
        service, tenant, title = numbers
        over = now + 2 * self._leases.length
        where = intent.home, intent.copies, intent.best_rung
        ask = Ask(0, service, tenant, title, *where, 0, intent.key, intent.length)
        session = self._sessions.open(ask, over, self._settings.classes[service].effect)
        session.take(Signal.SENT)
        session.server, session.epoch, session.rung = intent.server.encode(), intent.epoch, intent.rung
        session.sent_at, session.attempts = now, 1
        session.lease = Lease()
        # what the life before gave last is over by then, as if it had been sent at this start
        session.lease.asked(0, now, self._leases.length, None)
        if not session.free:
            self._keys.take(intent.key, session.number)
        self._intents.found(now, session.number, digest, intent)
        self._open[session.number] = digest, intent
        self._emit(Named(session.number, intent.session))

    def hosts_known(self, now: int) -> None:
        """Hand the sessions to the module, once it knows of hosts, and begin to ask.

        Danger: before it knows a host it would charge nothing for them. Before it knows one it sends nothing
        either, so their seats count from its first decision on.
        """
        if self._handed:
            return
        self._handed = True
        for number in self._open:
            session = self._sessions.by_number[number]
            ask = session.ask
            about = ask.service, ask.tenant, ask.title, ask.best_rung, session.server or b"", ask.length
            self._desk.feed(now, api.SessionOpen(number, *about, planned=False))
        self.go_on(now)

    def go_on(self, now: int) -> None:
        """Ask hosts, as many at once as may be."""
        while self._waiting and len(self._asked) < HOSTS_AT_ONCE:
            self._ask(now, self._waiting.popleft())

    def _ask(self, now: int, server: bytes) -> None:
        here = self._at(server)[:SETTLED_AT_ONCE]
        if not here:
            return
        number, clock = self._leases.ask(now, server, here)
        self._asked[server] = number
        told = tuple((each.number, each.epoch) for each in here)
        self._emit(SendSettle(server, told, now + AGAIN, number, clock, self._leases.length))

    def _at(self, server: bytes) -> list[Session]:
        """Give what is not settled at a host."""
        found = (self._sessions.by_number[number] for number in self._open)
        return [each for each in found if each.server == server]

    def settled(self, now: int, event: Settled) -> None:
        """Take a host's answer, or that there was none."""
        if self._asked.get(event.server) != event.number:
            return
        del self._asked[event.server]
        self._leases.heard(event.server, event.told.clock, now, event.sent)
        for number, word, rung in event.words:
            if number in self._open:
                self._settle(now, number, word, event.since, rung)
        for session in self._at(event.server):
            if session.lease is not None and now >= session.lease.over_at:
                self._conclude(now, session.number, Fate.UNKNOWN)
        if self._at(event.server):
            self._emit(Wake(now + AGAIN, ("settle", event.server)))
        self.go_on(now)

    def again(self, now: int, server: bytes) -> None:
        """Ask a host once more."""
        if server not in self._asked and server not in self._waiting:
            self._waiting.append(server)
        self.go_on(now)

    def _settle(self, now: int, number: int, word: Word, since: int, rung: int) -> None:
        _, intent = self._open[number]
        self._conclude(now, number, FATES[word, reaches(intent.clock, since)].fate, rung)

    def _conclude(self, now: int, number: int, fate: Fate, rung: int = 0) -> None:
        digest, intent = self._open.pop(number)
        session = self._sessions.by_number[number]
        self.counts[fate.value] += 1
        self._emit(Say("settled", (("session", intent.session), ("fate", fate.value))))
        if not self._open:
            self._emit(Say("all_settled", tuple(self.counts.items())))
        server = session.server or b""
        if fate is Fate.PLAYS and session.free and self._keys.holder(intent.key):
            self._desk.unwanted(now, session)  # its viewer came again and has another one by now
            return
        if fate is Fate.PLAYS:
            self._keys.take(intent.key, number)
            session.rung = min(max(0, rung), len(self._settings.rung_kb) - 1)
            self._desk.feed(now, api.Note(number, server, NoteKind.RUNG, float(session.rung)))
            self._desk.settled(now, session)
            return
        over = Outcome.NOT_SENT if fate is Fate.NEVER_RAN else Outcome.CANCELLED
        self._desk.feed(now, api.AttemptEnd(number, 0, server, over, 0, True))
        if fate is Fate.NEVER_RAN:
            session.take(Signal.NEVER_RAN)
            self._claims.give_back(now, digest)
            self._desk.close(now, session, Verdict.REFUSED, 0, "its gateway had died")
            return
        session.take(Signal.MAY_HAVE_RUN)
        self._desk.close(now, session, Verdict.FAILED, reason="this key has been spent")
