"""The gateway: loop, core, hosts, fronts and list put together from the settings."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mintmast.config import Config
from mintmast.core import Core
from mintmast.decide import Controller
from mintmast.fronts.dash import DashFront
from mintmast.hosts.media import MediaHosts
from mintmast.http.client import ClientLimits
from mintmast.http.server import Exchange, HttpServer
from mintmast.loop import Loop
from mintmast.sources.fixed import FixedList, SavedList
from mintmast.telemetry import Metrics, Traces


class Gateway:
    """One gateway on a loop. `say(event, **fields)` takes log lines; `table` is for drills that mutate it."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        seed: int | None = None,
        say: Callable[..., None] = lambda event, **fields: None,
        table: dict | None = None,
    ) -> None:
        self.loop, self.config = loop, config
        if seed is None:
            seed = config.raw.get("seed", random.SystemRandom().getrandbits(62))
        self.metrics = Metrics()
        self._listeners: list[Callable[[str, dict[str, Any]], None]] = [self.metrics.take]
        self._say = say
        share = config["telemetry"]["trace_share"]
        if share > 0:
            self._listeners.append(Traces(share, seed, say, loop.wall).take)
        settings = config.settings
        hosts = config["hosts"]
        start = int(loop.wall() * 1000)
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
        self.list = FixedList(config.entries, saved)
        names = [title.name for title in config.titles.values()]
        self.core = Core(
            loop,
            settings,
            self.controller.handle,
            self.hosts,
            self.list,
            names.__getitem__,
            hosts["lease_ms"] * 1000,
            config["gateway"],
            start,
            seed,
            self.say,
            table,
        )
        self.dash = DashFront(loop, config, self.core)
        self.admin = None
        if "admin" in config.raw:
            admin = config["admin"]
            self.admin = HttpServer(loop, admin["host"], admin["port"], self._administer)
        self.core.begin()
        self.say("serving", port=self.dash.server.port, start=start, hosts=len(config.entries))

    def say(self, event: str, **fields: Any) -> None:
        """Pass a log event to the log, the metrics and the traces."""
        self._say(event, **fields)
        for listener in self._listeners:
            listener(event, fields)

    def _administer(self, exchange: Exchange) -> None:
        if exchange.path != "/metrics":
            exchange.problem(404, "no such path")
            return
        self.metrics.held.set(self.core.book.held)
        self.metrics.late.set(self.core.book.late)
        exchange.respond(200, [("Content-Type", "text/plain; version=0.0.4")], self.metrics.text())

    def close(self) -> None:
        """Accept nothing more and break what is open."""
        self.dash.server.close()
        if self.admin is not None:
            self.admin.close()
