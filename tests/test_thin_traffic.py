"""A gateway that sees a small part of a large fleet's sessions: its connections, what it believes."""

import random
import statistics

from helpers import T0, S, attempt_end, make_controller, report_use, request, server_entry, set_ups

from mintmast import interface as api

HOSTS = 40


def servers_used(**changes):
    """Play sixty sessions a second apart, ten seconds each, and give the servers they went to."""
    gateway, servers = (
        make_controller(HOSTS, cells=HOSTS, links_kb=400_000.0, uplink_kb=400_000.0, **changes),
        [],
    )
    for n in range(60):
        now = T0 + n * S
        if n >= 10:
            served = attempt_end(n - 10, servers[n - 10], api.Outcome.SERVED, complete=True)
            gateway.handle(now, served)
        asked = request(n, copies=12, home=n * 7 % HOSTS, hint=10 * S)
        servers.append(set_ups(gateway.handle(now, asked))[0].server)
        gateway.handle(now, api.Playing(n, 0, servers[n], 1000))
    return gateway, servers


def test_where_new_connections_are_priced_set_ups_go_to_few_servers_not_to_all():
    _, free = servers_used()
    _, priced = servers_used(handshake_cost=0.08, idle_connection_time=15 * S)
    assert len(set(free)) > 25
    assert len(set(priced)) < 0.6 * len(set(free))


def test_a_near_server_that_is_noted_as_full_is_left_all_the_same():
    gateway, servers = servers_used(handshake_cost=0.08, idle_connection_time=15 * S)
    now = T0 + 61 * S
    near = servers[-1]
    place = int(near[3])
    report_use(gateway, now, near, 1.2)
    chosen = set_ups(gateway.handle(now, request(900, home=place, copies=3)))[0].server
    assert chosen != near


def heard_of(seed, copies):
    """Give the average that a gateway believes in, the plain one of those it heard of, and the true one."""
    draw = random.Random(seed)
    uses = [draw.uniform(0.15, 0.95) for _ in range(200)]
    gateway = make_controller(200, cells=200, links_kb=2_000_000.0, uplink_kb=2_000_000.0)
    # a server is heard of where a session of this gateway's plays: in proportion to what it carries
    heard = set(draw.choices(range(200), uses, k=25))
    for number in heard:
        report_use(gateway, T0, server_entry(number).server, uses[number], 9000 + number)
    gateway.handle(T0 + S, request(1, copies=copies))
    gateway.handle(T0 + 2 * S, request(2, copies=copies))
    return gateway.mean_use, statistics.fmean(uses[number] for number in heard), statistics.fmean(uses)


def averages(copies):
    told = [heard_of(seed, copies) for seed in range(30)]
    return (statistics.fmean(each) for each in zip(*told, strict=True))


def test_the_average_of_servers_heard_is_not_that_of_the_busy_ones():
    believed, plain, true = averages(copies=4)
    assert plain - true > 0.07
    assert abs(believed - true) < 0.6 * (plain - true)


def test_where_every_server_holds_every_title_those_heard_were_chosen_and_count_as_they_are():
    believed, plain, _ = averages(copies=200)
    assert abs(believed - plain) < 0.01
