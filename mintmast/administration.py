"""The administrative address of a gateway: metrics, operators' orders, and state reports."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from mintmast.config import Config
from mintmast.core import Core
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.http.server import Exchange
from mintmast.peers import MembershipTransport
from mintmast.sources.fixed import FixedList
from mintmast.sources.merged import MergedList
from mintmast.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from mintmast.configuring import Configuring

_CONFIGURATION_PREFIX = "/v1/configuration"
_METRICS_TYPE = "text/plain; version=0.0.4"
# sessions of one host that a report names with the reason why they stay
_MAX_REPORTED_SESSIONS = 100


class AdministeredGateway(Protocol):
    """The parts of a gateway that its administrative address reports on or gives orders to."""

    config: Config
    core: Core
    metrics: Metrics
    list: FixedList | MergedList
    roster: MembershipTransport | None
    configuring: Configuring | None

    def members(self) -> dict[str, Any]:
        """Return the status of the other gateways, empty if there are none."""


class DrainOrder(msgspec.Struct):
    """An operator's order to drain a host; `within_s` is the time until it is to be empty."""

    host: str
    on: bool = True
    within_s: float | None = None


class ForgetOrder(msgspec.Struct):
    """An operator's order to forget a gateway that is gone for good."""

    name: str


class Administration:
    """Handles the requests to one gateway's administrative address."""

    def __init__(self, gateway: AdministeredGateway) -> None:
        self._gateway = gateway
        self._operations: dict[tuple[str, str], Callable[[Exchange], None]] = {
            ("GET", "/v1/moves"): lambda exchange: _respond_json(exchange, self.moves()),
            ("GET", "/v1/sources"): self._report_sources,
            ("GET", "/v1/members"): lambda exchange: _respond_json(exchange, gateway.members()),
            ("POST", "/v1/members/forget"): self._forget_member,
            ("POST", "/v1/drains"): self._order_drain,
        }

    def handle(self, exchange: Exchange) -> None:
        """Respond to a request."""
        if self._is_configuration(exchange) or any(path == exchange.path for _, path in self._operations):
            self._handle_operation(exchange)
        elif exchange.path == "/metrics":
            self._report_metrics(exchange)
        else:
            exchange.respond_problem(404, "no such path")

    def _is_configuration(self, exchange: Exchange) -> bool:
        return self._gateway.configuring is not None and exchange.path.startswith(_CONFIGURATION_PREFIX)

    def _report_metrics(self, exchange: Exchange) -> None:
        gateway, book = self._gateway, self._gateway.core.book
        metrics, store = gateway.metrics, gateway.core.store
        metrics.held.set(book.held)
        metrics.late.set(book.set_ups.late_starts)
        if store is not None:
            metrics.store(store.failing, store.size)
            metrics.unsettled.set(book.recovery.unsettled_count)
        if gateway.roster is not None:
            metrics.roster(gateway.members(), [each.name.lower() for each in Liveness])
        if gateway.configuring is not None:
            metrics.configuration(gateway.configuring.state())
        exchange.respond(200, [("Content-Type", _METRICS_TYPE)], metrics.text())

    def _handle_operation(self, exchange: Exchange) -> None:
        """Carry out an operator's request; the token is compared in constant time."""
        wanted = self._gateway.config["admin"].get("token")
        shown = exchange.headers.get("authorization", "").removeprefix("Bearer ")
        operation = self._operations.get((exchange.method, exchange.path))
        if wanted is None or not hmac.compare_digest(shown.encode(), wanted.encode()):
            exchange.respond_problem(401, "the operators' token is needed")
        elif self._is_configuration(exchange):
            self._gateway.configuring.operate(exchange)
        elif operation is not None:
            operation(exchange)
        else:
            exchange.respond_problem(
                405, "POST /v1/drains, /v1/members/forget, GET /v1/moves, /v1/sources, /v1/members"
            )

    def _report_sources(self, exchange: Exchange) -> None:
        source = self._gateway.list
        _respond_json(exchange, source.state() if isinstance(source, MergedList) else {})

    def _forget_member(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=ForgetOrder)
        except msgspec.DecodeError as error:
            exchange.respond_problem(400, f"not an order to forget: {error}")
            return
        roster = self._gateway.roster
        if roster is None or not roster.forget(order.name):
            exchange.respond_problem(404, f"{order.name} is no other gateway of this region")
            return
        _respond_json(exchange, self._gateway.members())

    def _order_drain(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body, type=DrainOrder)
        except msgspec.DecodeError as error:
            exchange.respond_problem(400, f"not a drain order: {error}")
            return
        within = None if order.within_s is None else int(order.within_s * 1e6)

        def handle_recorded(is_durable: bool) -> None:
            if is_durable:
                _respond_json(exchange, self.moves())
            else:
                exchange.respond_problem(503, "it holds, but not over a restart: records cannot be written")

        if not self._gateway.core.order_drain(order.host.encode(), order.on, within, handle_recorded):
            exchange.respond_problem(404, f"{order.host} is on no list")

    def moves(self) -> dict[str, Any]:
        """Return the draining hosts, the moves in progress and what delays each drain."""
        book = self._gateway.core.book
        draining = [server for server in book.host_watch.hosts if book.host_watch.should_vacate(server)]
        return {
            "draining": {server.decode(): self._drain_state(server) for server in draining},
            "counts": book.moves.counts,
        }

    def _drain_state(self, server: bytes) -> dict[str, Any]:
        core, moves = self._gateway.core, self._gateway.core.book.moves
        playing = core.book.sessions.playing_at(server)
        stages = {number: moves.stage_of(number) for number in playing}
        reported = list(playing)[:_MAX_REPORTED_SESSIONS]
        return {
            "sessions": len(playing),
            "moving": {
                core.session_name(number): stage.value
                for number, stage in stages.items()
                if stage is not None
            },
            "held_by": {
                core.session_name(number): moves.stay_reasons.get(number, "its player has not asked")
                for number in reported
                if not moves.is_moving(number)
            },
        }


def _respond_json(exchange: Exchange, content: dict[str, Any]) -> None:
    exchange.respond(200, [("Content-Type", "application/json")], msgspec.json.encode(content))
