"""The gateway on the platform, whole, in memory: what passed on the connections is what is checked."""

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
    ends = [m for m in end.of(call) if m.kind in (MessageKind.ANSWER, MessageKind.RELEASE)]
    assert len(ends) == 1, ends
    return ends[0]


def test_a_session_from_set_up_to_its_end():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end, "paid")
    platform.run(0.1)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    sent = host.set_ups[0][1]
    assert sent.params[Param.CLASS] == b"paid" and sent.params[Param.DESCRIPTION] == b"v=0"
    assert sent.params[Param.RUNG] == b"2" and 2900 < int(sent.params[Param.TIMEOUT]) <= 3000
    host.live()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert end.of(call, MessageKind.RELEASE)[0].cause == Cause.NORMAL_CLEARING
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


def test_a_paid_set_up_with_no_word_of_its_end_is_failed_once_and_never_sent_again():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.ask(end, "paid", ms=1000)
    platform.run(2)
    assert one_answer(end, call).cause == Cause.TEMPORARY_FAILURE
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1


def test_a_set_up_turned_away_as_full_goes_to_another_host_also_when_paid():
    platform = Platform("a", "b")
    platform.hosts["a"].script = refuse(Cause.NO_CIRCUIT_AVAILABLE)
    for _ in range(8):
        end = platform.viewer()
        call = platform.ask(end, "paid")
        platform.run(0.1)
        assert one_answer(end, call).params[Param.DESCRIPTION] == b"from b"
    assert platform.hosts["a"].set_ups


def test_a_host_that_is_cut_off_costs_a_paid_set_up_nothing_as_a_test_goes_first():
    platform = Platform("a", "b")
    end = platform.viewer()
    for _ in range(12):
        platform.ask(end)
    platform.run(0.5)
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    calls = [platform.ask(end, "paid") for _ in range(6)]
    platform.run(1)
    assert {one_answer(end, call).params.get(Param.DESCRIPTION) for call in calls} == {b"from b"}


def test_what_stood_on_a_host_that_vanished_is_released_to_its_viewer_within_8_s():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.1)
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    platform.run(7)
    assert end.of(call, MessageKind.RELEASE)[0].cause == Cause.TEMPORARY_FAILURE


def test_what_stood_on_a_host_that_died_is_released_at_once():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.1)
    platform.hosts["a"].node.kill()
    platform.run(0.9)
    assert end.of(call, MessageKind.RELEASE)


def test_a_connection_reset_while_idle_takes_no_session_with_it():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.1)
    for each in host.live():
        each.stream.abort()
    platform.run(0.1)
    host.live()[-1].stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert [m.cause for m in end.of(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]


def test_an_answer_that_cannot_be_read_ends_its_connection_and_the_session_behind_it():
    def spoilt(host, end, message):
        end.stream.write(b"\xff\xff" + bytes(50))

    platform = Platform("a", script=spoilt)
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end, "paid")
    platform.run(0.5)
    assert one_answer(end, call).cause == Cause.TEMPORARY_FAILURE
    assert call in host.cuts


def test_a_set_up_given_up_is_given_up_at_the_host_and_answered_by_no_release():
    platform = Platform("a", script=silent)
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.05)
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert call in host.cuts and not end.of(call, MessageKind.RELEASE)
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


def test_what_is_taken_back_with_the_same_bytes_reaches_no_host():
    platform = Platform("a")
    end = platform.viewer()
    call = b"12345678"
    end.stream.write(set_up(call) + encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    assert not platform.hosts["a"].set_ups and end.of(call, MessageKind.RELEASE_COMPLETE)


BAD = {
    "unknown class": {"service": "gold"},
    "unknown tenant": {"tenant": "nobody"},
    "no tenant": {"tenant": None},
    "no title": {"title": None},
    "title not in hex": {"title": "z" * 16},
    "no description": {"description": None},
    "patience that is no number": {"timeout": "soon"},
    "patience beyond the class": {"ms": 600_000},
    "no patience left": {"ms": 0},
    "negative hint": {"length_hint": "-5"},
    "hint not a number": {"length_hint": "nan"},
    "hint without end": {"length_hint": "1e400"},
    "copies below one": {"figures": "home:0;copies:0;top:1"},
    "home with a fraction": {"figures": "home:0.5;copies:1;top:1"},
    "no figures": {"figures": None},
    "no copies": {"figures": "home:0;top:1"},
    "figures twice": {"figures": "home:0;home:1"},
    "figures without a colon": {"figures": "home"},
}


@pytest.mark.parametrize("what", BAD)
def test_a_set_up_out_of_range_is_failed_and_its_connection_closed(what):
    platform = Platform("a")
    end = platform.viewer()
    call = platform.ask(end, **BAD[what])
    platform.run(0.1)
    assert one_answer(end, call).cause in (
        Cause.INVALID_ELEMENT_CONTENTS,
        Cause.MANDATORY_ELEMENT_MISSING,
    )
    assert end.closed_by is not None and not platform.hosts["a"].set_ups


NOISE = {
    "noise": b"GET / HTTP/1.1\r\n\r\n",
    "length 0": bytes(40),
    "length over the most": b"\x40\x01\x01" + bytes(60_000),
    "type that is none": b"\x00\x09\x63" + bytes(8),
    "a message that never ends": b"\x30\x00\x01" + bytes(100),
    "nothing at all": b"",
    "parameters beyond their message": b"\x00\x0c\x01" + bytes(8) + b"\x10\xff\xff",
    "an answer from a viewer": encode(MessageKind.ANSWER, bytes(8)),
}


@pytest.mark.parametrize("what", NOISE)
def test_what_cannot_be_read_is_closed_within_3_s(what):
    platform = Platform("a")
    end = platform.viewer()
    end.stream.write(NOISE[what])
    platform.run(2.9)
    assert end.closed_by is not None
    other = platform.viewer()
    call = platform.ask(other)
    platform.run(0.1)
    assert one_answer(other, call).kind == MessageKind.ANSWER


def test_two_set_ups_under_one_number_are_both_failed_by_one_release():
    platform = Platform("a", script=silent)
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.05)
    end.stream.write(set_up(call, description="v=1"))
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.RELEASE and end.closed_by is not None
    assert call in platform.hosts["a"].cuts


def test_the_number_of_another_viewers_set_up_does_that_viewer_no_harm():
    platform = Platform("a", script=silent)
    good, bad = platform.viewer(), platform.viewer()
    call = platform.ask(good)
    platform.run(0.05)
    bad.stream.write(set_up(call, description="v=1"))
    bad.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.05)
    assert one_answer(bad, call).cause == Cause.INVALID_CALL_REFERENCE
    platform.hosts["a"].live()[-1].stream.write(
        encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"late but good")])
    )
    platform.run(0.05)
    assert one_answer(good, call).params[Param.DESCRIPTION] == b"late but good"


def test_a_number_taken_from_a_set_up_on_its_way_costs_its_viewers_connection_nothing():
    platform = Platform("a")
    good, bad = platform.viewer(), platform.viewer()
    old = platform.ask(good)
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
    assert good.of(old, MessageKind.RELEASE) and not platform.node.calls.by_id


def test_a_set_up_out_of_range_among_good_ones_closes_nothing():
    platform = Platform("a")
    end = platform.viewer()
    platform.ask(end)
    platform.run(0.1)
    bad = platform.ask(end, service="gold")
    good = platform.ask(end)
    platform.run(0.1)
    assert (
        one_answer(end, bad).kind == MessageKind.RELEASE and one_answer(end, good).kind == MessageKind.ANSWER
    )


def test_a_flood_of_long_set_ups_takes_no_more_than_its_room_and_others_are_served():
    platform = Platform("a", script=silent)
    flood, viewers = platform.viewer(), platform.node.viewers
    viewers.max_bytes = 100_000
    least = {"figures": "home:0;copies:4;top:0", "description": "x" * 3000}
    calls = [platform.ask(flood, "paid", ms=2900, **least) for _ in range(40)]
    platform.run(0.5)
    assert (
        0
        < viewers.bytes_held
        == sum(line.bytes_held for line in viewers.connections.values())
        <= viewers.max_bytes / 2
    )
    assert {one_answer(flood, call).cause for call in calls[-30:]} == {Cause.SWITCHING_EQUIPMENT_CONGESTION}
    assert len(platform.hosts["a"].set_ups) < 10
    platform.hosts["a"].script = play
    other = platform.viewer()
    call = platform.ask(other, figures="home:0;copies:4;top:0")
    platform.run(0.1)
    assert one_answer(other, call).kind == MessageKind.ANSWER
    platform.run(4)
    assert not viewers.bytes_held and len({one_answer(flood, call).cause for call in calls}) > 1


def test_sessions_told_to_play_already_are_taken_at_a_start_and_not_later():
    platform = Platform("a")
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    early, late, lost = b"early678", b"late5678", b"lost5678"
    end.stream.write(set_up(early, figures="home:0;copies:4;top:2;at:id-a", timeout=None, description=None))
    end.stream.write(set_up(lost, figures="home:0;copies:4;top:2;at:id-z", timeout=None, description=None))
    platform.run(0.1)
    assert not end.of(early) and platform.node.calls.has_session_at(b"id-a")
    assert one_answer(end, lost).kind == MessageKind.RELEASE
    platform.run(11)
    end.stream.write(set_up(late, figures="home:0;copies:4;top:2;at:id-a", timeout=None, description=None))
    platform.run(0.1)
    assert one_answer(end, late).kind == MessageKind.RELEASE and len(platform.node.calls.by_id) == 1


def test_a_peer_that_takes_nothing_of_its_answer_is_broken_off():
    platform = Platform("a")
    end = platform.viewer()
    line = next(iter(platform.node.viewers.connections.values()))
    line.stream.close = lambda: None
    platform.ask(end, service="gold")
    platform.run(3)
    assert not platform.node.viewers.connections


def test_a_new_host_at_the_address_of_one_that_has_gone_is_another_host():
    platform = Platform("a")
    end = platform.viewer()
    call = platform.ask(end)
    platform.run(0.1)
    platform.hosts["a"].node.kill()
    platform.hosts["a"].up()
    old, new = host_entry("a", "Gone"), host_entry("b", addr="a:5060")
    platform.node.changelog.handle_event(list_event(2, old, new))
    platform.run(0.5)
    assert end.of(call, MessageKind.RELEASE)
    platform.ask(end)
    platform.run(0.1)
    assert set(platform.node.hosts.pools) == {b"id-b"}


def test_a_host_listed_as_gone_that_still_plays_keeps_its_sessions_over_a_reset():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.1)
    platform.node.changelog.handle_event(list_event(2, host_entry("a", "Gone")))
    for each in host.live():
        each.stream.abort()
    platform.run(0.5)
    assert not end.of(call, MessageKind.RELEASE)
    host.node.kill()
    platform.run(0.5)
    assert end.of(call, MessageKind.RELEASE) and not platform.node.hosts.pools


def test_the_change_log_is_taken_up_where_it_broke_off_and_heard_once():
    platform = Platform("a")
    log = platform.log
    whole = b"id: 2\ndata: " + _json(list_event(2, host_entry("b"))) + b"\n\n"
    log.tell(whole[: len(whole) // 2])
    platform.run(0.05)
    assert len(platform.node._listed_hosts) == 1
    log.streams[0].abort()
    platform.run(0.2)
    assert log.asked == ["1", "1"]
    log.tell(whole + whole)
    platform.run(0.05)
    assert len(platform.node._listed_hosts) == 2 and platform.node.changelog.seq == 2
    assert sum(event == "list" for event, _ in platform.said) == 2
    log.quiet = True
    platform.run(3.5)
    assert log.asked[-1] == "2" and len(log.asked) == 3


def test_a_stopping_gateway_fails_tests_answers_what_still_comes_and_ends():
    platform = Platform("a")
    stopped = []
    platform.node.on_stopped = lambda: stopped.append(platform.now())
    platform.node.stop()
    platform.run(0.5)
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    call = platform.ask(end)
    platform.run(0.2)
    assert end.of(bytes(8), MessageKind.HEALTH_CHECK_REPLY)[0].cause == 0
    assert one_answer(end, call).kind == MessageKind.ANSWER and not stopped
    platform.run(1)
    assert stopped


def test_connections_beyond_their_bound_push_out_those_that_carry_nothing():
    platform = Platform("a", script=silent, sockets=64)
    good = platform.viewer()
    call = platform.ask(good, ms=2000)
    platform.run(0.02)
    idle = [platform.viewer() for _ in range(60)]
    assert len(platform.node.viewers.connections) <= 32 and good.closed_by is None
    assert idle[0].closed_by is not None
    platform.run(2.5)
    assert one_answer(good, call).kind == MessageKind.RELEASE


def test_connections_that_hold_a_set_up_each_do_not_push_out_one_on_which_sessions_stand():
    platform = Platform("a", sockets=64)
    platform.node.hosts.limits.max_connections = 100
    good = platform.viewer()
    calls = [platform.ask(good) for _ in range(5)]
    platform.run(0.1)
    platform.hosts["a"].script = silent
    for _ in range(60):
        end = platform.viewer()
        if end.closed_by is None:
            platform.ask(end, "paid", ms=2900, figures="home:0;copies:4;top:0")
            platform.run(0.005)
    assert good.closed_by is None
    platform.hosts["a"].node.kill()
    platform.run(1)
    assert all(good.of(call, MessageKind.RELEASE) for call in calls)


def test_messages_that_always_come_cut_in_two_are_not_taken_for_one_that_never_ends():
    platform = Platform("a")
    end = platform.viewer()
    data = b"".join(set_up(call.to_bytes(8)) for call in range(1, 31))
    for at in range(0, len(data), 37):
        end.stream.write(data[at : at + 37])
        platform.run(0.1)
    assert end.closed_by is None and len([m for m in end.read if m.kind == MessageKind.ANSWER]) == 30


def test_codec_gives_the_same_messages_however_the_bytes_are_cut():
    data = (
        set_up(b"12345678")
        + encode_release(b"87654321", 41, 250)
        + encode(MessageKind.RELEASE_COMPLETE, bytes(8))
    )
    whole = MessageReader().feed(data)
    reader, parts = MessageReader(), []
    for at in range(len(data)):
        parts += reader.feed(data[at : at + 1])
    assert parts == whole and len(whole) == 3 and whole[1].cause == 41
    assert whole[1].params[Param.RETRY_AFTER] == b"250" and MS == 1000


def _json(value):
    import json

    return json.dumps(value).encode()
