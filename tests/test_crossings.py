"""Crossings on the platform, in memory: what comes between two lines that belong together."""

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
    set_up,
    silent,
)
from test_node import one_answer

from mintmast.loop.base import CloseReason
from mintmast.signalling.messages import encode, encode_release

MS = 1000


def told(platform, call, host="a", **change):
    figures = f"home:0;copies:4;top:2;at:id-{host}"
    return set_up(call, figures=figures, ms=None, description=None, **change)


# Names


def test_classes_and_tenants_may_be_named_in_any_letters():
    services = [SETTINGS["services"][0] | {"name": "žuti sloj/α"}, SETTINGS["services"][1] | {"name": "ф"}]
    tenants = [{"name": "øy tv", "quotaPerS": 50.0, "share": 1.0}]
    platform = Platform("a", settings=SETTINGS | {"services": services, "accounts": tenants})
    end = platform.viewer()
    for name in ("žuti sloj/α", "ф"):
        call = platform.ask(end, name, tenant="øy tv")
        platform.run(0.1)
        assert one_answer(end, call).kind == MessageKind.ANSWER
        assert platform.hosts["a"].set_ups[-1][1].params[Param.CLASS] == name.encode()


# The viewer is gone


@pytest.mark.parametrize("how", ["closes", "resets", "gives up"])
@pytest.mark.parametrize("cancels", [True, False])
def test_no_attempt_begins_for_a_viewer_that_is_gone_while_it_waits_for_its_connection(how, cancels):
    settings = SETTINGS | {"caps": SETTINGS["caps"] | {"cancel": cancels, "maxAttempts": 3}}
    platform = Platform("a", "b", settings=settings)
    for name in "ab":
        platform.world.extra_delays["gw", name] = 100 * MS
    end = platform.viewer()
    call = platform.ask(end, "paid")
    platform.run(0.05)
    assert platform.node.calls.by_id
    if how == "gives up":
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    else:
        end.stream.close() if how == "closes" else end.stream.abort()
    platform.run(2)
    assert not any(host.set_ups for host in platform.hosts.values())
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions
    assert not platform.node.calls.controller.seats
    assert not any(server.failures for server in platform.node.calls.controller.servers.values())


def test_no_further_attempt_begins_for_a_viewer_that_is_gone():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    call = platform.ask(end, "free")
    platform.run(0.1)
    first = next(host for host in platform.hosts.values() if host.set_ups)
    end.stream.close()
    first.live()[-1].stream.write(encode_release(call, Cause.RESOURCE_UNAVAILABLE))
    platform.run(2)
    assert sum(len(host.set_ups) for host in platform.hosts.values()) == 1
    assert not platform.node.calls.by_id and not platform.node.calls.controller.sessions


# What is told on connections that end


class Narrow:
    """A stream that takes so many bytes and no more."""

    peer = ("front", 1)

    def __init__(self, takes):
        self.takes, self.bytes_sent, self.sent = takes, 0, b""

    def write(self, data):
        taken = data[: max(0, self.takes - self.bytes_sent)]
        self.sent += taken
        self.bytes_sent += len(taken)
        return True

    def has_unread(self):
        return False

    def pause(self):
        pass

    close = finish = abort = pause


def line_with_session(platform, takes=1 << 20):
    """Give a connection on which a session was asked and answered."""
    line, stream = platform.node.viewers.accept(), Narrow(takes)
    line.opened(stream)
    line.received(set_up(b"sessions"))
    platform.run(0.1)
    return line, stream


@pytest.mark.parametrize("takes, heard", [(19, False), (1 << 20, True)])
def test_a_session_whose_answer_the_connection_never_took_is_ended_with_it(takes, heard):
    platform = Platform("a")
    line, _ = line_with_session(platform, takes)
    assert platform.hosts["a"].set_ups
    line.closed(CloseReason.RESET)
    platform.run(0.1)
    assert (b"sessions" in platform.node.calls.by_id) is heard
    assert (b"sessions" in platform.hosts["a"].cuts) is not heard


def test_the_end_of_a_session_on_a_connection_that_is_closing_is_told_on_another():
    platform = Platform("a")
    line, _ = line_with_session(platform)
    end = platform.viewer()
    platform.ask(end)
    platform.run(0.1)
    line.close_with_error(Cause.PROTOCOL_ERROR, "for the test")
    platform.hosts["a"].end(b"sessions")
    platform.run(0.1)
    assert end.of(b"sessions", MessageKind.RELEASE)


def test_the_end_of_a_session_that_the_connection_did_not_take_is_told_on_another():
    platform = Platform("a")
    line, stream = line_with_session(platform)
    end = platform.viewer()
    platform.ask(end)
    platform.run(0.1)
    stream.takes = stream.bytes_sent + 3
    platform.hosts["a"].end(b"sessions")
    platform.run(0.1)
    assert not end.of(b"sessions")
    line.closed(CloseReason.RESET)
    platform.run(0.1)
    assert len(end.of(b"sessions", MessageKind.RELEASE)) == 1


@pytest.mark.parametrize("by", ["viewer", "host"])
def test_a_session_ended_on_another_connection_leaves_its_own_free_to_be_closed(by):
    platform = Platform("a")
    one, other = platform.viewer(), platform.viewer()
    call = platform.ask(one)
    platform.run(0.1)
    if by == "viewer":
        other.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    else:
        platform.hosts["a"].end(call, Cause.NORMAL_UNSPECIFIED)
    platform.run(0.1)
    assert not platform.node.calls.by_id
    assert not any(line.sessions for line in platform.node.viewers.connections.values())


def test_a_release_to_a_host_whose_connection_breaks_under_it_is_sent_again():
    platform = Platform("a")
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end)
    platform.run(0.1)
    platform.world.extra_delays["gw", "a"] = 20 * MS
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(0.01)
    assert not platform.node.calls.by_id and not host.cuts
    platform.world.reset_connections("gw", "a")
    platform.run(1)
    assert host.cuts == [call] and not platform.node.hosts.pools[b"id-a"].pending_releases


# Sessions handed over


def ready(platform):
    """Pass the first test, and have one session told so that the gateway opens a connection to the host."""
    end = platform.viewer()
    end.stream.write(encode(MessageKind.HEALTH_CHECK, bytes(8), [(Param.CAUSE, b"\0")]))
    end.stream.write(told(platform, b"\1" * 8))
    platform.run(0.5)
    assert platform.hosts["a"].live()
    return end


@pytest.mark.parametrize("cause", [Cause.NORMAL_CLEARING, Cause.TEMPORARY_FAILURE])
def test_a_session_that_ends_at_its_host_before_it_is_told_is_released_when_it_is(cause):
    platform = Platform("a")
    end = ready(platform)
    platform.hosts["a"].live()[-1].stream.write(encode_release(b"\2" * 8, cause))
    platform.run(0.1)
    end.stream.write(told(platform, b"\2" * 8))
    platform.run(0.1)
    assert [message.cause for message in end.of(b"\2" * 8, MessageKind.RELEASE)] == [cause]
    assert list(platform.node.calls.by_id) == [b"\1" * 8]
    assert not any(b"\2" * 8 in line.sessions for line in platform.node.viewers.connections.values())


def test_a_session_that_its_viewer_ends_before_it_is_told_is_ended_at_its_host():
    platform = Platform("a")
    end = ready(platform)
    platform.viewer().stream.write(encode_release(b"\2" * 8, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    end.stream.write(told(platform, b"\2" * 8))
    platform.run(0.1)
    assert platform.hosts["a"].cuts == [b"\2" * 8] and list(platform.node.calls.by_id) == [b"\1" * 8]
    assert not end.of(b"\2" * 8, MessageKind.RELEASE)


def test_a_session_told_again_after_its_end_is_not_taken_for_one_that_stands():
    platform = Platform("a")
    end = ready(platform)
    platform.hosts["a"].live()[-1].stream.write(encode_release(b"\1" * 8, Cause.NORMAL_CLEARING))
    platform.run(0.1)
    end.stream.write(told(platform, b"\1" * 8))
    platform.run(0.1)
    assert not platform.node.calls.by_id and end.of(b"\1" * 8, MessageKind.RELEASE)


def test_ends_of_sessions_nobody_tells_are_forgotten_after_a_while():
    platform = Platform("a")
    ready(platform)
    for number in range(5000):
        platform.node.handle_release(b"id-a", number.to_bytes(8), 16, "")
    assert 1000 < len(platform.node._early_ends) < 5000
    platform.run(11)
    platform.node.handle_release(b"id-a", bytes(8), 16, "")
    assert not platform.node._early_ends


# Hosts that move


@pytest.mark.parametrize("seen", range(0, 60, 4))
def test_a_set_up_never_goes_to_the_address_that_its_host_has_left(seen):
    """The move is told while the connection comes up, while its test is out, and at the instants between."""
    platform = Platform("a", "z")
    platform.log.tell(news_of(list_event(2, host_entry("z", "Gone"))))
    platform.run(0.05)
    for way in (("gw", "a"), ("a", "gw")):
        platform.world.extra_delays[way] = 10 * MS
    end, old, new = platform.viewer(), platform.hosts["a"], platform.hosts["z"]
    call = platform.ask(end, "paid")
    platform.run(seen / 1000)
    if old.set_ups or b"\0" * 7 + b"\1" not in platform.node.calls.by_id:
        return
    under_way = platform.node.hosts.pools[b"id-a"].attempts[call]
    if under_way.end_offset is not None:  # it has left for the old address before the move was told
        return
    platform.log.tell(news_of(list_event(3, host_entry("a", addr="z:5060"))))
    platform.run(1)
    assert not old.set_ups and len(new.set_ups) == 1
    assert one_answer(end, call).kind == MessageKind.ANSWER


@pytest.mark.parametrize("gone_first", [True, False])
@pytest.mark.parametrize("seen", range(0, 40, 4))
def test_a_set_up_for_a_host_that_was_replaced_does_not_go_to_its_successor(seen, gone_first):
    """The successor does not hold the title; its start may be told before the other's end."""
    platform = Platform("a")
    for way in (("gw", "a"), ("a", "gw")):
        platform.world.extra_delays[way] = 10 * MS
    end, host = platform.viewer(), platform.hosts["a"]
    call = platform.ask(end, "paid", figures="home:0;copies:1;top:2")
    platform.run(seen / 1000)
    under_way = platform.node.hosts.pools[b"id-a"].attempts.get(call)
    if under_way is None or under_way.end_offset is not None:
        return
    events = [host_entry("a", "Gone"), host_entry("n", addr="a:5060", cell=1)]
    for seq, each in enumerate(events if gone_first else events[1:], 2):
        platform.log.tell(news_of(list_event(seq, each)))
    platform.run(4)
    assert not host.set_ups and one_answer(end, call).cause == Cause.SWITCHING_EQUIPMENT_CONGESTION


def news_of(event):
    return f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode()


# The change log


def test_a_log_whose_numbers_start_again_is_heard_and_repeats_of_old_lists_are_not():
    platform = Platform("a")
    platform.log.tell(news_of(list_event(2, host_entry("b"))))
    platform.log.tell(news_of(list_event(3, host_entry("c"))))
    platform.run(0.1)
    listed = platform.node._listed_hosts
    platform.log.tell(news_of(list_event(1, host_entry("a"), full=True)))
    platform.run(0.1)
    assert set(listed) == {b"id-a", b"id-b", b"id-c"}
    again = list_event(1, host_entry("d"), full=True)
    again["fleet"]["version"] = 4
    platform.log.tell(news_of(again))
    platform.log.tell(news_of(list_event(2, host_entry("e"))))
    platform.run(0.1)
    assert set(listed) == {b"id-d", b"id-e"} and platform.node.changelog.seq == 2


# Descriptors


def test_connections_to_hosts_nobody_needs_go_for_others_when_there_are_no_more():
    names = [f"h{number}" for number in range(6)]
    platform = Platform(*names, sockets=2 * 28)  # four connections to hosts
    assert platform.node.hosts.limits.max_connections == 4
    end = platform.viewer()
    for cell, name in enumerate(names):
        platform.log.tell(news_of(list_event(2 + cell, host_entry(name, cell=cell))))
    platform.run(0.1)
    for home in range(4):
        call = platform.ask(end, figures=f"home:{home};copies:1;top:2")
        platform.run(0.1)
        assert one_answer(end, call).kind == MessageKind.ANSWER
        end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
        platform.run(0.1)
    assert platform.node.hosts.connections_in_use == 4
    for name in names[:4]:
        platform.log.tell(news_of(list_event(20 + names.index(name), host_entry(name, "Terminating"))))
    for cell, name in enumerate(names[4:]):
        platform.log.tell(news_of(list_event(30 + cell, host_entry(name, cell=cell))))
    platform.run(0.1)
    call = platform.ask(end, figures="home:0;copies:1;top:2")
    platform.run(0.1)
    assert one_answer(end, call).kind == MessageKind.ANSWER and platform.node.hosts.connections_in_use <= 4
