"""Hard cases on the platform: crossings, resets at every moment, floods, a long run that leaves nothing."""

import pytest
from platform_world import (
    Cause,
    Host,
    MessageKind,
    Param,
    Platform,
    host_entry,
    list_event,
    play,
    refuse,
    set_up,
    silent,
)
from test_node import one_answer

from mintmast.interface import Move
from mintmast.signalling.hosts import CHECK_PERIOD_US, SPARE_IDLE_US
from mintmast.signalling.messages import encode, encode_release


def later(seconds, then=play):
    """Answer after a while, whatever became of the set-up meanwhile."""
    return lambda host, end, message: host.platform.world.at(
        host.platform.now() + int(seconds * 1e6), then, host, end, message
    )


@pytest.mark.parametrize("after_ms", range(0, 12))
def test_a_viewer_that_gives_up_while_the_answer_is_on_its_way_leaves_nothing_standing(after_ms):
    platform = Platform("a", script=later(0.004))
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end, "paid")
    platform.run(after_ms / 1000)
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(1)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert call in host.cuts or not host.set_ups
    assert len([m for m in end.of(call) if m.kind in (MessageKind.ANSWER, MessageKind.RELEASE)]) <= 1


@pytest.mark.parametrize("late_ms", range(-3, 4))
def test_an_answer_at_the_very_deadline_is_the_answer_or_too_late_but_never_both(late_ms):
    platform = Platform("a", script=later(0.4 + late_ms / 1000))
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end, "paid", ms=400)
    platform.run(2)
    answer = one_answer(end, call)
    stands = bool(platform.node.calls.by_id)
    assert (answer.kind == MessageKind.ANSWER) == stands
    assert stands or call in host.cuts


def test_an_end_at_the_host_and_one_at_the_viewer_that_cross_are_one_end():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.1)
    host.live()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert len(end.of(call, MessageKind.RELEASE)) <= 1 and end.closed_by is None


def test_a_move_ends_the_session_at_its_host_and_sends_the_viewer_back():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.1)
    calls = platform.node.calls
    handle = calls.controller.handle
    calls.controller.handle = lambda now, event: (
        [Move(calls.by_id[call].number)] if call in calls.by_id else []
    )
    platform.node._execute(calls.handle_note(platform.now(), call, b"id-a", 1, 0.5))
    calls.controller.handle = handle
    host.live()[-1].stream.write(encode_release(call, Cause.NORMAL_UNSPECIFIED))
    platform.run(0.1)
    assert [m.kind for m in end.of(call)] == [MessageKind.ANSWER, MessageKind.MOVE]
    assert call in host.cuts and not calls.by_id


@pytest.mark.parametrize("service", ["paid", "free"])
def test_a_connection_that_breaks_after_a_set_up_was_written_may_have_run_it(service):
    platform = Platform("a", "b", script=lambda host, end, message: end.stream.abort())
    end = platform.viewer()
    call = platform.ask(end, service)
    platform.run(1)
    sent = sum(len(host.set_ups) for host in platform.hosts.values())
    assert one_answer(end, call).kind == MessageKind.RELEASE
    assert sent == (1 if service == "paid" else 2)


def test_a_paid_set_up_of_which_a_part_was_written_goes_to_another_host():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.ask(end, "paid")
    platform.run(0.05)
    (first,) = [name for name, host in platform.hosts.items() if host.set_ups]
    (line,) = [e for e in platform.node.hosts.pools[f"id-{first}".encode()].connections if e.attempt]
    other = platform.hosts["b" if first == "a" else "a"]
    other.script = play
    line.stream.bytes_sent -= 1  # the network had not taken the last byte
    line.stream.abort()
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from " + other.name.encode()


def test_a_new_connection_that_is_reset_before_its_test_passed_costs_a_paid_set_up_nothing():
    platform = Platform("a")
    host, end = platform.hosts["a"], platform.viewer()
    take, resets = host.take, []

    def reset_first(peer, message):
        if len(resets) < 2:
            resets.append(peer)
            peer.stream.abort()
        else:
            take(peer, message)

    host.take = reset_first
    call = platform.ask(end, "paid")
    platform.run(0.2)
    assert len(resets) == 2 and one_answer(end, call).kind == MessageKind.ANSWER


def test_what_more_than_belongs_to_it_an_answer_brings_is_passed_over():
    def generous(host, end, message):
        end.stream.write(encode(MessageKind.ANSWER, b"unknown!", [(Param.DESCRIPTION, b"who")]))
        play(host, end, message)
        play(host, end, message)

    platform = Platform("a", script=generous)
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    assert platform.hosts["a"].live() and not end.of(b"unknown!")


def test_a_session_handed_over_twice_or_already_over_at_its_host_ends_once():
    platform = Platform("a")
    end, call = platform.viewer(), b"12345678"
    found = set_up(call, figures="home:0;copies:4;top:2;at:id-a", timeout=None, description=None)
    end.stream.write(found + found)
    platform.run(0.3)
    assert len(platform.node.calls.by_id) == 1 and platform.hosts["a"].live()
    platform.hosts["a"].live()[0].stream.write(encode_release(call, Cause.TEMPORARY_FAILURE) * 2)
    platform.run(0.1)
    assert len(end.of(call, MessageKind.RELEASE)) == 1 and not platform.node.calls.by_id


def test_60_mb_of_anything_are_closed_early_and_hold_nothing():
    platform = Platform("a")
    end = platform.viewer()
    for _ in range(600):
        end.stream.write(b"\x3f\xff\x63" + bytes(100_000))
    platform.run(1)
    assert end.closed_by is not None and not platform.node.viewers.connections


def test_hundreds_of_set_ups_at_once_taken_back_at_once_leave_nothing_and_harm_nobody():
    platform = Platform("a", "b", script=later(0.02))
    bad, good = platform.viewer(), platform.viewer()
    ids = [number.to_bytes(8) for number in range(1000, 1300)]
    for call in ids:
        bad.stream.write(set_up(call))
    platform.run(0.003)
    for call in ids:
        bad.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.01)
    mine = platform.ask(good, figures="home:0;copies:4;top:0")
    platform.run(1)
    assert one_answer(good, mine).kind == MessageKind.ANSWER
    assert len(platform.node.calls.by_id) == 1 and not platform.node.viewers.bytes_held
    assert not any(m.kind == MessageKind.ANSWER for m in bad.read)


def test_hundreds_of_silent_connections_leave_the_hosts_theirs():
    platform = Platform("a", sockets=64)
    silent_ones = [platform.viewer() for _ in range(200)]
    assert len([each for each in silent_ones if each.closed_by is None]) <= 32
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.ANSWER


def test_a_gateway_told_of_a_drain_sends_nothing_new_there():
    platform = Platform("a", "b")
    platform.node.changelog.handle_event(list_event(2, host_entry("a", "Terminating")))
    end = platform.viewer()
    calls = [platform.ask(end) for _ in range(10)]
    platform.run(0.2)
    assert not platform.hosts["a"].set_ups
    assert all(one_answer(end, call).params[Param.DESCRIPTION] == b"from b" for call in calls)


def test_a_refusal_goes_out_at_once_and_says_when_to_come_back():
    platform = Platform("a", script=refuse(Cause.NO_CIRCUIT_AVAILABLE))
    end = platform.viewer()
    began = platform.now()
    call = platform.ask(end, "paid")
    platform.run(0.02)
    answer = one_answer(end, call)
    assert answer.cause == Cause.SWITCHING_EQUIPMENT_CONGESTION and platform.now() - began < 50_000
    assert answer.params[Param.RETRY_AFTER] == b"500"


def test_a_long_run_of_hosts_and_viewers_that_come_and_go_leaves_tables_as_small_as_before():
    platform = Platform("h0", "h1", "h2")
    world, node = platform.world, platform.node
    alive = ["h0", "h1", "h2"]
    sizes = []
    for turn in range(120):
        gone, new = alive.pop(0), f"h{turn + 3}"
        alive.append(new)
        platform.hosts[new] = Host(platform, new)
        platform.hosts.pop(gone).node.kill()
        told = list_event(
            turn + 2, host_entry(gone, "Gone"), host_entry(new, started=int(world.time / 1000) + 1)
        )
        node.changelog.handle_event(told)
        end = platform.viewer()
        for _ in range(3):
            call = platform.ask(end, figures="home:0;copies:4;top:0")
        platform.run(0.5)
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
        platform.run(0.5)
        if turn % 4:
            end.stream.abort()
        sizes.append(
            len(node.calls.by_id)
            + len(node.hosts.pools)
            + len(node.viewers._session_peers)
            + len(node.viewers._pending_notices)
        )
    platform.run(60)
    node.changelog.handle_event(list_event(1000, host_entry("last")))
    module = node.calls.controller
    assert len(module.servers) < 45 and len(module.sessions) == len(node.calls.by_id) < 12
    assert max(sizes[60:]) <= max(sizes[:60]) + 8 and len(node.hosts.pools) <= 5
    assert max(len(each.link.charges) for each in module.servers.values()) < 50


@pytest.mark.parametrize("before_us", range(-200, 1600, 100))
def test_an_end_told_on_a_connection_that_is_just_given_back_is_heard_all_the_same(before_us):
    platform = Platform("a", script=later(0.01))
    back = (
        platform.now() // CHECK_PERIOD_US * CHECK_PERIOD_US + CHECK_PERIOD_US + SPARE_IDLE_US
    )  # the look at which what is used now is given back
    host, end = platform.hosts["a"], platform.viewer()
    calls = [platform.ask(end, figures="home:0;copies:4;top:0") for _ in range(3)]
    platform.world.run(back - before_us)
    for call in calls:
        host.end(call)
    platform.run(1)
    assert all(end.of(call, MessageKind.RELEASE) for call in calls)


def test_an_end_told_on_a_connection_that_breaks_is_heard_on_the_next():
    platform = Platform("a", script=later(0.01))
    host, end = platform.hosts["a"], platform.viewer()
    calls = [platform.ask(end, figures="home:0;copies:4;top:0") for _ in range(3)]
    platform.run(0.2)
    assert len(host.live()) == 3
    for call in calls:
        host.again.append((call, Cause.NORMAL_CLEARING))
        host.home[call].stream.abort()
        platform.run(0.2)
        assert end.of(call, MessageKind.RELEASE)


def test_silence_of_one_set_up_does_not_hold_up_others_at_the_same_host():
    platform = Platform("a")
    host, end = platform.hosts["a"], platform.viewer()
    host.script = silent
    stuck = platform.ask(end, "paid", ms=1500)
    platform.run(0.02)
    host.script = play
    quick = platform.ask(end, figures="home:0;copies:4;top:0")
    platform.run(0.02)
    assert one_answer(end, quick).kind == MessageKind.ANSWER and not end.of(stuck)
