"""What the platform's fleet days gained and its page does not name, in memory: see docs/design/crossings.md.

Each test tells the change of the code under which it was seen failing.
"""

import msgspec
import pytest
from platform_world import (
    MS,
    SECOND,
    SETTINGS,
    Cause,
    Log,
    MessageKind,
    Param,
    Platform,
    _Asker,
    host_entry,
    list_event,
    set_up,
    silent,
)
from test_crossings import news_of
from test_crossings_sockets import Bench, numbered
from test_node import one_answer
from test_node_hard import later

from mintmast.signalling import messages
from mintmast.signalling.configuration import _Known
from mintmast.signalling.messages import encode


def answered_by(end, calls):
    return {one_answer(end, call).params.get(Param.DESCRIPTION, b"nobody")[5:].decode() for call in calls}


def home_of(platform, call):
    """Give the host at which a call was set up."""
    return next(host for host in platform.hosts.values() if call in host.home)


# A reload while hosts drain


class OtherLog(Log):
    """The change log at the address that a new configuration names."""

    def __init__(self, platform):
        self.platform, self.asked, self.streams, self.events, self.quiet = platform, [], [], [], False
        platform.world.node("log2").listen("log2", 2379, lambda: _Asker(self))


KNOWN = {  # what the new configuration knows, and the number from which the new log is asked
    "as at the start": (
        (1, list_event(1, host_entry("a"), host_entry("b"), host_entry("c"), full=True)),
        "2",
    ),
    "nothing": ((0,), "2"),
    "more than was heard": (
        (3, list_event(2, host_entry("a", "Terminating")), list_event(3, host_entry("b", "Terminating"))),
        "3",
    ),
}


@pytest.mark.parametrize("what", KNOWN)
def test_a_reload_while_hosts_drain_forgets_no_drain_and_ends_nothing_there(what):
    """Fails where `ChangeLog.event` takes numbers that were heard again: the drains are undone."""
    (seq, *results), asked = KNOWN[what]
    platform = Platform("a", "b", "c")
    end, other = platform.viewer(), OtherLog(platform)
    stood = [platform.ask(end) for _ in range(12)]
    platform.run(0.1)
    assert answered_by(end, stood) == {"a", "b", "c"}
    for host in platform.hosts.values():
        host.script = later(0.4)
    out = [platform.ask(end, "paid") for _ in range(12)]
    platform.run(0.1)
    platform.log.tell(news_of(list_event(2, host_entry("a", "Terminating"))))
    platform.run(0.05)
    known = _Known(seq, tuple(results))
    platform.node.reload(msgspec.structs.replace(platform.config, changelog="log2:2379", known=known))
    platform.run(0.05)
    assert other.asked == [asked]
    other.tell(news_of(list_event(3, host_entry("b", "Terminating"))))
    platform.run(0.05)
    new = [platform.ask(end) for _ in range(12)]
    platform.run(0.6)
    assert answered_by(end, new) == {"c"}  # draining since before the reload, and told after it
    assert answered_by(end, out) == {"a", "b", "c"}  # out at that time, and at the host to its answer
    assert len(platform.node.calls.by_id) == 36 and not any(host.cuts for host in platform.hosts.values())
    for call in stood:
        home_of(platform, call).end(call)
    platform.run(0.1)
    assert all(
        [m.cause for m in end.of(call, MessageKind.RELEASE)] == [Cause.NORMAL_CLEARING] for call in stood
    )


# A watch that falls silent, and a whole list in the middle of it


@pytest.mark.parametrize("silences", [1, 3])
def test_a_log_that_falls_silent_after_a_whole_list_is_asked_again_and_nothing_is_lost(silences):
    """Fails where `ChangeLog._look` does not ask again (SILENT of 60 s): the change is never heard."""
    platform = Platform("a", "b", "c")
    log, end = platform.log, platform.viewer()
    call = platform.ask(end, figures="home:0;copies:4;top:0")
    platform.run(0.1)
    whole = news_of(list_event(2, host_entry("a"), host_entry("b"), full=True))
    log.tell(whole)
    log.quiet, begin = True, platform.now()
    for number in range(silences):
        platform.run(1)
        during = [platform.ask(end) for _ in range(8)]
        platform.run(1.5)
        assert answered_by(end, during) == {"a", "b"}
        assert log.asked == ["1"] + ["2"] * (number + 1)  # the connection stood, and one is kept
        assert len(log.streams) == 1
    log.tell(whole)  # told once more, as it may be on a new connection
    log.tell(news_of(list_event(3, host_entry("a", "Terminating"))))
    platform.run(0.05)
    assert silences > 1 or platform.now() - begin < 4 * SECOND  # by then it counts as told
    after = [platform.ask(end) for _ in range(8)]
    platform.run(0.1)
    assert answered_by(end, after) == {"b"} and not end.of(call, MessageKind.RELEASE)


@pytest.mark.parametrize("successor", [False, True])
def test_a_whole_list_in_place_of_a_delta_takes_away_what_is_not_in_it_and_nothing_else(successor):
    """Fails where a whole list is taken for a delta, where `Node._news` drops no unlisted host, and where it
    takes each listed host for a new process."""
    platform = Platform("a", "b", "d")
    log, end, hosts = platform.log, platform.viewer(), platform.hosts
    calls = [platform.ask(end) for _ in range(15)]
    platform.run(0.1)
    assert answered_by(end, calls) == {"a", "b", "d"}
    log.tell(news_of(list_event(2, host_entry("a"), host_entry("b"))))
    listed = [host_entry("a"), host_entry("d", "Terminating")]
    if successor:
        listed.insert(
            0, host_entry("n", addr="b:5060")
        )  # at the address of the one that is not listed any more
    log.tell(news_of(list_event(3, *listed, full=True)))
    platform.run(0.3)
    node, ids = platform.node, {each["id"].encode() for each in listed}
    assert set(node._listed_hosts) == ids and node.changelog.seq == 3 and log.asked == ["1"]
    kept = [call for call in calls if home_of(platform, call).name != "b"]
    gone = [call for call in calls if call not in kept]
    # a host that is gone keeps its sessions as long as it is reached under its address
    assert all(bool(end.of(call, MessageKind.RELEASE)) == successor for call in gone)
    assert not any(end.of(call, MessageKind.RELEASE) for call in kept) and not (
        hosts["a"].cuts or hosts["d"].cuts
    )
    before = {name: len(host.set_ups) for name, host in hosts.items()}
    new = [platform.ask(end) for _ in range(15)]
    platform.run(0.1)
    assert all(one_answer(end, call).kind == MessageKind.ANSWER for call in new)
    assert len(hosts["d"].set_ups) == before["d"] and len(hosts["a"].set_ups) > before["a"]
    assert (len(hosts["b"].set_ups) > before["b"]) == successor
    for call in kept if successor else calls:
        home_of(platform, call).end(call)
    platform.run(0.5)
    assert all(len(end.of(call, MessageKind.RELEASE)) == 1 for call in calls)
    log.tell(news_of(list_event(4, host_entry("d"))))  # the next change is one again
    platform.run(6)  # spare connections go after 4 s
    assert set(node._listed_hosts) == ids and set(node.hosts.pools) == ids


# Requests and answers in pieces


class InPieces:
    """A stream that passes on what is written a byte at a time, `step` µs apart."""

    def __init__(self, world, stream, step):
        self.world, self.stream, self.step, self.next = world, stream, step, 0

    def write(self, data):
        for at in range(len(data)):
            self.next = max(self.next, self.world.time) + self.step
            self.world.at(self.next, self.stream.write, data[at : at + 1])


def test_set_ups_and_all_a_host_says_may_come_byte_by_byte():
    """Fails where `Reader.feed` keeps no rest, and where a request's time counts from its connection's."""
    platform = Platform("a", settings=SETTINGS | {"caps": SETTINGS["caps"] | {"connectTimeout": SECOND}})
    host, take = platform.hosts["a"], platform.hosts["a"].take

    def slowly(end, message):
        if not isinstance(end.stream, InPieces):
            end.stream = InPieces(platform.world, end.stream, 4 * MS)
        take(end, message)

    host.take = slowly
    ends = [platform.viewer() for _ in range(4)]
    for end in ends:
        end.stream = InPieces(platform.world, end.stream, 18 * MS)
    calls = [platform.ask(end, "paid", ms=2000) for end in ends]
    last = ends[0].stream.next
    assert last - platform.now() > 1500 * MS  # and less than a message may take
    platform.world.run(last - MS)
    assert not host.set_ups
    platform.run(0.6)
    for end, call in zip(ends, calls, strict=True):
        assert one_answer(end, call).params[Param.DESCRIPTION] == b"from a"
    assert all(1900 < int(sent.params[Param.TIMEOUT]) <= 2000 for _, sent in host.set_ups)
    assert sorted(sent.call_id for _, sent in host.set_ups) == calls
    for call in calls:
        host.end(call)
    platform.run(0.5)
    assert all(len(end.of(call, MessageKind.RELEASE)) == 1 for end, call in zip(ends, calls, strict=True))
    assert not platform.node.calls.by_id and not any(end.closed_by for end in ends)


def test_bytes_that_a_real_loop_reads_one_by_one_make_the_same_set_up_and_answer():
    """Fails where `Reader.feed` keeps no rest."""
    bench, call = Bench(), numbered(7)
    viewer = bench.viewer()

    def dribble(sock, data):
        for at in range(len(data)):
            sock.sendall(data[at : at + 1])
            bench.turn()

    bench.until(lambda: bench.node.viewers.connections)
    dribble(viewer, set_up(call, "paid"))
    line = bench.accepted()
    assert bench.answers(line, 1)[0].kind == MessageKind.HEALTH_CHECK
    dribble(line, messages.encode_health_check_reply(bytes(8), True))
    assert [m.call_id for m in bench.answers(line, 1)] == [call]
    dribble(line, encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, b"here")]))
    assert [m.kind for m in bench.answers(viewer, 1)] == [MessageKind.ANSWER]


# Requests that nobody answered


class Count:
    """Every set-up that was sent, and its final answers: what the platform counts."""

    def __init__(self, platform):
        self.platform, self.asked, self.due, self.came, self.stands = platform, {}, {}, {}, set()

    def viewer(self):
        end = self.platform.viewer()
        end.on = self.hear
        return end

    def ask(self, end, service, ms):
        call = self.platform.ask(end, service, ms)
        self.asked[call] = self.platform.now()
        self.due[call] = self.asked[call] + (ms + 50) * MS  # the platform's slack
        self.came[call] = []
        return call

    def hear(self, end, message):
        if message.kind == MessageKind.ANSWER:
            self.stands.add(message.call_id)
        elif message.kind != MessageKind.RELEASE or message.call_id in self.stands:
            return  # the end of a session is no answer
        self.came[message.call_id].append(self.platform.now())

    def unanswered(self):
        return [call for call, due in self.due.items() if not any(at <= due for at in self.came[call])]

    def longest(self):
        return max(came[0] - self.asked[call] for call, came in self.came.items()) // MS

    def doubled(self):
        return [call for call, came in self.came.items() if len(came) > 1]


SOON = {"resets": 300, "closes": 300, "closes within its answer": 300, "accepts and says nothing": 1000}  # ms


def at_deadline(ms):
    """Answer so long after the time that the set-up tells."""

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
def test_every_set_up_has_one_answer_in_its_time_whatever_the_host_does(service, what):
    """Fails where `MediaHosts.set_up` sets no timer for `late` or none for `unconnected`, or a connection's
    end is not told of its set-up: what has ended is answered long before its deadline."""
    platform = Platform("a", "b", script=HOSTS[what])
    if HOSTS[what] is None:
        for host in platform.hosts.values():
            host.take = lambda end, message: None
    count = Count(platform)
    ends, left = [count.viewer() for _ in range(3)], platform.viewer()
    for _ in range(4):
        for end in ends:
            for ms in (150, 400, 1200, 2500):
                count.ask(end, service, ms)
        platform.ask(left, service)  # owed nothing once its connection is gone
        platform.run(0.08)
    left.stream.close()
    platform.run(4)
    assert len(count.due) == 48 and count.unanswered() == count.doubled() == []
    assert set(platform.node.calls.by_id) == count.stands and not platform.node.viewers.bytes_held
    assert not count.stands or what == "answers about the deadline"
    assert count.longest() < SOON.get(what, 2550)
    if what == "answers after the deadline":
        assert all(call in host.cuts for host in platform.hosts.values() for call in host.home)


def test_set_ups_that_nobody_answers_are_counted():
    """The count above sees what is missing: of a gateway that dies, and of answers that come too late."""
    platform = Platform("a", script=later(0.2))
    count = Count(platform)
    end = count.viewer()
    good = count.ask(end, "free", 2000)
    platform.run(0.3)
    lost = [count.ask(end, "paid", 500) for _ in range(3)]
    platform.run(0.1)
    platform.gateway.kill()
    platform.run(1)
    assert count.unanswered() == lost and count.came[good]
    count.hear(end, messages.Message(MessageKind.RELEASE, lost[0], {}))  # too late
    count.hear(end, messages.Message(MessageKind.ANSWER, good, {}))
    assert count.unanswered() == lost and count.doubled() == [good]
