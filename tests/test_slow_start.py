"""Slow start over the fleet: many gateways' modules against one count of what a cold host gets."""

import random
from bisect import bisect_left

import pytest
from helpers import settings

from mintmast import interface as api
from mintmast.decide import Controller

S = 1_000_000
MS = 1000
BORN = 100 * S  # when the host's process started
COLD, FALL, STREAMS, MULTIPLE, FROM = 8 * S, 1_500_000, 90, 2.5, 0.5
HOST = b"box-01"
CONNECT = 250 * MS  # the longest that a set-up may wait for its connection


def allowed(at):
    """What the settings allow in a window that begins at `at`."""
    warmth = FROM + (1 - FROM) * min(1.0, max(0, at - BORN) / COLD)
    return MULTIPLE * STREAMS / COLD * warmth * FALL


class Gateway:
    """One process of the fleet; each start forgets all, and knows the host once it has heard the list."""

    def __init__(self, fleet, number, of, seed):
        self.fleet, self.number, self.seed = fleet, number, seed
        self.settings = settings(
            instance=number, instances=of, warm_up=COLD, warm_up_from=FROM, overload_window=FALL,
            overload_factor=MULTIPLE,
            kind_streams=(STREAMS,), cells=0, links_kb=1e9, weight_kb=1e9, connect_time=CONNECT,
        )  # fmt: skip
        self.lives = 0

    def start(self, now, known=True):
        self.lives += 1
        self.module = Controller(self.settings, self.seed + self.lives)
        self.module.handle(now, api.Started())
        self.asked = 0
        if known:
            self.hear(now)

    def hear(self, now, born=BORN):
        entry = api.ListEntry(HOST, api.ServerState.READY, born, 0, 0, 0, 1.0)
        self.module.handle(now, api.ServerList(api.ListKind.FULL, 1, (entry,)))

    def ask(self, now):
        self.asked += 1
        request = api.SessionRequest(self.asked, 1, 0, 5, 2 * S, 0, 1, 0)
        for action in self.module.handle(now, request):
            if isinstance(action, api.SetUp):
                self.fleet.send(now)
                took = api.Playing(self.asked, 0, HOST, 0)
                self.module.handle(now, took)


class Fleet:
    """Gateways that all get more than the host can bear, and what it gets in every window."""

    def __init__(self, count, seed, late=0):
        self.draw, self.late, self.sends = random.Random(seed), late, []  # late: µs, in every other 0.8 s
        self.gateways = [Gateway(self, number, count, seed * 1000) for number in range(count)]

    def start(self):
        """Start all gateways long before the host."""
        for gateway in self.gateways:
            gateway.start(BORN - 60 * S)

    def send(self, now):
        self.sends.append(now + self.late * (now // (800 * MS) % 2))

    def play(self, since, until, each, between=lambda now: None):
        """Let every gateway be asked `each` times a second, in bursts as they come."""
        for now in range(since, until, 10 * MS):
            between(now)
            for gateway in self.gateways:
                for _ in range(int(each / 100 + self.draw.random())):
                    gateway.ask(now + self.draw.randrange(10 * MS))

    def worst(self):
        """Give how far the fullest window is above its bound, N + 2 * root of N + 2; under 0 is well."""
        times = sorted(self.sends)
        over = []
        for place, begin in enumerate(times):
            if begin < BORN + COLD:
                count = bisect_left(times, begin + FALL) - place
                budget = allowed(begin)
                over.append(count - (budget + 2 * budget**0.5 + 2))
        return max(over)


SIZES = (2, 20, 30)
PLAYED, ASKED = 4 * S, 400  # µs, and requests a second of all together: many times what the host may get


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_all_together_keep_the_pace_at_any_phase_of_the_warm_up(count, seed):
    fleet = Fleet(count, seed)
    fleet.start()
    fleet.play(BORN, BORN + PLAYED, ASKED / count)
    assert fleet.worst() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_restart_inside_the_window_and_forget_what_they_sent_keep_it_too(count, seed):
    fleet = Fleet(count, seed)
    fleet.start()

    def restart(now):
        if (now - BORN) % (1300 * MS) == 600 * MS:
            for gateway in fleet.draw.sample(fleet.gateways, count * 7 // 10):
                gateway.start(now)

    fleet.play(BORN, BORN + PLAYED, ASKED / count, restart)
    assert fleet.worst() <= 0 and len(fleet.sends) > 20


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("at", [300 * MS, 800 * MS, 1300 * MS])
def test_old_and_new_processes_of_one_name_that_overlap_keep_it_too(count, seed, at):
    """All are replaced at once; the old ones are asked for 0.9 s more, the new ones were handed sessions."""
    fleet, ends = Fleet(count, seed), []
    fleet.start()

    def replace(now):
        for old in [old for old, until in ends if until <= now]:
            ends[:] = [each for each in ends if each[0] is not old]
            fleet.gateways.remove(old)
        for old in list(fleet.gateways) if now == BORN + at else ():
            new = Gateway(fleet, old.number, count, seed + 77 * old.number)
            new.start(now)
            session = api.SessionOpen(10**6, 1, 0, 5, 0, HOST)
            new.module.handle(now, session)
            fleet.gateways.append(new)
            ends.append((old, now + 900 * MS))

    fleet.play(BORN, BORN + PLAYED, ASKED / count, replace)
    assert fleet.worst() <= 0 and len(fleet.sends) > 40


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_set_ups_that_wait_for_a_connection_and_leave_later_keep_it_too(count, seed):
    fleet = Fleet(count, seed, late=CONNECT)
    fleet.start()
    fleet.play(BORN, BORN + PLAYED, ASKED / count)
    assert fleet.worst() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_have_not_heard_of_the_host_yet_make_no_difference(count, seed):
    fleet = Fleet(count, seed)
    for place, gateway in enumerate(fleet.gateways):
        gateway.start(BORN - 60 * S, known=place % 2 == 0)

    def hear(now):
        if now == BORN + 2 * S:
            for gateway in fleet.gateways[1::2]:
                gateway.hear(now)

    fleet.play(BORN, BORN + PLAYED, ASKED / count, hear)
    assert fleet.worst() <= 0 and len(fleet.sends) > 50


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_a_host_that_returns_under_its_old_id_is_cold_for_all_that_knew_it_warm(count, seed):
    """Busy until it died, 0.4 s before it is back; its new start is told by the list."""
    fleet = Fleet(count, seed)
    for gateway in fleet.gateways:
        gateway.start(BORN - 60 * S, known=False)
        gateway.hear(BORN - 60 * S, 0)
    fleet.play(BORN - 2 * S, BORN - 400 * MS, ASKED / count)
    warm = len(fleet.sends)

    def hear(now):
        if now == BORN:
            for gateway in fleet.gateways:
                gateway.hear(now)

    fleet.sends.clear()
    fleet.play(BORN, BORN + PLAYED, ASKED / count, hear)
    assert warm > 400 and fleet.worst() <= 0 and len(fleet.sends) > 40
