"""Slow start over a fleet: many gateways' controllers and the set-ups that one cold host gets from all."""

import random
from bisect import bisect_left

import pytest
from helpers import settings

from mintmast import interface as api
from mintmast.decide import Controller

S = 1_000_000
MS = 1000
HOST_START = 100 * S  # start time of the host's process
WARM_UP, WINDOW, STREAMS, MULTIPLE, WARM_UP_FROM = 8 * S, 1_500_000, 90, 2.5, 0.5
HOST = b"box-01"
CONNECT_TIME = 250 * MS  # the longest that a set-up may wait for its connection


def window_budget(at):
    """Return the set-ups that the settings allow in a window that begins at `at`."""
    warmth = WARM_UP_FROM + (1 - WARM_UP_FROM) * min(1.0, max(0, at - HOST_START) / WARM_UP)
    return MULTIPLE * STREAMS / WARM_UP * warmth * WINDOW


class Gateway:
    """A gateway process; a restart loses all state, and the host is known once the list was received."""

    def __init__(self, fleet, number, count, seed):
        self.fleet, self.number, self.seed = fleet, number, seed
        self.settings = settings(
            instance=number, instances=count, warm_up=WARM_UP, warm_up_from=WARM_UP_FROM,
            overload_window=WINDOW, overload_factor=MULTIPLE, kind_streams=(STREAMS,), cells=0,
            links_kb=1e9, weight_kb=1e9, connect_time=CONNECT_TIME,
        )  # fmt: skip
        self.generation = 0

    def start(self, now, known=True):
        self.generation += 1
        self.controller = Controller(self.settings, self.seed + self.generation)
        self.controller.handle(now, api.Started())
        self.request_count = 0
        if known:
            self.receive_list(now)

    def receive_list(self, now, host_start=HOST_START):
        entry = api.ListEntry(HOST, api.ServerState.READY, host_start, 0, 0, 0, 1.0)
        self.controller.handle(now, api.ServerList(api.ListKind.FULL, 1, (entry,)))

    def request_session(self, now):
        self.request_count += 1
        request = api.SessionRequest(self.request_count, 1, 0, 5, 2 * S, 0, 1, 0)
        for action in self.controller.handle(now, request):
            if isinstance(action, api.SetUp):
                self.fleet.send(now)
                playing = api.Playing(self.request_count, 0, HOST, 0)
                self.controller.handle(now, playing)


class Fleet:
    """Gateways that get more requests than the host can handle, and a record of the host's set-ups."""

    def __init__(self, count, seed, send_delay=0):
        self.send_delay = send_delay  # µs, applied in every other 0.8 s
        self.draw, self.sends = random.Random(seed), []
        self.gateways = [Gateway(self, number, count, seed * 1000) for number in range(count)]

    def start(self):
        """Start all gateways long before the host starts."""
        for gateway in self.gateways:
            gateway.start(HOST_START - 60 * S)

    def send(self, now):
        self.sends.append(now + self.send_delay * (now // (800 * MS) % 2))

    def send_requests(self, since, until, each, between=lambda now: None):
        """Send `each` requests per second to every gateway at random times."""
        for now in range(since, until, 10 * MS):
            between(now)
            for gateway in self.gateways:
                for _ in range(int(each / 100 + self.draw.random())):
                    gateway.request_session(now + self.draw.randrange(10 * MS))

    def largest_excess(self):
        """Return the largest excess over the bound N + 2 * sqrt(N) + 2 of a window; 0 or less if it holds."""
        times = sorted(self.sends)
        excesses = []
        for place, begin in enumerate(times):
            if begin < HOST_START + WARM_UP:
                count = bisect_left(times, begin + WINDOW) - place
                budget = window_budget(begin)
                excesses.append(count - (budget + 2 * budget**0.5 + 2))
        return max(excesses)


SIZES = (2, 20, 30)
DURATION, REQUESTS_PER_S = 4 * S, 400  # µs, and requests per second in total: many times the host's budget


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_all_gateways_together_keep_the_budget_during_the_warm_up(count, seed):
    fleet = Fleet(count, seed)
    fleet.start()
    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_restart_within_a_window_keep_the_budget(count, seed):
    fleet = Fleet(count, seed)
    fleet.start()

    def restart(now):
        if (now - HOST_START) % (1300 * MS) == 600 * MS:
            for gateway in fleet.draw.sample(fleet.gateways, count * 7 // 10):
                gateway.start(now)

    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count, restart)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 20


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("at", [300 * MS, 800 * MS, 1300 * MS])
def test_overlapping_processes_of_one_gateway_keep_the_budget(count, seed, at):
    """All are replaced at once; the old get requests for 0.9 s more, the new were handed over sessions."""
    fleet, ends = Fleet(count, seed), []
    fleet.start()

    def replace(now):
        for old in [old for old, until in ends if until <= now]:
            ends[:] = [each for each in ends if each[0] is not old]
            fleet.gateways.remove(old)
        for old in list(fleet.gateways) if now == HOST_START + at else ():
            new = Gateway(fleet, old.number, count, seed + 77 * old.number)
            new.start(now)
            session = api.SessionOpen(10**6, 1, 0, 5, 0, HOST)
            new.controller.handle(now, session)
            fleet.gateways.append(new)
            ends.append((old, now + 900 * MS))

    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count, replace)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 40


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_set_ups_delayed_by_connecting_keep_the_budget(count, seed):
    fleet = Fleet(count, seed, send_delay=CONNECT_TIME)
    fleet.start()
    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_do_not_have_the_host_in_their_list_yet_keep_the_budget(count, seed):
    fleet = Fleet(count, seed)
    for place, gateway in enumerate(fleet.gateways):
        gateway.start(HOST_START - 60 * S, known=place % 2 == 0)

    def update_lists(now):
        if now == HOST_START + 2 * S:
            for gateway in fleet.gateways[1::2]:
                gateway.receive_list(now)

    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count, update_lists)
    assert fleet.largest_excess() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_a_restarted_host_with_the_same_id_gets_a_slow_start(count, seed):
    """The host is busy until it dies, returns after 0.4 s, and the list has its new start time."""
    fleet = Fleet(count, seed)
    for gateway in fleet.gateways:
        gateway.start(HOST_START - 60 * S, known=False)
        gateway.receive_list(HOST_START - 60 * S, 0)
    fleet.send_requests(HOST_START - 2 * S, HOST_START - 400 * MS, REQUESTS_PER_S / count)
    warm = len(fleet.sends)

    def update_lists(now):
        if now == HOST_START:
            for gateway in fleet.gateways:
                gateway.receive_list(now)

    fleet.sends.clear()
    fleet.send_requests(HOST_START, HOST_START + DURATION, REQUESTS_PER_S / count, update_lists)
    assert warm > 400 and fleet.largest_excess() <= 0 and len(fleet.sends) > 40
