"""Viewers that send without pause, write slowly, or do not read: others are served, and memory is bounded."""

import socket

import pytest
from platform_world import MessageKind, Platform, set_up
from test_crossings_sockets import Bench, call_id_of
from test_node import one_answer

from mintmast.loop import StreamLimits
from mintmast.loop.round_robin import RoundRobin
from mintmast.signalling.messages import Cause, encode_health_check, encode_release
from mintmast.signalling.viewerconnection import MESSAGES_PER_STEP
from mintmast.signalling.viewers import INPUT_STEPS_PER_TURN

MESSAGES_PER_TURN = 2 * MESSAGES_PER_STEP * INPUT_STEPS_PER_TURN
FLOODS = {
    "health checks": lambda number: encode_health_check(bytes(8)),
    "releases": lambda number: encode_release(call_id_of(number), Cause.NORMAL_CLEARING),
    "set-ups": lambda number: set_up(call_id_of(number)),
}


def flood(bench, kind, connections, count=600):
    """Open connections that have each written `count` messages, and let the gateway accept them."""
    opened = [bench.viewer() for _ in range(connections)]
    for index, viewer in enumerate(opened):
        numbers = range(1 + index * count, 1 + (index + 1) * count)
        viewer.setblocking(False)
        viewer.send(b"".join(map(FLOODS[kind], numbers)))
    return opened


@pytest.mark.parametrize("kind", FLOODS)
def test_a_turn_of_the_loop_processes_few_messages_however_many_have_arrived(kind, monkeypatch):
    # hundreds of connections at full speed made a turn take ten seconds, in which nobody else was answered
    bench, processed = Bench(sockets=512), []
    monkeypatch.setattr(
        "mintmast.signalling.viewerconnection.ViewerConnection._handle_message",
        lambda connection, message: processed.append(connection),
    )
    viewers = flood(bench, kind, connections=60)
    for _ in range(20):
        before = len(processed)
        bench.turn()
        assert len(processed) - before <= MESSAGES_PER_TURN
    assert len(set(processed)) > 50 and viewers


@pytest.mark.parametrize("kind", FLOODS)
def test_a_set_up_waits_a_few_turns_behind_connections_that_send_without_pause(kind):
    # a viewer that sends little must not wait until all that others have sent is processed
    bench = Bench(sockets=512)
    bench.turn()
    viewers = flood(bench, kind, connections=60)
    bench.turn(3)
    good = bench.viewer()
    good.sendall(set_up(b"goodgood", "paid"))
    turns = 0
    while b"goodgood" not in bench.node.calls.by_id:
        bench.turn()
        turns += 1
        assert turns < 12
    assert viewers and not bench.faults


def test_what_viewers_send_and_do_not_read_is_buffered_within_the_memory_limit():
    # 500 connections that do not read their answers took a process past its limit of 32 MB
    bench = Bench(sockets=512)
    bench.node.viewers.max_buffered_bytes = 300_000
    bench.turn()
    viewers = []
    for _ in range(100):
        viewer = socket.socket()
        viewer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        viewer.connect(bench.address)
        viewer.setblocking(False)
        viewers.append(viewer)
    data = encode_health_check(bytes(8)) * 2000
    most = 0
    for _ in range(300):
        for viewer in viewers:
            try:
                viewer.send(data)
            except OSError:
                pass
        bench.turn()
        connections = bench.node.viewers.connections.values()
        buffered = sum(each.buffered for each in connections)
        assert buffered == bench.node.viewers.buffered_bytes
        most = max(most, buffered)
    assert 0 < most <= 300_000 + (1 << 15)
    for viewer in viewers:
        viewer.close()
    bench.run_until(lambda: not bench.node.viewers.connections)
    assert not bench.node.viewers.buffered_bytes


def test_a_viewer_that_does_not_take_its_answers_is_closed():
    # it would else hold one of the connections for viewers for ever, as what it sends is no longer read
    platform = Platform("a")
    end = platform.viewer()
    end.stream.pause()
    end.stream.write(encode_health_check(bytes(8)) * 2000)
    platform.run(1)
    (connection,) = platform.node.viewers.connections.values()
    assert connection.is_blocked and connection.buffered < 40_000
    platform.run(3)
    assert not platform.node.viewers.connections and not platform.node.viewers.buffered_bytes


def test_a_viewer_that_sends_little_gets_memory_before_those_that_fill_it():
    # set-ups that were queued and not submitted took all memory, and everybody else was refused
    platform = Platform("a")
    viewers = platform.node.viewers
    viewers.max_bytes = 60_000
    floods = [platform.viewer() for _ in range(4)]
    submit, viewers.submissions.add = viewers.submissions.add, lambda step: None  # as if more were unread
    calls = {flooder: [platform.send_set_up(flooder, ms=2900) for _ in range(5)] for flooder in floods}
    platform.run(0.1)
    assert viewers.bytes_held > viewers.max_bytes * 0.9
    viewers.submissions.add = submit
    good = platform.viewer()
    call = platform.send_set_up(good, ms=400)
    platform.run(0.6)
    assert one_answer(good, call).kind == MessageKind.ANSWER
    assert viewers.bytes_held <= viewers.max_bytes and calls


def test_no_set_up_is_submitted_while_its_viewer_has_more_unread():
    # the viewer's cancel or its close may be among the unread bytes
    bench = Bench()
    bench.turn()
    viewer = bench.viewer()
    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    viewer.sendall(b"".join(set_up(call_id_of(number), "paid") for number in range(1, 601)))
    viewer.close()
    bench.run_until(lambda: bench.node.viewers.connections)
    bench.run_until(lambda: not bench.node.viewers.connections)
    assert bench.node.calls._last_number == 0 and not bench.node.viewers.bytes_held


def test_releases_that_were_read_and_not_processed_count_after_the_close():
    # a session belongs to no connection: one that is released right before a close must not play on
    platform = Platform("a")
    end = platform.viewer()
    call = platform.send_set_up(end)
    platform.run(0.1)
    other = platform.viewer()
    other.stream.write(encode_health_check(bytes(8)) * 500 + encode_release(call, Cause.NORMAL_CLEARING))
    other.stream.close()
    platform.run(0.2)
    assert call in platform.hosts["a"].releases and call not in platform.node.calls.by_id
    assert len(platform.node.viewers.connections) == 1


def test_set_ups_of_a_viewer_that_never_pauses_are_refused_in_half_of_their_time():
    # they wait until all that the viewer has sent is read, and each is owed one answer in time
    platform = Platform("a")
    end = platform.viewer()
    (connection,) = platform.node.viewers.connections.values()
    call = platform.send_set_up(end, "paid", ms=2000)
    connection.stream.has_unread = lambda: True
    connection._input._may_have_unread = True
    connection.viewers.submissions.remove(connection._submit_next)
    connection._input.append = lambda data, append=connection._input.append: (
        append(data),
        setattr(connection._input, "_may_have_unread", True),
    )
    platform.run(1.5)
    assert one_answer(end, call).cause == Cause.SWITCHING_EQUIPMENT_CONGESTION
    assert not platform.hosts["a"].set_ups


def test_small_writes_that_wait_for_the_network_are_joined():
    # an object for each takes several times the memory of its bytes
    bench = Bench()
    ours, theirs = socket.socketpair()
    limits = StreamLimits(max_unsent=1 << 20)
    stream = bench.loop.adopt(ours, type("Quiet", (), {"opened": print, "closed": print})(), limits)
    expected = b""
    while stream._unsent < 50_000:
        data = len(expected).to_bytes(16)
        expected += data
        stream.write(data)
    assert len(stream._output) < 50
    theirs.setblocking(False)
    found = b""
    while len(found) < len(expected):
        bench.turn()
        try:
            found += theirs.recv(1 << 16)
        except BlockingIOError:
            pass
    assert found == expected


class Turns:
    """A loop of which only the turns are wanted."""

    def __init__(self):
        self.timers = []

    def now(self):
        return 0

    def call_soon(self, callback):
        self.timers.append(callback)
        return self

    def call_at(self, when, callback):
        return self.call_soon(callback)

    def cancel(self):
        self.timers.pop()

    def turn(self):
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


class Work:
    """A member with some units of work."""

    def __init__(self, log, name, units):
        self.log, self.name, self.units = log, name, units

    def step(self):
        self.log.append(self.name)
        self.units -= 1
        return self.units > 0


def test_members_take_turns_and_new_work_goes_first():
    loop, log = Turns(), []
    round_robin = RoundRobin(loop, steps_per_turn=3)
    for name, units in (("a", 100), ("b", 100), ("c", 100), ("d", 100)):
        round_robin.add(Work(log, name, units).step)
    loop.turn()
    assert log == ["a", "b", "c"]
    round_robin.run_or_add(Work(log, "new", 2).step)
    loop.turn()
    assert log[3:] == ["d", "new", "a"]
    loop.turn()
    assert log[6:] == ["b", "c", "d"]


def test_a_member_that_raises_or_is_removed_does_not_stop_the_others():
    loop, log = Turns(), []
    round_robin = RoundRobin(loop, steps_per_turn=3)
    broken, removed = Work(log, "broken", 2), Work(log, "removed", 9)
    faults = [ValueError()]

    def fail_once():
        if faults:
            raise faults.pop()
        return False

    round_robin.add(fail_once)
    round_robin.add(removed.step)
    round_robin.add(broken.step)
    round_robin.remove(removed.step)
    with pytest.raises(ValueError):
        loop.turn()
    loop.turn()
    assert log.count("broken") == 2 and "removed" not in log
