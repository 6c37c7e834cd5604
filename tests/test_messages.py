"""Fuzz tests of the codec, the set-up parser and the change log: no input in any fragmentation raises."""

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
def test_fragmentation_does_not_change_the_decoded_messages_and_buffering_is_bounded(parts, sizes):
    data = b"".join(parts)
    reference = MessageReader()
    expected = reference.feed(data)
    reader, got, at, turn = MessageReader(), [], 0, 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        got += reader.feed(data[at : at + size])
        assert len(reader._buffer) <= MAX_MESSAGE_BYTES + 2
        at, turn = at + size, turn + 1
    assert got == expected and reader.is_broken == reference.is_broken


@given(SOUND)
def test_an_encoded_message_decodes_to_itself(data):
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
def test_arbitrary_set_up_parameters_give_a_bounded_request_or_a_cause(params):
    parsed = set_up_parser.parse_set_up(Message(MessageKind.SET_UP, b"12345678", params), TERMS)
    if isinstance(parsed, Cause):
        return
    request = parsed.request
    assert request.service in (0, 1) and request.tenant == 0 and 0 <= request.title < 1 << 64
    assert request.copies >= 1 and 0 <= request.best_rung <= 255 and 0 <= request.home_cell < 65_536
    assert parsed.playing_host or 0 < request.budget <= TERMS.max_timeouts[request.service]


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_on_the_change_log_leaves_the_list_unchanged(noise):
    platform = Platform("a")
    platform.log.send(b"data: " + noise + b"\n\n")
    platform.run(0.5)
    assert set(platform.node._listed_hosts) == {b"id-a"}
    platform.log.send(b"\n\nid: 2\ndata: " + _json(list_event(2, host_entry("b"))) + b"\n\n")
    platform.run(0.5)
    assert set(platform.node._listed_hosts) == {b"id-a", b"id-b"}


def test_a_gap_in_sequence_numbers_is_accepted_only_after_one_new_request():
    platform = Platform("a")
    platform.log.send(b"data: " + _json(list_event(3, host_entry("c"))) + b"\n\n")
    platform.run(0.2)
    assert platform.log.requested_ids == ["1", "1"] and len(platform.node._listed_hosts) == 1
    both = [
        b"data: " + _json(list_event(seq, host_entry(name))) + b"\n\n" for seq, name in ((2, "b"), (3, "c"))
    ]
    platform.log.send(b"".join(both))
    platform.run(0.2)
    assert set(platform.node._listed_hosts) == {b"id-a", b"id-b", b"id-c"}
    platform.log.send(b"data: " + _json(list_event(9, host_entry("d"))) + b"\n\n")
    platform.run(0.2)
    platform.log.send(b"data: " + _json(list_event(9, host_entry("d"))) + b"\n\n")
    platform.run(0.2)
    assert b"id-d" in platform.node._listed_hosts


def test_a_new_log_address_in_the_middle_of_an_event_resumes_after_the_last_event():
    platform = Platform("a")
    frame = b"data: " + _json(list_event(2, host_entry("b"))) + b"\n\n"
    platform.log.send(frame[:40])
    platform.run(0.01)
    platform.config.changelog = "log:2380"
    requests = []

    class Other:
        def opened(self, stream):
            self.stream = stream

        def received(self, data):
            requests.append(data)
            self.stream.write(b"HTTP/1.1 200 OK\r\n\r\n" + frame)

        def closed(self, reason):
            pass

    platform.world.nodes["log"].listen("log", 2380, Other)
    platform.node.reload(platform.config)
    platform.run(0.2)
    assert b"Last-Event-ID: 1\r\n" in requests[0] and b"id-b" in platform.node._listed_hosts


def test_the_settings_of_the_tests_are_valid():
    parsed = wire.parse_settings(_json(SETTINGS))
    assert parsed.load_fields == ("x0",) and parsed.classes[0].deadline == 3_000_000


def test_a_release_carries_the_retry_advice():
    (message,) = MessageReader().feed(encode_release(b"12345678", Cause.SWITCHING_EQUIPMENT_CONGESTION, 250))
    assert message.cause == 42 and message.text(Param.RETRY_AFTER) == "250" and set_up(b"12345678")


def _json(value):
    import json

    return json.dumps(value).encode()
