"""The binary wire: frames to events, actions to frames. Names of the wire's dialect stop here."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from typing import Any

from mintmast import interface as api

BATCH_HEADER = struct.Struct(">IQ")
REPLY_HEADER = struct.Struct(">II")
_CODE = struct.Struct(">H")
_ROW = struct.Struct(">QHHHf6sB")
_ROWS = struct.Struct(">BI")
_FLOATS = tuple(struct.Struct(f">{n}f") for n in range(256))

SPAWN, TEARDOWN, LEDGER, MEMBERS = 1010, 1000, 1120, 1040
ORDER, ALREADY_OPEN, STREAMING, INTERIM = 1050, 1110, 1060, 1030
ATTEMPT_END, HANGUP, ELAPSED, ECHO, MAIL = 1020, 1080, 1070, 1100, 1090

_SPAWN = struct.Struct(">IQI")
_INSTANCE = struct.Struct(">I")
_MEMBERS = struct.Struct(">IBQB")
_ORDER = struct.Struct(">IIQHIfffHIQB")
_ALREADY_OPEN = struct.Struct(">IIBHQQIIfffH6s")
_STREAMING = struct.Struct(">IIB6sI")
_INTERIM = struct.Struct(">IIB6sBf")
_ATTEMPT_END = struct.Struct(">IIB6sHIBB")
_HANGUP = struct.Struct(">II")
_ECHO = struct.Struct(">II6sHB")
_MAIL = struct.Struct(">IHH")

HINT_GIVEN, MOVED, NOT_FIRST = 1, 8, 16
_OUTCOMES = {
    100: api.Outcome.SERVED,
    301: api.Outcome.ERROR,
    302: api.Outcome.FULL,
    303: api.Outcome.TIMEOUT,
    304: api.Outcome.CONNECT_FAILED,
    305: api.Outcome.RESET,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.NOT_SENT,
}
_EFFECTS = {"free": api.Effect.FREE, "guarded": api.Effect.GUARDED, "single_shot": api.Effect.SINGLE_SHOT}


class WireError(Exception):
    """The input breaks the wire's format or the settings lack what is needed."""


class Spawn:
    """A gateway comes up with these settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: api.Settings) -> None:
        """Keep the seed and the parsed settings."""
        self.seed = seed
        self.settings = settings


class Teardown:
    """A gateway dies without warning."""

    __slots__ = ()


class Decoder:
    """Decodes batches; remembers the numbered lists that `ledger` records fill."""

    def __init__(self) -> None:
        """Start with no lists."""
        self._ledgers: dict[int, tuple[api.ListEntry, ...]] = {}

    def events(self, body: bytes) -> Iterator[tuple[int, Any]]:
        """Yield (instance, event) for each record of a batch, in order."""
        at, end = 0, len(body)
        try:
            while at < end:
                (code,) = _CODE.unpack_from(body, at)
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown event code {code}")
                instance, event, at = reader(self, body, at + 2)
                if at > end:
                    raise WireError(f"event {code} runs past the end of its frame")
                if instance is not None:
                    yield instance, event
        except (struct.error, ValueError, OverflowError) as error:
            raise WireError(f"malformed event in a batch: {error}") from None

    def _ledger(self, body: bytes, at: int) -> tuple[None, None, int]:
        bank, n = _ROWS.unpack_from(body, at)
        at += _ROWS.size
        end = at + n * _ROW.size
        if end > len(body):
            raise WireError("a list runs past the end of its frame")
        self._ledgers[bank] = tuple(
            api.ListEntry(server, api.ServerState(mode), started, cell, zone, kind, weight)
            for started, cell, zone, kind, weight, server, mode in _ROW.iter_unpack(body[at:end])
        )
        return None, None, end

    def _members(self, body: bytes, at: int) -> tuple[int, api.ServerList, int]:
        instance, kind, version, bank = _MEMBERS.unpack_from(body, at)
        kind = api.ListKind(kind)
        entries: tuple[api.ListEntry, ...] = ()
        if kind is not api.ListKind.FAILED:
            if bank not in self._ledgers:
                raise WireError(f"list number {bank} was never sent")
            entries = self._ledgers[bank]
        return instance, api.ServerList(kind, version, entries), at + _MEMBERS.size

    def _spawn(self, body: bytes, at: int) -> tuple[int, Spawn, int]:
        instance, seed, n = _SPAWN.unpack_from(body, at)
        at += _SPAWN.size
        if at + n > len(body):
            raise WireError("settings run past the end of their frame")
        return instance, Spawn(seed, parse_settings(body[at : at + n])), at + n

    def _teardown(self, body: bytes, at: int) -> tuple[int, Teardown, int]:
        return _INSTANCE.unpack_from(body, at)[0], Teardown(), at + 4

    def _order(self, body: bytes, at: int) -> tuple[int, api.SessionRequest, int]:
        (instance, ref, _key, options, budget, home, copies, best, tenant, hint, title, service) = (
            _ORDER.unpack_from(body, at)
        )
        event = api.SessionRequest(
            request=ref,
            service=service,
            tenant=tenant,
            title=title,
            budget=budget,
            home_cell=int(home),
            copies=int(copies),
            best_rung=int(best),
            length_hint=hint if options & HINT_GIVEN else 0,
            moved=bool(options & MOVED),
            is_repeat=bool(options & NOT_FIRST),
        )
        return instance, event, at + _ORDER.size

    def _already_open(self, body: bytes, at: int) -> tuple[int, api.SessionOpen, int]:
        (
            instance,
            ref,
            service,
            tenant,
            _key,
            title,
            _budget,
            hint,
            _home,
            _copies,
            best,
            options,
            server,
        ) = _ALREADY_OPEN.unpack_from(body, at)
        event = api.SessionOpen(
            ref, service, tenant, title, int(best), server, hint if options & HINT_GIVEN else 0
        )
        return instance, event, at + _ALREADY_OPEN.size

    def _streaming(self, body: bytes, at: int) -> tuple[int, api.Playing, int]:
        instance, ref, attempt, server, took = _STREAMING.unpack_from(body, at)
        return instance, api.Playing(ref, attempt, server, took), at + _STREAMING.size

    def _interim(self, body: bytes, at: int) -> tuple[int, api.Note | None, int]:
        instance, ref, _attempt, server, kind, value = _INTERIM.unpack_from(body, at)
        known = kind in api.NoteKind._value2member_map_  # notes of a later kind are passed over
        event = api.Note(ref, server, api.NoteKind(kind), value) if known else None
        return instance, event, at + _INTERIM.size

    def _attempt_end(self, body: bytes, at: int) -> tuple[int, api.AttemptEnd, int]:
        instance, ref, attempt, server, code, took, complete, n = _ATTEMPT_END.unpack_from(body, at)
        at += _ATTEMPT_END.size
        load = _FLOATS[n].unpack_from(body, at)
        event = api.AttemptEnd(ref, attempt, server, _outcome(code), took, bool(complete), load)
        return instance, event, at + 4 * n

    def _hangup(self, body: bytes, at: int) -> tuple[int, api.ViewerGone, int]:
        instance, ref = _HANGUP.unpack_from(body, at)
        return instance, api.ViewerGone(ref), at + _HANGUP.size

    def _elapsed(self, body: bytes, at: int) -> tuple[int, api.TimerFired, int]:
        instance, token = _HANGUP.unpack_from(body, at)
        return instance, api.TimerFired(token), at + _HANGUP.size

    def _echo(self, body: bytes, at: int) -> tuple[int, api.ProbeResult, int]:
        instance, took, server, code, n = _ECHO.unpack_from(body, at)
        at += _ECHO.size
        return (
            instance,
            api.ProbeResult(server, _outcome(code), took, _FLOATS[n].unpack_from(body, at)),
            at + 4 * n,
        )

    def _mail(self, body: bytes, at: int) -> tuple[int, api.PeerMessage, int]:
        instance, sender, n = _MAIL.unpack_from(body, at)
        at += _MAIL.size
        return instance, api.PeerMessage(sender, bytes(body[at : at + n])), at + n


_READERS: dict[int, Callable[[Decoder, bytes, int], tuple[Any, Any, int]]] = {
    SPAWN: Decoder._spawn,
    TEARDOWN: Decoder._teardown,
    LEDGER: Decoder._ledger,
    MEMBERS: Decoder._members,
    ORDER: Decoder._order,
    ALREADY_OPEN: Decoder._already_open,
    STREAMING: Decoder._streaming,
    INTERIM: Decoder._interim,
    ATTEMPT_END: Decoder._attempt_end,
    HANGUP: Decoder._hangup,
    ELAPSED: Decoder._elapsed,
    ECHO: Decoder._echo,
    MAIL: Decoder._mail,
}


def _outcome(code: int) -> api.Outcome:
    outcome = _OUTCOMES.get(code)
    if outcome is None:
        raise WireError(f"unknown outcome code {code}")
    return outcome


_DELIVER = struct.Struct(">HII6sQ")
_SET_RATE = struct.Struct(">HIIB")
_TWO = struct.Struct(">HII")
_THREE = struct.Struct(">HIII")
_ABANDON = struct.Struct(">HIIB")
_HOST = struct.Struct(">HI6s")
_SUBSCRIBE = struct.Struct(">HIB")
_TEXT = struct.Struct(">HIH")
_MEMO = struct.Struct(">HIIH")
ALL_PEERS = 0xFFFFFFFF
# no time (µs), count or factor of a deployment is larger: more than a year
MAX_SETTING = 1e14
# cells and racks that a list can name: 16 bits
MAX_PLACES = 1 << 16


def _pack_log(i: int, action: api.Log) -> bytes:
    text = action.text.encode()[:65535].decode(errors="ignore").encode()
    return _TEXT.pack(1040, i, len(text)) + text


def _pack_memo(i: int, action: api.SendToPeers) -> bytes:
    dest = ALL_PEERS if action.peer is None else action.peer
    return _MEMO.pack(1110, i, dest, len(action.payload)) + action.payload


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.SetUp: lambda i, a: _DELIVER.pack(1010, i, a.request, a.server, a.timeout_at),
    api.SetRung: lambda i, a: _SET_RATE.pack(1100, i, a.request, a.rung),
    api.Refuse: lambda i, a: _THREE.pack(1120, i, a.request, a.retry_after),
    api.Fail: lambda i, a: _TWO.pack(1070, i, a.request),
    api.Cancel: lambda i, a: _ABANDON.pack(1050, i, a.request, a.attempt),
    api.Move: lambda i, a: _TWO.pack(1020, i, a.request),
    api.SetTimer: lambda i, a: _THREE.pack(1030, i, a.delay, a.token),
    api.Probe: lambda i, a: _HOST.pack(1130, i, a.server),
    api.CloseIdle: lambda i, a: _HOST.pack(1000, i, a.server),
    api.SendToPeers: _pack_memo,
    api.Subscribe: lambda i, a: _SUBSCRIBE.pack(1080, i, a.on),
    api.FetchList: lambda i, a: _CODE.pack(1060) + _INSTANCE.pack(i),
    api.Log: _pack_log,
}


def encode_action(instance: int, action: api.Action) -> bytes:
    """Give the record of one action."""
    return _WRITERS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """Give the whole frame of a reply."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), REPLY_HEADER.size + len(body)) + body


def parse_settings(text: bytes) -> api.Settings:
    """Map the wire's settings to the interface; raise `WireError` where they lack what is needed."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WireError(f"settings are not JSON: {error}") from None
    try:
        return _map_settings(document)
    except KeyError as error:
        raise WireError(f"settings lack {error.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError, IndexError, OverflowError) as error:
        raise WireError(f"settings are malformed: {error}") from None


def _finite_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number


def _map_settings(document: dict[str, Any]) -> api.Settings:
    family, rules, caps = document["familyInfo"], document["invariants"], document.get("caps", {})
    report, costs = document.get("report", {}), document.get("costs", {})
    ladder = tuple(_finite_number(kb) for kb in family["levelKb"])
    if not ladder or min(ladder) <= 0 or int(document["nInstances"]) < 1:
        raise ValueError("the ladder is empty, a rate is not above 0, or there are no instances")
    worths = tuple(_finite_number(worth) for worth in family["ladderWorth"])
    if len(worths) != len(ladder):
        raise ValueError("levelKb and ladderWorth differ in length")

    def per_class(key: str, place: int, default: Any) -> Any:
        values = family.get(key, ())
        return values[place] if place < len(values) else default

    services = document["services"]
    classes = tuple(
        api.ServiceClass(
            effect=_EFFECTS[each["idempotency"]],
            target_time=int(each.get("aim", each["hardLimit"])),
            deadline=int(each["hardLimit"]),
            worth=_finite_number(each.get("worth", 1)),
            scale=_finite_number(per_class("scaleByClass", place, 1)),
            floor=int(per_class("lowestRung", place, 0)),
            top=int(per_class("classTop", place, len(ladder) - 1)),
            seats=int(per_class("seats", place, 0)),
            group=str(each.get("group", "all")),
            window=int(each.get("window", 0)),
        )
        for place, each in enumerate(services)
    )
    if not classes or not all(0 <= each.floor < len(ladder) and each.scale > 0 for each in classes):
        raise ValueError("no class, a floor off the ladder, or a scale not above 0")
    pace_values = [rules.get(name, 0) for name in ("cold", "fall", "overloadFactor")]
    pace_values += family.get("kindSlots", ())
    if (
        not all(0 <= _finite_number(each) <= MAX_SETTING for each in pace_values)
        or not 0 <= rules.get("coldFrom", 1) <= 1
    ):
        raise ValueError("a cold server's pace or the streams of a kind are below 0 or beyond reason")
    if max(int(family.get("cells", 0)), int(family.get("racks", 1))) > MAX_PLACES:
        raise ValueError(f"more than {MAX_PLACES} cells or racks")
    span = int(rules.get("ratioSpan", 0))
    budget = (
        api.AttemptBudget(
            span, _finite_number(rules.get("extraFree", 0)), _finite_number(rules.get("resendRatio", 0))
        )
        if span
        else None
    )
    piggyback = report.get("via", "silent") == "piggyback"
    return api.Settings(
        instance=int(document["me"]),
        instances=int(document["nInstances"]),
        zone=int(document.get("zone", 0)),
        classes=classes,
        tenants=tuple(
            api.Tenant(_finite_number(each.get("quotaPerS", 0)), _finite_number(each.get("share", 0)))
            for each in document.get("accounts", ())
        ),
        over_share_worth=_finite_number(document.get("overShareWorth", 1)),
        rung_kb=ladder,
        rung_worth=worths,
        links_kb=_finite_number(family.get("linksKb", 0)),
        weight_kb=_finite_number(family.get("weightKb", 0)),
        has_weights=document.get("weights", "silent") != "silent",
        kind_streams=tuple(int(each) for each in family.get("kindSlots", ())),
        cells=int(family.get("cells", 0)),
        racks=max(1, int(family.get("racks", 1))),
        uplink_kb=_finite_number(family.get("rackLinkKb", 0)),
        guard=_finite_number(family.get("guard", 0)),
        shared_adds=_finite_number(family.get("sharedAdds", 1)),
        class_is_live=tuple(bool(per_class("classLive", place, False)) for place in range(len(services))),
        stall_cost=_finite_number(family.get("stallCost", 1)),
        change_costs_s=_finite_number(family.get("changeCostsS", 0)),
        note_age=int(family.get("see", 0)),
        notes_every=int(family.get("reportsEvery", 0)),
        drain_grace=int(rules.get("stopSendingWithin", 0)),
        warm_up=int(rules.get("cold", 0)),
        warm_up_from=_finite_number(rules.get("coldFrom", 1)),
        overload_window=int(rules.get("fall", 0)),
        overload_factor=_finite_number(rules.get("overloadFactor", 1)),
        budget=budget,
        max_attempts=int(caps.get("maxAttempts", 1)),
        max_retry_after=int(caps.get("maxRetryAfter", 0)),
        may_advise=bool(caps.get("retryAfter", False)),
        may_cancel=bool(caps.get("cancel", False)),
        must_subscribe=document.get("discovery", "automatic") == "subscribe",
        load_fields=tuple(str(each) for each in report.get("fields", ())) if piggyback else (),
        cross_zone_cost=_finite_number(costs.get("crossZone", 0)),
        move_cost=_finite_number(costs.get("moves", 0)),
        handshake_cost=_finite_number(costs.get("handshake", 0)),
        idle_connection_time=int(caps.get("idleClose", 0)) // 2,
        connect_time=int(caps.get("connectTimeout", 0)),
    )
