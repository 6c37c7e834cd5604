"""Transport of membership: authenticated bytes, gateways in memory, real processes, and the commands."""

import json
import signal
import time

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from mintmast.cli import main
from mintmast.decisions.gateways.gossip_messages import MAX_UPDATES, GossipKind, GossipMessage, MemberUpdate
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.http.server import HttpServer
from mintmast.lab.drills.day import Day, model
from mintmast.lab.drills.day import settings as day_settings
from mintmast.lab.loopback import LoopbackStage
from mintmast.lab.stage import MemoryStage
from mintmast.loop.memory import World
from mintmast.peers.membership_transport import MAX_DATAGRAM_BYTES, MembershipTransport

SECRETS = ["a secret of thirty-two characters", "another one of thirty-two letters"]
# seconds of real time that a process may need; no assertion measures it
TIMEOUT_SECONDS = 40


def transport_of(world=None, name="a", secrets=SECRETS):
    world = world or World(1)
    node = world.node(name)
    members = {each: (each, 7946) for each in ("a", "b", "c")}

    def handle(exchange):
        reply = transport.handle_request(exchange.body)
        exchange.respond(200, [], reply) if reply is not None else exchange.respond_problem(401, "no")

    HttpServer(node, name, 7946, handle)
    transport = MembershipTransport(
        node, name, 1, members, secrets, (name, 7946), 1, lambda event, **fields: None
    )
    return world, transport


def test_three_gateways_on_a_lossy_network_and_a_change_of_secrets():
    world = World(1)
    world.loss = world.duplication = 0.2
    transports = [transport_of(world, name, SECRETS[:: -1 if name == "b" else 1])[1] for name in "abc"]
    world.run(world.time + 10_000_000)
    for transport in transports:
        assert {each["stands"] for each in transport.state()["members"].values()} == {"heard"}
        assert transport.unauthenticated == 0 and transport.members.dropped["doubled"]
    transports[2]._secrets = [b"one that nobody else knows, alas, at all"]
    world.run(world.time + 20_000_000)
    assert transports[0].unauthenticated and transports[0].state()["members"]["c"]["stands"] == "confirmed"


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=1500), st.integers(0, 200))
def test_invalid_bytes_are_dropped_and_counted(data, cut):
    _, transport = transport_of()
    valid = transport.encode(GossipMessage(GossipKind.PING, "b", 9, 0, 1, 1))
    assert transport.decode(valid) is not None
    for invalid in (data, valid[: min(cut, len(valid) - 1)], valid + b"x"):
        assert transport.decode(invalid) is None
    assert transport.malformed + transport.unauthenticated == 3


def test_a_message_with_the_longest_names_fits_one_datagram_with_some_updates():
    _, transport = transport_of()
    updates = tuple(MemberUpdate(f"{n:0100}", 1 << 45, 1 << 20, 1, f"{n:0100}") for n in range(MAX_UPDATES))
    message = GossipMessage(
        GossipKind.ACK, "x" * 100, 1 << 45, 1 << 20, 1 << 40, 1 << 30, "y" * 100, 1 << 30, updates
    )
    data = transport.encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES and 0 < len(transport.decode(data).updates) < MAX_UPDATES


def stage_of(kind, gateways=3, **more):
    day = Day(gateways=gateways)
    stage = kind(1, {**day_settings(day), **more}, model(day))
    for number in range(2):
        stage.start_host(number)
    return stage


def test_a_dead_process_is_distinguished_from_a_broken_path():
    stage = stage_of(MemoryStage)
    try:
        for number in range(3):
            stage.start_gateway(number)
        stage.begin()
        stage.run(6)
        stage.kill_gateway(1)
        for end in ("gw0", "gw1"):
            stage.world.cut_paths |= {(end, "gw2"), ("gw2", end)}
        stage.run(16)
        part = stage.gateways[0].roster.members
        assert part.liveness("gw1") is Liveness.REFUSED and part.liveness("gw2") is Liveness.CONFIRMED
        stage.world.cut_paths.clear()
        stage.start_gateway(1)
        stage.run(30)
        for gateway in stage.gateways.values():
            assert set(each.liveness for each in gateway.roster.members.others.values()) == {Liveness.HEARD}
    finally:
        stage.close()


class Region:
    """Processes of `mintmast serve`, queried as by an operator."""

    def __init__(self):
        self.stage = stage_of(LoopbackStage)
        self.admins = [f"{self.stage.address}:{self.stage._port(f'admin{n}')}" for n in range(3)]
        for number in range(3):
            host, _, port = self.admins[number].rpartition(":")
            self.stage.settings["admin"] = {"host": host, "port": int(port), "token": "operators"}
            self.stage.start_gateway(number)
        self.stage.wait_for_gateways()

    def run_command(self, *args):
        return CliRunner().invoke(main, ["members", *args], env={"MINTMAST_ADMIN_TOKEN": "operators"})

    def liveness_at(self, number):
        reports = json.loads(self.run_command("--admin", self.admins[number], "--json").stdout)
        return {name: each["stands"] for name, each in reports[0]["members"].items()} if reports else {}

    def until(self, number, **stands):
        end = time.monotonic() + TIMEOUT_SECONDS
        while {name: self.liveness_at(number).get(name) for name in stands} != stands:
            assert time.monotonic() < end, (self.liveness_at(number), stands)
            self.stage.loop.run(self.stage.now() + 100_000)

    def changes_seen_by(self, number, name):
        """Return what a gateway's log says of a member, change by change."""
        with open(f"{self.stage.folder.name}/gw{number}.log", encoding="utf-8") as log:
            lines = [json.loads(line) for line in log if line.endswith("\n")]
        return [line["stands"] for line in lines if line["event"] == "member" and line["name"] == name]

    def signal(self, number, what):
        self.stage._processes[number].send_signal(what)


@pytest.fixture(scope="module")
def region():
    made = Region()
    yield made
    made.stage.close()


def test_a_stopped_process_is_unreachable_and_never_ended(region):
    region.until(0, gw1="heard", gw2="heard")
    region.signal(2, signal.SIGSTOP)
    try:
        region.until(0, gw1="heard", gw2="confirmed")
        region.until(1, gw0="heard", gw2="confirmed")
    finally:
        region.signal(2, signal.SIGCONT)
    region.until(2, gw0="heard", gw1="heard")
    region.until(0, gw1="heard", gw2="heard")
    logs = (region.stage.folder.name + "/gw2.log", region.stage.folder.name + "/gw0.log")
    lines = [json.loads(line) for line in open(logs[0], encoding="utf-8")]
    assert any(each["event"] == "membership" and each["what"] == "stood_still" for each in lines)
    assert not [e for e in lines if e["event"] == "member" and e["stands"] == Liveness.CONFIRMED.value]


def test_a_killed_process_ends_by_refusal_and_returns_with_its_next_start(region):
    region.until(0, gw1="heard", gw2="heard")
    region.stage.kill_gateway(1)
    region.until(0, gw1="refused")
    region.until(2, gw0="heard", gw1="refused")
    shown = region.run_command("--admin", region.admins[0], "--admin", region.admins[2])
    assert "gw1: refused" in shown.stdout
    host, _, port = region.admins[1].rpartition(":")
    region.stage.settings["admin"] = {"host": host, "port": int(port), "token": "operators"}
    region.stage.start_gateway(1)
    region.until(0, gw1="heard")
    region.until(1, gw0="heard", gw2="heard")


def test_forget_requires_confirmation(region):
    refused = region.run_command("forget", "gw2", "--admin", region.admins[0])
    assert refused.exit_code == 2 and "charged twice" in refused.stderr
    assert region.run_command("forget", "nobody", "--yes", "--admin", region.admins[0]).exit_code == 1
    assert region.run_command("--admin", "nowhere").exit_code == 2


def test_an_orderly_shutdown_is_announced(region):
    """Guards against a shutdown that others learn of by a refused connection or by silence first.

    The state is read from the log, as it lasts only until the next probe of the ended process is refused.
    """
    region.until(0, gw1="heard")
    before = len(region.changes_seen_by(0, "gw1"))
    region.signal(1, signal.SIGTERM)
    end = time.monotonic() + TIMEOUT_SECONDS
    while len(region.changes_seen_by(0, "gw1")) == before:
        assert time.monotonic() < end
        region.stage.loop.run(region.stage.now() + 100_000)
    assert region.changes_seen_by(0, "gw1")[before] == Liveness.LEFT.value
