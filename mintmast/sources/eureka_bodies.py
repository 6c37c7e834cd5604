"""Parser of the bodies of Eureka's REST operations: applications and their instances, as JSON or XML.

Sizes and types are not trusted.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

import msgspec
from lxml import etree

from mintmast.decisions.hosts.registry import Instance

# bytes of a body, as sent and unpacked: 10,000 instances are some 15 MB of JSON
MAX_BODY_BYTES = 64 << 20
# errors that an invalid body causes
_BODY_ERRORS = (
    msgspec.DecodeError,
    etree.XMLSyntaxError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
    ValueError,
)


class RegistryError(Exception):
    """A reply of a registry that cannot be read."""


@dataclass(slots=True, frozen=True)
class InstanceChange:
    """One instance of a reply; `action` is ADDED, MODIFIED or DELETED."""

    action: str
    instance: Instance


@dataclass(slots=True, frozen=True)
class Applications:
    """A reply's instances, the registry's hash of all its instances, and why instances were left out."""

    changes: tuple[InstanceChange, ...]
    hashcode: str
    faults: tuple[str, ...]


def _as_list(value: Any) -> list[Any]:
    """Return a list: in some versions the JSON of a list of one element is the element itself."""
    if value is None:
        return []
    return value if isinstance(value, list) else [value]


def _parse_number(value: Any, minimum: float, maximum: float) -> float:
    if isinstance(value, dict):  # {"$": 9000, "@enabled": "true"}
        value = value.get("$")
    number = float(value)
    if not math.isfinite(number) or not minimum <= number <= maximum:
        raise ValueError(f"{number} is not from {minimum} to {maximum}")
    return number


def _parse_instance(app: str, raw: dict[str, Any], now: int, wall: float) -> InstanceChange:
    meta = raw.get("metadata") or {}
    lease = raw.get("leaseInfo") or {}
    up = _parse_number(lease.get("serviceUpTimestamp") or 0, 0, 1e15) / 1000
    # the registry's clock may be ahead: no instance has started later than now
    started = min(now, max(1, now - int((wall - up) * 1e6))) if up else 0
    overridden = str(raw.get("overriddenStatus") or raw.get("overriddenstatus") or "UNKNOWN")
    status = str(raw["status"]) if overridden == "UNKNOWN" else overridden
    host = str(raw.get("ipAddr") or raw["hostName"])
    port = int(_parse_number(raw["port"], 1, 65_535))
    instance = Instance(
        app,
        str(raw.get("instanceId") or f"{host}:{port}"),
        f"{host}:{port}",
        status,
        started,
        int(_parse_number(meta.get("cell", 0), 0, 65_535)),
        int(_parse_number(meta.get("zone", 0), 0, 65_535)),
        int(_parse_number(meta.get("kind", 0), 0, 65_535)),
        _parse_number(meta.get("weight", 1.0), 1e-3, 1e6),
    )
    return InstanceChange(str(raw.get("actionType") or "ADDED"), instance)


def read_applications(body: bytes, is_xml: bool, now: int, wall: float) -> Applications:
    """Parse a reply's body; `now` is in µs of the loop's clock, `wall` in seconds since 1970.

    Raises RegistryError for a body that is no list of applications. An invalid instance is left out alone.
    """
    try:
        applications = _parse_xml(body) if is_xml else msgspec.json.decode(body)["applications"]
        hashcode = str(applications.get("apps__hashcode") or "")
        changes, faults = [], []
        for app in _as_list(applications.get("application")):
            for raw in _as_list(app.get("instance")):
                try:
                    changes.append(_parse_instance(str(app["name"]), raw, now, wall))
                except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                    faults.append(f"instance of {app.get('name')} passed over: {error!r}")
        return Applications(tuple(changes), hashcode, tuple(faults))
    except _BODY_ERRORS as error:
        raise RegistryError(f"not a list of applications: {error!r}"[:200]) from None


def _parse_xml(body: bytes) -> dict[str, Any]:
    parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False, load_dtd=False)
    root = etree.fromstring(body, parser)
    if root.tag != "applications":
        raise ValueError(f"the root is {root.tag}")

    def to_plain(node: Any) -> Any:
        if len(node) == 0:
            return node.text
        return {child.tag: to_plain(child) for child in node}

    apps = []
    for app in root.iterfind("application"):
        instances = [to_plain(each) for each in app.iterfind("instance")]
        apps.append({"name": app.findtext("name"), "instance": instances})
    return {"apps__hashcode": root.findtext("apps__hashcode"), "application": apps}


def unpack(body: bytes) -> bytes:
    """Decompress a gzip body. Raises RegistryError if it is invalid or too long."""
    unpacker = zlib.decompressobj(31)
    try:
        data = unpacker.decompress(body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise RegistryError(f"not gzip: {error}") from None
    if unpacker.unconsumed_tail:
        raise RegistryError(f"unpacks to more than {MAX_BODY_BYTES} bytes")
    return data
