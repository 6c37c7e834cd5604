"""Edge cases of the gateway: race conditions, resets at any moment, floods and leaks over a long run."""

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
from mintmast.signalling.hostpool import SPARE_IDLE_US
from mintmast.signalling.hosts import CHECK_PERIOD_US
from mintmast.signalling.messages import encode, encode_release


def later(seconds, then=play):
    """Run `then` after a delay, even if the set-up was cancelled meanwhile."""
    return lambda host, end, message: host.platform.world.at(
        host.platform.now() + int(seconds * 1e6), then, host, end, message
    )


@pytest.mark.parametrize("after_ms", range(0, 12))
def test_a_cancellation_that_crosses_the_answer_leaves_no_session(after_ms):
    platform = Platform("a", script=later(0.004))
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end, "paid")
    platform.run(after_ms / 1000)
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(1)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert call in host.releases or not host.set_ups
    assert (
        len([m for m in end.messages_for(call) if m.kind in (MessageKind.ANSWER, MessageKind.RELEASE)]) <= 1
    )


@pytest.mark.parametrize("late_ms", range(-3, 4))
def test_an_answer_near_the_deadline_is_either_in_time_or_late(late_ms):
    platform = Platform("a", script=later(0.4 + late_ms / 1000))
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end, "paid", ms=400)
    platform.run(2)
    answer = one_answer(end, call)
    is_established = bool(platform.node.calls.by_id)
    assert (answer.kind == MessageKind.ANSWER) == is_established
    assert is_established or call in host.releases


def test_crossing_releases_of_host_and_viewer_end_the_session_once():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.1)
    host.open_connections()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert len(end.messages_for(call, MessageKind.RELEASE)) <= 1 and end.closed_by is None


def test_a_move_releases_the_session_at_its_host_and_tells_the_viewer_to_move():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.1)
    calls = platform.node.calls
    handle = calls.controller.handle
    calls.controller.handle = lambda now, event: (
        [Move(calls.by_id[call].number)] if call in calls.by_id else []
    )
    platform.node._execute(calls.handle_note(platform.now(), call, b"id-a", 1, 0.5))
    calls.controller.handle = handle
    host.open_connections()[-1].stream.write(encode_release(call, Cause.NORMAL_UNSPECIFIED))
    platform.run(0.1)
    assert [m.kind for m in end.messages_for(call)] == [MessageKind.ANSWER, MessageKind.MOVE]
    assert call in host.releases and not calls.by_id


@pytest.mark.parametrize("service", ["paid", "free"])
def test_a_set_up_on_a_connection_that_breaks_later_may_have_run(service):
    platform = Platform("a", "b", script=lambda host, end, message: end.stream.abort())
    end = platform.viewer()
    call = platform.send_set_up(end, service)
    platform.run(1)
    sent = sum(len(host.set_ups) for host in platform.hosts.values())
    assert one_answer(end, call).kind == MessageKind.RELEASE
    assert sent == (1 if service == "paid" else 2)


def test_a_paid_set_up_that_was_only_partly_sent_is_retried_on_another_host():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.send_set_up(end, "paid")
    platform.run(0.05)
    (first,) = [name for name, host in platform.hosts.items() if host.set_ups]
    (connection,) = [e for e in platform.node.hosts.pools[f"id-{first}".encode()].connections if e.attempt]
    other = platform.hosts["b" if first == "a" else "a"]
    other.script = play
    connection.stream.bytes_sent -= 1  # the network has not taken the last byte
    connection.stream.abort()
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from " + other.name.encode()


def test_a_reset_before_the_health_check_passes_does_not_fail_a_paid_set_up():
    platform = Platform("a")
    host, end = platform.hosts["a"], platform.viewer()
    handle_message, resets = host.handle_message, []

    def reset_first(peer, message):
        if len(resets) < 2:
            resets.append(peer)
            peer.stream.abort()
        else:
            handle_message(peer, message)

    host.handle_message = reset_first
    call = platform.send_set_up(end, "paid")
    platform.run(0.2)
    assert len(resets) == 2 and one_answer(end, call).kind == MessageKind.ANSWER


def test_unexpected_and_duplicate_answers_are_ignored():
    def generous(host, end, message):
        end.stream.write(encode(MessageKind.ANSWER, b"unknown!", [(Param.DESCRIPTION, b"who")]))
        play(host, end, message)
        play(host, end, message)

    platform = Platform("a", script=generous)
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    assert platform.hosts["a"].open_connections() and not end.messages_for(b"unknown!")


def test_a_session_handed_over_twice_and_released_twice_ends_once():
    platform = Platform("a")
    end, call = platform.viewer(), b"12345678"
    found = set_up(call, placement="home:0;copies:4;top:2;at:id-a", timeout=None, description=None)
    end.stream.write(found + found)
    platform.run(0.3)
    assert len(platform.node.calls.by_id) == 1 and platform.hosts["a"].open_connections()
    platform.hosts["a"].open_connections()[0].stream.write(encode_release(call, Cause.TEMPORARY_FAILURE) * 2)
    platform.run(0.1)
    assert len(end.messages_for(call, MessageKind.RELEASE)) == 1 and not platform.node.calls.by_id


def test_60_mb_of_garbage_close_the_connection_early_and_free_everything():
    platform = Platform("a")
    end = platform.viewer()
    for _ in range(600):
        end.stream.write(b"\x3f\xff\x63" + bytes(100_000))
    platform.run(1)
    assert end.closed_by is not None and not platform.node.viewers.connections


def test_hundreds_of_set_ups_cancelled_at_once_are_cleaned_up_and_affect_no_other_viewer():
    platform = Platform("a", "b", script=later(0.02))
    bad, good = platform.viewer(), platform.viewer()
    ids = [number.to_bytes(8) for number in range(1000, 1300)]
    for call in ids:
        bad.stream.write(set_up(call))
    platform.run(0.003)
    for call in ids:
        bad.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.01)
    mine = platform.send_set_up(good, placement="home:0;copies:4;top:0")
    platform.run(1)
    assert one_answer(good, mine).kind == MessageKind.ANSWER
    assert len(platform.node.calls.by_id) == 1 and not platform.node.viewers.bytes_held
    assert not any(m.kind == MessageKind.ANSWER for m in bad.messages)


def test_hundreds_of_silent_viewer_connections_leave_descriptors_for_hosts():
    platform = Platform("a", sockets=64)
    silent_ones = [platform.viewer() for _ in range(200)]
    assert len([each for each in silent_ones if each.closed_by is None]) <= 32
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.ANSWER


def test_no_new_set_up_is_sent_to_a_draining_host():
    platform = Platform("a", "b")
    platform.node.changelog.handle_event(list_event(2, host_entry("a", "Terminating")))
    end = platform.viewer()
    calls = [platform.send_set_up(end) for _ in range(10)]
    platform.run(0.2)
    assert not platform.hosts["a"].set_ups
    assert all(one_answer(end, call).params[Param.DESCRIPTION] == b"from b" for call in calls)


def test_a_refusal_is_sent_at_once_with_retry_advice():
    platform = Platform("a", script=refuse(Cause.NO_CIRCUIT_AVAILABLE))
    end = platform.viewer()
    began = platform.now()
    call = platform.send_set_up(end, "paid")
    platform.run(0.02)
    answer = one_answer(end, call)
    assert answer.cause == Cause.SWITCHING_EQUIPMENT_CONGESTION and platform.now() - began < 50_000
    assert answer.params[Param.RETRY_AFTER] == b"500"


def test_tables_do_not_grow_over_a_long_run_of_changing_hosts_and_viewers():
    platform = Platform("h0", "h1", "h2")
    world, node = platform.world, platform.node
    alive = ["h0", "h1", "h2"]
    sizes = []
    for turn in range(120):
        removed, new = alive.pop(0), f"h{turn + 3}"
        alive.append(new)
        platform.hosts[new] = Host(platform, new)
        platform.hosts.pop(removed).node.kill()
        update = list_event(
            turn + 2, host_entry(removed, "Gone"), host_entry(new, started=int(world.time / 1000) + 1)
        )
        node.changelog.handle_event(update)
        end = platform.viewer()
        for _ in range(3):
            call = platform.send_set_up(end, placement="home:0;copies:4;top:0")
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
def test_a_session_end_that_crosses_the_close_of_a_spare_connection_is_received(before_us):
    platform = Platform("a", script=later(0.01))
    # the periodic check that closes the connections that are used now
    back = platform.now() // CHECK_PERIOD_US * CHECK_PERIOD_US + CHECK_PERIOD_US + SPARE_IDLE_US
    host, end = platform.hosts["a"], platform.viewer()
    calls = [platform.send_set_up(end, placement="home:0;copies:4;top:0") for _ in range(3)]
    platform.world.run(back - before_us)
    for call in calls:
        host.end_session(call)
    platform.run(1)
    assert all(end.messages_for(call, MessageKind.RELEASE) for call in calls)


def test_a_session_end_on_a_breaking_connection_is_received_on_the_next():
    platform = Platform("a", script=later(0.01))
    host, end = platform.hosts["a"], platform.viewer()
    calls = [platform.send_set_up(end, placement="home:0;copies:4;top:0") for _ in range(3)]
    platform.run(0.2)
    assert len(host.open_connections()) == 3
    for call in calls:
        host.unconfirmed_ends.append((call, Cause.NORMAL_CLEARING))
        host.connection_of[call].stream.abort()
        platform.run(0.2)
        assert end.messages_for(call, MessageKind.RELEASE)


def test_an_unanswered_set_up_does_not_delay_others_at_the_same_host():
    platform = Platform("a")
    host, end = platform.hosts["a"], platform.viewer()
    host.script = silent
    stuck = platform.send_set_up(end, "paid", ms=1500)
    platform.run(0.02)
    host.script = play
    quick = platform.send_set_up(end, placement="home:0;copies:4;top:0")
    platform.run(0.02)
    assert one_answer(end, quick).kind == MessageKind.ANSWER and not end.messages_for(stuck)


def test_retries_refusals_and_failures_are_logged_with_their_call_and_evidence():
    platform = Platform("a", "b", script=refuse(Cause.NO_CIRCUIT_AVAILABLE))
    end = platform.viewer()
    refused = platform.send_set_up(end, "paid")
    platform.run(1)
    for host in platform.hosts.values():
        host.script = refuse(Cause.TEMPORARY_FAILURE)
    platform.run(2)  # full hosts are left out for a while
    failed = platform.send_set_up(end, "paid")
    platform.run(1)
    lines = [(event, fields) for event, fields in platform.log_lines if "call" in fields]
    assert ("refused", {"call": refused.hex(), "attempts": 2, "evidence": "full"}) in lines
    assert ("failed", {"call": failed.hex(), "attempts": 1, "evidence": "cut"}) in lines
    retry = next(fields for event, fields in lines if event == "retry")
    assert retry["call"] == refused.hex() and retry["attempt"] == 2 and retry["timeout_ms"] > 0
