"""Gateways that are killed after an accept, that start thirty at once, and that are idle.

Each docstring names a change of the code with which the test was verified to fail.
"""

import os
import signal
import tracemalloc
from bisect import bisect_left
from collections import Counter

import msgspec
import pytest
from platform_world import (
    MS,
    SECOND,
    SETTINGS,
    Cause,
    Param,
    Peer,
    Platform,
    host_entry,
    list_event,
    play,
    set_up,
)
from test_crossings import event_frame
from test_crossings_sockets import Bench, call_id_of
from test_node import one_answer
from test_node_process import free_port, start_process, wait_for_event, write_config

from mintmast.loop import Handler
from mintmast.loop.memory import EPOCH_S
from mintmast.loop.real import SelectorLoop
from mintmast.signalling import messages
from mintmast.signalling.messages import MessageKind, MessageReader, encode_release
from mintmast.signalling.node import Config, Node

TIMEOUT_US = 20_000_000  # µs until an awaited condition fails the test


class Host(Handler):
    """The host's end of a connection; records set-ups, and answers them if `plays` is set."""

    name, plays = "a", False

    def __init__(self, set_ups):
        self.set_ups, self.reader, self.closed_by = set_ups, MessageReader(), None

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        for message in self.reader.feed(data):
            if message.kind == MessageKind.HEALTH_CHECK:
                self.stream.write(messages.encode_health_check_reply(message.call_id, True))
            elif message.kind == MessageKind.SET_UP:
                self.set_ups.append(message.call_id)
                if Host.plays:
                    play(self, self, message)

    def closed(self, reason):
        self.closed_by = reason


class Viewer(Handler):
    """A viewer's connection that sends `data` and records the messages it receives."""

    def __init__(self, loop, port, data):
        self.data, self.messages, self.reader = data, [], MessageReader()
        self.is_open, self.closed_by = False, None
        loop.connect("127.0.0.1", port, self)

    def opened(self, stream):
        self.is_open = True
        stream.write(self.data)

    def received(self, data):
        self.messages += self.reader.feed(data)

    def closed(self, reason):
        self.closed_by = reason


@pytest.mark.parametrize(
    "kill", ["after the accept", "in the backlog", "unanswered", "with sessions playing"]
)
def test_a_process_killed_after_an_accept_is_replaced_by_a_ready_one(tmp_path, monkeypatch, kill):
    """Fails without SO_REUSEADDR (the next process cannot listen), if readiness waits for the change log, and
    if the handover of a playing session is treated as a new set-up, which runs it twice."""
    loop, set_ups, hosts, port = SelectorLoop(), [], [], free_port()

    def accept():
        hosts.append(Host(set_ups))
        return hosts[-1]

    def run_until(condition):
        deadline = loop.now() + TIMEOUT_US
        while not condition():
            assert loop.now() < deadline, "condition not met in time"
            loop.turn(loop.now() + 5000)

    def viewers(first, **change):
        numbers = range(first, first + 6)
        return [Viewer(loop, port, set_up(number.to_bytes(8), "paid", **change)) for number in numbers]

    monkeypatch.setattr(Host, "plays", kill == "with sessions playing")
    listed = host_entry("a", addr=f"127.0.0.1:{loop.listen('127.0.0.1', 0, accept).port}")
    path = write_config(
        tmp_path / "n.json", port, known={"seq": 1, "results": [list_event(1, listed, full=True)]}
    )
    process = start_process(path)
    try:
        wait_for_event(process, "serving")
        first_viewers = viewers(1)
        incomplete = [Viewer(loop, port, set_up(b"half5678", "paid")[:40]), Viewer(loop, port, b"")]
        if kill == "in the backlog":
            run_until(lambda: len(set_ups) == 6)
            os.kill(process.pid, signal.SIGSTOP)  # the kernel still completes connections in the backlog
            first_viewers += viewers(7)
        run_until(lambda: all(each.is_open for each in first_viewers + incomplete))
        if kill == "unanswered":
            run_until(lambda: len(set_ups) == 6)
        elif kill == "with sessions playing":
            run_until(lambda: all(each.messages for each in first_viewers))
        process.kill()
        process.wait()
        process = start_process(path)
        run_until(lambda: all(each.closed_by for each in first_viewers + incomplete + hosts))
        answers = [message.kind for each in first_viewers + incomplete for message in each.messages]
        assert answers == ([MessageKind.ANSWER] * 6 if kill == "with sessions playing" else [])
        wait_for_event(process, "serving")
        monkeypatch.setattr(Host, "plays", True)
        new = [Viewer(loop, port, messages.encode_health_check(bytes(8))), *viewers(101)]
        run_until(lambda: all(each.messages for each in new))
        assert new[0].messages[0].kind == MessageKind.HEALTH_CHECK_REPLY and new[0].messages[0].cause == 1
        assert {each.messages[0].kind for each in new[1:]} == {MessageKind.ANSWER}
        if kill == "with sessions playing":  # the viewers hand over the playing sessions; the host ends them
            handed_over = viewers(1, placement="home:0;copies:4;top:2;at:id-a")
            run_until(lambda: all(each.is_open for each in handed_over))
            loop.run(loop.now() + 200_000)
            connection = next(each for each in hosts if not each.closed_by)
            for number in range(1, 7):
                connection.stream.write(encode_release(number.to_bytes(8), Cause.NORMAL_CLEARING))
            run_until(lambda: all(each.messages for each in handed_over))
            assert all(each.messages[0].cause == Cause.NORMAL_CLEARING for each in handed_over)
        loop.run(loop.now() + 200_000)  # set-ups of the killed process must not arrive again
        counts = Counter(int.from_bytes(call) for call in set_ups)
        assert max(counts.values()) == 1 and set(range(101, 107)) <= counts.keys()
        assert counts.keys() <= {*range(1, 7), *range(101, 107)}
    finally:
        process.kill()
        process.wait()


# Thirty gateways that start at once with cold hosts

COUNT = 30
WARM_UP_US, WINDOW_US, STREAMS, OVERLOAD_FACTOR, INITIAL_SHARE = 8 * SECOND, 1_500_000, 90, 2.5, 0.5


class GatewayFleet:
    """Thirty gateways of one fleet with three hosts, all in their slow start."""

    def __init__(self):
        pace = {
            "cold": WARM_UP_US,
            "coldFrom": INITIAL_SHARE,
            "fall": WINDOW_US,
            "overloadFactor": OVERLOAD_FACTOR,
        }
        family = SETTINGS["familyInfo"] | {"kindSlots": [STREAMS], "linksKb": 1e9, "rackLinkKb": 1e9}
        self.settings = SETTINGS | {"nInstances": COUNT, "invariants": pace, "familyInfo": family}
        self.platform = Platform("a", "b", "c")
        now = self.platform.now()
        self.started_at = {"a": now - 800 * MS, "b": now, "c": now + 900 * MS}
        self.start()
        self.platform.world.at(
            self.started_at["c"], self.platform.log.send, event_frame(list_event(2, self.entry("c")))
        )

    def entry(self, name):
        return host_entry(name, started=EPOCH_S * 1000 + self.started_at[name] // MS)

    def start(self):
        """Start all gateways at once, with the hosts known that have started by now."""
        platform = self.platform
        names = [name for name in self.started_at if self.started_at[name] <= platform.now()]
        seq = len(names) - 1
        known = {"seq": seq, "results": [list_event(seq, *map(self.entry, names), full=True)]}
        self.machines = []
        for me in range(COUNT):
            document = {"name": f"n{me}", "listen": f"g{me}:5060", "seed": f"{me + 1:x}", "known": known}
            document |= {"limits": {"sockets": 256}, "changelog": "log:2379"}
            document["settings"] = msgspec.Raw(msgspec.json.encode(self.settings | {"me": me}))
            self.machines.append(platform.world.node(f"g{me}"))
            Node(self.machines[-1], msgspec.convert(document, Config), lambda event, **fields: None)

    def send_load(self, seconds):
        """Send each gateway twelve set-ups a second."""
        ends = []
        for me in range(COUNT):
            ends.append(Peer())
            self.platform.front.connect(f"g{me}", 5060, ends[-1])
        self.platform.run(0.005)
        for _ in range(int(seconds * 12)):
            for end in ends:
                self.platform.send_set_up(end, ms=500)
            self.platform.run(1 / 12)

    def budget_excess(self, name):
        """Return by how much a host's fullest window exceeds N + 2 * sqrt(N) + 2; 0 or less is within bounds.

        N is the slow start's budget of set-ups for the window.
        """
        times = sorted(at for at, _ in self.platform.hosts[name].set_ups)
        worst = []
        for index, begin in enumerate(times):
            warm_up_share = INITIAL_SHARE + (1 - INITIAL_SHARE) * min(
                1.0, (begin - self.started_at[name]) / WARM_UP_US
            )
            budget = OVERLOAD_FACTOR * STREAMS / WARM_UP_US * warm_up_share * WINDOW_US
            worst.append(bisect_left(times, begin + WINDOW_US) - index - (budget + 2 * budget**0.5 + 2))
        return max(worst)


@pytest.mark.parametrize("again", [False, True])
def test_thirty_gateways_that_start_at_once_stay_within_the_slow_start_budget(again):
    """Fails if each gateway uses the whole slow-start budget; with `again` if a restart sends at once."""
    fleet = GatewayFleet()
    fleet.send_load(2.4 if again else 3.6)
    if again:
        for machine in fleet.machines:
            machine.kill()
        fleet.start()
        fleet.send_load(2.4)
    assert all(len(host.set_ups) > 15 for host in fleet.platform.hosts.values())
    assert {name: excess for name in fleet.started_at if (excess := fleet.budget_excess(name)) > 0} == {}


# Idle gateway


def test_an_idle_gateway_follows_the_change_log_and_leaks_no_memory():
    """Fails if comments do not count as activity of the change log, and if the HTTP client keeps the body."""
    platform = Platform("a", "b")
    end, node = platform.viewer(), platform.node
    end.stream.write(messages.encode_health_check(bytes(8)))
    call = platform.send_set_up(end)
    platform.run(0.1)
    end.stream.write(encode_release(call, Cause.NORMAL_CLEARING))
    platform.run(300)
    fired, run_callback = 0, platform.gateway.run_callback

    def count_callback(what, *args):
        nonlocal fired
        fired += 1
        run_callback(what, *args)

    platform.gateway.run_callback = count_callback
    tracemalloc.start()
    try:
        platform.run(300)
        before, fired = tracemalloc.get_traced_memory()[0], 0
        platform.run(900)
        grown = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert grown < 2000, grown  # bytes
    assert fired <= 900 * 12  # two periodic checks four times a second each, and the log's comments
    waiting = [timer for _, _, timer in platform.world._timers._heap if timer.callback is not None]
    assert len(waiting) < 12
    assert platform.log.requested_ids == ["1"] and len(platform.log.streams) == 1
    assert len(node.viewers.connections) == 1 and not node.hosts.connections_in_use and not node.calls.by_id
    platform.log.send(event_frame(list_event(2, host_entry("a", "Terminating"))))
    platform.run(0.01)
    begin = platform.now()
    call = platform.send_set_up(end, "paid")
    platform.run(0.02)
    assert one_answer(end, call).params[Param.DESCRIPTION] == b"from b"
    assert platform.hosts["b"].set_ups[-1][0] - begin < 10 * MS


def test_an_idle_real_loop_turns_a_few_times_a_second():
    """Fails if either periodic check of connections runs every 10 ms."""
    bench = Bench()
    bench.accept_connection(bench.log)
    before = bench.loop.turns
    bench.loop.run(bench.loop.now() + 1_500_000)
    assert bench.loop.turns - before <= 1.5 * 10
    assert bench.set_up_at_host(bench.viewer(), call_id_of(7))
