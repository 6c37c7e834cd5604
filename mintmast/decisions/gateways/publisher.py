"""Who may number revisions, and when an operator's order is refused."""

from __future__ import annotations

import random
from collections import deque

from mintmast.decisions.gateways.revising import MOST, NOTHING, Publish, TakeOver

Order = Publish | TakeOver

# orders that wait: a burst of 200 changes in a second with room to spare
MOST_ORDERS = 1000
# a take-over's term is the highest known and up to so many on: two who take over unknown to each other, in a
# cut or after a file was lost, then have two terms, of which one wins, and not one number for two documents
STEP = 1000


class Publisher:
    """One gateway's part in numbering: the term in which it does, 0 for none, and the highest term known."""

    def __init__(self, leads: int, highest: int, rng: random.Random) -> None:
        self.leads, self.highest = leads, max(leads, highest)
        self._random = rng
        self.orders: deque[Order] = deque()

    def heard(self, term: int) -> None:
        """Book a term."""
        self.highest = max(self.highest, term)

    def lose(self, term: int) -> bool:
        """Give up numbering where this term is not below the own; tell whether that was so until now.

        Danger: a publisher whose file was put back, or two who took over in a cut, give one number twice.
        """
        lost = 0 < self.leads <= term
        if lost:
            self.leads = 0
        return lost

    def fault(self, order: Order, number: int, start: str, behind: bool) -> str:
        """Tell why an order cannot be taken at this number of the head in force, "" where it can.

        `start` is what hinders since this gateway's start, `behind` tells that others have a later revision.
        """
        over = isinstance(order, TakeOver)
        if start:
            return start
        if over and behind:
            return "a later revision is known and not in force here yet"
        if not over and not self.leads:
            return "this gateway is not the publisher"
        return "numbers are used up" if number >= MOST or (over and self.highest > MOST - STEP) else ""

    def numbers(self, order: Order) -> tuple[int, bytes]:
        """Give term and patch of what an order makes."""
        if isinstance(order, TakeOver):
            return self.highest + self._random.randint(1, STEP), NOTHING
        return self.leads, order.patch
