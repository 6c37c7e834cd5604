"""Durable records of a gateway: when each must be on disk, and what a restart may conclude from them.

Each row of `DURABILITY_RULES` names what must not happen before the record is durable, and the risk if it
did. Losing a record that nothing waits for costs service, never a second charge.

Times are stored as total runtime of the processes of this name, so that neither a jump of the wall clock nor
a long outage expires a record early: records live longer by all the time in which no process ran.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from mintmast.decisions.gateways.witness import ClaimRecord

# µs of runtime after which the clock is saved again; a restart loses at most so much and keeps records longer
CLOCK_SAVE_INTERVAL_US = 60_000_000


class RecordKind(Enum):
    """Subject of a record."""

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
    """What must not happen before a record is durable, "" for nothing, and the risk if it did."""

    must_precede: str
    risk: str


DURABILITY_RULES: dict[RecordKind, DurabilityRule] = {
    RecordKind.GENERATION: DurabilityRule(
        "the first message under its generation",
        "two runs of one generation: epochs, fences and messages of the first would pass for the second's",
    ),
    RecordKind.COMPLETE: DurabilityRule(
        "",
        "lost: the next start asks the others; written too early: a start trusts incomplete records",
    ),
    RecordKind.GRANT: DurabilityRule(
        "the vote is sent",
        "a witness that forgets its vote may vote again for another claim: a second charge",
    ),
    RecordKind.EXCLUSIONS: DurabilityRule(
        "the exclusions are sent",
        "a peer vouches for this gateway's grants; the next generation votes as if it had excluded nobody",
    ),
    RecordKind.INTENT: DurabilityRule(
        "the first byte of a paid set-up is sent; nothing if it is free",
        "the next generation takes a used key for unused; with a single gateway that is a second charge",
    ),
    RecordKind.DRAIN: DurabilityRule(
        "the operator gets the confirmation", "the next generation sets up sessions at a host to be emptied"
    ),
    RecordKind.MEMBER: DurabilityRule(
        "", "the next generation waits again for a gateway that an operator declared gone"
    ),
    RecordKind.CLOCK: DurabilityRule("", "records are kept longer than needed"),
}


class StoredRecord(msgspec.Struct, frozen=True, gc=False):
    """One record as it is stored; a `value` of None deletes it."""

    kind: str
    key: str
    value: bytes | None


def encode_record(kind: RecordKind, key: str, value: object) -> StoredRecord:
    """Return a record as it is stored."""
    return StoredRecord(kind.value, key, msgspec.msgpack.encode(value))


class WriteRecords(msgspec.Struct, frozen=True, gc=False):
    """To the store: make these durable; if `token` is set, `RecordsWritten(token)` follows."""

    records: tuple[StoredRecord, ...]
    token: int = 0


class RecordsWritten(msgspec.Struct, frozen=True, gc=False):
    """From the store: the write of `token` ended; what is not `is_durable` may be lost."""

    token: int
    is_durable: bool


class Grant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A witness's record of a key; `until` is in µs of runtime."""

    owner: str
    number: int
    until: int
    released: tuple[tuple[str, int], ...] = ()


class Intent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A session that is being set up or was; `until` is in µs of runtime.

    `owner` and `number` are its claim's; `clock` is the last reading of the host's clock (µs, -1 for none)
    received before the set-up was sent. With `over` it may have run and the host need not be asked any more.
    Paid sessions are stored under their key's digest, `free` ones under their names.
    """

    until: int
    key: str
    session: str  # its name towards hosts and viewers
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
    """State recovered at a start; `faults` lists malformed records."""

    generation: int = 0  # the latest one, 0 for none
    marked_complete: bool = False  # some generation knew all grants of itself and of those before it
    runtime: int = 0  # µs
    grants: dict[str, tuple[ClaimRecord, int]] = field(default_factory=dict)  # and µs until it expires
    exclusions: dict[str, frozenset[str]] = field(default_factory=dict)
    intents: dict[str, tuple[Intent, int]] = field(default_factory=dict)  # by digest, and µs until it expires
    drains: dict[str, int | None] = field(default_factory=dict)  # deadline (µs of runtime) to be empty
    members: dict[str, tuple[int, bool]] = field(default_factory=dict)  # generation, whether declared gone
    faults: list[str] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Return whether the records may be taken for everything that was ever confirmed as durable."""
        return self.marked_complete and self.generation > 0 and not self.faults


def recover_state(rows: Iterable[StoredRecord]) -> RecoveredState:
    """Decode stored records; a malformed one is listed in `faults`, never raised."""
    state = RecoveredState()
    grants: dict[str, Grant] = {}
    intents: dict[str, Intent] = {}
    for row in rows:
        try:
            if row.value is None:
                raise ValueError("no value")
            if row.kind == RecordKind.GRANT.value:  # there may be a million of them
                grants[row.key] = _GRANTS.decode(row.value)
                continue
            match RecordKind(row.kind):
                case RecordKind.GENERATION:
                    state.generation = max(state.generation, msgspec.msgpack.decode(row.value, type=int))
                case RecordKind.COMPLETE:
                    state.marked_complete = True
                case RecordKind.CLOCK:
                    state.runtime = max(state.runtime, msgspec.msgpack.decode(row.value, type=int))
                case RecordKind.INTENT:
                    intents[row.key] = _INTENTS.decode(row.value)
                case RecordKind.DRAIN:
                    state.drains[row.key] = msgspec.msgpack.decode(row.value, type=int | None)
                case RecordKind.MEMBER:
                    state.members[row.key] = msgspec.msgpack.decode(row.value, type=tuple[int, bool])
                case RecordKind.EXCLUSIONS:
                    names = msgspec.msgpack.decode(row.value, type=tuple[str, ...])
                    state.exclusions[row.key] = frozenset(names)
        except (msgspec.MsgspecError, ValueError) as error:
            state.faults.append(f"{row.kind} {row.key[:64]}: {error}")
    for digest, grant in grants.items():
        if grant.until > state.runtime:
            record = ClaimRecord(grant.owner, grant.number, grant.released)
            state.grants[digest] = record, grant.until - state.runtime
    for digest, intent in intents.items():
        if intent.until > state.runtime:
            state.intents[digest] = intent, intent.until - state.runtime
    return state


def next_generation(wall_ms: int, latest: int) -> int:
    """Return a new generation: the wall clock's, but never one already used; both in ms since 1970."""
    return max(wall_ms, latest + 1)


class RecordWriter:
    """Writes records and calls back once they are durable; without a store it calls back at once."""

    def __init__(self, emit: Callable[[object], None]) -> None:
        self._emit = emit
        self.enabled = False
        self._started_at = self._earlier_runtime = self._clock_saved_at = 0
        self._last_token = 0
        self._callbacks: dict[int, Callable[[int, bool], None]] = {}

    def start(self, now: int, earlier_runtime: int) -> None:
        """Start writing, after earlier generations ran for `earlier_runtime` µs."""
        self.enabled, self._started_at, self._earlier_runtime, self._clock_saved_at = (
            True,
            now,
            earlier_runtime,
            earlier_runtime,
        )

    def runtime(self, now: int) -> int:
        """Return the total runtime in µs of the processes of this name."""
        return self._earlier_runtime + now - self._started_at

    def save(
        self,
        now: int,
        kind: RecordKind,
        key: str,
        value: object,
        on_done: Callable[[int, bool], None] | None = None,
        delete: bool | None = None,
    ) -> None:
        """Write or delete a record; `on_done(now, is_durable)` is called when that is durable or may be lost.

        A value of None deletes the record, unless `delete` says otherwise.
        """
        if not self.enabled:
            if on_done is not None:
                on_done(now, True)
            return
        delete = value is None if delete is None else delete
        records = [StoredRecord(kind.value, key, None if delete else msgspec.msgpack.encode(value))]
        if self.runtime(now) - self._clock_saved_at >= CLOCK_SAVE_INTERVAL_US:
            self._clock_saved_at = self.runtime(now)
            records.append(encode_record(RecordKind.CLOCK, "", self._clock_saved_at))
        token = 0
        if on_done is not None:
            self._last_token += 1
            token = self._last_token
            self._callbacks[token] = on_done
        self._emit(WriteRecords(tuple(records), token))

    def handle_written(self, now: int, event: RecordsWritten) -> None:
        """Call back whoever waits for this write."""
        on_done = self._callbacks.pop(event.token, None)
        if on_done is not None:
            on_done(now, event.is_durable)
