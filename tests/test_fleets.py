"""Large fleets, the troubles that came with them, and the README's example."""

import json
import re
from pathlib import Path

from helpers import (
    T0,
    S,
    action_names,
    attempt_end,
    make_controller,
    request,
    server_entry,
    set_ups,
    settings,
)
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from test_wire import SETTINGS

from mintmast import Controller
from mintmast import interface as api
from mintmast.interface import Outcome

FALL, STREAMS, COLD = 1_500_000, 30, 12 * S
STEPS = st.lists(
    st.tuples(st.integers(0, 59), st.sampled_from(["request", "request", "restart", "stall", "wait"])),
    min_size=20,
    max_size=150,
)


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS, st.sampled_from([2, 9, 60]))
def test_the_cold_budget_holds_for_all_gateways_together(steps, gateways):
    """One server starts cold; gateways ask, die and come back, stand still, and hold only a cached list."""
    start, now, times = T0, T0, []
    listed = (server_entry(0, started=start),)

    def birth(me):
        controller = Controller(settings(instance=me, instances=gateways, cells=1), me)
        controller.handle(now, api.Started())
        controller.handle(now, api.ServerList(api.ListKind.CACHED, 1, listed))
        return controller

    fleet_of = [birth(me) for me in range(gateways)]
    for ref, (who, what) in enumerate(steps):
        me = who % gateways
        if what == "restart":
            fleet_of[me] = birth(me)
        elif what in ("wait", "stall"):
            now += S // 20 if what == "wait" else S
        asked = range(10) if what == "stall" else range(1)  # all that came meanwhile, at once
        for n in asked:
            actions = fleet_of[me].handle(now, request(ref * 100 + n, best=0, copies=1))
            assert len(set_ups(actions)) + action_names(actions).count("Refuse") == 1
            times += [(now, me)] * len(set_ups(actions))
    restarts = [what for _, what in steps].count("restart")
    for first, _ in times:
        age = first + FALL - start
        if age < COLD:
            budget = 2.5 * STREAMS / 12 * (FALL / S) * (0.4 + 0.6 * age / COLD)
            # a gateway that dies forgets what it sent: each restart may spend its part once more
            part = -(-int(budget) // gateways)
            inside = sum(1 for t, _ in times if first <= t < first + FALL)
            assert inside <= budget + restarts * part


def test_a_returning_fleet_takes_what_the_budget_allows():
    taken = 0
    for me in range(60):
        controller = Controller(settings(instance=me, instances=60, cells=40, kind_streams=(30,)), me)
        controller.handle(T0, api.Started())
        listed = tuple(server_entry(n, started=T0) for n in range(40))
        controller.handle(T0, api.ServerList(api.ListKind.CACHED, 1, listed))
        taken += len(set_ups(controller.handle(T0, request(1, best=0, copies=40))))
    assert taken > 30  # three set-ups at each of 40 servers are allowed: most gateways find one


def test_lost_answers_at_most_servers_shut_out_nobody():
    gateway = make_controller(8, cells=8)
    for ref in range(7):
        (out,) = set_ups(gateway.handle(T0, request(ref, best=0, copies=8)))
        (again,) = set_ups(gateway.handle(T0 + S // 2, attempt_end(ref, out.server, Outcome.TIMEOUT)))
        assert again.server != out.server
        gateway.handle(T0 + S // 2, api.Playing(ref, 1, again.server, 1000))
    assert set_ups(gateway.handle(T0 + S, request(100, best=0, copies=8)))
    (paid,) = set_ups(gateway.handle(T0 + S, request(101, service=0, best=0, copies=8)))
    assert gateway.handle(T0 + 4 * S, attempt_end(101, paid.server, Outcome.TIMEOUT)) == [api.Fail(101)]


def test_a_slowing_server_that_dies_comes_back_cold():
    gateway = make_controller(1)
    (out,) = set_ups(gateway.handle(T0, request(1, best=0)))
    gateway.handle(T0, api.Playing(1, 0, out.server, 900_000))
    gateway.handle(T0 + S, attempt_end(1, out.server, Outcome.RESET, complete=True))
    taken = [n for n in range(2, 40) if set_ups(gateway.handle(T0 + 2 * S, request(n, best=0)))]
    assert 0 < len(taken) < 8


def test_what_came_during_a_stall_is_taken_in_order_at_once():
    gateway = make_controller(2)
    (out,) = set_ups(gateway.handle(T0, request(1, budget=5 * S)))
    late = T0 + 2 * S
    gateway.handle(late, api.Playing(1, 0, out.server, 50_000))
    for ref in range(2, 2000):
        actions = gateway.handle(late, request(ref, best=0))
        assert len(set_ups(actions)) + action_names(actions).count("Refuse") == 1
    assert action_names(gateway.handle(late, request(5000, budget=1000))) == ["Refuse"]


def test_messages_and_things_unknown_change_nothing():
    gateway, other = make_controller(2), make_controller(2)
    for payload in (b"", b"\x11", bytes(256), b"\xff" * 256):
        assert not gateway.handle(T0, api.PeerMessage(1, payload))
    assert not gateway.handle(T0, api.Note(77, b"nobody", api.NoteKind.LINK, 0.5))
    assert not gateway.handle(T0, api.Note(77, b"nobody", api.NoteKind.DELIVERED, 0.0))
    assert not gateway.handle(T0, attempt_end(77, b"nobody", Outcome.RESET))
    assert not gateway.handle(T0, api.Playing(77, 3, b"nobody", 1))
    assert gateway.handle(T0, request(1)) == other.handle(T0, request(1))


def test_a_note_from_the_past_does_not_replace_a_newer_one():
    gateway = make_controller(1)
    link = gateway.servers[server_entry(0).server].link
    link.record_use(T0, 0.8)
    link.record_use(T0 - S, 0.1)
    assert link.use == 0.8


def test_a_huge_list_is_taken_and_a_request_looks_at_its_holders_only():
    gateway = make_controller(0, cells=5000, racks=500)
    entries = tuple(
        api.ListEntry(n.to_bytes(6, "big"), api.ServerState.READY, 0, n, 0, 0, 1.0) for n in range(5000)
    )
    gateway.handle(T0, api.ServerList(api.ListKind.FULL, 2, entries))
    (out,) = set_ups(gateway.handle(T0, request(1, home=4998, copies=3)))
    assert int.from_bytes(out.server, "big") in (4998, 4999, 0)


def test_the_readme_example_sends_a_set_up():
    readme = Path(__file__).parent.parent / "README.md"
    (example,) = re.findall(r"```python\n(.*?)```", readme.read_text(), re.DOTALL)
    names = {"settings_json": json.dumps(SETTINGS).encode()}
    exec(example, names)
    assert names["action"].request == 1 and names["action"].server == b"box-01"
