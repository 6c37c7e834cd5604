"""Content steering manifests (ETSI TS 103 998): they lead a player to the host of its session."""

from __future__ import annotations

import re
from typing import Any

import msgspec


def pathway(host: str) -> str:
    """Return the pathway id of a host: letters, digits, dots, hyphens and underscores only."""
    return re.sub("[^A-Za-z0-9._-]", "-", host)


def build_steering_manifest(
    host: str, first_host: str, token: str, reload_uri: str, ttl_s: int, has_moved: bool
) -> bytes:
    """Return a steering manifest as JSON.

    `host` plays the session now and `first_host` is that of the session's first manifest. A host that the
    first manifest does not name is given as a clone of its pathway, with the session's token.
    """
    manifest: dict[str, Any] = {
        "VERSION": 1,
        "TTL": ttl_s,
        "RELOAD-URI": reload_uri,
        "PATHWAY-PRIORITY": [pathway(host)],
    }
    if host != first_host:
        replacement = {"HOST": host, "PARAMS": {"token": token}}
        clone = {"BASE-ID": pathway(first_host), "ID": pathway(host), "URI-REPLACEMENT": replacement}
        manifest["PATHWAY-CLONES"] = [clone]
    elif has_moved:
        manifest["PATHWAY-CLONES"] = []
    return msgspec.json.encode(manifest)
