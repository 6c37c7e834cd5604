"""Race conditions of the gateway on an in-memory network: messages and closes that cross on the way."""

import json

import pytest
from platform_world import (
    SETTINGS,
    Cause,
    MessageKind,
    Param,
    Platform,
    host_entry,
    list_event,
    play,
    set_up,
    silent,
)
from test_node import one_answer

from mintmast.decisions.calls import past_calls
from mintmast.decisions.calls.past_calls import PastCalls
from mintmast.loop.base import CloseReason
from mintmast.signalling.messages import encode, encode_release

MS = 1000


def handover(platform, call, host="a", **change):
    placement = f"home:0;copies:4;top:2;at:id-{host}"
    return set_up(call, placement=placement, ms=None, description=None, **change)


# Names


def test_class_and_tenant_names_may_be_non_ascii():
    services = [SETTINGS["services"][0] | {"name": "žuti sloj/α"}, SETTINGS["services"][1] | {"name": "ф"}]
    tenants = [{"name": "øy tv", "quotaPerS": 50.0, "share": 1.0}]
    platform = Platform("a", settings=SETTINGS | {"services": services, "accounts": tenants})
    end = platform.viewer()
    for name in ("žuti sloj/α", "ф"):
        call = platform.send_set_up(end, name, tenant="øy tv")
        platform.run(0.1)
        assert one_answer(end, call).kind == MessageKind.ANSWER
        assert platform.hosts["a"].set_ups[-1][1].params[Param.CLASS] == name.encode()


# Disconnected viewers


@pytest.mark.parametrize("how", ["closes", "resets", "cancels"])
@pytest.mark.parametrize("cancels", [True, False])
def test_no_attempt_is_sent_if_the_viewer_leaves_while_the_host_connection_opens(how, cancels):
    settings = SETTINGS | {"caps": SETTINGS["caps"] | {"cancel": cancels, "maxAttempts": 3}}
    platform = Platform("a", "b", settings=settings)
    for name in "ab":
        platform.world.extra_delays["gw", name] = 100 * MS
    end = platform.viewer()
    call = platform.send_set_up(end, "paid")
    platform.run(0.05)
    assert platform.node.calls.by_id
    if how == "cancels":
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    else:
        end.stream.close() if how == "closes" else end.stream.abort()
    platform.run(2)
    assert not any(host.set_ups for host in platform.hosts.values())
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert not platform.node.calls.controller.seats
    assert not any(server.failures for server in platform.node.calls.controller.servers.values())


def test_no_retry_begins_after_the_viewer_has_left():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.send_set_up(end, "free")
    platform.run(0.1)
    first = next(host for host in platform.hosts.values() if host.set_ups)
    end.stream.close()
    first.open_connections()[-1].stream.write(encode_release(call, Cause.RESOURCE_UNAVAILABLE))
    platform.run(2)
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


# Messages on connections that close


class LimitedStream:
    """A stream whose network accepts `limit` bytes and no more."""

    peer = ("front", 1)

    def __init__(self, limit):
        self.limit, self.bytes_sent, self.sent = limit, 0, b""

    def write(self, data):
        taken = data[: max(0, self.limit - self.bytes_sent)]
        self.sent += taken
        self.bytes_sent += len(taken)
        return True

    def has_unread(self):
        return False

    def pause(self):
        pass

    close = finish = abort = pause


def connection_with_session(platform, limit=1 << 20):
    """Return a connection, and its stream, on which a session was set up."""
    connection, stream = platform.node.viewers.accept(), LimitedStream(limit)
    connection.opened(stream)
    connection.received(set_up(b"sessions"))
    platform.run(0.1)
    return connection, stream


@pytest.mark.parametrize("limit, is_delivered", [(19, False), (1 << 20, True)])
def test_a_session_whose_answer_was_not_delivered_ends_with_the_connection(limit, is_delivered):
    platform = Platform("a")
    connection, _ = connection_with_session(platform, limit)
    assert platform.hosts["a"].set_ups
    connection.closed(CloseReason.RESET)
    platform.run(0.1)
    assert (b"sessions" in platform.node.calls.by_id) is is_delivered
    assert (b"sessions" in platform.hosts["a"].releases) is not is_delivered


def test_a_session_end_is_sent_on_another_connection_if_its_own_is_closing():
    platform = Platform("a")
    connection, _ = connection_with_session(platform)
    end = platform.viewer()
    platform.send_set_up(end)
    platform.run(0.1)
    connection.close_with_error(Cause.PROTOCOL_ERROR, "for the test")
    platform.hosts["a"].end_session(b"sessions")
    platform.run(0.1)
    assert end.messages_for(b"sessions", MessageKind.RELEASE)


def test_an_undelivered_session_end_is_sent_on_another_connection():
    platform = Platform("a")
    connection, stream = connection_with_session(platform)
    end = platform.viewer()
    platform.send_set_up(end)
    platform.run(0.1)
    stream.limit = stream.bytes_sent + 3
    platform.hosts["a"].end_session(b"sessions")
    platform.run(0.1)
    assert not end.messages_for(b"sessions")
    connection.closed(CloseReason.RESET)
    platform.run(0.1)
    assert len(end.messages_for(b"sessions", MessageKind.RELEASE)) == 1


@pytest.mark.parametrize("by", ["viewer", "host"])
def test_a_session_ended_on_another_connection_is_removed_from_its_own(by):
    platform = Platform("a")
    one, other = platform.viewer(), platform.viewer()
    call = platform.send_set_up(one)
    platform.run(0.1)
    if by == "viewer":
        other.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    else:
        platform.hosts["a"].end_session(call, Cause.NORMAL_UNSPECIFIED)
    platform.run(0.1)
    assert not platform.node.calls.by_id
    assert not any(connection.sessions for connection in platform.node.viewers.connections.values())


def test_a_release_is_sent_again_if_the_host_connection_breaks():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end)
    platform.run(0.1)
    platform.world.extra_delays["gw", "a"] = 20 * MS
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.01)
    assert not platform.node.calls.by_id and not host.releases
    platform.world.reset_connections("gw", "a")
    platform.run(1)
    assert host.releases == [call] and not platform.node.hosts.pools[b"id-a"].pending_releases


def test_a_session_end_reaches_its_viewer_after_an_earlier_host_repeated_its_release():
    """Guards against a release of a host that lost the session being taken for the session's own.

    The first host runs the set-up and loses its answer. The session plays at the second, and the first host
    confirms the cancelled attempt by a release, again and again.
    """
    platform = Platform("a", "b", script=silent)
    own, other = platform.viewer(), platform.viewer()
    platform.send_set_up(other)  # so that the gateway knows this connection as a viewer's
    call = platform.send_set_up(own)
    platform.run(0.1)
    first = next(host for host in platform.hosts.values() if call in host.connection_of)
    second = next(host for host in platform.hosts.values() if host is not first)
    second.script = play
    platform.run(0.6)
    assert one_answer(own, call).kind == MessageKind.ANSWER and call in second.connection_of
    for _ in range(2):
        first.send_release(first.open_connections()[-1], call, Cause.NORMAL_UNSPECIFIED)
        platform.run(0.1)
    own.stream.close()
    platform.run(0.1)
    second.end_session(call)
    platform.run(0.1)
    assert [end.cause for end in other.messages_for(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]
    ignored = [fields for event, fields in platform.log_lines if event == "release ignored"]
    assert len(ignored) == 2 and {fields["host"] for fields in ignored} == {f"id-{first.name}"}


# Session handover


def hand_over_session(platform):
    """Pass the first health check, and hand over one session so that the gateway connects to its host."""
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    end.stream.write(handover(platform, b"\1" * 8))
    platform.run(0.5)
    assert platform.hosts["a"].open_connections()
    return end


@pytest.mark.parametrize("cause", [Cause.NORMAL_CLEARING, Cause.TEMPORARY_FAILURE])
def test_a_session_that_ends_at_its_host_before_its_handover_is_released_at_the_handover(cause):
    platform = Platform("a")
    end = hand_over_session(platform)
    platform.hosts["a"].open_connections()[-1].stream.write(encode_release(b"\2" * 8, cause))
    platform.run(0.1)
    end.stream.write(handover(platform, b"\2" * 8))
    platform.run(0.1)
    assert [message.cause for message in end.messages_for(b"\2" * 8, MessageKind.RELEASE)] == [cause]
    assert list(platform.node.calls.by_id) == [b"\1" * 8]
    assert not any(
        b"\2" * 8 in connection.sessions for connection in platform.node.viewers.connections.values()
    )


def test_a_session_that_its_viewer_ends_before_its_handover_is_released_at_its_host():
    platform = Platform("a")
    end = hand_over_session(platform)
    platform.viewer().stream.write(encode_release(b"\2" * 8, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    end.stream.write(handover(platform, b"\2" * 8))
    platform.run(0.1)
    assert platform.hosts["a"].releases == [b"\2" * 8] and list(platform.node.calls.by_id) == [b"\1" * 8]
    assert not end.messages_for(b"\2" * 8, MessageKind.RELEASE)


@pytest.mark.parametrize("cause", [Cause.NORMAL_UNSPECIFIED, Cause.NORMAL_CLEARING])
def test_a_handover_is_adopted_after_a_release_of_another_host(cause):
    """Guards against the release of an earlier attempt's host ending a session that is handed over."""
    platform = Platform("a", "b")
    end = hand_over_session(platform)
    platform.node.handle_release(b"id-b", b"\2" * 8, cause, "")
    end.stream.write(handover(platform, b"\2" * 8))
    platform.run(0.1)
    assert platform.node.calls.by_id[b"\2" * 8].host == b"id-a" and not platform.hosts["a"].releases
    platform.node.handle_release(b"id-b", b"\2" * 8, cause, "")
    platform.node.handle_release(b"id-a", b"\2" * 8, Cause.NORMAL_CLEARING, "")
    platform.run(0.1)
    assert len(end.messages_for(b"\2" * 8, MessageKind.RELEASE)) == 1


def test_a_handover_repeated_after_the_session_end_is_rejected():
    platform = Platform("a")
    end = hand_over_session(platform)
    platform.hosts["a"].open_connections()[-1].stream.write(encode_release(b"\1" * 8, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    end.stream.write(handover(platform, b"\1" * 8))
    platform.run(0.1)
    assert not platform.node.calls.by_id and end.messages_for(b"\1" * 8, MessageKind.RELEASE)


def test_early_session_ends_are_bounded_and_expire():
    platform = Platform("a")
    hand_over_session(platform)
    for number in range(5000):
        platform.node.handle_release(b"id-a", number.to_bytes(8), 16, "")
    assert 1000 < len(platform.node._early_ends) < 5000
    platform.run(11)
    platform.node.handle_release(b"id-a", bytes(8), 16, "")
    assert not platform.node._early_ends


# Address changes of hosts


@pytest.mark.parametrize("delay_ms", range(0, 60, 4))
def test_a_set_up_is_never_sent_to_the_old_address_of_its_host(delay_ms):
    """The address changes during the connect, during the health check, and at instants between.

    Guards against a set-up that is written to the old address, which may be another host's by then.
    """
    platform = Platform("a", "z")
    platform.log.send(event_frame(list_event(2, host_entry("z", "Gone"))))
    platform.run(0.05)
    for way in (("gw", "a"), ("a", "gw")):
        platform.world.extra_delays[way] = 10 * MS
    end, old, new = platform.viewer(), platform.hosts["a"], platform.hosts["z"]
    call = platform.send_set_up(end, "paid")
    platform.run(delay_ms / 1000)
    if old.set_ups or b"\0" * 7 + b"\1" not in platform.node.calls.by_id:
        return
    attempt = platform.node.hosts.pools[b"id-a"].attempts[call]
    if attempt.end_offset is not None:  # sent to the old address before the change was known
        return
    platform.log.send(event_frame(list_event(3, host_entry("a", addr="z:5060"))))
    platform.run(1)
    assert not old.set_ups and len(new.set_ups) == 1
    assert one_answer(end, call).kind == MessageKind.ANSWER


@pytest.mark.parametrize("removed_first", [True, False])
@pytest.mark.parametrize("delay_ms", range(0, 40, 4))
def test_a_set_up_for_a_replaced_host_is_not_sent_to_the_host_at_its_address(delay_ms, removed_first):
    """Another host, which does not hold the title, takes over the address; its start may be listed first."""
    platform = Platform("a")
    for way in (("gw", "a"), ("a", "gw")):
        platform.world.extra_delays[way] = 10 * MS
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.send_set_up(end, "paid", placement="home:0;copies:1;top:2")
    platform.run(delay_ms / 1000)
    attempt = platform.node.hosts.pools[b"id-a"].attempts.get(call)
    if attempt is None or attempt.end_offset is not None:
        return
    events = [host_entry("a", "Gone"), host_entry("n", addr="a:5060", cell=1)]
    for seq, each in enumerate(events if removed_first else events[1:], 2):
        platform.log.send(event_frame(list_event(seq, each)))
    platform.run(4)
    assert not host.set_ups and one_answer(end, call).cause == Cause.SWITCHING_EQUIPMENT_CONGESTION


def event_frame(event):
    return f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode()


# Change log


def test_a_change_log_whose_sequence_numbers_restart_is_followed_and_old_lists_are_ignored():
    platform = Platform("a")
    platform.log.send(event_frame(list_event(2, host_entry("b"))))
    platform.log.send(event_frame(list_event(3, host_entry("c"))))
    platform.run(0.1)
    listed = platform.node._listed_hosts
    platform.log.send(event_frame(list_event(1, host_entry("a"), full=True)))
    platform.run(0.1)
    assert set(listed) == {b"id-a", b"id-b", b"id-c"}
    again = list_event(1, host_entry("d"), full=True)
    again["fleet"]["version"] = 4
    platform.log.send(event_frame(again))
    platform.log.send(event_frame(list_event(2, host_entry("e"))))
    platform.run(0.1)
    assert set(listed) == {b"id-d", b"id-e"} and platform.node.changelog.seq == 2


# File descriptors


def test_spare_host_connections_are_closed_for_new_ones_at_the_limit():
    names = [f"h{number}" for number in range(6)]
    platform = Platform(*names, sockets=2 * 28)  # four connections to hosts
    assert platform.node.hosts.limits.max_connections == 4
    end = platform.viewer()
    for cell, name in enumerate(names):
        platform.log.send(event_frame(list_event(2 + cell, host_entry(name, cell=cell))))
    platform.run(0.1)
    for home in range(4):
        call = platform.send_set_up(end, placement=f"home:{home};copies:1;top:2")
        platform.run(0.1)
        assert one_answer(end, call).kind == MessageKind.ANSWER
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
        platform.run(0.1)
    assert platform.node.hosts.connections_in_use == 4
    for name in names[:4]:
        platform.log.send(event_frame(list_event(20 + names.index(name), host_entry(name, "Terminating"))))
    for cell, name in enumerate(names[4:]):
        platform.log.send(event_frame(list_event(30 + cell, host_entry(name, cell=cell))))
    platform.run(0.1)
    call = platform.send_set_up(end, placement="home:0;copies:1;top:2")
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.ANSWER and platform.node.hosts.connections_in_use <= 4


# A call reference that comes again


def left_call(how, script, service="paid"):
    """Return a platform, and a call whose viewer has left after its set-up was sent to a host."""
    platform = Platform("a", "b", script=script)
    end = platform.viewer()
    call = platform.send_set_up(end, service)
    platform.run(0.05)
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1
    if how == "cancels":
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    else:
        end.stream.close() if how == "closes" else end.stream.abort()
    platform.run(0.5)
    return platform, call


@pytest.mark.parametrize("script", [silent, play])
@pytest.mark.parametrize("how", ["closes", "resets", "cancels"])
def test_a_paid_call_that_may_have_run_fails_when_it_comes_again(how, script):
    # a client that left and sent its set-ups once more had some of them set up twice
    platform, call = left_call(how, script)
    if script is play and how != "cancels":  # answered: the session belongs to no connection
        platform.node.handle_viewer_left(call)
    again = platform.viewer()
    again.stream.write(set_up(call, "paid"))
    platform.run(3.5)
    assert one_answer(again, call).cause == Cause.TEMPORARY_FAILURE
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1


def test_a_call_that_never_ran_or_may_run_twice_is_served_when_it_comes_again():
    platform = Platform("a", "b")
    for name in "ab":
        platform.world.extra_delays["gw", name] = 100 * MS
    end = platform.viewer()
    unsent = platform.send_set_up(end, "paid")
    platform.run(0.05)
    end.stream.close()
    platform.run(1)
    again = platform.viewer()
    again.stream.write(set_up(unsent, "paid"))
    platform.run(1)
    assert one_answer(again, unsent).kind == MessageKind.ANSWER
    platform, free = left_call("closes", silent, "free")
    for host in platform.hosts.values():
        host.script = play
    again = platform.viewer()
    again.stream.write(set_up(free, "free"))
    platform.run(1)
    assert one_answer(again, free).kind == MessageKind.ANSWER


def test_past_calls_are_bounded_and_expire():
    past = PastCalls()
    for number in range(past_calls.MAX_PAST_CALLS + 10):
        past.record(number, number.to_bytes(8))
    assert len(past) == past_calls.MAX_PAST_CALLS
    assert not past.may_have_run(past_calls.MAX_PAST_CALLS, (9).to_bytes(8))
    assert past.may_have_run(past_calls.MAX_PAST_CALLS, (10).to_bytes(8))
    assert not past.may_have_run(10 + past_calls.PAST_CALL_TTL_US, (10).to_bytes(8))
    past.record(3 * past_calls.PAST_CALL_TTL_US, b"a new on")
    assert len(past) == 1
