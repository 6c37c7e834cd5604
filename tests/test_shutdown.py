"""The graceful shutdown of the platform's gateway, on an injected clock."""

import pytest
from platform_world import MS, SECOND, SETTINGS, Cause, MessageKind, Param, Platform, play, set_up, silent

from mintmast.decisions.calls.shutdown import ShutdownPlan

# the classes of the settings wait for 3 and 5 s, and the page counts 3 s at most
EARLIEST_KILL = int(3.7 * SECOND)


def test_a_shutdown_under_requests_that_go_on_answers_all_before_the_kill():
    platform = Platform("a", "b", script=silent)
    stopped_at, calls = [], []
    platform.node.on_stopped = lambda: stopped_at.append(platform.now())
    end = platform.viewer()
    sigterm_at = platform.now()
    platform.node.stop()
    while platform.now() < sigterm_at + EARLIEST_KILL and end.closed_by is None:
        calls += [platform.send_set_up(end, service, ms) for service, ms in (("paid", 3000), ("free", 5000))]
        platform.run(0.05)
    assert stopped_at and stopped_at[0] < sigterm_at + EARLIEST_KILL
    finals = [[m for m in end.messages_for(call) if m.kind == MessageKind.RELEASE] for call in calls]
    crossed = [number for number, found in enumerate(finals) if not found]
    assert all(len(found) <= 1 for found in finals) and all(number >= len(calls) - 2 for number in crossed)


@pytest.mark.parametrize(("longest", "kill_after"), [(500, 1200), (1000, 1700), (3000, 3700), (5000, 3700)])
def test_each_step_of_a_shutdown_has_a_deadline_before_the_earliest_kill(longest, kill_after):
    plan = ShutdownPlan.begin(SECOND, longest * MS)
    assert SECOND + 600 * MS <= plan.listen_until <= plan.answer_by < plan.close_by < plan.exit_by
    assert plan.listen_until <= plan.flush_until <= plan.close_by
    assert plan.exit_by <= plan.peers_close_by(plan.exit_by) < SECOND + kill_after * MS
    # what comes as late as the page has viewers send is taken, and waits until the deadline at the most
    last = SECOND + 600 * MS
    for target in (longest // 5, longest):
        taken = plan.time_for_request(last, longest * MS, target * MS)
        assert taken is not None and last + taken <= plan.answer_by
    assert plan.time_for_request(plan.answer_by - 99 * MS, longest * MS, 100 * MS) is None


def shut_down(script, service, ms):
    """Return a gateway whose shutdown began 0.1 s before a set-up, and the set-up's final message."""
    platform = Platform("a", script=script)
    end = platform.viewer()
    platform.node.stop()
    platform.run(0.1)
    call = platform.send_set_up(end, service, ms)
    platform.run(3.7)
    (final,) = end.messages_for(call)
    return platform, call, final


def test_a_set_up_whose_host_is_silent_through_a_shutdown_fails_and_is_cancelled_there():
    platform, call, final = shut_down(silent, "paid", 3000)
    assert final.cause == Cause.TEMPORARY_FAILURE
    host = platform.hosts["a"]
    assert [message.call_id for _, message in host.set_ups] == [call] and call in host.releases


def test_a_request_from_before_sigterm_that_would_outlast_the_kill_fails_in_time():
    services = [each | {"hardLimit": 5 * SECOND} for each in SETTINGS["services"]]
    platform = Platform("a", script=silent, settings=SETTINGS | {"services": services})
    end = platform.viewer()
    call = platform.send_set_up(end, "paid", 5000)
    platform.run(0.1)
    platform.node.stop()
    platform.run(3.39)
    assert not end.messages_for(call)
    platform.run(0.05)
    (final,) = end.messages_for(call)
    assert final.cause == Cause.TEMPORARY_FAILURE


def test_a_set_up_late_in_a_shutdown_is_refused_and_reaches_no_host():
    platform = Platform("a", script=silent)
    end = platform.viewer()
    platform.node.stop()
    platform.send_set_up(end, "paid", 3000)  # its silent host keeps the shutdown from ending
    platform.run(3)
    late = platform.send_set_up(end, "paid", 3000)
    platform.run(0.1)
    (final,) = end.messages_for(late)
    assert final.cause == Cause.SWITCHING_EQUIPMENT_CONGESTION
    assert late not in [message.call_id for _, message in platform.hosts["a"].set_ups]
    assert ("refused", {"call": late.hex(), "why": "the gateway is shutting down"}) in platform.log_lines


def test_a_set_up_during_a_shutdown_that_waits_is_served():
    platform = Platform("a", "b", script=silent)
    end = platform.viewer()
    platform.node.stop()
    platform.send_set_up(end, "paid", 3000)
    platform.run(1.5)
    for host in platform.hosts.values():
        host.script = play
    call = platform.send_set_up(end, "paid", 3000)
    platform.run(0.2)
    assert [message.kind for message in end.messages_for(call)] == [MessageKind.ANSWER]
    sent = [message for host in platform.hosts.values() for _, message in host.set_ups]
    (timeout,) = [int(message.text(Param.TIMEOUT)) for message in sent if message.call_id == call]
    assert timeout <= 3400 - 1500


def test_a_message_that_is_arriving_when_a_shutdown_could_end_is_answered():
    platform = Platform("a")
    end = platform.viewer()
    platform.node.stop()
    platform.run(0.8)
    data = set_up(b"12345678")
    for cut in range(0, len(data), len(data) // 4):
        end.stream.write(data[cut : cut + len(data) // 4])
        platform.run(0.1)
    assert [message.kind for message in end.messages_for(b"12345678")] == [MessageKind.ANSWER]
