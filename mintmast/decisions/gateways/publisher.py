"""Who may number revisions, and when an operator's order is refused."""

from __future__ import annotations

import random
from collections import deque

from mintmast.decisions.gateways.revision_types import EMPTY_PATCH, MAX_NUMBER, Publish, TakeOver

Order = Publish | TakeOver

# orders that wait: a burst of 200 changes in a second with room to spare
MAX_PENDING_ORDERS = 1000
# a take-over's term is the highest known and up to so many on: two who take over unknown to each other, in a
# cut or after a file was lost, then have two terms, of which one wins, and not one number for two documents
TERM_STEP = 1000


class Publisher:
    """One gateway's part in numbering: the term in which it does, 0 for none, and the highest term known."""

    def __init__(self, term: int, highest_term: int, rng: random.Random) -> None:
        self.term, self.highest_term = term, max(term, highest_term)
        self._random = rng
        self.orders: deque[Order] = deque()

    def observe_term(self, term: int) -> None:
        """Book a term."""
        self.highest_term = max(self.highest_term, term)

    def step_down(self, term: int) -> bool:
        """Give up numbering where this term is not below the own; tell whether that was so until now.

        Danger: a publisher whose file was put back, or two who took over in a cut, give one number twice.
        """
        lost = 0 < self.term <= term
        if lost:
            self.term = 0
        return lost

    def refusal(self, order: Order, number: int, startup_refusal: str, is_behind: bool) -> str:
        """Tell why an order cannot be taken at this number of the head in force, "" where it can.

        `start` is what hinders since this gateway's start, `behind` tells that others have a later revision.
        """
        over = isinstance(order, TakeOver)
        if startup_refusal:
            return startup_refusal
        if over and is_behind:
            return "a later revision is known and not in force here yet"
        if not over and not self.term:
            return "this gateway is not the publisher"
        return (
            "numbers are used up"
            if number >= MAX_NUMBER or (over and self.highest_term > MAX_NUMBER - TERM_STEP)
            else ""
        )

    def term_and_patch(self, order: Order) -> tuple[int, bytes]:
        """Give term and patch of what an order makes."""
        if isinstance(order, TakeOver):
            return self.highest_term + self._random.randint(1, TERM_STEP), EMPTY_PATCH
        return self.term, order.patch
