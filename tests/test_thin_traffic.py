"""A gateway with a small share of a large fleet's sessions: its connections and its estimate of use."""

import random
import statistics

from helpers import T0, S, attempt_end, make_controller, report_use, request, server_entry, set_ups

from mintmast import interface as api

HOSTS = 40


def servers_used(**changes):
    """Play sixty sessions of ten seconds, one second apart; return the gateway and the servers chosen."""
    gateway = make_controller(HOSTS, cells=HOSTS, links_kb=400_000.0, uplink_kb=400_000.0, **changes)
    servers = []
    for n in range(60):
        now = T0 + n * S
        if n >= 10:
            served = attempt_end(n - 10, servers[n - 10], api.Outcome.SERVED, complete=True)
            gateway.handle(now, served)
        event = request(n, copies=12, home=n * 7 % HOSTS, hint=10 * S)
        servers.append(set_ups(gateway.handle(now, event))[0].server)
        gateway.handle(now, api.Playing(n, 0, servers[n], 1000))
    return gateway, servers


def test_with_a_handshake_cost_set_ups_go_to_few_servers():
    _, free = servers_used()
    _, priced = servers_used(handshake_cost=0.08, idle_connection_time=15 * S)
    assert len(set(free)) > 25
    assert len(set(priced)) < 0.6 * len(set(free))


def test_a_connected_server_that_is_reported_full_is_not_chosen():
    gateway, servers = servers_used(handshake_cost=0.08, idle_connection_time=15 * S)
    now = T0 + 61 * S
    connected = servers[-1]
    cell = int(connected[3])
    report_use(gateway, now, connected, 1.2)
    chosen = set_ups(gateway.handle(now, request(900, home=cell, copies=3)))[0].server
    assert chosen != connected


def estimate_mean_use(seed, copies):
    """Return a gateway's estimate of the mean use, the plain mean of its reports, and the true mean."""
    draw = random.Random(seed)
    uses = [draw.uniform(0.15, 0.95) for _ in range(200)]
    gateway = make_controller(200, cells=200, links_kb=2_000_000.0, uplink_kb=2_000_000.0)
    # a server is reported where a session of this gateway plays, in proportion to the server's load
    reported = set(draw.choices(range(200), uses, k=25))
    for number in reported:
        report_use(gateway, T0, server_entry(number).server, uses[number], 9000 + number)
    gateway.handle(T0 + S, request(1, copies=copies))
    gateway.handle(T0 + 2 * S, request(2, copies=copies))
    return gateway.mean_use, statistics.fmean(uses[number] for number in reported), statistics.fmean(uses)


def averages(copies):
    estimates = [estimate_mean_use(seed, copies) for seed in range(30)]
    return (statistics.fmean(each) for each in zip(*estimates, strict=True))


def test_the_mean_use_corrects_for_the_bias_towards_busy_servers():
    estimated, plain, true = averages(copies=4)
    assert plain - true > 0.07
    assert abs(estimated - true) < 0.6 * (plain - true)


def test_the_mean_use_is_uncorrected_if_every_server_holds_every_title():
    estimated, plain, _ = averages(copies=200)
    assert abs(estimated - plain) < 0.01
