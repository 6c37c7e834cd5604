"""Lease arithmetic: the bounds on how long a host may continue a session without a renewal.

A renewal can wait in the buffers of a suspended host and be processed at any later time, so no bound can be
derived from when it was sent or timed out. Each renewal therefore carries a reading of the host's own clock
that the gateway received earlier, and a sequence number. The host keeps the session until that reading plus
the lease, ignores sequence numbers lower than one it has seen, and rejects leases that have already expired.
As the gateway knows when it received the reading:

* the host holds the session at most until `length` after the reading was received, with clocks whose rates
  differ by up to `MAX_CLOCK_DRIFT`;
* it holds the session at least until `length` after the call was sent whose reply brought the reading.

This does not depend on synchronised clocks, delays or replies, only on clock rates that differ by less than
`MAX_CLOCK_DRIFT` and on host clocks that never go back, even over restarts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Relative difference allowed between the rates of two clocks: crystals keep 0.0001, slewed clocks 0.0005
# (ntpd's bound); 0.01 leaves a margin for a host that is paused in the middle of its own calculation
MAX_CLOCK_DRIFT = 0.01
# renewals within one lease: two in a row may be lost before a session ends
RENEWALS_PER_LEASE = 3


@dataclass(slots=True)
class HostClock:
    """The last reading of a host's clock in µs (-1 for none).

    The host's clock showed `reading` at `latest_at` at the latest and at `earliest_at` at the earliest, both
    in µs of the gateway's clock.
    """

    reading: int = -1
    latest_at: int = 0
    earliest_at: int = 0

    def record_reading(self, reading: int, now: int, sent_at: int | None) -> None:
        """Record a reading received at `now`, in reply to a call sent at `sent_at` or (None) unsolicited."""
        if reading < self.reading:
            return  # an older message that arrived late
        bounds = [] if sent_at is None else [sent_at]
        if self.reading >= 0:
            # extrapolates the last reading at the lowest rate that the host's clock can have relative to
            # ours, so that a reply with a long delay does not loosen a bound that was already tighter
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
    """One session's lease as known to its gateway; times in µs of the gateway's clock."""

    calls: list[_LeaseCall] = field(default_factory=list)
    held_until: int = 0  # the host holds it at least so long, if it lives and gets no termination

    def record_call(self, number: int, now: int, length: int, clock: HostClock | None) -> None:
        """Record a call about to be sent at `now`; without a reading the host counts from its arrival."""
        if clock is None or clock.reading < 0:
            self.calls.append(
                _LeaseCall(number, now + int(2 * length * (1 + MAX_CLOCK_DRIFT)), now + length, False)
            )
            return
        expires_at = clock.latest_at + int(length * (1 + MAX_CLOCK_DRIFT)) + 1
        held_until = clock.earliest_at + int(length * (1 - MAX_CLOCK_DRIFT))
        self.calls.append(_LeaseCall(number, expires_at, held_until, True))

    def record_answer(self, number: int) -> None:
        """Record that the host accepted call `number`; from now on it ignores all earlier ones."""
        for call in self.calls:
            if call.number == number:
                self.held_until = call.held_until
        self.calls = [call for call in self.calls if call.number >= number]

    def discard_call(self, number: int) -> None:
        """Discard call `number`, which provably never reached the host."""
        self.calls = [call for call in self.calls if call.number != number]

    @property
    def expires_at(self) -> int:
        """The latest time at which the host can still hold the session, as far as is known."""
        return max((call.expires_at for call in self.calls), default=0)

    @property
    def rests_on_readings(self) -> bool:
        """Return whether `expires_at` rests on readings of the host's clock alone."""
        return bool(self.calls) and all(call.rests_on_readings for call in self.calls)


def renewal_interval(length: int) -> int:
    """Return the time between renewals of a lease of this length."""
    return max(1, length // RENEWALS_PER_LEASE)
