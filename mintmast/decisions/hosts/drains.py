"""Drains ordered by operators here: which hosts, and when each is to be empty.

An order is kept beside what list and host say, until it is taken back: a host that says it is ready does not
undo it. The store stands behind `orders`.
"""

from __future__ import annotations

from mintmast.decisions.messages import DrainOrdered


class DrainOrders:
    """The orders of one gateway."""

    def __init__(self) -> None:
        self.deadlines: dict[bytes, int | None] = {}  # host: when it is to be empty (µs), None for not said

    def handle(self, now: int, event: DrainOrdered) -> None:
        """Take an order, or its end."""
        if event.drain:
            self.deadlines[event.server] = None if event.within is None else now + event.within
        else:
            self.deadlines.pop(event.server, None)

    def deadline_of(self, server: bytes) -> int | None:
        """Give when an ordered drain is to be through."""
        return self.deadlines.get(server)
