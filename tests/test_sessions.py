"""Tests a session's state machine by exhaustive exploration, and sessions whose hosts leave the list."""

from itertools import product

import pytest
from helpers import S, server_entry
from test_book import T0, new_book, one, only, viewer_request

from mintmast import interface as api
from mintmast.decisions import messages as msg
from mintmast.decisions.outcomes import Evidence
from mintmast.decisions.sessions import sessions
from mintmast.decisions.sessions.sessions import Action, Signal, Stage, TransitionError, transition_for
from mintmast.interface import ServerState

# The model: one paid session, its gateway, two hosts A and B, and a network that loses, delays and duplicates
# messages. Each host is (lives, running epoch, fenced epoch). A restarted gateway is a new generation with
# its own sessions; the hosts end those of the old one.
# State: (stage, epoch, answered, charges, hosts, messages that may still arrive, gateway lives, pending
# terminations)
HOSTS = "AB"


def start():
    return Stage.ASKED, 0, False, 0, ((True, 0, 0), (True, 0, 0)), frozenset(), True, frozenset()


def successors(state, free):
    stage, epoch, answered, charges, hosts, net, gateway, pending = state

    def signal(kind, place=None, answer=False, leaves=True):
        """Apply a signal at the gateway; None if there is no transition for it."""
        try:
            after, acts = transition_for(stage, kind, free)
        except TransitionError:
            return None
        assert not (answer and answered), "a second answer"
        sent, out, more = set(net), epoch, set(pending)
        for act in acts:
            if act is Action.SET_UP:
                out += 1
                sent |= {("set-up", place, out), ("left", place, out)} if leaves else set()
            elif act is Action.END:
                for host in HOSTS:
                    if ("left", host, epoch) in net:
                        more.add((host, epoch))
                        sent.add(("end", host, epoch))
        return after, out, answered or answer, charges, hosts, frozenset(sent), gateway, frozenset(more)

    def put(place, host):
        at = HOSTS.index(place)
        return hosts[:at] + (host,) + hosts[at + 1 :]

    if gateway:
        if epoch < 2 and not answered:
            for place in HOSTS:
                yield "sent", signal(Signal.SENT, place)
            yield "sent, and no byte leaves", signal(Signal.SENT, "A", leaves=False)
        for kind, place, number in net:
            is_current = number == epoch and stage is Stage.OUT
            if kind == "started" and is_current:
                yield "started", signal(Signal.STARTED, answer=not answered)
            elif kind == "full" and is_current:
                yield "full", signal(Signal.NEVER_RAN)
            elif kind == "ended" and (place, number) in pending:
                remaining = pending - {(place, number)}
                yield "end confirmed", (*state[:7], remaining)
        if stage is Stage.OUT:
            yield "silent or cut", signal(Signal.MAY_HAVE_RUN)
            if not any(kind == "left" and number == epoch for kind, _, number in net):
                yield "unsent", signal(Signal.NEVER_RAN)
            yield "viewer left", signal(Signal.CALLED_OFF, answer=False)
        if stage in (Stage.ASKED, Stage.SPENT) and not answered and epoch:
            yield "closed", signal(Signal.CLOSED, answer=True)
        if stage is Stage.PLAYS:
            yield "taken off", signal(Signal.TAKEN_OFF)
            if not any(runs for _, runs, _ in hosts):
                yield "ended", signal(Signal.ENDED)
        yield "gateway dies", (*state[:6], False, frozenset())
    for kind, place, number in net:  # any message may arrive late, any number of times, or never
        lives, runs, fence = hosts[HOSTS.index(place)]
        if not lives:
            continue
        if kind == "set-up" and number > fence and not runs:
            # a host runs each idempotency key once: it answers a later duplicate without running it
            first = ("ran", place, number) not in net
            ran = put(place, (True, number if first else 0, fence))
            told = net | {("started", place, number), ("ran", place, number)}
            yield "set-up runs", (stage, epoch, answered, charges + first, ran, told, gateway, pending)
            if ("ran", place, number) not in net:
                fenced = put(place, (True, 0, number))
                yield "no room", (*state[:4], fenced, net | {("full", place, number)}, gateway, pending)
        elif kind == "end":
            ended = put(place, (True, 0 if runs <= number else runs, max(fence, number)))
            yield "end arrives", (*state[:4], ended, net | {("ended", place, number)}, gateway, pending)
    for place in HOSTS:
        lives, runs, fence = hosts[HOSTS.index(place)]
        if lives and runs:  # also while it plays, as renewals may be lost
            yield "lease runs out", (*state[:4], put(place, (True, 0, max(fence, runs))), *state[5:])
        if lives:  # its connections break, and messages under way on them are lost
            there = {m for m in net if m[:2] in (("set-up", place), ("end", place))}
            yield "host dies", (*state[:4], put(place, (False, 0, 0)), net - there, *state[6:])
        else:
            yield "host is back", (*state[:4], put(place, (True, 0, 0)), *state[5:])


def explore(free):
    seen, front, steps = {start()}, [start()], 0
    while front:
        state = front.pop()
        for name, after in successors(state, free):
            if after is None:
                continue
            steps += 1
            stage, epoch, answered, charges, hosts, net, gateway, pending = after
            if not free:
                assert charges <= 1, f"charged twice by {name}: {state}"
            for place, (lives, runs, _) in zip(HOSTS, hosts, strict=True):
                # what a host may hold plays, is being set up, has a pending termination, or is not renewed
                wanted = runs == epoch and stage in (Stage.OUT, Stage.PLAYS)
                assert not runs or wanted or not gateway or (place, runs) in pending, f"left there: {after}"
                assert lives or not runs
            if after not in seen:
                seen.add(after)
                front.append(after)
    return seen, steps


@pytest.mark.parametrize("free", [False, True])
def test_every_state_charges_once_answers_once_and_leaves_no_session_at_a_host(free):
    seen, steps = explore(free)
    print(f"{len(seen)} states, {steps} steps")
    stages = {state[0] for state in seen}
    assert stages == set(Stage) - ({Stage.SPENT} if free else set()) and len(seen) > 300


@pytest.mark.parametrize(
    "wrong",
    [
        {(Stage.OUT, Signal.MAY_HAVE_RUN): (Stage.ASKED, (Action.END,))},
        {(Stage.OUT, Signal.CALLED_OFF): (Stage.OVER, (Action.CALL_OFF,))},
        {(Stage.SPENT, Signal.SENT): (Stage.OUT, (Action.SET_UP,))},
    ],
    ids=["a spent session is sent again", "called off without an end", "spent is as good as new"],
)
def test_model_check_detects_wrong_transitions(monkeypatch, wrong):
    monkeypatch.setattr(sessions, "TRANSITIONS", {**sessions.TRANSITIONS, **wrong})
    with pytest.raises(AssertionError, match="charged twice|left there"):
        explore(free=False)


def test_signal_without_a_transition_is_an_error_and_never_a_second_set_up():
    known = set(sessions.TRANSITIONS)
    for stage, signal in product(Stage, Signal):
        if (stage, signal) not in known:
            with pytest.raises(TransitionError):
                transition_for(stage, signal, is_free=False)
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, key="k")), msg.SendSetUp)
    session = book.sessions.get(sent.session)
    with pytest.raises(TransitionError):
        book.send_set_up(T0, session, sent.server, 0)


def test_refusal_of_a_session_that_may_have_run_is_answered_as_a_failure():
    """The outcome table, not the module, decides whether a session provably never ran."""
    book = new_book()
    sent = one(book.handle(T0, viewer_request(1, key="k")), msg.SendSetUp)
    handle_module_event = book.actions._handle_module_event
    book.actions._handle_module_event = lambda now, event: (
        [api.Refuse(sent.session, S)]
        if isinstance(event, api.AttemptEnd)
        else handle_module_event(now, event)
    )
    after = book.handle(T0 + 1, msg.SetUpEnded(sent.session, 0, Evidence.CUT))
    assert one(after, msg.AnswerRequest).verdict is msg.Verdict.FAILED


def test_free_session_is_moved_off_a_host_that_left_the_list_and_a_paid_one_stays():
    book = new_book()
    polls = {}
    for service in (0, 1):
        number = service + 1
        sent = one(
            book.handle(T0, msg.ViewerRequest(number, service, 0, 5, 0, 4, 3, 2 * S, "", 60 * S)),
            msg.SendSetUp,
        )
        book.handle(T0 + 1, msg.HostConnected(sent.server, "p", None, False, T0))
        book.handle(
            T0 + 1000, msg.SetUpEnded(sent.session, 0, Evidence.STARTED, msg.HostStatus((), T0 + 900))
        )
        polls[service] = sent
    gone = tuple(
        server_entry(n, ServerState.GONE)
        for n in range(4)
        if server_entry(n).server in {s.server for s in polls.values()}
    )
    book.handle(T0 + S, msg.ServerListUpdate(api.ListKind.DELTA, 2, gone))
    paid = book.handle(T0 + 2 * S, msg.Poll(1, polls[0].session, 9 * S, S))
    assert one(paid, msg.AnswerPoll).server == polls[0].server and not only(paid, msg.SendRenewal)
    free = book.handle(T0 + 2 * S, msg.Poll(2, polls[1].session, 9 * S, S))
    # the renewal shortens the lease
    assert not only(free, msg.AnswerPoll) and len(one(free, msg.SendRenewal).sessions) == 1
