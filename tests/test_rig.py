"""Failing gateways and links: membership drills in memory and on processes, and detection of faults."""

import json
from dataclasses import replace
from functools import partial

import pytest

from mintmast.http.client import CallFailure, ClientLimits, HttpClient
from mintmast.http.server import HttpServer
from mintmast.lab import drills
from mintmast.lab.audit import Findings
from mintmast.lab.drills import members
from mintmast.lab.links import Links
from mintmast.lab.ports import Ports, own_address
from mintmast.lab.views import MOST, SETTLED, views
from mintmast.loop.memory import PathConditions, World
from mintmast.loop.real import SelectorLoop

SECOND = 1_000_000
MEMBERSHIP_RULES = ("alive_not_dead", "talks_not_out", "views_agree")


@pytest.mark.parametrize("name", [*members.CASES, "secrets", "three-of-five"])
def test_each_fault_case_keeps_all_rules_in_memory(name):
    small = replace(drills.DRILLS[f"members-{name}"].day, rate=3.0)
    report = drills.run(f"members-{name}", 3, "memory", day=small)
    assert report["good"], report["rules"]
    assert all(report["rules"][rule]["checked"] for rule in MEMBERSHIP_RULES)
    # calls of a gateway with a wrong clock are rejected as old: it learns nothing and does not vote
    assert report["measures"]["vote_at_end"] == report["measures"]["live_at_end"] - (name == "clock") >= 4


def test_random_drills_keep_all_rules_and_are_reproducible():
    reports = [drills.run("members", seed, "memory") for seed in (1, 2, 1)]
    assert all(report["good"] for report in reports), reports
    assert json.dumps(reports[0]) == json.dumps(reports[2])


def test_a_lost_machine_serves_about_as_many_viewers_as_a_dead_process():
    worth = {}
    for name in ("refuses", "vanishes", "unheard"):
        report = drills.run(f"roaming-{name}", 601, "memory")
        assert report["good"], report["rules"]
        worth[name] = report["worth"]["answered"] / report["worth"]["asked"]
    # A few viewers of a vanished gateway wait for a connection in vain. Viewers of an unheard gateway are
    # redirected to another one, because it cannot ask the others for the owners of their keys.
    assert worth["vanishes"] > worth["refuses"] - 0.05 and worth["unheard"] > worth["refuses"] - 0.05
    assert report["measures"]["misdirected"] > 20


def test_processes_with_links_between_them_keep_all_rules():
    day = replace(drills.DRILLS["members-killed"].day, load_s=8.0, whole_s=24.0, rate=5.0)
    report = drills.run("members-killed", 2, "loopback", day=day)
    assert report["good"], report["rules"]
    assert all(report["rules"][rule]["checked"] for rule in MEMBERSHIP_RULES)


def test_ports_of_different_names_are_distinct():
    port_of = Ports(own_address())
    # of 700 numbers drawn independently from about 28,000, about nine would collide
    assert len({port_of(f"link-{number}") for number in range(700)}) == 700


# A fault of a path has the same effect for a caller on both networks


def call_over_paths(loops, cases):
    """Return the result of a call for each case, each with a fault of the path."""
    results = {}
    for name, conditions, (near, run, apply) in cases:
        apply(conditions)
        replies = []
        client = HttpClient(near, ClientLimits(connect_time=300_000))
        client.call(loops["to"], "POST", "/", replies.append, [], b"x" * 300, near.now() + 800_000)
        run(near.now() + SECOND)
        results[name] = replies[0] if isinstance(replies[0], CallFailure) else replies[0].status
    return results


def answer(exchange):
    exchange.respond(200, [], b"y" * 300)


PATHS = {
    "plain": PathConditions(),
    "late": PathConditions(extra_delay=100_000),
    "cut": PathConditions(is_cut=True),
    "swallows": PathConditions(is_black_hole=True),
    "short": PathConditions(truncation=1.0),
}


def test_path_faults_look_alike_on_both_networks():
    world = World(1)
    near, far = world.node("gw0"), world.node("gw1")
    HttpServer(far, "gw1", 80, answer)
    put = partial(world.path_conditions.__setitem__, ("gw1", "gw0"))
    memory = call_over_paths({"to": ("gw1", 80)}, [(n, w, (near, world.run, put)) for n, w in PATHS.items()])

    loop = SelectorLoop()
    address = own_address()
    port_of = Ports(address)
    links = Links(loop, address, 2, port_of, 1)
    try:
        server = HttpServer(loop, address, port_of("gw1-peers"), answer)
        links.listen(1)
        host, _, port = links.place(0, 1).rpartition(":")
        put = partial(links.ways.__setitem__, (1, 0))
        cases = [(n, w, (loop, loop.run, put)) for n, w in PATHS.items()]
        real = call_over_paths({"to": (host, int(port))}, cases)
        assert real["plain"] == real["late"] == 200 and real["cut"] is real["swallows"] is CallFailure.SILENT
        assert isinstance(real["short"], CallFailure)
        plain = [name for name in PATHS if name != "cut"]  # over a cut path, only links open connections
        assert [real[name] for name in plain] == [memory[name] for name in plain]
        links.listen(1, False)
        put(PathConditions())
        refused = call_over_paths(
            {"to": (host, int(port))}, [("dead", PathConditions(), (loop, loop.run, put))]
        )
        assert refused["dead"] is CallFailure.REFUSED
        server.close()
    finally:
        links.close()
        loop.close()


# Checks of the gateways' views of each other


def view(at, name, start, **stands):
    states = {other: (each, 1) for other, each in stands.items()}
    own = {"gateway": name, "start": start, "before": at, "votes": True}
    return {"what": "view", "at": at, **own, "stands": states}


def broken_rules(*rows):
    found = Findings()
    views(list(rows), found, ["a", "b", "c"])
    return {rule for rule in MEMBERSHIP_RULES if found.broken.get(rule)}


def test_wrong_views_are_detected():
    all_heard = [view(0, name, 1, **dict.fromkeys({"a", "b", "c"} - {name}, "heard")) for name in "abc"]
    late = SETTLED + MOST + 2
    assert broken_rules(*all_heard, view(late, "a", 1, b="heard", c="heard")) == set()
    assert broken_rules(*all_heard, view(1, "a", 1, b="refused", c="heard")) == {"alive_not_dead"}
    unreachable = [
        view(1, "a", 1, b="confirmed", c="heard"),
        view(MOST + 2, "a", 1, b="confirmed", c="heard"),
    ]
    assert broken_rules(*all_heard, *unreachable) == {"talks_not_out", "views_agree"}
    cut = {"what": "way", "at": 0, "source": "b", "target": "a", "talks": False}
    rest = {"what": "way", "at": 0, "source": "b", "target": "c", "talks": False}
    restored = [{**each, "at": late, "talks": True} for each in (cut, rest)]
    assert broken_rules(*all_heard, cut, rest, *unreachable) - {"views_agree"} == set()
    end = view(2 * late, "a", 1, b="confirmed", c="heard")
    assert broken_rules(*all_heard, cut, rest, *unreachable, *restored, end) == {"views_agree"}


def test_a_run_in_which_no_gateway_was_out_of_reach_counts_that_rule_as_judged():
    found = Findings()
    views(
        [view(0, name, 1, **dict.fromkeys({"a", "b"} - {name}, "heard")) for name in "ab"], found, ["a", "b"]
    )
    assert found.as_dict()["talks_not_out"] == {"checked": 1, "broken": 0, "first": []}


@pytest.mark.parametrize("fault", ["no-refutation", "lost-is-dead"])
def test_a_drill_detects_a_gateway_without_its_safeguards(fault):
    small = replace(drills.DRILLS["members-stopped"].day, rate=3.0)
    report = drills.run("members-stopped", 2, "memory", fault, small)
    assert any(report["rules"][rule]["broken"] for rule in MEMBERSHIP_RULES)
