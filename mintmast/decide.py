"""Every decision of the controller: where a session plays, at which rung, or that it is refused.

Its types, events and actions are in `interface.py`. Outline: tuned values; `_Pipe`, the slot account of a
link or rack uplink; `_Server` and `_Session`; `Controller`, whose parts are the list of servers, requests and
attempts, admission (slot test, price of room, holder order), guards (cold pace, seats, attempt budget),
notes, and the step-down under short delivery. Times are microseconds, rates kB a second.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mintmast import interface as api
from mintmast.interface import Effect, ListKind, NoteKind, Outcome, ServerState

SECOND = 1_000_000
SLOT = SECOND  # µs; a slot of the link account: the design's second, well under a session's length
DEFAULT_LENGTH = 120 * SECOND  # µs; charge of a session with no hint: over the usual length, as ends are told
MARK = 0.97  # part of a link that the slot test may fill: room for rates above the ladder and late notes
FILL_FEW, FILL_ALL = 0.75, 0.9  # part of the room that the price fills where own sessions lie at none, at all
NO_LIMIT = 1e12  # kB a second; a link or uplink of which nothing is told
MAX_SIZE = 1000.0  # sizes told beyond this or under its inverse are taken for broken
MAX_USE = 20.0  # noted use above this is taken for a broken report
ZONE_ROOM = (
    10.0  # room that a holder in the own zone seems to have more, per told price of crossing: 0.2 at 0.02
)
CHOICES = 4  # holders looked at: more follow old notes in step with others, fewer meet full ones
RETRY_ADVICE = SECOND  # µs; after a refusal: about one session of a server ends in that time
MIN_LEFT = 60_000  # µs; with less time left no set-up can answer, so none is sent
UNANSWERED = (
    SECOND * 2 // 5
)  # µs; a server with a set-up out for so long may stand still: several usual set-ups
SUSPECT = 2 * SECOND  # µs; a server is passed over so long after a failed set-up, doubled with each in a row
SUSPECT_MAX = 16 * SECOND  # µs; longest such time: faults last tens of seconds and must be noticed as over
FULL_PAUSE = SECOND  # µs; a server that said it is full is passed over so long: one slot
SHED_BELOW = 0.96  # delivered share under which rungs are stepped down: a little short costs less than a step
SHED_TO = 0.8  # part of what is delivered that the rungs kept may ask for, so that one step is enough
SHED_WAIT = 2 * SECOND  # µs beside the age of notes before the same server is judged again
NOTE_FADES = (
    30 * SECOND
)  # µs; in that time a noted use turns into the fleet's average: a few times a note's period
SETTLE_WAIT = 6 * SECOND  # µs after a cut before the rung is settled anew: later notes show what the cut did
FULL_LINK = 0.9  # noted use under which a link is not what makes delivery short
UPLINK_DOWN = 0.3  # part of a missing share by which an uplink's told rate is lowered: each server notes it
UPLINK_UP = 0.01  # part by which it is raised at a note of a link while well used and never short
UPLINK_WAIT = 5 * SECOND  # µs without a short note before it is raised: notes of all its servers come by then
UPLINK_TRIED = 0.85  # part of it that must be asked to show that it gives more
UPLINK_LEAST, UPLINK_MOST = 0.6, 1.4  # bounds of both, of what is told: beyond the spread of real racks
DEAD_BELOW = 0.1  # delivered share under which the server stands still: smaller rungs would not help
DEMAND_MEMORY = 4 * SECOND  # µs; broken sessions count as demand so long: most viewers are back by then
ASK_LIST, SEND_REPORT, SEND_TABLE = 0, 1, 2  # tokens of timers
TABLE_FORMAT, REPORT_FORMAT = 0x11, 0x12  # first byte of a message: version and kind; others are passed over
TABLE_COST = 0.012  # part of the result that messages may cost: a small part of what knowing the uses earns
TABLE_BYTES = 240  # bytes of uses in one message, under the 256 that are carried
PRICE_AGE = SECOND // 4  # µs; the price of room is worked out anew so often


def _nibble(use: float) -> int:
    """Pack a use into half a byte: 0 is none, then tenths."""
    return 1 + min(14, max(0, round(use * 10)))


class _Pipe:
    """Slot account of a link or an uplink: its noted use, and what this gateway changed since then."""

    __slots__ = ("at", "changes", "limit", "short_at", "use")

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.use: float | None = None
        self.at = -1
        self.short_at = 0
        self.changes: deque[tuple[int, int, float]] = deque()

    def charge(self, now: int, ends: int, kb: float) -> None:
        """Put `kb` (negative: take off) into the slots from now to that of `ends`."""
        self.changes.append((now, ends // SLOT, kb))

    def note(self, seen: int, use: float) -> None:
        """Take a report of the use as it was at `seen`; what was changed before is part of it."""
        if seen < self.at:
            return
        self.use, self.at = use, seen
        while self.changes and self.changes[0][0] <= seen:
            self.changes.popleft()

    def changed(self, now: int) -> float:
        """Give the fullest slot's charges since the note.

        Every charge starts at once and only leaves later, so the fullest slot is the present one.
        """
        slot = now // SLOT
        while self.changes and self.changes[0][1] < slot:
            self.changes.popleft()
        return sum(kb for _, last, kb in self.changes if last >= slot)

    def need(self, now: int, unheard: float, echo: float = 1.0) -> float:
        """Give the rate asked in the fullest slot; `unheard` is the use taken where none was noted.

        An old note fades towards that: no new one comes where this gateway holds no session any more, and a
        server once noted as full would stay shut out for good.
        """
        fresh = self.fresh(now)
        use = unheard if self.use is None else fresh * self.use + (1 - fresh) * unheard
        return max(0.0, use * self.limit + self.changed(now) * echo)

    def fresh(self, now: int) -> float:
        """Give the weight of the note: 1 when new, 0 when nobody can say any more."""
        return 0.0 if self.use is None else max(0.0, 1 - (now - self.at) / NOTE_FADES)


@dataclass(slots=True)
class _Server:
    """What this gateway knows of one server."""

    entry: api.ListEntry
    link: _Pipe
    rack: int
    sessions: dict[int, _Session] = field(default_factory=dict)
    strikes: int = 0
    suspect_until: int = 0
    warned: int = -1  # last sign that its process died or may have started anew
    up_since: int | None = None  # first set-up answered after that sign
    sent: deque[int] = field(default_factory=deque)
    shed_at: int = -(10**15)
    short_at: int = -(10**15)


@dataclass(slots=True)
class _Session:
    """A request and, once it plays, its session."""

    request: int
    service: int
    tenant: int
    title: int
    best: int
    worth: float
    deadline: int = 0
    length: int = 0
    home: int = 0
    copies: int = 0
    server: bytes | None = None  # where its attempt is out or it plays
    rung: int = 0
    kb: float = 0.0
    ends: int = 0
    attempts: int = 0
    tried: list[bytes] = field(default_factory=list)
    may_have_run: bool = False
    playing: bool = False
    noted: bool = False
    over: bool = False  # its final answer is given or no longer owed
    unsettled: bool = False  # its rung was cut for want of room or not decided here
    since: int = -(10**15)  # when its rung was last decided


class Controller:
    """Decides for one gateway; feed it every event in order and carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[bytes, _Server] = {}
        self.sessions: dict[int, _Session] = {}
        self.uplinks = [_Pipe(settings.uplink_kb or NO_LIMIT) for _ in range(settings.racks)]
        self.seats: dict[tuple[int, int], int] = {}
        self.resends: deque[int] = deque()
        self.taken: deque[int] = deque()
        self.broken: deque[tuple[int, _Session]] = deque()
        self.started = 0
        self.mean_use = 0.5  # the estimate made last
        self.handed_over = False  # sessions were playing when this gateway started
        self.price = (0.0, 1.0)  # worth for a kB of the marginal step, and the part of it that fits
        self.price_at = -PRICE_AGE
        self.table: dict[int, tuple[float, int]] = {}  # sums and counts of uses reported for the next table
        self.own_notes: dict[int, int] = {}  # when a note of a cell's server or, behind them, an uplink came
        self.period = SECOND
        self.by_cell: dict[int, list[_Server]] = {}
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at time `now` and give the actions that follow from it."""
        self.actions = []
        match event:
            case api.SessionRequest():
                self._request(now, event)
            case api.AttemptEnd():
                self._attempt_end(now, event)
            case api.Playing():
                self._playing(now, event)
            case api.Note():
                self._note(now, event)
            case api.ServerList():
                self._list(now, event)
            case api.SessionOpen():
                self._open(now, event)
            case api.ViewerGone():
                self._viewer_gone(event)
            case api.Started():
                self.started = now
                if self.settings.must_subscribe:
                    self.actions.append(api.Subscribe())
                self._plan_table(now)
            case api.PeerMessage():
                self._hear(now, event.payload)
            case api.TimerFired():
                self._timer(now, event.token)
        return self.actions

    # The list of servers

    def _list(self, now: int, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED:
            # A list service that is down must not be flooded by those who wait for it: ask again later.
            self.actions.append(api.SetTimer(SECOND, ASK_LIST))
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.entry.server not in listed:
                    server.entry = replace(server.entry, state=ServerState.GONE)
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if server is None:
                server = self.servers[entry.server] = _Server(
                    entry, _Pipe(1.0), entry.cell % self.settings.racks
                )
                self.by_cell.setdefault(entry.cell, []).append(server)
            elif entry.started > server.entry.started:  # a new process: what was learned of the old is void
                server.link.use, server.link.at = None, -1
                server.strikes = server.suspect_until = 0
            server.entry = entry
            server.rack = entry.cell % self.settings.racks
        self._told_links()

    def _told_links(self) -> None:
        """Set each link's told rate: by its weight where weights are told, else by its kind's streams."""
        s = self.settings
        ready = [each for each in self.servers.values() if each.entry.state is not ServerState.GONE]
        if not ready:
            return
        streams = [self._streams(each.entry.kind) for each in ready]
        mean = sum(streams) / len(streams)
        for server, count in zip(ready, streams, strict=True):
            size = server.entry.weight if s.weights_told else count / mean if mean else 1.0
            server.link.limit = (s.weight_kb or s.links_kb / len(ready) or NO_LIMIT) * min(
                MAX_SIZE, max(1 / MAX_SIZE, size)
            )

    def _streams(self, kind: int) -> int:
        told = self.settings.kind_streams
        return told[kind] if kind < len(told) else min(told, default=0)

    # Requests and attempts

    def _request(self, now: int, event: api.SessionRequest) -> None:
        service = self.settings.classes[event.service]
        if self.settings.budget:
            self.taken.append(now)
        session = _Session(
            event.request,
            event.service,
            event.tenant,
            event.title,
            min(event.best_rung, service.top, len(self.settings.rung_kb) - 1),
            service.worth,
            deadline=now + event.budget,
            length=event.length_hint or DEFAULT_LENGTH,
            home=event.home_cell,
            copies=event.copies,
        )
        self.sessions[event.request] = session
        self._try(now, session)

    def _try(self, now: int, session: _Session) -> None:
        """Send the session to the best holder that passes, or end it at once."""
        choice = None
        if session.deadline - now >= MIN_LEFT and self._may_attempt(now, session):
            choice = self._admit(now, session)
        if choice is None:
            self._end(now, session)
            return
        server, rung = choice
        if not session.attempts or rung != session.rung:
            self.actions.append(api.SetRung(session.request, rung))
        if session.attempts:
            self.resends.append(now)
        else:
            self._seat(session, 1)
        session.rung, session.kb = rung, self._rate(session, rung)
        session.server, session.ends = server.entry.server, now + session.length
        session.unsettled, session.since = rung < session.best, now
        session.attempts += 1
        session.tried.append(session.server)
        server.sessions[session.request] = session
        server.sent.append(now)
        self._charge(now, server, session, session.kb)
        timeout = 0  # a paid set-up is not tried again, so it gets all the time there is
        if self._class(session).effect is Effect.FREE:
            timeout = min(session.deadline, now + self._class(session).aim // 2)
        self.actions.append(api.SetUp(session.request, session.server, timeout))

    def _end(self, now: int, session: _Session) -> None:
        """Answer a request that goes nowhere: refused if that is safe, else failed."""
        session.over = True
        del self.sessions[session.request]
        if session.attempts:
            self._seat(session, -1)
        if session.may_have_run and self._class(session).effect is not Effect.FREE:
            self.actions.append(api.Fail(session.request))
            return
        self.broken.append((now, session))
        s = self.settings
        advice = min(RETRY_ADVICE, s.max_retry_after) if s.may_advise else 0
        self.actions.append(api.Refuse(session.request, advice))

    def _attempt_end(self, now: int, event: api.AttemptEnd) -> None:
        self._load(now, event.server, event.load)
        server = self.servers.get(event.server)
        if server is not None:
            self._judge(now, server, event)
        session = self.sessions.get(event.request)
        if session is None or session.server != event.server or event.attempt + 1 < session.attempts:
            return
        if server is not None:
            server.sessions.pop(session.request, None)
            self._charge(now, server, session, -session.kb)
        session.server = None
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            session.may_have_run = True
        if event.complete or session.playing or session.over:
            del self.sessions[session.request]
            self._seat(session, -1)
            if session.playing and event.outcome is Outcome.RESET:
                self.broken.append((now, session))
            return
        bound = session.may_have_run and self._class(session).effect is not Effect.FREE
        if bound or event.outcome is Outcome.NOT_SENT:
            self._end(now, session)
        else:
            self._try(now, session)

    def _playing(self, now: int, event: api.Playing) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            server.strikes = server.suspect_until = 0
            if server.up_since is None:
                server.up_since = now
        session = self.sessions.get(event.request)
        if session is not None and session.server == event.server:
            session.playing = session.may_have_run = True

    def _open(self, now: int, event: api.SessionOpen) -> None:
        service = self.settings.classes[event.service]
        session = _Session(
            event.request, event.service, event.tenant, event.title, event.best_rung, service.worth
        )
        session.server, session.attempts, session.playing, session.may_have_run = event.server, 1, True, True
        session.ends = now + (event.length_hint or DEFAULT_LENGTH)
        session.rung, session.kb = service.floor, self._rate(session, service.floor)
        session.unsettled = session.noted = True
        self.sessions[event.request] = session
        self.handed_over = True
        self._seat(session, 1)
        server = self.servers.get(event.server)
        if server is not None:
            server.sessions[event.request] = session
            self._charge(now, server, session, session.kb)

    def _viewer_gone(self, event: api.ViewerGone) -> None:
        session = self.sessions.get(event.request)
        if session is None or session.over:
            return
        session.over = True  # its attempt still runs and holds its seat until its end is told
        if session.server is not None and not session.playing and self.settings.may_cancel:
            self.actions.append(api.Cancel(session.request, session.attempts - 1))

    # Admission

    def _admit(self, now: int, session: _Session) -> tuple[_Server, int] | None:
        """Find the highest rung worth its room that passes the slot test at a holder, roomiest first."""
        holders = self._holders(now, session)
        if not holders:
            return None
        service = self._class(session)
        heard = any(server.link.use is not None for server in self.servers.values())
        unheard = self._mean_use(now)
        racks = [self._uplink_need(now, rack, unheard) for rack in range(self.settings.racks)]
        ordered = []
        for server in holders:
            link_room, rack_room = self._rooms(now, server, racks, unheard)
            order = link_room / server.link.limit + rack_room / self.uplinks[server.rack].limit
            if server.entry.zone == self.settings.zone:
                order += ZONE_ROOM * self.settings.cross_zone_cost
            key = (self._suspect(now, server, session), -order, self.random.random())
            ordered.append((key, server, min(link_room, rack_room)))
        ordered.sort(key=lambda each: each[0])
        top = self._worth_its_room(now, session, sum(racks))
        for rung in range(top, service.floor, -1):
            kb = self._rate(session, rung)
            for _, server, room in ordered:
                if not heard or kb <= room:
                    return server, rung
        # Only what was heard may refuse: with most servers unheard, averages made of a handful of notes fill
        # whole racks on paper and would turn viewers away beside idle servers.
        kb = self._rate(session, service.floor)
        racks = [self._uplink_need(now, rack, 0.0) for rack in range(self.settings.racks)]
        for _, server, _ in ordered:
            if not heard or kb <= min(self._rooms(now, server, racks, 0.0)):
                return server, service.floor
        return None

    def _rooms(
        self, now: int, server: _Server, racks: list[float], unheard: float, echo: float = 1.0
    ) -> tuple[float, float]:
        """Give what the fullest slot leaves up to the mark on the server's link and on its rack's uplink."""
        link = server.link.limit * self._warmth(now, server) * MARK - server.link.need(now, unheard, echo)
        return link, self.uplinks[server.rack].limit * MARK - racks[server.rack]

    def _holders(self, now: int, session: _Session) -> list[_Server]:
        cells = self.settings.cells
        found = []
        for server in self.servers.values():
            entry = server.entry
            if entry.state is not ServerState.READY or entry.server in session.tried:
                continue
            if cells and (entry.cell - session.home) % cells >= session.copies:
                continue
            if self._cold_pace(now, server):
                found.append(server)
        if len(found) > CHOICES:
            # Danger: where all hold all, every gateway would pick the same few that were noted lowest until
            # the next note; of a random few each still avoids the full ones. May hurt when most are down.
            well = [each for each in found if not self._suspect(now, each, session)]
            found = self.random.sample(well if len(well) >= CHOICES else found, CHOICES)
        return found

    def _mean_use(self, now: int) -> float:
        """Estimate the fleet's mean use from the servers heard of.

        Danger: with a handful of sessions a gateway hears most of servers that carry much, and would take
        all others for as full. Each note is weighed by the inverse of the chance to be heard of at its use.
        """
        heard = [each.link for each in self.servers.values() if each.link.use is not None]
        mine = len(self.sessions) / max(1, len(self.servers)) / max(0.05, self.mean_use)
        part = len(heard) / max(1, len(self.servers))  # heard of by whatever way
        total = weights = 0.0
        for pipe in heard:
            use = min(1.0, pipe.use)
            weight = (pipe.fresh(now) + 0.01) / max(part, 1 - math.exp(-mine * max(0.05, use)))
            total, weights = total + weight * use, weights + weight
        if weights:
            self.mean_use = total / weights
        return self.mean_use if weights else 0.0

    def _uplink_need(self, now: int, rack: int, unheard: float, echo: float = 1.0) -> float:
        """Give what is asked of an uplink; a link asked for several times its rate still carries no more."""
        pipe = self.uplinks[rack]
        if pipe.use is not None:
            return pipe.need(now, unheard, echo)
        return sum(
            min(each.link.need(now, unheard, echo), each.link.limit)
            for each in self.servers.values()
            if each.rack == rack and each.entry.state is not ServerState.GONE
        )

    def _worth_its_room(self, now: int, session: _Session, need: float) -> int:
        """Give the highest rung whose last step is worth its rate at the going price of room.

        Trunk reservation: the room goes to the steps that earn most for a kB. Were all sessions of this
        gateway set at one price, their rates would fill its part of the fleet's room: that price holds. At
        light use every step is worth its rate, so sessions go at the viewer's top rung. May hurt when this
        gateway's sessions are unlike the others'.
        """
        if now - self.price_at >= PRICE_AGE:
            self.price_at = now
            self.price = self._price(now, session, need)
        rung = self._class(session).floor
        for upper, density in self._steps(session):
            level, part = self.price
            if density < level or (density == level and self.random.random() >= part):
                break
            rung = upper
        return rung

    def _price(self, now: int, asker: _Session, need: float) -> tuple[float, float]:
        """Give the marginal step's worth for a kB and the part of such steps that still fits."""
        while self.broken and self.broken[0][0] < now - DEMAND_MEMORY:
            self.broken.popleft()
        mine = [each for each in self.sessions.values() if each.server is not None]
        # The asker counts at the middle rung: a gateway just started has no session to tell its part by, and
        # would hand top rungs to all who come to it in the middle of an overload.
        own = sum(each.kb for each in mine)
        if asker.server is None:
            mine.append(asker)
            own += self._rate(asker, min(asker.best, len(self.settings.rung_kb) // 2))
        if need <= 0:
            return 0.0, 1.0
        # What is noted of servers without own sessions is thin or old: less of their room can be counted on.
        known = sum(1 for each in self.servers.values() if each.sessions) / max(1, len(self.servers))
        room = 0.0
        for rack, uplink in enumerate(self.uplinks):
            links = sum(
                each.link.limit * self._warmth(now, each)
                for each in self.servers.values()
                if each.rack == rack and each.entry.state is ServerState.READY
            )
            room += min(links, uplink.limit) * (FILL_FEW + (FILL_ALL - FILL_FEW) * known)
        heard = any(each.link.use is not None for each in self.servers.values())
        left = own * room / need if heard else room / self.settings.instances
        steps: dict[float, float] = {}
        for each in [*mine, *(session for _, session in self.broken)]:
            below = self._rate(each, self._class(each).floor)
            left -= below
            for upper, density in self._steps(each):
                kb = self._rate(each, upper)
                steps[density] = steps.get(density, 0.0) + kb - below
                below = kb
        for density in sorted(steps, reverse=True):
            if steps[density] > left:
                return density, max(0.0, left / steps[density])
            left -= steps[density]
        return 0.0, 1.0

    def _steps(self, session: _Session) -> list[tuple[int, float]]:
        """Give the class's steps above its floor as (rung, worth gained for a kB), best first.

        Rungs off the upper hull of worth over rate are left out: the next one earns more for a kB.
        """
        s, service = self.settings, self._class(session)
        steps: list[tuple[int, float]] = []
        at, top = service.floor, min(service.top, len(s.rung_kb) - 1, session.best)
        while at < top:
            gains = [
                (
                    session.worth
                    * (s.rung_worth[up] - s.rung_worth[at])
                    / max(1e-9, self._rate(session, up) - self._rate(session, at)),
                    up,
                )
                for up in range(at + 1, top + 1)
            ]
            density, at = max(gains)
            steps.append((at, density))
        return steps

    def _rate(self, session: _Session, rung: int) -> float:
        return self.settings.rung_kb[rung] * self._class(session).scale

    def _class(self, session: _Session) -> api.ServiceClass:
        return self.settings.classes[session.service]

    def _charge(self, now: int, server: _Server, session: _Session, kb: float) -> None:
        server.link.charge(now, session.ends, kb)
        self.uplinks[server.rack].charge(now, session.ends, kb)

    # Guards

    def _seat(self, session: _Session, by: int) -> None:
        if self._class(session).seats > 0:
            key = (session.service, session.title)
            self.seats[key] = self.seats.get(key, 0) + by
            if not self.seats[key]:
                del self.seats[key]

    def _may_attempt(self, now: int, session: _Session) -> bool:
        """Tell whether seats, viewer's rungs, the cap on attempts and their budget allow one more."""
        s, service = self.settings, self._class(session)
        if session.best < service.floor or session.attempts >= s.max_attempts:
            return False
        if not session.attempts:
            return not service.seats or self.seats.get((session.service, session.title), 0) < service.seats
        if s.budget:
            for times in (self.resends, self.taken):
                while times and times[0] <= now - s.budget.span:
                    times.popleft()
            return len(self.resends) + 1 <= s.budget.free + s.budget.ratio * len(self.taken)
        return True

    def _warm_from(self, now: int, server: _Server) -> int:
        """Give the latest time at which the server may have started, as far as this gateway can tell."""
        # Sessions handed over when this gateway started show that it took over from another as planned, not
        # after a crash: then its list is as good as its predecessor's, and says itself who is young.
        start = server.entry.started if self.handed_over else max(server.entry.started, self.started)
        if server.warned > server.entry.started:
            start = max(start, server.up_since if server.up_since is not None else now)
        return start

    def _warmth(self, now: int, server: _Server) -> float:
        s = self.settings
        if not s.cold or now - server.entry.started >= s.cold or not server.entry.started:
            return 1.0
        return s.cold_from + (1 - s.cold_from) * max(0, now - server.entry.started) / s.cold

    def _cold_pace(self, now: int, server: _Server) -> bool:
        """Tell whether a server that may be cold can take one more set-up of this gateway.

        Danger: a returning server looks empty to all gateways at once and falls over under their set-ups.
        Each keeps its part of the budget in every window; where that part is under one set-up the gateways
        take turns by the clock. Holds for restarts, successors, unlisted returns after a broken connection
        and this gateway's own restart. May hurt: a reset that was no restart slows a warm server.
        """
        s = self.settings
        while server.sent and server.sent[0] <= now - s.fall:
            server.sent.popleft()
        age = now - self._warm_from(now, server)
        if age >= s.cold:
            return True
        warmth = s.cold_from + (1 - s.cold_from) * max(0, age) / s.cold
        budget = s.fall_multiple * self._streams(server.entry.kind) / s.cold * warmth * s.fall
        share = int(budget / s.instances)
        if share:
            return len(server.sent) < share
        gap = 1 if budget >= 2 else 2
        turn = now // s.fall % (gap * s.instances) == gap * s.instance
        return budget >= 1 and turn and not server.sent

    def _judge(self, now: int, server: _Server, event: api.AttemptEnd) -> None:
        """Learn of a server's health from how an attempt ended.

        Danger: a server that errs at once or stands still looks empty and draws sessions. After a failure
        others are tried first, for longer with each in a row; when all holders are suspect they are
        as good as each other, so a fault seen everywhere shuts out nobody.
        """
        if event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            server.warned, server.up_since = now, None
        if event.outcome is Outcome.FULL:
            server.suspect_until = max(server.suspect_until, now + FULL_PAUSE)
        elif event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED):
            server.suspect_until = now + min(SUSPECT_MAX, SUSPECT << min(server.strikes, 10))
            server.strikes += 1

    def _suspect(self, now: int, server: _Server, session: _Session) -> bool:
        """Tell whether others are to be tried first: after a failure, or while a set-up stays unanswered.

        Paid sessions, lost when a set-up may have run, are not the ones to find out whether it is well again.
        """
        if now < server.suspect_until or (server.strikes and self._class(session).effect is not Effect.FREE):
            return True
        return any(not e.playing and now - e.since > UNANSWERED for e in server.sessions.values())

    # Notes

    def _note(self, now: int, event: api.Note) -> None:
        session = self.sessions.get(event.request)
        server = self.servers.get(event.server)
        if event.kind is NoteKind.RUNG:
            if session is not None and math.isfinite(event.value):
                rung = min(max(0, int(event.value)), len(self.settings.rung_kb) - 1)
                self._set_rung(now, session, rung)
            return
        if server is None or not 0 <= event.value <= MAX_USE:
            return
        if event.kind is NoteKind.DELIVERED:
            self._short(now, server, event.value)
            return
        fresh = session is not None and session.playing and not session.noted
        seen = now if fresh else now - self.settings.note_age
        if event.kind is NoteKind.LINK:
            server.link.note(seen, event.value)
            self.own_notes[server.entry.cell] = now
            uplink = self.uplinks[server.rack]
            if uplink.use is None and now - uplink.short_at > UPLINK_WAIT:
                if self._uplink_need(now, server.rack, self._mean_use(now)) > uplink.limit * UPLINK_TRIED:
                    uplink.limit = min(uplink.limit * (1 + UPLINK_UP), self.settings.uplink_kb * UPLINK_MOST)
            if fresh:
                self._retest(now, server, session)
            self._settle(now, server)
        else:
            self.uplinks[server.rack].note(seen, event.value)
            self.own_notes[self.settings.cells + server.rack] = now
        if session is not None and (event.kind is NoteKind.UPLINK or "x1" not in self.settings.load_fields):
            session.noted = True  # its set-up's own notes are told, later ones are late

    # Messages between gateways

    def _plan_table(self, now: int) -> None:
        """Set the timer for this gateway's next report, at the same times at all gateways."""
        s = self.settings
        if not s.may_tell or s.instances < 2 or not s.notes_every:
            return
        size = (s.instances + 2) * (s.cells + s.racks + 20) / 2
        rate = sum(each.quota_per_s for each in s.tenants) or 1.0
        dear = int(s.tell_cost * size / (256 * rate * TABLE_COST) * SECOND)
        self.period = max(s.notes_every // 2, dear)
        self.actions.append(api.SetTimer(self.period - now % self.period, SEND_REPORT))

    def _timer(self, now: int, token: int) -> None:
        """Report the uses noted in the last period to the gateway whose turn it is, or send its table.

        Danger: each gateway hears of a tenth of the servers only. One after the other, by the clock, takes
        in what all have heard and tells everyone in half a byte a server or uplink. Only uses travel, and
        bounded: what is lost, late or made up can sway the choice of a holder or rung, never a rule.
        """
        s = self.settings
        if token == ASK_LIST:
            self.actions.append(api.Subscribe())
        elif token == SEND_REPORT:
            hub = now // self.period * 7919 % s.instances
            told = [(e.entry.cell, e.link) for e in self.servers.values() if e.sessions]
            told += [(s.cells + rack, pipe) for rack, pipe in enumerate(self.uplinks)]
            fresh = [(n, pipe.use) for n, pipe in told if pipe.use is not None and now - pipe.at < self.period]
            fresh = [each for each in fresh if self.own_notes.get(each[0], -1) > now - self.period]
            if hub == s.instance:
                for n, use in fresh:
                    total, count = self.table.get(n, (0.0, 0))
                    self.table[n] = (total + use, count + 1)
                self.actions.append(api.SetTimer(SECOND // 5, SEND_TABLE))
            elif fresh:
                packed = b"".join(n.to_bytes(2, "big") + bytes([_nibble(use)]) for n, use in fresh[:80])
                self.actions.append(api.TellPeers(bytes([REPORT_FORMAT]) + packed, hub))
            self._plan_table(now)
        elif self.table:
            codes = [0] * (s.cells + s.racks + 1)
            for n, (total, count) in self.table.items():
                codes[n] = _nibble(total / count)
            packed = bytes(high << 4 | low for high, low in zip(codes[::2], codes[1::2], strict=False))
            for at in range(0, len(packed), TABLE_BYTES):
                part = packed[at : at + TABLE_BYTES]
                head = bytes([TABLE_FORMAT]) + (2 * at).to_bytes(2, "big")
                self.actions.append(api.TellPeers(head + part))
            self._take_table(now, 0, packed)
            self.table = {}

    def _hear(self, now: int, payload: bytes) -> None:
        """Take a report or a table of a peer; what is not in its format is passed over."""
        size = self.settings.cells + self.settings.racks
        if not self.settings.may_tell or len(payload) < 4:
            return
        if payload[0] == REPORT_FORMAT:
            for at in range(1, len(payload) - 2, 3):
                n, code = int.from_bytes(payload[at : at + 2], "big"), payload[at + 2]
                if n < size and 0 < code < 16:
                    total, count = self.table.get(n, (0.0, 0))
                    self.table[n] = (total + (code - 1) / 10, count + 1)
        elif payload[0] == TABLE_FORMAT:
            self._take_table(now, int.from_bytes(payload[1:3], "big"), payload[3:])

    def _take_table(self, now: int, first: int, packed: bytes) -> None:
        cells, seen = self.settings.cells, now - self.period
        codes = (code for both in packed for code in (both >> 4, both & 15))
        for n, code in enumerate(codes, first):
            if not code:
                continue
            if n < cells:
                for server in self.by_cell.get(n, ()):
                    if server.entry.started < seen and server.entry.state is ServerState.READY:
                        server.link.note(seen, (code - 1) / 10)
            elif n < cells + len(self.uplinks):
                self.uplinks[n - cells].note(seen, (code - 1) / 10)

    def _load(self, now: int, server_id: bytes, load: Iterable[float]) -> None:
        server = self.servers.get(server_id)
        if server is None:
            return
        pipes = {"x0": server.link, "x1": self.uplinks[server.rack]}
        for name, value in zip(self.settings.load_fields, load, strict=False):
            if name in pipes and 0 <= value <= MAX_USE:
                pipes[name].note(now - self.settings.note_age, value)

    def _set_rung(self, now: int, session: _Session, rung: int) -> None:
        """Book a change of a session's rung."""
        kb = self._rate(session, rung)
        server = self.servers.get(session.server) if session.server is not None else None
        if server is not None:
            self._charge(now, server, session, kb - session.kb)
        session.rung, session.kb = rung, kb

    def _retest(self, now: int, server: _Server, session: _Session) -> None:
        """Put the slot test to a session again when its set-up's own note tells the server's true use."""
        kb = session.kb + server.link.limit * self._warmth(now, server) * MARK - server.link.need(now, 0.0)
        rung = session.rung
        while rung > self._class(session).floor and self._rate(session, rung) > kb:
            rung -= 1
        if rung < session.rung:
            session.unsettled, session.since = True, now
            self._set_rung(now, session, rung)
            self.actions.append(api.SetRung(session.request, rung))

    def _settle(self, now: int, server: _Server) -> None:
        """Bring sessions cut for want of room, or found playing, to the rung that admission would give now.

        Danger: sessions found playing at the start, and those cut by a trouble that has passed, stay on low
        rungs while links are idle. Once for each cut, when the server's use is noted, they go through the
        slot test where they play. All gateways hear the note at once, so each lets its sessions grow by the
        factor that would just fill link and uplink if all did, and takes steps in between by lot.
        May hurt when many viewers are about to come: their room is taken.
        """
        waiting = [e for e in server.sessions.values() if e.unsettled and e.playing and not e.over]
        waiting = [e for e in waiting if now - e.since >= SETTLE_WAIT]
        if not waiting:
            return
        unheard = self._mean_use(now)
        racks = [self._uplink_need(now, rack, unheard) for rack in range(self.settings.racks)]
        uplink = self.uplinks[server.rack]
        link_growth = server.link.limit * self._warmth(now, server) / max(1.0, server.link.need(now, unheard))
        growth = MARK * min(link_growth, uplink.limit / max(1.0, racks[server.rack]))
        room = (growth - 1) * sum(each.kb for each in server.sessions.values() if each.playing)
        for session in sorted(waiting, key=lambda e: (-e.worth, e.request)):
            for rung in range(self._worth_its_room(now, session, sum(racks)), session.rung, -1):
                more = self._rate(session, rung) - session.kb
                if more <= room or (rung == session.rung + 1 and self.random.random() * more < room):
                    room -= more
                    session.unsettled = False
                    self._set_rung(now, session, rung)
                    self.actions.append(api.SetRung(session.request, rung))
                    break

    def _short(self, now: int, server: _Server, share: float) -> None:
        """Step rungs down where delivery is really short.

        Danger: a link or uplink that gives less than told, or titles far above their rung's rate, starve
        every session there, and each missing point costs several of worth. Each gateway takes its sessions
        there down to what is delivered, least worth for a kB first, once, then waits for notes to show it.
        May hurt when the shortness passes by itself: the steps stay.
        """
        s = self.settings
        if share < DEAD_BELOW:  # its sessions get nothing: as good as a failed set-up
            server.strikes, server.suspect_until = max(1, server.strikes), now + SUSPECT
        uplink = self.uplinks[server.rack]
        others = [
            e
            for e in self.servers.values()
            if e is not server and e.rack == server.rack and now - e.short_at < SHED_WAIT
        ]
        server.short_at = now
        if others and DEAD_BELOW <= share and uplink.use is None and (server.link.use or 1.0) < FULL_LINK:
            # Danger: uplinks differ from what is told, and where nothing reports them only a share that is
            # short beside a link with room shows it. May hurt when the link's note is old.
            uplink.short_at = now
            uplink.limit = max(uplink.limit * (1 - UPLINK_DOWN * (1 - share)), s.uplink_kb * UPLINK_LEAST)
        if not DEAD_BELOW <= share < SHED_BELOW or now - server.shed_at < s.note_age + SHED_WAIT:
            return
        server.shed_at = now
        playing = [each for each in server.sessions.values() if each.playing and not each.over]
        excess = sum(each.kb for each in playing) * (1 - share * SHED_TO)
        steps = []
        for session in playing:
            below = self._class(session).floor
            for upper, density in self._steps(session):
                if upper <= session.rung:
                    steps.append((density, session.request, below, session))
                below = upper
        steps.sort(key=lambda each: each[:2])
        changed = []
        for _, _, below, session in steps:
            saved = session.kb - self._rate(session, below)
            # By lot where a step saves more than is missing: many gateways hold one session each here, and
            # if all stepped down for a tenth that is missing, half of the link would stay empty.
            if excess <= 0 or self.random.random() * saved >= excess:
                break
            excess -= saved
            self._set_rung(now, session, below)
            session.unsettled, session.since = True, now
            if session not in changed:
                changed.append(session)
        self.actions += [api.SetRung(session.request, session.rung) for session in changed]
