"""Loop, server and client: on real sockets and in memory, with the peers that break the rules."""

import socket

import pytest

from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import HttpServer, ServerLimits
from mintmast.loop import CloseReason, Handler, StreamLimits
from mintmast.loop.memory import World
from mintmast.loop.real import SelectorLoop

SECOND = 1_000_000


class Net:
    """Two ends on either network, with one way to let time pass."""

    def __init__(self, kind):
        if kind == "real":
            self.server = self.client = SelectorLoop(lambda text: pytest.fail(text))
            self.host = "127.0.0.1"
        else:
            self.world = World(1)
            self.server, self.client, self.host = self.world.node("s"), self.world.node("c"), "s"

    def until(self, done, most=5):
        """Run until `done()`; fail after `most` seconds of the loop's clock."""
        end = self.client.now() + most * SECOND
        while not done():
            assert self.client.now() < end, "it never came"
            if hasattr(self, "world"):
                self.world.run(self.world.time + 1000)
            else:
                self.client.run(self.client.now() + 1000)


@pytest.fixture(params=["real", "memory"])
def net(request):
    return Net(request.param)


class Raw(Handler):
    """A client that writes bytes as told and keeps what comes."""

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
    held = []
    server = HttpServer(net.server, net.host, 0, held.append)
    raw = Raw(net.client, net.host, server.port)
    net.until(lambda: raw.stream)
    raw.stream.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % n for n in range(3)))
    net.until(lambda: len(held) == 3)
    for place in (2, 0, 1):
        held[place].respond(200, [], b"answer %d;" % place)
    net.until(lambda: raw.data.count(b"answer") == 3)
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
def test_malformed_large_and_slow_requests_get_their_status_and_are_closed(net, data, status):
    limits = ServerLimits(header_time=SECOND // 5, body_bytes=1000)
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200), limits)
    raw = Raw(net.client, net.host, server.port)
    net.until(lambda: raw.stream)
    raw.stream.write(data)
    net.until(lambda: raw.reason)
    assert raw.data.startswith(b"HTTP/1.1 " + status)


def test_a_request_is_read_whole_wherever_it_is_cut(net):
    seen = []
    server = HttpServer(net.server, net.host, 0, lambda each: (seen.append(each.body), each.respond(200)))
    request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
    raw = Raw(net.client, net.host, server.port)
    net.until(lambda: raw.stream)
    for byte in request:
        raw.stream.write(bytes([byte]))
        net.until(lambda: True)
    net.until(lambda: raw.data)
    assert seen == [b"hello"]


def test_connections_over_the_limit_are_closed_and_those_within_go_on(net):
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200), ServerLimits(connections=2))
    raws = [Raw(net.client, net.host, server.port) for _ in range(3)]
    net.until(lambda: sum(raw.reason is not None for raw in raws) == 1)
    alive = next(raw for raw in raws if raw.reason is None)
    alive.stream.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    net.until(lambda: alive.data)


def test_each_fault_of_a_call_tells_how_far_it_had_come(net):
    held = []
    server = HttpServer(net.server, net.host, 0, held.append)
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND // 5))
    results = {}

    def call(name, port=server.port, wait=SECOND):
        deadline = net.client.now() + wait
        return client.call(
            (net.host, port), "PUT", f"/{name}", lambda r: results.setdefault(name, r), [], b"x", deadline
        )

    port = HttpServer(net.server, net.host, 0, held.append)
    port.close()
    call("refused", port.port)
    call("abort")
    call("silent", wait=SECOND // 4)
    off = call("off")
    net.until(lambda: len(held) == 3 and "refused" in results)
    next(each for each in held if each.path == "/abort").abort()
    off.cancel()
    call("unsent").cancel()
    net.until(lambda: len(results) == 5)
    assert results == {
        "refused": CallFailure.REFUSED, "abort": CallFailure.CUT, "silent": CallFailure.SILENT,
        "off": CallFailure.CALLED_OFF,
        "unsent": CallFailure.CALLED_OFF_UNSENT,
    }  # fmt: skip


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
def test_a_reply_cut_at_any_place_or_out_of_bounds_is_never_taken_for_a_whole_one(net, reply, fault):
    class Bad(Handler):
        def opened(self, stream):
            self.stream = stream

        def received(self, data):
            self.stream.write(reply)
            self.stream.close()

    listener = net.server.listen(net.host, 0, Bad)
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND, body_bytes=100_000))
    results = []
    client.call((net.host, listener.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
    net.until(lambda: results)
    assert results == [fault]


def test_a_connection_is_used_again_and_kept_idle_within_the_bound(net):
    server = HttpServer(net.server, net.host, 0, lambda each: each.respond(200, [], b"x"))
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND, idle_per_address=2))
    results = []
    for count in (1, 2, 3):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
        net.until(lambda count=count: len(results) == count)
    assert len(server.connections) == 1
    for _ in range(5):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
    net.until(lambda: len(results) == 8 and len(server.connections) == 2)


def test_an_idle_connection_that_the_peer_closed_is_not_used_again(net):
    server = HttpServer(
        net.server, net.host, 0, lambda each: each.respond(200), ServerLimits(idle_time=SECOND // 10)
    )
    client = HttpClient(net.client, ClientLimits(connect_time=SECOND))
    results = []
    for count in (1, 2):
        client.call((net.host, server.port), "GET", "/", results.append, deadline=net.client.now() + SECOND)
        net.until(lambda count=count: len(results) == count)
        end = net.client.now() + SECOND // 4
        net.until(lambda end=end: net.client.now() >= end)
    assert all(isinstance(each, Reply) for each in results)


def test_a_peer_that_does_not_read_is_cut_off_at_the_bound(net):
    class Pour(Handler):
        reason = None

        def opened(self, stream):
            stream._limits = stream.limits = StreamLimits(max_unsent=1 << 18)
            self.stream = stream
            Pour.on = self

        def closed(self, reason):
            Pour.reason = reason

    listener = net.server.listen(net.host, 0, Pour)
    raw = Raw(net.client, net.host, listener.port)
    net.until(lambda: raw.stream and getattr(Pour, "on", None))
    raw.stream.pause()
    for _ in range(400):
        Pour.on.stream.write(bytes(1 << 15))
        if Pour.reason:
            break
        net.until(lambda: True)
    net.until(lambda: Pour.reason)
    assert Pour.reason is CloseReason.OVERFLOW


def test_an_exception_in_a_callback_costs_its_stream_and_not_the_loop():
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


def test_the_world_in_memory_is_the_same_run_for_the_same_seed():
    def story(seed):
        world, lines = World(seed), []
        server = HttpServer(world.node("s"), "s", 80, lambda each: each.respond(200, [], each.body))
        client = HttpClient(world.node("c"), ClientLimits(connect_time=SECOND))
        for n in range(20):
            done = lambda reply, n=n: lines.append((world.time, n, reply))  # noqa: E731
            client.call(("s", server.port), "POST", "/", done, [], b"%d" % n, world.time + SECOND)
        world.run(SECOND * 3)
        return repr(lines)

    assert story(3) == story(3) != story(4)


def test_a_cut_path_delays_and_a_killed_node_resets():
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
    raw = Raw(client_node, "s", 80)
    world.run(world.time + SECOND)
    server_node.kill()
    world.run(world.time + SECOND)
    assert isinstance(results[1], Reply) and raw.reason is CloseReason.RESET


def test_real_listener_says_refused_where_nobody_listens():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop = SelectorLoop()
    raw = Raw(loop, "127.0.0.1", port)
    while raw.reason is None:
        loop.turn(loop.now() + SECOND)
    assert raw.reason is CloseReason.REFUSED
