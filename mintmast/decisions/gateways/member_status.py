"""The status of one gateway as others report it, how two reports are merged, and what each state permits.

Every report about a gateway is a `MemberStatus`. Of two reports the one with the later generation wins, then
the one with the higher incarnation, then the one with the more severe state. This is a total order, so
delayed, duplicated, lost and reordered messages all converge on the same status at every gateway.

What other gateways may do in each state is a table, `MEMBER_POLICIES`, because that is where the risks are:
an unreachable gateway may still serve its viewers, own keys and spend shared budgets. Silence proves nothing.
States, incarnations and refutation by the subject alone follow SWIM (Das, Gupta, Motivala 2002). `DEAD` does
not: SWIM declares it after a timeout, here it takes proof that the process has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, IntEnum


class MemberState(IntEnum):
    """State of a member. More severe states have higher numbers."""

    ALIVE = 0  # only the gateway itself announces this
    SUSPECTED = 1  # an observer reached it neither directly nor through other gateways
    UNREACHABLE = 2  # confirmed by as many observers as are required
    LEFT = 3  # it announced an orderly shutdown
    DEAD = 4  # proven; see `Liveness`


@dataclass(slots=True, frozen=True, order=True)
class MemberStatus:
    """A gateway's status as reported. `generation` identifies its process, 0 where none is known yet."""

    generation: int = 0
    incarnation: int = 0
    state: MemberState = MemberState.UNREACHABLE


def merge_status(first: MemberStatus, second: MemberStatus) -> MemberStatus:
    """Return the report that takes precedence, whatever order the two arrived in."""
    return max(first, second)


def refute(own: MemberStatus, claimed: MemberStatus) -> MemberStatus:
    """Return a gateway's own status after a report about it: alive, above what it must refute."""
    if claimed.generation != own.generation or claimed <= own:
        return own
    return MemberStatus(
        own.generation, claimed.incarnation + (claimed.state is not MemberState.ALIVE), MemberState.ALIVE
    )


def apply_refusal(known: MemberStatus, generation: int) -> MemberStatus:
    """Mark a member dead if its machine refused a connection while `generation` was the last one known there.

    The generation is checked because a refusal may arrive late, when the next process already answers.
    """
    return replace(known, state=MemberState.DEAD) if generation == known.generation else known


class Liveness(Enum):
    """What a gateway believes about a member, named by the evidence for it."""

    HEARD = "it answers"
    SILENT = "one observer hears nothing"
    CONFIRMED = "several observers hear nothing"
    NEVER_HEARD = "not heard since this gateway started"
    LEFT = "it said that it ends"
    REFUSED = "its machine refuses connections at its address, and nothing is heard of it"
    LATER_START = "a later start of the same name answers"
    ORDER = "an operator says that it is gone for good"


@dataclass(slots=True, frozen=True)
class MemberPolicy:
    """What other gateways may assume about a member. Each field errs on its safe side."""

    is_preferred: bool  # claims and requests go to it before others
    may_vote: bool  # a vote of it may still arrive
    may_own_keys: bool  # keys that it owned may be in use, so nobody else gets them
    may_spend_budget: bool  # it counts when budgets and the slow-start rate are shared out
    counts_as_capacity: bool  # it counts among those that carry load
    # its process has ended: what was only in its memory is lost, and it will act on nothing
    process_ended: bool
    reason: str


MEMBER_POLICIES: dict[Liveness, MemberPolicy] = {
    Liveness.HEARD: MemberPolicy(True, True, True, True, True, False, "it announces itself"),
    Liveness.SILENT: MemberPolicy(
        False, True, True, True, True, False, "a lost message or a pause is likelier than its end"
    ),
    Liveness.CONFIRMED: MemberPolicy(
        False, True, True, True, False, False, "behind a broken path, which looks the same, it serves"
    ),
    Liveness.NEVER_HEARD: MemberPolicy(
        False, True, True, True, False, False, "this gateway has just started and knows nothing about it"
    ),
    Liveness.LEFT: MemberPolicy(
        False, False, True, False, False, False, "it accepts no new work; its sessions play to their end"
    ),
    Liveness.REFUSED: MemberPolicy(
        False, False, False, False, False, True, "its machine runs, and no process listens there"
    ),
    Liveness.LATER_START: MemberPolicy(
        False,
        False,
        False,
        False,
        False,
        True,
        "an address has one process; the new one knows nothing of the old",
    ),
    Liveness.ORDER: MemberPolicy(
        False,
        False,
        False,
        False,
        False,
        True,
        "the operator is responsible: if it were alive, viewers might be charged twice",
    ),
}


def count_live(liveness: list[Liveness]) -> tuple[int, int]:
    """Count the gateways, this one included, that may spend shared budgets and those that carry load.

    The two counts differ because a network partition halves the second one on both sides. If budgets were
    divided by it, both halves together would spend twice the budget.
    """
    policies = [MEMBER_POLICIES[proof] for proof in liveness]
    return 1 + sum(each.may_spend_budget for each in policies), 1 + sum(
        each.counts_as_capacity for each in policies
    )
