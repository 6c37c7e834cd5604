"""Operators' words that outlive a process: hosts to be drained, gateways that are gone for good.

Danger: an order that the next life has forgotten is broken by it, hours after the operator was told that it
is taken. So he hears of it when it is on disk; it holds here from the first moment all the same.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.claim_messages import PeerStatusChanged
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.records import RecordKind, RecordWriter, RecoveredState
from mintmast.decisions.messages import DrainOrdered, DrainRecorded
from mintmast.decisions.sessions.fleet import Fleet


class OperatorOrders:
    """The orders of one gateway; `emit` takes commands."""

    def __init__(self, fleet: Fleet, keeper: RecordWriter, emit: Callable[[object], None]) -> None:
        self._fleet, self._keeper, self._emit = fleet, keeper, emit
        self._known_peers: dict[
            str, tuple[int, bool]
        ] = {}  # of other gateways: start, and whether it is forgotten

    def restore(self, now: int, recovered: RecoveredState) -> None:
        """Go on with what was ordered in earlier lives."""
        self._known_peers = dict(recovered.members)
        for server, until in recovered.drains.items():
            within = None if until is None else max(0, until - recovered.runtime)
            self._fleet.handle_drain_order(now, DrainOrdered(server.encode(), True, within))

    def handle_drain_order(self, now: int, event: DrainOrdered) -> None:
        """Take an order to drain a host, or its end."""
        self._fleet.handle_drain_order(now, event)
        server = event.server
        drain_deadline = self._fleet.drains.deadline_of(server)
        until = None if drain_deadline is None else drain_deadline + self._keeper.runtime(now) - now

        def kept(at: int, good: bool) -> None:
            self._emit(DrainRecorded(server, good))

        self._keeper.save(now, RecordKind.DRAIN, server.decode(), until, kept, delete=not event.drain)

    def handle_peer_state(self, now: int, event: PeerStatusChanged) -> None:
        """Keep the last start that is known of a gateway, and that an operator says it is gone."""
        peer_state = event.generation, event.liveness is Liveness.ORDER
        if event.generation and peer_state != self._known_peers.get(event.peer):
            self._known_peers[event.peer] = peer_state
            self._keeper.save(now, RecordKind.MEMBER, event.peer, peer_state)
