"""Operators' orders that persist over restarts: hosts to drain and gateways that were permanently removed.

If a restarted gateway forgot an order, it would violate it hours after the operator's request had succeeded.
An order is therefore acknowledged only when it is on disk, although this process obeys it at once.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.claim_messages import PeerStatusChanged
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.records import RecordKind, RecordWriter, RecoveredState
from mintmast.decisions.messages import DrainOrdered, DrainRecorded
from mintmast.decisions.sessions.fleet import Fleet


class OperatorOrders:
    """The operators' orders of one gateway; `emit` receives commands."""

    def __init__(self, fleet: Fleet, record_writer: RecordWriter, emit: Callable[[object], None]) -> None:
        self._fleet, self._record_writer, self._emit = fleet, record_writer, emit
        # other gateways: (generation, whether an operator has removed it)
        self._known_peers: dict[str, tuple[int, bool]] = {}

    def restore(self, now: int, recovered: RecoveredState) -> None:
        """Restore the orders recorded by earlier generations."""
        self._known_peers = dict(recovered.members)
        for server, until in recovered.drains.items():
            within = None if until is None else max(0, until - recovered.runtime)
            self._fleet.handle_drain_order(now, DrainOrdered(server.encode(), True, within))

    def handle_drain_order(self, now: int, event: DrainOrdered) -> None:
        """Apply and record an order to drain a host, or its revocation."""
        self._fleet.handle_drain_order(now, event)
        server = event.server
        drain_deadline = self._fleet.drains.deadline_of(server)
        until = None if drain_deadline is None else drain_deadline + self._record_writer.runtime(now) - now

        def report_recorded(at: int, is_durable: bool) -> None:
            self._emit(DrainRecorded(server, is_durable))

        self._record_writer.save(
            now, RecordKind.DRAIN, server.decode(), until, report_recorded, delete=not event.drain
        )

    def handle_peer_state(self, now: int, event: PeerStatusChanged) -> None:
        """Record the last known generation of a gateway and whether an operator has removed it."""
        peer_state = event.generation, event.liveness is Liveness.ORDER
        if event.generation and peer_state != self._known_peers.get(event.peer):
            self._known_peers[event.peer] = peer_state
            self._record_writer.save(now, RecordKind.MEMBER, event.peer, peer_state)
