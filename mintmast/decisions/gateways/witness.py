"""What a witness remembers of paid keys, and who a key's witnesses are.

`vote`, `release` and `learn` are one key's machine, walked exhaustively by `tests/test_claims.py`. A witness
grants a key to one claim at a time, until that claim is released or its time is over; two of three are a
majority, and two majorities share a witness. `docs/design/paid-keys.md` has the whole.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mintmast.decisions.gateways.talk import Known, Vote

SECOND = 1_000_000
# gateways that are asked about a key: two of three go on when any one is dead; five would live through two
# deaths, for two thirds more messages
WITNESSES = 3
# µs for which a record is kept beyond the session's length: as long as a gateway keeps a spent key
KEPT = 3600 * SECOND
# µs; length taken for a session whose length is not known, a live one: no viewer watches longer
LONGEST = 24 * 3600 * SECOND
# records of one witness: an hour of 100 paid sessions a second and as much again; some 200 MB. A witness that
# is full does not vote
MOST_RECORDS = 720_000
# keys whose witnesses are kept: some 6 MB of the 64 for control, and the keys of an hour at nine a second
MOST_PLACED = 32_768
# records in one answer to a witness that learns: some 60 kB
LEARNT_AT_ONCE = 500
# owner of a record of which two gateways tell different things; no gateway's name
CONTESTED = "?"


@dataclass(slots=True, frozen=True)
class Record:
    """What a witness knows of a key: the claim that it granted, and those that it must never grant."""

    owner: str = ""  # gateway and start of the claim's owner, "" for free
    number: int = 0
    released: tuple[tuple[str, int], ...] = ()  # of each owner the highest number that is over


def vote(record: Record, owner: str, number: int) -> tuple[Record, Vote]:
    """Let a witness vote on a claim. A gateway asks for a key again only when its claim before is over."""
    if any(each == owner and number <= last for each, last in record.released):
        return record, Vote.HELD  # it came late: nobody waits for this vote any more
    if not record.owner or (record.owner == owner and record.number <= number):
        return Record(owner, number, record.released), Vote.GRANTED
    return record, Vote.HELD


def release(record: Record, owner: str, number: int) -> Record:
    """Let a witness take a release; a claim that comes after it is never granted."""
    last = max([number, *(each for other, each in record.released if other == owner)])
    released = (*(each for each in record.released if each[0] != owner), (owner, last))
    if record.owner == owner and record.number <= number:
        return Record("", 0, released)
    return Record(record.owner, record.number, released)


def learn(record: Record, owner: str, number: int) -> Record:
    """Let a witness that starts take what another gateway knows.

    Two gateways may know of two claims, as one of them may be under way or given up by now. Which of the two
    this witness once granted cannot be told, so it grants neither; the other two witnesses decide.
    """
    if any(each == owner and number <= last for each, last in record.released):
        return record
    if not record.owner or (record.owner == owner and record.number <= number):
        return Record(owner, number, record.released)
    return record if record.owner == owner else Record(CONTESTED, 0, record.released)


def digest_of(key: str) -> str:
    """Give a key's name among gateways: of one length, and nothing of the viewer in it."""
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def witnesses_of(digest: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Give a key's witnesses by rendezvous hashing: the same for all who have the same members."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{member} {digest}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weight)[:WITNESSES])


class Rendezvous:
    """Who witnesses each key among these members; those of the last keys that were asked for are kept.

    A key's witnesses are a hash a member. One key is asked for again at its vote, its release and by each
    gateway that learns; each of those asks for all keys, and a start cost others times keys times members.
    """

    def __init__(self, members: tuple[str, ...]) -> None:
        self.members = members
        self._last: dict[str, tuple[str, ...]] = {}

    def of(self, digest: str) -> tuple[str, ...]:
        """Give a key's witnesses."""
        found = self._last.get(digest)
        if found is None:
            found = self._last[digest] = witnesses_of(digest, self.members)
            if len(self._last) > MOST_PLACED:
                del self._last[next(iter(self._last))]
        return found


class Witness:
    """One gateway's memory as a witness; `owner` names are gateway and start, `keep` is in µs."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._until: dict[str, int] = {}
        self.forgotten: list[str] = []  # since someone took note

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, now: int, digest: str, owner: str, number: int, keep: int) -> Vote:
        """Vote on a claim."""
        self._sweep(now)
        record = self._records.get(digest, Record())
        if digest not in self._records and len(self._records) >= MOST_RECORDS:
            return Vote.NONE
        record, told = vote(record, owner, number)
        self._put(digest, record, now + min(keep, LONGEST + KEPT))
        return told

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Take a release."""
        if digest in self._records or len(self._records) < MOST_RECORDS:
            # kept for as long as the claim may still be under way, and well beyond
            self._put(digest, release(self._records.get(digest, Record()), owner, number), now + KEPT)

    def learn(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Take what another gateway knows; what was heard of a release since then stands."""
        record = learn(self._records.get(digest, Record()), owner, number)
        self._put(digest, record, now + min(keep, LONGEST + KEPT))

    def record(self, digest: str) -> tuple[Record, int]:
        """Give what is remembered of a key, and until when (µs)."""
        return self._records.get(digest, Record()), self._until.get(digest, 0)

    def restore(self, now: int, digest: str, record: Record, keep: int) -> None:
        """Take a record of an earlier life, still to be kept for so long."""
        self._put(digest, record, now + keep)

    def known(self, now: int, after: str, wanted: Callable[[str], bool]) -> list[Known]:
        """Give records that are held and wanted, by digest, those after one, at most `LEARNT_AT_ONCE`."""
        rest = sorted(each for each, record in self._records.items() if each > after and record.owner)
        found = islice(filter(wanted, rest), LEARNT_AT_ONCE)
        return [
            (each, self._records[each].owner, self._records[each].number, self._until[each] - now)
            for each in found
        ]

    def _put(self, digest: str, record: Record, until: int) -> None:
        self._records[digest] = record
        until = max(until, self._until.pop(digest, 0))
        self._until[digest] = until  # at the end: roughly in the order in which they are over

    def _sweep(self, now: int) -> None:
        """Forget what is over, a few at a time: records come one by one."""
        for digest in [each for each, _ in zip(self._until, range(4), strict=False)]:
            if self._until[digest] <= now:
                del self._until[digest], self._records[digest]
                self.forgotten.append(digest)
            else:
                self._until[digest] = self._until.pop(digest)
