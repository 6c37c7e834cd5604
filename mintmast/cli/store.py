"""`mintmast store`: look at what a gateway keeps, check it, compact it, write it out; the gateway is down."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from mintmast.decisions.gateways.records import Grant, Intent, RecordKind, StoredRecord, recover_state
from mintmast.store import Engine, StoreError


def _read(row: StoredRecord) -> Any:
    """Give a record's value as it is told to people."""
    if row.value is None:
        return None
    if row.kind == RecordKind.GRANT.value:
        grant = msgspec.msgpack.decode(row.value, type=Grant)
        told = {"owner": grant.owner, "number": grant.number, "until_us": grant.until}
        return {**told, "released": grant.released}
    if row.kind == RecordKind.INTENT.value:
        return msgspec.structs.asdict(msgspec.msgpack.decode(row.value, type=Intent))
    return msgspec.msgpack.decode(row.value)


def store(what: str, path: str) -> int:
    """Do one of inspect, verify, compact, export; 0 good, 1 faults found, 2 the file cannot be used."""
    try:
        if not Path(path).is_file():
            raise StoreError(f"{path}: there is no such file")
        engine = Engine(path, "", read_only=what != "compact")
    except StoreError as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 2
    try:
        return {"inspect": _inspect, "verify": _verify, "compact": _compact, "export": _export}[what](engine)
    except (StoreError, msgspec.MsgspecError) as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 1
    finally:
        engine.close()


def _inspect(engine: Engine) -> int:
    rows = list(engine.rows())
    found = recover_state(rows)
    print(f"gateway {engine.gateway}; last start {found.generation}; ran {found.runtime / 3.6e9:.2f} hours")
    print("a start may vote by it" if found.is_complete else "a start asks the others first")
    for kind, count in sorted(Counter(row.kind for row in rows).items()):
        print(f"{kind}: {count}")
    open_ = sum(not intent.over for intent, _ in found.intents.values())
    print(f"sessions that a start asks hosts after: {open_}")
    return 0


def _verify(engine: Engine) -> int:
    faults = engine.verify() + [
        f"does not make sense: {each}" for each in recover_state(engine.rows()).faults
    ]
    print("\n".join(faults) or "whole")
    return 1 if faults else 0


def _compact(engine: Engine) -> int:
    engine.compact()
    return 0


def _export(engine: Engine) -> int:
    for row in engine.rows():
        line = {"kind": row.kind, "key": row.key, "value": _read(row)}
        print(msgspec.json.encode(line).decode())
    return 0
