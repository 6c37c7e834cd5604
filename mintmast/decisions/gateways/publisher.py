"""Which gateway may number revisions, and when an operator's order is refused."""

from __future__ import annotations

import random
from collections import deque

from mintmast.decisions.gateways.revising import MOST, NOTHING, Publish, TakeOver

Order = Publish | TakeOver

# orders that may wait: a burst of 200 changes in a second, with room to spare
MOST_ORDERS = 1000
# a take-over draws its term at most this far above the highest known one. Two gateways that take over without
# knowing of each other, in a partition or after a file was lost, get different terms, so that one of them
# wins and no number stands for two documents
STEP = 1000


class Publisher:
    """Numbering of revisions at one gateway: its own term as publisher, 0 for none, and the highest known."""

    def __init__(self, leads: int, highest: int, rng: random.Random) -> None:
        self.leads, self.highest = leads, max(leads, highest)
        self._random = rng
        self.orders: deque[Order] = deque()

    def heard(self, term: int) -> None:
        """Record a term."""
        self.highest = max(self.highest, term)

    def lose(self, term: int) -> bool:
        """Stop publishing if this term is not below this gateway's own; return whether it was the publisher.

        A publisher with a restored file, or two that took over in a partition, would use one number twice.
        """
        lost = 0 < self.leads <= term
        if lost:
            self.leads = 0
        return lost

    def fault(self, order: Order, number: int, start: str, behind: bool) -> str:
        """Return why an order is refused at this number of the active revision, "" if it is not.

        `startup_refusal` is the reason that holds during startup, if any. `is_behind` says that others have a
        later revision.
        """
        over = isinstance(order, TakeOver)
        if start:
            return start
        if over and behind:
            return "a later revision is known that is not active here yet"
        if not over and not self.leads:
            return "this gateway is not the publisher"
        return "no number is left" if number >= MOST or (over and self.highest > MOST - STEP) else ""

    def numbers(self, order: Order) -> tuple[int, bytes]:
        """Return the term and the patch of the revision that an order creates."""
        if isinstance(order, TakeOver):
            return self.highest + self._random.randint(1, STEP), NOTHING
        return self.leads, order.patch
