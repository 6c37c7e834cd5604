"""Media hosts that stand still or fall silent while sessions play there, on an in-memory network."""

import pytest
from platform_world import Cause, Host, MessageKind, Platform, host_entry, list_event, play, silent

# s: the platform requires a session's end to be released to its viewer within 1 s of the host's release
RELEASE_BOUND_S = 1

# orders in which a host that goes on handles what became due or arrived while it stood still
WAKE_ORDERS = ["timers, accepts, reads", "accepts, timers, reads", "accepts, reads, timers"]


def resume(host, order, timers):
    """Let a frozen host go on: `timers` are its due callbacks, handled in their place of `order`."""
    deferred = host.node.frozen_calls
    accepts = [each for each in deferred if each[0] == host.handle_accepted or each[0].__name__ == "open"]
    reads = [each for each in deferred if each not in accepts]
    groups = {"timers": timers, "accepts": accepts, "reads": reads}
    host.node.frozen_calls = [each for name in order.split(", ") for each in groups[name]]
    host.node.thaw()


def platform_with_sessions(count=2):
    """Return a platform with one host and a viewer, its viewer, the host, and the sessions there."""
    platform = Platform("a")
    end = platform.viewer()
    calls = [platform.send_set_up(end) for _ in range(count)]
    platform.run(0.5)
    assert all(end.messages_for(call, MessageKind.ANSWER) for call in calls)
    return platform, end, platform.hosts["a"], calls


def end_while_still(platform, host, calls, seconds, order):
    """Freeze the host for a while; its sessions are over when it goes on."""
    host.node.freeze()
    platform.run(seconds)
    resume(host, order, [(host.end_session, (call,)) for call in calls])
    platform.run(RELEASE_BOUND_S)


@pytest.mark.parametrize("order", WAKE_ORDERS)
@pytest.mark.parametrize("seconds", [2, 3, 5.5, 9, 23])
def test_sessions_that_end_while_their_host_stands_still_are_released_to_their_viewer(seconds, order):
    # a host that goes on writes these ends to connections that the gateway closed meanwhile, and repeats them
    # on the first connection that waits to be accepted; if that one is closed too, nobody hears of them
    platform, end, host, calls = platform_with_sessions()
    end_while_still(platform, host, calls, seconds, order)
    for call in calls:
        assert [m.cause for m in end.messages_for(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]


@pytest.mark.parametrize("order", WAKE_ORDERS)
@pytest.mark.parametrize("service", ["paid", "free"])
@pytest.mark.parametrize("still_s", [2.6, 9])
def test_session_ends_reach_their_viewer_though_set_ups_timed_out_at_the_host(still_s, service, order):
    # a set-up that times out closes its connection, and one that waits in vain for a health check used to;
    # both may be the connection on which a session was answered
    platform, end, host, calls = platform_with_sessions()
    host.script = silent
    for _ in range(4):
        platform.send_set_up(end, service, ms=800)
    platform.run(0.05)
    host.node.freeze()
    for _ in range(int(still_s * 10)):
        platform.send_set_up(end, service, ms=500)
        platform.run(0.1)
    resume(host, order, [(host.end_session, (call,)) for call in calls])
    platform.run(RELEASE_BOUND_S)
    for call in calls:
        assert [m.cause for m in end.messages_for(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]


def test_connections_to_a_host_that_stands_still_are_bounded():
    # each connection that came up and stays unanswered takes a descriptor here and at the host
    platform, end, host, _ = platform_with_sessions()
    most = 0
    host.node.freeze()
    for _ in range(200):
        platform.send_set_up(end, ms=500)
        platform.run(0.1)
        most = max(most, len(platform.node.hosts.pools[b"id-a"].connections))
    assert most <= 6
    host.node.thaw()
    platform.run(6)
    assert all(each.is_usable for each in platform.node.hosts.pools[b"id-a"].connections)


def test_sessions_at_a_host_that_stands_still_and_then_vanishes_are_released_within_8_s():
    # connections that came up but were never answered must not count as proof that the host can be reached
    platform, end, host, calls = platform_with_sessions()
    host.node.freeze()
    platform.run(4)
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    platform.run(8)
    assert all(end.messages_for(call, MessageKind.RELEASE) for call in calls)
    assert not platform.node.hosts.pools[b"id-a"].connections


def test_sessions_at_a_host_that_is_cut_off_are_released_at_the_limit_of_connections():
    # a silent connection must not keep the place of the one that shows whether the host can be reached
    platform, end, host, calls = platform_with_sessions(count=1)
    platform.node.hosts.limits.max_connections = platform.node.hosts.connections_in_use
    platform.world.cut_paths |= {("gw", "a"), ("a", "gw")}
    platform.run(7)
    assert end.messages_for(calls[0], MessageKind.RELEASE)


def test_a_connection_that_stays_silent_while_its_host_answers_on_another_is_closed():
    # a connection whose far end was forgotten would else be kept for as long as sessions play there
    platform, end, host, calls = platform_with_sessions(count=1)
    forgotten = host.connection_of[calls[0]]
    forgotten.on_message = None
    platform.run(8)
    assert forgotten.closed_by is not None
    host.end_session(calls[0])
    platform.run(RELEASE_BOUND_S)
    assert end.messages_for(calls[0], MessageKind.RELEASE)


def test_a_release_for_a_host_that_stands_still_is_not_lost_if_its_connection_never_answers():
    # the release was written to a connection that is silent; the host answers on another one only
    platform, end, host, calls = platform_with_sessions(count=1)
    host.connection_of[calls[0]].on_message = None
    platform.run(1.5)
    end.stream.close()
    platform.front.connect("gw", 5060, type(end)())
    for each in list(platform.node.calls.by_id):
        platform.node.handle_viewer_left(each)
    platform.run(6)
    assert calls[0] in host.releases


def test_a_set_up_is_answered_on_a_connection_that_was_silent_for_a_while():
    platform, end, host, _ = platform_with_sessions()
    host.node.freeze()
    platform.run(9)
    host.node.thaw()
    platform.run(0.1)
    accepted = len(host.connections)
    host.script = play
    call = platform.send_set_up(end)
    platform.run(0.2)
    assert end.messages_for(call, MessageKind.ANSWER)
    assert len(host.connections) == accepted


@pytest.mark.parametrize("told_after_s", [0.05, 0.5, 3])
@pytest.mark.parametrize("ends_by", ["death", "standing still and death"])
def test_a_process_at_the_address_of_one_that_has_gone_is_not_taken_for_it_once_it_is_listed(
    told_after_s, ends_by
):
    # paid set-ups ran twice, sessions were left standing, or went on being sent under the old host's id
    platform = Platform("a", "b")
    end, old = platform.viewer(), platform.hosts["a"]
    calls = []

    def send_for(seconds):
        for _ in range(int(seconds * 50)):
            calls.append(platform.send_set_up(end, "paid", ms=1000))
            platform.run(0.02)

    send_for(0.5)
    if ends_by != "death":
        old.node.freeze()
        send_for(3)
    old.node.kill()
    new = Host(platform, "a")
    send_for(told_after_s)
    entries = [host_entry("a", "Gone"), host_entry("n", addr="a:5060")]
    platform.node.changelog.handle_event(list_event(2, *entries))
    told_at = platform.now()
    platform.run(RELEASE_BOUND_S)
    assert not platform.node.calls.has_session_at(b"id-a")
    send_for(0.5)
    platform.run(3)
    assert b"id-a" not in platform.node.hosts.pools
    hosts = (old, new, platform.hosts["b"])
    for call in calls:
        answers = end.messages_for(call)
        assert answers[0].kind in (MessageKind.ANSWER, MessageKind.RELEASE)
        assert sum(message.call_id == call for host in hosts for _, message in host.set_ups) <= 1
    known = {call.id: call.host for call in platform.node.calls.by_id.values()}
    after = [message.call_id for at, message in new.set_ups if at > told_at]
    assert after and all(known[call] == b"id-n" for call in after)
