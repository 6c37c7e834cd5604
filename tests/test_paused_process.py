"""A process that stood still: what has arrived meanwhile is read before anything is concluded from silence.

Guards against the failure of review/7: after a stop by the scheduler all due timers fired first. Answers in
the buffers counted as silence, and set-ups went to hosts whose drain had been in the change log for 1.7 s.
"""

import socket
import time

import pytest
from platform_world import MessageKind, Platform, host_entry, list_event
from test_node import one_answer

from mintmast.loop import Handler
from mintmast.loop.real import STALL_THRESHOLD_US, SelectorLoop
from mintmast.signalling.messages import encode_health_check_reply

PAUSE_S = 1.2 * STALL_THRESHOLD_US / 1e6


class Receiver(Handler):
    """The loop's end of a pair of sockets; notes in `order` that data came, then runs `then`."""

    def __init__(self, loop, order, name, then=lambda: None):
        ours, self.peer = socket.socketpair()
        self.order, self.name, self.then = order, name, then
        loop.adopt(ours, self)

    def received(self, data):
        self.order.append(self.name)
        self.then()


class PausingSelector:
    """A selector whose first wait that may block lasts until `during` has returned, and finds nothing."""

    def __init__(self, selector, during):
        self.selector, self.during = selector, during

    def __getattr__(self, name):
        return getattr(self.selector, name)

    def select(self, timeout=None):
        if self.during is None or timeout == 0:
            return self.selector.select(timeout)
        during, self.during = self.during, None
        during()
        return []


def send_and_pause(receiver):
    receiver.peer.send(b"x")
    time.sleep(PAUSE_S)


@pytest.fixture
def loop():
    loop = SelectorLoop()
    yield loop
    loop.close()


def test_data_that_arrived_during_a_pause_in_the_wait_is_read_before_timers(loop):
    order = []
    receiver = Receiver(loop, order, "data")
    loop.turn(loop.now())
    loop.call_at(loop.now() + 100_000, order.append, "timer")
    loop._selector = PausingSelector(loop._selector, lambda: send_and_pause(receiver))
    loop.turn()
    assert order == ["data", "timer"]


def test_data_that_arrived_during_a_pause_between_reads_is_read_before_timers(loop):
    order = []
    late = Receiver(loop, order, "late data")
    early = Receiver(loop, order, "early data", lambda: send_and_pause(late))
    loop.turn(loop.now())
    early.peer.send(b"x")
    loop.call_soon(order.append, "timer")
    loop.turn(loop.now())
    assert order == ["early data", "late data", "timer"]


def test_data_that_arrived_during_a_pause_between_timers_is_read_before_the_next_timer(loop):
    order = []
    receiver = Receiver(loop, order, "data")
    loop.turn(loop.now())
    loop.call_soon(send_and_pause, receiver)
    loop.call_soon(order.append, "timer")
    loop.turn(loop.now())
    assert order == ["data", "timer"]


def platform_with_waiting_set_up(service):
    """Return a platform, a viewer, its call and the first of two hosts, whose health check is unanswered."""
    platform = Platform("a", "b")
    silent = []

    def answer_no_health_check(host, end, message, handle):
        if message.kind == MessageKind.HEALTH_CHECK and (not silent or host in silent):
            silent.append(host)
        else:
            handle(end, message)

    for host in platform.hosts.values():
        handle = host.handle_message
        host.handle_message = lambda end, message, host=host, handle=handle: answer_no_health_check(
            host, end, message, handle
        )
    viewer = platform.viewer()
    call = platform.send_set_up(viewer, service)
    platform.run(0.05)
    return platform, viewer, call, silent[0]


EVENTS = {
    "drains": lambda name: list_event(2, host_entry(name, "Terminating")),
    "gone": lambda name: list_event(2, host_entry(name, "Gone")),
    "not in a full list": lambda name: list_event(2, host_entry("b" if name == "a" else "a"), full=True),
}


@pytest.mark.parametrize("service", ["paid", "free"])
@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("passes", ["before", "after", "never"])
def test_a_set_up_not_written_yet_is_withdrawn_from_a_host_that_drains(service, event, passes):
    """`passes` says when its health check passes, in one turn of the loop with the event of the list."""
    platform, viewer, call, host = platform_with_waiting_set_up(service)
    (connection,) = platform.node.hosts.pools[f"id-{host.name}".encode()].connections
    if passes == "before":
        connection.received(encode_health_check_reply(bytes(8), True))
    platform.node.changelog.handle_event(EVENTS[event](host.name))
    if passes == "after":
        connection.received(encode_health_check_reply(bytes(8), True))
    platform.run(0.1)
    other = next(each for each in platform.hosts.values() if each is not host)
    assert not host.set_ups and [message.call_id for _, message in other.set_ups] == [call]
    assert one_answer(viewer, call).kind == MessageKind.ANSWER
