"""Gateways with a fault built in, for drills that must fail: `python -m mintmast.lab.mutant NAME CONFIG`."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from mintmast.decisions.gateways import members, records
from mintmast.decisions.gateways.member_status import Liveness, MemberState, MemberStatus
from mintmast.decisions.outcomes import OUTCOME_TABLE, Evidence, OutcomeRow
from mintmast.decisions.sessions import recovery
from mintmast.interface import Outcome
from mintmast.lab import disk
from mintmast.process import serve
from mintmast.store import line

_set = members.Members._set_status


def _lost_is_dead(
    self: members.Members, now: int, member: members.Member, standing: MemberStatus, proof: Liveness
) -> None:
    if proof is Liveness.CONFIRMED:
        standing, proof = replace(standing, state=MemberState.DEAD), Liveness.REFUSED
    _set(self, now, member, standing, proof)


_keep = records.RecordWriter.save


def _told_early(
    self: records.RecordWriter, now: int, kind: Any, key: str, value: Any, then: Any = None, gone: Any = None
) -> None:
    _keep(self, now, kind, key, value, None, gone)
    if then is not None:
        then(now, True)


def _no_intent(
    self: records.RecordWriter, now: int, kind: Any, key: str, value: Any, *rest: Any, **more: Any
) -> None:
    if kind is not records.RecordKind.INTENT:
        _keep(self, now, kind, key, value, *rest, **more)
    elif rest and rest[0] is not None:
        rest[0](now, True)


# rows of the outcome table that are wrong
ROWS: dict[str, dict[Evidence, OutcomeRow]] = {
    "resend-paid": {
        evidence: OutcomeRow(Outcome.CONNECT_FAILED, True, "mutation: what may have run is called never run")
        for evidence in (Evidence.CUT, Evidence.CUT_REPLY, Evidence.SILENT)
    },
    "no-claims": {},  # gateways do not know each other
}
# what is taken out of the code: where, which name, what stands there instead
FAULTS: dict[str, tuple[Any, str, Any]] = {
    "no-refutation": (members, "refute", lambda own, told: own),
    "lost-is-dead": (members.Members, "_set_status", _lost_is_dead),
    "told-early": (records.RecordWriter, "save", _told_early),
    "no-intent": (records.RecordWriter, "save", _no_intent),
    "start-from-clock": (disk, "next_generation", lambda wall, before: wall),
    "start-from-clock-real": (line, "next_generation", lambda wall, before: wall),
    "trusting": (recovery, "memory_covers", lambda clock, since: True),
}
MUTATIONS = (*ROWS, *FAULTS)


def mutated(name: str | None) -> dict[Evidence, OutcomeRow] | None:
    """Give the outcome table with a mutation in it, None where the table is whole."""
    return {**OUTCOME_TABLE, **ROWS[name]} if name in ROWS else None


@contextmanager
def built_in(name: str | None) -> Iterator[None]:
    """Build a fault into the code for a while."""
    if name not in FAULTS:
        yield
        return
    where, what, wrong = FAULTS[name]
    right: Callable[..., Any] = getattr(where, what)
    setattr(where, what, wrong)
    try:
        yield
    finally:
        setattr(where, what, right)


if __name__ == "__main__":
    with built_in(sys.argv[1]):
        sys.exit(serve(sys.argv[2], mutated(sys.argv[1])))
