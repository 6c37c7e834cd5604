"""The shared settings of a running gateway: revisions come, go to disk, and are put in force between turns.

What is decided is in `decisions/gateways/revisions.py`; this carries its commands: calls to other gateways,
the file, operators' orders, and the swap of settings in the parts that hold some. Imported only where the
settings have a `configuration` section. `docs/operate/configuration.md` is for operators.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import msgspec

from mintmast.config import Config, ConfigError
from mintmast.config.places import Places
from mintmast.config.shared import Shared, SharedError, canonical, document, merge, read
from mintmast.core import Core
from mintmast.decide import Controller
from mintmast.decisions.gateways.history import MAX_PATCH_BYTES, History
from mintmast.decisions.gateways.revision_gossip import RevisionGossip
from mintmast.decisions.gateways.revision_types import (
    ActiveRevision,
    Command,
    Delta,
    Event,
    LogEvent,
    OrderAnswered,
    Publish,
    PullRevisions,
    RevisionAnnounced,
    RevisionId,
    ScheduleTimer,
    Stored,
    TakeOver,
    TimerFired,
    WriteFinished,
    WriteRevision,
    digest_of,
)
from mintmast.decisions.gateways.revisions import Revisions
from mintmast.decisions.sessions.intents import Catalogue
from mintmast.fronts.dash import DashFront
from mintmast.fronts.tokens import TokenError
from mintmast.http.server import Exchange
from mintmast.loop import Loop
from mintmast.loop.real import SelectorLoop
from mintmast.peers import MembershipTransport, PeerTransport, parse_address
from mintmast.sources.fixed import FixedList
from mintmast.store.configuration import FileError, FileHere, FileLine, encoded, load

PATH = "/v1/configuration"
# of the time, the part that putting revisions in force may take in a burst: of a second change in a moment
# viewers see nothing for so long
SHARE = 0.1
Log = Callable[..., None]


class Parts(Protocol):
    """The gateway's parts that hold settings."""

    config: Config
    core: Core
    controller: Controller
    dash: DashFront
    list: Any


def catalogue_of(places: Places) -> Catalogue:
    """Give the names of what the settings number, those that are gone among them."""
    return Catalogue(*(tuple(places.names[part]) for part in ("classes", "tenants", "titles")))


@dataclass(slots=True)
class Begun:
    """What a start has of the shared settings: what it begins with, and the numbers of names."""

    places: Places
    shared: Shared
    stored: Stored
    file: FileHere | FileLine
    fault: str = ""  # why the document kept does not suit this gateway


def begin(loop: Loop, config: Config, say: Log) -> Begun:
    """Read the file, and put its document in force over the settings.

    Without a file, or with one that is not taken, the gateway begins with its settings and asks the others.
    Raises ConfigError, also where the file cannot be had.
    """
    shared, places = Shared(), Places(config)
    try:
        own = document(config.raw)
    except SharedError as error:
        raise ConfigError([f"configuration: the shared settings are no document: {error}"]) from None
    path, stored = Path(config["configuration"]["path"]), None
    try:
        file = (FileLine if isinstance(loop, SelectorLoop) else FileHere)(loop, str(path))
    except FileError as error:
        raise ConfigError([f"configuration: {error}"]) from None
    try:
        stored = load(path, config["gateway"])
        if stored is not None:
            told = shared.value(stored.document)
            if digest_of(stored.document) != stored.head.digest:
                raise FileError("the document is not the head's")
    except (FileError, SharedError) as error:
        say("configuration_file_refused", path=str(path), reason=str(error))
        stored = None
    if stored is None:  # what is like it in a later document is then known to be, and not built anew
        stored, told = Stored(RevisionId(0, 0, digest_of(own)), own), shared.value(own)
    fault = ""
    try:
        places.take_up(told)
        places.bring_back(taken_out(stored.history))
    except ConfigError as error:
        fault = str(error)
        say("configuration_misfit", head=str(stored.head), fault=fault)
    return Begun(places, shared, stored, file, fault)


def taken_out(history: tuple[Delta, ...]) -> dict[str, dict[str, Any]]:
    """Give the titles that revisions took out, as far as the history has them: sessions may play them yet."""
    out: dict[str, dict[str, Any]] = {}
    added: dict[str, dict[str, Any]] = {}
    for delta in history:
        titles = json.loads(delta.patch).get("titles") or {}
        for name, each in titles.items():
            if each is None:
                out[name] = added.pop(name, {})
            else:
                added[name] = merge(added.get(name), each)
                out.pop(name, None)
    return out


def _told(part: Revisions) -> dict[str, Any]:
    """Tell what is in force and what is wrong."""
    head = part.head
    return {
        "term": head.term,
        "number": head.number,
        "digest": head.digest,
        "settled": part.is_settled,
        "publisher": bool(part.publisher.term),
        "highest_term": part.publisher.highest_term,
        "refused": {"head": str(part.rejected), "fault": part.rejection_reason}
        if part.rejection_reason
        else None,
        "forks": part.forks,
        "dropped": dict(part.dropped),
        "pulls": dict(part.pull_counts),
        "history": {"revisions": len(part.history.deltas), "bytes": part.history.patch_bytes},
    }


class Live:
    """Puts documents in force in a gateway's parts, in one piece between two turns."""

    def __init__(self, parts: Parts, begun: Begun) -> None:
        self._parts, self._places, self._shared = parts, begun.places, begun.shared

    def apply(self, data: bytes) -> str:
        """Put a document in force; "" or why it does not suit this gateway, which keeps what it has."""
        parts, places = self._parts, self._places
        before = parts.config
        held = parts.core.book.sessions.by_number
        try:
            config = places.take_up(
                self._shared.value(data), lambda: {e.request.title for e in held.values()}
            )
            parts.dash.adopt(config, places.gone)
        except (ConfigError, SharedError, TokenError) as error:
            return str(error)
        parts.config = config
        parts.controller.settings = config.settings
        parts.core.apply_settings(config.settings, catalogue_of(places))
        if config.entries != before.entries and isinstance(parts.list, FixedList):
            parts.list.change(config.entries)
        return ""


class Configuring:
    """Carries one gateway's `Revisions`."""

    def __init__(
        self,
        loop: Loop,
        told: dict[str, Any],
        gateway: str,
        begun: Begun,
        live: Live,
        lines: PeerTransport,
        roster: MembershipTransport,
        seed: int,
        say: Log,
    ) -> None:
        self._loop, self._gateway, self._live, self._say = loop, gateway, live, say
        self._lines, self._roster = lines, roster
        self._may_publish = told["publish"]
        self._abroad = [parse_address(each) for each in told["abroad"]]
        stored = begun.stored
        self.revisions = Revisions(
            stored,
            begun.shared.check,
            random.Random(f"{seed}/revisions"),
            len(roster.members.others),
            len(self._abroad),
        )
        self._file, self._unwritten = begun.file, False
        self._history = History(stored)  # with what is being written
        self.misfit = begun.fault
        self._applied = b"" if begun.fault else stored.document
        self._wanted = self._applied
        self._applying = False
        self._not_before = 0
        self._orders: dict[int, Exchange] = {}
        self._count = 0
        self._newest: tuple[int, int] = (0, 0)  # told by others
        self._behind: int | None = None
        self._carry: dict[type, Callable[[Any], Any]] = {
            PullRevisions: self._ask,
            WriteRevision: self._keep,
            ActiveRevision: self._in_force,
            OrderAnswered: self._ordered,
            LogEvent: lambda c: say("configuration", what=c.what, about=c.about),
            ScheduleTimer: lambda c: loop.call_at(c.at, self._take, TimerFired(c.at)),
        }
        roster.on_revision_announced = self._heard
        self._rumour = roster.members.revision_gossip = RevisionGossip(self.revisions.history.deltas_after)
        lines.answer_revisions = self.revisions.answer
        self._do(self.revisions.begin(loop.now()))

    # Revisions

    def _take(self, event: Event) -> None:
        self._do(self.revisions.handle(self._loop.now(), event))

    def _do(self, commands: list[Command]) -> None:
        for command in commands:
            self._carry[type(command)](command)

    def _heard(self, event: RevisionAnnounced) -> None:
        self._newest = max(self._newest, (event.term, event.number))
        self._see_behind()
        self._take(event)

    def _see_behind(self) -> None:
        if self._newest <= self.revisions.head.key:
            self._behind = None
        elif self._behind is None:
            self._behind = self._loop.now()

    def _ask(self, command: PullRevisions) -> None:
        source = command.source
        place = self._abroad[source] if isinstance(source, int) else source
        self._lines.request_revisions(place, command, self._take)

    def _keep(self, command: WriteRevision) -> None:
        """Have it written: a document and its history, under 1.5 MB."""
        history = self._history
        history.extend(command.head, command.deltas)
        stored = Stored(
            command.head, command.document, command.publisher_term, history.base, tuple(history.deltas)
        )
        data = encoded(self._gateway, stored)
        self._file.write(data, lambda good: self._kept(command, good))

    def _kept(self, command: WriteRevision, good: bool) -> None:
        if good == self._unwritten:
            self._unwritten = not good
            self._say("configuration_written_again" if good else "configuration_unwritten")
        # what was published and may not be on disk is not in force: the history goes on from what is
        if not good and command.publisher_term:
            self._history = History(Stored(self.revisions.head, b""))
        self._take(WriteFinished(command.number, good))

    # In force

    def _in_force(self, command: ActiveRevision) -> None:
        head = command.head
        self._rumour.set_head((head.term, head.number, head.digest_prefix))
        self._see_behind()
        self._wanted = command.document
        if not self._applying and self._wanted != self._applied:
            self._applying = True
            self._loop.call_at(max(self._loop.now(), self._not_before), self._apply)

    def _apply(self) -> None:
        """Put the latest document in force here; revisions that came close together are one change."""
        self._applying = False
        begun, head = self._loop.now(), str(self.revisions.head)
        self._applied = self._wanted
        fault = self._live.apply(self._wanted)
        took = self._loop.now() - begun
        self._not_before = self._loop.now() + int(took * (1 / SHARE - 1))
        if fault and fault != self.misfit:
            self._say("configuration_misfit", head=head, fault=fault)
        self.misfit = fault
        if not fault:
            self._say("configuration_in_force", head=head, took_ms=took / 1000)

    # Operators

    def operate(self, exchange: Exchange) -> None:
        """Answer an operator whose token is good."""
        if exchange.path == PATH and exchange.method == "GET":
            exchange.respond(200, [("Content-Type", "application/json")], msgspec.json.encode(self.state()))
        elif exchange.path == PATH and exchange.method == "POST":
            self._publish(exchange)
        elif exchange.path == PATH + "/take-over" and exchange.method == "POST":
            self._order(exchange, TakeOver)
        else:
            exchange.respond_problem(405, f"GET and POST {PATH}, POST {PATH}/take-over")

    def _publish(self, exchange: Exchange) -> None:
        try:
            patch = canonical(read(exchange.body, MAX_PATCH_BYTES))
        except SharedError as error:
            exchange.respond_problem(
                400, f"not a patch: {error}".encode("ascii", "backslashreplace").decode()
            )
            return
        self._order(exchange, lambda order: Publish(order, patch))

    def _order(self, exchange: Exchange, event: Callable[[int], Publish | TakeOver]) -> None:
        if not self._may_publish:
            exchange.respond_problem(409, "this gateway does not publish: configuration.publish is not set")
            return
        self._count += 1
        self._orders[self._count] = exchange
        self._take(event(self._count))

    def _ordered(self, command: OrderAnswered) -> None:
        exchange = self._orders.pop(command.order)
        if command.is_accepted:
            head = command.head
            told = {"term": head.term, "number": head.number, "digest": head.digest}
            exchange.respond(200, [("Content-Type", "application/json")], msgspec.json.encode(told))
        else:
            exchange.respond_problem(409, command.reason)

    def close(self) -> None:
        """Write no more."""
        self._file.close()

    def state(self) -> dict[str, Any]:
        """Tell what is in force, what this gateway may do, and what is wrong."""
        behind = None if self._behind is None else (self._loop.now() - self._behind) / 1e6
        return {
            "gateway": self._gateway,
            **_told(self.revisions),
            "may_publish": self._may_publish,
            "behind_s": behind,
            "misfit": self.misfit,
        }
