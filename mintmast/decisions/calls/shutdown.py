"""The deadlines of a graceful shutdown, and which set-ups are still taken meanwhile.

Viewers go on sending on open connections until the process is killed, so no moment needs to come in which
nothing is open. Each step therefore has a deadline, counted back from the earliest kill.
"""

from __future__ import annotations

from dataclasses import dataclass

# the platform kills a process no sooner after SIGTERM than its longest request timeout, counted as 3 s at
# most, and 0.7 s more
MAX_COUNTED_TIMEOUT_US, KILL_AFTER_TIMEOUT_US = 3_000_000, 700_000
# µs after SIGTERM in which connections are accepted, and in which all set-ups are taken: the platform opens
# new connections for 0.4 s and sends on them for 0.2 s more
LISTEN_TIME_US, TAKE_ALL_TIME_US = 900_000, 700_000
# µs after that in which unread and unsent data alone is waited for: a peer that floods the gateway or accepts
# no bytes does not delay the shutdown further
FLUSH_TIME_US = 2_000_000
# µs before the earliest kill: until then every request is answered, the connections are closed, and the
# process ends
ANSWER_MARGIN_US, CLOSE_MARGIN_US, EXIT_MARGIN_US = 300_000, 200_000, 100_000
# µs in which peers may close after this side has closed
PEER_CLOSE_TIME_US = 500_000
# µs without a byte after which a message that is not whole is no longer waited for
PARTIAL_MESSAGE_IDLE_US = 250_000


@dataclass(slots=True, frozen=True)
class ShutdownPlan:
    """The deadlines of one shutdown, in µs of the loop's clock.

    Until `listen_until` connections are accepted, until `take_all_until` all set-ups are taken, until
    `flush_until` unread and unsent data is waited for. By `answer_by` every request is answered, by
    `close_by` every connection closed on this side, by `exit_by` the process ends.
    """

    listen_until: int
    take_all_until: int
    flush_until: int
    answer_by: int
    close_by: int
    exit_by: int

    @classmethod
    def begin(cls, now: int, longest_timeout: int) -> ShutdownPlan:
        """Plan a shutdown that begins now; `longest_timeout` is that of all classes of requests, in µs."""
        kill_at = now + min(longest_timeout, MAX_COUNTED_TIMEOUT_US) + KILL_AFTER_TIMEOUT_US
        answer_by, close_by = kill_at - ANSWER_MARGIN_US, kill_at - CLOSE_MARGIN_US
        listen_until = min(now + LISTEN_TIME_US, answer_by)
        take_all_until = min(now + TAKE_ALL_TIME_US, answer_by)
        flush_until = min(listen_until + FLUSH_TIME_US, close_by)
        exit_by = kill_at - EXIT_MARGIN_US
        return cls(listen_until, take_all_until, flush_until, answer_by, close_by, exit_by)

    def peers_close_by(self, now: int) -> int:
        """Return until when peers may close if this side closes now."""
        return min(now + PEER_CLOSE_TIME_US, self.exit_by)

    def time_for_request(self, received_at: int, timeout: int, target_time: int) -> int | None:
        """Return the time in µs that a set-up may take, or None if it is to be refused without an attempt.

        After `take_all_until` it is taken only if it can still be answered in the target time of its class.
        It never waits past `answer_by`.
        """
        remaining = self.answer_by - received_at
        if received_at > self.take_all_until and remaining < min(timeout, target_time):
            return None
        return min(timeout, remaining)
