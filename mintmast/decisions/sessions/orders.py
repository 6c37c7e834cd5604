"""Operators' words that outlive a process: hosts to be drained, gateways that are gone for good.

Danger: an order that the next life has forgotten is broken by it, hours after the operator was told that it
is taken. So he hears of it when it is on disk; it holds here from the first moment all the same.
"""

from __future__ import annotations

from collections.abc import Callable

from mintmast.decisions.gateways.records import Keeper, Kind, Recovered
from mintmast.decisions.gateways.standing import Proof
from mintmast.decisions.gateways.talk import PeerStands
from mintmast.decisions.messages import Drain, Ordered
from mintmast.decisions.sessions.fleet import Fleet


class Orders:
    """The orders of one gateway; `emit` takes commands."""

    def __init__(self, fleet: Fleet, keeper: Keeper, emit: Callable[[object], None]) -> None:
        self._fleet, self._keeper, self._emit = fleet, keeper, emit
        self._stood: dict[str, tuple[int, bool]] = {}  # of other gateways: start, and whether it is forgotten

    def begin(self, now: int, kept: Recovered) -> None:
        """Go on with what was ordered in earlier lives."""
        self._stood = dict(kept.members)
        for server, until in kept.drains.items():
            within = None if until is None else max(0, until - kept.ran)
            self._fleet.order(now, Drain(server.encode(), True, within))

    def drain(self, now: int, event: Drain) -> None:
        """Take an order to drain a host, or its end."""
        self._fleet.order(now, event)
        server = event.server
        ends = self._fleet.drains.ends(server)
        until = None if ends is None else ends + self._keeper.ran(now) - now

        def kept(at: int, good: bool) -> None:
            self._emit(Ordered(server, good))

        self._keeper.keep(now, Kind.DRAIN, server.decode(), until, kept, gone=not event.on)

    def stands(self, now: int, event: PeerStands) -> None:
        """Keep the last start that is known of a gateway, and that an operator says it is gone."""
        told = event.start, event.proof is Proof.ORDER
        if event.start and told != self._stood.get(event.peer):
            self._stood[event.peer] = told
            self._keeper.keep(now, Kind.MEMBER, event.peer, told)
