"""Crossings on the platform over loopback sockets: peers that stop at a chosen byte or turn of the loop.

The gateway's loop is turned by the test, so what lies in the kernel when it turns is known; nothing sleeps.
"""

import errno
import resource
import socket

import msgspec
import pytest
from platform_world import SETTINGS, host_entry, list_event, set_up

from mintmast.loop import Handler, StreamLimits
from mintmast.loop.real import SelectorLoop
from mintmast.signalling import messages
from mintmast.signalling import node as node_module
from mintmast.signalling.messages import Cause, MessageKind, MessageReader, Param, encode, encode_release
from mintmast.signalling.node import Config, Node
from mintmast.telemetry.lines import make_log_function

DEADLINE = 20_000_000  # µs; a test that sees nothing until then has failed


class Bench:
    """A gateway on a real loop, one host and the change log as sockets that the test plays."""

    def __init__(self, sockets=256):
        self.loop, self.said = SelectorLoop(self.fault), []
        self.faults = []
        self.host = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.log = socket.create_server(("127.0.0.1", 0))
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        listed = host_entry("a", addr=f"127.0.0.1:{self.host.getsockname()[1]}")
        self.config = msgspec.convert(
            {"name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "seed": "1f"}
            | {"limits": {"sockets": sockets}, "changelog": f"127.0.0.1:{self.log.getsockname()[1]}"}
            | {"known": {"seq": 1, "results": [list_event(1, listed, full=True)]}}
            | {"settings": msgspec.Raw(msgspec.json.encode(SETTINGS))},
            Config,
        )
        self.node = Node(self.loop, self.config, lambda event, **fields: self.said.append((event, fields)))
        self.readers = {}

    def fault(self, text):
        self.faults.append(text)

    def viewer(self):
        return socket.create_connection(self.address)

    def turn(self, count=1):
        for _ in range(count):
            self.loop.turn(self.loop.now())

    def until(self, seen):
        """Turn the loop until something is seen, and give it."""
        late = self.loop.now() + DEADLINE
        while not (found := seen()):
            assert self.loop.now() < late, "not seen"
            self.loop.turn(self.loop.now() + 5000)
        assert not self.faults
        return found

    def read(self, sock):
        """Give the messages that lie at a socket; None for its end."""
        reader = self.readers.setdefault(sock, MessageReader())
        sock.setblocking(False)
        try:
            data = sock.recv(1 << 16)
        except BlockingIOError:
            return []
        return reader.feed(data) + ([] if data else [None])

    def answers(self, sock, count):
        """Read until so many messages have come."""
        found = []
        self.until(lambda: found.extend(self.read(sock)) or len(found) >= count)
        return found

    def accepted(self, listener=None):
        """Give the gateway's next connection to the host, or to another listener."""
        listener = listener or self.host
        listener.setblocking(False)

        def come():
            try:
                return listener.accept()[0]
            except BlockingIOError:
                return None

        return self.until(come)

    def set_up_at_host(self, viewer, call):
        """Bring a set-up to the host, and give the connection on which it lies."""
        viewer.sendall(set_up(call, "paid"))
        line = self.accepted()
        assert self.answers(line, 1)[0].kind == MessageKind.HEALTH_CHECK
        line.sendall(messages.encode_health_check_reply(bytes(8), True))
        assert self.answers(line, 1)[0].kind == MessageKind.SET_UP
        return line


def numbered(number):
    return number.to_bytes(8)


@pytest.mark.parametrize("gone", ["closed", "shut", "reset", "taken back"])
def test_of_hundreds_of_set_ups_whose_viewer_is_gone_when_they_are_read_few_are_asked(gone):
    bench = Bench()
    bench.turn()
    viewer = bench.viewer()
    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    calls = [numbered(number) for number in range(1, 301)]
    viewer.sendall(b"".join(map(set_up, calls)))
    if gone == "taken back":
        viewer.sendall(b"".join(encode_release(call, Cause.NORMAL_CLEARING) for call in calls))
    elif gone == "shut":
        viewer.shutdown(socket.SHUT_WR)
    else:
        if gone == "reset":
            viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        viewer.close()
    bench.until(lambda: bench.node.viewers.connections)
    if gone == "taken back":
        assert all(message.kind == MessageKind.RELEASE_COMPLETE for message in bench.answers(viewer, 300))
    else:
        bench.until(lambda: not bench.node.viewers.connections)
    assert bench.node.calls._last_number <= 40
    assert not bench.node.calls.by_id and not bench.node.viewers.bytes_held


def test_a_flood_of_set_ups_on_one_connection_does_not_hold_up_another():
    bench = Bench()
    bench.turn()
    flood, other = bench.viewer(), bench.viewer()
    flood.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    flood.sendall(b"".join(set_up(numbered(number)) for number in range(1, 301)))
    bench.until(lambda: bench.node.calls._last_number)
    other.sendall(set_up(numbered(1000)))
    bench.until(lambda: numbered(1000) in bench.node.calls.by_id)
    assert bench.node.calls._last_number <= 40


def test_a_fault_met_with_one_set_up_does_not_keep_others_waiting(monkeypatch):
    bench = Bench()
    ask, faulty = bench.node.calls.handle_request, [numbered(1)]

    def breaks(now, wish, viewer, since):
        if wish.call_id in faulty:
            raise RuntimeError("for the test")
        return ask(now, wish, viewer, since)

    monkeypatch.setattr(type(bench.node.calls), "handle_request", lambda self, *args: breaks(*args))
    viewer = bench.viewer()
    viewer.sendall(set_up(numbered(1)) + set_up(numbered(2)))
    while len(bench.faults) < 1:
        bench.turn()
    assert "for the test" in bench.faults.pop()
    bench.until(lambda: numbered(2) in bench.node.calls.by_id)


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_host_s_answer_in_the_turn_in_which_its_viewer_is_gone_leaves_nothing_standing(how):
    bench = Bench()
    viewer, call = bench.viewer(), numbered(7)
    line = bench.set_up_at_host(viewer, call)
    line.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    if how == "reset":
        viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    viewer.close()
    bench.until(lambda: not bench.node.calls.by_id)
    assert [m.call_id for m in bench.answers(line, 1) if m and m.kind == MessageKind.RELEASE] == [call]
    module = bench.node.calls.controller
    assert not module.sessions and not module.seats
    assert all(abs(server.link.charged_kb(bench.loop.now())) < 1e-6 for server in module.servers.values())


def test_a_connection_on_which_a_set_up_lies_unread_is_not_closed_to_make_room():
    bench = Bench(sockets=2)  # one connection of viewers
    viewer = bench.viewer()
    viewer.sendall(messages.encode_health_check(bytes(8)))
    bench.answers(viewer, 1)
    bench.turn(3)
    newcomer = bench.viewer()  # heard of first: it came before the set-up
    viewer.sendall(set_up(numbered(7)))
    found = bench.answers(viewer, 1)
    assert found[0] is not None and found[0].kind in (MessageKind.RELEASE, MessageKind.ANSWER)
    newcomer.close()


def test_a_first_message_that_lies_unread_when_its_time_ends_is_read(monkeypatch):
    bench = Bench()
    viewer = bench.viewer()
    bench.until(lambda: bench.node.viewers.connections)
    viewer.sendall(set_up(numbered(7), ms=400))
    monkeypatch.setattr("mintmast.signalling.viewers.MESSAGE_TIMEOUT_US", -1)
    bench.node.viewers._check_connections()
    monkeypatch.undo()
    bench.until(lambda: numbered(7) in bench.node.calls.by_id)


# Descriptors


@pytest.fixture
def no_descriptors():
    """Leave the process no descriptor until called again."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = []

    def take():
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(before[0], 4096), before[1]))
        while True:
            try:
                held.append(socket.socket())
            except OSError as error:
                assert error.errno == errno.EMFILE
                return

    def give():
        while held:
            held.pop().close()

    yield take, give
    give()
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


def test_a_listener_without_descriptors_waits_without_turning_and_then_accepts(no_descriptors):
    take, give = no_descriptors
    bench = Bench()
    bench.turn(3)
    viewer = bench.viewer()
    take()
    begin, turns = bench.loop.now(), bench.loop.turns
    bench.loop.run(begin + 300_000)
    assert bench.loop.turns - turns < 100 and not bench.node.viewers.connections
    give()
    viewer.sendall(messages.encode_health_check(bytes(8)))
    assert bench.answers(viewer, 1)[0].kind == MessageKind.HEALTH_CHECK_REPLY
    assert not bench.faults


def test_the_change_log_is_followed_as_soon_as_there_are_descriptors_again(no_descriptors):
    take, give = no_descriptors
    bench = Bench()
    take()
    bench.loop.run(bench.loop.now() + 200_000)
    assert not bench.faults
    give()
    assert bench.accepted(bench.log)


def test_a_host_that_no_descriptor_is_left_for_is_not_taken_for_dead(monkeypatch):
    bench = Bench()
    viewer, call = bench.viewer(), numbered(7)
    line = bench.set_up_at_host(viewer, call)
    line.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert bench.answers(viewer, 1)[0].kind == MessageKind.ANSWER
    line.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    line.close()
    tries = []

    def none_left(*_):
        tries.append(1)
        raise OSError(errno.EMFILE, "no descriptors")

    with monkeypatch.context() as patch:
        patch.setattr("mintmast.loop.real.socket.socket", none_left)
        bench.until(lambda: len(tries) > 5)
    assert call in bench.node.calls.by_id
    assert bench.accepted()


def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nobody_out_for_good():
    bench = Bench(sockets=64)  # 32 for viewers
    log = bench.log.getsockname()
    bench.log.close()
    idle = [bench.viewer() for _ in range(30)]
    for client in idle:
        client.sendall(messages.encode_health_check(bytes(8)))  # understood, and never heard of again
    bench.until(lambda: sum(each.is_verified for each in bench.node.viewers.connections.values()) == 30)
    idle += [bench.viewer() for _ in range(100)]
    bench.turn(20)
    assert len(bench.node.viewers.connections) <= 32
    viewer, call = bench.viewer(), numbered(7)
    line = bench.set_up_at_host(viewer, call)
    line.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert bench.answers(viewer, 1)[0].kind == MessageKind.ANSWER
    bench.log = socket.create_server(log)
    assert bench.accepted(bench.log)
    for client in idle:
        client.close()


# Shutdown


def test_set_ups_in_the_backlog_when_the_gateway_stops_taking_are_all_answered(monkeypatch):
    monkeypatch.setattr(node_module, "SHUTDOWN_GRACE_US", 0)
    bench = Bench(sockets=2048)
    viewers = [bench.viewer() for _ in range(150)]
    for number, viewer in enumerate(viewers, 1):
        viewer.sendall(set_up(numbered(number), ms=400))
    ended = []
    bench.node.on_stopped = lambda: ended.append(True)
    bench.node.stop()
    bench.until(lambda: ended)
    for viewer in viewers:
        viewer.settimeout(5)
        assert MessageReader().feed(viewer.recv(1 << 16))[0].kind == MessageKind.RELEASE
        assert viewer.recv(1) == b""


def test_what_is_queued_for_a_viewer_is_sent_before_the_gateway_ends(monkeypatch):
    monkeypatch.setattr(node_module, "SHUTDOWN_GRACE_US", 0)
    bench = Bench()
    viewer = socket.socket()
    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    viewer.connect(bench.address)
    bench.until(lambda: bench.node.viewers.connections)
    line = next(iter(bench.node.viewers.connections.values()))
    line.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    line.is_verified = True
    line.write(b"x" * 100_000)
    assert line.has_unsent()
    ended, got = [], []
    bench.node.on_stopped = lambda: ended.append(True)
    bench.node.stop()
    bench.turn(20)
    assert not ended
    viewer.setblocking(False)

    def drain():
        try:
            got.append(len(viewer.recv(1 << 16)))
        except BlockingIOError:
            pass
        return ended

    bench.until(drain)
    viewer.settimeout(5)
    while got[-1]:
        got.append(len(viewer.recv(1 << 16)))
    assert sum(got) == 100_000


def test_a_stream_that_finishes_with_bytes_unread_ends_without_a_reset():
    loop, ends = SelectorLoop(), []

    class Server(Handler):
        def opened(self, stream):
            self.stream = stream
            ends.append(self)
            stream.pause()

        def closed(self, reason):
            ends.remove(self)

    listener = loop.listen("127.0.0.1", 0, Server, limits=StreamLimits(read_size=4))
    client = socket.create_connection(("127.0.0.1", listener.port))
    client.sendall(b"unread bytes")
    while not ends:
        loop.turn(loop.now() + 5000)
    assert ends[0].stream.has_unread()
    ends[0].stream.write(b"answer")
    ends[0].stream.finish()
    for _ in range(10):
        loop.turn(loop.now() + 1000)
    client.settimeout(5)
    assert client.recv(100) == b"answer" and client.recv(100) == b""
    client.close()
    while ends:
        loop.turn(loop.now() + 5000)


# The log


def test_a_log_that_takes_no_lines_does_no_harm():
    class Full:
        full = True

        def write(self, text):
            if self.full:
                raise BlockingIOError(errno.EAGAIN, "full")
            self.text = text

        def flush(self):
            pass

    sink = Full()
    say = make_log_function(sink, lambda: 1.0)
    say("one")
    sink.full = False
    say("two")
    assert '"event":"two"' in sink.text and '"left_out":1' in sink.text
