"""The gateway: loop, core, hosts, fronts and list put together from the settings."""

from __future__ import annotations

import hmac
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from mintmast.config import Config
from mintmast.core import Core
from mintmast.core.ports import StorePort
from mintmast.decide import Controller
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.records import RecordsWritten, RecoveredState
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.fronts.dash import DashFront
from mintmast.hosts.media import MediaHosts
from mintmast.http.client import ClientLimits
from mintmast.http.server import Exchange, HttpServer
from mintmast.loop import Loop
from mintmast.peers import MembershipTransport, PeerTransport, parse_address
from mintmast.sources.eureka import Registration
from mintmast.sources.fixed import FixedList, SavedList
from mintmast.sources.merged import MergedList
from mintmast.telemetry.metrics import Metrics, Traces

# µs between renewals in the registry: Eureka's own default, a third of the time after which it forgets
REGISTER_EVERY = 30_000_000
# µs in which the registry may confirm that a registration is taken back, before a shutdown goes on
DEREGISTRATION_TIME_US = 1_000_000


class Store(StorePort, Protocol):
    """What the gateway asks of an opened store."""

    start: int
    kept: RecoveredState

    def attach(self, written: Callable[[RecordsWritten], None], say: Callable[..., None]) -> None:
        """Tell who hears the end of writes, and who takes log lines."""


class DrainOrder(msgspec.Struct):
    """What an operator asks of a host; `within_s` is how soon it is to be empty."""

    host: str
    on: bool = True
    within_s: float | None = None


class ForgetOrder(msgspec.Struct):
    """An operator's word that a gateway is gone for good."""

    name: str


def _tell(exchange: Exchange, told: dict[str, Any]) -> None:
    exchange.respond(200, [("Content-Type", "application/json")], msgspec.json.encode(told))


class Gateway:
    """One gateway on a loop. `say(event, **fields)` takes log lines; `table` is for drills that mutate it.

    `store` has been opened: it tells the start's number and what was kept.
    """

    def __init__(
        self,
        loop: Loop,
        config: Config,
        seed: int | None = None,
        say: Callable[..., None] = lambda event, **fields: None,
        table: dict | None = None,
        store: Store | None = None,
    ) -> None:
        self._say, begun = say, None
        self._is_draining = False
        if "configuration" in config.raw:
            from mintmast import configuring

            begun = configuring.begin(loop, config, say)
            config = begun.places.config
        self.loop, self.config = loop, config
        if seed is None:
            seed = config.raw.get("seed", random.SystemRandom().getrandbits(62))
        self.metrics = Metrics()
        self._listeners: list[Callable[[str, dict[str, Any]], None]] = [self.metrics.take]
        share = config["telemetry"]["trace_share"]
        if share > 0:
            self._listeners.append(Traces(share, seed, say, loop.wall).take)
        settings = config.settings
        hosts = config["hosts"]
        start = int(loop.wall() * 1000) if store is None else store.start
        self.controller = Controller(settings, seed)
        self.hosts = MediaHosts(
            loop,
            config["gateway"],
            start,
            settings.load_fields,
            ClientLimits(connect_time=hosts["connect_ms"] * 1000),
            hosts["silent_ms"] * 1000,
        )
        saved = SavedList(Path(config["saved_list"]), self.say) if "saved_list" in config.raw else None
        self.list: FixedList | MergedList = FixedList(config.entries, saved)
        if "list" in config.raw:
            told = config["list"]
            self.list = MergedList(loop, told, config["fleet"], seed, saved, self.say)
        catalogue = Catalogue(
            tuple(config.classes), tuple(config.tenants), tuple(each.name for each in config.titles.values())
        )
        if begun is not None:
            catalogue = configuring.catalogue_of(begun.places)
        self.core = Core(
            loop,
            settings,
            self.controller.handle,
            self.hosts,
            self.list,
            hosts["lease_ms"] * 1000,
            config["gateway"],
            start,
            seed,
            self.say,
            table,
            tuple(sorted(each["name"] for each in config["peers"]["members"]))
            if "peers" in config.raw
            else (),
            catalogue,
        )
        self.peers, self.roster = None, None
        if "peers" in config.raw:
            self._meet(config["peers"], start, seed)
        self.dash = DashFront(loop, config, self.core)
        self.configuring = None
        if begun is not None and self.peers is not None and self.roster is not None:
            told, live = config["configuration"], configuring.Live(self, begun)
            self.dash.gone = begun.places.gone
            self.configuring = configuring.Configuring(
                loop, told, config["gateway"], begun, live, self.peers, self.roster, seed, self.say
            )
        self.admin = None
        if "admin" in config.raw:
            admin = config["admin"]
            self.admin = HttpServer(loop, admin["host"], admin["port"], self._administer)
        self.registration = None
        register = config.raw.get("list", {}).get("registry", {}).get("register")
        if register is not None:
            node = config["list"]["registry"]["addresses"][0]
            name = f"{config['gateway']}:{self.dash.server.port}"
            host = config["listen"]["host"]
            self.registration = Registration(
                loop, node, register, name, host, self.dash.server.port, REGISTER_EVERY
            )
            self.registration.start()
        if store is not None:
            self.core.store = store
            store.attach(self.core.handle_written, self.say)
        self.core.start(None if store is None else store.kept)
        if store is not None:
            for name, (known, forgotten) in store.kept.members.items():
                if forgotten and self.roster is not None:
                    self.roster.forget(name, known)
            store.kept = RecoveredState()  # what is needed of it is held elsewhere by now
        self.say("serving", port=self.dash.server.port, start=start, hosts=len(config.entries))

    def _meet(self, told: dict[str, Any], start: int, seed: int) -> None:
        """Open the ways to the other gateways."""
        members = {each["name"]: parse_address(each["address"]) for each in told["members"]}
        name = self.config["gateway"]
        place = told.get("advertise", "")
        if place:
            members[name] = parse_address(place)
        listen = told.get("listen", {}).get("host", members[name][0]), members[name][1]
        secrets = told["secrets"]
        peers = PeerTransport(self.loop, name, start, members, secrets, told["skew_s"], self.core, listen)
        self.peers = self.core.peers = peers
        self.roster = MembershipTransport(
            self.loop,
            name,
            start,
            members,
            secrets,
            listen,
            seed,
            self.say,
            self.core.handle_membership,
            place,
        )
        peers.answer_gossip = self.roster.handle_request

    def say(self, event: str, **fields: Any) -> None:
        """Pass a log event to the log, the metrics and the traces."""
        self._say(event, **fields)
        for listener in self._listeners:
            listener(event, fields)

    def _administer(self, exchange: Exchange) -> None:
        if exchange.path in (
            "/v1/drains",
            "/v1/moves",
            "/v1/sources",
            "/v1/members",
            "/v1/members/forget",
        ) or (self.configuring is not None and exchange.path.startswith("/v1/configuration")):
            self._operate(exchange)
            return
        if exchange.path != "/metrics":
            exchange.respond_problem(404, "no such path")
            return
        self.metrics.held.set(self.core.book.held)
        self.metrics.late.set(self.core.book.set_ups.late_starts)
        if self.core.store is not None:
            self.metrics.store(self.core.store.failing, self.core.store.size)
            self.metrics.unsettled.set(self.core.book.recovery.unsettled_count)
        if self.roster is not None:
            self.metrics.roster(self.members(), [each.name.lower() for each in Liveness])
        if self.configuring is not None:
            self.metrics.configuration(self.configuring.state())
        exchange.respond(200, [("Content-Type", "text/plain; version=0.0.4")], self.metrics.text())

    def _operate(self, exchange: Exchange) -> None:
        """Take an operator's order, or tell of drains; the token is compared in constant time."""
        wanted = self.config["admin"].get("token")
        shown = exchange.headers.get("authorization", "").removeprefix("Bearer ")
        if wanted is None or not hmac.compare_digest(shown.encode(), wanted.encode()):
            exchange.respond_problem(401, "the operators' token is needed")
        elif self.configuring is not None and exchange.path.startswith("/v1/configuration"):
            self.configuring.operate(exchange)
        elif exchange.path == "/v1/moves" and exchange.method == "GET":
            _tell(exchange, self.moves())
        elif exchange.path == "/v1/sources" and exchange.method == "GET":
            told = self.list.state() if isinstance(self.list, MergedList) else {}
            _tell(exchange, told)
        elif exchange.path == "/v1/members" and exchange.method == "GET":
            told = self.members()
            _tell(exchange, told)
        elif exchange.path == "/v1/members/forget" and exchange.method == "POST":
            self._forget(exchange)
        elif exchange.path == "/v1/drains" and exchange.method == "POST":
            self._drain(exchange)
        else:
            exchange.respond_problem(
                405, "POST /v1/drains, /v1/members/forget, GET /v1/moves, /v1/sources, /v1/members"
            )

    def _forget(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=ForgetOrder)
        except msgspec.DecodeError as error:
            exchange.respond_problem(400, f"not an order to forget: {error}")
            return
        if self.roster is None or not self.roster.forget(order.name):
            exchange.respond_problem(404, f"{order.name} is no other gateway of this region")
            return
        _tell(exchange, self.members())

    def members(self) -> dict[str, Any]:
        """Tell what is believed of the other gateways, and what this one does as a witness of paid keys."""
        if self.roster is None:
            return {}
        return {**self.roster.state(), "witness": self.core.book.claims.witness_service.state()}

    def _drain(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=DrainOrder)
        except msgspec.DecodeError as error:
            exchange.respond_problem(400, f"not a drain order: {error}")
            return
        within = None if order.within_s is None else int(order.within_s * 1e6)

        def taken(good: bool) -> None:
            if good:
                _tell(exchange, self.moves())
            else:
                exchange.respond_problem(503, "it holds, but not over a restart: records cannot be written")

        if not self.core.order_drain(order.host.encode(), order.on, within, taken):
            exchange.respond_problem(404, f"{order.host} is on no list")

    def moves(self) -> dict[str, Any]:
        """Tell what drains, what is under way and what holds each drain."""
        book = self.core.book
        hosts = {}
        for server in book.host_watch.hosts:
            if not book.host_watch.should_vacate(server):
                continue
            here = book.sessions.playing_at(server)
            hosts[server.decode()] = {
                "sessions": len(here),
                "moving": {
                    self.core.session_name(n): stage.value
                    for n in here
                    if (stage := book.moves.stage_of(n)) is not None
                },
                "held_by": {
                    self.core.session_name(n): book.moves.stay_reasons.get(n, "its player has not asked")
                    for n in list(here)[:100]
                    if not book.moves.is_moving(n)
                },
            }
        return {"draining": hosts, "counts": book.moves.counts}

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Accept no new connections, answer the viewers' requests that were read, then call `on_drained`.

        The registration is taken back first, as viewers come while it stands. A second call does nothing.
        """
        if self._is_draining:
            return
        self._is_draining = True
        self.say("stopping", connections=len(self.dash.server.connections))
        if self.registration is None:
            self._drain_requests(on_drained)
            return
        timer = self.loop.call_at(self.loop.now() + DEREGISTRATION_TIME_US, self._drain_requests, on_drained)

        def finish_early() -> None:
            if timer.callback is not None:
                timer.cancel()
                self._drain_requests(on_drained)

        self.registration.cancel(finish_early)

    def _drain_requests(self, on_drained: Callable[[], None]) -> None:
        """Drain the viewers' connections; each request ends by its own deadline once it has come in whole."""
        longest = max(each.deadline for each in self.config.settings.classes)
        limit = self.config["limits"]["header_ms"] * 1000 + longest
        self.dash.server.drain(self.loop.now() + limit, on_drained)

    def close(self) -> None:
        """Accept nothing more and break what is open."""
        self.dash.server.close()
        if self.registration is not None and not self._is_draining:
            self.registration.cancel()
        if self.peers is not None and self.roster is not None:
            self.roster.close()
            self.peers.close()
        if self.admin is not None:
            self.admin.close()
        if self.configuring is not None:
            self.configuring.close()
        if self.core.store is not None:
            self.core.store.close()
