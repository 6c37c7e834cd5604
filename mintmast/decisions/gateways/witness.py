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

from mintmast.decisions.gateways.claim_messages import KnownClaim, Vote

SECOND = 1_000_000
# gateways that are asked about a key: two of three go on when any one is dead; five would live through two
# deaths, for two thirds more messages
WITNESSES_PER_KEY = 3
# µs for which a record is kept beyond the session's length: as long as a gateway keeps a spent key
RECORD_RETENTION_US = 3600 * SECOND
# µs; length taken for a session whose length is not known, a live one: no viewer watches longer
MAX_SESSION_US = 24 * 3600 * SECOND
# records of one witness: an hour of 100 paid sessions a second and as much again; some 200 MB. A witness that
# is full does not vote
MAX_RECORDS = 720_000
# keys whose witnesses are kept: some 6 MB of the 64 for control, and the keys of an hour at nine a second
MAX_CACHED_KEYS = 32_768
# records in one answer to a witness that learns: some 60 kB
RECORDS_PER_PAGE = 500
# owner of a record of which two gateways tell different things; no gateway's name
CONTESTED = "?"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """What a witness knows of a key: the claim that it granted, and those that it must never grant."""

    owner: str = ""  # gateway and start of the claim's owner, "" for free
    number: int = 0
    released: tuple[tuple[str, int], ...] = ()  # of each owner the highest number that is over


def vote_on_claim(record: ClaimRecord, owner: str, number: int) -> tuple[ClaimRecord, Vote]:
    """Let a witness vote on a claim. A gateway asks for a key again only when its claim before is over."""
    if any(each == owner and number <= last for each, last in record.released):
        return record, Vote.HELD  # it came late: nobody waits for this vote any more
    if not record.owner or (record.owner == owner and record.number <= number):
        return ClaimRecord(owner, number, record.released), Vote.GRANTED
    return record, Vote.HELD


def release_claim(record: ClaimRecord, owner: str, number: int) -> ClaimRecord:
    """Let a witness take a release; a claim that comes after it is never granted."""
    last = max([number, *(each for other, each in record.released if other == owner)])
    released = (*(each for each in record.released if each[0] != owner), (owner, last))
    if record.owner == owner and record.number <= number:
        return ClaimRecord("", 0, released)
    return ClaimRecord(record.owner, record.number, released)


def merge_known_claim(record: ClaimRecord, owner: str, number: int) -> ClaimRecord:
    """Let a witness that starts take what another gateway knows.

    Two gateways may know of two claims, as one of them may be under way or given up by now. Which of the two
    this witness once granted cannot be told, so it grants neither; the other two witnesses decide.
    """
    if any(each == owner and number <= last for each, last in record.released):
        return record
    if not record.owner or (record.owner == owner and record.number <= number):
        return ClaimRecord(owner, number, record.released)
    return record if record.owner == owner else ClaimRecord(CONTESTED, 0, record.released)


def hash_key(key: str) -> str:
    """Give a key's name among gateways: of one length, and nothing of the viewer in it."""
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def select_witnesses(digest: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Give a key's witnesses by rendezvous hashing: the same for all who have the same members."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{member} {digest}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weight)[:WITNESSES_PER_KEY])


class WitnessSelector:
    """Who witnesses each key among these members; those of the last keys that were asked for are kept.

    A key's witnesses are a hash a member. One key is asked for again at its vote, its release and by each
    gateway that learns; each of those asks for all keys, and a start cost others times keys times members.
    """

    def __init__(self, members: tuple[str, ...]) -> None:
        self.members = members
        self._cache: dict[str, tuple[str, ...]] = {}

    def select(self, digest: str) -> tuple[str, ...]:
        """Give a key's witnesses."""
        found = self._cache.get(digest)
        if found is None:
            found = self._cache[digest] = select_witnesses(digest, self.members)
            if len(self._cache) > MAX_CACHED_KEYS:
                del self._cache[next(iter(self._cache))]
        return found


class WitnessRecords:
    """One gateway's memory as a witness; `owner` names are gateway and start, `keep` is in µs."""

    def __init__(self) -> None:
        self._records: dict[str, ClaimRecord] = {}
        self._expires_at: dict[str, int] = {}
        self.expired: list[str] = []  # since someone took note

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, now: int, digest: str, owner: str, number: int, keep: int) -> Vote:
        """Vote on a claim."""
        self._expire_some(now)
        record = self._records.get(digest, ClaimRecord())
        if digest not in self._records and len(self._records) >= MAX_RECORDS:
            return Vote.NONE
        record, told = vote_on_claim(record, owner, number)
        self._store(digest, record, now + min(keep, MAX_SESSION_US + RECORD_RETENTION_US))
        return told

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Take a release."""
        if digest in self._records or len(self._records) < MAX_RECORDS:
            # kept for as long as the claim may still be under way, and well beyond
            self._store(
                digest,
                release_claim(self._records.get(digest, ClaimRecord()), owner, number),
                now + RECORD_RETENTION_US,
            )

    def merge_known(self, now: int, digest: str, owner: str, number: int, keep: int) -> None:
        """Take what another gateway knows; what was heard of a release since then stands."""
        record = merge_known_claim(self._records.get(digest, ClaimRecord()), owner, number)
        self._store(digest, record, now + min(keep, MAX_SESSION_US + RECORD_RETENTION_US))

    def get(self, digest: str) -> tuple[ClaimRecord, int]:
        """Give what is remembered of a key, and until when (µs)."""
        return self._records.get(digest, ClaimRecord()), self._expires_at.get(digest, 0)

    def restore(self, now: int, digest: str, record: ClaimRecord, keep: int) -> None:
        """Take a record of an earlier life, still to be kept for so long."""
        self._store(digest, record, now + keep)

    def list_grants(self, now: int, after: str, wanted: Callable[[str], bool]) -> list[KnownClaim]:
        """Give records that are held and wanted, by digest, those after one, at most `LEARNT_AT_ONCE`."""
        rest = sorted(each for each, record in self._records.items() if each > after and record.owner)
        found = islice(filter(wanted, rest), RECORDS_PER_PAGE)
        return [
            (each, self._records[each].owner, self._records[each].number, self._expires_at[each] - now)
            for each in found
        ]

    def _store(self, digest: str, record: ClaimRecord, until: int) -> None:
        self._records[digest] = record
        until = max(until, self._expires_at.pop(digest, 0))
        self._expires_at[digest] = until  # at the end: roughly in the order in which they are over

    def _expire_some(self, now: int) -> None:
        """Forget what is over, a few at a time: records come one by one."""
        for digest in [each for each, _ in zip(self._expires_at, range(4), strict=False)]:
            if self._expires_at[digest] <= now:
                del self._expires_at[digest], self._records[digest]
                self.expired.append(digest)
            else:
                self._expires_at[digest] = self._expires_at.pop(digest)
