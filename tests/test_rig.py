"""Gateways and links that fail: drills of membership in memory and on processes, and that faults are seen."""

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
OWN = ("alive_not_dead", "talks_not_out", "views_agree")


@pytest.mark.parametrize("name", [*members.CASES, "secrets", "three-of-five"])
def test_each_hard_case_keeps_all_rules_in_memory(name):
    small = replace(drills.DRILLS[f"members-{name}"].day, rate=3.0)
    report = drills.run(f"members-{name}", 3, "memory", day=small)
    assert report["good"], report["rules"]
    assert all(report["rules"][rule]["checked"] for rule in OWN)
    # calls of one whose clock is wrong are taken for old ones: it learns nothing and does not vote
    assert report["measures"]["vote_at_end"] == report["measures"]["live_at_end"] - (name == "clock") >= 4


def test_drawn_days_keep_all_rules_and_the_same_seed_is_the_same_day():
    reports = [drills.run("members", seed, "memory") for seed in (1, 2, 1)]
    assert all(report["good"] for report in reports), reports
    assert json.dumps(reports[0]) == json.dumps(reports[2])


def test_a_lost_machine_costs_no_more_than_a_dead_process():
    worth = {}
    for name in ("refuses", "vanishes", "unheard"):
        report = drills.run(f"roaming-{name}", 601, "memory")
        assert report["good"], report["rules"]
        worth[name] = report["worth"]["answered"] / report["worth"]["asked"]
    # of the viewers of one that vanished a few wait for a connection in vain; those of one that is not heard
    # are told to ask elsewhere, as it cannot ask who owns their keys
    assert worth["vanishes"] > worth["refuses"] - 0.05 and worth["unheard"] > worth["refuses"] - 0.05
    assert report["measures"]["misdirected"] > 20


def test_processes_with_links_between_them_keep_all_rules():
    day = replace(drills.DRILLS["members-killed"].day, load_s=8.0, whole_s=24.0, rate=5.0)
    report = drills.run("members-killed", 2, "loopback", day=day)
    assert report["good"], report["rules"]
    assert all(report["rules"][rule]["checked"] for rule in OWN)


def test_no_two_names_have_one_port():
    port_of = Ports(own_address())
    # 700 numbers drawn freely from some 28,000 would hold about nine twice
    assert len({port_of(f"link-{number}") for number in range(700)}) == 700


# The ways of both networks: the same fault looks the same to who is at its end


def exchange(loops, cases):
    """Give what a caller hears, over ways of which each has a fault."""
    told = {}
    for name, way, (near, run, setup) in cases:
        setup(way)
        replies = []
        client = HttpClient(near, ClientLimits(connect_time=300_000))
        client.call(loops["to"], "POST", "/", replies.append, [], b"x" * 300, near.now() + 800_000)
        run(near.now() + SECOND)
        told[name] = replies[0] if isinstance(replies[0], CallFailure) else replies[0].status
    return told


def answer(exchange_):
    exchange_.respond(200, [], b"y" * 300)


WAYS = {"plain": PathConditions(), "late": PathConditions(extra_delay=100_000),
    "cut": PathConditions(is_cut=True), "swallows": PathConditions(is_black_hole=True),
        "short": PathConditions(truncation=1.0)}  # fmt: skip


def test_the_ways_of_both_networks_are_alike():
    world = World(1)
    near, far = world.node("gw0"), world.node("gw1")
    HttpServer(far, "gw1", 80, answer)
    put = partial(world.path_conditions.__setitem__, ("gw1", "gw0"))
    memory = exchange({"to": ("gw1", 80)}, [(n, w, (near, world.run, put)) for n, w in WAYS.items()])

    loop = SelectorLoop()
    address = own_address()
    port_of = Ports(address)
    links = Links(loop, address, 2, port_of, 1)
    try:
        server = HttpServer(loop, address, port_of("gw1-peers"), answer)
        links.listen(1)
        host, _, port = links.place(0, 1).rpartition(":")
        put = partial(links.ways.__setitem__, (1, 0))
        cases = [(n, w, (loop, loop.run, put)) for n, w in WAYS.items()]
        real = exchange({"to": (host, int(port))}, cases)
        assert real["plain"] == real["late"] == 200 and real["cut"] is real["swallows"] is CallFailure.SILENT
        assert isinstance(real["short"], CallFailure)
        plain = [name for name in WAYS if name != "cut"]  # a connection into a cut path opens on a link only
        assert [real[name] for name in plain] == [memory[name] for name in plain]
        links.listen(1, False)
        put(PathConditions())
        refused = exchange({"to": (host, int(port))}, [("dead", PathConditions(), (loop, loop.run, put))])
        assert refused["dead"] is CallFailure.REFUSED
        server.close()
    finally:
        links.close()
        loop.close()


# What judges the views


def view(at, name, start, **stands):
    told = {other: (each, 1) for other, each in stands.items()}
    own = {"gateway": name, "start": start, "before": at, "votes": True}
    return {"what": "view", "at": at, **own, "stands": told}


def judged(*rows):
    found = Findings()
    views(list(rows), found, ["a", "b", "c"])
    return {rule for rule in OWN if found.broken.get(rule)}


def test_views_that_are_wrong_are_seen():
    well = [view(0, name, 1, **dict.fromkeys({"a", "b", "c"} - {name}, "heard")) for name in "abc"]
    late = SETTLED + MOST + 2
    assert judged(*well, view(late, "a", 1, b="heard", c="heard")) == set()
    assert judged(*well, view(1, "a", 1, b="refused", c="heard")) == {"alive_not_dead"}
    out = [view(1, "a", 1, b="confirmed", c="heard"), view(MOST + 2, "a", 1, b="confirmed", c="heard")]
    assert judged(*well, *out) == {"talks_not_out", "views_agree"}
    cut = {"what": "way", "at": 0, "source": "b", "target": "a", "talks": False}
    rest = {"what": "way", "at": 0, "source": "b", "target": "c", "talks": False}
    mended = [{**each, "at": late, "talks": True} for each in (cut, rest)]
    assert judged(*well, cut, rest, *out) - {"views_agree"} == set()
    end = view(2 * late, "a", 1, b="confirmed", c="heard")
    assert judged(*well, cut, rest, *out, *mended, end) == {"views_agree"}


@pytest.mark.parametrize("fault", ["no-refutation", "lost-is-dead"])
def test_a_machine_without_its_defences_is_found_out(fault):
    small = replace(drills.DRILLS["members-stopped"].day, rate=3.0)
    report = drills.run("members-stopped", 2, "memory", fault, small)
    assert any(report["rules"][rule]["broken"] for rule in OWN)
