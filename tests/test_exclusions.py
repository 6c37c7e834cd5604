"""Whose word a witness may do without: three gateways' own machines walked through every order of events."""

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

# The model: one key, witnesses a, w and x, claims p and q. A claim owns the key as soon as votes that count
# together are a majority, so every order and loss of votes is in it. Words and questions may come late, in
# any order, doubled (words) or never; who is held for out of reach is drawn freely, right or wrong. A
# gateway dies only while the others vote on the key; its claims under way are over before it learns. Each
# gateway is the real machine; what it does in a state of its own on an event is worked out once and kept.
NAMES = ("a", "w", "x")
# who may hold whom for out of reach, to and fro once
WX, WA = ("w", "x"), ("w", "a")
UNSURE = (WX, WA)


class Life:
    """One process: its machine, what it remembers of the key, what it sends."""

    def __init__(self, name, start):
        self.name, self.start, self.out, self.record = name, start, [], ClaimRecord()
        self.others = tuple(each for each in NAMES if each != name)
        self.exclusions = Exclusions(name, NAMES, self.out.append)

    def key(self):
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
                self.start,
                record,
                part._knows_all,
                part.earlier_claims_settled,
                part._last_request,
                rows,
            )
        )

    # Events; each gives what the world must know

    def first(self):
        self.exclusions.earlier_claims_settled = self.exclusions._knows_all = True
        for each in self.others:
            self.exclusions.update_peer(each, Liveness.HEARD, 1)

    def vote(self, claim):
        self.record, told = vote_on_claim(self.record, claim, 1)
        return self.exclusions.excluded_among(self.others) if told is Vote.GRANTED else None

    def flip(self, other, start):
        about = self.exclusions.peers[other]
        self.exclusions.update_peer(other, Liveness.HEARD if about.unreachable else Liveness.CONFIRMED, start)
        return about.unreachable

    def look(self):
        """Look as gateways do after each event; gives what is sent."""
        self.exclusions.send_pending(0)
        sent = []
        for command in self.out:
            if isinstance(command, SendLearnRequest):
                sent.append(("question", self.name, self.start, command.peer, command.number))
            else:
                word = command.to_generation, command.excluded, command.version
                sent.append(("word", self.name, self.start, command.peer, *word))
        self.out.clear()
        return tuple(sent)

    def again(self):
        """No answers came: all that is open is asked again with the next look."""
        for other in self.exclusions.peers.values():
            other.resend_at = 0
            if other.read is not None:
                other.read.deadline = 0

    def begin(self, heard):
        """The time of claims under way at the last death is over; membership tells who is heard."""
        self.exclusions.earlier_claims_settled = True
        for name, start in heard:
            self.exclusions.update_peer(name, Liveness.HEARD, start)

    def question(self, name, start, number):
        self.exclusions.note_generation(name, start)
        unready, covered = self.exclusions.describe_for(name)
        record = (self.record.owner, self.record.number) if self.record.owner else None
        return LearnReply(self.name, (), False, True, number, self.start, unready, covered), record

    def word(self, name, start, to, names, version):
        self.exclusions.note_generation(name, start)
        return self.exclusions.record_exclusions(name, start, version, names) if to == self.start else -1

    def answer(self, event, record):
        if record:
            self.record = merge_known_claim(self.record, *record)
        self.exclusions.handle_learn_reply(0, event)

    def asided(self, peer, booked):
        self.exclusions.handle_acknowledgement(0, ExclusionsAcknowledged(peer, booked))

    def about(self):
        """Give what the world sees of it: votes on the key, has begun, waits for answers; words sent."""
        rows = self.exclusions.peers.values()
        waits = any(other.resend_at or other.read is not None for other in rows)
        return (
            self.exclusions.may_vote_with(self.others),
            self.exclusions.earlier_claims_settled,
            waits,
            self.start,
        )


class Machines:
    """All states of all lives, by number."""

    def __init__(self):
        self.states, self.numbers, self.steps, self.abouts, self.sizes = [], {}, {}, [], []

    def keep(self, life):
        key = life.key()
        if key not in self.numbers:
            self.numbers[key] = len(self.states)
            self.states.append(pickle.dumps(life))
            self.abouts.append(life.about())
            words = max(other.version for other in life.exclusions.peers.values())
            self.sizes.append((words, life.exclusions._last_request))
        return self.numbers[key]

    def take(self, number, event):
        step = number, event
        if step not in self.steps:
            life = pickle.loads(self.states[number])
            told = getattr(life, event[0])(*event[1:])
            sent = life.look() if life.exclusions.earlier_claims_settled else ()
            self.steps[step] = self.keep(life), told, sent
        return self.steps[step]

    def new(self, name, start):
        return self.keep(Life(name, start))


def put(all_, place, one):
    return (*all_[:place], one, *all_[place + 1 :])


def successors(state, machines):
    """Give (step, state) of all that may happen."""
    lives, votes, closed, net, deaths, flips = state
    about = [machines.abouts[each] for each in lives]

    def after(place, event):
        number, told, sent = machines.take(lives[place], event)
        return put(lives, place, number), told, carried(net, NAMES[place], sent)

    for claim in (0, 1) if votes[0] or closed[0] else (0,):  # the two are alike
        for place, name in enumerate(NAMES):
            if not closed[claim] and about[place][0] and all(name != each for each, _ in votes[claim]):
                now, told, _ = after(place, ("vote", "pq"[claim]))
                if told is None:
                    continue  # held: nothing changes
                cast = put(votes, claim, tuple(sorted((*votes[claim], (name, told)), key=str)))
                yield ("vote", "pq"[claim], name, told), (now, cast, closed, net, deaths, flips)
    for name, other in flips:
        now, out, left = after(NAMES.index(name), ("flip", other, about[NAMES.index(other)][3]))
        rest = flips if out else tuple(each for each in flips if each != (name, other))
        yield ("flip", name, other, out), (now, votes, closed, left, deaths, rest)
    for place, name in enumerate(NAMES):
        if not about[place][1]:  # what was under way is over
            over = tuple(bool(each) or was for each, was in zip(votes, closed, strict=True))
            kept = tuple(each if owned(each) else () for each in votes)
            unsure = {other for each, other in UNSURE if each == name}
            heard = tuple((o, about[at][3]) for at, o in enumerate(NAMES) if o not in unsure | {name})
            now, _, left = after(place, ("begin", heard))
            yield ("begin", name), (now, kept, over, left, deaths, flips)
        elif about[place][2]:
            now, _, left = after(place, ("again",))
            yield ("again", name), (now, votes, closed, left, deaths, flips)
    for message in net:
        yield from come(message, state, machines)
    if deaths and all(each[0] for each in about):
        place = NAMES.index(deaths[0])
        born = machines.new(deaths[0], about[place][3] + 1)
        left = frozenset(m for m in net if m[0] == "word" or deaths[0] not in (m[1], m[3]))
        yield ("die", deaths[0]), (put(lives, place, born), votes, closed, left, deaths[1:], flips)


def carried(net, name, sent):
    """Put what a gateway sends under way; a question that is asked again takes the place of the first."""
    if not sent:
        return net
    asked = {m[3] for m in sent if m[0] == "question"}
    old = {m for m in net if m[0] == "question" and m[1] == name and m[3] in asked}
    return net - old | frozenset(sent)


def come(message, state, machines):
    """Let a message come; a word stays under way, as it may come again."""
    lives, votes, closed, net, deaths, flips = state
    kind, name, start, peer, *rest = message
    at, back = NAMES.index(peer), NAMES.index(name)
    if kind == "answer":
        now, _, sent = machines.take(lives[at], ("answer", *rest))
        left = carried(net - {message}, peer, sent)
        yield message, (put(lives, at, now), votes, closed, left, deaths, flips)
        return
    now, told, sent = machines.take(lives[at], (kind, name, start, *rest))
    lives, net = put(lives, at, now), carried(net, peer, sent)
    if kind == "question":
        left = net - {message} | {("answer", peer, start, name, *told)}
        yield message, (lives, votes, closed, left, deaths, flips)
        return
    yield message, (lives, votes, closed, net, deaths, flips)
    if machines.abouts[lives[back]][3] == start:
        heard, _, sent = machines.take(lives[back], ("asided", peer, told))
        left = carried(net, name, sent)
        yield (*message, "heard"), (put(lives, back, heard), votes, closed, left, deaths, flips)


def owned(cast):
    return count_compatible_votes(dict(cast)) > 1


def idle(message, state, machines):
    """Tell whether a word's coming changes nothing any more: it came, or a later one did."""
    if message[0] != "word":
        return False
    lives = state[0]
    kind, name, start, peer, *rest = message
    now, told, sent = machines.take(lives[NAMES.index(peer)], (kind, name, start, *rest))
    if now != lives[NAMES.index(peer)] or sent:
        return False
    at = lives[NAMES.index(name)]
    return machines.abouts[at][3] != start or machines.take(at, ("asided", peer, told))[0] == at


def bounded(state, machines, words, asked):
    """Tell whether each life has sent no more words to one other, and questions in all, than that."""
    return all(machines.sizes[each][0] <= words and machines.sizes[each][1] <= asked for each in state[0])


def walk(deaths, flips, words=1, asked=2, most=3_000_000):
    """Walk all states; gives how many. The path to a state with two owners is told."""
    machines = Machines()
    lives = tuple(machines.take(machines.new(name, 1), ("first",))[0] for name in NAMES)
    first = lives, ((), ()), (False, False), frozenset(), deaths, flips
    seen, front = {first: None}, [first]
    while front:
        state = front.pop()
        for step, after in successors(state, machines):
            if not bounded(after, machines, words, asked):
                continue
            left = frozenset(each for each in after[3] if not idle(each, after, machines))
            after = (*after[:3], left, *after[4:])
            if after in seen:
                continue
            seen[after] = state, step
            if owned(after[1][0]) and owned(after[1][1]):
                path = []
                while seen[after] is not None:
                    after, step = seen[after]
                    path.append(str(step))
                raise AssertionError("two owners: " + "\n".join(reversed(path)))
            front.append(after)
            assert len(seen) < most, "more states than were told"
    return len(seen)


def play(path):
    """Go the way that the first fields of steps tell; gives the last state, or the step that there is not."""
    machines = Machines()
    lives = tuple(machines.take(machines.new(name, 1), ("first",))[0] for name in NAMES)
    state = lives, ((), ()), (False, False), frozenset(), ("w", "w"), (WX, WA)
    for wanted in path:
        here = [after for step, after in successors(state, machines) if step[: len(wanted)] == wanted]
        if not here:
            return wanted
        state = here[-1]
    return state


def mutate(monkeypatch, old, new):
    """Put the machine in place whose source has `new` for `old`."""
    source = inspect.getsource(exclusions)
    assert source.count(old) == 1, old
    made = types.ModuleType("mutant")
    made.__dict__.update(exclusions.__dict__)
    monkeypatch.setitem(sys.modules, "mutant", made)
    exec(compile(source.replace(old, new), "mutant", "exec"), made.__dict__)
    for each in ("Exclusions", "_Peer", "_Vouching", "_PendingRead", "_save_immediately"):
        getattr(made, each).__module__ = "mutant"
    made.RESEND_INTERVAL_US = 1
    monkeypatch.setitem(globals(), "Exclusions", made.Exclusions)


def owns(claim, *names):
    return [("vote", claim, name) for name in names]


def starts(asked):
    """The witness dies and starts, and hears from one other."""
    return [
        ("die", "w"),
        ("begin", "w"),
        *[("question", "w", start, other) for start, other in asked],
        ("answer", asked[0][1]),
    ]


AWAY, BACK = ("flip", "w", "x", True), ("flip", "w", "x", False)
READ = [("question", "a", 1, "w"), ("answer", "w", 1, "a")]
COVER = [AWAY, ("word", "w", 1, "a"), *READ]
WRONG = {
    "votes count together with those held aside": (
        "return tuple(a for a in peers if any(a in self.peers[b].excluded for b in peers))",
        "return ()",
        [*COVER, *owns("p", "w", "x"), *starts([(2, "a")]), *owns("q", "w", "a")],
    ),
    "a promise ends with the process that gave it": (
        "            other.excluded |= covered\n",
        "",
        [*COVER, *starts([(2, "a")]), *owns("p", "w", "x"), *starts([(3, "a")]), *owns("q", "w", "a")],
    ),
    "what was granted before is not read": (
        "vouching.unread = told - vouching.vouched_for",
        "vouching.vouched_for = told",
        [*owns("p", "w", "x"), AWAY, ("word", "w", 1, "a"), *starts([(2, "a")]), *owns("q", "w", "a")],
    ),
    "an overtaken word is booked": (
        "if version > vouching.version:",
        "if True:",
        [AWAY, BACK, ("again", "w"), ("word", "w", 1, "a", 1, (), 2, "heard"),
         ("word", "w", 1, "a", 1, ("x",)), *READ,
         *owns("p", "w", "x"), *starts([(2, "a")]), *owns("q", "w", "a")],
    ),
    "each of two is held aside towards the other": (
        "(name not in self.peers[each].excluded and self.may_vote_with((name, each)))",
        "self.may_vote_with((name, each))",
        [("flip", "w", "a", True), ("word", "w", 1, "x", 1, ("a",), 1, "heard"), ("question", "x", 1, "w"),
         ("answer", "w", 1, "x"), ("flip", "w", "a", False), AWAY, ("word", "w", 1, "a"), *READ,
         *starts([(2, "a")]), *owns("p", "w", "a"), *starts([(3, "x")]), *owns("q", "w", "x")],
    ),
    "one that is learning is read for whole": (
        "and self.may_vote_with((name, each)))",
        "and True)",
        [*owns("p", "w", "x"), ("die", "w"), ("begin", "w"), ("flip", "w", "a", False),
         ("word", "w", 2, "a"), ("question", "a", 1, "w"), ("answer", "w", 1, "a"),
         ("question", "w", 2, "a"), ("answer", "a", 2, "w"), *owns("q", "w", "a")],
    ),
}  # fmt: skip


@pytest.fixture(autouse=True)
def _asked_again_by_the_world(monkeypatch):
    monkeypatch.setattr(exclusions, "RESEND_INTERVAL_US", 1)


def two_own(state):
    return isinstance(state[0], tuple) and all(owned(each) for each in state[1])


@pytest.mark.parametrize("fault", WRONG)
def test_each_defence_is_needed_on_some_way(monkeypatch, fault):
    old, new, path = WRONG[fault]
    assert not two_own(play(path))
    mutate(monkeypatch, old, new)
    after = play(path)
    assert two_own(after), after


def test_every_state_has_one_owner_at_most_while_one_is_out_of_reach_and_another_starts():
    assert walk(("w",), (WX,)) > 10_000


if __name__ == "__main__":  # two deaths, of one gateway or of two
    exclusions.RESEND_INTERVAL_US = 1
    for deaths in (("w", "w"), ("w", "a")):
        print(deaths, walk(deaths, (WX,)), "states", flush=True)
