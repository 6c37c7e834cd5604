"""The shared part of the settings, which a region's gateways change together while they run.

Pure: bytes in, bytes out. A document is canonical JSON (sorted keys, no spaces, UTF-8) of what stands alike
at all gateways: `classes`, `tenants`, `titles`, `over_share_worth`, `servers` (where `list` is not given) and
`access`, the viewers' keys. What the settings have as lists is here by name, address or `kid`, so that a
patch (JSON Merge Patch, RFC 7396) names one entry and not all of them. Defaults are left out.

`Shared.check` is a function of its bytes alone: all gateways of one version give the same verdict. What only
one gateway cannot live with (its ladder, its kinds of hosts) is found when it is put in force there.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import jwt
import msgspec
from jsonschema import Draft202012Validator

from mintmast.config.fits import fits
from mintmast.config.load import error_line
from mintmast.config.schema import SCHEMA
from mintmast.decisions.gateways.history import MAX_DOCUMENT_BYTES, MAX_PATCH_BYTES

# levels of objects and lists in a patch: part, entry, field, and a key's lists; the top is the first
MOST_DEPTH = 6
# documents of which the parsed form is remembered: the one in force and the one that a patch makes of it
_KNOWN = 2
# faults that are told of one patch
_TOLD = 10

_PARTS = SCHEMA["properties"]
# parts that are lists in the settings, and the field that names their entries
_LISTS = {"classes": "name", "tenants": "name", "servers": "address"}
_KEYS = _PARTS["tokens"]["properties"]["access"]
# schema of an entry of a part, and how many there may be
_ENTRY: dict[str, dict[str, Any]] = {
    **{part: _PARTS[part]["items"] for part in _LISTS},
    "titles": _PARTS["titles"]["additionalProperties"],
    "access": _KEYS["items"],
}
_NAMED = {**_LISTS, "access": "kid", "titles": ""}
_MOST = {**{part: _PARTS[part]["maxItems"] for part in _LISTS}, "access": _KEYS["maxItems"]}
_FITS = {part: fits(schema) for part, schema in _ENTRY.items()}
_NAME = fits({"type": "string", **_PARTS["titles"]["propertyNames"]})
_LEAST_ONE = ("classes", "access")
_DEFAULTS = {
    part: {name: each["default"] for name, each in schema["properties"].items() if "default" in each}
    for part, schema in _ENTRY.items()
}
_encode = msgspec.json.Encoder(order="sorted").encode

Document = dict[str, Any]


class SharedError(Exception):
    """Bytes that are no document or no patch; one line that says why."""


@dataclass(slots=True)
class _Known:
    """A good document: its bytes, its value, and the text of each entry by part and name."""

    data: bytes
    value: Document
    texts: dict[str, dict[str, bytes]]


class Shared:
    """Judges documents and patches; what was judged last is remembered, which changes no verdict."""

    def __init__(self) -> None:
        self._known: list[_Known] = []

    def check(self, data: bytes, patch: bytes) -> tuple[bytes | None, str]:
        """Give the document after a patch, or None and the fault. It is a function of these bytes alone.

        Both documents are good as a whole: a document is looked at once, then only what a patch names.
        """
        try:
            before = self._look(data)
            change = read(patch, MAX_PATCH_BYTES)
            if not isinstance(change, dict):
                return None, "the patch is not an object: it would replace everything"
            after = self._patched(before, change)
        except SharedError as error:
            return None, str(error).encode("ascii", "backslashreplace").decode()
        self._remember(after)
        return after.data, ""

    def value(self, data: bytes) -> Document:
        """Give the value of a good document, which nobody may change. Raises SharedError."""
        return self._look(data).value

    def _remember(self, known: _Known) -> None:
        self._known = [known, *(each for each in self._known if each.data != known.data)][:_KNOWN]

    def _look(self, data: bytes) -> _Known:
        for known in self._known:
            if known.data == data:
                return known
        if len(data) > MAX_DOCUMENT_BYTES:
            raise SharedError(f"a document of {len(data)} bytes, {MAX_DOCUMENT_BYTES} are allowed")
        try:
            value = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise SharedError(f"not JSON: {error}"[:200]) from None
        if not isinstance(value, dict):
            raise SharedError("not an object")
        faults = _parts(value)
        for part in value.keys() & _NAMED.keys():
            if isinstance(value[part], dict):
                faults += _entries(part, value[part])
        _raise(faults)
        known = _Known(b"", value, {part: {} for part in value.keys() & _NAMED.keys()})
        for part, texts in known.texts.items():
            for name, each in value[part].items():
                texts[name] = _text(name, each)
        known.data = _joined(known)
        if known.data != data:
            raise SharedError("not in the canonical form")
        self._remember(known)
        return known

    def _patched(self, before: _Known, change: Document) -> _Known:
        after = merge(before.value, change)
        faults = [*_parts(after), *_kept(before.value, after)]
        named = [
            part
            for part in change.keys() & _NAMED.keys()
            if isinstance(change[part], dict) and isinstance(after.get(part), dict)
        ]
        for part in named:
            faults += _entries(part, {n: after[part][n] for n in change[part] if n in after[part]})
        _raise(faults)
        texts = dict(before.texts)
        for part in named:
            texts[part] = dict(texts[part])
            for name in change[part]:
                texts[part].pop(name, None)
                if name in after[part]:
                    texts[part][name] = _text(name, after[part][name])
        known = _Known(b"", after, texts)
        known.data = _joined(known)
        if len(known.data) > MAX_DOCUMENT_BYTES:
            raise SharedError(f"a document of {len(known.data)} bytes, {MAX_DOCUMENT_BYTES} are allowed")
        return known


def _raise(faults: list[str]) -> None:
    if faults:
        raise SharedError("; ".join(sorted(faults)[:_TOLD]))


def _text(name: str, value: Any) -> bytes:
    """Give an entry's text. Raises SharedError for what has none."""
    return canonical(name) + b":" + canonical(value)


def _joined(known: _Known) -> bytes:
    parts = {part: b"{%b}" % b",".join(map(texts.get, sorted(texts))) for part, texts in known.texts.items()}
    parts["over_share_worth"] = _encode(known.value["over_share_worth"])
    return b"{%b}" % b",".join(b'"%b":%b' % (part.encode(), parts[part]) for part in sorted(parts))


def read(data: bytes, most: int, depth: int = MOST_DEPTH) -> Any:
    """Give the value of JSON in UTF-8 (RFC 8259) in which no name stands twice. Raises SharedError."""
    if len(data) > most:
        raise SharedError(f"{len(data)} bytes, {most} are allowed")
    try:
        value = json.loads(
            data.decode("utf-8"), object_pairs_hook=_once, parse_constant=_constant, parse_float=_finite
        )
        good = _shallow(value, depth)
    except RecursionError:
        good = False
    except ValueError as error:  # of the text, or of an integer with thousands of digits
        raise SharedError(f"not JSON: {error}"[:200]) from None
    if not good:
        raise SharedError(f"nested deeper than {depth} levels")
    return value


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    told = dict(pairs)
    if len(told) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return told


def _constant(name: str) -> Any:
    raise ValueError(f"{name} is no number")


def _finite(text: str) -> float:
    if not math.isfinite(value := float(text)):
        raise ValueError(f"{text[:20]} is too large")
    return value


def _shallow(value: Any, depth: int) -> bool:
    if isinstance(value, dict):
        return depth > 0 and all(_shallow(each, depth - 1) for each in value.values())
    if isinstance(value, list):
        return depth > 0 and all(_shallow(each, depth - 1) for each in value)
    return True


def document(raw: dict[str, Any]) -> bytes:
    """Give the document of checked settings. Raises SharedError where it is none: too large."""
    told: Document = {
        "titles": {name: _bare("titles", each) for name, each in raw["titles"].items()},
        "over_share_worth": raw["over_share_worth"],
        "access": _by("access", raw["tokens"]["access"]),
    }
    for part in _LISTS:
        if part != "servers" or "list" not in raw:
            told[part] = _by(part, raw[part])
    data = canonical(told)
    Shared().value(data)
    return data


def canonical(value: Any) -> bytes:
    """Give the one text of a value. Raises SharedError where it has none: half a character, say."""
    try:
        return _encode(value)
    except (ValueError, OverflowError, msgspec.MsgspecError) as error:
        raise SharedError(f"not JSON: {error}"[:200]) from None


def _bare(part: str, entry: dict[str, Any]) -> dict[str, Any]:
    """Give an entry without what is said by its name, or by default."""
    defaults = _DEFAULTS[part]
    return {n: v for n, v in entry.items() if n != _NAMED[part] and (n not in defaults or defaults[n] != v)}


def _by(part: str, entries: list[dict[str, Any]]) -> dict[str, Any]:
    return {each[_NAMED[part]]: _bare(part, each) for each in entries}


def merge(value: Any, patch: Any) -> Any:
    """Give the value after a JSON Merge Patch (RFC 7396, 2); neither is changed."""
    if not isinstance(patch, dict):
        return patch
    told = dict(value) if isinstance(value, dict) else {}
    for name, part in patch.items():
        if part is None:
            told.pop(name, None)
        else:
            told[name] = merge(told.get(name), part)
    return told


def _parts(told: Document) -> list[str]:
    """Give what is wrong with the parts as such."""
    wanted = {*_NAMED, "over_share_worth"}
    faults = [f"(top): unknown key {name[:100]}" for name in told.keys() - wanted]
    faults += [f"{part}: cannot be removed" for part in wanted - {"servers"} - told.keys()]
    for part in told.keys() & _NAMED.keys():
        if not isinstance(told[part], dict):
            faults.append(f"{part}: not an object")
        elif part in _MOST and len(told[part]) > _MOST[part]:
            faults.append(f"{part}: {len(told[part])} entries, {_MOST[part]} are allowed")
        elif part in _LEAST_ONE and not told[part]:
            faults.append(f"{part}: the last entry cannot be removed")
    if "over_share_worth" in told:
        judge = Draft202012Validator(_PARTS["over_share_worth"])
        faults += [f"over_share_worth: {error_line(e)}" for e in judge.iter_errors(told["over_share_worth"])]
    return faults


def _kept(before: Document, after: Document) -> Iterator[str]:
    """Yield what a patch may not take away from sessions that play."""
    classes = after.get("classes")
    if isinstance(classes, dict):
        for name, each in before["classes"].items():
            now = classes.get(name)
            if now is None:  # sessions and tokens name it
                yield f"classes/{name}: a class cannot be removed"
            elif isinstance(now, dict) and now.get("effect") != each["effect"]:
                # Danger: a paid class that turns free under its sessions would have them set up twice
                yield f"classes/{name}/effect: cannot change"
    if before["tenants"] and after.get("tenants") == {}:  # where there are none, every token's tenant is good
        yield "tenants: the last entry cannot be removed: viewers of any tenant would be let in"
    if ("servers" in before) != ("servers" in after):
        yield "servers: the part can neither come nor go"


def _entries(part: str, entries: dict[str, Any]) -> Iterator[str]:
    """Yield what is wrong with entries of a part."""
    key, good = _NAMED[part], _FITS[part]
    for name, value in entries.items():
        where = f"{part}/{name[:100]}"
        entry = value
        if key:
            if not isinstance(value, dict) or key in value:
                yield f"{where}: an object without {key} is wanted"
                continue
            entry = {key: name, **value}
        elif not _NAME(name):
            yield f"{where}: not a name"
        if not good(entry):
            judge = Draft202012Validator(_ENTRY[part])
            yield from (f"{where}/{error_line(error)}" for error in judge.iter_errors(entry))
        elif part in _SENSE and (fault := _SENSE[part](entry)):
            yield f"{where}: {fault}"


def _class_sense(each: dict[str, Any]) -> str:
    return "floor is over top" if each.get("floor", 0) > each.get("top", 255) else ""


def _server_sense(each: dict[str, Any]) -> str:
    return "no such port" if int(each["address"].rpartition(":")[2]) > 65_535 else ""


def _key_sense(each: dict[str, Any]) -> str:
    try:
        jwt.PyJWK(each)
    except Exception as error:  # foreign key material: the libraries under it raise what they like
        return f"no key of its kind ({type(error).__name__})"
    return ""


_SENSE: dict[str, Callable[[dict[str, Any]], str]] = {
    "classes": _class_sense,
    "servers": _server_sense,
    "access": _key_sense,
}


def merged(raw: dict[str, Any], told: Document) -> dict[str, Any]:
    """Give this gateway's settings with a document's parts in place of its own; `told` as read.

    Lists keep the order that they have here, what is new follows by name.
    """
    out = {**raw, "titles": told["titles"], "over_share_worth": told["over_share_worth"]}
    for part, key in _LISTS.items():
        if part in told and (part != "servers" or "list" not in raw):
            out[part] = _listed(raw[part], told[part], key)
    out["tokens"] = {**raw["tokens"], "access": _listed(raw["tokens"]["access"], told["access"], "kid")}
    return out


def _listed(before: list[dict[str, Any]], told: dict[str, Any], key: str) -> list[dict[str, Any]]:
    here = [each[key] for each in before if each[key] in told]
    known = set(here)
    return [{key: n, **told[n]} for n in (*here, *(n for n in sorted(told) if n not in known))]
