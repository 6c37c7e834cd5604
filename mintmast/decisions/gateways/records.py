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

from mintmast.decisions.gateways.witness import ClaimRecord

# µs of running after which the clock is written again; a start loses so much at most, that is, keeps longer
CLOCK_SAVE_INTERVAL_US = 60_000_000


class RecordKind(Enum):
    """What a record is about."""

    GENERATION = "life"
    COMPLETE = "whole"
    GRANT = "grant"
    EXCLUSIONS = "aside"
    INTENT = "intent"
    DRAIN = "drain"
    MEMBER = "member"
    CLOCK = "clock"


@dataclass(slots=True, frozen=True)
class DurabilityRule:
    """What a record comes before, if anything, and why."""

    must_precede: str
    risk: str


DURABILITY_RULES: dict[RecordKind, DurabilityRule] = {
    RecordKind.GENERATION: DurabilityRule(
        "the first word under its start",
        "two lives of one number: epochs, fences and words of the first would pass for the second's",
    ),
    RecordKind.COMPLETE: DurabilityRule(
        "",
        "not written: the next start asks the others; written too early it would trust what is not all",
    ),
    RecordKind.GRANT: DurabilityRule(
        "the vote is told",
        "a vote that its witness forgets may be given again to another claim: a second charge",
    ),
    RecordKind.EXCLUSIONS: DurabilityRule(
        "the word is sent",
        "another vouches for what this gateway granted, and the next life votes as if it had not promised",
    ),
    RecordKind.INTENT: DurabilityRule(
        "the first byte of a paid set-up leaves; nothing where it is free",
        "the next life takes for unspent what may have run; with one gateway alone that is a second charge",
    ),
    RecordKind.DRAIN: DurabilityRule(
        "the operator hears that the order is taken", "the next life sets up at a host that is to be emptied"
    ),
    RecordKind.MEMBER: DurabilityRule(
        "", "the next life waits again for one of which an operator said that it is gone"
    ),
    RecordKind.CLOCK: DurabilityRule("", "records are kept longer than they need be"),
}


class StoredRecord(msgspec.Struct, frozen=True, gc=False):
    """One record as it is stored; `value` None takes it out."""

    kind: str
    key: str
    value: bytes | None


def encode_record(kind: RecordKind, key: str, value: object) -> StoredRecord:
    """Give a record as it is stored."""
    return StoredRecord(kind.value, key, msgspec.msgpack.encode(value))


class WriteRecords(msgspec.Struct, frozen=True, gc=False):
    """To the store: make these durable; with a `token`, `Written(token)` tells the end."""

    records: tuple[StoredRecord, ...]
    token: int = 0


class RecordsWritten(msgspec.Struct, frozen=True, gc=False):
    """The store: what was written under `token` is durable, or (not `good`) may be lost."""

    token: int
    is_durable: bool


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
class RecoveredState:
    """What a start has from before. `life` is the last start, 0 for none; `faults`, what was left out."""

    generation: int = 0
    marked_complete: bool = False  # a life before knew all that it and those before it had granted
    runtime: int = 0  # µs
    grants: dict[str, tuple[ClaimRecord, int]] = field(default_factory=dict)  # and µs still kept
    exclusions: dict[str, frozenset[str]] = field(default_factory=dict)
    intents: dict[str, tuple[Intent, int]] = field(default_factory=dict)  # by digest, and µs still kept
    drains: dict[str, int | None] = field(default_factory=dict)  # until when (µs of running) to be empty
    members: dict[str, tuple[int, bool]] = field(default_factory=dict)  # last start, and whether forgotten
    faults: list[str] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Tell whether it may be taken for all that was ever told as durable."""
        return self.marked_complete and self.generation > 0 and not self.faults


def recover_state(rows: Iterable[StoredRecord]) -> RecoveredState:
    """Read what was kept. A record that does not make sense makes the whole of it doubtful, never a crash."""
    found = RecoveredState()
    grants: dict[str, Grant] = {}
    intents: dict[str, Intent] = {}
    for row in rows:
        try:
            if row.value is None:
                raise ValueError("no value")
            if row.kind == RecordKind.GRANT.value:  # a million of them at a start
                grants[row.key] = _GRANTS.decode(row.value)
                continue
            match RecordKind(row.kind):
                case RecordKind.GENERATION:
                    found.generation = max(found.generation, msgspec.msgpack.decode(row.value, type=int))
                case RecordKind.COMPLETE:
                    found.marked_complete = True
                case RecordKind.CLOCK:
                    found.runtime = max(found.runtime, msgspec.msgpack.decode(row.value, type=int))
                case RecordKind.INTENT:
                    intents[row.key] = _INTENTS.decode(row.value)
                case RecordKind.DRAIN:
                    found.drains[row.key] = msgspec.msgpack.decode(row.value, type=int | None)
                case RecordKind.MEMBER:
                    found.members[row.key] = msgspec.msgpack.decode(row.value, type=tuple[int, bool])
                case RecordKind.EXCLUSIONS:
                    names = msgspec.msgpack.decode(row.value, type=tuple[str, ...])
                    found.exclusions[row.key] = frozenset(names)
        except (msgspec.MsgspecError, ValueError) as error:
            found.faults.append(f"{row.kind} {row.key[:64]}: {error}")
    for digest, grant in grants.items():
        if grant.until > found.runtime:
            record = ClaimRecord(grant.owner, grant.number, grant.released)
            found.grants[digest] = record, grant.until - found.runtime
    for digest, intent in intents.items():
        if intent.until > found.runtime:
            found.intents[digest] = intent, intent.until - found.runtime
    return found


def next_generation(wall_ms: int, before: int) -> int:
    """Give a start's number: the clock's, but never again one that was given; both in ms since 1970."""
    return max(wall_ms, before + 1)


class RecordWriter:
    """Holds back what must not be told before its record is on disk; without a store nothing waits."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self.enabled = False
        self._started_at = self._earlier_runtime = self._clock_saved_at = 0
        self._last_token = 0
        self._callbacks: dict[int, Callable[[int, bool], None]] = {}

    def start(self, now: int, ran: int) -> None:
        """Start to keep, after so many µs that earlier lives ran."""
        self.enabled, self._started_at, self._earlier_runtime, self._clock_saved_at = True, now, ran, ran

    def runtime(self, now: int) -> int:
        """Give µs that gateways of this name have run."""
        return self._earlier_runtime + now - self._started_at

    def save(
        self,
        now: int,
        kind: RecordKind,
        key: str,
        value: object,
        then: Callable[[int, bool], None] | None = None,
        delete: bool | None = None,
    ) -> None:
        """Write a record, or take it out; `then(now, good)` hears that it is durable, or may be lost.

        A value of None takes it out, where `gone` does not say otherwise.
        """
        if not self.enabled:
            if then is not None:
                then(now, True)
            return
        delete = value is None if delete is None else delete
        records = [StoredRecord(kind.value, key, None if delete else msgspec.msgpack.encode(value))]
        if self.runtime(now) - self._clock_saved_at >= CLOCK_SAVE_INTERVAL_US:
            self._clock_saved_at = self.runtime(now)
            records.append(encode_record(RecordKind.CLOCK, "", self._clock_saved_at))
        token = 0
        if then is not None:
            self._last_token += 1
            token = self._last_token
            self._callbacks[token] = then
        self._emit(WriteRecords(tuple(records), token))

    def handle_written(self, now: int, event: RecordsWritten) -> None:
        """Go on with what waited."""
        then = self._callbacks.pop(event.token, None)
        if then is not None:
            then(now, event.is_durable)
