"""Reading settings: schema first, then sense; every error names its place, the value and what is allowed."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator

from mintmast import interface as api
from mintmast.config.schema import SCHEMA

MS = 1000
# what a title is where the settings say nothing
_TITLE = {
    name: each["default"]
    for name, each in SCHEMA["properties"]["titles"]["additionalProperties"]["properties"].items()
}
# a value longer than this is cut where an error shows it
_SHOWN = 80


class ConfigError(Exception):
    """The settings are wrong; `errors` holds one line for each place."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(slots=True, frozen=True)
class Title:
    """A title of the catalogue; `number` is what the module knows it by."""

    number: int
    name: str
    home: int
    copies: int
    seconds: float
    segment_s: float
    live: bool


@dataclass(slots=True)
class Config:
    """Checked settings: the module's, and the rest as read, defaults filled in."""

    raw: dict[str, Any]
    settings: api.Settings
    titles: dict[str, Title]
    classes: dict[str, int]
    tenants: dict[str, int]
    entries: tuple[api.ListEntry, ...]

    def __getitem__(self, key: str) -> Any:
        """Give a part of the settings as read."""
        return self.raw[key]


def load(path: str | Path) -> Config:
    """Read a file. Raises ConfigError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: cannot be read: {error}"]) from None
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError([f"{path}: not JSON: {error}"]) from None
    return parse(raw)


def parse(raw: Any) -> Config:
    """Check settings and build what the parts need. Raises ConfigError with all errors."""
    errors = [error_line(error) for error in Draft202012Validator(SCHEMA).iter_errors(raw)]
    if errors:
        raise ConfigError(sorted(errors))
    raw = filled(SCHEMA, raw)
    errors = list(sense(raw))
    if errors:
        raise ConfigError(errors)
    titles = {
        name: title_of(number, name, each)
        for number, (name, each) in enumerate(sorted(raw["titles"].items()))
    }
    return Config(
        raw,
        settings_of(raw),
        titles,
        {each["name"]: place for place, each in enumerate(raw["classes"])},
        {each["name"]: place for place, each in enumerate(raw["tenants"])},
        tuple(entry_of(each) for each in raw["servers"]),
    )


def error_line(error: Any) -> str:
    """Give a schema error as a line: its place, the value, what is allowed."""
    place = "/".join(str(part) for part in error.absolute_path) or "(top)"
    if error.validator == "additionalProperties":
        known = set(error.schema.get("properties", {}))
        unknown = ", ".join(sorted(set(error.instance) - known))
        return f"{place}: unknown key {unknown}; allowed: {', '.join(sorted(known))}"
    if error.validator == "required":
        return f"{place}: {error.message}"
    value = json.dumps(error.instance)
    value = value if len(value) <= _SHOWN else value[:_SHOWN] + "..."
    allowed = json.dumps(error.validator_value)
    allowed = allowed if len(allowed) <= 3 * _SHOWN else allowed[: 3 * _SHOWN] + "..."
    return f"{place}: {value} is not allowed; {error.validator}: {allowed}"


def filled(schema: dict[str, Any], value: Any) -> Any:
    """Give the value with the schema's defaults in it."""
    if schema.get("type") == "object" and isinstance(value, dict):
        known = schema.get("properties", {})
        out = {key: filled(known.get(key, {}), each) for key, each in value.items()}
        others = schema.get("additionalProperties")
        if isinstance(others, dict):
            out = {key: filled(others, each) for key, each in value.items()}
        for key, part in known.items():
            if key in out:
                continue
            if "default" in part:
                out[key] = part["default"]
            elif part.get("type") == "array":
                out[key] = []
            elif part.get("type") == "object" and not part.get("required") and "anyOf" not in part:
                out[key] = filled(part, {})
        return out
    if schema.get("type") == "array" and isinstance(value, list):
        return [filled(schema["items"], each) for each in value]
    return value


def sense(raw: dict[str, Any]) -> Iterator[str]:
    """Yield what the schema cannot say."""
    rungs = [each["kb"] for each in raw["ladder"]]
    if rungs != sorted(rungs):
        yield f"ladder: rates {rungs} are not in rising order"
    for part in ("classes", "tenants"):
        for name, times in sorted(Counter(each["name"] for each in raw[part]).items()):
            if times > 1:
                yield f"{part}: name {name} stands twice"
    for place, each in enumerate(raw["classes"]):
        if each["floor"] >= len(rungs) or each["floor"] > each["top"]:
            yield f"classes/{place}/floor: {each['floor']} is not a rung from 0 to the class's top"
        if each["deadline_ms"] <= raw["limits"]["answer_margin_ms"]:
            yield f"classes/{place}/deadline_ms: {each['deadline_ms']} is not over the answer margin"
    rows = ((each["address"], each["cell"], each["kind"]) for each in raw["servers"])
    yield from server_faults(rows, raw["fleet"])
    if "list" in raw:
        every, grace = raw["list"]["every_ms"], raw["rules"]["drain_grace_ms"]
        if raw["servers"]:
            yield "servers: stand in the file that list.file names; both cannot be given"
        if 2 * every > grace:  # a look may just have missed the change, and the next may be one turn late
            yield f"list/every_ms: twice {every} is over rules.drain_grace_ms, {grace}: drains come too late"
    if "peers" in raw:
        members = raw["peers"]["members"]
        for part in ("name", "address"):
            told = [each[part] for each in members]
            for each in sorted({each for each in told if told.count(each) > 1}):
                yield f"peers/members: {part} {each} stands twice"
        if raw["gateway"] not in [each["name"] for each in members]:
            yield f"peers/members: this gateway, {raw['gateway']}, is not among them"
        if raw["instances"] < len(members):
            yield f"instances: {raw['instances']} is under the number of peers.members, {len(members)}"
    if "configuration" in raw and "peers" not in raw:
        yield "configuration: the gateways that it is shared with stand under peers, which is missing"
    if raw["instance"] >= raw["instances"]:
        yield f"instance: {raw['instance']} is not under instances, {raw['instances']}"
    for part in ("access", "session"):
        kids = [each["kid"] for each in raw["tokens"][part]]
        if len(kids) != len(set(kids)):
            yield f"tokens/{part}: two keys of one kid"


def server_faults(rows: Iterable[tuple[str, int, int]], fleet: dict[str, Any]) -> Iterator[str]:
    """Yield what is wrong with (address, cell, kind) of servers, in the settings or in a watched file."""
    seen: dict[str, int] = {}
    cells, kinds = fleet["cells"], len(fleet["kinds"])
    for place, (address, cell, kind) in enumerate(rows):
        if address in seen:
            yield f"servers/{place}/address: {address} stands twice, it stands at servers/{seen[address]}"
        seen[address] = place
        if int(address.rpartition(":")[2]) > 65_535:
            yield f"servers/{place}/address: {address} has no such port"
        if cells and cell >= cells:
            yield f"servers/{place}/cell: {cell} is not under fleet.cells, {cells}"
        if kind >= kinds:
            yield f"servers/{place}/kind: {kind} is not a place in fleet.kinds"


def title_of(number: int, name: str, told: dict[str, Any]) -> Title:
    """Give a title as the settings have it, with the schema's defaults where they say nothing."""
    return Title(number=number, name=name, **{**_TITLE, **told})


def entry_of(each: dict[str, Any]) -> api.ListEntry:
    """Give a server of the settings as the list tells it."""
    return api.ListEntry(
        each["address"].encode(),
        api.ServerState[each["state"].upper()],
        0,
        each["cell"],
        each["zone"],
        each["kind"],
        each["weight"],
    )


def settings_of(raw: dict[str, Any]) -> api.Settings:
    """Give the module's settings of checked ones, defaults filled in."""
    fleet, rules, budget = raw["fleet"], raw["rules"], raw["rules"]["budget"]
    return api.Settings(
        instance=raw["instance"],
        instances=raw["instances"],
        zone=raw["zone"],
        classes=tuple(
            api.ServiceClass(
                effect=api.Effect[each["effect"].upper()],
                target_time=each["aim_ms"] * MS,
                deadline=each["deadline_ms"] * MS,
                worth=each["worth"],
                scale=each["scale"],
                floor=each["floor"],
                top=min(each["top"], len(raw["ladder"]) - 1),
                seats=each["seats"],
            )
            for each in raw["classes"]
        ),
        tenants=tuple(api.Tenant(each["quota_per_s"], each["share"]) for each in raw["tenants"]),
        over_share_worth=raw["over_share_worth"],
        rung_kb=tuple(each["kb"] for each in raw["ladder"]),
        rung_worth=tuple(each["worth"] for each in raw["ladder"]),
        links_kb=fleet["links_kb"],
        weight_kb=fleet["weight_kb"],
        has_weights=fleet["weights_told"],
        kind_streams=tuple(each["streams"] for each in fleet["kinds"]),
        cells=fleet["cells"],
        racks=fleet["racks"],
        uplink_kb=fleet["uplink_kb"],
        guard=fleet["guard"],
        shared_adds=1.0,
        class_is_live=tuple(False for _ in raw["classes"]),
        stall_cost=7.0,
        change_costs_s=0.5,
        note_age=fleet["note_age_ms"] * MS,
        notes_every=fleet["notes_every_ms"] * MS,
        drain_grace=rules["drain_grace_ms"] * MS,
        warm_up=rules["cold_ms"] * MS,
        warm_up_from=rules["cold_from"],
        overload_window=rules["fall_ms"] * MS,
        overload_factor=rules["fall_multiple"],
        budget=api.AttemptBudget(budget["span_ms"] * MS, budget["free"], budget["ratio"]) if budget else None,
        max_attempts=rules["max_attempts"],
        max_retry_after=rules["retry_advice_ms"] * MS,
        may_advise=rules["retry_advice_ms"] > 0,
        may_cancel=True,
        must_subscribe=False,
        load_fields=tuple(fleet["reports"]),
        cross_zone_cost=rules["cross_zone_cost"],
    )
