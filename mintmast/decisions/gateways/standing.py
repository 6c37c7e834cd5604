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


class State(IntEnum):
    """Graver states have higher numbers."""

    ALIVE = 0  # said by the gateway itself, and by nobody else
    SUSPECTED = 1  # an observer reached it neither itself nor through others
    UNREACHABLE = 2  # as many observers as there are to ask say so
    LEFT = 3  # its own word at an orderly end
    DEAD = 4  # proved; see `Proof`


@dataclass(slots=True, frozen=True, order=True)
class Standing:
    """One gateway as it is told of. `start` is its process's number, 0 where none was heard of."""

    start: int = 0
    incarnation: int = 0
    state: State = State.UNREACHABLE


def merge(one: Standing, other: Standing) -> Standing:
    """Give what counts of two words; the order in which they came plays no part."""
    return max(one, other)


def refuted(own: Standing, told: Standing) -> Standing:
    """Let a gateway answer what is said of its own start: it lives, under the next incarnation."""
    if told.start != own.start or told <= own:
        return own
    return Standing(own.start, told.incarnation + (told.state is not State.ALIVE), State.ALIVE)


def refused(held: Standing, start: int) -> Standing:
    """Take it that the machine took no connection when `start` was the last one known there.

    Danger: the refusal may come late, when the next process of the name answers already.
    """
    return replace(held, state=State.DEAD) if start == held.start else held


class Proof(Enum):
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
class Conclusion:
    """What may be done about a gateway, each column on its safe side."""

    asked_first: bool  # claims and questions go to it before others
    may_vote: bool  # a vote of its may still come true
    may_own: bool  # keys that it owned may be in use: they are not given to others
    may_spend: bool  # it counts among those who spend what all share: budgets, cold pace
    relied_on: bool  # it counts among those who carry load
    gone: bool  # its process is over: what only it remembered is lost, and it will not act on it
    reason: str


CONCLUSIONS: dict[Proof, Conclusion] = {
    Proof.HEARD: Conclusion(True, True, True, True, True, False, "it says so itself"),
    Proof.SILENT: Conclusion(
        False, True, True, True, True, False, "a lost message or a pause is likelier than an end"
    ),
    Proof.CONFIRMED: Conclusion(
        False, True, True, True, False, False, "a cut path looks the same from here; beyond it it serves"
    ),
    Proof.NEVER_HEARD: Conclusion(
        False, True, True, True, False, False, "this gateway is the new one and knows nothing"
    ),
    Proof.LEFT: Conclusion(
        False, False, True, False, False, False, "it takes nothing new; what it holds plays to its end"
    ),
    Proof.REFUSED: Conclusion(
        False, False, False, False, False, True, "the machine runs and has no such process"
    ),
    Proof.LATER_START: Conclusion(
        False,
        False,
        False,
        False,
        False,
        True,
        "one address has one process; the new one has no memory of it",
    ),
    Proof.ORDER: Conclusion(
        False,
        False,
        False,
        False,
        False,
        True,
        "who gives the order answers for it: were it alive, it might charge twice",
    ),
}


def live_counts(proofs: list[Proof]) -> tuple[int, int]:
    """Count, this gateway included, those who may spend what all share and those who can be relied on.

    Danger: a cut halves the count on both sides; were shares made of the lower one, both halves together
    would spend twice what there is.
    """
    told = [CONCLUSIONS[proof] for proof in proofs]
    return 1 + sum(each.may_spend for each in told), 1 + sum(each.relied_on for each in told)
