"""The codec and the change log fuzzed: whatever comes in whatever pieces, and never an exception."""

from hypothesis import given, settings
from hypothesis import strategies as st
from platform_world import SETTINGS, Platform, host_entry, list_event, set_up

from mintmast import wire
from mintmast.signalling import set_up_parser
from mintmast.signalling.messages import (
    MAX_MESSAGE_BYTES,
    Cause,
    Message,
    MessageKind,
    MessageReader,
    Param,
    encode,
    encode_release,
)

BYTES = st.binary(max_size=400)
SOUND = st.builds(
    lambda kind, call, params: encode(kind, call, params.items()),
    st.sampled_from(list(MessageKind)),
    st.binary(min_size=8, max_size=8),
    st.dictionaries(st.sampled_from(list(Param)), st.binary(max_size=40), max_size=6),
)
TERMS = set_up_parser.RequestSchema({b"paid": 0, b"free": 1}, (3_000_000, 5_000_000), {b"acme": 0})


@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(SOUND, BYTES), max_size=6), st.lists(st.integers(1, 60), min_size=1, max_size=20))
def test_any_bytes_in_any_pieces_give_the_same_messages_and_hold_no_more_than_one(parts, sizes):
    data = b"".join(parts)
    whole = MessageReader()
    want = whole.feed(data)
    reader, got, at, turn = MessageReader(), [], 0, 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        got += reader.feed(data[at : at + size])
        assert len(reader._buffer) <= MAX_MESSAGE_BYTES + 2
        at, turn = at + size, turn + 1
    assert got == want and reader.is_broken == whole.is_broken


@given(SOUND)
def test_a_sound_message_is_read_back(data):
    (message,) = MessageReader().feed(data)
    assert message.fault is None
    assert encode(MessageKind(message.kind), message.call_id, message.params.items()) == data


@settings(max_examples=300, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(list(Param)),
        st.one_of(
            st.binary(max_size=30),
            st.sampled_from([b"paid", b"acme", b"1500", b"-1", b"nan", b"1e999", b"7f3a9c21e0b4d655"]),
            st.sampled_from([b"home:1;copies:2;top:3", b"home:;copies:1;top:1", b"home:1e9;copies:1;top:0"]),
        ),
    )
)
def test_a_set_up_of_anything_is_a_wish_within_bounds_or_a_cause(params):
    asked = set_up_parser.parse_set_up(Message(MessageKind.SET_UP, b"12345678", params), TERMS)
    if isinstance(asked, Cause):
        return
    wish = asked.request
    assert wish.service in (0, 1) and wish.tenant == 0 and 0 <= wish.title < 1 << 64
    assert wish.copies >= 1 and 0 <= wish.best_rung <= 255 and 0 <= wish.home_cell < 65_536
    assert asked.playing_host or 0 < wish.budget <= TERMS.max_timeouts[wish.service]


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=300))
def test_noise_on_the_change_log_leaves_the_list_as_it_was(noise):
    platform = Platform("a")
    platform.log.tell(b"data: " + noise + b"\n\n")
    platform.run(0.5)
    assert set(platform.node._listed_hosts) == {b"id-a"}
    platform.log.tell(b"\n\nid: 2\ndata: " + _json(list_event(2, host_entry("b"))) + b"\n\n")
    platform.run(0.5)
    assert set(platform.node._listed_hosts) == {b"id-a", b"id-b"}


def test_an_event_that_skips_a_number_is_taken_once_it_was_asked_for_again():
    platform = Platform("a")
    platform.log.tell(b"data: " + _json(list_event(3, host_entry("c"))) + b"\n\n")
    platform.run(0.2)
    assert platform.log.asked == ["1", "1"] and len(platform.node._listed_hosts) == 1
    both = [
        b"data: " + _json(list_event(seq, host_entry(name))) + b"\n\n" for seq, name in ((2, "b"), (3, "c"))
    ]
    platform.log.tell(b"".join(both))
    platform.run(0.2)
    assert set(platform.node._listed_hosts) == {b"id-a", b"id-b", b"id-c"}
    platform.log.tell(b"data: " + _json(list_event(9, host_entry("d"))) + b"\n\n")
    platform.run(0.2)
    platform.log.tell(b"data: " + _json(list_event(9, host_entry("d"))) + b"\n\n")
    platform.run(0.2)
    assert b"id-d" in platform.node._listed_hosts


def test_a_new_address_in_mid_event_goes_on_with_the_numbers_heard():
    platform = Platform("a")
    whole = b"data: " + _json(list_event(2, host_entry("b"))) + b"\n\n"
    platform.log.tell(whole[:40])
    platform.run(0.01)
    platform.config.changelog = "log:2380"
    asked = []

    class Other:
        def opened(self, stream):
            self.stream = stream

        def received(self, data):
            asked.append(data)
            self.stream.write(b"HTTP/1.1 200 OK\r\n\r\n" + whole)

        def closed(self, reason):
            pass

    platform.world.nodes["log"].listen("log", 2380, Other)
    platform.node.reload(platform.config)
    platform.run(0.2)
    assert b"Last-Event-ID: 1\r\n" in asked[0] and b"id-b" in platform.node._listed_hosts


def test_the_settings_of_the_tests_are_the_adapters_own_kind():
    parsed = wire.parse_settings(_json(SETTINGS))
    assert parsed.load_fields == ("x0",) and parsed.classes[0].deadline == 3_000_000


def test_a_release_tells_how_long_to_stay_away():
    (message,) = MessageReader().feed(encode_release(b"12345678", Cause.SWITCHING_EQUIPMENT_CONGESTION, 250))
    assert message.cause == 42 and message.text(Param.RETRY_AFTER) == "250" and set_up(b"12345678")


def _json(value):
    import json

    return json.dumps(value).encode()
