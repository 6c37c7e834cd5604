"""The JSON Schema of the settings (draft 2020-12). Names carry units: `_ms`, `_s`, `_kb` (kB a second)."""

from __future__ import annotations

from typing import Any

Schema = dict[str, Any]


def _obj(required: str, **properties: Schema) -> Schema:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": required.split(),
        "properties": properties,
    }


def _int(least: int, most: int, about: str, default: int | None = None) -> Schema:
    schema: Schema = {"type": "integer", "minimum": least, "maximum": most, "description": about}
    return schema if default is None else {**schema, "default": default}


def _num(least: float, most: float, about: str, default: float | None = None) -> Schema:
    schema: Schema = {"type": "number", "minimum": least, "maximum": most, "description": about}
    return schema if default is None else {**schema, "default": default}


def _text(about: str, default: str | None = None, pattern: str | None = None) -> Schema:
    schema: Schema = {"type": "string", "minLength": 1, "maxLength": 4096, "description": about}
    if pattern is not None:
        schema["pattern"] = pattern
    return schema if default is None else {**schema, "default": default}


def _list(items: Schema, least: int, most: int, about: str) -> Schema:
    return {"type": "array", "items": items, "minItems": least, "maxItems": most, "description": about}


def _flag(about: str, default: bool) -> Schema:
    return {"type": "boolean", "description": about, "default": default}


NAME = r"^[A-Za-z0-9][A-Za-z0-9._~-]{0,99}$"
ADDRESS = r"^[^\s/:]+:[0-9]{1,5}$"
DAY_MS = 86_400_000

_CLASS = _obj(
    "name effect aim_ms deadline_ms worth",
    name=_text("name of the class", pattern=NAME),
    effect={"enum": ["free", "guarded", "single_shot"], "description": "what a second set-up would do"},
    aim_ms=_int(1, DAY_MS, "a set-up is wanted within this time"),
    deadline_ms=_int(100, DAY_MS, "the viewer waits so long"),
    worth=_num(0, 1e9, "worth of a second at a rung of worth 1"),
    scale=_num(1e-3, 1e3, "its rates over those of the ladder", 1.0),
    floor=_int(0, 254, "lowest rung", 0),
    top=_int(0, 255, "highest rung", 255),
    seats=_int(0, 10**6, "sessions of one title that a gateway may hold; 0 for no limit", 0),
)
_SERVER = _obj(
    "address cell",
    address=_text("host and port of the media host's control and media", pattern=ADDRESS),
    cell=_int(0, 65_535, "cell: tells the titles that it holds and, modulo racks, its rack"),
    zone=_int(0, 65_535, "place in `zones`", 0),
    kind=_int(0, 65_535, "place in `fleet.kinds`", 0),
    weight=_num(1e-3, 1e6, "size in relation to the others", 1.0),
    state={"enum": ["ready", "draining", "gone"], "default": "ready", "description": "what the list says"},
)
_KEY = {
    "type": "object",
    "required": ["kty", "kid", "alg"],
    "description": "a key as JWK (RFC 7517); `alg` is the one algorithm it is good for",
    "properties": {
        "kty": {"enum": ["oct", "OKP", "EC", "RSA"]},
        "kid": _text("id of the key"),
        "alg": {"enum": ["HS256", "HS384", "HS512", "EdDSA", "ES256", "ES384", "RS256", "PS256"]},
    },
}

# a watched file of servers
SERVERS: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "mintmast servers",
    **_obj(
        "servers",
        servers=_list(
            {
                **_SERVER,
                "properties": {
                    **_SERVER["properties"],
                    "started": _num(0, 1e12, "seconds since 1970 at which it started; 0 for long ago", 0),
                },
            },
            0,
            100_000,
            "all media hosts; what is not in it is gone",
        ),
    ),
}

SCHEMA: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "mintmast gateway",
    **_obj(
        "classes ladder fleet titles tokens",
        gateway=_text("name of this gateway, used in session ids", "gateway", NAME),
        instance=_int(0, 10**6, "number of this gateway among all, from 0", 0),
        instances=_int(1, 10**6, "how many gateways there are", 1),
        zone=_int(0, 65_535, "place in `zones` where this gateway stands", 0),
        zones=_list(_text("name of a zone"), 0, 1000, "zones of the fleet"),
        listen=_obj(
            "",
            host=_text("address to listen on", "127.0.0.1"),
            port=_int(0, 65_535, "port; 0 for any", 8080),
            public=_text("scheme and authority by which players reach it", pattern=r"^https?://[^/\s]+$"),
        ),
        classes=_list(_CLASS, 1, 64, "classes of sessions"),
        tenants=_list(
            _obj(
                "name",
                name=_text("name of the tenant", pattern=NAME),
                quota_per_s=_num(0, 1e9, "requests a second over all gateways at full worth", 0.0),
                share=_num(0, 1, "share of the service", 0.0),
            ),
            0,
            10_000,
            "tenants; empty where there are none",
        ),
        over_share_worth=_num(0, 1, "part of its worth that a request over its share keeps", 1.0),
        ladder=_list(
            _obj(
                "kb worth",
                kb=_num(1e-3, 1e9, "rate, kB a second"),
                worth=_num(0, 1, "what it earns"),
            ),
            1,
            64,
            "rungs, lowest rate first",
        ),
        fleet=_obj(
            "kinds cells racks",
            kinds=_list(
                _obj(
                    "streams",
                    name=_text("name of the kind", "host"),
                    streams=_int(1, 10**6, "streams that it runs at most"),
                ),
                1,
                1000,
                "kinds of media hosts",
            ),
            cells=_int(0, 65_536, "number of cells; 0 where every host holds every title"),
            racks=_int(1, 65_536, "number of racks"),
            links_kb=_num(0, 1e15, "all links together; 0 for not known", 0.0),
            weight_kb=_num(0, 1e12, "link for each unit of weight; 0 for not known", 0.0),
            uplink_kb=_num(0, 1e15, "mean uplink of a rack; 0 for no limit", 0.0),
            weights_told=_flag("the weights of the list mean something", False),
            guard=_num(0, 10, "a host says full at so much asked of its link; 0 for never", 0.0),
            reports=_list({"enum": ["x0", "x1"]}, 0, 2, "loads told in answers: link, uplink"),
            note_age_ms=_int(0, 600_000, "how late notes of hosts are", 500),
            notes_every_ms=_int(0, 600_000, "time between notes of link use", 3000),
        ),
        rules=_obj(
            "",
            drain_grace_ms=_int(0, 600_000, "nothing new to a draining host after this", 1000),
            cold_ms=_int(0, 3_600_000, "a host that started is cold for so long", 12_000),
            cold_from=_num(0.01, 1, "share of its capacity at its start", 0.4),
            fall_ms=_int(1, 600_000, "window in which set-ups push a cold host over", 1500),
            fall_multiple=_num(0.1, 100, "multiple of its pace that does", 2.5),
            max_attempts=_int(1, 100, "attempts for a request", 5),
            retry_advice_ms=_int(0, 3_600_000, "longest advice that viewers heed; 0 for none", 500),
            budget={
                "description": "further attempts allowed in any span",
                "anyOf": [
                    {"type": "null"},
                    _obj(
                        "span_ms free ratio",
                        span_ms=_int(1, 3_600_000, "length of the window"),
                        free=_num(0, 1e9, "attempts that need no requests to earn them"),
                        ratio=_num(0, 100, "attempts that one request earns"),
                    ),
                ],
                "default": None,
            },
            cross_zone_cost=_num(0, 1, "price of a session that crosses zones", 0.0),
        ),
        hosts=_obj(
            "",
            lease_ms=_int(100, 3_600_000, "a host ends a session that is not renewed for so long", 10_000),
            connect_ms=_int(1, 60_000, "a connection not made by then was not made", 250),
            silent_ms=_int(10, 600_000, "a line to a host that says nothing for so long is broken", 3000),
        ),
        titles={
            "type": "object",
            "description": "titles by name",
            "propertyNames": {"pattern": NAME},
            "additionalProperties": _obj(
                "",
                home=_int(0, 65_535, "where its cells begin", 0),
                copies=_int(1, 65_536, "how many cells hold it", 1),
                seconds=_num(0.1, 1e6, "length; of a live title the window that can be sought", 60.0),
                segment_s=_num(0.1, 60, "length of a segment", 2.0),
                live=_flag("it has no end", False),
            ),
        },
        servers=_list(_SERVER, 0, 100_000, "the media hosts"),
        list={
            **_obj(
                "",
                file=_text("watched file of servers, in place of `servers`"),
                every_ms=_int(10, 60_000, "file and registry are looked at so often", 200),
                registry=_obj(
                    "addresses app",
                    addresses=_list(
                        _text(
                            "base of a Eureka node's REST operations", pattern=r"^http://[^/\s]+(/[^\s]*)?$"
                        ),
                        1,
                        100,
                        "nodes, asked in turn when one fails",
                    ),
                    app=_text("application whose instances are the media hosts", pattern=NAME),
                    register=_text("application under which the gateway registers itself", pattern=NAME),
                ),
            ),
            "anyOf": [{"required": ["file"]}, {"required": ["registry"]}],
        },
        tokens=_obj(
            "access session",
            access=_list(_KEY, 1, 1000, "keys that sign viewers' access tokens"),
            audience=_text("the `aud` that access tokens carry", "mintmast"),
            skew_s=_num(0, 600, "seconds by which clocks may differ", 30.0),
            session=_list(_KEY, 1, 1000, "keys for session tokens; the first signs"),
            session_s=_int(1, 7 * 86_400, "life of a session token beyond its title's length", 600),
        ),
        limits=_obj(
            "",
            connections=_int(1, 10**6, "connections of viewers", 20_000),
            header_bytes=_int(256, 1 << 20, "request line and fields", 16_384),
            header_ms=_int(10, 600_000, "time for a request to be complete", 5000),
            idle_ms=_int(10, 3_600_000, "time that a connection may idle", 30_000),
            pipelined=_int(1, 1000, "requests of one connection under way", 16),
            answer_margin_ms=_int(0, 60_000, "answers are given so long before the viewer leaves", 100),
        ),
        admin=_obj(
            "port",
            host=_text("address to listen on", "127.0.0.1"),
            port=_int(0, 65_535, "port of metrics, drains and moves"),
            token=_text("what operators show to drain hosts; without it they cannot"),
        ),
        peers=_obj(
            "members secrets",
            members=_list(
                _obj(
                    "name address",
                    name=_text("name of the gateway", pattern=NAME),
                    address=_text("where it listens for the others, HOST:PORT", pattern=ADDRESS),
                ),
                1,
                300,
                "all gateways of the region, this one among them, the same list at each",
            ),
            listen=_obj("", host=_text("address to listen on, where it is not the one that others use")),
            advertise=_text(
                "where this gateway is reached, HOST:PORT, while the others' lists have it elsewhere",
                pattern=ADDRESS,
            ),
            secrets=_list(
                {
                    "type": "string",
                    "minLength": 32,
                    "maxLength": 1000,
                    "description": "shared secret; the first signs, all verify",
                },
                1,
                16,
                "secrets of calls between gateways",
            ),
            skew_s=_num(1, 600, "seconds by which the gateways' clocks may differ", 30.0),
        ),
        configuration=_obj(
            "path",
            path=_text("file of the shared settings in force"),
            abroad=_list(
                _text("HOST:PORT of the peers' port of a gateway of another region", pattern=ADDRESS),
                0,
                100,
                "gateways of other regions that are asked for later revisions",
            ),
            publish=_flag("it may number revisions; operators publish there", False),
        ),
        store=_obj(
            "path",
            path=_text("file of what this gateway keeps over its death; without it nothing is kept"),
        ),
        testing=_obj(
            "",
            wall_shift_s=_num(
                -1e6, 1e6, "seconds by which the wall clock is taken to be wrong; for tests only", 0.0
            ),
        ),
        steering=_obj(
            "",
            ttl_s=_int(1, 3600, "players ask again where to go on after so long", 3),
            hold_ms=_int(0, 60_000, "longest that such a question is held while a session moves", 2500),
        ),
        telemetry=_obj(
            "",
            log=_text("file of log lines; `-` for standard output", "-"),
            trace_share=_num(0, 1, "share of requests that are traced into the log", 0.0),
        ),
        saved_list=_text("file that keeps the last list over a restart"),
        seed=_int(0, 2**63, "seed of all random draws; without it one is drawn at the start"),
    ),
}
