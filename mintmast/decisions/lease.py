"""Lease arithmetic: until when a host may go on with a session that nobody renews.

A host counts `length` from the moment a renewal reaches it, on its own clock. The gateway does not see that
moment: it lies between the sending of the renewal and the end of that call. So what a host still holds is
reckoned from the end of the last call that may have renewed, and what it surely still holds from the sending
of the last one that was answered. Clocks of both run on their own; only their rates matter, and they may
differ by `DRIFT`.
"""

from __future__ import annotations

from dataclasses import dataclass

# part by which two clocks may differ in rate: crystals keep 0.0001, clocks being slewed 0.0005 (ntpd's
# bound); one in a hundred leaves room for a host that is paused in the middle of its own reckoning
DRIFT = 0.01
# renewals in a lease: two may be lost before a session ends for want of them
RENEWALS = 3


@dataclass(slots=True)
class Lease:
    """One session's lease as its gateway knows it; microseconds of the gateway's clock."""

    length: int
    sure_from: int  # sending of the last renewal that was answered: held at least `length` from then
    maybe_from: int  # end of the last call that may have renewed: held at most `length` from then

    def renewed(self, sent: int, ended: int, answered: bool) -> None:
        """Book a renewal's call."""
        self.maybe_from = max(self.maybe_from, ended)
        if answered:
            self.sure_from = max(self.sure_from, sent)

    @property
    def sure_until(self) -> int:
        """Until when the host surely keeps it, if it lives."""
        return self.sure_from + int(self.length * (1 - DRIFT))

    @property
    def over_at(self) -> int:
        """From when the host provably holds it no more."""
        return self.maybe_from + int(self.length * (1 + DRIFT)) + 1


def renew_every(length: int) -> int:
    """Give the time between renewals of a lease."""
    return max(1, length // RENEWALS)
