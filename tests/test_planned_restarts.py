"""Planned restarts: which servers a new process may take for warm, while its list of servers is late.

Guards against the failure of review/8: a host restarted just before its gateway did, the list told of it 2 s
later, and the new process, to which sessions at other hosts were handed over, sent it all that it could.
"""

import json

import pytest
from helpers import T0, S, attempt_end, make_controller, request, server_entry, set_ups
from platform_world import SETTINGS, Param, Platform, encode, host_entry, list_event, set_up
from test_rules import SERVERS, TIMES, keeps_budget, set_up_times
from test_slow_start import CONNECT_TIME, HOST, HOST_START, MS, REQUESTS_PER_S, WINDOW, Fleet

from mintmast import Controller
from mintmast import interface as api
from mintmast.interface import NoteKind, Outcome
from mintmast.signalling.messages import MessageKind, encode_health_check
from mintmast.signalling.node import Node

# one gateway's share of the set-ups that a cold host bears in a window, with the settings of `helpers`
SHARE_OF_WINDOW = 2


def restart(handed_over, servers=4):
    """Return a controller that started at T0, with the given number of sessions handed over by server."""
    controller = Controller(make_controller().settings, 1)
    controller.handle(T0, api.Started())
    entries = tuple(server_entry(n) for n in range(servers))
    controller.handle(T0, api.ServerList(api.ListKind.CACHED, 1, entries))
    for number, count in handed_over.items():
        for session in range(count):
            opened = api.SessionOpen(1000 * (number + 1) + session, 1, 0, 77, 0, SERVERS[number], 90 * S)
            controller.handle(T0, opened)
    return controller


def report(controller, number, kind=NoteKind.RUNG, value=0.0):
    """Report on the first session that was handed over at a server."""
    controller.handle(T0, api.Note(1000 * (number + 1), SERVERS[number], kind, value))


def set_ups_by_server(controller):
    """Return the times of set-ups at each server, of 100 requests within 5 s."""
    times = {server: [] for server in SERVERS}
    for ref, now in enumerate(TIMES[:100]):
        for set_up_action in set_ups(controller.handle(now, request(ref, best=0))):
            times[set_up_action.server].append(now)
    return times


@pytest.mark.parametrize("stale", [0, 5])
def test_a_server_that_came_back_unlisted_before_a_planned_restart_gets_a_slow_start(stale):
    """Viewers whom nobody told that their sessions ended hand them over, too: `stale` is their number."""
    controller = restart({0: stale, 1: 5, 2: 5, 3: 5})
    for number in (1, 2, 3):
        report(controller, number)
    times = set_ups_by_server(controller)
    assert keeps_budget(times[SERVERS[0]], T0)
    assert sum(at < T0 + WINDOW for at in times[SERVERS[0]]) <= SHARE_OF_WINDOW
    assert sum(map(len, times.values())) == 100  # the others take what it does not get


@pytest.mark.parametrize("kind", list(NoteKind))
def test_a_server_that_reports_on_a_session_handed_over_is_warm(kind):
    controller = restart({0: 1}, servers=1)
    report(controller, 0, kind, 1.0 if kind is NoteKind.DELIVERED else 0.0)
    assert len(set_up_times(controller, TIMES[:40])) == 40


def test_a_server_at_which_a_session_handed_over_comes_to_its_end_is_warm():
    controller = restart({0: 1}, servers=1)
    controller.handle(T0, attempt_end(1000, SERVERS[0], Outcome.SERVED, complete=True))
    assert len(set_up_times(controller, TIMES[:40])) == 40


@pytest.mark.parametrize(
    "event",
    [
        attempt_end(1000, SERVERS[0], Outcome.RESET, complete=True),
        attempt_end(1000, SERVERS[0], Outcome.CANCELLED, complete=True),
        api.Note(1000, SERVERS[1], NoteKind.LINK, 0.5),
        api.Note(7, SERVERS[0], NoteKind.RUNG, 0.0),
    ],
    ids=["session cut", "session cancelled", "another server", "unknown session"],
)
def test_other_events_do_not_show_that_a_server_is_warm(event):
    controller = restart({0: 1}, servers=1)
    controller.handle(T0, event)
    assert keeps_budget(set_up_times(controller, TIMES), T0)


def report_use_of_new_session(controller, number, use, ref):
    """Report a server's use at the set-up of a session of this process, which takes 2 in 100 of the link."""
    (first,) = set_ups(controller.handle(T0, request(ref, best=0, home=number, copies=1)))
    controller.handle(T0, api.Playing(ref, 0, first.server, 1000))
    controller.handle(T0, api.Note(ref, first.server, NoteKind.LINK, use))


@pytest.mark.parametrize(("use", "is_warm"), [(0.02, False), (0.11, False), (0.2, False), (0.4, True)])
def test_a_server_that_others_use_as_much_as_the_fleet_is_warm(use, is_warm):
    """What the session of this process adds shows nothing, nor does a use far below that of other servers."""
    controller = restart({1: 1})
    for ref, (number, each) in enumerate({1: 0.5, 2: 0.5, 3: 0.5, 0: use}.items(), 900):
        report_use_of_new_session(controller, number, each, ref)
    now = T0 + S
    sent = [set_ups(controller.handle(now, request(ref, best=0, copies=1))) for ref in range(10)]
    assert (sum(map(len, sent)) == 10) is is_warm


def test_a_server_with_few_sessions_handed_over_may_have_started_shortly_before():
    """The previous process saw it return and sent it few set-ups; its list, and the new one, are older."""
    controller = restart({0: 2, 1: 10, 2: 10, 3: 10})
    for number in range(4):
        report(controller, number)
    times = set_ups_by_server(controller)
    assert keeps_budget(times[SERVERS[0]], T0)
    assert sum(map(len, times.values())) == 100


@pytest.mark.parametrize("count", [2, 20, 30])
@pytest.mark.parametrize("seed", range(3))
def test_a_tenth_of_the_gateways_restarted_keep_the_budget_of_a_host_that_came_back_unlisted(count, seed):
    """The others saw the host fail; those that restart had sessions handed over at other hosts alone."""
    fleet = Fleet(count, seed)
    for gateway in fleet.gateways:
        gateway.start(HOST_START - 60 * S, known=False)
        gateway.receive_list(HOST_START - 60 * S, host_start=0)
        gateway.request_session(HOST_START - 2 * S)
        cut = api.AttemptEnd(gateway.request_count, 0, HOST, Outcome.RESET, 0, True)
        gateway.controller.handle(HOST_START - S, cut)
    fleet.sends.clear()
    for gateway in fleet.gateways[: max(1, count // 10)]:
        gateway.start(HOST_START + 50 * MS, known=False)
        gateway.receive_list(HOST_START + 50 * MS, host_start=0)
        handed_over = api.SessionOpen(10**6, 1, 0, 5, 0, b"box-02")
        gateway.controller.handle(HOST_START + 50 * MS, handed_over)
    fleet.send_requests(HOST_START + 50 * MS, HOST_START + 2 * S, REQUESTS_PER_S / count)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 15


def test_a_gateway_without_share_sends_one_set_up_a_window_after_a_planned_restart():
    """In a fleet of hundreds few sessions are handed over to one gateway, and other hosts must serve it."""
    fleet = Fleet(200, 1)
    gateway = fleet.gateways[150]
    gateway.start(HOST_START, known=False)
    gateway.receive_list(HOST_START, host_start=0)
    gateway.controller.handle(HOST_START, api.SessionOpen(10**6, 1, 0, 5, 0, b"box-02"))
    for step in range(20):
        gateway.request_session(HOST_START + step * (WINDOW + CONNECT_TIME) // 10)
    assert len(fleet.sends) == 2


def test_a_restarted_node_learns_from_the_hosts_which_of_them_are_warm():
    """A host that still holds a session tells its rung on the next connection, as on the platform."""
    held = {f"id-{name}".encode(): name.encode() * 8 for name in "abc"}
    rules = {"cold": 12_000_000, "coldFrom": 0.4, "fall": 1_500_000, "overloadFactor": 2.5}
    platform = Platform(*"abcd", settings=SETTINGS | {"invariants": rules, "nInstances": 2})
    for name in "abc":
        tell_rung_on_each_connection(platform.hosts[name], held[f"id-{name}".encode()])
    platform.run(20)  # no host counts as new because the clock has just begun
    end = restart_node(platform, held)
    platform.run(0.4)
    for _ in range(60):
        platform.send_set_up(end)
        platform.run(0.02)
    assert len(platform.hosts["d"].set_ups) <= SHARE_OF_WINDOW
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 60


def tell_rung_on_each_connection(host, call):
    """Let the host tell the rung of a session that it holds on each connection that it accepts."""
    note = encode(MessageKind.NOTE, call, [(Param.NOTE_NAME, b"level"), (Param.NOTE_VALUE, b"0")])
    accept = host.handle_accepted

    def accept_and_tell(peer):
        accept(peer)
        host.platform.world.at(host.platform.now() + MS, lambda: peer.stream.write(note))

    host.handle_accepted = accept_and_tell


def restart_node(platform, held):
    """Restart the gateway as planned; return a viewer that has handed over the sessions `held` by host id."""
    platform.gateway.kill()
    platform.gateway = platform.world.node("gw")
    platform.node = Node(platform.gateway, platform.config, platform.node.log)
    end = platform.viewer()
    end.stream.write(encode_health_check(bytes(8)))
    for host, call in held.items():
        end.stream.write(set_up(call, placement=f"home:0;copies:4;top:2;at:{host.decode()}", timeout=None))
    return end


@pytest.mark.parametrize("is_reported", [False, True])
def test_a_session_handed_over_at_a_host_that_had_restarted_is_released_when_the_list_tells(is_reported):
    """Nobody told its viewer that it was cut; the handover hid that it is older than the host's process."""
    platform = Platform("a")
    if is_reported:
        tell_rung_on_each_connection(platform.hosts["a"], b"held-one")
    platform.run(5)
    started_ms = int(platform.gateway.wall() * 1000)
    platform.run(1)
    end = restart_node(platform, {b"id-a": b"held-one"})
    platform.run(1)
    listed = host_entry("a", started=started_ms)
    platform.log.send(f"id: 2\ndata: {json.dumps(list_event(2, listed))}\n\n".encode())
    platform.run(0.5)
    released = [message.kind for message in end.messages_for(b"held-one")]
    assert released == ([] if is_reported else [MessageKind.RELEASE])
    assert platform.hosts["a"].releases == ([] if is_reported else [b"held-one"])
    assert platform.node.calls.has_session_at(b"id-a") is is_reported
