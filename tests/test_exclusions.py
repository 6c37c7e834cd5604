"""Exclusions among witnesses: model check of three gateways over every order of events."""

import inspect
import pickle
import sys
import types

import pytest

from mintmast.decisions.gateways import exclusions
from mintmast.decisions.gateways.claim_messages import (
    ExclusionsAcknowledged,
    LearnReply,
    SendLearnRequest,
    Vote,
)
from mintmast.decisions.gateways.claims import count_compatible_votes
from mintmast.decisions.gateways.exclusions import Exclusions
from mintmast.decisions.gateways.member_status import Liveness
from mintmast.decisions.gateways.witness import ClaimRecord, merge_known_claim, vote_on_claim

# The model: one key, witnesses a, w and x, claims p and q. A claim owns the key as soon as votes that may be
# combined are a majority, which covers every order and loss of votes. Exclusions and learn requests may
# arrive late, in any order, twice (exclusions) or never; a gateway may hold another for unreachable rightly
# or wrongly. A gateway dies only while the others vote on the key; its pending claims end before it learns.
# Each gateway runs the real code; its reaction to an event in a given state is computed once and cached.
NAMES = ("a", "w", "x")
# who may hold whom for unreachable, once
W_ABOUT_X, W_ABOUT_A = ("w", "x"), ("w", "a")
UNCERTAIN = (W_ABOUT_X, W_ABOUT_A)


class Process:
    """One process: its exclusions, its record of the key, the messages that it sends."""

    def __init__(self, name, generation):
        self.name, self.generation, self.sent, self.record = name, generation, [], ClaimRecord()
        self.others = tuple(each for each in NAMES if each != name)
        self.exclusions = Exclusions(name, NAMES, self.sent.append)

    def state_key(self):
        part = self.exclusions
        rows = [
            (
                o.unreachable,
                o.process_ended,
                o.is_preferred,
                o.generation,
                o.not_voting_with and sorted(o.not_voting_with),
                sorted(o.vouches_for),
                sorted(o.excluded),
            )
            + (o.acknowledged is not None and sorted(o.acknowledged), o.version, o.sent[0], sorted(o.sent[1]))
            + (
                (o.read.number, o.read.generation, o.read.version, sorted(o.read.not_voting_with))
                if o.read
                else None,
            )
            + (
                o.vouching.generation,
                o.vouching.version,
                sorted(o.vouching.vouched_for),
                sorted(o.vouching.unread),
            )
            for o in part.peers.values()
        ]
        record = self.record.owner, self.record.number
        return repr(
            (
                self.name,
                self.generation,
                record,
                part._knows_all,
                part.earlier_claims_settled,
                part._last_request,
                rows,
            )
        )

    # Events; each returns what the model needs to know

    def boot(self):
        self.exclusions.earlier_claims_settled = self.exclusions._knows_all = True
        for each in self.others:
            self.exclusions.update_peer(each, Liveness.HEARD, 1)

    def vote(self, claim):
        self.record, vote = vote_on_claim(self.record, claim, 1)
        return self.exclusions.excluded_among(self.others) if vote is Vote.GRANTED else None

    def toggle(self, other, generation):
        peer = self.exclusions.peers[other]
        self.exclusions.update_peer(
            other, Liveness.HEARD if peer.unreachable else Liveness.CONFIRMED, generation
        )
        return peer.unreachable

    def send_due(self):
        """Send what is due, as gateways do after each event; return the messages."""
        self.exclusions.send_pending(0)
        messages = []
        for command in self.sent:
            if isinstance(command, SendLearnRequest):
                messages.append(("request", self.name, self.generation, command.peer, command.number))
            else:
                fields = command.to_generation, command.excluded, command.version
                messages.append(("announce", self.name, self.generation, command.peer, *fields))
        self.sent.clear()
        return tuple(messages)

    def resend(self):
        """Let all deadlines pass, so that unanswered messages are sent again."""
        for other in self.exclusions.peers.values():
            other.resend_at = 0
            if other.read is not None:
                other.read.deadline = 0

    def begin(self, reachable):
        """End the claims that were pending at the last death; report reachable gateways."""
        self.exclusions.earlier_claims_settled = True
        for name, generation in reachable:
            self.exclusions.update_peer(name, Liveness.HEARD, generation)

    def request(self, name, generation, number):
        self.exclusions.note_generation(name, generation)
        not_voting_with, vouched_for = self.exclusions.describe_for(name)
        record = (self.record.owner, self.record.number) if self.record.owner else None
        return LearnReply(
            self.name, (), False, True, number, self.generation, not_voting_with, vouched_for
        ), record

    def announce(self, name, generation, to_generation, excluded, version):
        self.exclusions.note_generation(name, generation)
        return (
            self.exclusions.record_exclusions(name, generation, version, excluded)
            if to_generation == self.generation
            else -1
        )

    def reply(self, event, record):
        if record:
            self.record = merge_known_claim(self.record, *record)
        self.exclusions.handle_learn_reply(0, event)

    def acknowledge(self, peer, recorded_version):
        self.exclusions.handle_acknowledgement(0, ExclusionsAcknowledged(peer, recorded_version))

    def summary(self):
        """Return whether it votes on the key, has begun and waits for replies, and its generation."""
        rows = self.exclusions.peers.values()
        waits = any(other.resend_at or other.read is not None for other in rows)
        return (
            self.exclusions.may_vote_with(self.others),
            self.exclusions.earlier_claims_settled,
            waits,
            self.generation,
        )


class ProcessStates:
    """All states of all processes, by number."""

    def __init__(self):
        self.states, self.numbers, self.steps, self.summaries, self.sizes = [], {}, {}, [], []

    def add(self, process):
        key = process.state_key()
        if key not in self.numbers:
            self.numbers[key] = len(self.states)
            self.states.append(pickle.dumps(process))
            self.summaries.append(process.summary())
            version = max(other.version for other in process.exclusions.peers.values())
            self.sizes.append((version, process.exclusions._last_request))
        return self.numbers[key]

    def handle(self, number, event):
        step = number, event
        if step not in self.steps:
            process = pickle.loads(self.states[number])
            result = getattr(process, event[0])(*event[1:])
            sent = process.send_due() if process.exclusions.earlier_claims_settled else ()
            self.steps[step] = self.add(process), result, sent
        return self.steps[step]

    def new(self, name, generation):
        return self.add(Process(name, generation))


def replace_at(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def successors(state, machines):
    """Yield (step, state) for each event that may happen."""
    processes, votes, closed, in_flight, deaths, toggles = state
    summaries = [machines.summaries[each] for each in processes]

    def after(place, event):
        number, told, sent = machines.handle(processes[place], event)
        return replace_at(processes, place, number), told, with_messages(in_flight, NAMES[place], sent)

    for claim in (0, 1) if votes[0] or closed[0] else (0,):  # the two claims are alike
        for place, name in enumerate(NAMES):
            if not closed[claim] and summaries[place][0] and all(name != each for each, _ in votes[claim]):
                now, told, _ = after(place, ("vote", "pq"[claim]))
                if told is None:
                    continue  # refused: nothing changes
                cast = replace_at(votes, claim, tuple(sorted((*votes[claim], (name, told)), key=str)))
                yield ("vote", "pq"[claim], name, told), (now, cast, closed, in_flight, deaths, toggles)
    for name, other in toggles:
        now, was_unreachable, left = after(
            NAMES.index(name), ("toggle", other, summaries[NAMES.index(other)][3])
        )
        rest = toggles if was_unreachable else tuple(each for each in toggles if each != (name, other))
        yield ("toggle", name, other, was_unreachable), (now, votes, closed, left, deaths, rest)
    for place, name in enumerate(NAMES):
        if not summaries[place][1]:  # claims that were pending have ended
            decided = tuple(bool(each) or was for each, was in zip(votes, closed, strict=True))
            kept_votes = tuple(each if is_owned(each) else () for each in votes)
            uncertain = {other for each, other in UNCERTAIN if each == name}
            reachable = tuple(
                (o, summaries[at][3]) for at, o in enumerate(NAMES) if o not in uncertain | {name}
            )
            now, _, left = after(place, ("begin", reachable))
            yield ("begin", name), (now, kept_votes, decided, left, deaths, toggles)
        elif summaries[place][2]:
            now, _, left = after(place, ("resend",))
            yield ("resend", name), (now, votes, closed, left, deaths, toggles)
    for message in in_flight:
        yield from deliver(message, state, machines)
    if deaths and all(each[0] for each in summaries):
        place = NAMES.index(deaths[0])
        restarted = machines.new(deaths[0], summaries[place][3] + 1)
        left = frozenset(m for m in in_flight if m[0] == "announce" or deaths[0] not in (m[1], m[3]))
        yield (
            ("die", deaths[0]),
            (replace_at(processes, place, restarted), votes, closed, left, deaths[1:], toggles),
        )


def with_messages(in_flight, name, sent):
    """Return the messages in flight after a send; a repeated learn request replaces the first."""
    if not sent:
        return in_flight
    receivers = {m[3] for m in sent if m[0] == "request"}
    old = {m for m in in_flight if m[0] == "request" and m[1] == name and m[3] in receivers}
    return in_flight - old | frozenset(sent)


def deliver(message, state, machines):
    """Yield the state after a message arrives; exclusions stay in flight, as they may arrive again."""
    processes, votes, closed, in_flight, deaths, toggles = state
    kind, name, generation, peer, *rest = message
    at, back = NAMES.index(peer), NAMES.index(name)
    if kind == "reply":
        now, _, sent = machines.handle(processes[at], ("reply", *rest))
        left = with_messages(in_flight - {message}, peer, sent)
        yield message, (replace_at(processes, at, now), votes, closed, left, deaths, toggles)
        return
    now, result, sent = machines.handle(processes[at], (kind, name, generation, *rest))
    processes, in_flight = replace_at(processes, at, now), with_messages(in_flight, peer, sent)
    if kind == "request":
        left = in_flight - {message} | {("reply", peer, generation, name, *result)}
        yield message, (processes, votes, closed, left, deaths, toggles)
        return
    yield message, (processes, votes, closed, in_flight, deaths, toggles)
    if machines.summaries[processes[back]][3] == generation:
        acknowledged, _, sent = machines.handle(processes[back], ("acknowledge", peer, result))
        left = with_messages(in_flight, name, sent)
        yield (
            (*message, "acknowledged"),
            (replace_at(processes, back, acknowledged), votes, closed, left, deaths, toggles),
        )


def is_owned(votes):
    return count_compatible_votes(dict(votes)) > 1


def has_no_effect(message, state, machines):
    """Return whether another arrival of exclusions changes nothing: they or later ones arrived already."""
    if message[0] != "announce":
        return False
    processes = state[0]
    kind, name, generation, peer, *rest = message
    now, result, sent = machines.handle(processes[NAMES.index(peer)], (kind, name, generation, *rest))
    if now != processes[NAMES.index(peer)] or sent:
        return False
    at = processes[NAMES.index(name)]
    return (
        machines.summaries[at][3] != generation or machines.handle(at, ("acknowledge", peer, result))[0] == at
    )


def is_within_limits(state, machines, max_version, max_requests):
    """Return whether no process sent more exclusions to one peer, or learn requests in all, than that."""
    return all(
        machines.sizes[each][0] <= max_version and machines.sizes[each][1] <= max_requests
        for each in state[0]
    )


def walk(deaths, toggles, max_version=1, max_requests=2, most=3_000_000):
    """Explore all states and return their number; a state with two owners raises with the path to it."""
    machines = ProcessStates()
    processes = tuple(machines.handle(machines.new(name, 1), ("boot",))[0] for name in NAMES)
    first = processes, ((), ()), (False, False), frozenset(), deaths, toggles
    seen, front = {first: None}, [first]
    while front:
        state = front.pop()
        for step, after in successors(state, machines):
            if not is_within_limits(after, machines, max_version, max_requests):
                continue
            left = frozenset(each for each in after[3] if not has_no_effect(each, after, machines))
            after = (*after[:3], left, *after[4:])
            if after in seen:
                continue
            seen[after] = state, step
            if is_owned(after[1][0]) and is_owned(after[1][1]):
                path = []
                while seen[after] is not None:
                    after, step = seen[after]
                    path.append(str(step))
                raise AssertionError("two owners: " + "\n".join(reversed(path)))
            front.append(after)
            assert len(seen) < most, "more states than allowed"
    return len(seen)


def follow(path):
    """Follow steps given by their first fields; return the last state, or the step that is not possible."""
    machines = ProcessStates()
    processes = tuple(machines.handle(machines.new(name, 1), ("boot",))[0] for name in NAMES)
    state = processes, ((), ()), (False, False), frozenset(), ("w", "w"), (W_ABOUT_X, W_ABOUT_A)
    for wanted in path:
        here = [after for step, after in successors(state, machines) if step[: len(wanted)] == wanted]
        if not here:
            return wanted
        state = here[-1]
    return state


def mutate(monkeypatch, old, new):
    """Replace the module's code by a mutant whose source has `new` for `old`."""
    source = inspect.getsource(exclusions)
    assert source.count(old) == 1, old
    mutant = types.ModuleType("mutant")
    mutant.__dict__.update(exclusions.__dict__)
    monkeypatch.setitem(sys.modules, "mutant", mutant)
    exec(compile(source.replace(old, new), "mutant", "exec"), mutant.__dict__)
    for each in ("Exclusions", "_Peer", "_Vouching", "_PendingRead", "_save_immediately"):
        getattr(mutant, each).__module__ = "mutant"
    mutant.RESEND_INTERVAL_US = 1
    monkeypatch.setitem(globals(), "Exclusions", mutant.Exclusions)


def votes_for(claim, *names):
    return [("vote", claim, name) for name in names]


def restart(requests):
    """Return the steps in which w dies, restarts and gets a reply from one peer."""
    return [
        ("die", "w"),
        ("begin", "w"),
        *[("request", "w", start, other) for start, other in requests],
        ("reply", requests[0][1]),
    ]


UNREACHABLE, REACHABLE = ("toggle", "w", "x", True), ("toggle", "w", "x", False)
READ = [("request", "a", 1, "w"), ("reply", "w", 1, "a")]
EXCLUDE_X = [UNREACHABLE, ("announce", "w", 1, "a"), *READ]
WRONG = {
    "votes are combined with those of excluded witnesses": (
        "return tuple(a for a in peers if any(a in self.peers[b].excluded for b in peers))",
        "return ()",
        [*EXCLUDE_X, *votes_for("p", "w", "x"), *restart([(2, "a")]), *votes_for("q", "w", "a")],
    ),
    "exclusions end with the process that announced them": (
        "            peer.excluded |= vouched_for\n",
        "",
        [*EXCLUDE_X, *restart([(2, "a")]), *votes_for("p", "w", "x"), *restart([(3, "a")]),
         *votes_for("q", "w", "a")],
    ),
    "earlier grants are not read": (
        "vouching.unread = announced - vouching.vouched_for",
        "vouching.vouched_for = announced",
        [*votes_for("p", "w", "x"), UNREACHABLE, ("announce", "w", 1, "a"), *restart([(2, "a")]),
         *votes_for("q", "w", "a")],
    ),
    "an overtaken message is recorded": (
        "if version > vouching.version:",
        "if True:",
        [UNREACHABLE, REACHABLE, ("resend", "w"), ("announce", "w", 1, "a", 1, (), 2, "acknowledged"),
         ("announce", "w", 1, "a", 1, ("x",)), *READ,
         *votes_for("p", "w", "x"), *restart([(2, "a")]), *votes_for("q", "w", "a")],
    ),
    "two gateways are excluded towards each other": (
        "(name not in self.peers[each].excluded and self.may_vote_with((name, each)))",
        "self.may_vote_with((name, each))",
        [("toggle", "w", "a", True), ("announce", "w", 1, "x", 1, ("a",), 1, "acknowledged"),
         ("request", "x", 1, "w"), ("reply", "w", 1, "x"), ("toggle", "w", "a", False), UNREACHABLE,
         ("announce", "w", 1, "a"), *READ,
         *restart([(2, "a")]), *votes_for("p", "w", "a"), *restart([(3, "x")]), *votes_for("q", "w", "x")],
    ),
    "a learning gateway is taken as complete": (
        "and self.may_vote_with((name, each)))",
        "and True)",
        [*votes_for("p", "w", "x"), ("die", "w"), ("begin", "w"), ("toggle", "w", "a", False),
         ("announce", "w", 2, "a"), ("request", "a", 1, "w"), ("reply", "w", 1, "a"),
         ("request", "w", 2, "a"), ("reply", "a", 2, "w"), *votes_for("q", "w", "a")],
    ),
}  # fmt: skip


@pytest.fixture(autouse=True)
def _resend_at_each_step(monkeypatch):
    monkeypatch.setattr(exclusions, "RESEND_INTERVAL_US", 1)


def has_two_owners(state):
    return isinstance(state[0], tuple) and all(is_owned(each) for each in state[1])


@pytest.mark.parametrize("fault", WRONG)
def test_each_protection_is_needed_on_some_path(monkeypatch, fault):
    old, new, path = WRONG[fault]
    assert not has_two_owners(follow(path))
    mutate(monkeypatch, old, new)
    after = follow(path)
    assert has_two_owners(after), after


def test_every_state_has_one_owner_at_most_while_one_is_unreachable_and_another_restarts():
    assert walk(("w",), (W_ABOUT_X,)) > 10_000


if __name__ == "__main__":  # two deaths, of one gateway or of two gateways
    exclusions.RESEND_INTERVAL_US = 1
    for deaths in (("w", "w"), ("w", "a")):
        print(deaths, walk(deaths, (W_ABOUT_X,)), "states", flush=True)
