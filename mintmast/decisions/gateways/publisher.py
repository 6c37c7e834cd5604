"""Which gateway may number revisions, and when an operator's order is refused."""

from __future__ import annotations

import random
from collections import deque

from mintmast.decisions.gateways.revision_types import EMPTY_PATCH, MAX_NUMBER, Publish, TakeOver

Order = Publish | TakeOver

# orders that may wait: a burst of 200 changes in a second, with room to spare
MAX_PENDING_ORDERS = 1000
# a take-over draws its term at most this far above the highest known one. Two gateways that take over without
# knowing of each other, in a partition or after a file was lost, get different terms, so that one of them
# wins and no number stands for two documents
TERM_STEP = 1000


class Publisher:
    """Numbering of revisions at one gateway: its own term as publisher, 0 for none, and the highest known."""

    def __init__(self, term: int, highest_term: int, rng: random.Random) -> None:
        self.term, self.highest_term = term, max(term, highest_term)
        self._random = rng
        self.orders: deque[Order] = deque()

    def observe_term(self, term: int) -> None:
        """Record a term."""
        self.highest_term = max(self.highest_term, term)

    def step_down(self, term: int) -> bool:
        """Stop publishing if this term is not below this gateway's own; return whether it was the publisher.

        A publisher with a restored file, or two that took over in a partition, would use one number twice.
        """
        was_publisher = 0 < self.term <= term
        if was_publisher:
            self.term = 0
        return was_publisher

    def refusal(self, order: Order, number: int, startup_refusal: str, is_behind: bool) -> str:
        """Return why an order is refused at this number of the active revision, "" if it is not.

        `startup_refusal` is the reason that holds during startup, if any. `is_behind` says that others have a
        later revision.
        """
        is_take_over = isinstance(order, TakeOver)
        if startup_refusal:
            return startup_refusal
        if is_take_over and is_behind:
            return "a later revision is known that is not active here yet"
        if not is_take_over and not self.term:
            return "this gateway is not the publisher"
        return (
            "no number is left"
            if number >= MAX_NUMBER or (is_take_over and self.highest_term > MAX_NUMBER - TERM_STEP)
            else ""
        )

    def term_and_patch(self, order: Order) -> tuple[int, bytes]:
        """Return the term and the patch of the revision that an order creates."""
        if isinstance(order, TakeOver):
            return self.highest_term + self._random.randint(1, TERM_STEP), EMPTY_PATCH
        return self.term, order.patch
