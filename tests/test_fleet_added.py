"""Reloads, change log outages, fragmented messages and hosts that never answer, on an in-memory network.

The platform's load tests exercise these cases without naming them; see docs/design/crossings.md. Each
docstring names a change of the code with which the test was verified to fail.
"""

import msgspec
import pytest
from platform_world import (
    MS,
    SECOND,
    SETTINGS,
    Cause,
    ChangeLogServer,
    MessageKind,
    Param,
    Platform,
    host_entry,
    list_event,
    set_up,
    silent,
)
from test_crossings import event_frame
from test_crossings_sockets import Bench, call_id_of
from test_node import one_answer
from test_node_hard import later

from mintmast.signalling import messages
from mintmast.signalling.configuration import _Known
from mintmast.signalling.messages import encode


def answered_by(end, calls):
    return {one_answer(end, call).params.get(Param.DESCRIPTION, b"nobody")[5:].decode() for call in calls}


def home_of(platform, call):
    """Return the host at which a call was set up."""
    return next(host for host in platform.hosts.values() if call in host.connection_of)


# Reload while hosts drain


KNOWN = {  # known events of the new configuration, and the sequence number requested from the new log
    "the list of the start": (
        (1, list_event(1, host_entry("a"), host_entry("b"), host_entry("c"), full=True)),
        "2",
    ),
    "nothing": ((0,), "2"),
    "newer events": (
        (3, list_event(2, host_entry("a", "Terminating")), list_event(3, host_entry("b", "Terminating"))),
        "3",
    ),
}


@pytest.mark.parametrize("what", KNOWN)
def test_a_reload_while_hosts_drain_keeps_the_drains_and_ends_no_session(what):
    """Fails if the change log processes duplicate sequence numbers, which undoes the drains."""
    (seq, *results), requested_id = KNOWN[what]
    platform = Platform("a", "b", "c")
    end, other = platform.viewer(), ChangeLogServer(platform, "log2")
    established = [platform.send_set_up(end) for _ in range(12)]
    platform.run(0.1)
    assert answered_by(end, established) == {"a", "b", "c"}
    for host in platform.hosts.values():
        host.script = later(0.4)
    in_progress = [platform.send_set_up(end, "paid") for _ in range(12)]
    platform.run(0.1)
    platform.log.send(event_frame(list_event(2, host_entry("a", "Terminating"))))
    platform.run(0.05)
    known = _Known(seq, tuple(results))
    platform.node.reload(msgspec.structs.replace(platform.config, changelog="log2:2379", known=known))
    platform.run(0.05)
    assert other.requested_ids == [requested_id]
    other.send(event_frame(list_event(3, host_entry("b", "Terminating"))))
    platform.run(0.05)
    new = [platform.send_set_up(end) for _ in range(12)]
    platform.run(0.6)
    assert answered_by(end, new) == {"c"}  # hosts a and b drain, since before and after the reload
    assert answered_by(end, in_progress) == {
        "a",
        "b",
        "c",
    }  # attempts in progress at the reload are still answered
    assert len(platform.node.calls.by_id) == 36 and not any(host.releases for host in platform.hosts.values())
    for call in established:
        home_of(platform, call).end_session(call)
    platform.run(0.1)
    assert all(
        [m.cause for m in end.messages_for(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING]
        for call in established
    )


# Silent change log, and full lists


@pytest.mark.parametrize("silences", [1, 3])
def test_a_change_log_that_falls_silent_after_a_full_list_is_reconnected_without_loss(silences):
    """Fails with a silence timeout of 60 s: the client does not reconnect, and misses the change.

    A watch that has brought nothing may belong to a log that is slow to begin, so it stays open beside the
    next one until data comes.
    """
    platform = Platform("a", "b", "c")
    log, end = platform.log, platform.viewer()
    call = platform.send_set_up(end, placement="home:0;copies:4;top:0")
    platform.run(0.1)
    full_list = event_frame(list_event(2, host_entry("a"), host_entry("b"), full=True))
    log.send(full_list)
    log.is_silent, begin = True, platform.now()
    for number in range(silences):
        platform.run(1)
        during = [platform.send_set_up(end) for _ in range(8)]
        platform.run(1.5)
        assert answered_by(end, during) == {"a", "b"}
        assert log.requested_ids == ["1"] + ["2"] * (number + 1)  # one reconnection for each silence
        assert len(log.streams) == 1 + (number + 1)  # one more for each silence, while nothing comes
    log.send(full_list)  # a duplicate, as a new connection may bring it
    log.send(event_frame(list_event(3, host_entry("a", "Terminating"))))
    platform.run(0.05)
    assert len(log.streams) == 1
    assert silences > 1 or platform.now() - begin < 4 * SECOND  # the platform allows a change 4 s
    after = [platform.send_set_up(end) for _ in range(8)]
    platform.run(0.1)
    assert answered_by(end, after) == {"b"} and not end.messages_for(call, MessageKind.RELEASE)


@pytest.mark.parametrize("seconds", [2.5, 3.9])
@pytest.mark.parametrize("what", ["head_delay", "body_delay"])
def test_a_drain_is_applied_although_the_change_log_begins_each_answer_late(what, seconds):
    """Guards against giving each call up before a slow or crowded log begins to answer it."""
    platform = Platform("a", "b")
    setattr(platform.log, what, int(seconds * SECOND))
    platform.log.streams[0].abort()  # the watch of the start, which was answered at once
    platform.log.events.append(event_frame(list_event(2, host_entry("a", "Terminating"))))
    platform.run(6)  # a change counts as told 6 s after the log had it and could be reached
    end = platform.viewer()
    calls = [platform.send_set_up(end) for _ in range(8)]
    platform.run(0.1)
    assert answered_by(end, calls) == {"b"} and len(platform.log.streams) == 1


@pytest.mark.parametrize("successor", [False, True])
def test_a_full_list_in_place_of_a_delta_removes_exactly_the_missing_hosts(successor):
    """Fails if a full list is applied as a delta, if hosts missing from it are kept, and if each listed host
    is treated as restarted."""
    platform = Platform("a", "b", "d")
    log, end, hosts = platform.log, platform.viewer(), platform.hosts
    calls = [platform.send_set_up(end) for _ in range(15)]
    platform.run(0.1)
    assert answered_by(end, calls) == {"a", "b", "d"}
    log.send(event_frame(list_event(2, host_entry("a"), host_entry("b"))))
    listed = [host_entry("a"), host_entry("d", "Terminating")]
    if successor:
        listed.insert(0, host_entry("n", addr="b:5060"))  # at the address of b, which is no longer listed
    log.send(event_frame(list_event(3, *listed, full=True)))
    platform.run(0.3)
    node, ids = platform.node, {each["id"].encode() for each in listed}
    assert set(node._listed_hosts) == ids and node.changelog.seq == 3 and log.requested_ids == ["1"]
    kept = [call for call in calls if home_of(platform, call).name != "b"]
    removed = [call for call in calls if call not in kept]
    # a host that left the list keeps its sessions while it is reachable at its address
    assert all(bool(end.messages_for(call, MessageKind.RELEASE)) == successor for call in removed)
    assert not any(end.messages_for(call, MessageKind.RELEASE) for call in kept) and not (
        hosts["a"].releases or hosts["d"].releases
    )
    before = {name: len(host.set_ups) for name, host in hosts.items()}
    new = [platform.send_set_up(end) for _ in range(15)]
    platform.run(0.1)
    assert all(one_answer(end, call).kind == MessageKind.ANSWER for call in new)
    assert len(hosts["d"].set_ups) == before["d"] and len(hosts["a"].set_ups) > before["a"]
    assert (len(hosts["b"].set_ups) > before["b"]) == successor
    for call in kept if successor else calls:
        home_of(platform, call).end_session(call)
    platform.run(0.5)
    assert all(len(end.messages_for(call, MessageKind.RELEASE)) == 1 for call in calls)
    log.send(event_frame(list_event(4, host_entry("d"))))  # a delta again
    platform.run(6)  # spare connections are closed after 4 s
    assert set(node._listed_hosts) == ids and set(node.hosts.pools) == ids


# Fragmented messages


class SlowStream:
    """A stream that sends one byte every `step` µs."""

    def __init__(self, world, stream, step):
        self.world, self.stream, self.step, self.next = world, stream, step, 0

    def write(self, data):
        for at in range(len(data)):
            self.next = max(self.next, self.world.time) + self.step
            self.world.at(self.next, self.stream.write, data[at : at + 1])


def test_set_ups_and_host_messages_may_arrive_byte_by_byte():
    """Fails if the decoder keeps no incomplete message, and if a set-up's timeout counts from its connect."""
    platform = Platform("a", settings=SETTINGS | {"caps": SETTINGS["caps"] | {"connectTimeout": SECOND}})
    host, handle_message = platform.hosts["a"], platform.hosts["a"].handle_message

    def answer_slowly(end, message):
        if not isinstance(end.stream, SlowStream):
            end.stream = SlowStream(platform.world, end.stream, 4 * MS)
        handle_message(end, message)

    host.handle_message = answer_slowly
    ends = [platform.viewer() for _ in range(4)]
    for end in ends:
        end.stream = SlowStream(platform.world, end.stream, 18 * MS)
    calls = [platform.send_set_up(end, "paid", ms=2000) for end in ends]
    last = ends[0].stream.next
    assert last - platform.now() > 1500 * MS  # and below the time limit for one message
    platform.world.run(last - MS)
    assert not host.set_ups
    platform.run(0.6)
    for end, call in zip(ends, calls, strict=True):
        assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    assert all(1900 < int(sent.params[Param.TIMEOUT]) <= 2000 for _, sent in host.set_ups)
    assert sorted(sent.call_id for _, sent in host.set_ups) == calls
    for call in calls:
        host.end_session(call)
    platform.run(0.5)
    assert all(
        len(end.messages_for(call, MessageKind.RELEASE)) == 1 for end, call in zip(ends, calls, strict=True)
    )
    assert not platform.node.calls.by_id and not any(end.closed_by for end in ends)


def test_a_set_up_and_its_answer_may_arrive_byte_by_byte_on_a_real_loop():
    """Fails if the decoder keeps no incomplete message."""
    bench, call = Bench(), call_id_of(7)
    viewer = bench.viewer()

    def send_byte_by_byte(sock, data):
        for at in range(len(data)):
            sock.sendall(data[at : at + 1])
            bench.turn()

    bench.run_until(lambda: bench.node.viewers.connections)
    send_byte_by_byte(viewer, set_up(call, "paid"))
    connection = bench.accept_connection()
    assert bench.read_messages(connection, 1)[0].kind == MessageKind.HEALTH_CHECK
    send_byte_by_byte(connection, messages.encode_health_check_reply(bytes(8), True))
    assert [m.call_id for m in bench.read_messages(connection, 1)] == [call]
    send_byte_by_byte(connection, encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert [m.kind for m in bench.read_messages(viewer, 1)] == [MessageKind.ANSWER]


# Unanswered set-ups


class AnswerCounter:
    """Counts set-ups and their answers as the platform does."""

    def __init__(self, platform):
        self.platform, self.sent_at, self.deadlines, self.answer_times, self.answered = (
            platform,
            {},
            {},
            {},
            set(),
        )

    def viewer(self):
        end = self.platform.viewer()
        end.on_message = self.record
        return end

    def send_set_up(self, end, service, ms):
        call = self.platform.send_set_up(end, service, ms)
        self.sent_at[call] = self.platform.now()
        self.deadlines[call] = self.sent_at[call] + (ms + 50) * MS  # the platform's tolerance is 50 ms
        self.answer_times[call] = []
        return call

    def record(self, end, message):
        if message.kind == MessageKind.ANSWER:
            self.answered.add(message.call_id)
        elif message.kind != MessageKind.RELEASE or message.call_id in self.answered:
            return  # the end of a session is no answer
        self.answer_times[message.call_id].append(self.platform.now())

    def unanswered(self):
        return [
            call
            for call, deadline in self.deadlines.items()
            if not any(at <= deadline for at in self.answer_times[call])
        ]

    def longest(self):
        return max(times[0] - self.sent_at[call] for call, times in self.answer_times.items()) // MS

    def duplicates(self):
        return [call for call, times in self.answer_times.items() if len(times) > 1]


MAX_ANSWER_MS = {
    "resets": 300,
    "closes": 300,
    "closes within its answer": 300,
    "accepts and says nothing": 1000,
}  # ms


def at_deadline(ms):
    """Answer `ms` after the set-up's timeout."""

    def answer(host, end, message):
        later((int(message.params[Param.TIMEOUT]) + ms) / 1000)(host, end, message)

    return answer


HOSTS = {
    "answers no set-up": silent,
    "answers after the deadline": at_deadline(200),
    "answers about the deadline": at_deadline(-2),
    "resets": lambda host, end, message: end.stream.abort(),
    "closes": lambda host, end, message: end.stream.close(),
    "closes after a while": later(0.25, lambda host, end, message: end.stream.close()),
    "closes within its answer": lambda host, end, message: (
        end.stream.write(encode(MessageKind.ANSWER, message.call_id, [(Param.DESCRIPTION, b"half")])[:-2]),
        end.stream.close(),
    ),
    "accepts and says nothing": None,
}


@pytest.mark.parametrize("what", HOSTS)
@pytest.mark.parametrize("service", ["paid", "free"])
def test_every_set_up_gets_one_answer_by_its_deadline_whatever_the_host_does(service, what):
    """Fails without the deadline timer, without the connect timer, and if the end of a connection does not
    end its set-up: a set-up that has failed is answered long before its deadline."""
    platform = Platform("a", "b", script=HOSTS[what])
    if HOSTS[what] is None:
        for host in platform.hosts.values():
            host.handle_message = lambda end, message: None
    count = AnswerCounter(platform)
    ends, leaving = [count.viewer() for _ in range(3)], platform.viewer()
    for _ in range(4):
        for end in ends:
            for ms in (150, 400, 1200, 2500):
                count.send_set_up(end, service, ms)
        platform.send_set_up(leaving, service)  # needs no answer once its connection is closed
        platform.run(0.08)
    leaving.stream.close()
    platform.run(4)
    assert len(count.deadlines) == 48 and count.unanswered() == count.duplicates() == []
    assert set(platform.node.calls.by_id) == count.answered and not platform.node.viewers.bytes_held
    assert not count.answered or what == "answers about the deadline"
    assert count.longest() < MAX_ANSWER_MS.get(what, 2550)
    if what == "answers after the deadline":
        assert all(call in host.releases for host in platform.hosts.values() for call in host.connection_of)


def test_the_answer_counter_detects_missing_and_duplicate_answers():
    """The counter above detects missing answers of a dead gateway, late answers and duplicates."""
    platform = Platform("a", script=later(0.2))
    count = AnswerCounter(platform)
    end = count.viewer()
    good = count.send_set_up(end, "free", 2000)
    platform.run(0.3)
    lost = [count.send_set_up(end, "paid", 500) for _ in range(3)]
    platform.run(0.1)
    platform.gateway.kill()
    platform.run(1)
    assert count.unanswered() == lost and count.answer_times[good]
    count.record(end, messages.Message(MessageKind.RELEASE, lost[0], {}))  # after its deadline
    count.record(end, messages.Message(MessageKind.ANSWER, good, {}))
    assert count.unanswered() == lost and count.duplicates() == [good]
