"""Operators' orders that persist over restarts: hosts to drain and gateways that were permanently removed.

If a restarted gateway forgot an order, it would violate it hours after the operator's request had succeeded.
An order is therefore acknowledged only when it is on disk, although this process obeys it at once.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.records import Keeper, Kind, Recovered
from mintmast.decisions.gateways.standing import Proof
from mintmast.decisions.gateways.talk import PeerStands
from mintmast.decisions.messages import Drain, Ordered
from mintmast.decisions.sessions.fleet import Fleet


class Orders:
    """The operators' orders of one gateway; `emit` receives commands."""

    def __init__(self, fleet: Fleet, keeper: Keeper, emit: Callable[[object], None]) -> None:
        self._fleet, self._keeper, self._emit = fleet, keeper, emit
        self._stood: dict[str, tuple[int, bool]] = {}  # other gateways: generation, removed by an operator

    def begin(self, now: int, kept: Recovered) -> None:
        """Restore the orders recorded by earlier generations."""
        self._stood = dict(kept.members)
        for server, until in kept.drains.items():
            within = None if until is None else max(0, until - kept.ran)
            self._fleet.order(now, Drain(server.encode(), True, within))

    def drain(self, now: int, event: Drain) -> None:
        """Apply and record an order to drain a host, or its revocation."""
        self._fleet.order(now, event)
        server = event.server
        ends = self._fleet.drains.ends(server)
        until = None if ends is None else ends + self._keeper.ran(now) - now

        def kept(at: int, good: bool) -> None:
            self._emit(Ordered(server, good))

        self._keeper.keep(now, Kind.DRAIN, server.decode(), until, kept, gone=not event.on)

    def stands(self, now: int, event: PeerStands) -> None:
        """Record the last known generation of a gateway and whether an operator has removed it."""
        told = event.start, event.proof is Proof.ORDER
        if event.start and told != self._stood.get(event.peer):
            self._stood[event.peer] = told
            self._keeper.keep(now, Kind.MEMBER, event.peer, told)
