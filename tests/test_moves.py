"""Tests moves: the state machine explored exhaustively, the planner's choices, drains during playback."""

import json

from helpers import S, settings
from world import FREE, PAID, SECOND, Small

from mintmast import interface as api
from mintmast.decisions.sessions import moves
from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.decisions.sessions.moves import (
    FINAL_STAGES,
    STAGES_OLD_MAY_PLAY,
    Action,
    MovePlanner,
    Signal,
    Stage,
)
from mintmast.http.client import CallFailure
from mintmast.interface import Effect
from mintmast.player import Player

T0 = 1000 * S


# The model: one gateway, the old and the new host, and a network that loses, delays and duplicates messages.
# State: (stage, old session lives, old epoch is fenced, new session lives, messages that may still arrive,
# lease has expired, gateway lives, new host lives, a place is held)


def successors(state):
    stage, old, fenced, new, net, over, gateway, host, held = state

    def signal(kind):
        later, acts = moves.transition_for(stage, kind)
        if (later, acts) == (stage, ()):
            return None
        sent, place = set(net), held
        if later is Stage.ENDING:
            place = True
        if later is Stage.SETTING_UP and stage is Stage.REPLACING:
            place = True
        for act in acts:
            if act is Action.SHORTEN:
                sent.add("short")
            elif act is Action.END:
                sent.add("end")
            elif act is Action.SET_UP:
                assert place or stage is Stage.REPLACING, "set up without a place"
                assert not old, "set up while the old session lives"
                sent.add("set-up")
                place = False
            elif act is Action.RELEASE:
                place = False
        return later, old, fenced, new, frozenset(sent), over, gateway, host, place

    if gateway:
        if stage is Stage.PLAYS and old:
            yield "grant", signal(Signal.GRANTED)
        yield "short lost", signal(Signal.NOT_SHORT)
        yield "drain back", signal(Signal.TAKEN_BACK)
        yield "overdue", signal(Signal.OVERDUE)
        yield "placed", signal(Signal.PLACED)
        yield "no room", signal(Signal.NO_ROOM)
        yield "set-up failed", signal(Signal.DOWN)
        if not old and not fenced:
            yield "left", signal(Signal.LEFT)  # it ended by itself, and the host reported it
        if over:
            yield "lease over", signal(Signal.LEASE_OVER)
        if "short ok" in net:
            yield "short", signal(Signal.SHORT)
        if "end ok" in net:
            yield "ended", signal(Signal.ENDED)
        if "old died" in net:
            yield "old died", signal(Signal.OLD_DIED)
        if "up" in net:
            yield "up", signal(Signal.UP)
        yield "gateway dies", (stage, old, fenced, new, net, over, False, host, False)
    # the hosts, whether or not the gateway lives; a message may arrive any number of times, or never
    if "short" in net and old:
        yield "short arrives", (*state[:4], net | {"short ok"}, *state[5:])
    if "end" in net:
        yield "end arrives", (stage, False, True, new, net | {"end ok"}, *state[5:])
    if "set-up" in net and host:
        yield "set-up arrives", (stage, old, fenced, True, net | {"up"}, *state[5:])
    if old:
        yield "clip ends", (stage, False, *state[2:])
        yield "old host dies", (stage, False, fenced, new, net | {"old died"}, *state[5:])
        # the lease expires at the host, but only if it is no longer renewed
        if not gateway or stage in (Stage.PREPARING, Stage.PLACING, Stage.ENDING, Stage.WAITING):
            yield "lease runs out", (stage, False, fenced, new, net, True, *state[6:])
    if not old and not over:
        yield "lease time passes", (stage, old, fenced, new, net, True, *state[6:])
    if host:
        yield "new host dies", (stage, old, fenced, False, net, over, gateway, False, held)


def test_every_state_of_a_move_has_at_most_one_live_session_and_can_end():
    start = (Stage.PLAYS, True, False, False, frozenset(), False, True, True, False)
    seen, front, edges = {start}, [start], {}
    while front:
        state = front.pop()
        for _, after in successors(state):
            if after is None:
                continue
            edges.setdefault(after, []).append(state)
            assert not (after[1] and after[3]), f"two live sessions: {state} to {after}"
            if after not in seen:
                seen.add(after)
                front.append(after)
    ends = [state for state in seen if state[0] in FINAL_STAGES or state[0] is Stage.PLAYS or not state[6]]
    can_end, front = set(ends), list(ends)
    while front:
        for before in edges.get(front.pop(), []):
            if before not in can_end:
                can_end.add(before)
                front.append(before)
    assert can_end == seen, "a move that cannot end"
    print(f"{len(seen)} states, {sum(map(len, edges.values()))} steps")
    assert len(seen) >= 400 and {state[0] for state in seen} == set(Stage)


def test_model_check_detects_transitions_that_set_up_too_early(monkeypatch):
    wrong = {**moves.TRANSITIONS, (Stage.ENDING, Signal.OVERDUE): (Stage.SETTING_UP, (Action.SET_UP,))}
    monkeypatch.setattr(moves, "TRANSITIONS", wrong)
    try:
        test_every_state_of_a_move_has_at_most_one_live_session_and_can_end()
    except AssertionError as error:
        assert "old session lives" in str(error) or "two live" in str(error)
    else:
        raise AssertionError("the model check does not detect the fault")


def test_no_transition_sets_up_before_the_old_session_has_certainly_ended():
    for (stage, signal), (after, acts) in moves.TRANSITIONS.items():
        if Action.SET_UP in acts:
            assert after not in STAGES_OLD_MAY_PLAY
            assert signal in (Signal.ENDED, Signal.OLD_DIED, Signal.LEASE_OVER) or stage is Stage.REPLACING


def service(effect=Effect.FREE, worth=1.0):
    return api.ServiceClass(effect, S, 3 * S, worth)


def test_planner_does_not_move_paid_sessions_short_buffers_or_clips_near_their_end():
    planner = MovePlanner(settings(), RetryBudget(None))
    cases = [
        (service(Effect.SINGLE_SHOT), 30 * S, 9 * S, "its class must not be set up again"),
        (service(Effect.GUARDED), 30 * S, 9 * S, "its class must not be set up again"),
        (service(), 3 * S, 9 * S, "it ends by itself"),
        (service(), 30 * S, 2 * S, "its buffer is too short"),
        (service(), 30 * S, 9 * S, ""),
        (service(), None, 9 * S, ""),
    ]
    for number, (kind, left, buffer, why) in enumerate(cases):
        assert planner.reason_to_stay(T0, b"h", number, kind, left, buffer) == why
    planner.set_draining(b"h", True, T0 + 60 * S)  # must be empty in a minute: sessions that end before stay
    assert planner.reason_to_stay(T0, b"h", 9, service(), 30 * S, 9 * S) == "it ends by itself"
    assert planner.reason_to_stay(T0, b"h", 9, service(), 90 * S, 9 * S) == ""


def test_planner_limits_concurrent_moves_prefers_the_longest_and_backs_off_without_capacity():
    planner = MovePlanner(settings(), RetryBudget(None))
    for number in range(moves.MAX_MOVES_PER_HOST):
        assert planner.reason_to_stay(T0, b"h", number, service(), 30 * S, 9 * S) == ""
        planner.begin_move(T0, b"h", number)
    assert planner.reason_to_stay(T0, b"h", 99, service(), 30 * S, 9 * S) == "others are moving"
    for number in range(moves.MAX_MOVES_PER_HOST - 1):
        planner.end_move(T0, b"h", number, Signal.UP)
    for number in range(100, 160):
        planner.reason_to_stay(T0, b"h", number, service(), 60 * S, 9 * S)
    assert planner.reason_to_stay(T0, b"h", 200, service(), 20 * S, 9 * S) == "others hold the drain longer"
    planner.end_move(T0, b"h", moves.MAX_MOVES_PER_HOST - 1, Signal.NO_ROOM)
    assert planner.reason_to_stay(T0, b"h", 100, service(), 60 * S, 9 * S) == "no room elsewhere"
    assert planner.reason_to_stay(T0 + moves.NO_ROOM_BACKOFF_US, b"h", 100, service(), 60 * S, 9 * S) == ""
    assert planner.moves_under_way == 0


def test_planner_keeps_moves_and_retries_within_the_retry_budget():
    budget = RetryBudget(api.AttemptBudget(10 * S, 2, 0.1))
    planner = MovePlanner(settings(), budget)
    for _ in range(10):
        budget.record_request(T0)
    budget.record_attempt(T0)
    moved = 0
    for number in range(20):
        if not planner.reason_to_stay(T0, b"h", number, service(), 30 * S, 9 * S):
            planner.begin_move(T0, b"h", number)
            budget.record_attempt(T0)  # as the book does when a place is held
            planner.end_move(T0, b"h", number, Signal.UP)
            moved += 1
    assert moved == 2  # 2 free and 0.1 of 10 requests, less the one that was resent
    assert not planner.reason_to_stay(T0 + 10 * S, b"h", 50, service(), 30 * S, 9 * S)


def long_clips(conf):
    for title in conf["titles"].values():
        title["seconds"] = 24.0
    conf["admin"] = {"host": "gw0", "port": 9900, "token": "operators"}


def start_player(small, kind, title="gate-1"):
    reports = []
    token = small.stage.token(f"viewer-{kind}", "north-tv", kind, 3, f"k-{kind}")
    url = f"http://gw0:8080/dash/{title}/manifest.mpd"
    headers = [("Authorization", f"Bearer {token}")]
    Player(small.stage.viewers, small.stage.client, url, headers, 3 * SECOND, reports.append)
    small.run(6)
    name = next(
        h for h in small.stage.hosts.values() if any(s.paid == (kind == PAID) for s in h.sessions.values())
    )
    return reports, name


def finish(small, reports):
    small.run(40)
    return reports[0]


def test_a_free_viewer_leaves_a_draining_host_without_a_gap_and_a_paid_one_stays():
    small = Small(change=long_clips)
    free, host = start_player(small, FREE)
    paid, other = start_player(small, PAID)
    host.drain()
    other.drain()
    report, stayed = finish(small, free), finish(small, paid)
    assert report.whole and report.moves == 1 and report.gaps == 0 and report.host != host.name
    assert stayed.whole and stayed.moves == 0 and stayed.host == other.name
    assert len([row for row in small.seen("ran") if row["paid"]]) == 1
    assert small.stage.gateways[0].core.book.moves.counts["moved"] == 1
    assert not any(each.sessions for each in small.stage.hosts.values())


def test_move_waits_for_the_lease_without_a_gap_if_the_termination_reply_is_lost():
    small = Small(change=long_clips)
    free, host = start_player(small, FREE)
    host.lose_ends = 1.0
    host.draw = lambda: 0.5
    host.drain()
    report = finish(small, free)
    stages = [fields["after"] for event, fields in small.lines if event == "move_moved"]
    assert report.whole and report.moves == 1 and report.gaps == 0
    assert stages == ["setting up"]
    over = next(row for row in small.seen("session_over") if row["why"] == "ended by its gateway")
    moved = next(row for row in small.seen("ran") if row["came_from"])
    assert moved["at"] - over["at"] > SECOND  # the move waited for the lease to expire


def test_session_stays_at_a_draining_host_if_no_other_host_has_capacity():
    small = Small(hosts=2, change=long_clips)
    free, host = start_player(small, FREE)
    for each in small.stage.hosts.values():
        each.drain()
    report = finish(small, free)
    assert report.whole and report.moves == 0 and report.host == host.name and report.gaps == 0


def test_crash_of_the_new_host_during_a_move_costs_another_attempt_but_no_gap():
    small = Small(change=long_clips)
    free, host = start_player(small, FREE)
    for each in small.stage.hosts.values():
        each.slow = 250_000
    host.drain()
    for _ in range(2000):
        small.run(0.002)
        came = [row for row in small.seen("set_up_came") if row["host"] != host.name]
        if came:
            break
    number = int(came[0]["host"].removeprefix("host").partition(":")[0])
    small.stage.kill_host(number)
    report = finish(small, free)
    assert report.whole and report.moves == 1 and report.gaps == 0


def test_drain_revoked_during_a_move_leaves_the_session_playing():
    small = Small(change=long_clips)
    free, host = start_player(small, FREE)
    host.drain()
    small.run(0.002)
    host.drain(False)
    report = finish(small, free)
    assert report.whole and report.gaps == 0
    assert not any(each.sessions for each in small.stage.hosts.values())


def test_crash_of_the_gateway_during_a_move_never_leaves_two_sessions():
    small = Small(change=long_clips)
    free, host = start_player(small, FREE)
    host.lose_ends = 1.0
    host.draw = lambda: 0.5
    host.drain()
    while not any(row["why"] == "ended by its gateway" for row in small.seen("session_over")):
        small.run(0.05)
    small.stage.kill_gateway(0)
    small.run(1)
    small.stage.start_gateway(0)
    small.run(30)
    live = sum(len(each.sessions) for each in small.stage.hosts.values())
    assert live == 0 and len(small.seen("ran")) == 1 and not free[0].whole


def call_admin(small, body, token="operators", path="/v1/drains", method="POST"):
    replies = []
    until = small.stage.now() + SECOND
    headers = [("Authorization", f"Bearer {token}")]
    data = json.dumps(body).encode()
    small.stage.client.call(("gw0", 9900), method, path, replies.append, headers, data, until)
    small.run(0.3)
    return replies[0]


def test_operators_order_drains_and_see_which_sessions_delay_them():
    small = Small(change=long_clips)
    paid, host = start_player(small, PAID)
    assert call_admin(small, {"host": host.name}, token="wrong").status == 401
    assert call_admin(small, {"host": "nowhere:1"}).status == 404
    assert call_admin(small, {"hots": 1}).status == 400
    assert call_admin(small, {"host": host.name}).status == 200
    small.run(4)
    told = json.loads(call_admin(small, {}, path="/v1/moves", method="GET").body)["draining"]
    assert list(told) == [host.name] and told[host.name]["sessions"] == 1
    assert list(told[host.name]["held_by"].values()) == ["its class must not be set up again"]
    for number in range(12):  # no new session is placed there
        small.manifest(FREE, key=f"n{number}")
    small.run(1)
    assert {row["host"] for row in small.seen("ran")[1:]}.isdisjoint({host.name})
    assert json.loads(call_admin(small, {"host": host.name, "on": False}).body)["draining"] == {}
    assert finish(small, paid).whole


def test_steering_rejects_invalid_tokens_and_unknown_sessions():
    small = Small(hosts=2, change=long_clips)
    for target, status in (("/dash/steer", 401), ("/dash/steer?token=x", 401)):
        replies, _ = small.get(target)
        small.run(0.2)
        assert not isinstance(replies[0], CallFailure) and replies[0].status == status
    sessions = small.stage.gateways[0].dash.sessions
    token = sessions.sign("gw0-1-99", "gate-1", "host0:9000", 3, 1, small.stage.wall() + 60)
    replies, _ = small.get(f"/dash/steer?token={token}&CMCD=bl%3D8000")
    small.run(0.2)
    assert replies[0].status == 410
