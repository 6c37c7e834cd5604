"""Loop, HTTP server and client on real sockets and in memory, with faulty peers."""

import gc
import os
import socket

import pytest

from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import PIECE_BYTES, PIECES_PER_TURN, STREAM_LIMITS, HttpServer, ServerLimits
from mintmast.loop import CloseReason, Handler, StreamLimits
from mintmast.loop.memory import World
from mintmast.loop.real import SelectorLoop

SECOND = 1_000_000


class Network:
    """A server and a client loop on the real network or in memory, with a common way to advance time."""

    def __init__(self, kind):
        if kind == "real":
            self.server = self.client = SelectorLoop(lambda text: pytest.fail(text))
            self.host = "127.0.0.1"
        else:
            self.world = World(1)
            self.server, self.client, self.host = self.world.node("s"), self.world.node("c"), "s"

    def run_until(self, done, timeout_s=5):
        """Run until `done()` is true; fail after `timeout_s` seconds of the loop's clock."""
        end = self.client.now() + timeout_s * SECOND
        while not done():
            assert self.client.now() < end, "condition was not met in time"
            if hasattr(self, "world"):
                self.world.run(self.world.time + 1000)
            else:
                self.client.run(self.client.now() + 1000)


@pytest.fixture(params=["real", "memory"])
def net(request):
    return Network(request.param)


class RawClient(Handler):
    """A client that writes raw bytes and keeps all bytes received."""

    def __init__(self, loop, host, port):
        self.data, self.reason, self.stream = b"", None, None
        loop.connect(host, port, self)

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        self.data += data

    def closed(self, reason):
        self.reason = reason


def test_pipelined_requests_are_answered_in_their_order(net):
    exchanges = []
    server = HttpServer(net.server, net.host, 0, exchanges.append)
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    raw.stream.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % n for n in range(3)))
    net.run_until(lambda: len(exchanges) == 3)
    for place in (2, 0, 1):
        exchanges[place].respond(200, [], b"answer %d;" % place)
    net.run_until(lambda: raw.data.count(b"answer") == 3)
    assert [raw.data.index(b"answer %d" % n) for n in range(3)] == sorted(
        raw.data.index(b"answer %d" % n) for n in range(3)
    )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", b"400"),
        (b"GET / HTTP/1.0\r\nHost: x\r\nhost: y\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", b"413"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"A: b\r\n" * 200 + b"\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 40_000, b"431"),
        (b"GET / HTTP/1.1\r\nHost: x", b"408"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + b"fff\r\n" + b"x" * 4095,
            b"413",
        ),
    ],
)
def test_malformed_large_and_slow_requests_get_an_error_status_and_a_close(net, data, status):
    limits = ServerLimits(header_time=SECOND // 5, body_bytes=1000)
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200), limits)
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    raw.stream.write(data)
    net.run_until(lambda: raw.reason)
    assert raw.data.startswith(b"HTTP/1.1 " + status)


def test_a_request_split_at_any_byte_is_parsed(net):
    seen = []
    server = HttpServer(net.server, net.host, 0, lambda each: (seen.append(each.body), each.respond(200)))
    request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    for byte in request:
        raw.stream.write(bytes([byte]))
        net.run_until(lambda: True)
    net.run_until(lambda: raw.data)
    assert seen == [b"hello"]


def test_connections_over_the_limit_are_closed_and_others_continue(net):
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200), ServerLimits(connections=2))
    raws = [RawClient(net.client, net.host, server.port) for _ in range(3)]
    net.run_until(lambda: sum(raw.reason is not None for raw in raws) == 1)
    alive = next(raw for raw in raws if raw.reason is None)
    alive.stream.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    net.run_until(lambda: alive.data)


def test_each_failure_of_a_call_reports_how_far_it_got(net):
    exchanges = []
    server = HttpServer(net.server, net.host, 0, exchanges.append)
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND // 5))
    results = {}

    def call(name, port=server.port, wait=SECOND):
        deadline = net.client.now() + wait
        return client.call(
            (net.host, port), "PUT", f"/{name}", lambda r: results.setdefault(name, r), [], b"x", deadline
        )

    port = HttpServer(net.server, net.host, 0, exchanges.append)
    port.close()
    call("refused", port.port)
    call("abort")
    call("silent", wait=SECOND // 4)
    off = call("off")
    net.run_until(lambda: len(exchanges) == 3 and "refused" in results)
    next(each for each in exchanges if each.path == "/abort").abort()
    off.cancel()
    call("unsent").cancel()
    net.run_until(lambda: len(results) == 5)
    assert results == {
        "refused": CallFailure.REFUSED,
        "abort": CallFailure.CUT,
        "silent": CallFailure.SILENT,
        "off": CallFailure.CALLED_OFF,
        "unsent": CallFailure.CALLED_OFF_UNSENT,
    }


@pytest.mark.parametrize(
    ("reply", "fault"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", CallFailure.CUT_REPLY),
        (b"HTTP/1.1 2", CallFailure.CUT_REPLY),
        (b"", CallFailure.CUT),
        (b"SSH-2.0-nothing\r\n", CallFailure.MALFORMED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + b"x" * 200_000, CallFailure.MALFORMED),
    ],
)
def test_a_truncated_or_oversized_reply_is_a_failure(net, reply, fault):
    class FaultyServer(Handler):
        def opened(self, stream):
            self.stream = stream

        def received(self, data):
            self.stream.write(reply)
            self.stream.close()

    listener = net.server.listen(net.host, 0, FaultyServer)
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND, body_bytes=100_000))
    results = []
    client.call((net.host, listener.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
    net.run_until(lambda: results)
    assert results == [fault]


def test_connections_are_reused_and_idle_ones_are_limited(net):
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200, [], b"x"))
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND, idle_per_address=2))
    results = []
    for count in (1, 2, 3):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
        net.run_until(lambda count=count: len(results) == count)
    assert len(server.connections) == 1
    for _ in range(5):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
    net.run_until(lambda: len(results) == 8 and len(server.connections) == 2)


def test_an_idle_connection_that_the_peer_closed_is_not_reused(net):
    server = HttpServer(
        net.server, net.host, 0, lambda each: each.respond(200), ServerLimits(idle_time=SECOND // 10)
    )
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND))
    results = []
    for count in (1, 2):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
        net.run_until(lambda count=count: len(results) == count)
        end = net.client.now() + SECOND // 4
        net.run_until(lambda end=end: net.client.now() >= end)
    assert all(isinstance(each, Reply) for each in results)


def test_a_peer_that_does_not_read_is_disconnected_at_the_limit(net):
    class Sender(Handler):
        reason = None

        def opened(self, stream):
            stream._limits = stream.limits = StreamLimits(max_unsent=1 << 18)
            self.stream = stream
            Sender.on = self

        def closed(self, reason):
            Sender.reason = reason

    listener = net.server.listen(net.host, 0, Sender)
    raw = RawClient(net.client, net.host, listener.port)
    net.run_until(lambda: raw.stream and getattr(Sender, "on", None))
    raw.stream.pause()
    for _ in range(400):
        Sender.on.stream.write(bytes(1 << 15))
        if Sender.reason:
            break
        net.run_until(lambda: True)
    net.run_until(lambda: Sender.reason)
    assert Sender.reason is CloseReason.OVERFLOW


def test_an_exception_in_a_callback_aborts_its_stream_only():
    texts = []
    loop = SelectorLoop(texts.append)

    def handle(exchange):
        if exchange.path == "/bad":
            raise RuntimeError("a fault of ours")
        exchange.respond(200)

    server = HttpServer(loop, "127.0.0.1", 0, handle)
    client = HttpClient(loop, ClientLimits(connect_time=SECOND))
    results = []
    for path in ("/bad", "/good"):
        client.call(("127.0.0.1", server.port), "GET", path, results.append, deadline=loop.now() + 5 * SECOND)
    while len(results) < 2:
        loop.turn()
    assert CallFailure.CUT in results and any(isinstance(each, Reply) for each in results)
    assert "a fault of ours" in texts[0]


def test_runs_in_memory_are_reproducible_from_the_seed():
    def run(seed):
        world, lines = World(seed), []
        server = HttpServer(world.node("s"), "s", 80, lambda each: each.respond(200, [], each.body))
        client = HttpClient(world.node("c"), ClientLimits(connect_time=SECOND))
        for n in range(20):
            done = lambda reply, n=n: lines.append((world.time, n, reply))  # noqa: E731
            client.call(("s", server.port), "POST", "/", done, [], b"%d" % n, world.time + SECOND)
        world.run(SECOND * 3)
        return repr(lines)

    assert run(3) == run(3) != run(4)


def test_a_cut_path_blocks_connections_and_a_killed_node_resets_them():
    world = World(1)
    server_node, client_node = world.node("s"), world.node("c")
    server = HttpServer(server_node, "s", 80, lambda each: each.respond(200))
    client = HttpClient(client_node, ClientLimits(connect_time=SECOND))
    results = []
    world.cut_paths.add(("s", "c"))
    client.call(("s", server.port), "GET", "/", results.append, deadline=world.time + 2 * SECOND)
    world.run(world.time + 3 * SECOND)
    assert results == [CallFailure.NOT_CONNECTED]
    world.cut_paths.clear()
    client.call(("s", server.port), "GET", "/", results.append, deadline=world.time + 2 * SECOND)
    world.run(world.time + SECOND)
    raw = RawClient(client_node, "s", 80)
    world.run(world.time + SECOND)
    server_node.kill()
    world.run(world.time + SECOND)
    assert isinstance(results[1], Reply) and raw.reason is CloseReason.RESET


def test_a_connection_to_a_closed_port_is_refused():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop = SelectorLoop()
    raw = RawClient(loop, "127.0.0.1", port)
    while raw.reason is None:
        loop.turn(loop.now() + SECOND)
    assert raw.reason is CloseReason.REFUSED


def test_a_call_that_is_given_up_before_it_connects_frees_its_descriptor():
    """Guards against each call to a peer out of reach holding a descriptor until the system gives up.

    The listener's queue is full, so that further connections do not come up.
    """
    loop, results = SelectorLoop(lambda text: pytest.fail(text)), []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        queued = [socket.socket() for _ in range(3)]
        for sock in queued:
            sock.setblocking(False)
            sock.connect_ex(address)
        client = HttpClient(loop, ClientLimits(connect_time=SECOND // 20))
        gc.collect()  # closes the sockets that earlier tests left behind
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(10):
            client.call(address, "GET", "/", results.append)
            client.call(address, "GET", "/", results.append).cancel()
        loop.run(loop.now() + SECOND // 4)
        after = len(os.listdir("/proc/self/fd"))
        for sock in queued:
            sock.close()
    assert results.count(CallFailure.NOT_CONNECTED) == results.count(CallFailure.CALLED_OFF_UNSENT) == 10
    assert after == before


def test_a_draining_server_answers_what_was_read_before_it_ends(net):
    exchanges, drained = [], []
    server = HttpServer(net.server, net.host, 0, exchanges.append)
    busy, idle, partial = (RawClient(net.client, net.host, server.port) for _ in range(3))
    net.run_until(lambda: busy.stream and idle.stream and partial.stream)
    busy.stream.write(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
    partial.stream.write(b"GET /3 HTTP/1.1\r\nHo")
    net.run_until(lambda: len(exchanges) == 2)
    server.drain(net.server.now() + 4 * SECOND, lambda: drained.append(True))
    net.run_until(lambda: idle.reason)
    partial.stream.write(b"st: x\r\n\r\n")
    net.run_until(lambda: len(exchanges) == 3)
    for exchange in exchanges:
        assert not drained
        exchange.respond(200, [], b"answer %b;" % exchange.path.encode())
    net.run_until(lambda: drained and busy.reason and partial.reason)
    assert [busy.data.count(b"answer /1;"), busy.data.count(b"answer /2;")] == [1, 1]
    assert b"answer /3;" in partial.data and idle.reason is busy.reason is CloseReason.EOF


def test_a_drain_ends_at_its_deadline_under_requests_that_go_on(net):
    exchanges, drained = [], []
    server = HttpServer(net.server, net.host, 0, exchanges.append)
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    raw.stream.write(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
    net.run_until(lambda: exchanges)
    deadline = net.server.now() + SECOND
    server.drain(deadline, lambda: drained.append(net.server.now()))
    net.run_until(lambda: raw.stream.write(b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n") and drained, 2)
    assert deadline <= drained[0] < deadline + SECOND // 2


# Peers that send without pause


def connect_floods(loop, server, count, data):
    """Return sockets to the server that have each written as much of `data` as the network takes."""
    floods = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", server.port))
        sock.setblocking(False)
        sock.send(data)
        floods.append(sock)
    return floods


def test_a_turn_of_the_loop_handles_few_requests_however_many_have_arrived():
    # twenty connections at full speed kept others waiting for 5 s, as each turn handled all that had come
    loop, handled, answered = SelectorLoop(lambda text: pytest.fail(text)), [], []

    def handle(exchange):
        (answered if exchange.path == "/good" else handled).append(exchange)
        exchange.respond(200)

    server = HttpServer(loop, "127.0.0.1", 0, handle)
    floods = connect_floods(loop, server, 30, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 400)
    loop.turn(loop.now())
    shortest = len(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    for _ in range(10):
        before = len(handled)
        loop.turn(loop.now())
        assert len(handled) - before <= 2 * PIECES_PER_TURN * (PIECE_BYTES // shortest + 1)
    good = socket.create_connection(("127.0.0.1", server.port))
    good.sendall(b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n")
    for _ in range(8):
        loop.turn(loop.now())
    assert answered and floods
    server.close()


def test_a_peer_that_does_not_take_its_responses_is_not_read():
    # what it sent and what it was answered took memory without a bound other than that of each connection
    loop, handled = SelectorLoop(lambda text: pytest.fail(text)), []
    server = HttpServer(loop, "127.0.0.1", 0, lambda e: handled.append(e) or e.respond(200, [], bytes(5000)))
    data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 400
    (flood,) = connect_floods(loop, server, 1, data)
    for _ in range(2000):
        loop.turn(loop.now())
        try:
            flood.send(data)
        except BlockingIOError:
            pass
    (connection,) = server.connections
    assert len(connection._pending) <= STREAM_LIMITS.read_size and connection._is_blocked
    assert connection._stream._unsent < STREAM_LIMITS.drained_below + 200_000
    server.close()


def test_a_trailer_without_end_is_rejected(net):
    # the parser keeps a field until it is whole; a process grew by 170 MB in five seconds
    server = HttpServer(net.server, net.host, 0, lambda exchange: exchange.respond(200))
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    raw.stream.write(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: ")
    for _ in range(5):
        raw.stream.write(b"y" * 8192)
    net.run_until(lambda: raw.reason)
    assert raw.data.startswith(b"HTTP/1.1 431")


def test_requests_leave_no_timers_behind():
    # a cancelled timer stays until its time; at full speed 60 MB of them stood after some seconds
    loop, handled = SelectorLoop(lambda text: pytest.fail(text)), []
    server = HttpServer(loop, "127.0.0.1", 0, lambda e: handled.append(e) or e.respond(200))
    quiet = socket.create_connection(("127.0.0.1", server.port))  # its timer is due before the others
    loop.turn(loop.now())
    client = socket.create_connection(("127.0.0.1", server.port))
    for number in range(1, 501):
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while len(handled) < number:
            loop.turn(loop.now())
        client.recv(1000)
    assert len(loop._timers._heap) < 10 and quiet
    server.close()


def test_a_later_request_has_as_long_to_be_complete_as_the_first(net):
    # it had the time that a connection may idle
    limits = ServerLimits(header_time=SECOND // 2, idle_time=30 * SECOND)
    server = HttpServer(net.server, net.host, 0, lambda exchange: exchange.respond(200), limits)
    raw = RawClient(net.client, net.host, server.port)
    net.run_until(lambda: raw.stream)
    raw.stream.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    net.run_until(lambda: raw.data)
    raw.stream.write(b"GET / HTTP/1.1\r\n")
    net.run_until(lambda: raw.reason, timeout_s=2)
    assert b"HTTP/1.1 408" in raw.data
