"""Drains that operators ordered at this gateway: which hosts, and when each must be empty.

An order holds independently of the list and of the host until an operator revokes it: a host that reports
itself ready does not end it. The orders are restored from the store after a restart.
"""

from __future__ import annotations

from mintmast.decisions.messages import DrainOrdered


class DrainOrders:
    """Drain orders of one gateway."""

    def __init__(self) -> None:
        # by host: when it must be empty (µs), None if unspecified
        self.deadlines: dict[bytes, int | None] = {}

    def handle(self, now: int, event: DrainOrdered) -> None:
        """Record an order or its revocation."""
        if event.drain:
            self.deadlines[event.server] = None if event.within is None else now + event.within
        else:
            self.deadlines.pop(event.server, None)

    def deadline_of(self, server: bytes) -> int | None:
        """Return when an ordered drain must be finished (µs), None if unspecified or not ordered."""
        return self.deadlines.get(server)
