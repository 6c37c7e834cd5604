"""Hollow gateways: many in one object, with no viewers, which do towards one real gateway what real ones do.

They probe it, each once in its round; answer its probes, its asks, claims and questions; pass on news in the
real mix of names; claim keys on which it is a witness and release some; and where one of them ends or starts
anew each hears of it at a time drawn from the spread of news, passes it on first for as long as real ones
would, tells whom it holds aside, and reads what the real one granted. Words are sealed, calls signed and
bodies encoded by the project's own code.

What is left out, each shown by `proof.py` to hide nothing, or told here as not shown:

* Words among the hollow ones. What they would bring is drawn: who has heard of a change (logistic spread).
* Slow steps of their own, lost datagrams, suspicion: a hollow one that ends is taken for dead (its machine
  refuses connections), never for silent. Cut ways and stand-stills are the drills' and not played here.
* The first second of the real one's own start: they know its start from its first word to any of them, and
  probe it in turn before that too. How full they answer questions at a start is given, not derived.
* Sessions, lists, configuration, admission: `sessions.py`.
"""

from __future__ import annotations

import functools
import hashlib
import heapq
import math
import operator
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast.decisions.gateways.claim_messages import KnownClaim, Vote
from mintmast.decisions.gateways.gossip_messages import (
    MAX_UPDATES,
    GossipKind,
    GossipMessage,
    GossipWithDigest,
    MemberUpdate,
    hash_status,
)
from mintmast.decisions.gateways.member_status import MemberState
from mintmast.decisions.gateways.members import (
    AGREEING_MESSAGES,
    DIVERGENCE_US,
    INDIRECT_PROBES,
    LOST_PROBE_INTERVAL,
    LOST_PROBES_PER_PERIOD,
    NO_REVISION,
    PROBE_PERIOD_US,
    PROBE_TIMEOUT_US,
    RETRANSMIT_FACTOR,
)
from mintmast.decisions.gateways.witness import (
    RECORD_RETENTION_US,
    RECORDS_PER_PAGE,
    hash_key,
    select_witnesses,
)
from mintmast.decisions.gateways.witness_service import (
    CLAIM_TIMEOUT_US,
    MAX_UNPACED_MEMBERS,
    REVIEW_US_PER_PAIR,
)
from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import Exchange, HttpServer
from mintmast.lab.scale.hollow_row import Change, Row, Seals
from mintmast.loop import Loop
from mintmast.peers import membership_transport
from mintmast.peers.transport import MAC_HEADER, PATH, CallBody, PeerTransport, ReplyBody

SECOND = 1_000_000
# words that one gateway sends a second, about, while there is news and while there is none: a probe each
# ANSWER or PERIOD, and as many answers
WORDS, CALM_WORDS = 2 * SECOND / PROBE_TIMEOUT_US, 2 * SECOND / PROBE_PERIOD_US
# µs of an answer to a claim or question that is waited for
WAIT = SECOND


class Hollow:
    """All gateways of `names` but `real`. `loop_of(name)` gives each one's loop, `place` each one's address.

    `claims` are paid keys that each gateway claims a second, of which the part `released` is given back;
    `records` those of one witness, as told at a start. `age` in s is how long the hollow ones have run.
    `probes` is 1.0 but in tests that must see a wrong rate.
    """

    def __init__(
        self,
        real: str,
        names: tuple[str, ...],
        loop_of: Callable[[str], Loop],
        place: Callable[[str], tuple[str, int]],
        secret: str,
        seed: int,
        claims: float = 0.0,
        released: float = 0.05,
        records: int = 0,
        age: float = 0.0,
        probes: float = 1.0,
    ) -> None:
        self.names = tuple(sorted(names))
        self.real, self.at = real, self.names.index(real)
        self.place, self.secret, self.seals = place, secret.encode(), Seals(secret)
        self.draw = random.Random(f"{seed}/hollow")
        self.claims, self.released, self.records = claims, released, records
        self.list = hashlib.blake2b(" ".join(self.names).encode(), digest_size=8).hexdigest()
        self.counts: dict[str, int] = defaultdict(int)
        self.changes: list[Change] = []
        self.lost: dict[int, int] = {}  # who is gone, and since when
        self.real_start = 0
        self.rows: dict[int, Row] = {}
        first = loop_of(next(each for each in self.names if each != real))
        self.clock, self.begun, self.probes = first, first.now(), probes
        born = int((first.wall() - age) * 1000)
        since = int(self.begun - age * SECOND)
        for index, name in enumerate(self.names):
            if index != self.at:
                self.rows[index] = row = Row(index, name, born, since, loop_of(name))
                self._listen(row)
        self.news = [MemberUpdate(name, born, 0, MemberState.ALIVE) for name in self.names]
        self._progress, self._from = 0.0, self.begun
        self._apart = 0
        # µs for which news is passed on first
        self._hot = int(RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.names) + 1)) / WORDS * SECOND)
        # µs after three in four know in which the others do, and then so many words are heard as end the news
        self._cooling = int((AGREEING_MESSAGES + 4) / WORDS * SECOND)
        # what all of them tell of how they hold all to stand; the real one is in it once it was heard
        self._marks = [hash_status(each.name, each.status()) for each in self.news]
        self._marks[self.at] = 0
        self._table = functools.reduce(operator.xor, self._marks)
        others = len(self.rows)  # of each: the other hollow ones and the real one
        # when each probes the real one next, and when that round of its began, in normal probes
        rounds = [(index, -self.draw.uniform(0, others)) for index in self.rows]
        self._queue = [self._place(index, begun, others) for index, begun in rounds]
        heapq.heapify(self._queue)
        self._timer: Any = None
        self._again()
        self.claim()

    def _listen(self, row: Row) -> None:
        host, port = self.place(row.name)
        row.port = row.loop.open_datagrams(host, port, functools.partial(self._came, row))
        HttpServer(row.loop, host, port, functools.partial(self._called, row))

    # Probes

    def _pace(self) -> float:
        """Give normal probes of each member a µs: fast while there is news, less those of who is gone."""
        return self.probes * (1 - self._gone_part()) / (PROBE_TIMEOUT_US if self.busy() else PROBE_PERIOD_US)

    def _gone_part(self) -> float:
        """Give the part of a member's probes that goes to those that are gone."""
        return min(1 / LOST_PROBE_INTERVAL, LOST_PROBES_PER_PERIOD * len(self.lost) / len(self.rows))

    def busy(self) -> bool:
        """Tell whether there is news among them, or the real one holds the region to stand otherwise."""
        now = self.clock.now()
        return now < self._apart or any(
            change.first <= now < change.most + self._cooling for change in self.changes
        )

    def _paced(self) -> None:
        """Go on at another pace: something has begun, or is over."""
        self._advance()
        self._again()

    def _advance(self) -> None:
        now = self.clock.now()
        self._progress += (now - self._from) * self._pace()
        self._from = now

    def _again(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, (self._queue[0][0] - self._progress) / self._pace())
        self._timer = self.clock.call_at(self._from + math.ceil(wait), self._due)

    def _place(self, index: int, begun: float, there: int) -> tuple[float, int, float]:
        """Draw a place in one's round that is still to come."""
        at = begun + there * self.draw.random()
        if at < self._progress:
            return self._place(index, begun + there, there)
        return at, index, begun

    def _due(self) -> None:
        self._advance()
        there = len(self.rows) - len(self.lost)
        while self._queue[0][0] <= self._progress:
            _, index, begun = self._queue[0]
            heapq.heapreplace(self._queue, self._place(index, begun + there, there))
            if index not in self.lost:
                row = self.rows[index]
                row.number += 1
                self._word(row, GossipKind.PING, row.number)
        self._again()

    def _ask(self) -> None:
        """Ask the real one to probe who is gone: a helper of one that probed it."""
        if not self.lost:
            return
        there = [index for index in self.rows if index not in self.lost]
        row = self.rows[self.draw.choice(there)]
        row.number += 1
        self._word(row, GossipKind.PING_REQUEST, row.number, self.names[self.draw.choice(sorted(self.lost))])
        self._ask_later()

    def _ask_later(self) -> None:
        # each member's failing probes a µs, and the part of its helpers that is the real one
        rate = self._pace() * self._gone_part() * min(INDIRECT_PROBES, len(self.rows) - 1)
        self.clock.call_at(self.clock.now() + int(self.draw.expovariate(rate)) + 1, self._ask)

    # Words

    def _news(self, row: Row) -> tuple[MemberUpdate, ...]:
        """Give what one would pass on: what it has newly heard of; where others differ, all in turn."""
        now, others = self.clock.now(), len(self.names) - 1
        out: dict[int, MemberUpdate] = {}
        most = self._hot
        older: dict[int, MemberUpdate] = {}
        for change in self.changes:
            heard = change.times[row.index]
            if now < heard:
                older.setdefault(change.index, change.before)
            elif now < min(heard + most, change.most + self._cooling) and change.index != row.index:
                out[change.index] = change.after
        first = row.words * MAX_UPDATES
        for step in range(min(others, MAX_UPDATES - len(out)) if self._differs(row) else 0):
            index = (first + step) % others
            index += index >= row.index
            if index not in out and (index != self.at or self.real_start):
                out[index] = older.get(index, self.news[index])
        return tuple(out.values())

    def _differs(self, row: Row) -> bool:
        """Tell whether one has just met others who have not heard of a change that it knows.

        Who hears of it by the word that shows it does not differ any more; once three in four know, few meet
        one who does.
        """
        now = self.clock.now()
        return now < self._apart or any(
            change.times[row.index] <= now < change.most + DIVERGENCE_US / 2 for change in self.changes
        )

    def _table_of(self, row: Row) -> int:
        """Give what one tells of how it holds all to stand."""
        now, table = self.clock.now(), self._table
        for change in self.changes:
            if now < change.times[row.index]:
                for each in (change.before, change.after):
                    table ^= hash_status(each.name, each.status())
        return table

    def _made(self, row: Row, kind: GossipKind, number: int, about: str = "", gap: int = -1) -> bytes:
        now = self.clock.now()
        row.words = max(row.words + 1, int((now - row.begun) * CALM_WORDS / SECOND))
        self.counts[kind.name] += 1
        told = kind, row.name, row.start, row.incarnation, row.words, number, about, gap, self._news(row), ""
        word = GossipWithDigest(*told, *NO_REVISION, self._table_of(row))
        return self.seals.encode(word)

    def _word(self, row: Row, kind: GossipKind, number: int, about: str = "", gap: int = -1) -> None:
        row.port.send(self._made(row, kind, number, about, gap), self.place(self.real))

    def _came(self, row: Row, data: bytes, peer: tuple[str, int]) -> None:
        word = self.seals.decode(data)
        if word is not None:
            self._heard(row, word)
            if word.kind == GossipKind.PING:
                self._word(row, GossipKind.ACK, word.probe_number, word.subject)
            elif word.kind == GossipKind.PING_REQUEST:
                self._word(row, GossipKind.NACK, word.probe_number, word.subject)
                if word.subject in self.names and self.names.index(word.subject) not in self.lost:
                    later = self.clock.now() + 2 * SECOND // 1000
                    gap = self.draw.randrange(1, 2 * PROBE_PERIOD_US * len(self.names) // 1000)
                    self.clock.call_at(
                        later, self._word, row, GossipKind.ACK, word.probe_number, word.subject, gap
                    )

    def _heard(self, row: Row, word: GossipMessage) -> None:
        told = word.generation, word.incarnation
        if word.sender == self.real and told > (self.real_start, self.news[self.at].incarnation):
            self.real_start = word.generation
            self._renew(
                self.at, MemberUpdate(word.sender, word.generation, word.incarnation, MemberState.ALIVE)
            )
        if isinstance(word, GossipWithDigest) and word.membership_digest != self._table_of(row):
            calm = not self.busy()
            self._apart = self.clock.now() + DIVERGENCE_US
            self.clock.call_at(self._apart, self._paced)
            if calm:
                self._paced()
        for each in word.updates:
            if each.name == row.name and each.generation == row.start and each.state != MemberState.ALIVE:
                row.incarnation = max(row.incarnation, each.incarnation + 1)

    def _renew(self, index: int, after: MemberUpdate) -> None:
        mark = hash_status(after.name, after.status())
        self._table ^= self._marks[index] ^ mark
        self._marks[index], self.news[index] = mark, after

    # One of them ends, or starts anew

    def _spread(self, since: int, skip: int) -> list[float]:
        """Draw when each hears of a change that one knows of at `since`: news goes with each word."""
        count = len(self.names)
        times = []
        for _ in range(count):
            part = min(max(self.draw.random(), 1 / count), 1 - 1 / count)
            times.append(since + math.log(part / (1 - part) * count) / WORDS * SECOND)
        times[skip] = 0.0
        return times

    def _change(self, index: int, after: MemberUpdate, wait: int) -> Change:
        now = self.clock.now()
        times = self._spread(now + wait, index)
        first, most = min(each for each in times if each), sorted(times)[len(times) * 3 // 4]
        change = Change(index, self.news[index], after, times, first, most)
        self.changes = [*(each for each in self.changes if max(each.times) > now - 30 * SECOND), change]
        self._renew(index, after)
        self.clock.call_at(int(first) + 1, self._paced)
        self.clock.call_at(int(most) + self._cooling, self._paced)
        return change

    def gone(self, index: int) -> None:
        """Take it that one has ended without a word; whoever calls this also ends its machine.

        The first of the others finds it by its own next probe, then over TCP, which is refused.
        """
        row = self.rows[index]
        there = len(self.rows)
        wait = (
            int(self.draw.expovariate(there / (there * PROBE_TIMEOUT_US)))
            + PROBE_TIMEOUT_US
            + 2 * SECOND // 1000
        )
        told = MemberUpdate(row.name, row.start, row.incarnation, MemberState.DEAD)
        change = self._change(index, told, wait)
        self.clock.call_at(self.clock.now() + wait, self._is_gone, index, row.start)
        self._asides(index, change, (row.name,))

    def _is_gone(self, index: int, start: int) -> None:
        if self.rows[index].start != start:
            return
        self._advance()
        self.lost[index] = self.clock.now()
        self._again()
        if len(self.lost) == 1:
            self._ask_later()

    def back(self, index: int, loop: Loop) -> None:
        """Start one anew, on a fresh machine: it learns from all, from the real one too."""
        row = Row(index, self.names[index], int(loop.wall() * 1000), loop.now(), loop)
        self.rows[index] = row
        self._listen(row)
        change = self._change(
            index, MemberUpdate(row.name, row.start, 0, MemberState.ALIVE), PROBE_TIMEOUT_US
        )
        self._advance()
        self.lost.pop(index, None)
        self._again()
        self._asides(index, change, ())
        loop.call_at(loop.now() + 2 * CLAIM_TIMEOUT_US, self.learn, row, "")

    def _asides(self, index: int, change: Change, names: tuple[str, ...]) -> None:
        """Let each tell the real one whom it holds aside, at its next look after it has heard."""
        apart = REVIEW_US_PER_PAIR * len(self.names) ** 2 if len(self.names) > MAX_UNPACED_MEMBERS else 0
        for each, row in self.rows.items():
            if each != index and each not in self.lost:
                at = int(change.times[each] + self.draw.uniform(0, apart) / 2)
                self.clock.call_at(max(at, self.clock.now()), self._aside, row, names)

    def _aside(self, row: Row, names: tuple[str, ...]) -> None:
        if row.index not in self.lost and self.real_start:
            row.version += 1
            self.call(row, self._body(row, aside=names, version=row.version, to=self.real_start))

    # Calls

    def _body(self, row: Row, **more: Any) -> CallBody:
        return CallBody(f"{row.name}/{row.start:x}", row.loop.wall(), self.list, **more)

    def call(
        self, row: Row, body: CallBody, done: Callable[[ReplyBody | None], None] = lambda told: None
    ) -> None:
        """Call the real one."""
        if row.client is None:
            row.client = HttpClient(row.loop, ClientLimits(idle_per_address=32), f"mintmast/{row.name}")
        self.counts[
            "aside" if body.aside is not None else "learn" if body.learn is not None else "claim"
        ] += 1
        data = msgspec.json.encode(body)
        mac = PeerTransport._compute_mac(self.secret, data)

        def ended(reply: Reply | CallFailure) -> None:
            good = isinstance(reply, Reply) and reply.status == 200
            self.counts["answered" if good else "unanswered"] += 1
            done(msgspec.json.decode(reply.body, type=ReplyBody) if good else None)

        headers = [("Content-Type", "application/json"), (MAC_HEADER, mac)]
        until = row.loop.now() + WAIT
        row.client.call(self.place(self.real), "POST", PATH, ended, headers, data, until)

    def learn(self, row: Row, after: str) -> None:
        """Let one ask what the real one knows, page by page."""

        def told(answer: ReplyBody | None) -> None:
            if answer is not None and answer.more and answer.records:
                self.learn(row, answer.records[-1][0])

        self.call(row, self._body(row, learn=after), told)

    def claim(self) -> None:
        """Claim a key on which the real one is a witness: of all keys three in each N, by N gateways."""
        if not self.claims:
            return
        # of a witness's claims one in N is its own; the others' come here
        rate = 3 * self.claims * len(self.rows) / len(self.names)
        self.clock.call_at(self.clock.now() + int(self.draw.expovariate(rate) * SECOND) + 1, self.claim)
        index = self.draw.choice(sorted(self.rows.keys() - self.lost.keys()))
        self.claimed(index, self.key(), self.draw.random() < self.released)

    def claimed(self, index: int, digest: str, released: bool) -> None:
        """Let one claim this key, and settle it: give it back a second later, or not."""
        row = self.rows[index]
        row.number += 1
        self.call(row, self._body(row, digest=digest, number=row.number, keep_ms=RECORD_RETENTION_US // 1000))
        if released:
            later = self.clock.now() + SECOND
            body = self._body(row, digest=digest, number=row.number, release=True)
            self.clock.call_at(later, self.call, row, body)

    def key(self) -> str:
        """Draw a key on which the real one is a witness."""
        while True:
            digest = hash_key(str(self.draw.getrandbits(60)))
            # most have no chance, which its own weight tells: the third of N is seldom over 8 / N
            own = hashlib.blake2b(f"{self.real} {digest}".encode(), digest_size=8).digest()
            if int.from_bytes(own, "big") * len(self.names) < 8 << 64:
                if self.real in select_witnesses(digest, self.names):
                    return digest

    # Answers

    def _called(self, row: Row, exchange: Exchange) -> None:
        if exchange.path == membership_transport.PATH:
            word = self.seals.decode(exchange.body)
            if word is None or word.kind != GossipKind.PING:
                exchange.respond_problem(401, "not a word that wants an answer")
                return
            self._heard(row, word)
            told = self._made(row, GossipKind.ACK, word.probe_number, word.subject)
            exchange.respond(200, [("Content-Type", "application/octet-stream")], told)
            return
        mac = exchange.headers.get(MAC_HEADER, "")
        body = msgspec.json.decode(exchange.body, type=CallBody)
        answer = ReplyBody(start=row.start)
        if body.learn is not None:
            answer.records = self._known(body.learn)
            answer.more = len(answer.records) >= RECORDS_PER_PAGE
        elif body.aside is not None:
            answer.version = body.version
            if body.aside:  # it reads what the real one granted before it covers for it
                row.loop.call_soon(self.learn, row, "")
        elif not body.release:
            answer.vote = Vote.GRANTED.value
        data = msgspec.json.encode(answer)
        signed = PeerTransport._compute_mac(self.secret, mac.encode() + data)
        exchange.respond(200, [("Content-Type", "application/json"), (MAC_HEADER, signed)], data)

    def _known(self, after: str) -> tuple[KnownClaim, ...]:
        """Give records of the real one's keys: each is known to its other two witnesses and its owner."""
        if after:
            return ()
        count = min(RECORDS_PER_PAGE - 1, round(3 * self.records / len(self.rows)))
        kept = RECORD_RETENTION_US // 1000
        owner = f"{self.names[self.at - 1]}/{self.real_start:x}"
        return tuple(sorted((self.key(), owner, 1, kept) for _ in range(count)))
