"""Lease arithmetic: until when a host may go on with a session that nobody renews.

A renewal that waits in the buffers of a host that stands still may be worked off at any later time, so
nothing can be reckoned from when it was sent or given up. Instead each one names a reading of the host's own
clock that the gateway heard before, and its sequence number: the host keeps the session until that reading
plus the lease, ignores numbers it has passed, and refuses what is over already. The gateway heard the reading
at a known time, so:

* the host holds the session at most until `length` after the reading was heard, on clocks that differ by
  `DRIFT`;
* it holds it at least until `length` after the call that brought the reading was sent.

Nothing rests on synchronous clocks, on delays or on answers; only on rates that differ by less than `DRIFT`,
and on a host's clock that never goes back, over its restarts too.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# part by which two clocks may differ in rate: crystals keep 0.0001, clocks being slewed 0.0005 (ntpd's
# bound); one in a hundred leaves room for a host that is paused in the middle of its own reckoning
MAX_CLOCK_DRIFT = 0.01
# renewals in a lease: two may be lost before a session ends for want of them
RENEWALS_PER_LEASE = 3


@dataclass(slots=True)
class HostClock:
    """The last reading of a host's clock; all in µs, `heard_at` and `sure_at` on the gateway's clock.

    The host's clock read `reading` at `heard_at` at the latest and at `sure_at` at the earliest.
    """

    reading: int = -1
    latest_at: int = 0
    earliest_at: int = 0

    def record_reading(self, reading: int, now: int, sent_at: int | None) -> None:
        """Take a reading that came at `now`, in answer to a call sent at `asked` or (None) by itself."""
        if reading < self.reading:
            return  # an old word that came late
        bounds = [] if sent_at is None else [sent_at]
        if self.reading >= 0:
            # on from the last reading, at the least rate that its clock can have had against ours: a reply
            # that was long under way must not make a bound worse that was known better
            bounds.append(self.earliest_at + int((reading - self.reading) * (1 - MAX_CLOCK_DRIFT)))
        self.reading, self.latest_at, self.earliest_at = reading, now, min(max(bounds, default=now), now)


@dataclass(slots=True)
class _LeaseCall:
    number: int
    expires_at: int
    held_until: int
    rests_on_readings: bool


@dataclass(slots=True)
class Lease:
    """One session's lease as its gateway knows it; µs of the gateway's clock."""

    calls: list[_LeaseCall] = field(default_factory=list)
    held_until: int = 0  # until when the host surely holds it, if it lives and has not been told to end it

    def record_call(self, number: int, now: int, length: int, clock: HostClock | None) -> None:
        """Book a call about to be sent at `now`; without a reading the host counts from its arrival."""
        if clock is None or clock.reading < 0:
            self.calls.append(
                _LeaseCall(number, now + int(2 * length * (1 + MAX_CLOCK_DRIFT)), now + length, False)
            )
            return
        expires_at = clock.latest_at + int(length * (1 + MAX_CLOCK_DRIFT)) + 1
        held_until = clock.earliest_at + int(length * (1 - MAX_CLOCK_DRIFT))
        self.calls.append(_LeaseCall(number, expires_at, held_until, True))

    def record_answer(self, number: int) -> None:
        """Book that the host took call `number`: it now passes over all earlier ones."""
        for call in self.calls:
            if call.number == number:
                self.held_until = call.held_until
        self.calls = [call for call in self.calls if call.number >= number]

    def discard_call(self, number: int) -> None:
        """Book that call `number` provably never reached the host."""
        self.calls = [call for call in self.calls if call.number != number]

    @property
    def expires_at(self) -> int:
        """From when the host holds it no more, as far as can be told."""
        return max((call.expires_at for call in self.calls), default=0)

    @property
    def rests_on_readings(self) -> bool:
        """Tell whether `over_at` rests on readings of the host's clock alone."""
        return bool(self.calls) and all(call.rests_on_readings for call in self.calls)


def renewal_interval(length: int) -> int:
    """Give the time between renewals of a lease."""
    return max(1, length // RENEWALS_PER_LEASE)
