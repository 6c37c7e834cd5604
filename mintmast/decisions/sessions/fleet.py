"""Turns hosts' events, list updates and operators' orders into list entries and notes for the module."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mintmast import interface as api
from mintmast.decisions.hosts.drains import Drains
from mintmast.decisions.hosts.handover import HandOver
from mintmast.decisions.hosts.hostwatch import HostWatch
from mintmast.decisions.messages import Drain, HostDrain, HostHello, HostLost, HostNote, ListNews
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.moving import Moves
from mintmast.decisions.sessions.sessions import Session, Sessions
from mintmast.interface import ListKind, Outcome, ServerState


class Desk(Protocol):
    """The book's operations that the fleet calls."""

    def feed(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""

    def ended(self, now: int, session: Session, outcome: Outcome) -> None:
        """Record that a playing session has ended at its host."""


class Fleet:
    """One gateway's view of its hosts; `emit` receives commands."""

    def __init__(
        self, desk: Desk, sessions: Sessions, leases: Leases, moving: Moves, emit: Callable[[object], None]
    ) -> None:
        self._desk, self._sessions, self._leases, self._moves = desk, sessions, leases, moving
        self.watch, self.drains = HostWatch(), Drains()
        self.handover = HandOver(self.watch, emit)
        self._version = 0

    def hello(self, now: int, event: HostHello) -> None:
        """Process the establishment of a host's event stream."""
        changed, other = self.watch.hello(now, event.server, event.process, event.age, event.drains)
        self._leases.heard(event.server, event.clock, now, None)
        self._entries(now, changed)
        if other:  # the sessions of the previous process ended with it
            for session in list(self._sessions.at(event.server).values()):
                if session.sent_at < now - (event.age or 0):
                    self._desk.ended(now, session, Outcome.RESET)

    def lost(self, now: int, event: HostLost) -> None:
        """Process a broken event stream or a failed connection attempt."""
        changed, again = self.watch.lost(now, event.server, event.draw, event.refused)
        self._entries(now, changed)
        if event.refused:  # no process listens: its sessions have ended, and if not, their leases will expire
            for session in list(self._sessions.at(event.server).values()):
                self._desk.ended(now, session, Outcome.RESET)
        self.handover.line_lost(event.server, again)

    def note(self, now: int, event: HostNote) -> None:
        """Pass a delivered share or a utilisation to the module."""
        number = next(iter(self._sessions.at(event.server)), 0)
        self._desk.feed(now, api.Note(number, event.server, event.kind, event.value))

    def news(self, now: int, event: ListNews) -> None:
        """Process an update of the server list."""
        if event.kind is ListKind.FAILED:
            self._desk.feed(now, api.ServerList(ListKind.FAILED, self._version))
            return
        self._entries(now, self.watch.list_entries(event.entries, event.kind is not ListKind.DELTA))
        self.handover.lines(now, lambda server: bool(self._sessions.at(server)))

    def _entries(self, now: int, changed: list[api.ListEntry]) -> None:
        self._tell_entries(now, self.handover.first(now, changed))

    def _tell_entries(self, now: int, changed: list[api.ListEntry]) -> None:
        if not changed:
            return
        self._version += 1
        self._desk.feed(now, api.ServerList(ListKind.DELTA, self._version, tuple(changed)))
        for entry in changed:
            drains = entry.state is ServerState.DRAINING
            self._moves.planner.drains(entry.server, drains, self.drains.ends(entry.server))
            if entry.state is ServerState.READY:
                for number in list(self._sessions.at(entry.server)):
                    self._moves.signal(now, number, moves.Signal.TAKEN_BACK)

    def host_drains(self, now: int, event: HostDrain) -> None:
        """Process a host's report that it started or stopped draining."""
        self._entries(now, self.watch.drain(event.server, event.drains))

    def slice_due(self, now: int) -> None:
        """Pass the next slice of a long list to the module."""
        self._tell_entries(now, self.handover.next())
        self.handover.rest(now)

    def order(self, now: int, event: Drain) -> None:
        """Apply an operator's order to drain a host, or its revocation."""
        self.drains.take(now, event)
        self._entries(now, self.watch.order(event.server, event.on))
        if event.on:
            self._moves.planner.drains(event.server, True, self.drains.ends(event.server))
