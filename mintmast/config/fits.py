"""A quick look whether a value fits one of our own schemas, beside jsonschema, which names what is wrong.

jsonschema takes some 0.2 ms for a title; a gateway that looks at ten thousand while viewers wait cannot.
`fits` knows only the words that `schema.py` uses, and refuses to be built for any other.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

Judge = Callable[[Any], bool]
# words that say nothing of what is allowed
_SILENT = {"description", "default", "title", "$schema", "type"}


def fits(schema: dict[str, Any]) -> Judge:
    """Build the judge of a schema. Raises ValueError for a word that is not known here."""
    kind = schema.get("type")
    words = set(schema) - _SILENT
    if "enum" in schema and words == {"enum"}:
        allowed = schema["enum"]
        return lambda value: isinstance(value, str) and value in allowed
    known = {
        "integer": {"minimum", "maximum"},
        "number": {"minimum", "maximum"},
        "boolean": set(),
        "string": {"minLength", "maxLength", "pattern"},
        "object": {"additionalProperties", "required", "properties"},
    }
    if kind not in known or words - known[kind]:
        raise ValueError(f"fits does not know {sorted(words)} of {kind}")
    if kind == "object":
        return _object(schema)
    if kind == "boolean":
        return lambda value: isinstance(value, bool)
    if kind == "string":
        return _string(schema)
    least, most = schema["minimum"], schema["maximum"]
    if kind == "integer":

        def whole(value: Any) -> bool:
            good = type(value) is int or (type(value) is float and value.is_integer())
            return good and least <= value <= most

        return whole
    return lambda value: (type(value) is int or type(value) is float) and least <= value <= most


def _string(schema: dict[str, Any]) -> Judge:
    least, most = schema.get("minLength", 0), schema.get("maxLength", 1 << 30)
    pattern = re.compile(schema.get("pattern", ""))
    return lambda value: (
        isinstance(value, str) and least <= len(value) <= most and bool(pattern.search(value))
    )


def _object(schema: dict[str, Any]) -> Judge:
    parts = {name: fits(each) for name, each in schema.get("properties", {}).items()}
    required = set(schema.get("required", ()))
    others = schema.get("additionalProperties", True)
    if others not in (True, False):
        raise ValueError("fits does not know schemas of other properties")

    def judge(value: Any) -> bool:
        if not isinstance(value, dict) or not required <= value.keys():
            return False
        for name, each in value.items():
            part = parts.get(name)
            if (not others) if part is None else not part(each):
                return False
        return True

    return judge
