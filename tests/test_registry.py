"""Eureka's registry: what is read, what is not believed, and what reaches the hosts."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from world import Small

from mintmast.decisions.hosts.registry import (
    POLLS_PER_FULL_READ,
    Instance,
    RegistryReader,
    build_list_entries,
    compute_hashcode,
)
from mintmast.interface import ServerState
from mintmast.lab import drills
from mintmast.lab.registry import RegistryStandIn
from mintmast.loop.memory import World
from mintmast.sources.eureka import EurekaSource
from mintmast.sources.eureka_bodies import RegistryError, read_applications
from mintmast.sources.registration import Registration

S = 1_000_000
EVERY = S // 4


def instance(number, status="UP", **more):
    return Instance("MEDIA", f"i{number}", f"10.0.0.{number}:9000", status, **more)


class Registry:
    """Two nodes, one reader, on a virtual clock."""

    def __init__(self, nodes=2):
        self.world = World(1)
        self.nodes = [RegistryStandIn(self.world.node(f"r{n}"), f"r{n}", 8761) for n in range(nodes)]
        self.good, self.bad, self.said = [], [], []
        addresses = tuple(f"http://r{n}:8761/eureka" for n in range(nodes))
        self.source = EurekaSource(
            self.world.node("g"), addresses, "media", EVERY, 1,
            lambda found: self.good.append({e.server.decode(): e for e in found}), self.bad.append,
            lambda event, **fields: self.said.append(fields),
        )  # fmt: skip

    def put(self, *numbers, **more):
        for number in numbers:
            for node in self.nodes:
                node.put(f"10.0.0.{number}:9000", **more)

    def run(self, seconds):
        self.world.run(self.world.time + int(seconds * S))

    def cells(self):
        return sorted(self.good[-1])


@pytest.mark.parametrize("form", ["json", "xml", "packed"])
def test_full_reads_and_deltas_tell_the_same_in_every_form(form):
    registry = Registry()
    for node in registry.nodes:
        node.form, node.packed = ("xml" if form == "xml" else "json"), form == "packed"
    registry.put(1, 2, cell=3, zone=1, weight=2.5, up_ms=1_800_000_000_000 - 60_000)
    registry.source.start()
    registry.run(1)
    entry = registry.good[0]["10.0.0.1:9000"]
    assert (entry.cell, entry.zone, entry.weight, entry.state) == (3, 1, 2.5, ServerState.READY)
    assert entry.started == 1  # a minute ago, before this world's clock began
    registry.put(2, status="OUT_OF_SERVICE")
    registry.put(3)
    registry.run(1)
    states = {name: entry.state for name, entry in registry.good[-1].items()}
    assert states == {
        "10.0.0.1:9000": ServerState.READY, "10.0.0.2:9000": ServerState.DRAINING,
        "10.0.0.3:9000": ServerState.READY,
    }  # fmt: skip
    assert registry.nodes[0].asked["full"] == 1 and registry.nodes[0].asked["delta"] >= 5 and not registry.bad


@pytest.mark.parametrize("fault", ["hang", "cut", "errors", "wrong_types", "dead"])
def test_a_node_that_fails_costs_a_poll_and_the_next_is_asked(fault):
    registry = Registry()
    registry.put(1, 2, 3)
    registry.source.start()
    registry.run(1)
    node = registry.nodes[0]
    if fault == "dead":
        registry.world.nodes["r0"].kill()
    else:
        setattr(node, fault, 500 if fault == "errors" else True)
    registry.nodes[1].put("10.0.0.4:9000")
    registry.run(2)
    if fault != "wrong_types":  # the call is answered, each instance in it is passed over and told
        assert "10.0.0.4:9000" in registry.cells() and registry.bad
    assert set(registry.cells()) >= {"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000"}


def test_both_nodes_dark_for_minutes_change_nothing_and_are_asked_within_their_pace():
    registry = Registry()
    registry.put(1, 2)
    registry.source.start()
    registry.run(1)
    lists, asked = len(registry.good), sum(sum(node.asked.values()) for node in registry.nodes)
    for node in registry.nodes:
        node.hang = True
    registry.run(300)
    assert len(registry.good) == lists and len(registry.bad) <= 300 * S // EVERY + 1
    for node in registry.nodes:
        node.hang = False
    registry.put(3)
    registry.run(1)
    assert "10.0.0.3:9000" in registry.cells()
    assert sum(sum(node.asked.values()) for node in registry.nodes) - asked < 10


@pytest.mark.parametrize("nodes", [1, 2])
@pytest.mark.parametrize("seconds", [2.5, 3.9])
def test_a_registry_that_begins_each_answer_late_is_heard(nodes, seconds):
    """Guards against giving each poll up before a slow or crowded registry begins to answer it."""
    registry = Registry(nodes)
    for node in registry.nodes:
        node.delay = int(seconds * S)
    registry.put(1)
    registry.source.start()
    registry.run(6)
    assert registry.cells() == ["10.0.0.1:9000"]
    registry.put(2, status="OUT_OF_SERVICE")
    registry.run(2 * seconds + 1)  # a poll may have begun just before the change
    assert registry.good[-1]["10.0.0.2:9000"].state is ServerState.DRAINING


def test_polls_that_fail_keep_their_jitter():
    """Guards against gateways that poll a failing registry at the same moments."""
    registry, times = Registry(1), []
    node = registry.nodes[0]
    answer, node.errors = node._answer, 500
    node._answer = lambda exchange: (times.append(registry.world.time), answer(exchange))
    registry.source.start()
    registry.run(5)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert len({gap // 5000 for gap in gaps}) > 3 and max(gaps) <= EVERY + 10_000


def test_a_delta_on_a_wrong_base_or_with_a_wrong_hash_leads_to_a_full_read():
    reader = RegistryReader(("a",), EVERY)
    reader.apply_full([instance(1), instance(2)])
    told = compute_hashcode([instance(1), instance(2), instance(3)])
    assert reader.apply_delta([("ADDED", instance(3))], told) is True
    assert (
        reader.apply_delta([("DELETED", instance(3)), ("MODIFIED", instance(2, "DOWN"))], "DOWN_1_UP_1_")
        is True
    )
    assert reader.apply_delta([("ADDED", instance(4))], told) is None and not reader.has_base
    assert reader.next_request() == ("a", False)
    assert {each.id for each in reader.instances.values()} == {"i1", "i2"}  # the wrong delta left no trace


def test_everything_is_read_anew_now_and_then_and_on_another_node():
    reader = RegistryReader(("a", "b"), EVERY)
    reader.apply_full([instance(1)])
    kinds = [reader.next_request()[1] for _ in range(2 * POLLS_PER_FULL_READ)]
    assert kinds.count(False) == 2
    reader.handle_failure()
    assert reader.next_request() == ("b", False)


def test_a_machine_in_the_place_of_another_and_a_restart_are_told_by_their_start():
    old, new = instance(1, "DOWN", started=5), Instance("MEDIA", "other", "10.0.0.1:9000", "UP", 9)
    (entry,) = build_list_entries([old, new], "media")
    assert (entry.started, entry.state) == (9, ServerState.READY)
    (entry,) = build_list_entries([new, old], "MEDIA")
    assert entry.started == 9
    assert build_list_entries([new], "OTHER") == ()


def test_the_clock_of_the_registry_may_be_off():
    body = json.dumps(
        {"applications": {"application": {"name": "M", "instance": {
            "ipAddr": "h", "port": {"$": 1}, "status": "UP", "leaseInfo": {"serviceUpTimestamp": 9e14},
        }}}}
    ).encode()  # fmt: skip
    found = read_applications(body, False, 50 * S, 1.8e9)
    assert found.changes[0].instance.started == 50 * S and not found.faults


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "instance", "port", "metadata", "status", "ipAddr", "$"]), inner
        )
    ),
    max_leaves=20,
)


@given(JSON, st.booleans())
def test_no_body_whatever_breaks_the_reader(value, wrapped):
    told = {"applications": {"application": value}} if wrapped else value
    try:
        read_applications(json.dumps(told).encode(), False, S, 1.8e9)
    except RegistryError:
        pass


@given(st.binary(max_size=300), st.booleans())
def test_no_bytes_whatever_break_the_reader(data, xml):
    try:
        read_applications(data, xml, S, 1.8e9)
    except RegistryError:
        pass


def test_the_gateway_registers_renews_comes_back_when_forgotten_and_cancels():
    world = World(1)
    node = RegistryStandIn(world.node("r"), "r", 8761)
    registration = Registration(world.node("g"), "http://r:8761/eureka", "gate", "gw0:8080", "gw0", 8080, S)
    registration.start()
    world.run(world.time + 3 * S)
    assert node.gateways["gw0:8080"]["status"] == "UP"
    node.gateways.clear()
    world.run(world.time + 3 * S)
    assert "gw0:8080" in node.gateways
    confirmed = []
    registration.cancel(lambda: confirmed.append(True))
    world.run(world.time + S // 2)
    assert not node.gateways and confirmed == [True]


def test_a_registration_that_was_taken_back_is_not_renewed():
    world = World(1)
    node = RegistryStandIn(world.node("r"), "r", 8761)
    registration = Registration(world.node("g"), "http://r:8761/eureka", "gate", "gw0:8080", "gw0", 8080, S)
    registration.start()
    world.run(world.time + 2 * S)
    registration.cancel()
    world.run(world.time + 5 * S)
    assert not node.gateways


@pytest.mark.parametrize("is_reachable", [True, False])
def test_a_gateway_that_shuts_down_takes_its_registration_back_and_waits_for_no_dead_registry(is_reachable):
    world = Small()
    gateway, network = world.stage.gateways[0], world.stage.world
    node = RegistryStandIn(network.node("r"), "r", 8761)
    gateway.registration = Registration(gateway.loop, "http://r:8761/eureka", "gate", "g:1", "g", 1, 30 * S)
    gateway.registration.start()
    world.run(1)
    assert "g:1" in node.gateways
    if not is_reachable:
        network.cut_paths |= {("r", gateway.loop.name), (gateway.loop.name, "r")}
    drained = []
    gateway.drain(lambda: drained.append(True))
    world.run(2)
    assert drained and ("g:1" not in node.gateways) == is_reachable


def test_a_dark_or_half_empty_registry_costs_no_service():
    calm = drills.run("registry-calm", 3, "memory")["worth"]["answered"]
    for name in ("registry-dark", "registry-half"):
        report = drills.run(name, 3, "memory")
        assert report["good"] and report["worth"]["answered"] >= 0.99 * calm
    report = drills.run("registry", 3, "memory")
    assert report["good"] and report["measures"]["sent_to_unlisted"] == 0
