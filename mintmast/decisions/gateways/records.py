"""What a gateway keeps over its death, when it must be on disk, and what a start may conclude from it.

Each row of `WHEN` names what must not happen before the record is durable, and the danger if it did. What
waits for nothing costs service when it is lost, never a second charge.

Times are kept as time that gateways of this name have run, so that neither a wall clock that jumps nor a
long death ends a record early: a record is kept longer by all the time that nobody ran.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.witness import Record

# µs of running after which the clock is written again; a start loses so much at most, that is, keeps longer
CLOCK_EVERY = 60_000_000


class Kind(Enum):
    """What a record is about."""

    LIFE = "life"
    WHOLE = "whole"
    GRANT = "grant"
    ASIDE = "aside"
    INTENT = "intent"
    DRAIN = "drain"
    MEMBER = "member"
    CLOCK = "clock"


@dataclass(slots=True, frozen=True)
class When:
    """What a record comes before, if anything, and why."""

    before: str
    danger: str


WHEN: dict[Kind, When] = {
    Kind.LIFE: When(
        "the first word under its start",
        "two lives of one number: epochs, fences and words of the first would pass for the second's",
    ),
    Kind.WHOLE: When(
        "",
        "not written: the next start asks the others; written too early it would trust what is not all",
    ),
    Kind.GRANT: When(
        "the vote is told",
        "a vote that its witness forgets may be given again to another claim: a second charge",
    ),
    Kind.ASIDE: When(
        "the word is sent",
        "another vouches for what this gateway granted, and the next life votes as if it had not promised",
    ),
    Kind.INTENT: When(
        "the first byte of a paid set-up leaves; nothing where it is free",
        "the next life takes for unspent what may have run; with one gateway alone that is a second charge",
    ),
    Kind.DRAIN: When(
        "the operator hears that the order is taken", "the next life sets up at a host that is to be emptied"
    ),
    Kind.MEMBER: When("", "the next life waits again for one of which an operator said that it is gone"),
    Kind.CLOCK: When("", "records are kept longer than they need be"),
}


class Kept(msgspec.Struct, frozen=True, gc=False):
    """One record as it is stored; `value` None takes it out."""

    kind: str
    key: str
    value: bytes | None


def kept(kind: Kind, key: str, value: object) -> Kept:
    """Give a record as it is stored."""
    return Kept(kind.value, key, msgspec.msgpack.encode(value))


class Write(msgspec.Struct, frozen=True, gc=False):
    """To the store: make these durable; with a `token`, `Written(token)` tells the end."""

    records: tuple[Kept, ...]
    token: int = 0


class Written(msgspec.Struct, frozen=True, gc=False):
    """The store: what was written under `token` is durable, or (not `good`) may be lost."""

    token: int
    good: bool


class Grant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A witness's record of a key; `until` in µs of running."""

    owner: str
    number: int
    until: int
    released: tuple[tuple[str, int], ...] = ()


class Intent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A session that is set up or was; `until` in µs of running.

    `owner` and `number` are its claim's, `clock` the last reading of the host's clock (µs, -1 for none) heard
    before the set-up left. With `over` it may have run and nothing is to be asked any more. Paid ones stand
    under their key's digest, `free` ones under their names.
    """

    until: int
    key: str
    session: str  # its name on wires
    server: str
    epoch: int
    clock: int
    rung: int
    service: str
    tenant: str
    title: str
    best_rung: int
    length: int
    home: int
    copies: int
    free: bool
    owner: str = ""
    number: int = 0
    over: bool = False


_GRANTS = msgspec.msgpack.Decoder(Grant)
_INTENTS = msgspec.msgpack.Decoder(Intent)


@dataclass(slots=True)
class Recovered:
    """What a start has from before. `life` is the last start, 0 for none; `faults`, what was left out."""

    life: int = 0
    marked: bool = False  # a life before knew all that it and those before it had granted
    ran: int = 0  # µs
    grants: dict[str, tuple[Record, int]] = field(default_factory=dict)  # and µs still kept
    aside: dict[str, frozenset[str]] = field(default_factory=dict)
    intents: dict[str, tuple[Intent, int]] = field(default_factory=dict)  # by digest, and µs still kept
    drains: dict[str, int | None] = field(default_factory=dict)  # until when (µs of running) to be empty
    members: dict[str, tuple[int, bool]] = field(default_factory=dict)  # last start, and whether forgotten
    faults: list[str] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Tell whether it may be taken for all that was ever told as durable."""
        return self.marked and self.life > 0 and not self.faults


def recover(rows: Iterable[Kept]) -> Recovered:
    """Read what was kept. A record that does not make sense makes the whole of it doubtful, never a crash."""
    found = Recovered()
    grants: dict[str, Grant] = {}
    intents: dict[str, Intent] = {}
    for row in rows:
        try:
            if row.value is None:
                raise ValueError("no value")
            if row.kind == Kind.GRANT.value:  # a million of them at a start
                grants[row.key] = _GRANTS.decode(row.value)
                continue
            match Kind(row.kind):
                case Kind.LIFE:
                    found.life = max(found.life, msgspec.msgpack.decode(row.value, type=int))
                case Kind.WHOLE:
                    found.marked = True
                case Kind.CLOCK:
                    found.ran = max(found.ran, msgspec.msgpack.decode(row.value, type=int))
                case Kind.INTENT:
                    intents[row.key] = _INTENTS.decode(row.value)
                case Kind.DRAIN:
                    found.drains[row.key] = msgspec.msgpack.decode(row.value, type=int | None)
                case Kind.MEMBER:
                    found.members[row.key] = msgspec.msgpack.decode(row.value, type=tuple[int, bool])
                case Kind.ASIDE:
                    names = msgspec.msgpack.decode(row.value, type=tuple[str, ...])
                    found.aside[row.key] = frozenset(names)
        except (msgspec.MsgspecError, ValueError) as error:
            found.faults.append(f"{row.kind} {row.key[:64]}: {error}")
    for digest, grant in grants.items():
        if grant.until > found.ran:
            record = Record(grant.owner, grant.number, grant.released)
            found.grants[digest] = record, grant.until - found.ran
    for digest, intent in intents.items():
        if intent.until > found.ran:
            found.intents[digest] = intent, intent.until - found.ran
    return found


def next_life(wall_ms: int, before: int) -> int:
    """Give a start's number: the clock's, but never again one that was given; both in ms since 1970."""
    return max(wall_ms, before + 1)


class Keeper:
    """Holds back what must not be told before its record is on disk; without a store nothing waits."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self.on = False
        self._began = self._ran = self._told = 0
        self._count = 0
        self._waiting: dict[int, Callable[[int, bool], None]] = {}

    def begin(self, now: int, ran: int) -> None:
        """Start to keep, after so many µs that earlier lives ran."""
        self.on, self._began, self._ran, self._told = True, now, ran, ran

    def ran(self, now: int) -> int:
        """Give µs that gateways of this name have run."""
        return self._ran + now - self._began

    def keep(
        self,
        now: int,
        kind: Kind,
        key: str,
        value: object,
        then: Callable[[int, bool], None] | None = None,
        gone: bool | None = None,
    ) -> None:
        """Write a record, or take it out; `then(now, good)` hears that it is durable, or may be lost.

        A value of None takes it out, where `gone` does not say otherwise.
        """
        if not self.on:
            if then is not None:
                then(now, True)
            return
        gone = value is None if gone is None else gone
        records = [Kept(kind.value, key, None if gone else msgspec.msgpack.encode(value))]
        if self.ran(now) - self._told >= CLOCK_EVERY:
            self._told = self.ran(now)
            records.append(kept(Kind.CLOCK, "", self._told))
        token = 0
        if then is not None:
            self._count += 1
            token = self._count
            self._waiting[token] = then
        self._emit(Write(tuple(records), token))

    def written(self, now: int, event: Written) -> None:
        """Go on with what waited."""
        then = self._waiting.pop(event.token, None)
        if then is not None:
            then(now, event.good)
