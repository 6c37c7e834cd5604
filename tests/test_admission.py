"""Admission: capacity test, order of candidates, rungs by the price of capacity, sessions found open."""

import math
from dataclasses import replace

import pytest
from helpers import (
    T0,
    S,
    action_names,
    attempt_end,
    make_controller,
    report_use,
    request,
    server_entry,
    set_ups,
)

from mintmast import decide
from mintmast import interface as api

SERVERS = [server_entry(n).server for n in range(4)]


def rung(actions):
    (found,) = [a.rung for a in actions if isinstance(a, api.SetRung)]
    return found


def test_without_reports_the_top_rung_is_granted():
    actions = make_controller().handle(T0, request(1))
    assert action_names(actions) == ["SetRung", "SetUp"] and rung(actions) == 3


def test_capacity_test_at_its_limit():
    limit = 10_000 * decide.MAX_UTILISATION
    for need, expected in ((limit - 200, 1), (limit - 199, 0)):
        gateway = make_controller(1)
        report_use(gateway, T0, SERVERS[0], need / 10_000)
        actions = gateway.handle(T0, request(1, best=0))
        assert len(set_ups(actions)) == expected
        assert expected or action_names(actions) == ["Refuse"]


def test_uplink_capacity_is_tested():
    gateway = make_controller(1, uplink_kb=5_000.0)
    report_use(gateway, T0, SERVERS[0], 0.5)
    assert action_names(gateway.handle(T0, request(1))) == ["Refuse"]


def test_refusal_has_retry_advice_only_if_advice_is_enabled():
    gateway = make_controller(0)
    assert gateway.handle(T0, request(1)) == [api.Refuse(1, 500_000)]
    assert make_controller(0, may_advise=False).handle(T0, request(1)) == [api.Refuse(1, 0)]


def test_only_holders_are_chosen_and_the_least_loaded_first():
    gateway = make_controller(4)
    for n, load in enumerate((0.5, 0.1, 0.3, 0.6)):
        report_use(gateway, T0, SERVERS[n], load, 9000 + n)
    assert set_ups(gateway.handle(T0, request(1)))[0].server == SERVERS[1]
    assert set_ups(gateway.handle(T0, request(2, home=2, copies=2)))[0].server == SERVERS[2]
    assert set_ups(gateway.handle(T0, request(3, home=3, copies=1, best=0)))[0].server == SERVERS[3]


def test_ties_are_broken_by_the_seeded_generator():
    picks = [set_ups(make_controller(4, seed=n).handle(T0, request(1)))[0].server for n in range(20)]
    assert len(set(picks)) > 1
    assert picks == [set_ups(make_controller(4, seed=n).handle(T0, request(1)))[0].server for n in range(20)]


def test_a_lower_rung_is_granted_if_the_top_does_not_fit():
    gateway = make_controller(1)
    report_use(gateway, T0, SERVERS[0], 0.8)
    assert 0 <= rung(gateway.handle(T0, request(1))) < 3


def test_a_step_worth_less_than_the_price_is_not_granted():
    gateway = make_controller(1)
    report_use(gateway, T0, SERVERS[0], 0.1)
    gateway.price_at, gateway.price = T0, (1.0, 1.0)
    assert rung(gateway.handle(T0, request(2, best=3))) == 0


def test_ended_sessions_release_their_charge():
    gateway = make_controller(1)
    server = gateway.servers[SERVERS[0]]
    gateway.handle(T0, request(1))
    assert server.link.charged_kb(T0) == 2000
    gateway.handle(T0 + S, attempt_end(1, SERVERS[0], api.Outcome.SERVED, complete=True))
    assert server.link.charged_kb(T0 + S) == 0


def test_charges_end_after_the_length_hint():
    gateway = make_controller(1)
    gateway.handle(T0, request(1, hint=10 * S))
    link = gateway.servers[SERVERS[0]].link
    assert link.charged_kb(T0 + 10 * S) == 2000
    gateway.handle(T0, request(2, hint=5 * S, best=0))
    assert link.charged_kb(T0 + 6 * S) == 2000  # the later, shorter one has left
    assert link.charged_kb(T0 + 11 * S) == 0


def test_old_reports_decay_to_the_average():
    gateway = make_controller(2)
    report_use(gateway, T0, SERVERS[0], 1.0)
    later = T0 + decide.NOTE_LIFETIME_US
    report_use(gateway, later, SERVERS[1], 0.2, 9001)
    assert gateway.servers[SERVERS[0]].link.demand_kb(later, 0.2) < 3000


def test_an_open_session_is_raised_when_its_link_is_reported():
    gateway = make_controller(1)
    gateway.handle(T0, api.SessionOpen(1, 1, 0, 5, 3, SERVERS[0], 90 * S))
    gateway.handle(T0, api.Note(1, SERVERS[0], api.NoteKind.RUNG, 0.0))
    actions = gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.08))
    assert rung(actions) == 3


def test_a_provisional_rung_is_reviewed_only_once():
    gateway = make_controller(1, instances=1)
    gateway.handle(T0, api.SessionOpen(1, 1, 0, 5, 3, SERVERS[0], 90 * S))
    gateway.handle(T0, api.Note(1, SERVERS[0], api.NoteKind.RUNG, 0.0))
    gateway.price_at = T0 + S  # the price is still 0, so only the capacity test limits the rung
    assert rung(gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.48))) == 1
    assert not gateway.handle(T0 + 20 * S, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.1))


@pytest.mark.parametrize("value", [math.nan, -1.0, math.inf, 1e30])
def test_invalid_load_values_are_ignored(value):
    gateway = make_controller(1)
    report_use(gateway, T0, SERVERS[0], 0.2)
    link = gateway.servers[SERVERS[0]].link
    gateway.handle(T0 + S, api.Note(9000, SERVERS[0], api.NoteKind.LINK, value))
    assert link.use == 0.2
    gateway.handle(T0 + S, api.Note(9000, SERVERS[0], api.NoteKind.RUNG, value))
    gateway.handle(T0 + S, api.Note(9000, SERVERS[0], api.NoteKind.DELIVERED, value))
    gateway.handle(
        T0 + S, attempt_end(77, SERVERS[0], api.Outcome.SERVED, complete=True, load=(value, value))
    )
    assert link.use == 0.2
    assert set_ups(gateway.handle(T0 + S, request(1)))


def test_short_delivery_lowers_rungs_once():
    gateway = make_controller(1)
    (_, set_up) = gateway.handle(T0, request(1))
    gateway.handle(T0, api.Playing(1, 0, set_up.server, 1000))
    short = api.Note(1, SERVERS[0], api.NoteKind.DELIVERED, 0.5)
    assert rung(gateway.handle(T0 + S, short)) < 3
    assert not gateway.handle(T0 + 2 * S, short)


def test_a_server_that_delivers_nothing_does_not_lower_rungs():
    gateway = make_controller(1)
    (_, set_up) = gateway.handle(T0, request(1))
    gateway.handle(T0, api.Playing(1, 0, set_up.server, 1000))
    assert not gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.DELIVERED, 0.0))


def test_short_delivery_at_two_servers_lowers_the_uplink_estimate():
    gateway = make_controller(2)
    report_use(gateway, T0, SERVERS[0], 0.5)
    report_use(gateway, T0, SERVERS[1], 0.5, 9001)
    configured_kb = gateway.uplinks[0].limit_kb
    gateway.handle(T0 + S, api.Note(9000, SERVERS[0], api.NoteKind.DELIVERED, 0.8))
    assert gateway.uplinks[0].limit_kb == configured_kb  # the cause may be the link of a single server
    gateway.handle(T0 + S, api.Note(9001, SERVERS[1], api.NoteKind.DELIVERED, 0.8))
    lowered_kb = gateway.uplinks[0].limit_kb
    assert 0.6 * configured_kb <= lowered_kb < configured_kb
    gateway.uplinks[0].limit_kb = 10_000.0
    later = T0 + S + decide.UPLINK_STEADY_US + 1
    report_use(gateway, later, SERVERS[0], 0.9)
    report_use(gateway, later, SERVERS[1], 0.9, 9001)
    assert gateway.uplinks[0].limit_kb > 10_000.0


def test_an_overloaded_link_does_not_make_its_uplink_look_full():
    gateway = make_controller(2)
    report_use(gateway, T0, SERVERS[0], 5.0)
    report_use(gateway, T0, SERVERS[1], 0.2, 9001)
    assert set_ups(gateway.handle(T0 + S, request(1, best=0)))[0].server == SERVERS[1]
    assert gateway.uplink_demand[0] < 14_000


def test_a_lowered_session_is_raised_when_capacity_returns():
    gateway = make_controller(1)
    report_use(gateway, T0, SERVERS[0], 0.92)
    actions = gateway.handle(T0, request(1))
    gateway.handle(T0, api.Playing(1, 0, SERVERS[0], 1000))
    cut = rung(actions)
    assert cut < 3
    gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.9))
    later = T0 + decide.RUNG_REVIEW_DELAY_US + S
    actions = gateway.handle(later, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.1))
    assert [a.rung > cut for a in actions if isinstance(a, api.SetRung) and a.request == 1] == [True]


def test_the_own_zone_is_preferred_only_if_crossing_has_a_cost():
    away = replace(server_entry(0), zone=1)
    for price, expected in ((0.02, SERVERS[1]), (0.0, SERVERS[0])):
        gateway = make_controller(2, cross_zone_cost=price)
        gateway.handle(T0, api.ServerList(api.ListKind.DELTA, 2, (away,)))
        report_use(gateway, T0, SERVERS[0], 0.1)
        report_use(gateway, T0, SERVERS[1], 0.2, 9001)
        assert set_ups(gateway.handle(T0, request(1, best=0)))[0].server == expected


@pytest.mark.parametrize("weight", [math.nan, math.inf, -3.0, 0.0])
def test_invalid_weights_are_tolerated(weight):
    gateway = make_controller(2, has_weights=True)
    gateway.handle(T0, api.ServerList(api.ListKind.DELTA, 2, (replace(server_entry(0), weight=weight),)))
    assert (
        math.isfinite(gateway.servers[SERVERS[0]].link.limit_kb)
        and gateway.servers[SERVERS[0]].link.limit_kb > 0
    )
    assert set_ups(gateway.handle(T0, request(1)))


def test_slightly_short_delivery_lowers_rungs_at_some_gateways_only():
    stepped = 0
    for seed in range(40):
        gateway = make_controller(1, seed=seed)
        gateway.handle(T0, request(1))
        gateway.handle(T0, api.Playing(1, 0, SERVERS[0], 1000))
        stepped += bool(gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.DELIVERED, 0.94)))
    assert 2 < stepped < 25  # if all did, half of the link would stay idle


def test_reviews_by_many_gateways_fill_the_link_without_overload():
    rate_kb = 0.0
    for seed in range(100):  # each has one of a hundred sessions of 200 kB/s on a link of 40,000 kB/s
        gateway = make_controller(1, seed=seed, instances=100, weight_kb=40_000.0)
        gateway.handle(T0, api.SessionOpen(1, 1, 0, 5, 3, SERVERS[0], 90 * S))
        gateway.handle(T0, api.Note(1, SERVERS[0], api.NoteKind.RUNG, 0.0))
        gateway.price_at = T0 + S  # the price is still 0
        gateway.handle(T0 + S, api.Note(1, SERVERS[0], api.NoteKind.LINK, 0.5))
        rate_kb += gateway.sessions[1].rate_kb
    assert 30_000 < rate_kb < 40_000


def test_averages_do_not_refuse_requests_that_servers_without_reports_can_hold():
    gateway = make_controller(4, uplink_kb=20_000.0)
    # with this use at all four servers, uplink demand would be 36,000 kB/s
    report_use(gateway, T0, SERVERS[0], 0.9)
    assert rung(gateway.handle(T0, request(1, home=1, copies=3))) == 0


def test_a_full_server_among_many_holders_is_not_chosen():
    chosen_full = 0
    for seed in range(30):
        gateway = make_controller(40, seed=seed, cells=0, racks=1, uplink_kb=400_000.0)
        report_use(gateway, T0, server_entry(3).server, 0.96)
        chosen_full += set_ups(gateway.handle(T0, request(1, best=0)))[0].server == server_entry(3).server
    assert chosen_full == 0


def test_a_draining_server_does_not_count_for_its_uplink():
    gateway = make_controller(2, uplink_kb=15_000.0)
    report_use(gateway, T0, SERVERS[0], 0.9)
    gateway.handle(
        T0 + S, api.ServerList(api.ListKind.DELTA, 2, (server_entry(0, api.ServerState.DRAINING),))
    )
    report_use(gateway, T0 + S, SERVERS[1], 0.1, 9001)
    assert rung(gateway.handle(T0 + 2 * S, request(1))) == 3


def test_the_pause_after_a_full_reply_grows_with_each_one():
    """Without the pause, eight gateways that try four full holders send five set-ups for each that runs."""
    c = make_controller(servers=1)
    pauses, now = [], T0
    for number in range(1, 5):
        assert set_ups(c.handle(now, request(number)))
        assert (
            action_names(c.handle(now, attempt_end(number, server_entry(0).server, api.Outcome.FULL)))[-1]
            == "Refuse"
        )
        gap = next(
            g for g in range(S // 2, 10 * S, S // 2) if sends_set_up(c, now + g, 100 * number + g // S)
        )
        pauses.append(gap)
        now += gap + S
    assert pauses == sorted(pauses) and pauses[0] <= S and pauses[-1] >= 4 * S


def sends_set_up(c, now, ref):
    """Request a session and end its attempt at once; return whether a set-up was sent."""
    went = set_ups(c.handle(now, request(ref)))
    if went:
        c.handle(now, attempt_end(ref, went[0].server, api.Outcome.NOT_SENT, complete=True))
    return bool(went)


def test_the_end_of_an_own_session_ends_the_pause_of_a_full_server():
    c = make_controller(servers=1)
    c.handle(T0, request(1))
    c.handle(T0, api.Playing(1, 0, server_entry(0).server, 1000))
    c.handle(T0 + 1, request(2))
    c.handle(T0 + 2, attempt_end(2, server_entry(0).server, api.Outcome.FULL))
    assert not set_ups(c.handle(T0 + 3, request(3)))
    c.handle(T0 + 4, attempt_end(1, server_entry(0).server, api.Outcome.SERVED, complete=True))
    assert set_ups(c.handle(T0 + 5, request(4)))
