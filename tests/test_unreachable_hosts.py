"""A media host that is cut off for a while: what the gateway gave up there is released once it is reached.

Guards against the failure of review/9: the gateway took the host for dead, told the viewers that their
sessions were over and freed their seats, but the host had lived on and played them to nobody.
"""

import json

from platform_world import MessageKind, Platform, host_entry, list_event

from mintmast.signalling.hostpool import RELEASE_RETRY_US

CUT_OFF_S = 6
# s from a host's return until it must have got the releases: a retry, its connection, and a check of the pool
RELEASED_WITHIN_S = RELEASE_RETRY_US / 1e6 + 0.6


def cut_off_host(sessions=3):
    """Return a platform whose only host is unreachable, taken for dead, with the sessions that were there."""
    platform = Platform("a")
    viewer = platform.viewer()
    calls = [platform.send_set_up(viewer, "paid") for _ in range(sessions)]
    platform.run(0.2)
    set_reachable(platform, False)
    platform.run(CUT_OFF_S)
    for call in calls:
        assert [message.kind for message in viewer.messages_for(call)][1:] == [MessageKind.RELEASE]
    return platform, calls


def set_reachable(platform, is_reachable):
    paths = {("gw", "a"), ("a", "gw")}
    if is_reachable:
        platform.world.cut_paths -= paths
    else:
        platform.world.cut_paths |= paths


def test_sessions_given_up_at_a_host_that_was_cut_off_are_released_when_it_is_reached_again():
    platform, calls = cut_off_host()
    set_reachable(platform, True)
    platform.run(RELEASED_WITHIN_S)
    assert sorted(set(platform.hosts["a"].releases)) == sorted(calls)


def test_releases_reach_a_returned_host_before_new_set_ups():
    platform, calls = cut_off_host()
    host = platform.hosts["a"]
    released_before = []
    host.script = lambda host, end, message: released_before.extend(host.releases)
    set_reachable(platform, True)
    platform.send_set_up(platform.viewer(), "free")
    platform.run(RELEASED_WITHIN_S)
    assert len(host.set_ups) == 4 and set(calls) <= set(released_before)


def test_a_host_that_stays_cut_off_is_tried_about_once_a_second():
    platform, _ = cut_off_host()
    before = count_closed(platform)
    platform.run(60)
    assert 30 <= count_closed(platform) - before <= 60_000_000 / RELEASE_RETRY_US + 1


def count_closed(platform):
    return sum(event == "host closed" for event, _ in platform.log_lines)


def test_a_new_process_at_the_address_gets_no_releases_of_the_old_one():
    platform, _ = cut_off_host()
    listed = host_entry("a", started=int(platform.gateway.wall() * 1000))
    platform.log.send(f"id: 2\ndata: {json.dumps(list_event(2, listed))}\n\n".encode())
    platform.run(0.1)
    set_reachable(platform, True)
    platform.run(10)
    assert not platform.hosts["a"].releases


def test_a_host_that_refuses_connections_has_died_and_is_tried_no_more():
    platform, _ = cut_off_host()
    platform.hosts["a"].node.kill()
    set_reachable(platform, True)
    platform.run(3)
    before = count_closed(platform)
    platform.run(30)
    assert count_closed(platform) == before
    platform.hosts["a"].listen()
    platform.run(5)
    assert not platform.hosts["a"].releases
