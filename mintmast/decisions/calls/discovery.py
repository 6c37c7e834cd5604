"""Times of the calls to the platform's change log."""

from __future__ import annotations

from mintmast.decisions.hedged_calls import CallTiming

CHANGE_LOG_TIMING = CallTiming(
    # the log sends a comment every second, and the platform expects each change to be known within 4 s
    silence_timeout=2_200_000,
    connect_timeout=250_000,
    retry_delay=20_000,
    max_retry_delay=500_000,
)
