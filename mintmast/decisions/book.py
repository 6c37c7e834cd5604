"""The session book: between viewers' asks, hosts' replies and the module's events and actions.

Pure: `take(now, input)` gives the commands that follow. It stands between the module, which decides
placement, and the network, and keeps what neither can: one answer for each ask, one attempt out for a
session, an end for every session that a host may hold and nobody wants, and the lease of each one that plays.

A session is under way (an attempt is out), plays, or is over. `asks` of one key share a session: a viewer who
asks twice is set up once. Of paid sessions that may have run the key is kept after the end, and is not set up
again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast import interface as api
from mintmast.decisions import moves
from mintmast.decisions.hostwatch import HostWatch
from mintmast.decisions.lease import HostClock, Lease, renew_every
from mintmast.decisions.moves import Act, MovePlanner, Signal, Stage
from mintmast.decisions.outcomes import TABLE, Evidence, may_have_run
from mintmast.interface import Effect, ListKind, Outcome

SECOND = 1_000_000
# µs after a session's deadline; the book answers by itself if its attempt's end was never told: a hole in the
# network code must not cost a viewer his answer, and it must not come before the adapter's own timer
BACKSTOP = 5_000
# µs between tries to end a session at a host that does not confirm, until its lease has run out anyway
END_AGAIN = SECOND // 2
# µs for one try: a host that cannot say yes in this time is asked again
END_TIME = 2 * SECOND
# of a long list, entries that the module gets in a turn, lines opened in a turn, and µs between two such
# turns: a list of 10,000 is through in half a second, and viewers are answered meanwhile
ENTRIES_AT_ONCE, WATCHED_AT_ONCE, SLICE_EVERY = 500, 50, 2_000
# sessions in one renewal: some 20 kB, well under what a host takes as a body, and no long turn for either
# side
RENEWED_AT_ONCE = 200
# µs for which the key of a paid session that may have run is kept: past any viewer's second try, within what
# a gateway can hold (a day at 6 a second is 500,000 keys; an hour is 20,000)
KEY_KEPT = 3600 * SECOND


class Verdict(Enum):
    """The one answer to an ask."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


# Inputs


class Ask(msgspec.Struct, frozen=True, gc=False):
    """A viewer asks; he waits `budget` µs, and `key` stays with him over his tries ("" for none)."""

    ask: int
    service: int
    tenant: int
    title: int
    home_cell: int
    copies: int
    best_rung: int
    budget: int
    key: str = ""
    length: int = 0
    moved: bool = False
    again: bool = False


class AskGone(msgspec.Struct, frozen=True, gc=False):
    """The viewer waits no more."""

    ask: int


class Told(msgspec.Struct, frozen=True, gc=False):
    """What a host's word carries beside its matter: its load, a reading of its clock (µs, -1 for none)."""

    load: tuple[float, ...] = ()
    clock: int = -1


NOTHING = Told()


class SetUpEnded(msgspec.Struct, frozen=True, gc=False):
    """What was seen of a set-up; once for each sent."""

    session: int
    attempt: int
    evidence: Evidence
    told: Told = NOTHING


class EndEnded(msgspec.Struct, frozen=True, gc=False):
    """A try to end a session at a host is over; `sure` says that the host holds it no more."""

    session: int
    server: bytes
    sure: bool


class Renewed(msgspec.Struct, frozen=True, gc=False):
    """A renewal's call is over; `unknown` are those that the host does not hold.

    `arrived` is false where it provably never came to the host.
    """

    server: bytes
    sent: int
    number: int
    answered: bool
    arrived: bool
    sessions: tuple[int, ...]
    unknown: tuple[int, ...] = ()
    told: Told = NOTHING


class SessionEnded(msgspec.Struct, frozen=True, gc=False):
    """A host tells that a session is over there."""

    server: bytes
    session: int


class HostHello(msgspec.Struct, frozen=True, gc=False):
    """The line to a host stands; `age` is how long its process has run in µs, None for not told."""

    server: bytes
    process: str
    age: int | None
    drains: bool
    clock: int = -1


class HostTick(msgspec.Struct, frozen=True, gc=False):
    """A host's sign of life, with a reading of its clock in µs."""

    server: bytes
    clock: int


class HostLost(msgspec.Struct, frozen=True, gc=False):
    """The line to a host broke or was not to be had; `draw` is a random number from 0 to 1."""

    server: bytes
    draw: float
    refused: bool = False


class HostDrain(msgspec.Struct, frozen=True, gc=False):
    """A host tells that it drains, or drains no more."""

    server: bytes
    drains: bool


class HostNote(msgspec.Struct, frozen=True, gc=False):
    """A host tells a share delivered or the use of its link or uplink."""

    server: bytes
    kind: api.NoteKind
    value: float


class Poll(msgspec.Struct, frozen=True, gc=False):
    """A player asks where to go on; `buffer` is the media it holds ahead (µs), it waits `budget` µs."""

    poll: int
    session: int
    buffer: int
    budget: int


class PollGone(msgspec.Struct, frozen=True, gc=False):
    """The player waits no more for the answer to its poll."""

    poll: int


class Drain(msgspec.Struct, frozen=True, gc=False):
    """An operator drains a host, or takes that back; `within` µs it is to be empty, None for not said."""

    server: bytes
    on: bool
    within: int | None = None


class ListNews(msgspec.Struct, frozen=True, gc=False):
    """News from the list of servers."""

    kind: ListKind
    version: int
    entries: tuple[api.ListEntry, ...] = ()


class Due(msgspec.Struct, frozen=True, gc=False):
    """A `Wake` has come."""

    token: tuple


# Commands


class SendSetUp(msgspec.Struct, frozen=True, gc=False):
    """Set a session up; its end is told by `SetUpEnded`, by `until` at the latest."""

    session: int
    attempt: int
    server: bytes
    rung: int
    epoch: int
    until: int
    ask: Ask
    number: int
    clock: int
    moved_from: int = 0


class Steer(msgspec.Struct, frozen=True, gc=False):
    """Answer a poll: play on at this host, or (with `over`) nowhere."""

    poll: int
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    title: int = 0
    service: int = 0
    best_rung: int = 0
    moved: bool = False
    over: bool = False


class CallOff(msgspec.Struct, frozen=True, gc=False):
    """Break off a set-up; no `SetUpEnded` need follow."""

    session: int
    attempt: int


class SendRung(msgspec.Struct, frozen=True, gc=False):
    """Tell a host the rung of a session that plays."""

    session: int
    server: bytes
    rung: int
    epoch: int


class SendEnd(msgspec.Struct, frozen=True, gc=False):
    """End a session at a host, with all its epochs up to this one, also those that have not arrived yet."""

    session: int
    server: bytes
    epoch: int
    until: int


class SendRenew(msgspec.Struct, frozen=True, gc=False):
    """Renew the leases of these (session, epoch, rung) at a host; the rung mends a lost change."""

    server: bytes
    sessions: tuple[tuple[int, int, int], ...]
    until: int
    number: int
    clock: int
    lease: int


class Watch(msgspec.Struct, frozen=True, gc=False):
    """Open the line to a host."""

    server: bytes


class Unwatch(msgspec.Struct, frozen=True, gc=False):
    """Close the line to a host that is gone."""

    server: bytes


class Give(msgspec.Struct, frozen=True, gc=False):
    """Answer an ask. `advice` is in µs; `reason` a short word for logs and problem details."""

    ask: int
    verdict: Verdict
    session: int = 0
    server: bytes = b""
    rung: int = 0
    epoch: int = 0
    advice: int = 0
    reason: str = ""


class Wake(msgspec.Struct, frozen=True, gc=False):
    """Hand in `Due(token)` at `at`."""

    at: int
    token: tuple


class AskList(msgspec.Struct, frozen=True, gc=False):
    """Ask the sources of the list for all of it, or (with `standing`) for its changes."""

    standing: bool = False


class Say(msgspec.Struct, frozen=True, gc=False):
    """A line for the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


Command = object


@dataclass(slots=True)
class _Move:
    """A move under way; kept at the old session, and by the new one's number."""

    old: _Session
    buffer_until: int  # until when the player's buffer lasts, by its own word
    stage: Stage = Stage.PLAYS
    polls: set[int] = field(default_factory=set)
    call: int = 0  # number of the call that makes the lease short
    new: int = 0
    held: tuple[bytes, int] | None = None  # where the module wants the new session, until it is sent there
    began: int = 0


@dataclass(slots=True)
class _Session:
    number: int
    ask: Ask
    deadline: int
    effect: Effect
    waiting: dict[int, int] = field(default_factory=dict)  # ask: its deadline
    server: bytes | None = None
    rung: int = 0
    epoch: int = 0
    attempts: int = 0
    out: bool = False
    sent_at: int = 0
    playing: bool = False
    may_have_run: bool = False
    lease: Lease | None = None
    started: int = 0
    move: _Move | None = None  # off its host
    came: _Move | None = None  # by which it comes to its host


class SessionBook:
    """The book of one gateway. `decide` is the module's `handle`; `lease` the length of a lease in µs."""

    def __init__(
        self,
        settings: api.Settings,
        decide: Callable[[int, api.Event], list[api.Action]],
        lease: int,
        epoch_base: int = 0,
        table: dict | None = None,
    ) -> None:
        self.settings, self._decide, self._lease = settings, decide, lease
        self._epoch = epoch_base
        self._table = table or TABLE
        self.watch = HostWatch()
        self.sessions: dict[int, _Session] = {}
        self.keys: dict[str, int] = {}  # key: the session under way or playing
        self.spent: dict[str, int] = {}  # key of a paid session over that may have run: until when
        self._spent_order: deque[tuple[int, str]] = deque()
        self._asks: dict[int, _Session] = {}
        self._at: dict[bytes, dict[int, _Session]] = {}
        self._ending: dict[tuple[int, bytes], tuple[int, int]] = {}  # epoch, when its lease is surely over
        self._renewing: set[bytes] = set()
        self._clocks: dict[bytes, HostClock] = {}
        self._calls = 0  # calls that give leases are numbered, so that a host can pass over old ones
        self._number = self._version = 0
        self._watched: set[bytes] = set()
        self._to_watch: deque[bytes] = deque()
        self._to_tell: deque[bytes] = deque()
        self._out: list[Command] = []
        self.planner = MovePlanner(settings)
        self.counts = {"moved": 0, "lost": 0, "stayed": 0, "over": 0}
        self.reasons: dict[int, str] = {}  # of sessions on draining hosts that stay: why, at their last poll
        self._next: dict[int, int] = {}  # moved session: the one that it became
        self._polls: dict[int, _Move] = {}
        self._ordered: dict[bytes, int | None] = {}  # drains ordered here: when the host is to be empty
        self.late = 0  # sessions found running after their attempt was given up
        self.handlers: dict[type, Callable] = {
            Ask: self._ask,
            AskGone: self._ask_gone,
            SetUpEnded: self._set_up_ended,
            EndEnded: self._end_ended,
            Renewed: self._renewed,
            SessionEnded: self._session_ended,
            HostHello: self._hello,
            HostLost: self._host_lost,
            HostTick: lambda now, e: self._heard(now, e.server, e.clock, None),
            HostDrain: lambda now, e: self._entries(now, self.watch.drain(e.server, e.drains)),
            HostNote: self._note,
            Poll: self._poll,
            PollGone: self._poll_gone,
            Drain: self._drain,
            ListNews: self._list,
            Due: self._due,
        }

    def start(self, now: int) -> list[Command]:
        """Begin; the first call."""
        self._out = []
        self._feed(now, api.Started())
        return self._out

    def take(self, now: int, event: object) -> list[Command]:
        """Take one input at time `now` and give the commands that follow."""
        self._out = []
        self.handlers[type(event)](now, event)
        return self._out

    @property
    def held(self) -> int:
        """Sessions under way or playing."""
        return len(self.sessions)

    # Viewers

    def _ask(self, now: int, ask: Ask) -> None:
        session = self.sessions.get(self.keys.get(ask.key, 0)) if ask.key else None
        if session is not None and session.ask.title == ask.title and session.ask.service == ask.service:
            if session.playing and session.server is not None:
                self._give(ask.ask, session, Verdict.PLAYS)
                return
            if session.out and (session.waiting or session.came is not None):
                self._wait(now, session, ask)
                return
        if self.spent.get(ask.key, now) > now or (session is not None and session.effect is not Effect.FREE):
            # The key of a paid session that may have run, or runs for another title: not a second charge.
            self._out.append(Give(ask.ask, Verdict.FAILED, reason="this key has been spent"))
            return
        self._number += 1
        effect = self.settings.classes[ask.service].effect
        session = _Session(self._number, ask, now + ask.budget, effect)
        self.sessions[session.number] = session
        if ask.key:
            self.keys[ask.key] = session.number
        self._wait(now, session, ask)
        self._out.append(Wake(session.deadline + BACKSTOP, ("late", session.number)))
        self._request(now, session)
        if session.waiting and not session.out:  # the module must have sent it or ended it: see rule 1
            self._out.append(Say("unanswered", (("session", session.number),)))
            self._close(now, session, Verdict.FAILED, reason="undecided")

    def _request(self, now: int, session: _Session) -> None:
        """Ask the module where the session plays."""
        self.planner.taken(now)
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
        self._feed(now, request)

    def _wait(self, now: int, session: _Session, ask: Ask) -> None:
        until = now + ask.budget
        session.waiting[ask.ask] = until
        self._asks[ask.ask] = session
        if ask is not session.ask:
            self._out.append(Wake(until, ("ask", ask.ask)))

    def _ask_gone(self, now: int, event: AskGone) -> None:
        session = self._asks.pop(event.ask, None)
        if session is None:
            return
        session.waiting.pop(event.ask, None)
        if not session.waiting and session.out:
            self._feed(now, api.ViewerGone(session.number))

    def _give(self, ask: int, session: _Session, verdict: Verdict, advice: int = 0, reason: str = "") -> None:
        self._asks.pop(ask, None)
        session.waiting.pop(ask, None)
        server = session.server or b""
        self._out.append(
            Give(ask, verdict, session.number, server, session.rung, session.epoch, advice, reason)
        )

    def _give_all(self, session: _Session, verdict: Verdict, advice: int = 0, reason: str = "") -> None:
        for ask in list(session.waiting):
            self._give(ask, session, verdict, advice, reason)

    def _close(
        self, now: int, session: _Session, verdict: Verdict | None = None, advice: int = 0, reason: str = ""
    ) -> None:
        """End a session: answer those who wait, forget it, keep the key that must not run again."""
        if verdict is not None:
            self._give_all(session, verdict, advice, reason)
        self.sessions.pop(session.number, None)
        self.reasons.pop(session.number, None)
        self._leave(session)
        key = session.ask.key
        if key and self.keys.get(key) == session.number:
            del self.keys[key]
            if session.may_have_run and session.effect is not Effect.FREE:
                self.spent[key] = now + KEY_KEPT
                self._spent_order.append((now + KEY_KEPT, key))
        came = session.came
        if came is not None and came.new == session.number and came.stage is Stage.SETTING_UP:
            self._signal(now, came, Signal.DOWN)
        while self._spent_order and self._spent_order[0][0] <= now:
            until, key = self._spent_order.popleft()
            if self.spent.get(key) == until:
                del self.spent[key]

    # The module

    def _feed(self, now: int, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions; what they cause is handed in after."""
        events = deque([event])
        while events:
            for action in self._decide(now, events.popleft()):
                more = self._act(now, action)
                if more is not None:
                    events.append(more)

    def _act(self, now: int, action: api.Action) -> api.Event | None:
        match action:
            case api.SetUp(request, server, timeout_at):
                self._send(now, self.sessions[request], server, timeout_at)
            case api.SetRung(request, rung):
                session = self.sessions.get(request)
                if session is not None:
                    session.rung = rung
                    if session.playing and session.server is not None:
                        self._out.append(SendRung(request, session.server, rung, session.epoch))
            case api.Refuse(request, advice):
                session = self.sessions.get(request)
                if session is not None:
                    self._close(now, session, Verdict.REFUSED, advice, "no room")
            case api.Fail(request):
                session = self.sessions.get(request)
                if session is not None:
                    self._close(now, session, Verdict.FAILED, reason="may have run")
            case api.Cancel(request, attempt):
                return self._cancel(now, request, attempt)
            case api.Move(request):
                session = self.sessions.get(request)
                if session is not None and session.playing and session.server is not None:
                    server = session.server
                    self._end_at(now, session, server)
                    self._close(now, session)
                    self._move_on(now, session, Signal.LEFT)
                    return api.AttemptEnd(request, session.attempts - 1, server, Outcome.CANCELLED, 0, True)
            case api.SetTimer(delay, token):
                self._out.append(Wake(now + delay, ("module", token)))
            case api.Subscribe(on):
                if on:
                    self._out.append(AskList(standing=True))
            case api.FetchList():
                self._out.append(AskList())
            case api.Probe(server):  # not offered: the settings say so, and it is answered as not sent
                return api.ProbeResult(server, Outcome.NOT_SENT, 0)
            case api.Log(text):
                self._out.append(Say("module", (("text", text),)))
            case _:  # CloseIdle: connections close by themselves when idle. TellPeers: no peers yet
                pass
        return None

    # Attempts

    def _send(self, now: int, session: _Session, server: bytes, timeout_at: int) -> None:
        if session.out:
            raise AssertionError("a second attempt while one is out")
        move = session.came
        if move is not None and move.stage in (Stage.PLACING, Stage.REPLACING):
            move.held = server, timeout_at  # sent when the old session is surely over
            return
        if move is not None and move.stage is not Stage.SETTING_UP:
            raise AssertionError("a moved session sent while the old one may play")
        if session.attempts:
            self.planner.resent(now)
        self._epoch += 1
        session.server, session.epoch, session.out, session.sent_at = server, self._epoch, True, now
        session.attempts += 1
        until = min(timeout_at or session.deadline, session.deadline)
        session.lease = Lease()
        number, clock = self._lease_call(now, server, [session])
        self._out.append(
            SendSetUp(
                session.number,
                session.attempts - 1,
                server,
                session.rung,
                session.epoch,
                until,
                session.ask,
                number,
                clock,
                move.old.number if move is not None else 0,
            )
        )

    def _lease_call(
        self, now: int, server: bytes, sessions: list[_Session], length: int = 0
    ) -> tuple[int, int]:
        """Book a call that gives these sessions a lease; give its number and the reading that it names."""
        self._calls += 1
        clock = self._clocks.get(server)
        for session in sessions:
            if session.lease is not None:
                session.lease.asked(self._calls, now, length or self._lease, clock)
        return self._calls, clock.reading if clock is not None else -1

    def _heard(self, now: int, server: bytes, reading: int, asked: int | None) -> None:
        if reading >= 0:
            clock = self._clocks.get(server)
            if clock is None:
                clock = self._clocks[server] = HostClock()
            clock.heard(reading, now, asked)

    def _cancel(self, now: int, request: int, attempt: int) -> api.Event | None:
        session = self.sessions.get(request)
        if session is None or not session.out or session.attempts - 1 != attempt or session.server is None:
            return None
        server = session.server
        session.out, session.may_have_run = False, True
        self._out.append(CallOff(request, attempt))
        self._end_at(now, session, server)
        took = now - session.sent_at
        self._close(now, session)
        return api.AttemptEnd(request, attempt, server, Outcome.CANCELLED, took, True)

    def _set_up_ended(self, now: int, event: SetUpEnded) -> None:
        session = self.sessions.get(event.session)
        if session is not None and session.server is not None:
            self._heard(now, session.server, event.told.clock, session.sent_at)
        if session is None or not session.out or session.attempts - 1 != event.attempt:
            self.late += event.evidence is Evidence.STARTED
            return  # given up before: its end at the host is under way since then
        server = session.server
        if server is None:
            return
        row = self._table[event.evidence]
        took = now - session.sent_at
        session.out = False
        session.may_have_run = session.may_have_run or not row.never_ran
        if row.outcome is None:
            self._started(now, session, server, took, event.told.load)
            return
        if may_have_run(event.evidence):
            self._end_at(now, session, server)
        over = not session.waiting and session.came is None
        self._feed(
            now,
            api.AttemptEnd(session.number, event.attempt, server, row.outcome, took, over, event.told.load),
        )
        if session.number in self.sessions and not session.out:
            self._close(now, session, Verdict.FAILED, reason="over")

    def _started(
        self, now: int, session: _Session, server: bytes, took: int, load: tuple[float, ...]
    ) -> None:
        number, attempt = session.number, session.attempts - 1
        if not session.waiting and session.came is None:  # nobody is left to watch it
            self._end_at(now, session, server)
            self._close(now, session)
            self._feed(now, api.AttemptEnd(number, attempt, server, Outcome.SERVED, took, True, load))
            return
        session.playing, session.started = True, session.started or now
        if session.lease is not None:
            session.lease.answered(session.lease.calls[-1].number)
        at = self._at.setdefault(server, {})
        at[number] = session
        if server not in self._renewing:
            self._renewing.add(server)
            self._out.append(Wake(now + renew_every(self._lease), ("renew", server)))
        if session.lease is not None and session.lease.sure_until - now < 2 * renew_every(self._lease):
            # the reading was old when the set-up was sent; the reply brought a fresh one
            self._restore(now, session)
        self._give_all(session, Verdict.PLAYS)
        self._feed(now, api.Playing(number, attempt, server, took))
        if session.came is not None:
            self._signal(now, session.came, Signal.UP)
        for value, name in zip(load, self.settings.load_fields, strict=False):
            kind = {"x0": api.NoteKind.LINK, "x1": api.NoteKind.UPLINK}.get(name)
            if kind is not None:
                self._feed(now, api.Note(number, server, kind, value))

    def _leave(self, session: _Session) -> None:
        if session.server is not None:
            at = self._at.get(session.server)
            if at is not None:
                at.pop(session.number, None)
                if not at:
                    del self._at[session.server]

    def _ended(self, now: int, session: _Session, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Book that a playing session is over at its host."""
        server, attempt = session.server or b"", session.attempts - 1
        self._close(now, session)
        self._feed(now, api.AttemptEnd(session.number, attempt, server, outcome, 0, True, load))
        # reset: its process is gone, so it is as surely over as if the host had said so
        self._move_on(now, session, Signal.OLD_DIED if outcome is Outcome.RESET else Signal.LEFT)

    # Ends and leases

    def _end_at(self, now: int, session: _Session, server: bytes, wait: int = END_TIME) -> None:
        """See to it that the host holds the session no more, unless it never could."""
        over_at = session.lease.over_at if session.lease is not None else now
        self._ending[session.number, server] = session.epoch, max(over_at, now + self._lease)
        self._out.append(SendEnd(session.number, server, session.epoch, now + wait))

    def _end_ended(self, now: int, event: EndEnded) -> None:
        key = event.session, event.server
        held = self._ending.get(key)
        if held is None:
            return
        session = self.sessions.get(event.session)
        if event.sure and session is not None and session.move is not None and session.server == event.server:
            self._signal(now, session.move, Signal.ENDED)
        if event.sure or now >= held[1]:
            self._ending.pop(key, None)
        else:
            self._out.append(Wake(now + END_AGAIN, ("end", *key)))

    def _renewed(self, now: int, event: Renewed) -> None:
        at = self._at.get(event.server, {})
        unknown = set(event.unknown) if event.answered else set()
        load = event.told.load
        if event.answered:
            self._heard(now, event.server, event.told.clock, event.sent)
        for number in event.sessions:
            session = at.get(number)
            if session is None or session.lease is None:
                continue
            if number in unknown:
                self._ended(now, session, Outcome.SERVED, load)
                load = ()
                continue
            if event.answered:
                session.lease.answered(event.number)
                if session.move is not None and session.move.call == event.number:
                    self._shortened(now, session.move)
            elif not event.arrived:
                session.lease.never_came(event.number)

    def _due(self, now: int, event: Due) -> None:
        match event.token:
            case ("module", token):
                self._feed(now, api.TimerFired(token))
            case ("late", number):
                session = self.sessions.get(number)
                if session is not None and session.out:
                    self._out.append(CallOff(number, session.attempts - 1))
                    self._set_up_ended(now, SetUpEnded(number, session.attempts - 1, Evidence.SILENT))
            case ("ask", ask):
                session = self._asks.get(ask)
                if session is not None:
                    self._give(ask, session, Verdict.FAILED, reason="time is up")
                    if not session.waiting and session.out:
                        self._feed(now, api.ViewerGone(session.number))
            case ("watches",):
                self._watch_some(now)
            case ("entries",):
                self._tell_some(now)
            case ("renew", server):
                self._renew(now, server)
            case ("move", number, signal):
                session = self.sessions.get(number)
                if session is not None and session.move is not None:
                    self._signal(now, session.move, signal)
            case ("poll", poll):
                move = self._polls.get(poll)
                if move is not None:
                    self._steer(poll, move.old)
            case ("watch", server):
                if server in self._watched:
                    self._out.append(Watch(server))
            case ("end", number, server):
                held = self._ending.get((number, server))
                if held is not None:
                    self._out.append(SendEnd(number, server, held[0], now + END_TIME))

    def _renew(self, now: int, server: bytes) -> None:
        at = self._at.get(server)
        if not at:
            self._renewing.discard(server)
            return
        for session in list(at.values()):
            if session.lease is not None and now >= session.lease.over_at and session.move is None:
                self._ended(now, session, Outcome.RESET)  # unreachable for longer than its lease: it is over
        at = self._at.get(server, {})
        every = renew_every(self._lease)
        # Danger: a host that answers nothing may still take renewals, so its leases would never be over. Also
        # guards against answers lost on the way. A lease not surely held any more is left to run out. May
        # hurt when a host is silent for a lease and then goes on: its sessions have ended.
        held = [
            each
            for each in at.values()
            if each.lease is not None and now < each.lease.sure_until and each.move is None
        ]
        for first in range(0, len(held), RENEWED_AT_ONCE):
            some = held[first : first + RENEWED_AT_ONCE]
            self._send_renew(now, server, some, now + every, self._lease)
        self._out.append(Wake(now + every, ("renew", server)))

    def _send_renew(self, now: int, server: bytes, sessions: list[_Session], until: int, lease: int) -> int:
        """Renew these sessions' leases at a host for `lease`; give the call's number."""
        number, clock = self._lease_call(now, server, sessions, lease)
        told = tuple((each.number, each.epoch, each.rung) for each in sessions)
        self._out.append(SendRenew(server, told, until, number, clock, lease))
        return number

    # Hosts and lists

    def _session_ended(self, now: int, event: SessionEnded) -> None:
        session = self._at.get(event.server, {}).get(event.session)
        if session is not None:
            self._ended(now, session, Outcome.SERVED)

    def _hello(self, now: int, event: HostHello) -> None:
        changed, other = self.watch.hello(now, event.server, event.process, event.age, event.drains)
        self._heard(now, event.server, event.clock, None)
        self._entries(now, changed)
        if other:  # what played in the old process ended with it
            for session in list(self._at.get(event.server, {}).values()):
                if session.lease is not None and session.sent_at < now - (event.age or 0):
                    self._ended(now, session, Outcome.RESET)

    def _host_lost(self, now: int, event: HostLost) -> None:
        changed, again = self.watch.lost(now, event.server, event.draw, event.refused)
        self._entries(now, changed)
        if event.refused:  # no process is there: what played in it is over, and if not, its lease will end it
            for session in list(self._at.get(event.server, {}).values()):
                self._ended(now, session, Outcome.RESET)
        if event.server in self._watched:
            self._out.append(Wake(again, ("watch", event.server)))

    def _note(self, now: int, event: HostNote) -> None:
        at = self._at.get(event.server)
        number = next(iter(at)) if at else 0
        self._feed(now, api.Note(number, event.server, event.kind, event.value))

    def _list(self, now: int, event: ListNews) -> None:
        if event.kind is ListKind.FAILED:
            self._feed(now, api.ServerList(ListKind.FAILED, self._version))
            return
        whole = event.kind is not ListKind.DELTA
        changed = self.watch.list_entries(event.entries, whole)
        self._entries(now, changed)
        for server, host in self.watch.hosts.items():
            gone = host.listed.state is api.ServerState.GONE
            if gone and server in self._watched and not self._at.get(server):
                self._watched.discard(server)
                self._out.append(Unwatch(server))
            elif not gone and server not in self._watched:
                self._watched.add(server)
                self._to_watch.append(server)
        self._watch_some(now)

    def _watch_some(self, now: int) -> None:
        """Open lines to new hosts, a few in a turn: thousands of connections at once would stop the loop."""
        for _ in range(min(WATCHED_AT_ONCE, len(self._to_watch))):
            server = self._to_watch.popleft()
            if server in self._watched:
                self._out.append(Watch(server))
        if self._to_watch:
            self._out.append(Wake(now + SLICE_EVERY, ("watches",)))

    def _entries(self, now: int, changed: list[api.ListEntry]) -> None:
        """Hand entries to the module: what must stop at once, what may start in slices."""
        ready = [entry for entry in changed if entry.state is api.ServerState.READY]
        if len(ready) > ENTRIES_AT_ONCE:
            self._to_tell.extend(entry.server for entry in ready[ENTRIES_AT_ONCE:])
            later = {entry.server for entry in ready[ENTRIES_AT_ONCE:]}
            changed = [entry for entry in changed if entry.server not in later]
            self._out.append(Wake(now + SLICE_EVERY, ("entries",)))
        self._tell_entries(now, changed)

    def _tell_some(self, now: int) -> None:
        """Hand over the next slice, each entry as it is believed by now."""
        some = [self._to_tell.popleft() for _ in range(min(ENTRIES_AT_ONCE, len(self._to_tell)))]
        self._tell_entries(now, [self.watch.entry(self.watch.hosts[server]) for server in some])
        if self._to_tell:
            self._out.append(Wake(now + SLICE_EVERY, ("entries",)))

    def _tell_entries(self, now: int, changed: list[api.ListEntry]) -> None:
        if not changed:
            return
        self._version += 1
        self._feed(now, api.ServerList(ListKind.DELTA, self._version, tuple(changed)))
        for entry in changed:
            drains = entry.state is api.ServerState.DRAINING
            self.planner.drains(entry.server, drains, self._ordered.get(entry.server))
            if entry.state is api.ServerState.READY:
                for session in list(self._at.get(entry.server, {}).values()):
                    if session.move is not None:
                        self._signal(now, session.move, Signal.TAKEN_BACK)

    # Moves

    def playing_at(self, server: bytes) -> dict[int, _Session]:
        """Give the sessions that play at a host."""
        return dict(self._at.get(server, {}))

    def _drain(self, now: int, event: Drain) -> None:
        if event.on:
            self._ordered[event.server] = None if event.within is None else now + event.within
        else:
            self._ordered.pop(event.server, None)
        self._entries(now, self.watch.order(event.server, event.on))
        if event.on:
            self.planner.drains(event.server, True, self._ordered[event.server])

    def _poll(self, now: int, event: Poll) -> None:
        number = event.session
        while number in self._next:
            number = self._next[number]
        session = self.sessions.get(number)
        if session is None or session.server is None:
            self._out.append(Steer(event.poll, over=True))
            return
        move = session.move or (session.came if not session.playing else None)
        if move is not None and move.stage not in moves.FINAL:
            self._join(now, move, event)
            return
        host = self.watch.hosts.get(session.server)
        draining = host is not None and self.watch.entry(host).state is api.ServerState.DRAINING
        if not session.playing or not draining:
            self._steer(event.poll, session, moved=number != event.session)
            return
        service = self.settings.classes[session.ask.service]
        length = session.ask.length
        left = session.started + length - now if length else None
        why = self.planner.why_not(now, session.server, number, service, left, event.buffer)
        if why:
            self.reasons[number] = why
            self._steer(event.poll, session, moved=number != event.session)
            return
        self.planner.begin(now, session.server, number)
        move = session.move = _Move(session, now + event.buffer, began=now)
        self._join(now, move, event)
        self._signal(now, move, Signal.GRANTED)

    def _join(self, now: int, move: _Move, event: Poll) -> None:
        """Hold a poll until the move is through, but not beyond what the player waits."""
        move.polls.add(event.poll)
        self._polls[event.poll] = move
        self._out.append(Wake(now + event.budget, ("poll", event.poll)))

    def _poll_gone(self, now: int, event: PollGone) -> None:
        move = self._polls.pop(event.poll, None)
        if move is not None:
            move.polls.discard(event.poll)

    def _steer(self, poll: int, session: _Session, moved: bool = False) -> None:
        move = self._polls.pop(poll, None)
        if move is not None:
            move.polls.discard(poll)
        self._out.append(
            Steer(
                poll,
                session.number,
                session.server or b"",
                session.rung,
                session.epoch,
                session.ask.title,
                session.ask.service,
                session.ask.best_rung,
                moved,
            )
        )

    def _move_on(self, now: int, session: _Session, signal: Signal) -> None:
        if session.move is not None:
            self._signal(now, session.move, signal)
        came = session.came
        while came is not None:  # nobody asks for what it once was any more
            self._next.pop(came.old.number, None)
            came = came.old.came

    def _signal(self, now: int, move: _Move, signal: Signal) -> None:
        """Follow the table; what an act causes at once is followed too."""
        stage, acts = moves.step(move.stage, signal)
        if (stage, acts) == (move.stage, ()):
            return
        before, move.stage = move.stage, stage
        old = move.old
        if stage is Stage.PLAYS or stage in moves.FINAL:
            self.planner.end(now, old.server or b"", old.number, signal)
            outcome = {Stage.PLAYS: "stayed", Stage.MOVED: "moved", Stage.LOST: "lost", Stage.OVER: "over"}
            self.counts[outcome[stage]] += 1
            took = (now - move.began) // 1000
            fields = (
                ("session", old.number),
                ("from", old.server),
                ("after", before.value),
                ("by", signal.value),
            )
            self._out.append(Say("move_" + outcome[stage], (*fields, ("took_ms", took))))
        if stage is Stage.PLAYS:
            old.move = None
            self._restore(now, old)
        for act in acts:
            follows = self._move_act(now, move, act)
            if follows is not None:
                self._signal(now, move, follows)

    def _move_act(self, now: int, move: _Move, act: Act) -> Signal | None:
        old, server = move.old, move.old.server or b""
        match act:
            case Act.SHORTEN:
                until = now + moves.PREPARE_TIME
                move.call = self._send_renew(now, server, [old], until, moves.SHORT_LEASE)
                self._out.append(Wake(until, ("move", old.number, Signal.NOT_SHORT)))
            case Act.PLACE:
                return self._place(now, move)
            case Act.END:
                self._end_at(now, old, server, moves.END_QUICK)
                over_at = old.lease.over_at if old.lease is not None else now
                self._out.append(Wake(now + moves.END_QUICK, ("move", old.number, Signal.OVERDUE)))
                self._out.append(Wake(over_at, ("move", old.number, Signal.LEASE_OVER)))
            case Act.RELEASE:
                new = self.sessions.get(move.new)
                held, move.held = move.held, None
                if new is not None and held is not None:
                    self._feed(now, api.AttemptEnd(new.number, 0, held[0], Outcome.NOT_SENT, 0, True))
                    self._close(now, new)
            case Act.SET_UP:
                return self._set_up_moved(now, move)
            case Act.LEAD:
                for poll in list(move.polls):
                    self._steer(poll, self.sessions[move.new], moved=True)
            case Act.STAY:
                for poll in list(move.polls):
                    self._steer(poll, old)
            case Act.TELL_LOST:
                for poll in list(move.polls):
                    self._polls.pop(poll, None)
                    self._out.append(Steer(poll, over=True))
                move.polls.clear()
                self._old_over(now, move)
                self._next.pop(old.number, None)
            case Act.CALL_OFF:
                new = self.sessions.get(move.new)
                if new is not None and new.out:
                    self._feed(now, api.ViewerGone(new.number))
            case Act.FORGET:
                for poll in list(move.polls):
                    self._polls.pop(poll, None)
                    self._out.append(Steer(poll, over=True))
        return None

    def _shortened(self, now: int, move: _Move) -> None:
        lease = move.old.lease
        if move.stage is not Stage.PREPARING or lease is None:
            return
        good = lease.proven and moves.bridges(move.buffer_until - now, lease.over_at - now)
        self._signal(now, move, Signal.SHORT if good else Signal.NOT_SHORT)

    def _restore(self, now: int, session: _Session) -> None:
        """Give a session that stays its usual lease again."""
        if session.server is not None and session.number in self._at.get(session.server, {}):
            self._send_renew(now, session.server, [session], now + renew_every(self._lease), self._lease)

    def _place(self, now: int, move: _Move) -> Signal:
        """Ask the module for a place; nothing is sent yet."""
        if move.stage is Stage.REPLACING:
            self._old_over(now, move)
        ask = move.old.ask
        left = max(SECOND, move.old.started + ask.length - now) if ask.length else 0
        self._number += 1
        deadline = now + self.settings.classes[ask.service].deadline
        new = _Session(
            self._number, msgspec.structs.replace(ask, ask=0, length=left, moved=True, again=True), deadline,
            move.old.effect,
        )  # fmt: skip
        new.came, new.started, move.new = move, move.old.started, new.number
        self.sessions[new.number] = new
        self._request(now, new)
        return Signal.PLACED if move.held is not None else Signal.NO_ROOM

    def _old_over(self, now: int, move: _Move) -> None:
        """Take the old session off the module's and the book's account: it is surely over."""
        old = move.old
        self._next[old.number] = move.new
        if old.number in self.sessions:
            server, attempt = old.server or b"", old.attempts - 1
            self._close(now, old)
            self._feed(now, api.AttemptEnd(old.number, attempt, server, Outcome.CANCELLED, 0, True))

    def _set_up_moved(self, now: int, move: _Move) -> Signal | None:
        self._old_over(now, move)
        new, held, move.held = self.sessions.get(move.new), move.held, None
        if new is None or held is None:
            return Signal.DOWN
        if new.ask.key:
            self.keys[new.ask.key] = new.number
        self._out.append(Wake(new.deadline + BACKSTOP, ("late", new.number)))
        self._send(now, new, held[0], held[1])
        return None
