"""Wiring of one gateway: creates loop, core, hosts, fronts, peers and list from the settings."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from mintmast.administration import Administration
from mintmast.config import Config
from mintmast.core import Core
from mintmast.core.ports import StorePort
from mintmast.decide import Controller
from mintmast.decisions.gateways.records import RecordsWritten, RecoveredState
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.fronts.dash import DashFront
from mintmast.hosts.media import MediaHosts
from mintmast.http.client import ClientLimits
from mintmast.http.server import HttpServer
from mintmast.loop import Loop
from mintmast.peers import MembershipTransport, PeerTransport, parse_address
from mintmast.sources.fixed import FixedList, SavedList
from mintmast.sources.merged import MergedList
from mintmast.sources.registration import Registration
from mintmast.telemetry.metrics import Metrics, Traces

# µs between renewals of the registration: Eureka's default, a third of the time after which it expires
REGISTRATION_PERIOD_US = 30_000_000
# µs in which the registry may confirm that a registration is taken back, before a shutdown goes on
DEREGISTRATION_TIME_US = 1_000_000


class Store(StorePort, Protocol):
    """An opened store, as the gateway uses it."""

    start: int
    kept: RecoveredState

    def attach(self, written: Callable[[RecordsWritten], None], say: Callable[..., None]) -> None:
        """Set the callbacks for the end of writes and for log lines."""


class Gateway:
    """One gateway on a loop.

    `say(event, **fields)` writes a log line, `table` replaces the outcome table in drills of mutants, and
    `store` is open: it has the generation number and the records of earlier generations.
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
        self._is_stopping = self._is_draining = False
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
            self._start_peers(config["peers"], start, seed)
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
            self.admin = HttpServer(loop, admin["host"], admin["port"], Administration(self).handle)
        self.registration = None
        register = config.raw.get("list", {}).get("registry", {}).get("register")
        if register is not None:
            node = config["list"]["registry"]["addresses"][0]
            name = f"{config['gateway']}:{self.dash.server.port}"
            host = config["listen"]["host"]
            self.registration = Registration(
                loop, node, register, name, host, self.dash.server.port, REGISTRATION_PERIOD_US
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
            store.kept = RecoveredState()  # the core holds what is needed of it
        self.say("serving", port=self.dash.server.port, start=start, hosts=len(config.entries))

    def _start_peers(self, settings: dict[str, Any], start: int, seed: int) -> None:
        """Start the calls and the membership datagrams between the gateways of the region."""
        members = {each["name"]: parse_address(each["address"]) for each in settings["members"]}
        name = self.config["gateway"]
        advertised = settings.get("advertise", "")
        if advertised:
            members[name] = parse_address(advertised)
        listen = settings.get("listen", {}).get("host", members[name][0]), members[name][1]
        secrets = settings["secrets"]
        peers = PeerTransport(self.loop, name, start, members, secrets, settings["skew_s"], self.core, listen)
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
            advertised,
        )
        peers.answer_gossip = self.roster.handle_request

    def say(self, event: str, **fields: Any) -> None:
        """Pass a log event to the log, the metrics and the traces."""
        self._say(event, **fields)
        for listener in self._listeners:
            listener(event, fields)

    def members(self) -> dict[str, Any]:
        """Return the status of the other gateways and this gateway's state as a witness of paid keys."""
        if self.roster is None:
            return {}
        return {**self.roster.state(), "witness": self.core.book.claims.witness_service.state()}

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Accept no new connections, answer the viewers' requests that were read, then call `on_drained`.

        The registration is taken back first, as viewers come while it stands. A second call does nothing.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self.say("stopping", connections=len(self.dash.server.connections))
        drain_requests = partial(self._drain_requests, on_drained)
        if self.registration is None:
            drain_requests()
        else:
            self.loop.call_at(self.loop.now() + DEREGISTRATION_TIME_US, drain_requests)
            self.registration.cancel(drain_requests)

    def _drain_requests(self, on_drained: Callable[[], None]) -> None:
        """Drain the viewers' connections; each request ends by its own deadline once it has come in whole."""
        if self._is_draining:
            return
        self._is_draining = True
        longest = max(each.deadline for each in self.config.settings.classes)
        limit = self.config["limits"]["header_ms"] * 1000 + longest
        self.dash.server.drain(self.loop.now() + limit, on_drained)

    def close(self) -> None:
        """Accept nothing more and break what is open."""
        self.dash.server.close()
        if self.registration is not None and not self._is_stopping:
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
