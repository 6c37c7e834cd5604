"""Every decision of the controller: where a session plays, at which rung, or that it is refused.

Its types, events and actions are in `interface.py`. Outline: tuned values; `_Pipe`, the slot account of a
link or rack uplink; `Controller`: list of servers, requests and attempts, admission (slot test, price of
room, holder order), guards, notes, step-down under short delivery. Times are microseconds, rates kB a second.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from mintmast import interface as api
from mintmast.interface import Effect, ListKind, NoteKind, Outcome, ServerState

SECOND = 1_000_000
SLOT_US = SECOND  # µs; a slot of the link account: the design's second, well under a session's length
# µs; charge of a session with no hint: over the usual length, as ends are told
DEFAULT_LENGTH_US = 120 * SECOND
# part of a link that the slot test may fill: room for rates above the ladder and late notes
MAX_UTILISATION = 0.97
# part of the room that the price fills where own sessions lie at no server, at all: what is noted of servers
# without own sessions is thin or old, so less of their room can be counted on
FILL_WITHOUT_SESSIONS, FILL_WITH_SESSIONS = 0.75, 1.0
MIN_AVERAGED_USE = 0.1  # noted use that an average takes at the least: a server heard of carries a session
UNLIMITED_KB = 1e12  # kB a second; a link or uplink of which nothing is told
# sizes told beyond this or under its inverse, and uses noted above the other, are taken for broken
MAX_RELATIVE_SIZE, MAX_REPORTED_USE = 1000.0, 20.0
# part of a link; room that a holder in the own zone seems to have more, per told price of crossing, and one
# to which a connection stands, per told price of a new one
CAPACITY_PER_COST = 10.0
# holders looked at: of more, gateways follow the same old notes in step; of fewer, they meet full ones. And
# how many are drawn to find so many that can be used, before all are looked at
MAX_CANDIDATES, HOLDER_SAMPLE = 4, 16
# µs; advice after a refusal: about one session of a server ends in that time
RETRY_AFTER_US = SECOND
MIN_SET_UP_US = 60_000  # µs; with less time left no set-up can answer, so none is sent
# µs; a server with a set-up out for so long may stand still: several usual set-ups
UNANSWERED_US = SECOND * 2 // 5
# µs; a server is passed over so long after a failed set-up, doubled with each in a row up to the second:
# faults last tens of seconds and must be noticed as over. So long after it said that it is full: one slot
EJECTION_US, MAX_EJECTION_US, FULL_BACKOFF_US = 2 * SECOND, 16 * SECOND, SECOND
STEP_DOWN_BELOW = 0.96  # delivered share under which rungs are stepped down: a little short costs less
STEP_DOWN_TARGET = (
    0.8  # part of what is delivered that rungs kept may ask for: rates vary, set-ups are under way
)
STEP_DOWN_DELAY_US = 2 * SECOND  # µs beside the age of notes before the same server is judged again
# µs; in that time a noted use turns into the fleet's average: about a session.s length
NOTE_LIFETIME_US = 30 * SECOND
RUNG_REVIEW_DELAY_US = (
    6 * SECOND
)  # µs after a cut before the rung is settled anew: notes show what the cut did
BUSY_LINK_USE = 0.9  # noted use under which a link is not what makes delivery short
# an uplink's told rate falls by so much of a missing share, as each server notes it; it rises by so much at a
# link's note while used by that part and for so long (µs) never short; bounds beyond the spread of real racks
UPLINK_DECREASE, UPLINK_INCREASE, BUSY_UPLINK_USE, UPLINK_STEADY_US = 0.3, 0.01, 0.85, 5 * SECOND
MIN_UPLINK_FACTOR, MAX_UPLINK_FACTOR = 0.6, 1.4
DEAD_BELOW_SHARE = 0.1  # delivered share under which a server stands still: smaller rungs would not help
# µs in which the process of the same name that was told to end may still send, after this one has started
PROCESS_OVERLAP_US = SECOND
UNSERVED_DEMAND_US = 4 * SECOND  # µs; broken sessions count as demand so long: most viewers are back by then
TOTALS_PERIOD_US = SECOND // 4  # µs; sums over the fleet and the price of room are worked out anew so often


class _CapacityAccount:
    """Slot account of a link or an uplink: its noted use, and what this gateway changed since then."""

    __slots__ = ("at", "charges", "limit_kb", "uplink_short_at", "last_short_report", "use")

    def __init__(self, limit: float) -> None:
        self.limit_kb = limit
        self.use: float | None = None
        self.at = -1
        self.last_short_report = self.uplink_short_at = (
            0,
            b"",
        )  # last short share and last one it caused: when, at whom
        self.charges: deque[tuple[int, int, float]] = deque()

    def charge(self, now: int, ends: int, kb: float) -> None:
        """Put `kb` (negative: take off) into the slots from now to that of `ends`; what is past goes."""
        while self.charges and self.charges[0][1] < now // SLOT_US:
            self.charges.popleft()
        self.charges.append((now, ends // SLOT_US, kb))

    def record_use(self, seen: int, use: float) -> None:
        """Take a report of the use as it was at `seen`; what was changed before is part of it."""
        if seen < self.at:
            return
        self.use, self.at = use, seen
        while self.charges and self.charges[0][0] <= seen:
            self.charges.popleft()

    def charged_kb(self, now: int) -> float:
        """Give the fullest slot's charges since the note.

        Every charge starts at once and only leaves later, so the fullest slot is the present one.
        """
        slot = now // SLOT_US
        while self.charges and self.charges[0][1] < slot:
            self.charges.popleft()
        return sum(kb for _, last, kb in self.charges if last >= slot)

    def demand_kb(self, now: int, default_use: float) -> float:
        """Give the rate asked in the fullest slot; `unheard` is the use taken where none was noted.

        An old note fades towards that: no new one comes where this gateway holds no session any more, and a
        server once noted as full would stay shut out for good.
        """
        fresh = self.report_weight(now)
        use = fresh * self.use + (1 - fresh) * default_use if fresh else default_use
        return max(0.0, use * self.limit_kb + (self.charged_kb(now) if self.charges else 0.0))

    def known_demand_kb(self, now: int, default_use: float) -> float:
        """Give the same, but nothing for a use never noted: what this gateway has reason to believe."""
        return self.demand_kb(now, 0.0 if self.use is None else default_use)

    def report_weight(self, now: int) -> float:
        """Give the weight of the note: 1 when new, 0 when nobody can say any more."""
        return 0.0 if self.use is None else max(0.0, 1 - (now - self.at) / NOTE_LIFETIME_US)


@dataclass(slots=True)
class _Server:
    """What this gateway knows of one server."""

    entry: api.ListEntry
    link: _CapacityAccount
    rack: int = 0
    sessions: dict[int, _Session] = field(default_factory=dict)
    failures: int = 0
    ejected_until: int = 0
    full_replies: int = 0  # how often it has said that it is full since a session last began there
    full_until: int = 0  # it has said that it is full, and nothing was seen to end there since
    restart_suspected_at: int = -1  # last sign that its process died or may have started anew
    answered_at: int | None = None  # first set-up answered after that sign
    set_up_times: deque[int] = field(default_factory=deque)
    stepped_down_at: int = -(10**15)
    gone_at: int | None = None  # when it was first heard that it is gone
    last_used_at: int = -(10**15)  # when it was last sent a set-up or a session ended there


@dataclass(slots=True)
class _Session:
    """A request and, once it plays, its session."""

    request: int
    kind: int  # place of its class
    service: api.ServiceClass
    title: int
    best_rung: int
    deadline: int = 0
    length: int = 0
    home: int = 0
    copies: int = 0
    server: bytes | None = None  # where its attempt is out or it plays
    rung: int = 0
    rate_kb: float = 0.0
    ends_at: int = 0
    attempts: int = 0
    tried_servers: list[bytes] = field(default_factory=list)
    may_have_run: bool = False
    is_playing: bool = False
    has_own_report: bool = False
    is_move: bool = False  # the gateway asks for it, not a viewer
    is_settled: bool = False  # its final answer is given or no longer owed
    error_replies: int = 0  # hosts that answered it with an error
    rung_is_provisional: bool = False  # its rung was cut for want of room or not decided here
    rung_set_at: int = -(10**15)  # when its rung was last decided


class Controller:
    """Decides for one gateway; feed it every event in order and carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        s = self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[bytes, _Server] = {}
        self.by_cell: dict[int, list[_Server]] = {}
        self.sessions: dict[int, _Session] = {}
        self.uplinks = [_CapacityAccount(s.uplink_kb or UNLIMITED_KB) for _ in range(s.racks)]
        self.seats: dict[tuple[int, int], int] = {}
        self.retry_times: deque[int] = deque()
        self.request_times: deque[int] = deque()
        self.unserved: deque[tuple[int, _Session]] = deque()
        self.started = 0
        self.is_planned_start = False  # sessions were playing when this gateway started
        # Sums over the fleet; asked of each uplink, with and without averages for servers unheard:
        self.totals_at = -TOTALS_PERIOD_US
        self.mean_use, self.has_reports, self.fleet_capacity_kb = 0.0, False, 0.0
        self.holder_share = 1.0  # part of the servers that hold the title asked for last
        self.uplink_demand, self.known_uplink_demand = [0.0] * s.racks, [0.0] * s.racks
        self.price = (0.0, 1.0)  # worth for a kB of the marginal step, and the part of it that fits
        self.price_at = -TOTALS_PERIOD_US
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.Started: self._handle_started,
            api.ServerList: self._handle_server_list,
            api.SessionRequest: self._handle_request,
            api.SessionOpen: self._handle_open_session,
            api.Playing: self._handle_playing,
            api.Note: self._handle_note,
            api.AttemptEnd: self._handle_attempt_end,
            api.ViewerGone: self._handle_viewer_gone,
            api.TimerFired: lambda *_: self.actions.append(api.Subscribe()),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at time `now` and give the actions that follow from it."""
        self.actions = []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        return self.actions

    def _handle_started(self, now: int, _: api.Started) -> None:
        self.started = now
        if self.settings.must_subscribe:
            self.actions.append(api.Subscribe())

    # The list of servers

    def _handle_server_list(self, now: int, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED:
            # A list service that is down must not be flooded by those who wait for it: ask again later.
            self.actions.append(api.SetTimer(SECOND, 0))
            return
        new = event.kind is not ListKind.DELTA
        if new:
            listed = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.entry.server not in listed:
                    server.entry = replace(server.entry, state=ServerState.GONE)
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if server is None:
                server = self.servers[entry.server] = _Server(entry, _CapacityAccount(1.0))
                new = True
            elif entry.started > server.entry.started:  # a new process: what was learned of the old is void
                server.link.use, server.link.at = None, -1
                server.failures = server.ejected_until = 0
            new = new or entry.cell != server.entry.cell
            server.entry = entry
        if self._remove_gone_servers(now) or new:
            self._index_servers()

    def _remove_gone_servers(self, now: int) -> bool:
        """Forget servers gone for so long that nothing known of them counts any more; tell if there were any.

        Danger: where new ones always take the place of old ones, what is kept of the old grows for ever.
        """
        for key, server in list(self.servers.items()):
            if server.entry.state is not ServerState.GONE:
                server.gone_at = None
            elif server.gone_at is None:
                server.gone_at = now
            elif now - server.gone_at > NOTE_LIFETIME_US + self.settings.warm_up and not server.sessions:
                del self.servers[key]
        return len(self.servers) < sum(map(len, self.by_cell.values()))

    def _index_servers(self) -> None:
        """Sort servers by cell and set told rates: by weight where told, else by the streams of a kind."""
        s = self.settings
        self.by_cell = {}
        ready = [each for each in self.servers.values() if each.entry.state is not ServerState.GONE]
        mean = sum(self._stream_count(each) for each in ready) / max(1, len(ready))
        for server in self.servers.values():
            self.by_cell.setdefault(server.entry.cell, []).append(server)
            server.rack = server.entry.cell % s.racks
            size = (
                server.entry.weight if s.has_weights else self._stream_count(server) / mean if mean else 1.0
            )
            told = s.weight_kb or s.links_kb / max(1, len(ready)) or UNLIMITED_KB
            server.link.limit_kb = told * min(MAX_RELATIVE_SIZE, max(1 / MAX_RELATIVE_SIZE, size))

    def _stream_count(self, server: _Server) -> int:
        told, kind = self.settings.kind_streams, server.entry.kind
        return told[kind] if kind < len(told) else min(told, default=0)

    # Requests and attempts

    def _handle_request(self, now: int, event: api.SessionRequest) -> None:
        service = self.settings.classes[event.service]
        if self.settings.budget and not event.moved:
            self.request_times.append(now)
        best = min(event.best_rung, service.top, len(self.settings.rung_kb) - 1)
        session = _Session(event.request, event.service, service, event.title, best, now + event.budget)
        session.length = event.length_hint or DEFAULT_LENGTH_US
        session.home, session.copies, session.is_move = event.home_cell, event.copies, event.moved
        self.sessions[event.request] = session
        self._place(now, session)

    def _place(self, now: int, session: _Session) -> None:
        """Send the session to the best holder that passes, or end it at once."""
        choice = None
        if session.deadline - now >= MIN_SET_UP_US and self._may_attempt(now, session):
            choice = self._admit(now, session)
        if choice is None:
            self._end_request(now, session)
            return
        server, rung = choice
        if not session.attempts or rung != session.rung:
            self.actions.append(api.SetRung(session.request, rung))
        if self.settings.budget and (
            session.attempts or session.is_move
        ):  # a move sends a viewer's once more
            self.retry_times.append(now)
        if not session.attempts:
            self._change_seats(session, 1)
        session.rung, session.rate_kb = rung, self._rate_kb(session, rung)
        session.server, session.ends_at = server.entry.server, now + session.length
        session.rung_is_provisional, session.rung_set_at = rung < session.best_rung, now
        session.attempts += 1
        session.tried_servers.append(session.server)
        server.sessions[session.request] = session
        server.set_up_times.append(now)
        server.last_used_at = now
        self._charge(now, server, session, session.rate_kb)
        timeout = 0  # a paid set-up is not tried again, so it gets all the time there is
        if session.service.effect is Effect.FREE:
            timeout = min(session.deadline, now + session.service.target_time // 2)
        self.actions.append(api.SetUp(session.request, session.server, timeout))

    def _end_request(self, now: int, session: _Session) -> None:
        """Answer a request that goes nowhere: refused if that is safe, else failed."""
        session.is_settled = True
        del self.sessions[session.request]
        if session.attempts:
            self._change_seats(session, -1)
        if session.may_have_run and session.service.effect is not Effect.FREE:
            self.actions.append(api.Fail(session.request))
            return
        if session.error_replies < 2:
            self.unserved.append((now, session))
        s = self.settings
        advice = min(RETRY_AFTER_US, s.max_retry_after) if s.may_advise else 0
        self.actions.append(api.Refuse(session.request, advice))

    def _handle_attempt_end(self, now: int, event: api.AttemptEnd) -> None:
        self._record_load(now, event.server, event.load)
        server = self.servers.get(event.server)
        session = self.sessions.get(event.request)
        if session is not None and event.outcome is Outcome.ERROR:
            session.error_replies += 1
        if server is not None and not self._is_request_fault(event, session):
            self._record_outcome(now, server, event)
        if session is None or session.server != event.server or event.attempt + 1 < session.attempts:
            return
        if server is not None:
            if server.sessions.pop(session.request, None) is not None:
                self._charge(now, server, session, -session.rate_kb)
        session.server = None
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            session.may_have_run = True
        if event.complete or session.is_playing or session.is_settled:
            if server is not None and session.is_playing:
                server.full_until, server.last_used_at = 0, now  # a place is free again
            del self.sessions[session.request]
            self._change_seats(session, -1)
            if session.is_playing and event.outcome is Outcome.RESET:
                self.unserved.append((now, session))
            return
        bound = session.may_have_run and session.service.effect is not Effect.FREE
        if bound or event.outcome is Outcome.NOT_SENT:
            self._end_request(now, session)
        else:
            self._place(now, session)

    def _handle_playing(self, now: int, event: api.Playing) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            server.failures = server.ejected_until = server.full_replies = 0
            if server.answered_at is None:
                server.answered_at = now
        session = self.sessions.get(event.request)
        if session is not None and session.server == event.server:
            session.is_playing = session.may_have_run = True

    def _handle_open_session(self, now: int, event: api.SessionOpen) -> None:
        service = self.settings.classes[event.service]
        session = _Session(event.request, event.service, service, event.title, event.best_rung)
        session.server, session.attempts, session.is_playing, session.may_have_run = (
            event.server,
            1,
            True,
            True,
        )
        session.ends_at = now + (event.length_hint or DEFAULT_LENGTH_US)
        session.rung, session.rate_kb = service.floor, self._rate_kb(session, service.floor)
        session.rung_is_provisional = session.has_own_report = True
        self.sessions[event.request] = session
        self.is_planned_start |= event.planned
        self._change_seats(session, 1)
        server = self.servers.get(event.server)
        if server is not None:
            server.sessions[event.request] = session
            self._charge(now, server, session, session.rate_kb)

    def _handle_viewer_gone(self, now: int, event: api.ViewerGone) -> None:
        session = self.sessions.get(event.request)
        if session is None or session.is_settled:
            return
        session.is_settled = True  # its attempt still runs and holds its seat until its end is told
        if session.server is not None and not session.is_playing and self.settings.may_cancel:
            self.actions.append(api.Cancel(session.request, session.attempts - 1))

    # Admission

    def _admit(self, now: int, session: _Session) -> tuple[_Server, int] | None:
        """Find the highest rung worth its room that passes the slot test at a holder, roomiest first."""
        holders = self._find_candidates(now, session)
        if not holders:
            return None
        self._refresh_totals(now)
        ordered = []
        for server in holders:
            link, rack = self._free_capacity(now, server, self.mean_use, self.uplink_demand)
            order = link / server.link.limit_kb + rack / self.uplinks[server.rack].limit_kb
            if server.entry.zone == self.settings.zone:
                order += CAPACITY_PER_COST * self.settings.cross_zone_cost
            if self._has_connection(now, server):
                order += CAPACITY_PER_COST * self.settings.handshake_cost
            key = (self._is_ejected(now, server, session), -order, self.random.random())
            ordered.append((key, server, min(link, rack)))
        ordered.sort(key=lambda each: each[0])
        floor = session.service.floor
        for rung in range(self._highest_affordable_rung(now, session), floor, -1):
            kb = self._rate_kb(session, rung)
            for _, server, room in ordered:
                if not self.has_reports or kb <= room:
                    return server, rung
        # Danger: with most servers unheard, averages made of a handful of notes fill whole racks on paper and
        # would turn viewers away beside idle servers. They may lower the rung; only what was heard refuses.
        # May hurt under an overload of which nothing is heard: links then fill with sessions at the floor.
        for _, server, _ in ordered:
            unheard = 0.0 if server.link.use is None else self.mean_use
            room = min(self._free_capacity(now, server, unheard, self.known_uplink_demand))
            if not self.has_reports or self._rate_kb(session, floor) <= room:
                return server, floor
        return None

    def _free_capacity(
        self, now: int, server: _Server, default_use: float, uplink_demand: list[float]
    ) -> tuple[float, float]:
        """Give what the fullest slot leaves up to the mark on the server's link and on its rack's uplink."""
        link = server.link.limit_kb * self._warmth(now, server) * MAX_UTILISATION - server.link.demand_kb(
            now, default_use
        )
        return link, self.uplinks[server.rack].limit_kb * MAX_UTILISATION - uplink_demand[server.rack]

    def _find_candidates(self, now: int, session: _Session) -> list[_Server]:
        """Give the holders that can take a set-up, a random few where there are many."""
        cells, copies = self.settings.cells, session.copies
        if cells and copies < cells:
            where = [(session.home + step) % cells for step in range(copies)]
            held = [server for cell in where for server in self.by_cell.get(cell, ())]
        else:
            held = list(self.servers.values())
        self.holder_share = len(held) / max(1, len(self.servers))
        found: list[_Server] = []
        near = [each for each in held if self._has_connection(now, each)]
        pools = (
            (near, self.random.sample(held, HOLDER_SAMPLE), held) if len(held) > HOLDER_SAMPLE else (held,)
        )
        for pool in pools:
            found = [
                each
                for each in pool
                if each.entry.state is ServerState.READY
                and each.entry.server not in session.tried_servers
                and now >= each.full_until
                and self._slow_start_allows(now, each)
            ]
            well = [each for each in found if not self._is_ejected(now, each, session)]
            if len(well) >= MAX_CANDIDATES:
                some = self.random.sample(well, len(well) if near else MAX_CANDIDATES)
                return sorted(some, key=lambda each: not self._has_connection(now, each))[:MAX_CANDIDATES]
        return found

    def _has_connection(self, now: int, server: _Server) -> bool:
        """Tell whether a connection to the server stands: own sessions play there, or did a moment ago.

        Danger: in a large fleet each gateway sends few set-ups to each server, so nearly every one opens a
        connection, which servers have few of and the settings may price. Near ones are looked at first and
        seem roomier by that price. May hurt where notes are old: a gateway stays with its servers longer.
        """
        if not self.settings.handshake_cost:
            return False
        return bool(server.sessions) or now - server.last_used_at < self.settings.idle_connection_time

    def _refresh_totals(self, now: int) -> None:
        """Renew the sums over the fleet, once in a short while; own charges are added as they come."""
        if now - self.totals_at < TOTALS_PERIOD_US:
            return
        self.totals_at = now
        # Those that drain count no more: their sessions leave, and their successors count beside them.
        listed = [each for each in self.servers.values() if each.entry.state is ServerState.READY]
        heard = [each.link for each in self.servers.values() if each.link.use is not None]
        self.has_reports = bool(heard)
        # Danger: a server is heard of while own sessions play there. Where titles lie on few servers, it is
        # the busy that are heard: were they drawn in proportion to use, the harmonic mean would be the mean
        # of all; as the roomier of the holders are chosen, it lies half way. Where all hold all, this
        # gateway chose whom it hears, and the plain mean holds.
        weights = [pipe.report_weight(now) + 0.01 for pipe in heard]
        uses = [min(1.0, pipe.use) for pipe in heard]
        total = sum(weights) or 1.0
        plain = sum(use * weight for use, weight in zip(uses, weights, strict=True)) / total
        inverse = (
            sum(weight / max(MIN_AVERAGED_USE, use) for use, weight in zip(uses, weights, strict=True))
            / total
        )
        part = (1 - self.holder_share) / 2
        self.mean_use = plain * (1 - part) + part / inverse if heard else 0.0
        racks = len(self.uplinks)
        self.uplink_demand, self.known_uplink_demand, links = [0.0] * racks, [0.0] * racks, [0.0] * racks
        for each in listed:  # a link asked for several times its rate still carries no more
            link = each.link
            self.uplink_demand[each.rack] += min(link.demand_kb(now, self.mean_use), link.limit_kb)
            self.known_uplink_demand[each.rack] += min(
                link.known_demand_kb(now, self.mean_use), link.limit_kb
            )
            links[each.rack] += link.limit_kb * self._warmth(now, each)
        for rack, pipe in enumerate(self.uplinks):
            if pipe.use is not None:
                self.uplink_demand[rack] = self.known_uplink_demand[rack] = pipe.demand_kb(now, self.mean_use)
        own = sum(1 for each in listed if each.sessions) / max(1, len(listed))
        fill = FILL_WITHOUT_SESSIONS + (FILL_WITH_SESSIONS - FILL_WITHOUT_SESSIONS) * own
        self.fleet_capacity_kb = fill * sum(
            min(link, pipe.limit_kb) for link, pipe in zip(links, self.uplinks, strict=True)
        )

    def _highest_affordable_rung(self, now: int, session: _Session) -> int:
        """Give the highest rung whose last step is worth its rate at the going price of room.

        Trunk reservation: the room goes to the steps that earn most for a kB. Were all sessions of this
        gateway set at one price, their rates would fill its part of the fleet's room: that price holds. At
        light use every step is worth its rate, so sessions go at the viewer's top rung. May hurt when this
        gateway's sessions are unlike the others'.
        """
        if now - self.price_at >= TOTALS_PERIOD_US:
            self.price_at = now
            self.price = self._compute_price(now, session)
        rung = session.service.floor
        for upper, density in self._ladder_steps(session):
            level, part = self.price
            if density < level or (density == level and self.random.random() >= part):
                break
            rung = upper
        return rung

    def _compute_price(self, now: int, requester: _Session) -> tuple[float, float]:
        """Give the marginal step's worth for a kB and the part of such steps that still fits."""
        while self.unserved and self.unserved[0][0] < now - UNSERVED_DEMAND_US:
            self.unserved.popleft()
        mine = [each for each in self.sessions.values() if each.server is not None]
        # The asker counts at the middle rung: a gateway just started has no session to tell its part by, and
        # would hand top rungs to all who come to it in the middle of an overload.
        own = sum(each.rate_kb for each in mine)
        if requester.server is None:
            mine.append(requester)
            own += self._rate_kb(requester, min(requester.best_rung, len(self.settings.rung_kb) // 2))
        need = sum(self.uplink_demand)
        if need <= 0:
            return 0.0, 1.0
        left = (
            own * self.fleet_capacity_kb / need
            if self.has_reports
            else self.fleet_capacity_kb / self.settings.instances
        )
        steps: dict[float, float] = {}
        for each in [*mine, *(session for _, session in self.unserved)]:
            below = self._rate_kb(each, each.service.floor)
            left -= below
            for upper, density in self._ladder_steps(each):
                kb = self._rate_kb(each, upper)
                steps[density] = steps.get(density, 0.0) + kb - below
                below = kb
        for density in sorted(steps, reverse=True):
            if steps[density] > left:
                return density, max(0.0, left / steps[density])
            left -= steps[density]
        return 0.0, 1.0

    def _ladder_steps(self, session: _Session) -> list[tuple[int, float]]:
        """Give the class's steps above its floor as (rung, worth gained for a kB), best first.

        Rungs off the upper hull of worth over rate are left out: the next one earns more for a kB.
        """
        worth, service = self.settings.rung_worth, session.service
        steps: list[tuple[int, float]] = []
        at, top = service.floor, min(service.top, len(worth) - 1, session.best_rung)
        while at < top:
            start = self._rate_kb(session, at)
            density, at = max(
                (service.worth * (worth[up] - worth[at]) / max(1e-9, self._rate_kb(session, up) - start), up)
                for up in range(at + 1, top + 1)
            )
            steps.append((at, density))
        return steps

    def _rate_kb(self, session: _Session, rung: int) -> float:
        return self.settings.rung_kb[rung] * session.service.scale

    def _charge(self, now: int, server: _Server, session: _Session, kb: float) -> None:
        server.link.charge(now, session.ends_at, kb)
        self.uplinks[server.rack].charge(now, session.ends_at, kb)
        self.uplink_demand[server.rack] += kb
        self.known_uplink_demand[server.rack] += kb

    # Guards

    def _change_seats(self, session: _Session, by: int) -> None:
        if session.service.seats > 0:
            key = (session.kind, session.title)
            self.seats[key] = self.seats.get(key, 0) + by
            if not self.seats[key]:
                del self.seats[key]

    def _may_attempt(self, now: int, session: _Session) -> bool:
        """Tell whether seats, viewer's rungs, the cap on attempts and their budget allow one more."""
        s, service = self.settings, session.service
        if session.best_rung < service.floor or session.attempts >= s.max_attempts:
            return False
        if not session.attempts:
            return not service.seats or self.seats.get((session.kind, session.title), 0) < service.seats
        if s.budget:
            for times in (self.retry_times, self.request_times):
                while times and times[0] <= now - s.budget.span:
                    times.popleft()
            return len(self.retry_times) + 1 <= s.budget.free + s.budget.ratio * len(self.request_times)
        return True

    def _latest_start(self, server: _Server, now: int) -> int:
        """Give the latest time at which the server may have started, as far as this gateway can tell."""
        # Sessions handed over when this gateway started show that it took over from another as planned, not
        # after a crash: then its list is as good as its predecessor's, and says itself who is young.
        start = server.entry.started if self.is_planned_start else max(server.entry.started, self.started)
        if server.restart_suspected_at > server.entry.started:
            start = max(start, server.answered_at if server.answered_at is not None else now)
        return start

    def _warmth(self, now: int, server: _Server) -> float:
        return self._warmth_at_age(now - server.entry.started) if server.entry.started else 1.0

    def _warmth_at_age(self, age: int) -> float:
        s = self.settings
        return 1.0 if age >= s.warm_up else s.warm_up_from + (1 - s.warm_up_from) * max(0, age) / s.warm_up

    def _slow_start_allows(self, now: int, server: _Server) -> bool:
        """Tell whether a server that may be cold can take one more set-up of this gateway.

        Danger: a returning server looks empty to all gateways at once and falls over under their set-ups.
        The whole set-ups of a window's budget are dealt out, one after the other, to the gateways in an
        order that starts elsewhere at each server; each keeps to its part in every window, so all together
        do. Holds for restarts, successors, unlisted returns after a broken connection and this gateway's
        own restart. May hurt: a reset that was no restart slows a warm server.

        What left late for want of a connection comes with what is sent a window later: over both times
        together, parts of the spread are dealt out too that the platform bears in a window (two roots).
        And this gateway's last life may have sent its part: a server listed as started before this life is
        left alone until that is past. May hurt: a fleet restarted at once leaves cold servers idle so long.
        """
        s = self.settings
        reach, start = s.overload_window + s.connect_time, server.entry.started
        while server.set_up_times and server.set_up_times[0] <= now - reach:
            server.set_up_times.popleft()
        age = now - self._latest_start(server, now)
        if age >= s.warm_up:
            return True
        if start and now - start < s.warm_up:
            overlap = (
                PROCESS_OVERLAP_US if self.is_planned_start else 0
            )  # after a crash no other process of its name is left
            if start < self.started + overlap and now - self.started < reach + overlap:
                return False
        warmth = self._warmth_at_age(age - reach)  # as it was when the window began
        budget = s.overload_factor * self._stream_count(server) / s.warm_up * warmth * s.overload_window
        last = sum(1 for at in server.set_up_times if at > now - s.overload_window)
        both = self._budget_share(server, budget + 2 * math.sqrt(budget))
        return last < self._budget_share(server, budget) and len(server.set_up_times) < both

    def _budget_share(self, server: _Server, budget: float) -> int:
        """Give this gateway's part of the whole set-ups in a server's budget."""
        s = self.settings
        rank = (s.instance - int.from_bytes(server.entry.server)) % s.instances
        return (int(budget) + s.instances - 1 - rank) // s.instances

    def _record_outcome(self, now: int, server: _Server, event: api.AttemptEnd) -> None:
        """Learn of a server's health from how an attempt ended.

        Danger: a server that errs at once or stands still looks empty and draws sessions. After a failure
        others are tried first, for longer with each in a row; when all holders are suspect they are
        as good as each other, so a fault seen everywhere shuts out nobody.

        One that says full is left out for a while, longer each time, or until an own session ends there.
        Danger: a fleet without places spends its viewers' time on round trips. Also spares the attempts'
        budget. May hurt where places free unseen: a viewer is refused who would have fitted.
        """
        if event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            server.restart_suspected_at, server.answered_at = now, None
        if event.outcome is Outcome.FULL:
            server.full_until = now + (FULL_BACKOFF_US << min(2, server.full_replies))
            server.full_replies += 1
        elif event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED):
            server.ejected_until = now + min(MAX_EJECTION_US, EJECTION_US << min(server.failures, 10))
            server.failures += 1

    def _is_request_fault(self, event: api.AttemptEnd, session: _Session | None) -> bool:
        """Tell whether an error is the request's own, as another server gave it one too.

        Danger: requests that no server can use are answered with errors by all that they are sent to, and a
        few such viewers make whole fleets suspect and look like demand. The first server's strike is taken
        back. May hurt where many servers err at once: of those that one request met, none is left out.
        """
        if session is None or session.error_replies < 2 or event.outcome is not Outcome.ERROR:
            return False
        first = self.servers.get(session.tried_servers[0])
        if session.error_replies == 2 and first is not None and first.failures:
            first.failures -= 1
            first.ejected_until = first.ejected_until if first.failures else 0
        return True

    def _is_ejected(self, now: int, server: _Server, session: _Session) -> bool:
        """Tell whether others are to be tried first: after a failure, or while a set-up stays unanswered.

        Paid sessions, lost when a set-up may have run, are not the ones to find out whether it is well again.
        """
        if now < server.ejected_until or (server.failures and session.service.effect is not Effect.FREE):
            return True
        return any(not e.is_playing and now - e.rung_set_at > UNANSWERED_US for e in server.sessions.values())

    # Notes

    def _handle_note(self, now: int, event: api.Note) -> None:
        session = self.sessions.get(event.request)
        server = self.servers.get(event.server)
        if event.kind is NoteKind.RUNG:
            if session is not None and math.isfinite(event.value):
                rung = min(max(0, int(event.value)), len(self.settings.rung_kb) - 1)
                self._record_rung(now, session, rung)
            return
        if server is None or not 0 <= event.value <= MAX_REPORTED_USE:
            return
        if event.kind is NoteKind.DELIVERED:
            self._handle_short_delivery(now, server, event.value)
            return
        first = session is not None and session.is_playing and not session.has_own_report
        seen = now if first else now - self.settings.note_age
        uplink = self.uplinks[server.rack]
        if event.kind is NoteKind.LINK:
            server.link.record_use(seen, event.value)
            if uplink.use is None and now - uplink.uplink_short_at[0] > UPLINK_STEADY_US:
                if self.uplink_demand[server.rack] > uplink.limit_kb * BUSY_UPLINK_USE:
                    uplink.limit_kb = min(
                        uplink.limit_kb * (1 + UPLINK_INCREASE), self.settings.uplink_kb * MAX_UPLINK_FACTOR
                    )
            self._review_rungs(now, server)
        else:
            uplink.record_use(seen, event.value)
        if session is not None and (event.kind is NoteKind.UPLINK or "x1" not in self.settings.load_fields):
            session.has_own_report = True  # its set-up's own notes are told, later ones are late

    def _record_load(self, now: int, server_id: bytes, load: Iterable[float]) -> None:
        server = self.servers.get(server_id)
        if server is None:
            return
        pipes = {"x0": server.link, "x1": self.uplinks[server.rack]}
        for name, value in zip(self.settings.load_fields, load, strict=False):
            if name in pipes and 0 <= value <= MAX_REPORTED_USE:
                pipes[name].record_use(now - self.settings.note_age, value)

    def _record_rung(self, now: int, session: _Session, rung: int) -> None:
        """Book a change of a session's rung."""
        kb = self._rate_kb(session, rung)
        server = self.servers.get(session.server) if session.server is not None else None
        if server is not None:
            self._charge(now, server, session, kb - session.rate_kb)
        session.rung, session.rate_kb = rung, kb

    def _review_rungs(self, now: int, server: _Server) -> None:
        """Bring sessions cut for want of room, or found playing, to the rung that admission would give now.

        Danger: sessions found playing at the start, and those cut by a trouble that has passed, stay on low
        rungs while links are idle. Once for each cut, when the server's use is noted, they go through the
        slot test where they play. All gateways hear the note at once, so each takes the part of the room
        that its sessions are of the use, worthiest first and the last step by lot.
        May hurt when many viewers are about to come: their room is taken.
        """
        waiting = [
            e for e in server.sessions.values() if e.rung_is_provisional and e.is_playing and not e.is_settled
        ]
        waiting = [e for e in waiting if now - e.rung_set_at >= RUNG_REVIEW_DELAY_US]
        if not waiting:
            return
        self._refresh_totals(now)
        link = (
            server.link.limit_kb
            * self._warmth(now, server)
            / max(1.0, server.link.demand_kb(now, self.mean_use))
        )
        growth = MAX_UTILISATION * min(
            link, self.uplinks[server.rack].limit_kb / max(1.0, self.uplink_demand[server.rack])
        )
        room = (growth - 1) * sum(each.rate_kb for each in server.sessions.values() if each.is_playing)
        for session in sorted(waiting, key=lambda e: (-e.service.worth, e.request)):
            for rung in range(self._highest_affordable_rung(now, session), session.rung, -1):
                more = self._rate_kb(session, rung) - session.rate_kb
                if more <= room or (rung == session.rung + 1 and self.random.random() * more < room):
                    room -= more
                    session.rung_is_provisional = False
                    self._record_rung(now, session, rung)
                    self.actions.append(api.SetRung(session.request, rung))
                    break

    # Step-down

    def _handle_short_delivery(self, now: int, server: _Server, share: float) -> None:
        """Step rungs down where delivery is really short.

        Danger: a link or uplink that gives less than told, or titles far above their rung's rate, starve
        every session there, and each missing point costs several of worth. Each gateway takes its sessions
        there down to what is delivered, least worth for a kB first, once, then waits for notes to show it.
        May hurt when the shortness passes by itself: the steps stay.
        """
        s = self.settings
        if share < DEAD_BELOW_SHARE:  # its sessions get nothing: as good as a failed set-up
            server.failures, server.ejected_until = max(1, server.failures), now + EJECTION_US
        uplink = self.uplinks[server.rack]
        last, by = uplink.last_short_report
        uplink.last_short_report = now, server.entry.server
        others = by != server.entry.server and now - last < STEP_DOWN_DELAY_US
        if (
            others
            and DEAD_BELOW_SHARE <= share
            and uplink.use is None
            and (server.link.use or 1.0) < BUSY_LINK_USE
        ):
            # Danger: uplinks differ from what is told, and where nothing reports them only a share that is
            # short beside a link with room shows it. May hurt when the link's note is old.
            uplink.uplink_short_at = now, by
            uplink.limit_kb = max(
                uplink.limit_kb * (1 - UPLINK_DECREASE * (1 - share)), s.uplink_kb * MIN_UPLINK_FACTOR
            )
        if (
            not DEAD_BELOW_SHARE <= share < STEP_DOWN_BELOW
            or now - server.stepped_down_at < s.note_age + STEP_DOWN_DELAY_US
        ):
            return
        server.stepped_down_at = now
        playing = [each for each in server.sessions.values() if each.is_playing and not each.is_settled]
        excess = sum(each.rate_kb for each in playing) * (1 - share * STEP_DOWN_TARGET)
        steps = []
        for session in playing:
            below = session.service.floor
            for upper, density in self._ladder_steps(session):
                if upper <= session.rung:
                    steps.append((density, session.request, below, session))
                below = upper
        steps.sort(key=lambda each: each[:2])
        changed: dict[int, _Session] = {}
        for _, _, below, session in steps:
            saved = session.rate_kb - self._rate_kb(session, below)
            # By lot where a step saves more than is missing: many gateways hold one session each here, and
            # if all stepped down for a tenth that is missing, half of the link would stay empty.
            if excess <= 0 or self.random.random() * saved >= excess:
                break
            excess -= saved
            self._record_rung(now, session, below)
            session.rung_is_provisional, session.rung_set_at = True, now
            changed[session.request] = session
        self.actions += [api.SetRung(session.request, session.rung) for session in changed.values()]
