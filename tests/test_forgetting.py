"""What is over is forgotten, and what is the request's fault is not laid on servers."""

from helpers import T0, S, action_names, attempt_end, make_controller, request, server_entry, set_ups

from mintmast import interface as api
from mintmast.interface import Outcome, ServerState


def test_servers_that_are_replaced_for_hours_leave_nothing_behind():
    gateway = make_controller(4)
    now = T0
    for version in range(2, 400):
        now += 5 * S
        old, new = (
            server_entry((version - 2) % 200, ServerState.GONE),
            server_entry((version + 2) % 200, started=now),
        )
        gateway.handle(now, api.ServerList(api.ListKind.DELTA, version, (old, new)))
    assert len(gateway.servers) < 20
    assert sum(map(len, gateway.by_cell.values())) == len(gateway.servers)


def test_a_server_gone_a_moment_ago_is_remembered_when_it_returns():
    gateway = make_controller(2)
    (first,) = set_ups(gateway.handle(T0, request(1)))
    gateway.handle(T0 + 1000, attempt_end(1, first.server, Outcome.RESET))
    number = first.server[3]
    gone = api.ServerList(api.ListKind.DELTA, 2, (server_entry(number, ServerState.GONE),))
    back = api.ServerList(api.ListKind.DELTA, 3, (server_entry(number),))
    gateway.handle(T0 + 2 * S, gone)
    gateway.handle(T0 + 20 * S, back)
    assert gateway.servers[first.server].restart_suspected_at == T0 + 1000


def test_sessions_that_come_and_go_without_notes_leave_no_charges_behind():
    gateway = make_controller(4)
    for number in range(3000):
        now = T0 + number * S // 10
        for sent_up in set_ups(gateway.handle(now, request(number, hint=S))):
            gateway.handle(now, api.Playing(number, 0, sent_up.server, 1000))
            gateway.handle(now + S // 20, attempt_end(number, sent_up.server, Outcome.SERVED, complete=True))
    pipes = [each.link for each in gateway.servers.values()] + gateway.uplinks
    assert max(len(pipe.charges) for pipe in pipes) < 100
    assert not gateway.retry_times and not gateway.sessions


def test_further_attempts_are_not_counted_where_no_budget_limits_them():
    gateway = make_controller(4)
    for number in range(20):
        now = T0 + number * 20 * S
        (first,) = set_ups(gateway.handle(now, request(number)))
        (second,) = set_ups(gateway.handle(now, attempt_end(number, first.server, Outcome.CONNECT_FAILED)))
        gateway.handle(now, api.Playing(number, 1, second.server, 1000))
        gateway.handle(now + S, attempt_end(number, second.server, Outcome.SERVED, 1, complete=True))
    assert not gateway.retry_times


def test_a_request_that_errs_wherever_it_goes_makes_no_server_suspect_and_no_demand():
    gateway = make_controller(4)
    actions = gateway.handle(T0, request(1))
    for attempt in range(4):
        (sent_up,) = set_ups(actions)
        actions = gateway.handle(T0 + attempt, attempt_end(1, sent_up.server, Outcome.ERROR, attempt))
    assert action_names(actions) == ["Refuse"]
    assert not any(each.failures or each.ejected_until for each in gateway.servers.values())
    assert not gateway.unserved


def test_a_server_that_errs_where_another_does_not_stays_suspect():
    gateway = make_controller(4)
    (first,) = set_ups(gateway.handle(T0, request(1)))
    (second,) = set_ups(gateway.handle(T0 + 1, attempt_end(1, first.server, Outcome.ERROR)))
    gateway.handle(T0 + 2, api.Playing(1, 1, second.server, 1000))
    assert gateway.servers[first.server].ejected_until > T0 + S
