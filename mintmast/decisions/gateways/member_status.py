"""How a gateway of the region stands, how two words of it are merged, and what may be concluded from it.

Everything that one gateway tells of another is a `Standing`; of two, the one of the later start, then of the
higher incarnation, then of the graver state counts. That is one order over all of them, so whatever is late,
doubled, lost for a while or in another order ends in the same standing everywhere.

What others may do on it is a table, as the dangers lie there: a gateway that cannot be reached may serve its
viewers, own keys and spend budgets all the same. Silence proves nothing. States, incarnations and refutation
by the subject alone are SWIM's (Das, Gupta, Motivala 2002); `DEAD` is not, which takes time-outs for it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, IntEnum


class MemberState(IntEnum):
    """Graver states have higher numbers."""

    ALIVE = 0  # said by the gateway itself, and by nobody else
    SUSPECTED = 1  # an observer reached it neither itself nor through others
    UNREACHABLE = 2  # as many observers as there are to ask say so
    LEFT = 3  # its own word at an orderly end
    DEAD = 4  # proved; see `Proof`


@dataclass(slots=True, frozen=True, order=True)
class MemberStatus:
    """One gateway as it is told of. `start` is its process's number, 0 where none was heard of."""

    generation: int = 0
    incarnation: int = 0
    state: MemberState = MemberState.UNREACHABLE


def merge_status(first: MemberStatus, second: MemberStatus) -> MemberStatus:
    """Give what counts of two words; the order in which they came plays no part."""
    return max(first, second)


def refute(own: MemberStatus, claimed: MemberStatus) -> MemberStatus:
    """Let a gateway answer what is said of its own start: it lives, under the next incarnation."""
    if claimed.generation != own.generation or claimed <= own:
        return own
    return MemberStatus(
        own.generation, claimed.incarnation + (claimed.state is not MemberState.ALIVE), MemberState.ALIVE
    )


def apply_refusal(known: MemberStatus, generation: int) -> MemberStatus:
    """Take it that the machine took no connection when `start` was the last one known there.

    Danger: the refusal may come late, when the next process of the name answers already.
    """
    return replace(known, state=MemberState.DEAD) if generation == known.generation else known


class Liveness(Enum):
    """What a conclusion rests on."""

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
    """What may be done about a gateway, each column on its safe side."""

    is_preferred: bool  # claims and questions go to it before others
    may_vote: bool  # a vote of its may still come true
    may_own_keys: bool  # keys that it owned may be in use: they are not given to others
    may_spend_budget: bool  # it counts among those who spend what all share: budgets, cold pace
    counts_as_capacity: bool  # it counts among those who carry load
    process_ended: bool  # its process is over: what only it remembered is lost, and it will not act on it
    reason: str


MEMBER_POLICIES: dict[Liveness, MemberPolicy] = {
    Liveness.HEARD: MemberPolicy(True, True, True, True, True, False, "it says so itself"),
    Liveness.SILENT: MemberPolicy(
        False, True, True, True, True, False, "a lost message or a pause is likelier than an end"
    ),
    Liveness.CONFIRMED: MemberPolicy(
        False, True, True, True, False, False, "a cut path looks the same from here; beyond it it serves"
    ),
    Liveness.NEVER_HEARD: MemberPolicy(
        False, True, True, True, False, False, "this gateway is the new one and knows nothing"
    ),
    Liveness.LEFT: MemberPolicy(
        False, False, True, False, False, False, "it takes nothing new; what it holds plays to its end"
    ),
    Liveness.REFUSED: MemberPolicy(
        False, False, False, False, False, True, "the machine runs and has no such process"
    ),
    Liveness.LATER_START: MemberPolicy(
        False,
        False,
        False,
        False,
        False,
        True,
        "one address has one process; the new one has no memory of it",
    ),
    Liveness.ORDER: MemberPolicy(
        False,
        False,
        False,
        False,
        False,
        True,
        "who gives the order answers for it: were it alive, it might charge twice",
    ),
}


def count_live(liveness: list[Liveness]) -> tuple[int, int]:
    """Count, this gateway included, those who may spend what all share and those who can be relied on.

    Danger: a cut halves the count on both sides; were shares made of the lower one, both halves together
    would spend twice what there is.
    """
    policies = [MEMBER_POLICIES[proof] for proof in liveness]
    return 1 + sum(each.may_spend_budget for each in policies), 1 + sum(
        each.counts_as_capacity for each in policies
    )
