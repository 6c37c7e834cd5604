"""The whole gateway on an in-memory network, checked by the messages on its connections."""

import pytest
from platform_world import (
    MS,
    Cause,
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

from mintmast.signalling.messages import MessageReader, encode, encode_release


def one_answer(end, call):
    ends = [m for m in end.messages_for(call) if m.kind in (MessageKind.ANSWER, MessageKind.RELEASE)]
    assert len(ends) == 1, ends
    return ends[0]


def test_a_session_from_set_up_to_its_end():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end, "paid")
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    sent = host.set_ups[0][1]
    assert sent.params[Param.CLASS] == b"paid" and sent.params[Param.DESCRIPTION] == b"v=0"
    assert sent.params[Param.RUNG] == b"2" and 2900 < int(sent.params[Param.TIMEOUT]) <= 3000
    host.open_connections()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert end.messages_for(call, MessageKind.RELEASE)[0].cause == Cause.NORMAL_CLEARING
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


def test_a_paid_set_up_without_an_answer_fails_once_and_is_never_retried():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.send_set_up(end, "paid", ms=1000)
    platform.run(2)
    assert one_answer(end, call).cause == Cause.TEMPORARY_FAILURE
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1


def test_a_set_up_refused_as_full_is_retried_on_another_host_even_if_paid():
    platform = Platform("a", "b")
    platform.hosts["a"].script = refuse(Cause.NO_CIRCUIT_AVAILABLE)
    for _ in range(8):
        end = platform.viewer()
        call = platform.send_set_up(end, "paid")
        platform.run(0.1)
        assert one_answer(end, call).params[Param.DESCRIPTION] == b"from b"
    assert platform.hosts["a"].set_ups


def test_paid_set_ups_survive_a_host_that_is_cut_off_thanks_to_health_checks():
    platform = Platform("a", "b")
    end = platform.viewer()
    for _ in range(12):
        platform.send_set_up(end)
    platform.run(0.5)
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    calls = [platform.send_set_up(end, "paid") for _ in range(6)]
    platform.run(1)
    assert {one_answer(end, call).params.get(Param.DESCRIPTION) for call in calls} == {b"from b"}


def test_sessions_on_a_host_that_is_cut_off_are_released_within_8_s():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    platform.run(7)
    assert end.messages_for(call, MessageKind.RELEASE)[0].cause == Cause.TEMPORARY_FAILURE


def test_sessions_on_a_dead_host_are_released_at_once():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    platform.hosts["a"].node.kill()
    platform.run(0.9)
    assert end.messages_for(call, MessageKind.RELEASE)


def test_a_reset_of_an_idle_host_connection_ends_no_session():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.1)
    for each in host.open_connections():
        each.stream.abort()
    platform.run(0.1)
    host.open_connections()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert [m.cause for m in end.messages_for(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]


def test_a_malformed_answer_ends_its_connection_and_its_session():
    def spoilt(host, end, message):
        end.stream.write(b"\xff\xff" + bytes(50))

    platform = Platform("a", script=spoilt)
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end, "paid")
    platform.run(0.5)
    assert one_answer(end, call).cause == Cause.TEMPORARY_FAILURE
    assert call in host.releases


def test_a_cancelled_set_up_is_cancelled_at_the_host_and_not_answered():
    platform = Platform("a", script=silent)
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.05)
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert call in host.releases and not end.messages_for(call, MessageKind.RELEASE)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


def test_a_set_up_cancelled_in_the_same_bytes_reaches_no_host():
    platform = Platform("a")
    end = platform.viewer()
    call = b"12345678"
    end.stream.write(set_up(call) + encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert not platform.hosts["a"].set_ups and end.messages_for(call, MessageKind.RELEASE_COMPLETE)


BAD = {
    "unknown class": {"service": "gold"},
    "unknown tenant": {"tenant": "nobody"},
    "no tenant": {"tenant": None},
    "no title": {"title": None},
    "title not in hex": {"title": "z" * 16},
    "no description": {"description": None},
    "timeout that is not a number": {"timeout": "soon"},
    "timeout above the limit of the class": {"ms": 600_000},
    "timeout of 0": {"ms": 0},
    "negative hint": {"length_hint": "-5"},
    "hint not a number": {"length_hint": "nan"},
    "infinite hint": {"length_hint": "1e400"},
    "copies below one": {"placement": "home:0;copies:0;top:1"},
    "home with a fraction": {"placement": "home:0.5;copies:1;top:1"},
    "no placement": {"placement": None},
    "no copies": {"placement": "home:0;top:1"},
    "duplicate figure": {"placement": "home:0;home:1"},
    "placement without a colon": {"placement": "home"},
}


@pytest.mark.parametrize("what", BAD)
def test_an_invalid_set_up_fails_and_closes_its_connection(what):
    platform = Platform("a")
    end = platform.viewer()
    call = platform.send_set_up(end, **BAD[what])
    platform.run(0.1)
    assert one_answer(end, call).cause in (
        Cause.INVALID_ELEMENT_CONTENTS,
        Cause.MANDATORY_ELEMENT_MISSING,
    )
    assert end.closed_by is not None and not platform.hosts["a"].set_ups


NOISE = {
    "noise": b"GET / HTTP/1.1\r\n\r\n",
    "length 0": bytes(40),
    "length above the limit": b"\x40\x01\x01" + bytes(60_000),
    "unknown type": b"\x00\x09\x63" + bytes(8),
    "a message that never ends": b"\x30\x00\x01" + bytes(100),
    "nothing at all": b"",
    "parameter beyond the end of its message": b"\x00\x0c\x01" + bytes(8) + b"\x10\xff\xff",
    "an answer from a viewer": encode(MessageKind.ANSWER, bytes(8)),
}


@pytest.mark.parametrize("what", NOISE)
def test_a_connection_with_malformed_data_is_closed_within_3_s(what):
    platform = Platform("a")
    end = platform.viewer()
    end.stream.write(NOISE[what])
    platform.run(2.9)
    assert end.closed_by is not None
    other = platform.viewer()
    call = platform.send_set_up(other)
    platform.run(0.1)
    assert one_answer(other, call).kind == MessageKind.ANSWER


def test_two_set_ups_with_one_call_reference_fail_with_one_release():
    platform = Platform("a", script=silent)
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.05)
    end.stream.write(set_up(call, description="v=1"))
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.RELEASE and end.closed_by is not None
    assert call in platform.hosts["a"].releases


def test_a_copied_call_reference_does_not_affect_the_other_viewer():
    platform = Platform("a", script=silent)
    good, bad = platform.viewer(), platform.viewer()
    call = platform.send_set_up(good)
    platform.run(0.05)
    bad.stream.write(set_up(call, description="v=1"))
    bad.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.05)
    assert one_answer(bad, call).cause == Cause.INVALID_CALL_REFERENCE
    platform.hosts["a"].open_connections()[-1].stream.write(
        encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"late but good")])
    )
    platform.run(0.05)
    assert one_answer(good, call).params[Param.DESCRIPTION] == b"late but good"


def test_a_call_reference_copied_before_its_set_up_arrives_closes_only_the_copier():
    platform = Platform("a")
    good, bad = platform.viewer(), platform.viewer()
    old = platform.send_set_up(good)
    platform.run(0.1)
    call = b"12345678"
    platform.hosts["a"].script = silent
    bad.stream.write(set_up(call, description="v=1"))
    platform.run(0.01)
    good.stream.write(set_up(call))
    platform.run(0.1)
    assert one_answer(good, call).kind == one_answer(bad, call).kind == MessageKind.RELEASE
    assert good.closed_by is None and bad.closed_by is not None
    platform.hosts["a"].node.kill()
    platform.run(0.5)
    assert good.messages_for(old, MessageKind.RELEASE) and not platform.node.calls.by_id


def test_an_invalid_set_up_closes_no_connection_with_sessions():
    platform = Platform("a")
    end = platform.viewer()
    platform.send_set_up(end)
    platform.run(0.1)
    bad = platform.send_set_up(end, service="gold")
    good = platform.send_set_up(end)
    platform.run(0.1)
    assert (
        one_answer(end, bad).kind == MessageKind.RELEASE and one_answer(end, good).kind == MessageKind.ANSWER
    )


def test_a_flood_of_long_set_ups_is_bounded_in_memory_and_others_are_served():
    platform = Platform("a", script=silent)
    flood, viewers = platform.viewer(), platform.node.viewers
    viewers.max_bytes = 100_000
    least = {"placement": "home:0;copies:4;top:0", "description": "x" * 3000}
    calls = [platform.send_set_up(flood, "paid", ms=2900, **least) for _ in range(40)]
    platform.run(0.5)
    assert (
        0
        < viewers.bytes_held
        == sum(connection.bytes_held for connection in viewers.connections.values())
        <= viewers.max_bytes / 2
    )
    assert {one_answer(flood, call).cause for call in calls[-30:]} == {Cause.SWITCHING_EQUIPMENT_CONGESTION}
    assert len(platform.hosts["a"].set_ups) < 10
    platform.hosts["a"].script = play
    other = platform.viewer()
    call = platform.send_set_up(other, placement="home:0;copies:4;top:0")
    platform.run(0.1)
    assert one_answer(other, call).kind == MessageKind.ANSWER
    platform.run(4)
    assert not viewers.bytes_held and len({one_answer(flood, call).cause for call in calls}) > 1


def test_sessions_are_handed_over_only_shortly_after_a_start():
    platform = Platform("a")
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    early, late, lost = b"early678", b"late5678", b"lost5678"
    end.stream.write(set_up(early, placement="home:0;copies:4;top:2;at:id-a", timeout=None, description=None))
    end.stream.write(set_up(lost, placement="home:0;copies:4;top:2;at:id-z", timeout=None, description=None))
    platform.run(0.1)
    assert not end.messages_for(early) and platform.node.calls.has_session_at(b"id-a")
    assert one_answer(end, lost).kind == MessageKind.RELEASE
    platform.run(11)
    end.stream.write(set_up(late, placement="home:0;copies:4;top:2;at:id-a", timeout=None, description=None))
    platform.run(0.1)
    assert one_answer(end, late).kind == MessageKind.RELEASE and len(platform.node.calls.by_id) == 1


def test_a_peer_that_does_not_read_its_answer_is_aborted():
    platform = Platform("a")
    end = platform.viewer()
    connection = next(iter(platform.node.viewers.connections.values()))
    connection.stream.close = lambda: None
    platform.send_set_up(end, service="gold")
    platform.run(3)
    assert not platform.node.viewers.connections


def test_a_new_host_at_the_address_of_a_removed_one_is_a_different_host():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    platform.hosts["a"].node.kill()
    platform.hosts["a"].listen()
    old, new = host_entry("a", "Gone"), host_entry("b", addr="a:5060")
    platform.node.changelog.handle_event(list_event(2, old, new))
    platform.run(0.5)
    assert end.messages_for(call, MessageKind.RELEASE)
    platform.send_set_up(end)
    platform.run(0.1)
    assert set(platform.node.hosts.pools) == {b"id-b"}


def test_a_host_removed_from_the_list_keeps_its_sessions_over_a_reset():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.1)
    platform.node.changelog.handle_event(list_event(2, host_entry("a", "Gone")))
    for each in host.open_connections():
        each.stream.abort()
    platform.run(0.5)
    assert not end.messages_for(call, MessageKind.RELEASE)
    host.node.kill()
    platform.run(0.5)
    assert end.messages_for(call, MessageKind.RELEASE) and not platform.node.hosts.pools


def test_the_change_log_resumes_after_a_break_and_each_event_counts_once():
    platform = Platform("a")
    log = platform.log
    frame = b"id: 2\ndata: " + _json(list_event(2, host_entry("b"))) + b"\n\n"
    log.send(frame[: len(frame) // 2])
    platform.run(0.05)
    assert len(platform.node._listed_hosts) == 1
    log.streams[0].abort()
    platform.run(0.2)
    assert log.requested_ids == ["1", "1"]
    log.send(frame + frame)
    platform.run(0.05)
    assert len(platform.node._listed_hosts) == 2 and platform.node.changelog.seq == 2
    assert sum(event == "list" for event, _ in platform.log_lines) == 2
    log.is_silent = True
    platform.run(3.5)
    assert log.requested_ids[-1] == "2" and len(log.requested_ids) == 3


def test_a_graceful_shutdown_reports_not_ready_answers_late_set_ups_and_ends():
    platform = Platform("a")
    stopped = []
    platform.node.on_stopped = lambda: stopped.append(platform.now())
    platform.node.stop()
    platform.run(0.5)
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    call = platform.send_set_up(end)
    platform.run(0.2)
    assert end.messages_for(bytes(8), MessageKind.HEALTH_CHECK_REPLY)[0].cause == 0
    assert one_answer(end, call).kind == MessageKind.ANSWER and not stopped
    platform.run(1)
    assert stopped


def test_idle_connections_are_closed_for_new_ones_at_the_limit():
    platform = Platform("a", script=silent, sockets=64)
    good = platform.viewer()
    call = platform.send_set_up(good, ms=2000)
    platform.run(0.02)
    idle = [platform.viewer() for _ in range(60)]
    assert len(platform.node.viewers.connections) <= 32 and good.closed_by is None
    assert idle[0].closed_by is not None
    platform.run(2.5)
    assert one_answer(good, call).kind == MessageKind.RELEASE


def test_connections_with_open_set_ups_do_not_displace_one_with_sessions():
    platform = Platform("a", sockets=64)
    platform.node.hosts.limits.max_connections = 100
    good = platform.viewer()
    calls = [platform.send_set_up(good) for _ in range(5)]
    platform.run(0.1)
    platform.hosts["a"].script = silent
    for _ in range(60):
        end = platform.viewer()
        if end.closed_by is None:
            platform.send_set_up(end, "paid", ms=2900, placement="home:0;copies:4;top:0")
            platform.run(0.005)
    assert good.closed_by is None
    platform.hosts["a"].node.kill()
    platform.run(1)
    assert all(good.messages_for(call, MessageKind.RELEASE) for call in calls)


def test_fragmented_messages_do_not_count_as_one_that_never_ends():
    platform = Platform("a")
    end = platform.viewer()
    data = b"".join(set_up(call.to_bytes(8)) for call in range(1, 31))
    for at in range(0, len(data), 37):
        end.stream.write(data[at : at + 37])
        platform.run(0.1)
    assert end.closed_by is None and len([m for m in end.messages if m.kind == MessageKind.ANSWER]) == 30


def test_the_codec_decodes_the_same_messages_byte_by_byte():
    data = (
        set_up(b"12345678")
        + encode_release(b"87654321", 41, 250)
        + encode(MessageKind.RELEASE_COMPLETE, bytes(8))
    )
    expected = MessageReader().feed(data)
    reader, parts = MessageReader(), []
    for at in range(len(data)):
        parts += reader.feed(data[at : at + 1])
    assert parts == expected and len(expected) == 3 and expected[1].cause == 41
    assert expected[1].params[Param.RETRY_AFTER] == b"250" and MS == 1000


def _json(value):
    import json

    return json.dumps(value).encode()
