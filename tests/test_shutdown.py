"""The graceful shutdown of the platform's gateway, on an injected clock."""

from platform_world import SECOND, MessageKind, Platform, silent

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
