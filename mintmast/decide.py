"""Place sessions on media servers, choose their rungs, and refuse requests that do not fit.

The types of events and actions are in `interface.py`. This module holds the tuning constants;
`_CapacityAccount`, which tracks the use of a server link or a rack uplink; and `Controller`, which handles
server list updates, requests and attempts, admission control (capacity test, price of capacity, order of
candidates), limits, load reports, and the step-down of rungs when delivery falls short. Times are in
microseconds, rates in kB/s.
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
SLOT_US = SECOND  # µs; granularity of the capacity accounts, well under a session's length
# µs; charge for a session without a length hint: longer than usual, because the end of a session is reported
DEFAULT_LENGTH_US = 120 * SECOND
# share of a link that the capacity test may fill; the rest covers rates above the ladder and late reports
MAX_UTILISATION = 0.97
# share of fleet capacity assumed usable when this gateway has sessions on no server and on every server:
# reports about servers without own sessions are sparse or old, so less of their capacity can be relied on
FILL_WITHOUT_SESSIONS, FILL_WITH_SESSIONS = 0.75, 1.0
# minimum use in the harmonic mean: a server with a report carries at least one session
MIN_AVERAGED_USE = 0.1
UNLIMITED_KB = 1e12  # kB/s; capacity of a link or uplink whose rate is not configured
# relative sizes above the first value or below its inverse, and reported uses above the second, are invalid
MAX_RELATIVE_SIZE, MAX_REPORTED_USE = 1000.0, 20.0
# share of a link that one unit of configured cost is worth in the order of candidates: the cross-zone cost
# for a holder in the own zone, the handshake cost for one with an open connection
CAPACITY_PER_COST = 10.0
# Candidates compared for a set-up: with more, gateways move in step on the same old reports; with fewer,
# they hit full servers. The second value is the size of the random sample tried before all holders.
MAX_CANDIDATES, HOLDER_SAMPLE = 4, 16
# µs; retry advice sent with a refusal: a server ends about one session in that time
RETRY_AFTER_US = SECOND
MIN_SET_UP_US = 60_000  # µs; a set-up cannot be answered in less time, so none is sent
# µs; a server with a set-up unanswered for this long may hang: several times the usual set-up time
UNANSWERED_US = SECOND * 2 // 5
# µs; a server is ejected for the first value after a failed set-up, doubled with each consecutive failure
# up to the second: faults last tens of seconds, and recovery must be noticed. The third is the first pause
# after a FULL reply, one slot.
EJECTION_US, MAX_EJECTION_US, FULL_BACKOFF_US = 2 * SECOND, 16 * SECOND, SECOND
STEP_DOWN_BELOW = 0.96  # delivered share below which rungs are stepped down; a smaller shortfall costs less
STEP_DOWN_TARGET = 0.8  # share of delivered rate that rungs may use: rates vary, set-ups are under way
# µs, added to the age of reports, until the same server is stepped down again
STEP_DOWN_DELAY_US = 2 * SECOND
# µs until a reported use has decayed to the fleet's average: about the length of a session
NOTE_LIFETIME_US = 30 * SECOND
# µs after a cut until the rung is reviewed, so that reports show its effect
RUNG_REVIEW_DELAY_US = 6 * SECOND
BUSY_LINK_USE = 0.9  # reported use below which a link is not the cause of short delivery
# An uplink's estimated rate falls by the first factor times the missing share, for each server that reports
# one. It rises by the second at a link report while its use is above the third and delivery has not been
# short for the fourth (µs). The bounds exceed the spread of real racks.
UPLINK_DECREASE, UPLINK_INCREASE, BUSY_UPLINK_USE, UPLINK_STEADY_US = 0.3, 0.01, 0.85, 5 * SECOND
MIN_UPLINK_FACTOR, MAX_UPLINK_FACTOR = 0.6, 1.4
DEAD_BELOW_SHARE = 0.1  # delivered share below which a server hangs: smaller rungs would not help
# µs after this process starts during which its predecessor of the same name may still send set-ups
PROCESS_OVERLAP_US = SECOND
# share of the sessions handed over that suits a server's size, and share of the fleet's mean use, below which
# a server may have started recently
MIN_HANDED_OVER_SHARE, MIN_WARM_USE_SHARE = 0.5, 0.5
UNSERVED_DEMAND_US = 4 * SECOND  # µs that a lost session counts as demand: most viewers are back by then
TOTALS_PERIOD_US = SECOND // 4  # µs between updates of the fleet totals and of the price of capacity


class _CapacityAccount:
    """Estimate the load of a link or an uplink: its reported use plus this gateway's changes since then."""

    __slots__ = ("reported_at", "charges", "limit_kb", "uplink_short_at", "last_short_report", "use")

    def __init__(self, limit_kb: float) -> None:
        self.limit_kb = limit_kb
        self.use: float | None = None
        self.reported_at = -1
        # (time, server) of the last short delivery, and of the last one attributed to this uplink
        self.last_short_report = self.uplink_short_at = (0, b"")
        self.charges: deque[tuple[int, int, float]] = deque()  # (time, last slot, kB/s)

    def charge(self, now: int, ends_at: int, kb: float) -> None:
        """Add `kb` (negative: release) to the slots from now to that of `ends_at`; drop past charges."""
        while self.charges and self.charges[0][1] < now // SLOT_US:
            self.charges.popleft()
        self.charges.append((now, ends_at // SLOT_US, kb))

    def record_use(self, measured_at: int, use: float) -> None:
        """Record the use measured at `measured_at`, which includes all charges made until then."""
        if measured_at < self.reported_at:
            return
        self.use, self.reported_at = use, measured_at
        while self.charges and self.charges[0][0] <= measured_at:
            self.charges.popleft()

    def charged_kb(self, now: int) -> float:
        """Return the charges of the fullest slot since the last report.

        Every charge starts at once and only ends later, so the fullest slot is the present one.
        """
        slot = now // SLOT_US
        while self.charges and self.charges[0][1] < slot:
            self.charges.popleft()
        return sum(kb for _, last, kb in self.charges if last >= slot)

    def demand_kb(self, now: int, default_use: float) -> float:
        """Return the demand in the fullest slot in kB/s; `default_use` is used without a report.

        An old report decays towards that use: no new ones arrive from a server where this gateway has no
        sessions left, and a server once reported as full would stay excluded for good.
        """
        weight = self.report_weight(now)
        use = weight * self.use + (1 - weight) * default_use if weight else default_use
        return max(0.0, use * self.limit_kb + (self.charged_kb(now) if self.charges else 0.0))

    def known_demand_kb(self, now: int, default_use: float) -> float:
        """Return the same, with a use of 0 for a link that was never reported: demand backed by reports."""
        return self.demand_kb(now, 0.0 if self.use is None else default_use)

    def report_weight(self, now: int) -> float:
        """Return the weight of the last report, from 1 when new to 0 when expired."""
        return 0.0 if self.use is None else max(0.0, 1 - (now - self.reported_at) / NOTE_LIFETIME_US)


@dataclass(slots=True)
class _Server:
    """The state that this gateway keeps for one server."""

    entry: api.ListEntry
    link: _CapacityAccount
    rack: int = 0
    sessions: dict[int, _Session] = field(default_factory=dict)
    failures: int = 0
    ejected_until: int = 0
    full_replies: int = 0  # FULL replies since a session last started there
    full_until: int = 0  # no set-ups until then after a FULL reply; cleared when an own session ends there
    restart_suspected_at: int = -1  # last sign that its process died or may have restarted
    answered_at: int | None = None  # first set-up answered after that sign
    handed_over: int = 0  # sessions playing there that the previous process of this gateway handed over
    reported_handed_over: bool = False  # its process has reported on one of them
    set_up_times: deque[int] = field(default_factory=deque)
    stepped_down_at: int = -(10**15)
    gone_at: int | None = None  # when the list first reported it as gone
    last_used_at: int = -(10**15)  # when a set-up was last sent or a session last ended there


@dataclass(slots=True)
class _Session:
    """A request and, once it plays, its session."""

    request: int
    class_index: int  # index of its service class
    service: api.ServiceClass
    title: int
    best_rung: int
    deadline: int = 0
    expected_length: int = 0
    home_cell: int = 0
    copies: int = 0
    server: bytes | None = None  # where its attempt is pending or it plays
    rung: int = 0
    rate_kb: float = 0.0
    ends_at: int = 0
    attempts: int = 0
    tried_servers: list[bytes] = field(default_factory=list)
    may_have_run: bool = False
    is_playing: bool = False
    has_own_report: bool = False
    is_move: bool = False  # requested by the gateway, not by a viewer
    is_settled: bool = False  # its final answer was sent or is no longer needed
    error_replies: int = 0  # hosts that answered it with an error
    is_handed_over: bool = False  # it was set up by the previous process of this gateway
    rung_is_provisional: bool = False  # its rung was lowered for lack of capacity or not chosen here
    rung_set_at: int = -(10**15)  # when its rung was last chosen


class Controller:
    """Make the decisions of one gateway: pass it every event in order and execute the actions it returns."""

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
        self.is_planned_start = False  # a predecessor handed over playing sessions when this gateway started
        self.handed_over = 0  # sessions handed over at all servers
        self.total_link_kb = 0.0  # of all listed servers
        # Fleet totals. Each uplink's demand is kept with and without averages for servers without reports.
        self.totals_at = -TOTALS_PERIOD_US
        self.mean_use, self.has_reports, self.fleet_capacity_kb = 0.0, False, 0.0
        self.holder_share = 1.0  # share of the servers that hold the last requested title
        self.uplink_demand, self.known_uplink_demand = [0.0] * s.racks, [0.0] * s.racks
        self.price = (0.0, 1.0)  # worth per kB of the marginal step, and the share of it that fits
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
        """Handle one event at time `now` and return the resulting actions."""
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
            # Retry after a delay, so that waiting gateways do not flood a list service that is down.
            self.actions.append(api.SetTimer(SECOND, 0))
            return
        needs_index = event.kind is not ListKind.DELTA
        if needs_index:
            listed = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.entry.server not in listed:
                    server.entry = replace(server.entry, state=ServerState.GONE)
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if server is None:
                server = self.servers[entry.server] = _Server(entry, _CapacityAccount(1.0))
                needs_index = True
            elif entry.started > server.entry.started:  # new process: the state of the old one is void
                server.link.use, server.link.reported_at = None, -1
                server.failures = server.ejected_until = 0
            needs_index = needs_index or entry.cell != server.entry.cell
            server.entry = entry
        if self._remove_gone_servers(now) or needs_index:
            self._index_servers()

    def _remove_gone_servers(self, now: int) -> bool:
        """Remove servers that are gone and whose state has expired; return whether any were removed.

        Without this, the state grows without bound where new servers keep replacing old ones.
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
        """Index servers by cell and set link rates: by weight if configured, else by streams of the kind."""
        s = self.settings
        self.by_cell = {}
        listed = [each for each in self.servers.values() if each.entry.state is not ServerState.GONE]
        mean_streams = sum(self._stream_count(each) for each in listed) / max(1, len(listed))
        for server in self.servers.values():
            self.by_cell.setdefault(server.entry.cell, []).append(server)
            server.rack = server.entry.cell % s.racks
            size = (
                server.entry.weight
                if s.has_weights
                else self._stream_count(server) / mean_streams
                if mean_streams
                else 1.0
            )
            mean_link_kb = s.weight_kb or s.links_kb / max(1, len(listed)) or UNLIMITED_KB
            server.link.limit_kb = mean_link_kb * min(MAX_RELATIVE_SIZE, max(1 / MAX_RELATIVE_SIZE, size))
        self.total_link_kb = sum(each.link.limit_kb for each in listed)

    def _stream_count(self, server: _Server) -> int:
        stream_counts, kind = self.settings.kind_streams, server.entry.kind
        return stream_counts[kind] if kind < len(stream_counts) else min(stream_counts, default=0)

    # Requests and attempts

    def _handle_request(self, now: int, event: api.SessionRequest) -> None:
        service = self.settings.classes[event.service]
        if self.settings.budget and not event.moved:
            self.request_times.append(now)
        best_rung = min(event.best_rung, service.top, len(self.settings.rung_kb) - 1)
        session = _Session(event.request, event.service, service, event.title, best_rung, now + event.budget)
        session.expected_length = event.length_hint or DEFAULT_LENGTH_US
        session.home_cell, session.copies, session.is_move = event.home_cell, event.copies, event.moved
        self.sessions[event.request] = session
        self._place(now, session)

    def _place(self, now: int, session: _Session) -> None:
        """Send a set-up to the best holder that admits the session, or end the request."""
        choice = None
        if session.deadline - now >= MIN_SET_UP_US and self._may_attempt(now, session):
            choice = self._admit(now, session)
        if choice is None:
            self._end_request(now, session)
            return
        server, rung = choice
        if not session.attempts or rung != session.rung:
            self.actions.append(api.SetRung(session.request, rung))
        if self.settings.budget and (session.attempts or session.is_move):  # a move repeats a viewer's set-up
            self.retry_times.append(now)
        if not session.attempts:
            self._change_seats(session, 1)
        session.rung, session.rate_kb = rung, self._rate_kb(session, rung)
        session.server, session.ends_at = server.entry.server, now + session.expected_length
        session.rung_is_provisional, session.rung_set_at = rung < session.best_rung, now
        session.attempts += 1
        session.tried_servers.append(session.server)
        server.sessions[session.request] = session
        server.set_up_times.append(now)
        server.last_used_at = now
        self._charge(now, server, session, session.rate_kb)
        timeout = 0  # a paid set-up is not retried, so it may use all the time until the deadline
        if session.service.effect is Effect.FREE:
            timeout = min(session.deadline, now + session.service.target_time // 2)
        self.actions.append(api.SetUp(session.request, session.server, timeout))

    def _end_request(self, now: int, session: _Session) -> None:
        """End a request that cannot be placed: refuse it if it never ran, else fail it."""
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
        retry_after = min(RETRY_AFTER_US, s.max_retry_after) if s.may_advise else 0
        self.actions.append(api.Refuse(session.request, retry_after))

    def _handle_attempt_end(self, now: int, event: api.AttemptEnd) -> None:
        self._record_load(now, event.server, event.load)
        server = self.servers.get(event.server)
        session = self.sessions.get(event.request)
        if session is not None and event.outcome is Outcome.ERROR:
            session.error_replies += 1
        if server is not None and not self._is_request_fault(event, session):
            self._record_outcome(now, server, event)
        if event.outcome is Outcome.SERVED:
            self._record_process(session, event.server)
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
                server.full_until, server.last_used_at = 0, now  # a session slot is free again
            del self.sessions[session.request]
            self._change_seats(session, -1)
            if session.is_playing and event.outcome is Outcome.RESET:
                self.unserved.append((now, session))
            return
        must_not_repeat = session.may_have_run and session.service.effect is not Effect.FREE
        if must_not_repeat or event.outcome is Outcome.NOT_SENT:
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
        self._change_seats(session, 1)
        server = self.servers.get(event.server)
        if event.planned:
            self.is_planned_start = session.is_handed_over = True
            self.handed_over += 1
        if server is not None:
            server.handed_over += session.is_handed_over
            server.sessions[event.request] = session
            self._charge(now, server, session, session.rate_kb)

    def _handle_viewer_gone(self, now: int, event: api.ViewerGone) -> None:
        session = self.sessions.get(event.request)
        if session is None or session.is_settled:
            return
        session.is_settled = True  # its attempt still runs and keeps its seat until its end is reported
        if session.server is not None and not session.is_playing and self.settings.may_cancel:
            self.actions.append(api.Cancel(session.request, session.attempts - 1))

    # Admission

    def _admit(self, now: int, session: _Session) -> tuple[_Server, int] | None:
        """Find a candidate for the highest affordable rung; prefer those with the most free capacity."""
        holders = self._find_candidates(now, session)
        if not holders:
            return None
        self._refresh_totals(now)
        ordered = []
        for server in holders:
            link, rack = self._free_capacity(now, server, self.mean_use, self.uplink_demand)
            preference = link / server.link.limit_kb + rack / self.uplinks[server.rack].limit_kb
            if server.entry.zone == self.settings.zone:
                preference += CAPACITY_PER_COST * self.settings.cross_zone_cost
            if self._has_connection(now, server):
                preference += CAPACITY_PER_COST * self.settings.handshake_cost
            key = (self._is_ejected(now, server, session), -preference, self.random.random())
            ordered.append((key, server, min(link, rack)))
        ordered.sort(key=lambda each: each[0])
        floor = session.service.floor
        for rung in range(self._highest_affordable_rung(now, session), floor, -1):
            kb = self._rate_kb(session, rung)
            for _, server, free_kb in ordered:
                if not self.has_reports or kb <= free_kb:
                    return server, rung
        # Averages may lower the rung, but only reports may refuse a request. With few reports, averages of a
        # handful of servers would show whole racks as full and refuse viewers next to idle servers.
        # Drawback: in an overload without reports, links fill with sessions at the floor rung.
        for _, server, _ in ordered:
            default_use = 0.0 if server.link.use is None else self.mean_use
            free_kb = min(self._free_capacity(now, server, default_use, self.known_uplink_demand))
            if not self.has_reports or self._rate_kb(session, floor) <= free_kb:
                return server, floor
        return None

    def _free_capacity(
        self, now: int, server: _Server, default_use: float, uplink_demand: list[float]
    ) -> tuple[float, float]:
        """Return the free capacity of the server's link and of its rack's uplink in the fullest slot."""
        link = server.link.limit_kb * self._warmth(now, server) * MAX_UTILISATION - server.link.demand_kb(
            now, default_use
        )
        return link, self.uplinks[server.rack].limit_kb * MAX_UTILISATION - uplink_demand[server.rack]

    def _find_candidates(self, now: int, session: _Session) -> list[_Server]:
        """Return holders that can accept a set-up, a random few if there are many."""
        cells, copies = self.settings.cells, session.copies
        if cells and copies < cells:
            holder_cells = [(session.home_cell + step) % cells for step in range(copies)]
            holders = [server for cell in holder_cells for server in self.by_cell.get(cell, ())]
        else:
            holders = list(self.servers.values())
        self.holder_share = len(holders) / max(1, len(self.servers))
        found: list[_Server] = []
        connected = [each for each in holders if self._has_connection(now, each)]
        pools = (
            (connected, self.random.sample(holders, HOLDER_SAMPLE), holders)
            if len(holders) > HOLDER_SAMPLE
            else (holders,)
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
            healthy = [each for each in found if not self._is_ejected(now, each, session)]
            if len(healthy) >= MAX_CANDIDATES:
                chosen = self.random.sample(healthy, len(healthy) if connected else MAX_CANDIDATES)
                return sorted(chosen, key=lambda each: not self._has_connection(now, each))[:MAX_CANDIDATES]
        return found

    def _has_connection(self, now: int, server: _Server) -> bool:
        """Return whether a connection to the server is open: own sessions play there or did recently.

        In a large fleet each gateway sends few set-ups to each server, so nearly every set-up opens a new
        connection; servers have few of them, and the settings may set a cost. Connected servers are tried
        first and count as having more capacity, by that cost. Drawback: with old reports, a gateway stays
        with its servers longer.
        """
        if not self.settings.handshake_cost:
            return False
        return bool(server.sessions) or now - server.last_used_at < self.settings.idle_connection_time

    def _refresh_totals(self, now: int) -> None:
        """Recompute the fleet totals if they are old; own charges are added as they are made."""
        if now - self.totals_at < TOTALS_PERIOD_US:
            return
        self.totals_at = now
        # Draining servers do not count: their sessions leave, and their replacements are already counted.
        listed = [each for each in self.servers.values() if each.entry.state is ServerState.READY]
        reported = [each.link for each in self.servers.values() if each.link.use is not None]
        self.has_reports = bool(reported)
        # Reports arrive only from servers where own sessions play. If titles are on few servers, these are
        # mostly busy ones: if servers were sampled in proportion to use, the harmonic mean would estimate
        # the mean of all; because the least loaded holders are chosen, the estimate lies half way. If every
        # server holds every title, this gateway chose the servers itself, and the arithmetic mean is right.
        weights = [link.report_weight(now) + 0.01 for link in reported]
        uses = [min(1.0, link.use) for link in reported]
        total = sum(weights) or 1.0
        arithmetic = sum(use * weight for use, weight in zip(uses, weights, strict=True)) / total
        inverse = (
            sum(weight / max(MIN_AVERAGED_USE, use) for use, weight in zip(uses, weights, strict=True))
            / total
        )
        harmonic_weight = (1 - self.holder_share) / 2
        self.mean_use = arithmetic * (1 - harmonic_weight) + harmonic_weight / inverse if reported else 0.0
        racks = len(self.uplinks)
        self.uplink_demand, self.known_uplink_demand, link_capacity = (
            [0.0] * racks,
            [0.0] * racks,
            [0.0] * racks,
        )
        for each in listed:  # a link never carries more than its rate, whatever the demand
            link = each.link
            self.uplink_demand[each.rack] += min(link.demand_kb(now, self.mean_use), link.limit_kb)
            self.known_uplink_demand[each.rack] += min(
                link.known_demand_kb(now, self.mean_use), link.limit_kb
            )
            link_capacity[each.rack] += link.limit_kb * self._warmth(now, each)
        for rack, uplink in enumerate(self.uplinks):
            if uplink.use is not None:
                self.uplink_demand[rack] = self.known_uplink_demand[rack] = uplink.demand_kb(
                    now, self.mean_use
                )
        own_share = sum(1 for each in listed if each.sessions) / max(1, len(listed))
        usable_share = FILL_WITHOUT_SESSIONS + (FILL_WITH_SESSIONS - FILL_WITHOUT_SESSIONS) * own_share
        self.fleet_capacity_kb = usable_share * sum(
            min(link, uplink.limit_kb) for link, uplink in zip(link_capacity, self.uplinks, strict=True)
        )

    def _highest_affordable_rung(self, now: int, session: _Session) -> int:
        """Return the highest rung whose last step is worth its rate at the current price of capacity.

        Trunk reservation: capacity goes to the steps with the most worth per kB. The price is the one at
        which the rates of all sessions of this gateway would fill its share of the fleet's capacity. At
        light load every step is worth its rate, so sessions get the viewer's top rung. Drawback: the price
        is off if this gateway's sessions differ from those of the others.
        """
        if now - self.price_at >= TOTALS_PERIOD_US:
            self.price_at = now
            self.price = self._compute_price(now, session)
        rung = session.service.floor
        for upper, density in self._ladder_steps(session):
            price, fitting_share = self.price
            if density < price or (density == price and self.random.random() >= fitting_share):
                break
            rung = upper
        return rung

    def _compute_price(self, now: int, requester: _Session) -> tuple[float, float]:
        """Return the worth per kB of the marginal step and the share of such steps that still fits."""
        while self.unserved and self.unserved[0][0] < now - UNSERVED_DEMAND_US:
            self.unserved.popleft()
        placed = [each for each in self.sessions.values() if each.server is not None]
        # The requester counts at the middle rung: a gateway that has just started has no sessions to derive
        # its share from, and in an overload it would grant the top rung to every request.
        own_kb = sum(each.rate_kb for each in placed)
        if requester.server is None:
            placed.append(requester)
            own_kb += self._rate_kb(requester, min(requester.best_rung, len(self.settings.rung_kb) // 2))
        demand_kb = sum(self.uplink_demand)
        if demand_kb <= 0:
            return 0.0, 1.0
        capacity_kb = (
            own_kb * self.fleet_capacity_kb / demand_kb
            if self.has_reports
            else self.fleet_capacity_kb / self.settings.instances
        )
        steps: dict[float, float] = {}
        for each in [*placed, *(session for _, session in self.unserved)]:
            below = self._rate_kb(each, each.service.floor)
            capacity_kb -= below
            for upper, density in self._ladder_steps(each):
                kb = self._rate_kb(each, upper)
                steps[density] = steps.get(density, 0.0) + kb - below
                below = kb
        for density in sorted(steps, reverse=True):
            if steps[density] > capacity_kb:
                return density, max(0.0, capacity_kb / steps[density])
            capacity_kb -= steps[density]
        return 0.0, 1.0

    def _ladder_steps(self, session: _Session) -> list[tuple[int, float]]:
        """Return the class's steps above its floor as (rung, worth gained per kB), best first.

        Rungs below the upper convex hull of worth over rate are skipped: the next one gains more per kB.
        """
        worth, service = self.settings.rung_worth, session.service
        steps: list[tuple[int, float]] = []
        rung, top = service.floor, min(service.top, len(worth) - 1, session.best_rung)
        while rung < top:
            rate_kb = self._rate_kb(session, rung)
            density, rung = max(
                (
                    service.worth
                    * (worth[up] - worth[rung])
                    / max(1e-9, self._rate_kb(session, up) - rate_kb),
                    up,
                )
                for up in range(rung + 1, top + 1)
            )
            steps.append((rung, density))
        return steps

    def _rate_kb(self, session: _Session, rung: int) -> float:
        return self.settings.rung_kb[rung] * session.service.scale

    def _charge(self, now: int, server: _Server, session: _Session, kb: float) -> None:
        server.link.charge(now, session.ends_at, kb)
        self.uplinks[server.rack].charge(now, session.ends_at, kb)
        self.uplink_demand[server.rack] += kb
        self.known_uplink_demand[server.rack] += kb

    # Limits on attempts and seats, slow start, outlier ejection

    def _change_seats(self, session: _Session, by: int) -> None:
        if session.service.seats > 0:
            key = (session.class_index, session.title)
            self.seats[key] = self.seats.get(key, 0) + by
            if not self.seats[key]:
                del self.seats[key]

    def _may_attempt(self, now: int, session: _Session) -> bool:
        """Return whether seats, the viewer's rungs, the attempt limit and the retry budget allow one more."""
        s, service = self.settings, session.service
        if session.best_rung < service.floor or session.attempts >= s.max_attempts:
            return False
        if not session.attempts:
            return (
                not service.seats or self.seats.get((session.class_index, session.title), 0) < service.seats
            )
        if s.budget:
            for times in (self.retry_times, self.request_times):
                while times and times[0] <= now - s.budget.span:
                    times.popleft()
            return len(self.retry_times) + 1 <= s.budget.free + s.budget.ratio * len(self.request_times)
        return True

    def _known_start(self, server: _Server, now: int) -> int:
        """Return when the server last started, by the list and by the failures seen since this start."""
        if server.restart_suspected_at <= server.entry.started:
            return server.entry.started
        return max(server.entry.started, server.answered_at if server.answered_at is not None else now)

    def _may_have_restarted_unseen(self, server: _Server) -> bool:
        """Return whether the server may have started before this process without its list telling so yet.

        After a crash every server may. After a planned restart the list is as good as the predecessor's, but
        late, and the failures that the predecessor saw are forgotten. A server that reports on a session
        handed over there has not restarted since that set-up. The predecessor sends few set-ups to a server
        that it saw return, so one with far fewer sessions than its size suggests may be new all the same.
        """
        if not self.is_planned_start:
            return True
        expected = self.handed_over * server.link.limit_kb / max(self.total_link_kb, server.link.limit_kb)
        has_usual_sessions = server.handed_over >= MIN_HANDED_OVER_SHARE * expected
        return not (server.reported_handed_over and has_usual_sessions) and not self._is_in_use(server)

    def _is_in_use(self, server: _Server) -> bool:
        """Return whether a server reports more use by others than one that has just started.

        Drawback: other gateways may have filled a new one within their shares; it then has little room left.
        """
        link = server.link
        if link.use is None:
            return False
        own_kb = sum(
            each.rate_kb
            for each in server.sessions.values()
            if not each.is_handed_over and each.rung_set_at <= link.reported_at
        )
        least = max(MIN_AVERAGED_USE, MIN_WARM_USE_SHARE * self.mean_use)
        return link.use - own_kb / link.limit_kb >= least

    def _record_process(self, session: _Session | None, server_id: bytes) -> None:
        """Record that a server's process has reported on a session, which may have been handed over."""
        server = self.servers.get(server_id)
        if server is not None and session is not None and session.server == server_id:
            server.reported_handed_over |= session.is_handed_over

    def _warmth(self, now: int, server: _Server) -> float:
        return self._warmth_at_age(now - server.entry.started) if server.entry.started else 1.0

    def _warmth_at_age(self, age: int) -> float:
        s = self.settings
        return 1.0 if age >= s.warm_up else s.warm_up_from + (1 - s.warm_up_from) * max(0, age) / s.warm_up

    def _slow_start_allows(self, now: int, server: _Server) -> bool:
        """Return whether slow start allows one more set-up from this gateway to the server.

        A returning server looks empty to all gateways at once and fails under their set-ups. The set-ups of
        a window's budget are distributed round-robin over the gateways, starting at a different gateway for
        each server; each gateway keeps to its share in every window, so together they keep the budget. This
        covers restarts, replacements, unlisted returns after a broken connection and this gateway's own
        restart. Drawback: a connection reset without a restart slows a warm server.

        After a planned restart, a server without a sign of a recent start gets one set-up a window even where
        the share is 0: in a fleet of hundreds few sessions are handed over, and few gateways restart at once.

        A set-up that waits for a connection arrives together with those sent a window later. Over both
        periods together, the gateways therefore also share the spread that the platform tolerates in a
        window, twice the square root of the budget. The previous process of this gateway may have used its
        share: a cold server that started before this process gets no set-ups until that window has passed.
        Drawback: if the whole fleet restarts at once, cold servers stay idle for that time.
        """
        s = self.settings
        period, start = s.overload_window + s.connect_time, server.entry.started
        while server.set_up_times and server.set_up_times[0] <= now - period:
            server.set_up_times.popleft()
        age = known_age = now - self._known_start(server, now)
        if now - self.started < s.warm_up and self._may_have_restarted_unseen(server):
            age = min(known_age, now - self.started)
        if age >= s.warm_up:
            return True
        least = 1 if self.is_planned_start and known_age >= s.warm_up else 0
        if start and now - start < s.warm_up:
            # after a crash there is no previous process left
            overlap = PROCESS_OVERLAP_US if self.is_planned_start else 0
            if start < self.started + overlap and now - self.started < period + overlap:
                return False
        warmth = self._warmth_at_age(age - period)  # at the start of the window
        budget = s.overload_factor * self._stream_count(server) / s.warm_up * warmth * s.overload_window
        in_window = sum(1 for at in server.set_up_times if at > now - s.overload_window)
        window_share = max(least, self._budget_share(server, budget))
        period_share = max(least, self._budget_share(server, budget + 2 * math.sqrt(budget)))
        return in_window < window_share and len(server.set_up_times) < period_share

    def _budget_share(self, server: _Server, budget: float) -> int:
        """Return this gateway's share of the whole set-ups in a server's budget."""
        s = self.settings
        rank = (s.instance - int.from_bytes(server.entry.server)) % s.instances
        return (int(budget) + s.instances - 1 - rank) // s.instances

    def _record_outcome(self, now: int, server: _Server, event: api.AttemptEnd) -> None:
        """Update a server's health from the outcome of an attempt.

        Outlier ejection: a server that fails at once or hangs looks empty and attracts sessions. After a
        failure other servers are preferred, for longer with each consecutive failure. If all holders are
        ejected they compare equal, so a fault that affects every server excludes none.

        A server that replies FULL gets no set-ups for a while, longer each time, or until an own session ends
        there: with a full fleet, viewers would otherwise spend their time on round trips, and the retry
        budget would be used up. Drawback: a viewer may be refused although a slot became free unnoticed.
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
        """Return whether an error is caused by the request itself, because a second server returned one too.

        Every server answers an invalid request with an error, so a few such requests would eject whole
        fleets and count as demand. The failure recorded for the first server is withdrawn. Drawback: if many
        servers fail at once, those that one request was sent to are not ejected.
        """
        if session is None or session.error_replies < 2 or event.outcome is not Outcome.ERROR:
            return False
        first = self.servers.get(session.tried_servers[0])
        if session.error_replies == 2 and first is not None and first.failures:
            first.failures -= 1
            first.ejected_until = first.ejected_until if first.failures else 0
        return True

    def _is_ejected(self, now: int, server: _Server, session: _Session) -> bool:
        """Return whether other servers are preferred: after a failure, or while a set-up is unanswered.

        Paid sessions do not probe a server after a failure: they are lost if a set-up may have run.
        """
        if now < server.ejected_until or (server.failures and session.service.effect is not Effect.FREE):
            return True
        return any(not e.is_playing and now - e.rung_set_at > UNANSWERED_US for e in server.sessions.values())

    # Reports

    def _handle_note(self, now: int, event: api.Note) -> None:
        session = self.sessions.get(event.request)
        server = self.servers.get(event.server)
        self._record_process(session, event.server)
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
        is_first = session is not None and session.is_playing and not session.has_own_report
        measured_at = now if is_first else now - self.settings.note_age
        uplink = self.uplinks[server.rack]
        if event.kind is NoteKind.LINK:
            server.link.record_use(measured_at, event.value)
            if uplink.use is None and now - uplink.uplink_short_at[0] > UPLINK_STEADY_US:
                if self.uplink_demand[server.rack] > uplink.limit_kb * BUSY_UPLINK_USE:
                    uplink.limit_kb = min(
                        uplink.limit_kb * (1 + UPLINK_INCREASE), self.settings.uplink_kb * MAX_UPLINK_FACTOR
                    )
            self._review_rungs(now, server)
        else:
            uplink.record_use(measured_at, event.value)
        if session is not None and (event.kind is NoteKind.UPLINK or "x1" not in self.settings.load_fields):
            session.has_own_report = True  # the reports made at set-up are recorded; later ones are delayed

    def _record_load(self, now: int, server_id: bytes, load: Iterable[float]) -> None:
        server = self.servers.get(server_id)
        if server is None:
            return
        accounts = {"x0": server.link, "x1": self.uplinks[server.rack]}
        for name, value in zip(self.settings.load_fields, load, strict=False):
            if name in accounts and 0 <= value <= MAX_REPORTED_USE:
                accounts[name].record_use(now - self.settings.note_age, value)

    def _record_rung(self, now: int, session: _Session, rung: int) -> None:
        """Record a session's new rung and charge the difference in rate."""
        kb = self._rate_kb(session, rung)
        server = self.servers.get(session.server) if session.server is not None else None
        if server is not None:
            self._charge(now, server, session, kb - session.rate_kb)
        session.rung, session.rate_kb = rung, kb

    def _review_rungs(self, now: int, server: _Server) -> None:
        """Raise sessions with a provisional rung to the rung that admission control would grant now.

        Otherwise sessions found playing at the start, and those lowered during a past shortage, stay on low
        rungs while links are idle. They are tested once for each cut, when their server's use is reported.
        All gateways get the report at the same time, so each claims the share of the free capacity that its
        sessions have in the use: sessions with the highest worth first, the last step at random.
        Drawback: if many viewers are about to arrive, the capacity is already taken.
        """
        provisional = [
            e for e in server.sessions.values() if e.rung_is_provisional and e.is_playing and not e.is_settled
        ]
        provisional = [e for e in provisional if now - e.rung_set_at >= RUNG_REVIEW_DELAY_US]
        if not provisional:
            return
        self._refresh_totals(now)
        link_growth = (
            server.link.limit_kb
            * self._warmth(now, server)
            / max(1.0, server.link.demand_kb(now, self.mean_use))
        )
        growth = MAX_UTILISATION * min(
            link_growth, self.uplinks[server.rack].limit_kb / max(1.0, self.uplink_demand[server.rack])
        )
        free_kb = (growth - 1) * sum(each.rate_kb for each in server.sessions.values() if each.is_playing)
        for session in sorted(provisional, key=lambda e: (-e.service.worth, e.request)):
            for rung in range(self._highest_affordable_rung(now, session), session.rung, -1):
                extra_kb = self._rate_kb(session, rung) - session.rate_kb
                if extra_kb <= free_kb or (
                    rung == session.rung + 1 and self.random.random() * extra_kb < free_kb
                ):
                    free_kb -= extra_kb
                    session.rung_is_provisional = False
                    self._record_rung(now, session, rung)
                    self.actions.append(api.SetRung(session.request, rung))
                    break

    # Step-down

    def _handle_short_delivery(self, now: int, server: _Server, share: float) -> None:
        """Lower rungs at a server whose measured delivery falls short.

        A link or uplink below its configured rate, or titles far above their rung's rate, starve every
        session there, and each missing percent costs several of worth. Each gateway lowers its sessions to
        the delivered rate once, least worth per kB first, then waits for reports of the effect.
        Drawback: a shortage that passes by itself still lowers the rungs.
        """
        s = self.settings
        if share < DEAD_BELOW_SHARE:  # its sessions get no data: equivalent to a failed set-up
            server.failures, server.ejected_until = max(1, server.failures), now + EJECTION_US
        uplink = self.uplinks[server.rack]
        last_at, last_server = uplink.last_short_report
        uplink.last_short_report = now, server.entry.server
        another_is_short = last_server != server.entry.server and now - last_at < STEP_DOWN_DELAY_US
        if (
            another_is_short
            and DEAD_BELOW_SHARE <= share
            and uplink.use is None
            and (server.link.use or 1.0) < BUSY_LINK_USE
        ):
            # Uplinks differ from their configured rate. Without uplink reports, the only sign is short
            # delivery on a link with free capacity. Drawback: the link's report may be old.
            uplink.uplink_short_at = now, last_server
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
        excess_kb = sum(each.rate_kb for each in playing) * (1 - share * STEP_DOWN_TARGET)
        steps = []
        for session in playing:
            lower = session.service.floor
            for upper, density in self._ladder_steps(session):
                if upper <= session.rung:
                    steps.append((density, session.request, lower, session))
                lower = upper
        steps.sort(key=lambda each: each[:2])
        changed: dict[int, _Session] = {}
        for _, _, lower, session in steps:
            saved_kb = session.rate_kb - self._rate_kb(session, lower)
            # A step that saves more than the excess is taken at random: if many gateways have one session
            # each here and all stepped down for a missing tenth, half of the link would stay idle.
            if excess_kb <= 0 or self.random.random() * saved_kb >= excess_kb:
                break
            excess_kb -= saved_kb
            self._record_rung(now, session, lower)
            session.rung_is_provisional, session.rung_set_at = True, now
            changed[session.request] = session
        self.actions += [api.SetRung(session.request, session.rung) for session in changed.values()]
