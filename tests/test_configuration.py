"""Shared settings: documents and patches, put in force with sessions playing, and kept in a file."""

import json
import random

import pytest
from click.testing import CliRunner
from jsonschema import Draft202012Validator
from world import FREE, PAID, Small

from mintmast.cli import main
from mintmast.cli.configuration import lines_of
from mintmast.config import SCHEMA
from mintmast.config.fits import fits
from mintmast.config.places import MOST_GONE, Places
from mintmast.config.shared import Shared, canonical, document, merge
from mintmast.configuring import Begun, Live
from mintmast.decisions.gateways.history import MAX_DOCUMENT_BYTES, MAX_PATCH_BYTES
from mintmast.interface import Effect

KEY = {"kty": "oct", "alg": "HS256", "k": "c3RhZ2Utb25seS1zZWNyZXQtb2YtdGhpcnR5LXR3by1ieXRlcw"}


class Living(Small):
    """A small world whose gateway takes patches as if its revisions had brought them."""

    def __init__(self, **more):
        super().__init__(**more)
        self.gateway = self.stage.gateways[0]
        self.shared, self.places = Shared(), Places(self.gateway.config)
        self.live = Live(self.gateway, Begun(self.places, self.shared, None, None))
        self.document = document(self.gateway.config.raw)

    def patch(self, **parts):
        """Put a patch in force; gives why it does not suit this gateway."""
        after, fault = self.shared.check(self.document, canonical(parts))
        assert not fault, fault
        self.document = after
        return self.live.apply(after)

    def plays(self, service=FREE, title="gate-1", key="k"):
        """Ask for a title; gives the status."""
        replies, _ = self.manifest(service, title, key)
        self.run(1)
        return replies[0].status


def test_the_examples_of_the_merge_patch_hold():
    """RFC 7396, appendix A, all fifteen."""
    rows = [
        ({"a": "b"}, {"a": "c"}, {"a": "c"}), ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}), ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}), ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}), (["a", "b"], ["c", "d"], ["c", "d"]),
        ({"a": "b"}, ["c"], ["c"]), ({"a": "foo"}, None, None), ({"a": "foo"}, "bar", "bar"),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}), ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ]  # fmt: skip
    for before, patch, after in rows:
        assert merge(before, patch) == after


BAD = {
    "no object": b"[]", "everything away": b"null", "not text": b"\xff\xfe", "not JSON": b'{"titles":',
    "deep": b"[" * 20_000 + b"]" * 20_000,
    "deep in an object": b'{"titles":' + b'{"a":' * 30 + b"1" + b"}" * 31,
    "a name twice": b'{"over_share_worth":0.5,"over_share_worth":0.6}', "NaN": b'{"over_share_worth":NaN}',
    "infinite": b'{"over_share_worth":1e999}',
    "endless integer": b'{"over_share_worth":' + b"9" * 9000 + b"}",
    "too large": b'{"titles":{' + b",".join(b'"t%d":{"home":1}' % n for n in range(9000)) + b"}}",
    "unknown part": b'{"ladder":[]}', "local part": b'{"gateway":"gw7"}', "a part away": b'{"titles":null}',
    "a part of another kind": b'{"titles":[]}', "title out of range": b'{"titles":{"gate-1":{"copies":0}}}',
    "title no name": b'{"titles":{"a b":{}}}', "unknown field": b'{"titles":{"gate-1":{"colour":1}}}',
    "half a character": b'{"titles":{"\\ud800":{}}}',
    "half a character in a key": b'{"access":{"k2":{"kty":"oct","alg":"HS256","k":"AAAA","x":"\\udc00"}}}',
    "title no object": b'{"titles":{"gate-1":3}}', "class away": b'{"classes":{"PAID":null}}',
    "paid turns free": b'{"classes":{"PAID":{"effect":"free"}}}',
    "class turns nothing": b'{"classes":{"PAID":7}}',
    "floor over top": b'{"classes":{"PAID":{"floor":9,"top":2}}}',
    "name inside": b'{"classes":{"PAID":{"name":"other"}}}',
    "bad key": b'{"access":{"k2":{"kty":"EC","alg":"ES256"}}}', "no keys": b'{"access":{"viewers-1":null}}',
    "key of text": b'{"access":{"viewers-1":{"k":5}}}',
    "all tenants away": b'{"tenants":{"north-tv":null,"south-tv":null}}',
    "servers away": b'{"servers":null}', "no such port": b'{"servers":{"h:70000":{"cell":1}}}',
    "no cell": b'{"servers":{"h:7000":{}}}', "boolean for a number": b'{"over_share_worth":true}',
    "nothing": b"",
}  # fmt: skip


@pytest.fixture(scope="module")
def base():
    small = Small(hosts=2)
    return document(small.stage.gateways[0].config.raw)


@pytest.mark.parametrize("kind", sorted(BAD))
def test_a_bad_patch_is_refused_by_all_whatever_they_have_seen_before(base, kind):
    tenants = json.loads(base)["tenants"]
    patch = BAD[kind].replace(b"PAID", PAID.encode())
    if kind == "all tenants away":
        patch = canonical({"tenants": dict.fromkeys(tenants)})
    fresh, used = Shared(), Shared()
    grown, fault = used.check(base, b'{"titles":{"new":{}}}')
    assert not fault
    told = {judge.check(base, patch) for judge in (fresh, used, Shared())}
    assert len(told) == 1
    after, fault = told.pop()
    assert after is None and fault and fault.isascii() and len(fault) < 4000
    assert used.check(grown, b"{}") == (grown, "")  # and what is good stays so


def test_verdicts_do_not_depend_on_what_was_judged_before(base):
    """Random patches, good and bad, on random documents: one judge that saw all says what a new one says."""
    draw, old, documents = random.Random(7), Shared(), [base]
    values = [None, {}, 3, {"copies": 2}, {"home": 5, "copies": 0}, {"live": True}, {"seconds": 30.0}]
    good = 0
    for _ in range(150):
        part = draw.choice(["titles", "tenants", "servers", "classes"])
        name = draw.choice(["gate-1", "gate-2", "north-tv", PAID, "fresh", "h:1"])
        patch = canonical({part: {name: draw.choice(values)}})
        on = draw.choice(documents)
        told = old.check(on, patch)
        assert told == Shared().check(on, patch)
        if told[0] is not None:
            good += 1
            assert told[0] == canonical(json.loads(told[0]))
            documents = [*documents, told[0]][-5:]
    assert 30 < good < 140


def test_a_document_is_taken_in_one_form_only(base):
    """Danger: two texts of one document have two digests, and gateways that agree would see a fork."""
    told = json.loads(base)
    key = dict(told["access"]["viewers-1"], extra=1.5)
    good = canonical({**told, "access": {"viewers-1": key}})
    assert Shared().check(good, b"{}") == (good, "")
    turned = canonical(told).replace(b'"titles":', b'"tenants":{},"titles":')
    numbers = [good.replace(b"1.5", each) for each in (b"1e999", b"15e-1", b"1.50")]
    for bad in (json.dumps(told).encode(), turned, base + b" ", *numbers):
        assert Shared().check(bad, b"{}")[0] is None
    one, other = (Shared().check(base, b'{"titles":{"gate-1":{"home":%d}}}' % n)[0] for n in (7, 8))
    judge = Shared()
    assert (
        len(one) == len(other) and judge.check(one, b"{}")[0] == one and judge.check(other, b"{}")[0] == other
    )


def test_the_quick_look_agrees_with_the_schema():
    parts, said = SCHEMA["properties"], []
    numbers = [0, 1, -1, 1.0, 2.5, True, False, 10**9, 1e300, 65_535, 65_536, 255, 256]
    values = [*numbers, None, "", "x", "a b", "free", "h:1", "h:1:2", "x" * 5000, [], {}, "HS256", "oct"]
    paid = {"name": "x", "effect": "free", "aim_ms": 5, "deadline_ms": 500, "worth": 1}
    key = {"kty": "oct", "kid": "x", "alg": "HS256", "other": 5}
    goods = {"classes": paid, "servers": {"address": "h:1", "cell": 1}, "tenants": {"name": "x"}}
    rows = [(parts[part]["items"], good) for part, good in goods.items()]
    rows += [(parts["titles"]["additionalProperties"], {})]
    rows += [(parts["tokens"]["properties"]["access"]["items"], key)]
    for schema, good in rows:
        judge, slow = fits(schema), Draft202012Validator(schema)
        others = [{n: v for n, v in good.items() if n != name} for name in good]
        others += [{**good, name: value} for name in (*schema["properties"], "more") for value in values]
        for value in (good, *others, [], 5, None):
            said.append(judge(value))
            assert said[-1] == slow.is_valid(value), value
    assert 40 < said.count(True) < said.count(False)


def test_sessions_play_on_over_a_change_and_new_titles_can_be_asked_for():
    small = Living()
    assert small.plays() == 200 and small.plays(title="new") == 404
    number = small.gateway.config.titles["gate-2"].number
    small.patch(titles={"aa-new": {"copies": 4, "seconds": 5.0}, "gate-2": {"seconds": 9.0}})
    assert small.gateway.config.titles["gate-2"].number == number  # though a name before it came in
    assert small.plays(title="aa-new", key="k2") == 200
    assert {row["title"] for row in small.seen("ran")} == {"gate-1", "aa-new"}
    assert small.plays() == 200 and len(small.seen("ran")) == 2  # the session of before is still the key's


def test_a_title_taken_out_is_refused_to_new_viewers_and_plays_to_its_end():
    small = Living()
    assert small.plays() == 200
    session = next(iter(small.gateway.core.book.sessions.by_number.values()))
    small.patch(titles={"gate-1": None})
    assert small.plays(key="other") == 404 and small.plays() == 200  # his manifest refreshed
    small.run(2)
    assert session.is_playing and len(small.seen("ran")) == 1
    small.run(30)
    assert not small.gateway.core.book.held
    assert small.plays() == 404
    small.patch(titles={"gate-1": {"copies": 4}})
    assert small.plays(key="again") == 200
    assert small.gateway.config.titles["gate-1"].number == session.request.title


def test_a_paid_session_keeps_the_figures_of_its_class_and_its_key():
    small = Living()
    replies, _ = small.manifest(PAID, key="p")
    small.run(0.5)
    assert replies[0].status == 200
    core, module = small.gateway.core, small.gateway.controller
    number, session = next(iter(core.book.sessions.by_number.items()))
    place, before = session.request.service, core.settings.classes[session.request.service]
    small.patch(classes={PAID: {"scale": 7.0, "worth": 99.0, "top": 1, "deadline_ms": 900}})
    assert core.settings.classes[place].scale == 7.0 == module.settings.classes[place].scale
    assert core.service_class(number, place) == before == module.sessions[number].service
    assert core._rate_kb(number, 1) == before.scale * core.settings.rung_kb[1]
    assert small.plays(PAID, key="p") == 200 and len(small.seen("ran")) == 1  # no second charge
    assert small.plays(PAID, key="q") == 200
    newest = max(core.book.sessions.by_number)
    assert core.service_class(newest, place).scale == 7.0 and core.book.sessions.get(newest).is_free is False
    small.run(40)
    small.patch(over_share_worth=0.5)
    assert not core._original_classes  # what is over is forgotten


def test_keys_tenants_and_servers_change_while_it_runs():
    small = Living(hosts=4)
    tenants = list(small.gateway.config.tenants)
    assert small.plays() == 200
    small.patch(access={"viewers-2": KEY, "viewers-1": None})
    assert small.plays(key="b") == 401
    small.patch(access={"viewers-1": KEY})
    small.patch(tenants={"west-tv": {"share": 0.1}, "north-tv": None})
    assert small.plays(key="c") == 403
    place = small.gateway.config.tenants["west-tv"]
    assert place == len(tenants) and len(small.gateway.config.settings.tenants) == place + 1
    small.patch(tenants={"north-tv": {"share": 0.2}})
    assert small.gateway.config.tenants["north-tv"] == tenants.index("north-tv")
    host = small.stage.hosts[0].name
    small.patch(servers={host: None})
    assert host.encode() not in {e.server for e in small.gateway.list.entries}
    before = len(small.seen("ran"))
    for each in range(6):
        assert small.plays(key=f"d{each}") == 200
    assert all(row["host"] != host for row in small.seen("ran")[before:])


def test_what_does_not_suit_this_gateway_alone_leaves_all_as_it_was():
    small = Living()
    before = small.gateway.config
    rungs = len(before.settings.rung_kb)
    fault = small.patch(classes={PAID: {"floor": rungs}}, titles={"aa": {}})
    assert "floor" in fault and small.gateway.config is before
    assert "aa" not in small.places.names["titles"] and small.plays(title="aa") == 404
    assert small.plays() == 200
    assert small.patch(classes={PAID: {"floor": 0}}) == "" and small.plays(title="aa", key="z") == 200


def test_an_effect_that_this_gateway_did_not_begin_with_does_not_suit_it(base):
    """Danger: a paid class that is free in the document of others would be set up twice here."""
    small = Living()
    told = json.loads(small.document)
    told["classes"][PAID]["effect"] = "free"
    other = canonical(told)
    assert Shared().check(other, b"{}") == (other, "")
    assert "effect" in small.live.apply(other)
    place = small.gateway.config.classes[PAID]
    assert small.gateway.controller.settings.classes[place].effect is Effect.SINGLE_SHOT


def test_numbers_of_titles_that_come_and_go_are_used_again_once_nobody_plays_them():
    small = Small(hosts=2)
    places = Places(small.stage.gateways[0].config)
    told = json.loads(document(small.stage.gateways[0].config.raw))
    keep = dict(told["titles"])
    used: set[int] = set()
    for life in range(5):
        told["titles"] = {**keep, **{f"clip-{life}-{n}": {} for n in range(MOST_GONE // 2)}}
        config = places.take_up(told, lambda used=used: used)
        used = used or {config.titles["clip-0-7"].number}
    assert len(places.names["titles"]) <= MOST_GONE * 2 + len(keep)
    numbers = [title.number for title in (*config.titles.values(), *places.gone.values())]
    assert len(set(numbers)) == len(numbers) and {places.gone["clip-0-7"].number} == used
    assert all(places.names["titles"][t.number] == t.name for t in config.titles.values())


def test_the_command_line_tells_what_is_wrong_before_it_calls(tmp_path):
    patch, admin = tmp_path / "patch.json", ["--admin", "127.0.0.1:1"]
    for bad in ("[", "[]", '{"titles": NaN}'):
        patch.write_text(bad, encoding="utf-8")
        assert CliRunner().invoke(main, ["config", "publish", str(patch), *admin]).exit_code == 2
    assert CliRunner().invoke(main, ["config", "take-over", *admin]).exit_code == 2  # not confirmed
    told = {"gateway": "gw0", "term": 1, "number": 2, "digest": "d", "publisher": False, "settled": True}
    told |= {"behind_s": 4.0, "refused": {"head": "1.3/e", "fault": "why"}, "misfit": "floor", "forks": 1}
    lines = lines_of(told)
    assert len(lines) == 4 and "behind for 4.0 s" in lines[0] and "1.3/e: why" in lines[1]


def test_bounds_of_document_and_patch(base):
    told = json.loads(base)
    fill = {f"t{n:06d}": {"home": 1} for n in range(MAX_DOCUMENT_BYTES // 20)}
    large = canonical({**told, "titles": fill})
    assert len(large) > MAX_DOCUMENT_BYTES
    assert Shared().check(large, b"{}")[0] is None
    assert Shared().check(base, b" " * MAX_PATCH_BYTES + b"{}")[0] is None
