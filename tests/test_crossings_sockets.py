"""Race conditions of the gateway over loopback sockets, at a chosen byte or turn of the event loop.

The tests run the gateway's loop turn by turn, so that they know what the kernel has buffered at each turn.
Nothing sleeps.
"""

import errno
import io
import json
import resource
import socket

import msgspec
import pytest
from platform_world import SETTINGS, host_entry, list_event, set_up

from mintmast.decisions.calls import shutdown
from mintmast.loop import Handler, StreamLimits
from mintmast.loop.real import SelectorLoop
from mintmast.signalling import messages
from mintmast.signalling.messages import Cause, MessageKind, MessageReader, Param, encode, encode_release
from mintmast.signalling.node import Config, Node
from mintmast.telemetry.lines import make_log_function

DEADLINE = 20_000_000  # µs until an awaited condition fails the test


class Bench:
    """A gateway on a real event loop; the test acts as its host and change log through sockets."""

    def __init__(self, sockets=256):
        self.loop, self.log_lines = SelectorLoop(self.record_fault), []
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
        self.node = Node(
            self.loop, self.config, lambda event, **fields: self.log_lines.append((event, fields))
        )
        self.readers = {}

    def record_fault(self, text):
        self.faults.append(text)

    def viewer(self):
        return socket.create_connection(self.address)

    def turn(self, count=1):
        for _ in range(count):
            self.loop.turn(self.loop.now())

    def run_until(self, condition):
        """Run the loop until `condition` returns a true value, and return that."""
        deadline = self.loop.now() + DEADLINE
        while not (found := condition()):
            assert self.loop.now() < deadline, "condition not met in time"
            self.loop.turn(self.loop.now() + 5000)
        assert not self.faults
        return found

    def receive(self, sock):
        """Return the messages that a socket has received, with None for its end of stream."""
        reader = self.readers.setdefault(sock, MessageReader())
        sock.setblocking(False)
        try:
            data = sock.recv(1 << 16)
        except BlockingIOError:
            return []
        return reader.feed(data) + ([] if data else [None])

    def read_messages(self, sock, count):
        """Read until `count` messages have arrived."""
        found = []
        self.run_until(lambda: found.extend(self.receive(sock)) or len(found) >= count)
        return found

    def accept_connection(self, listener=None):
        """Return the gateway's next connection to the host, or to another listener."""
        listener = listener or self.host
        listener.setblocking(False)

        def try_accept():
            try:
                return listener.accept()[0]
            except BlockingIOError:
                return None

        return self.run_until(try_accept)

    def set_up_at_host(self, viewer, call):
        """Send a set-up until the host has received it, and return the host's connection."""
        viewer.sendall(set_up(call, "paid"))
        connection = self.accept_connection()
        assert self.read_messages(connection, 1)[0].kind == MessageKind.HEALTH_CHECK
        connection.sendall(messages.encode_health_check_reply(bytes(8), True))
        assert self.read_messages(connection, 1)[0].kind == MessageKind.SET_UP
        return connection


def call_id_of(number):
    return number.to_bytes(8)


@pytest.mark.parametrize("how", ["closed", "shut", "reset", "cancelled"])
def test_few_of_hundreds_of_set_ups_are_submitted_if_their_viewer_has_left(how):
    bench = Bench()
    bench.turn()
    viewer = bench.viewer()
    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    calls = [call_id_of(number) for number in range(1, 301)]
    viewer.sendall(b"".join(map(set_up, calls)))
    if how == "cancelled":
        viewer.sendall(b"".join(encode_release(call, Cause.NORMAL_CLEARING) for call in calls))
    elif how == "shut":
        viewer.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        viewer.close()
    bench.run_until(lambda: bench.node.viewers.connections)
    if how == "cancelled":
        assert all(
            message.kind == MessageKind.RELEASE_COMPLETE for message in bench.read_messages(viewer, 300)
        )
    else:
        bench.run_until(lambda: not bench.node.viewers.connections)
    assert bench.node.calls._last_number <= 40
    assert not bench.node.calls.by_id and not bench.node.viewers.bytes_held


def test_a_flood_of_set_ups_on_one_connection_does_not_delay_another():
    bench = Bench()
    bench.turn()
    flood, other = bench.viewer(), bench.viewer()
    flood.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    flood.sendall(b"".join(set_up(call_id_of(number)) for number in range(1, 301)))
    bench.run_until(lambda: bench.node.calls._last_number)
    other.sendall(set_up(call_id_of(1000)))
    bench.run_until(lambda: call_id_of(1000) in bench.node.calls.by_id)
    assert bench.node.calls._last_number <= 40


def test_an_exception_for_one_set_up_does_not_stop_the_others(monkeypatch):
    bench = Bench()
    handle_request, faulty = bench.node.calls.handle_request, [call_id_of(1)]

    def raise_for_faulty(now, request, viewer, received_at):
        if request.call_id in faulty:
            raise RuntimeError("for the test")
        return handle_request(now, request, viewer, received_at)

    monkeypatch.setattr(type(bench.node.calls), "handle_request", lambda self, *args: raise_for_faulty(*args))
    viewer = bench.viewer()
    viewer.sendall(set_up(call_id_of(1)) + set_up(call_id_of(2)))
    while len(bench.faults) < 1:
        bench.turn()
    assert "for the test" in bench.faults.pop()
    bench.run_until(lambda: call_id_of(2) in bench.node.calls.by_id)


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_host_answer_in_the_turn_of_its_viewers_disconnect_leaves_no_session(how):
    bench = Bench()
    viewer, call = bench.viewer(), call_id_of(7)
    connection = bench.set_up_at_host(viewer, call)
    connection.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    if how == "reset":
        viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    viewer.close()
    bench.run_until(lambda: not bench.node.calls.by_id)
    assert [m.call_id for m in bench.read_messages(connection, 1) if m and m.kind == MessageKind.RELEASE] == [
        call
    ]
    module = bench.node.calls.controller
    assert not module.sessions and not module.seats
    assert all(abs(server.link.charged_kb(bench.loop.now())) < 1e-6 for server in module.servers.values())


def test_a_connection_with_an_unread_set_up_is_not_closed_for_a_new_one():
    bench = Bench(sockets=2)  # one connection of viewers
    viewer = bench.viewer()
    viewer.sendall(messages.encode_health_check(bytes(8)))
    bench.read_messages(viewer, 1)
    bench.turn(3)
    newcomer = bench.viewer()  # accepted before the set-up is read
    viewer.sendall(set_up(call_id_of(7)))
    found = bench.read_messages(viewer, 1)
    assert found[0] is not None and found[0].kind in (MessageKind.RELEASE, MessageKind.ANSWER)
    newcomer.close()


def test_a_first_message_that_is_unread_at_its_time_limit_is_processed(monkeypatch):
    bench = Bench()
    viewer = bench.viewer()
    bench.run_until(lambda: bench.node.viewers.connections)
    viewer.sendall(set_up(call_id_of(7), ms=400))
    monkeypatch.setattr("mintmast.signalling.viewers.MESSAGE_TIMEOUT_US", -1)
    bench.node.viewers._check_connections()
    monkeypatch.undo()
    bench.run_until(lambda: call_id_of(7) in bench.node.calls.by_id)


# File descriptors


@pytest.fixture
def no_descriptors():
    """Return a function that uses up all file descriptors and one that frees them again."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = []

    def use_up():
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(before[0], 4096), before[1]))
        while True:
            try:
                held.append(socket.socket())
            except OSError as error:
                assert error.errno == errno.EMFILE
                return

    def free():
        while held:
            held.pop().close()

    yield use_up, free
    free()
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


def test_a_listener_without_descriptors_does_not_spin_and_accepts_later(no_descriptors):
    use_up, free = no_descriptors
    bench = Bench()
    bench.turn(3)
    viewer = bench.viewer()
    use_up()
    begin, turns = bench.loop.now(), bench.loop.turns
    bench.loop.run(begin + 300_000)
    assert bench.loop.turns - turns < 100 and not bench.node.viewers.connections
    free()
    viewer.sendall(messages.encode_health_check(bytes(8)))
    assert bench.read_messages(viewer, 1)[0].kind == MessageKind.HEALTH_CHECK_REPLY
    assert not bench.faults


def test_the_change_log_is_followed_once_descriptors_are_free_again(no_descriptors):
    use_up, free = no_descriptors
    bench = Bench()
    use_up()
    bench.loop.run(bench.loop.now() + 200_000)
    assert not bench.faults
    free()
    assert bench.accept_connection(bench.log)


def test_a_lack_of_descriptors_does_not_mark_a_host_dead(monkeypatch):
    bench = Bench()
    viewer, call = bench.viewer(), call_id_of(7)
    connection = bench.set_up_at_host(viewer, call)
    connection.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert bench.read_messages(viewer, 1)[0].kind == MessageKind.ANSWER
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    connection.close()
    tries = []

    def none_left(*_):
        tries.append(1)
        raise OSError(errno.EMFILE, "no descriptors")

    with monkeypatch.context() as patch:
        patch.setattr("mintmast.loop.real.socket.socket", none_left)
        bench.run_until(lambda: len(tries) > 5)
    assert call in bench.node.calls.by_id
    assert bench.accept_connection()


def test_idle_clients_that_use_all_descriptors_lock_out_neither_viewers_nor_discovery():
    bench = Bench(sockets=64)  # 32 for viewers
    log = bench.log.getsockname()
    bench.log.close()
    idle = [bench.viewer() for _ in range(30)]
    for client in idle:
        client.sendall(messages.encode_health_check(bytes(8)))  # a valid message, and nothing after it
    bench.run_until(lambda: sum(each.is_verified for each in bench.node.viewers.connections.values()) == 30)
    idle += [bench.viewer() for _ in range(100)]
    bench.turn(20)
    assert len(bench.node.viewers.connections) <= 32
    viewer, call = bench.viewer(), call_id_of(7)
    connection = bench.set_up_at_host(viewer, call)
    connection.sendall(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert bench.read_messages(viewer, 1)[0].kind == MessageKind.ANSWER
    bench.log = socket.create_server(log)
    assert bench.accept_connection(bench.log)
    for client in idle:
        client.close()


# Shutdown


def test_set_ups_in_the_backlog_at_shutdown_are_all_answered(monkeypatch):
    monkeypatch.setattr(shutdown, "LISTEN_TIME_US", 0)
    bench = Bench(sockets=2048)
    viewers = [bench.viewer() for _ in range(150)]
    for number, viewer in enumerate(viewers, 1):
        viewer.sendall(set_up(call_id_of(number), ms=400))
    ended = []
    bench.node.on_stopped = lambda: ended.append(True)
    bench.node.stop()
    bench.run_until(lambda: ended)
    for viewer in viewers:
        viewer.settimeout(5)
        assert MessageReader().feed(viewer.recv(1 << 16))[0].kind == MessageKind.RELEASE
        assert viewer.recv(1) == b""


def test_data_queued_for_a_viewer_is_sent_before_the_gateway_exits(monkeypatch):
    monkeypatch.setattr(shutdown, "LISTEN_TIME_US", 0)
    bench = Bench()
    viewer = socket.socket()
    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    viewer.connect(bench.address)
    bench.run_until(lambda: bench.node.viewers.connections)
    connection = next(iter(bench.node.viewers.connections.values()))
    connection.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    connection.is_verified = True
    connection.write(b"x" * 100_000)
    assert connection.has_unsent()
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

    bench.run_until(drain)
    viewer.settimeout(5)
    while got[-1]:
        got.append(len(viewer.recv(1 << 16)))
    assert sum(got) == 100_000


def test_a_lingering_close_with_unread_bytes_causes_no_reset():
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


# Log output


def test_a_blocked_log_sink_loses_lines_and_counts_them():
    class Full:
        full = True

        def write(self, text):
            if self.full:
                raise BlockingIOError(errno.EAGAIN, "full")
            self.text = text

        def flush(self):
            pass

    sink = Full()
    log = make_log_function(sink, lambda: 1.0)
    log("one")
    sink.full = False
    log("two")
    assert '"event":"two"' in sink.text and '"left_out":1' in sink.text


def test_the_steps_of_a_shutdown_are_logged_above_the_limit_of_lines():
    sink = io.StringIO()
    log = make_log_function(sink, lambda: 1.0, 1, always={"stopping"})
    for event in ("attempt", "attempt", "stopping"):
        log(event)
    assert [json.loads(line)["event"] for line in sink.getvalue().splitlines()] == ["attempt", "stopping"]
