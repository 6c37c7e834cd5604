"""The whole path in memory: manifests, tokens, refusals, and the hard cases of a session's life."""

import re

import jwt
import pytest
from mpegdash.parser import MPEGDASHParser
from world import FREE, PAID, SECOND, Small, problem

from mintmast.fronts.dash.manifest import Manifests, Shape
from mintmast.fronts.tokens import AccessTokens, Keys, TokenError
from mintmast.http.client import CallFailure
from mintmast.lab.stage import ACCESS, SESSION
from mintmast.player import Player


def base_of(reply):
    host, path = re.search(rb"<BaseURL[^>]*>http://([^/]+)(/[^<]*)", reply.body).groups()
    return host.decode(), path.decode()


def fetch(small, host, target, method="GET"):
    name, _, port = host.rpartition(":")
    replies = []
    small.stage.client.call(
        (name, int(port)), method, target, replies.append, deadline=small.stage.now() + 3 * SECOND
    )
    small.run(0.8)
    return replies[0]


def test_manifest_carries_the_ladder_to_the_best_rung_and_a_token_that_opens_the_segments():
    small = Small()
    replies, _ = small.manifest(PAID, rung=2)
    small.run(1)
    reply = replies[0]
    assert reply.status == 200 and reply.headers["content-type"] == "application/dash+xml"
    mpd = MPEGDASHParser.parse(reply.body.decode())  # an independent parser
    ladder = mpd.periods[0].adaptation_sets[0].representations
    assert [(each.id, each.bandwidth) for each in ladder] == [("r1", 64_000), ("r2", 128_000)]
    assert mpd.type == "static" and mpd.media_presentation_duration == "PT5.000S"
    host, path = base_of(reply)
    segment = fetch(small, host, f"{path}r2/1.m4s")
    assert segment.status == 200 and "mb=" in segment.headers["cmsd-dynamic"]


def test_live_manifest_parses_and_names_a_clock_that_the_gateway_serves():
    shape = Shape(30.0, 2.0, True, (8.0, 16.0), 0, "http://g/dash/time")
    body = Manifests().build(shape, "http://h/s/a&b/", "t=1&u", "h", "http://g/steer?token=1&x=2")
    mpd = MPEGDASHParser.parse(body.decode())
    assert mpd.type == "dynamic" and mpd.minimum_update_period == "PT30.000S"
    assert mpd.base_urls[0].base_url_value == "http://h/s/a&b/"
    small = Small()
    replies, _ = small.get("/dash/time")
    small.run(0.1)
    assert re.fullmatch(rb"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", replies[0].body)


def test_a_live_title_plays_at_its_edge_and_its_refreshed_manifest_is_the_same_session():
    def live(conf):
        conf["titles"]["gate-1"]["live"] = True

    small = Small(hosts=2, change=live)
    reports = []
    headers = [("Authorization", f"Bearer {small.stage.token('viewer', 'north-tv', FREE, 3, 'k')}")]
    url = "http://gw0:8080/dash/gate-1/manifest.mpd"
    begun = small.stage.now()
    Player(small.stage.viewers, small.stage.client, url, headers, 3 * SECOND, reports.append, most=20.0)
    small.run(5)
    again, _ = small.manifest(FREE)
    while not reports:
        small.run(0.1)
    report = reports[0]
    assert report.whole and report.gaps == 0 and report.played_s == pytest.approx(20.0)
    assert (small.stage.now() - begun) / SECOND >= 13  # no segment before it was there
    assert base_of(again[0])[0] == report.host and len(small.seen("ran")) == 1


def test_a_token_opens_nothing_on_another_title_host_or_rung_nor_after_its_end():
    small = Small()
    replies, _ = small.manifest(rung=2)
    small.run(1)
    host, path = base_of(replies[0])
    other = next(each.name for each in small.stage.hosts.values() if each.name != host)
    assert fetch(small, other, f"{path}r0/1.m4s").status == 403
    assert fetch(small, host, f"{path}r3/1.m4s").status == 403
    assert fetch(small, host, f"{path}r0/1.m4s?title=gate-9").status == 403
    assert fetch(small, host, "/s/not-a-token/r0/1.m4s").status == 401
    assert fetch(small, host, f"{path}r0/1.m4s").status == 200
    assert fetch(small, host, f"{path}end", "POST").status == 204
    assert fetch(small, host, f"{path}r0/1.m4s").status == 403
    assert not small.stage.gateways[0].core.book.held  # its end was told


@pytest.mark.parametrize(
    ("claims", "status"),
    [
        ({}, 200),
        ({"exp": 100}, 401),
        ({"aud": "elsewhere"}, 401),
        ({"class": "unknown"}, 403),
        ({"tenant": "stranger"}, 403),
        ({"title": "gate-2"}, 403),
        ({"rung": "high"}, 401),
        ({"sub": 7}, 401),
        ({"exp": "soon"}, 401),
        ({"nbf": 1_900_000_000}, 401),
    ],
)
def test_access_tokens_are_checked_claim_by_claim(claims, status):
    small = Small(hosts=2)
    base = {
        "aud": "mintmast", "sub": "v", "tenant": "north-tv", "class": FREE, "exp": 1_800_009_999,
        "title": "gate-1",
    }  # fmt: skip
    key = Keys([ACCESS]).keys["viewers-1"][0].key
    try:
        token = jwt.encode({**base, **claims}, key, "HS256", {"kid": "viewers-1"})
    except TypeError:  # the library refuses to sign some of them: sign the JSON as it is
        import json

        token = jwt.PyJWS().encode(
            json.dumps({**base, **claims}).encode(), key, "HS256", {"kid": "viewers-1"}
        )
    replies, _ = small.get("/dash/gate-1/manifest.mpd", [("Authorization", f"Bearer {token}")])
    small.run(1)
    assert replies[0].status == status


def test_a_token_is_past_at_exactly_its_end():
    """On or after `exp` it is not to be taken (RFC 7519, 4.1.4); the skew is added to that."""
    keys = Keys([ACCESS])
    token = keys.sign("viewers-1", {"aud": "mintmast", "sub": "v", "exp": 1_800_000_000})
    for skew in (0, 30):
        tokens = AccessTokens(keys, "mintmast", skew)
        assert tokens.check(token, 1_800_000_000 + skew - 0.001).subject == "v"
        with pytest.raises(TokenError, match="expired"):
            tokens.check(token, 1_800_000_000 + skew)


def test_the_algorithm_is_the_keys_and_not_the_tokens():
    good = {"aud": "mintmast", "sub": "v", "tenant": "t", "class": FREE, "exp": 2_000_000_000}
    tokens = AccessTokens(Keys([ACCESS]), "mintmast", 30)
    key = Keys([ACCESS]).keys["viewers-1"][0].key
    for algorithm, secret in (("none", ""), ("HS512", key)):
        with pytest.raises(TokenError):
            tokens.check(jwt.encode(good, secret, algorithm, {"kid": "viewers-1"}), 1_800_000_000)
    with pytest.raises(TokenError):  # a session's token is no access token, though the secret were the same
        other = Keys([{**ACCESS, "kid": SESSION["kid"]}])
        tokens.check(other.sign(SESSION["kid"], good), 1_800_000_000)


def test_requests_that_are_no_manifest_get_what_http_says():
    small = Small(hosts=2)
    cases = [
        ("GET", "/nothing", 404), ("GET", "/dash/no-such/manifest.mpd", 404),
        ("POST", "/dash/gate-1/manifest.mpd", 405), ("GET", "/dash/gate-1/manifest.mpd", 401),
        ("GET", "/dash/gate-1/manifest.mpd?" + "&".join(f"a{n}=1" for n in range(50)), 400),
        ("GET", "/" + "x" * 20_000, 414),
    ]  # fmt: skip
    for method, target, status in cases:
        replies, _ = small.get(target, method=method)
        small.run(1)
        assert (target[:40], replies[0].status) == (target[:40], status)
        assert problem(replies[0])["status"] == status
    token = small.stage.token("v", "north-tv", FREE, 3, "k")
    replies, _ = small.get("/dash/gate-1/manifest.mpd", [("Authorization", f"Bearer {token}")], method="HEAD")
    small.run(1)
    assert replies[0].status == 200 and replies[0].body == b"" and not small.seen("set_up_came")


def test_a_paid_answer_cut_on_the_way_is_a_failure_with_one_set_up_and_the_host_is_told_to_end_it():
    for fault in ({"cut_answers": 1.0}, {"lose_answers": 1.0}):
        small = Small()
        for host in small.stage.hosts.values():
            host.draw = lambda: 0.5
            vars(host).update(fault)
        replies, _ = small.manifest(PAID)
        small.run(4)
        assert replies[0].status == 502 and "may have run" in problem(replies[0])["detail"]
        assert len(small.seen("ran")) == 1
        assert [row["why"] for row in small.seen("session_over")] == ["ended by its gateway"]
        again, _ = small.manifest(PAID)
        small.run(3)
        assert again[0].status == 502 and len(small.seen("ran")) == 1


def test_a_host_killed_in_the_middle_of_a_paid_set_up_fails_it_and_a_free_one_plays_elsewhere():
    for service, status in ((PAID, 502), (FREE, 200)):
        small = Small()
        for host in small.stage.hosts.values():
            host.slow = 300_000
        replies, _ = small.manifest(service)
        small.run(0.1)
        came = small.seen("set_up_came")[0]["host"]
        small.stage.kill_host(int(came.removeprefix("host").partition(":")[0]))
        small.run(3)
        assert replies[0].status == status


def test_a_hung_host_costs_a_paid_viewer_his_session_but_not_his_answer_in_time():
    small = Small()
    for host in small.stage.hosts.values():
        host.hang = True
    asked = small.stage.now()
    replies, _ = small.manifest(PAID, wait=1.99)
    small.run(2)
    assert replies[0].status == 502 and small.stage.now() - asked <= 2 * SECOND
    for host in small.stage.hosts.values():
        host.resume()
    small.run(6)
    # its set-up runs now, after it was given up: the host must be told to end it
    assert not any(host.sessions for host in small.stage.hosts.values())


def test_prefer_wait_shortens_the_time_to_the_answer():
    small = Small(hosts=2)
    for host in small.stage.hosts.values():
        host.hang = True
    replies, _ = small.manifest(PAID, headers=[("Prefer", "wait=0.5")], wait=0.49)
    small.run(1)
    assert not isinstance(replies[0], CallFailure)


def test_a_viewer_who_disconnects_while_his_set_up_is_out_leaves_nothing_behind():
    small = Small()
    for host in small.stage.hosts.values():
        host.slow = 200_000
    _, call = small.manifest(PAID)
    small.run(0.1)
    call.cancel()
    small.run(3)
    assert not any(host.sessions for host in small.stage.hosts.values())
    assert small.stage.gateways[0].core.book.held == 0


def test_two_requests_of_one_viewer_at_once_share_a_session():
    small = Small()
    first, _ = small.manifest(PAID)
    second, _ = small.manifest(PAID)
    small.run(1)
    assert first[0].status == second[0].status == 200 and base_of(first[0]) == base_of(second[0])
    assert len(small.seen("ran")) == 1


def test_refusal_says_when_to_return_and_that_it_did_not_run():
    small = Small(hosts=2)
    for host in small.stage.hosts.values():
        host.drain()
    small.run(0.5)
    replies, _ = small.manifest(PAID)
    small.run(0.5)
    assert replies[0].status == 503 and int(replies[0].headers["retry-after"]) >= 1
    assert "did not run" in problem(replies[0])["detail"]


def test_sessions_of_a_gateway_that_died_end_by_their_lease_and_the_next_life_serves():
    small = Small()
    small.manifest(FREE, title="gate-4")
    small.run(0.5)
    assert any(host.sessions for host in small.stage.hosts.values())
    small.stage.kill_gateway(0)
    small.run(4.5)
    assert [row["why"] for row in small.seen("session_over")] == ["lease over"]
    small.stage.start_gateway(0)
    small.run(0.5)
    replies, _ = small.manifest(FREE, key="k2")
    small.run(1)
    assert replies[0].status == 200


def test_rung_changes_reach_the_host_even_if_the_first_word_of_them_is_lost():
    small = Small()
    replies, _ = small.manifest(FREE, title="gate-4")
    small.run(0.2)
    host = next(each for each in small.stage.hosts.values() if each.sessions)
    name, held = next(iter(host.sessions.items()))
    core = small.stage.gateways[0].core
    core.book.sessions.by_number[core.session_number(name)].rung = 1  # as after a change whose call was lost
    host.sessions[name].seen += 10 * SECOND
    small.run(2)
    assert held.rung == 1 and held.kb == pytest.approx(8.0 * 0.7)


def test_the_end_of_a_clip_is_no_stall_however_late_its_timer_comes():
    """A real loop's timers come a millisecond or more late; a viewer at the clip's end sees nothing of it."""
    small = Small(hosts=2)
    reports, token = [], small.stage.token("viewer", "north-tv", FREE, 3, "k")
    real = small.stage.viewers.call_at
    small.stage.viewers.call_at = lambda at, do, *args: real(
        at + 5000 * (do.__name__ == "_played"), do, *args
    )
    headers = [("Authorization", f"Bearer {token}")]
    url = "http://gw0:8080/dash/gate-1/manifest.mpd"
    Player(small.stage.viewers, small.stage.client, url, headers, 3 * SECOND, reports.append)
    small.run(20)
    assert (
        reports[0].whole and reports[0].stalls == 0 and reports[0].played_s == pytest.approx(6.0, abs=0.01)
    )  # three segments
