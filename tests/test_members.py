"""Membership: the order of statuses, a model check, hard cases on virtual time, mutations, and traffic."""

import functools
import itertools
import operator
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintmast.decisions.gateways import member_status, members
from mintmast.decisions.gateways.gossip_messages import (
    GossipKind,
    GossipMessage,
    GossipWithDigest,
    MemberUpdate,
    ReplayWindow,
    hash_status,
)
from mintmast.decisions.gateways.member_status import (
    MEMBER_POLICIES,
    Liveness,
    MemberState,
    MemberStatus,
    apply_refusal,
    count_live,
    merge_status,
    refute,
)
from mintmast.decisions.gateways.members import Members
from mintmast.decisions.gateways.membership_types import ForgetMember, GossipReceived, PathState
from mintmast.lab.crowd import SECOND, Audit, Crowd, weather

STATUSES = st.builds(MemberStatus, st.integers(0, 3), st.integers(0, 3), st.sampled_from(MemberState))
# seconds after the last fault in which all views must agree: a round of probes of five gateways, a suspicion,
# its refutation, and as much again for the health penalty
SETTLE_SECONDS = 10


@given(st.lists(STATUSES, min_size=1, max_size=6), st.randoms())
def test_merge_ignores_order_and_repetition(statuses, rng):
    again = statuses + rng.choices(statuses, k=4)
    rng.shuffle(again)
    results = []
    for order in (statuses, again):
        status = MemberStatus()
        for each in order:
            status = merge_status(status, each)
        results.append(status)
    assert results[0] == results[1]


@given(STATUSES, st.integers(1, 3))
def test_refutation_outranks_reports_about_a_live_generation(reported, generation):
    own = refute(MemberStatus(generation, 0, MemberState.ALIVE), reported)
    if reported.generation <= generation:
        assert merge_status(own, reported) == own and own.state is MemberState.ALIVE


@given(st.lists(st.integers(1, 200), max_size=300))
def test_replay_window_accepts_no_message_twice(numbers):
    window, seen = ReplayWindow(), set()
    for each in numbers:
        accepted = window.accept(7, each)
        assert not (accepted and each in seen)
        if accepted:
            seen.add(each)
    assert window.accept(8, 1) and not window.accept(7, 10**6)


# The model: observers A and B, subject X. Every update ever sent may arrive at any time, any number of times,
# or never; X may be paused, may die and start again once; a refused connection may be reported late. The
# steps of the observers are those of `Members`, with the functions that it uses. One observer may restart and
# know nothing. Updates about one subject never affect what is known about another, and a pause of an observer
# only removes steps. So three members, each of them both observer and subject, cannot reach more states per
# subject than this model has. State: X (generation, incarnation, mode), what A and B hold (status, observers
# that hear nothing), refusals on the way to each (the generation that was known), all updates ever sent.
ALIVE = MemberStatus(1, 0, MemberState.ALIVE)


def steps(state, max_incarnation):
    (generation, incarnation, mode, restarts), held, refusals, updates = state
    own = MemberStatus(generation, incarnation, MemberState.ALIVE)
    if mode == "up":
        yield (generation, incarnation, "stopped", restarts), held, refusals, updates
        yield (generation, incarnation, "down", restarts), held, refusals, updates
        for update in updates:
            after = refute(own, update)
            if after != own and after.incarnation <= max_incarnation:
                yield (generation, after.incarnation, mode, restarts), held, refusals, updates | {after}
    elif mode == "stopped":
        yield (generation, incarnation, "up", restarts), held, refusals, updates
        yield (generation, incarnation, "down", restarts), held, refusals, updates
    elif generation == 1:
        again = MemberStatus(2, 0, MemberState.ALIVE)
        yield (2, 0, "up", restarts), held, refusals, updates | {again}
    for index, (known, observers) in enumerate(held):

        def put(update, observers_after, refusals=refusals, index=index):
            return (
                (generation, incarnation, mode, restarts),
                held[:index] + ((update, observers_after),) + held[index + 1 :],
                refusals,
                updates | {update},
            )

        if restarts:
            empty = held[:index] + ((MemberStatus(), frozenset()),) + held[index + 1 :]
            none = refusals[:index] + (None,) + refusals[index + 1 :]
            yield (generation, incarnation, mode, 0), empty, none, updates
        for update in updates:
            if merge_status(known, update) != known:
                yield put(update, frozenset("?") if update.state is MemberState.SUSPECTED else frozenset())
        suspected = MemberStatus(known.generation, known.incarnation, MemberState.SUSPECTED)
        if known.generation and merge_status(known, suspected) == suspected and "me" not in observers:
            yield put(suspected, (observers if known == suspected else frozenset()) | {"me"})
        if known == suspected == held[1 - index][0] and "me" in held[1 - index][1]:
            yield put(suspected, observers | {"the other"})
        if known == suspected and len(observers) >= 2:
            yield put(MemberStatus(known.generation, known.incarnation, MemberState.UNREACHABLE), frozenset())
        if mode == "down" and refusals[index] is None and known.generation:
            yield (
                (generation, incarnation, mode, restarts),
                held,
                refusals[:index] + (known.generation,) + refusals[index + 1 :],
                updates,
            )
        if refusals[index] is not None:
            after = refusals[:index] + (None,) + refusals[index + 1 :]
            yield (generation, incarnation, mode, restarts), held, after, updates
            if apply_refusal(known, refusals[index]) != known:
                yield put(apply_refusal(known, refusals[index]), frozenset(), after)


def canonical_state(state):
    """Remove updates that can no longer change anything, whenever they arrive."""
    (generation, incarnation, mode, restarts), held, refusals, updates = state
    least = min([known for known, _ in held] + [MemberStatus(generation, incarnation, MemberState.ALIVE)])
    alike = sorted(zip(held, refusals, strict=True), key=repr)  # the observers are interchangeable
    held, refusals = zip(*alike, strict=True)
    return (
        (generation, incarnation, mode, restarts),
        held,
        refusals,
        frozenset(update for update in updates if update > least),
    )


def walk(max_incarnation=1, restarts=1):
    """Visit all states up to an incarnation, with restarts of the observers."""
    first = (1, 0, "up", restarts), ((ALIVE, frozenset()),) * 2, (None, None), frozenset({ALIVE})
    seen, stack = {first}, [first]
    while stack:
        state = stack.pop()
        (generation, incarnation, mode, _), held, _, updates = state
        for known, _ in held:
            is_dead = known.state is MemberState.DEAD
            alive = known.generation == generation and mode != "down"
            assert not (is_dead and alive), f"dead, but lives: {state}"
        # once every update has arrived, all know that it is alive
        if mode == "up" and incarnation < max_incarnation:
            own = MemberStatus(generation, incarnation, MemberState.ALIVE)
            for update in sorted(updates):
                own = refute(own, update)
            assert max(updates | {own}) == own, f"its refutation is outranked: {state}"
        for after in map(canonical_state, steps(state, max_incarnation)):
            if after not in seen:
                seen.add(after)
                stack.append(after)
    return seen


def test_every_state_of_two_observers_and_a_subject():
    walk(0)  # with an observer's restart; incarnations and restarts together are run manually
    seen = walk(restarts=0)
    print(f"{len(seen)} states")
    assert {known.state for _, held, _, _ in seen for known, _ in held} == set(MemberState) - {
        MemberState.LEFT
    }


WRONG = {
    "no refutation": ("refute", lambda own, told: own),
    "a late refusal counts": (
        "apply_refusal",
        lambda held, generation: MemberStatus(held.generation, held.incarnation, MemberState.DEAD),
    ),
}


@pytest.mark.parametrize("fault", WRONG)
def test_the_model_detects_a_fault(monkeypatch, fault):
    monkeypatch.setitem(globals(), *WRONG[fault])
    with pytest.raises(AssertionError):
        walk(restarts=0)


# Policies


def test_only_proof_ends_a_process_and_silence_only_removes_capacity():
    ended = {liveness for liveness, row in MEMBER_POLICIES.items() if row.process_ended}
    assert ended == {Liveness.REFUSED, Liveness.LATER_START, Liveness.ORDER} and set(MEMBER_POLICIES) == set(
        Liveness
    )
    for liveness, row in MEMBER_POLICIES.items():
        assert row.may_own_keys == row.may_spend_budget or liveness is Liveness.LEFT
        assert row.may_own_keys is not row.process_ended  # keys are released only on proof
    assert count_live([Liveness.HEARD, Liveness.CONFIRMED, Liveness.REFUSED]) == (3, 2)


# Hard cases on virtual time


def crowd_of(count=5, seed=1, **more):
    crowd = Crowd(count, seed, **more)
    crowd.run(8)
    assert crowd.agree() and all(part.is_steady for part in crowd.parts.values())
    return crowd, Audit(crowd, SETTLE_SECONDS)


def settle(crowd, audit):
    crowd.run(SETTLE_SECONDS)
    assert crowd.agree(), {name: crowd.view(name) for name in crowd.parts}
    assert audit.checked and not audit.faults, audit.faults[:3]


@pytest.mark.parametrize("path", [("g0", "g1"), ("g1", "g0"), ("g2", "g4")])
def test_a_path_broken_in_one_direction_changes_no_view_and_is_reported(path):
    crowd, audit = crowd_of()
    crowd.changes.clear()
    crowd.cut(*path)
    crowd.run(30)
    assert not [each for _, _, each in crowd.changes if each.liveness is Liveness.CONFIRMED]
    source, target = path
    assert crowd.parts[source].others[target].path is PathState.OUTBOUND_BROKEN
    assert crowd.parts[target].others[source].path is PathState.INBOUND_BROKEN
    crowd.cut(*path, False)
    settle(crowd, audit)
    crowd.run(30)
    assert {m.path for part in crowd.parts.values() for m in part.others.values()} == {PathState.WORKING}


def test_a_gateway_heard_by_half_stays_in_every_view():
    crowd, audit = crowd_of()
    crowd.changes.clear()
    for target in ("g1", "g2"):
        crowd.cut("g0", target)
    crowd.run(60)
    assert not [each for _, _, each in crowd.changes if each.liveness is Liveness.CONFIRMED]
    settle(crowd, audit)


def test_a_gateway_heard_by_none_is_unreachable_in_every_view():
    crowd, audit = crowd_of()
    for target in crowd.names[1:]:
        crowd.cut("g0", target)
    crowd.run(10)
    crowd.changes.clear()
    crowd.run(60)
    assert not crowd.changes  # no flapping
    assert {crowd.view(name)["g0"] for name in crowd.names[1:]} == {Liveness.CONFIRMED}
    assert {m.path for m in crowd.parts["g0"].others.values()} == {PathState.OUTBOUND_BROKEN}
    crowd.cuts.clear()
    settle(crowd, audit)


def test_flapping_and_a_fifth_of_datagrams_lost_make_nobody_unreachable():
    crowd, audit = crowd_of()
    crowd.changes.clear()
    draw, at = random.Random(1), 0.0
    while at < 60:
        crowd.at(at, crowd.cut, "g0", "g1")
        crowd.at(at, crowd.cut, "g1", "g0")
        at += draw.uniform(0.3, 3)
        crowd.at(at, crowd.cuts.clear)
        at += draw.uniform(0.3, 3)
    crowd.run(65)
    crowd.loss = 0.2
    crowd.run(60)
    assert not [each for _, _, each in crowd.changes if each.liveness is Liveness.CONFIRMED]
    crowd.loss = 0.0
    settle(crowd, audit)


@pytest.mark.parametrize("span", [0.2, 1, 5, 30])
def test_a_paused_gateway_suspects_nobody_when_it_resumes(span):
    crowd, audit = crowd_of()
    crowd.stop("g0")
    crowd.run(span)
    crowd.changes.clear()
    crowd.go_on("g0")
    assert span < 1 or not crowd.parts["g0"].is_steady
    settle(crowd, audit)
    mine = [each for _, name, each in crowd.changes if name == "g0"]
    assert not mine and crowd.parts["g0"].is_steady


def test_all_but_one_paused_and_resumed():
    crowd, audit = crowd_of()
    for name in crowd.names[1:]:
        crowd.stop(name)
    crowd.run(12)
    assert not [each for each in crowd.view("g0").values() if MEMBER_POLICIES[each].process_ended]
    for name in crowd.names[1:]:
        crowd.go_on(name)
    settle(crowd, audit)


@pytest.mark.parametrize("order", list(itertools.permutations(("g0", "g2", "g4")))[::2])
def test_three_of_five_killed_at_once_and_returning_in_any_order(order):
    crowd, audit = crowd_of()
    for name in order:
        crowd.kill(name)
    crowd.run(6)
    assert {crowd.view("g1")[name] for name in order} == {Liveness.REFUSED}
    for wait, name in enumerate(order):
        crowd.at(wait * 0.7, crowd.start, name)
    crowd.run(3)
    settle(crowd, audit)


def test_a_vanished_machine_counts_as_ended_only_on_an_operators_order():
    crowd, audit = crowd_of()
    crowd.vanish("g3")
    crowd.run(120)
    assert {crowd.view(name)["g3"] for name in crowd.parts} == {Liveness.CONFIRMED}
    part = crowd.parts["g0"]
    assert part.counts() == (5, 4) and part.policy("g3").may_own_keys
    crowd._carry("g0", part.handle(crowd.now, ForgetMember("g3")))
    crowd.run(5)
    assert all(MEMBER_POLICIES[crowd.view(name)["g3"]].process_ended for name in crowd.parts)
    crowd.start("g3")
    settle(crowd, audit)


def test_of_two_processes_with_one_name_the_earlier_is_disqualified():
    crowd, _ = crowd_of(3)
    part, later = crowd.parts["g0"], crowd.parts["g0"].own_status.generation + 5
    crowd._take(
        "g1", crowd._lives["g1"], GossipReceived(GossipMessage(GossipKind.PING, "g0", later, 0, 1, 1))
    )
    crowd.run(3)
    assert part.disqualified_reason and not part.is_steady
    assert crowd.parts["g2"].liveness("g0", part.own_status.generation) is Liveness.LATER_START


def test_a_start_after_the_clock_went_back_is_disqualified():
    crowd, _ = crowd_of(3)
    crowd.kill("g0")
    crowd.start("g0", 7)
    crowd.run(3)
    assert "later process" in crowd.parts["g0"].disqualified_reason


def test_two_hundred_simultaneous_starts_converge_without_a_message_storm():
    crowd = Crowd(200, 1)
    crowd.run(1)
    assert max(crowd.sent.values()) < 40
    crowd.run(13)
    assert crowd.agree() and all(part.is_steady for part in crowd.parts.values())


def test_old_duplicate_foreign_or_invalid_messages_change_nothing():
    part = Members("a", 5, ("a", "b", "c"), random.Random(1))
    valid = GossipMessage(
        GossipKind.PING, "b", 9, 0, 1, 1, updates=(MemberUpdate("c", 4, 0, 9), MemberUpdate("x", 1, 0, 0))
    )
    assert part.handle(0, GossipReceived(valid)) and part.liveness("b") is Liveness.HEARD
    for message in (
        valid,
        GossipMessage(GossipKind.PING, "b", 8, 0, 7, 1),
        GossipMessage(GossipKind.PING, "x", 1, 0, 1, 1),
    ):
        assert not [
            each
            for each in part.handle(0, GossipReceived(message))
            if not isinstance(each, members.SendGossip)
        ]
    assert part.dropped == {"foreign": 2, "old": 1, "doubled": 1, "bad state": 1}


def run_random_faults(seed, count=5):
    crowd = Crowd(count, seed)
    crowd.run(8)
    audit = Audit(crowd, SETTLE_SECONDS)
    weather(crowd, seed, 40)
    crowd.run(41)
    crowd.cuts.clear()
    crowd.run(SETTLE_SECONDS)
    if not crowd.agree():
        audit.faults.append(f"no one view: { {name: crowd.view(name) for name in crowd.parts} }")
    return audit


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_end_no_live_process_and_views_converge(seed):
    audit = run_random_faults(seed)
    assert audit.checked and not audit.faults, audit.faults[:3]


MUTATIONS = {
    "refutation off": (members, "refute", lambda own, told: own),
    "own pause ignored": (members, "PAUSE_THRESHOLD_US", 10**15),
    "unreachable taken for gone": (
        member_status,
        "MEMBER_POLICIES",
        {**MEMBER_POLICIES, Liveness.CONFIRMED: MEMBER_POLICIES[Liveness.REFUSED]},
    ),
}


@pytest.mark.parametrize("fault", MUTATIONS)
def test_disabling_a_safeguard_is_detected(monkeypatch, fault):
    if fault == "own pause ignored":
        monkeypatch.setattr(*MUTATIONS[fault])
        with pytest.raises(AssertionError):
            test_a_paused_gateway_suspects_nobody_when_it_resumes(5)
        return
    where, name, value = MUTATIONS[fault]
    monkeypatch.setattr(where, name, value)
    if name == "MEMBER_POLICIES":
        monkeypatch.setattr("mintmast.lab.crowd.MEMBER_POLICIES", value)
    assert any(run_random_faults(seed).faults for seed in range(8))


# Traffic


def measure_traffic(crowd, seconds, names=None):
    """Return messages and bytes a second of each gateway, the maximum and the mean of both."""
    sent, bytes_ = dict(crowd.sent), dict(crowd.bytes)
    crowd.run(seconds)
    names = [each for each in names or crowd.names if each in crowd.parts]
    messages = [(crowd.sent[n] - sent[n]) / seconds for n in names]
    bytes_sent = [(crowd.bytes[n] - bytes_[n]) / seconds for n in names]
    return max(messages), sum(messages) / len(messages), max(bytes_sent), sum(bytes_sent) / len(bytes_sent)


@pytest.mark.parametrize("count", [12, 60])
def test_agreeing_gateways_send_few_messages_without_updates(count):
    crowd = Crowd(count, 3)
    crowd.run(20)
    most, mean, _, bytes_sent = measure_traffic(crowd, 20)
    assert 3.5 < mean < 4.5 and most < 6 and bytes_sent < 400
    crowd.vanish("g3")
    _, mean, _, _ = measure_traffic(crowd, 4)
    assert mean > 6 and {part.others["g3"].liveness for name, part in crowd.parts.items()} == {
        Liveness.CONFIRMED
    }
    crowd.run(10)
    most, mean, _, bytes_sent = measure_traffic(crowd, 20)  # the same again with one member lost
    assert 3.5 < mean < 6 and bytes_sent < 500
    crowd.start("g3")
    crowd.run(4)
    assert crowd.agree()


def test_the_digest_reveals_and_repairs_one_diverged_view():
    crowd = Crowd(30, 5)
    crowd.run(15)
    odd = crowd.parts["g4"]
    for name in ("g7", "g9"):  # as if it had never heard of these
        odd._set_status(crowd.now, odd.others[name], MemberStatus(), Liveness.NEVER_HEARD)
    crowd.run(6)
    assert crowd.agree() and odd.others["g7"].liveness is odd.others["g9"].liveness is Liveness.HEARD
    _, mean, _, _ = measure_traffic(crowd, 5)
    assert mean < 5


def test_messages_without_a_digest_keep_old_updates_flowing():
    part = Members("a", 1, ("a", "b", "c"), random.Random(1))
    part.begin(0)
    for seq in (1, 2):
        for name in ("b", "c"):
            part.handle(seq, GossipReceived(GossipMessage(GossipKind.ACK, name, 1, 0, seq, 0)))
    assert not part._is_idle(3) and part._diverged_until == 2 + members.DIVERGENCE_US
    message = GossipWithDigest(
        GossipKind.ACK, "b", 1, 0, 3, 0, "", -1, (), "", *members.NO_REVISION, part._digest
    )
    part.handle(2 + members.DIVERGENCE_US, GossipReceived(message))
    assert part._is_idle(2 + members.DIVERGENCE_US) == (not part._pending_updates)


def test_digests_differ_for_different_changes_and_match_the_stored_statuses():
    hashes = {
        hash_status(f"g{n}", MemberStatus(1, m, state))
        for n in range(20)
        for m in range(5)
        for state in MemberState
    }
    assert len(hashes) == 500 and hash_status("g", MemberStatus()) == 0
    # two equal changes must not cancel out, as they do with sums and with CRCs
    both = [
        hash_status(f"g{n}", MemberStatus(1, 0)) ^ hash_status(f"g{n}", MemberStatus(1, 1)) for n in range(50)
    ]
    assert len(set(both)) == 50
    crowd = Crowd(9, 4, loss=0.1)
    for step in range(30):
        draw = random.Random(step)
        name = draw.choice(crowd.names)
        {0: crowd.kill, 1: crowd.vanish, 2: crowd.start, 3: crowd.stop, 4: crowd.go_on}[step % 5](name)
        crowd.run(draw.uniform(0.2, 3))
        for part in crowd.parts.values():
            all_ = {part.name: part.own_status, **{n: m.status for n, m in part.others.items()}}
            assert part._digest == functools.reduce(
                operator.xor, (hash_status(*each) for each in all_.items())
            )
            present = {n for n, m in part.others.items() if Members._is_present(m)}
            assert set(part._not_present) == set(part.others) - present
            assert set(part._suspected) == {
                n for n, m in part.others.items() if m.status.state is MemberState.SUSPECTED
            }


def test_a_started_gateway_does_not_resend_what_all_others_know():
    crowd = Crowd(80, 6)
    crowd.run(60)
    crowd.kill("g3")
    crowd.run(8)
    crowd.start("g3")
    crowd.run(5)
    part = crowd.parts["g3"]
    assert crowd.agree() and not part._pending_updates and part._is_idle(crowd.now)
    _, mean, _, bytes_sent = measure_traffic(crowd, 5)
    assert mean < 5 and bytes_sent < 450


def test_an_absent_gateway_is_not_probed_in_step_nor_met_by_all_on_its_return():
    crowd = Crowd(100, 2)
    crowd.run(70)
    probes = []
    crowd.vanish("g40")
    crowd.run(8)
    send = crowd._send

    def counted(name, command):
        if command.to == "g40" and command.message.kind == GossipKind.PING and not command.message.subject:
            probes.append((crowd.now, name))
        send(name, command)

    crowd._send = counted
    crowd.run(30)
    per_second = [
        sum(at // SECOND == second for at, _ in probes) for second in {at // SECOND for at, _ in probes}
    ]
    assert 30 < len(probes) < 110 and max(per_second) < 15  # two a second, of a hundred gateways
    probes.clear()
    crowd.start("g40")
    crowd.run(1)
    assert len(probes) < 30
    crowd.run(4)
    assert crowd.agree()


def test_few_gateways_probe_a_suspected_one_out_of_turn(monkeypatch):
    def probed(early_probers):
        monkeypatch.setattr(members, "EARLY_PROBERS", early_probers)
        crowd = Crowd(100, 2)
        crowd.run(15)
        crowd.stop("g40")
        before = dict(crowd.sent)
        begun, liveness = crowd.now, []
        while liveness.count(Liveness.CONFIRMED) <= 90 and crowd.now - begun < 6 * SECOND:
            crowd.run(0.1)
            liveness = [part.others["g40"].liveness for name, part in crowd.parts.items() if name != "g40"]
        assert liveness.count(Liveness.CONFIRMED) > 90
        crowd.go_on("g40")
        crowd.run(0.1)
        return crowd.sent["g40"] - before["g40"]

    assert probed(members.EARLY_PROBERS) < 0.6 * probed(10**6)
