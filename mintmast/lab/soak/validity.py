"""Decides whether a run of the soak says anything about the gateways although its stand-ins ran late.

Late stand-ins see an answer or a set-up later than it came, so that a rule can seem broken that the gateway
kept. They cannot make a broken rule seem kept, unless an act that excuses the gateway is late as well: a
SIGKILL that comes late gives it more time to answer, and a set-up that is read after its host has come back
from a drain counts as allowed.
"""

from __future__ import annotations

from mintmast.lab.soak.records import Records
from mintmast.lab.soak.schedule import MS

# µs by which the stand-ins may be late in any run: half of the shortest time that the audit judges by
MAX_STALL_US = 50 * MS
# µs beyond which a run is void whatever it shows, as faults and viewers no longer keep to the schedule: the
# shortest time from a process's end to its successor
MAX_HARMLESS_STALL_US = 250 * MS


def is_void(records: Records, is_broken: bool) -> bool:
    """Return whether the stand-ins were so late that neither a broken nor a kept rule is certain."""
    if records.longest_stall <= MAX_STALL_US:
        return False
    is_excuse_late = records.longest_excuse_delay > MAX_STALL_US
    return is_broken or is_excuse_late or records.longest_stall > MAX_HARMLESS_STALL_US
