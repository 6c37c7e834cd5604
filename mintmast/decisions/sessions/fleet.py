"""Turns hosts' events, list updates and operators' orders into list entries and notes for the module."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mintmast import interface as api
from mintmast.decisions.hosts.drains import DrainOrders
from mintmast.decisions.hosts.host_state import HostStates
from mintmast.decisions.hosts.list_handover import ListHandover
from mintmast.decisions.messages import (
    DrainOrdered,
    HostConnected,
    HostDisconnected,
    HostDrainChanged,
    HostMeasurement,
    ServerListUpdate,
)
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.active_moves import ActiveMoves
from mintmast.decisions.sessions.leases import Leases
from mintmast.decisions.sessions.sessions import Session, Sessions
from mintmast.interface import ListKind, Outcome, ServerState


class FleetCallbacks(Protocol):
    """The book's operations that the fleet calls."""

    def dispatch(self, now: int, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""

    def record_end(self, now: int, session: Session, outcome: Outcome) -> None:
        """Record that a playing session has ended at its host."""


class Fleet:
    """One gateway's view of its hosts; `emit` receives commands."""

    def __init__(
        self,
        callbacks: FleetCallbacks,
        sessions: Sessions,
        leases: Leases,
        active_moves: ActiveMoves,
        emit: Callable[[object], None],
    ) -> None:
        self._callbacks, self._sessions, self._leases, self._moves = callbacks, sessions, leases, active_moves
        self.watch, self.drains = HostStates(), DrainOrders()
        self.handover = ListHandover(self.watch, emit)
        self._version = 0

    def handle_connected(self, now: int, event: HostConnected) -> None:
        """Process the establishment of a host's event stream."""
        changed, is_new_process = self.watch.handle_hello(
            now, event.server, event.process, event.uptime, event.is_draining
        )
        self._leases.record_reading(event.server, event.clock, now, None)
        self._queue_entries(now, changed)
        if is_new_process:  # the sessions of the previous process ended with it
            for session in list(self._sessions.playing_at(event.server).values()):
                if session.sent_at < now - (event.uptime or 0):
                    self._callbacks.record_end(now, session, Outcome.RESET)

    def handle_disconnected(self, now: int, event: HostDisconnected) -> None:
        """Process a broken event stream or a failed connection attempt."""
        changed, retry_at = self.watch.handle_connection_lost(
            now, event.server, event.random_fraction, event.refused
        )
        self._queue_entries(now, changed)
        if event.refused:  # no process listens: its sessions have ended, and if not, their leases will expire
            for session in list(self._sessions.playing_at(event.server).values()):
                self._callbacks.record_end(now, session, Outcome.RESET)
        self.handover.schedule_reopen(event.server, retry_at)

    def handle_measurement(self, now: int, event: HostMeasurement) -> None:
        """Pass a delivered share or a utilisation to the module."""
        number = next(iter(self._sessions.playing_at(event.server)), 0)
        self._callbacks.dispatch(now, api.Note(number, event.server, event.kind, event.value))

    def handle_list_update(self, now: int, event: ServerListUpdate) -> None:
        """Process an update of the server list."""
        if event.kind is ListKind.FAILED:
            self._callbacks.dispatch(now, api.ServerList(ListKind.FAILED, self._version))
            return
        self._queue_entries(now, self.watch.handle_list(event.entries, event.kind is not ListKind.DELTA))
        self.handover.update_watches(now, lambda server: bool(self._sessions.playing_at(server)))

    def _queue_entries(self, now: int, changed: list[api.ListEntry]) -> None:
        self._send_entries(now, self.handover.select_immediate(now, changed))

    def _send_entries(self, now: int, changed: list[api.ListEntry]) -> None:
        if not changed:
            return
        self._version += 1
        self._callbacks.dispatch(now, api.ServerList(ListKind.DELTA, self._version, tuple(changed)))
        for entry in changed:
            is_draining = entry.state is ServerState.DRAINING
            self._moves.planner.set_draining(entry.server, is_draining, self.drains.deadline_of(entry.server))
            if entry.state is ServerState.READY:
                for number in list(self._sessions.playing_at(entry.server)):
                    self._moves.signal(now, number, moves.Signal.TAKEN_BACK)

    def handle_drain_changed(self, now: int, event: HostDrainChanged) -> None:
        """Process a host's report that it started or stopped draining."""
        self._queue_entries(now, self.watch.handle_drain(event.server, event.is_draining))

    def send_next_slice(self, now: int) -> None:
        """Pass the next slice of a long list to the module."""
        self._send_entries(now, self.handover.next_slice())
        self.handover.schedule_next_slice(now)

    def handle_drain_order(self, now: int, event: DrainOrdered) -> None:
        """Apply an operator's order to drain a host, or its revocation."""
        self.drains.handle(now, event)
        self._queue_entries(now, self.watch.handle_drain_order(event.server, event.drain))
        if event.drain:
            self._moves.planner.set_draining(event.server, True, self.drains.deadline_of(event.server))
