"""A witness's records of paid keys, and the choice of a key's witnesses.

`vote_on_claim`, `release_claim` and `merge_known_claim` form the state machine of one key, which
`tests/test_claims.py` explores exhaustively. A witness grants a key to one claim at a time, until that claim
is released or its record expires; two of three are a majority, and any two majorities share a witness.
`docs/design/paid-keys.md` describes the whole protocol.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mintmast.decisions.gateways.claim_messages import KnownClaim, Vote

SECOND = 1_000_000
# witnesses per key: with three, any one may be dead; five would tolerate two deaths at the cost of two thirds
# more messages
WITNESSES_PER_KEY = 3
# µs for which a record outlives the session's length: as long as a gateway keeps a used key
RECORD_RETENTION_US = 3600 * SECOND
# µs; length assumed for a session of unknown length, such as a live one: no viewer watches longer
MAX_SESSION_US = 24 * 3600 * SECOND
# records per witness: twice an hour of 100 paid sessions a second, about 200 MB. A full witness does not vote
MAX_RECORDS = 720_000
# keys whose witnesses are cached: about 6 MB of the control plane's 64, and an hour of keys at nine a second
MAX_CACHED_KEYS = 32_768
# records per page sent to a witness that is learning: about 60 kB
RECORDS_PER_PAGE = 500
# owner of a record on which two gateways disagree; not a valid gateway name
CONTESTED = "?"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """What a witness knows of a key: the claim it granted, and the claims it must never grant."""

    owner: str = ""  # gateway and generation of the claim's owner, "" if the key is free
    number: int = 0
    released: tuple[tuple[str, int], ...] = ()  # highest released number of each owner


def vote_on_claim(record: ClaimRecord, owner: str, number: int) -> tuple[ClaimRecord, Vote]:
    """Return the record after a claim and the vote on it.

    A gateway claims a key again only after its previous claim has ended.
    """
    if any(each == owner and number <= last for each, last in record.released):
        return record, Vote.HELD  # a delayed claim: its owner has given it up and counts no more votes
    if not record.owner or (record.owner == owner and record.number <= number):
        return ClaimRecord(owner, number, record.released), Vote.GRANTED
    return record, Vote.HELD


def release_claim(record: ClaimRecord, owner: str, number: int) -> ClaimRecord:
    """Return the record after a release; a claim that arrives after its release is never granted."""
    last = max([number, *(each for other, each in record.released if other == owner)])
    released = (*(each for each in record.released if each[0] != owner), (owner, last))
    if record.owner == owner and record.number <= number:
        return ClaimRecord("", 0, released)
    return ClaimRecord(record.owner, record.number, released)


def merge_known_claim(record: ClaimRecord, owner: str, number: int) -> ClaimRecord:
    """Return the record of a starting witness after another gateway reported a claim.

    Two gateways may report two claims, as one of them may be pending or abandoned by now. Which of the two
    this witness once granted cannot be determined, so it grants neither and the other two witnesses decide.
    """
    if any(each == owner and number <= last for each, last in record.released):
        return record
    if not record.owner or (record.owner == owner and record.number <= number):
        return ClaimRecord(owner, number, record.released)
    return record if record.owner == owner else ClaimRecord(CONTESTED, 0, record.released)


def hash_key(key: str) -> str:
    """Return a key's digest as used between gateways: of fixed length and without data of the viewer."""
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def select_witnesses(digest: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return a key's witnesses by rendezvous hashing: the same at all gateways with the same members."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{member} {digest}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weight)[:WITNESSES_PER_KEY])


class WitnessSelector:
    """Selection of each key's witnesses among these members, with a cache of recently selected keys.

    Selecting a key's witnesses takes one hash per member. A key is looked up at its vote, at its release and
    for each gateway that learns; a learning gateway asks for all keys, so that without the cache one start
    costs the product of gateways, keys and members.
    """

    def __init__(self, members: tuple[str, ...]) -> None:
        self.members = members
        self._cache: dict[str, tuple[str, ...]] = {}

    def select(self, digest: str) -> tuple[str, ...]:
        """Return a key's witnesses."""
        found = self._cache.get(digest)
        if found is None:
            found = self._cache[digest] = select_witnesses(digest, self.members)
            if len(self._cache) > MAX_CACHED_KEYS:
                del self._cache[next(iter(self._cache))]
        return found


class WitnessRecords:
    """Records of one gateway as a witness; an `owner` is a gateway and its generation, times are in µs."""

    def __init__(self) -> None:
        self._records: dict[str, ClaimRecord] = {}
        self._expires_at: dict[str, int] = {}
        self.expired: list[str] = []  # digests dropped since the caller last cleared this

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, now: int, digest: str, owner: str, number: int, retention: int) -> Vote:
        """Record a claim and return the vote on it."""
        self._expire_some(now)
        record = self._records.get(digest, ClaimRecord())
        if digest not in self._records and len(self._records) >= MAX_RECORDS:
            return Vote.NONE
        record, vote = vote_on_claim(record, owner, number)
        self._store(digest, record, now + min(retention, MAX_SESSION_US + RECORD_RETENTION_US))
        return vote

    def release(self, now: int, digest: str, owner: str, number: int) -> None:
        """Record a release."""
        if digest in self._records or len(self._records) < MAX_RECORDS:
            # kept for as long as the claim's messages may be in flight, and well beyond
            self._store(
                digest,
                release_claim(self._records.get(digest, ClaimRecord()), owner, number),
                now + RECORD_RETENTION_US,
            )

    def merge_known(self, now: int, digest: str, owner: str, number: int, retention: int) -> None:
        """Merge a claim that another gateway reported; releases received since then still hold."""
        record = merge_known_claim(self._records.get(digest, ClaimRecord()), owner, number)
        self._store(digest, record, now + min(retention, MAX_SESSION_US + RECORD_RETENTION_US))

    def get(self, digest: str) -> tuple[ClaimRecord, int]:
        """Return the record of a key and when it expires (µs)."""
        return self._records.get(digest, ClaimRecord()), self._expires_at.get(digest, 0)

    def restore(self, now: int, digest: str, record: ClaimRecord, retention: int) -> None:
        """Restore a record of an earlier generation, to be kept for another `retention` µs."""
        self._store(digest, record, now + retention)

    def list_grants(self, now: int, after: str, is_wanted: Callable[[str], bool]) -> list[KnownClaim]:
        """Return granted and wanted records after a digest, in order, at most `RECORDS_PER_PAGE`."""
        candidates = sorted(each for each, record in self._records.items() if each > after and record.owner)
        page = islice(filter(is_wanted, candidates), RECORDS_PER_PAGE)
        return [
            (each, self._records[each].owner, self._records[each].number, self._expires_at[each] - now)
            for each in page
        ]

    def _store(self, digest: str, record: ClaimRecord, expires_at: int) -> None:
        self._records[digest] = record
        expires_at = max(expires_at, self._expires_at.pop(digest, 0))
        self._expires_at[digest] = expires_at  # re-inserted last, so that the order is roughly that of expiry

    def _expire_some(self, now: int) -> None:
        """Drop expired records, a few per call, as records are added one at a time."""
        for digest in [each for each, _ in zip(self._expires_at, range(4), strict=False)]:
            if self._expires_at[digest] <= now:
                del self._expires_at[digest], self._records[digest]
                self.expired.append(digest)
            else:
                self._expires_at[digest] = self._expires_at.pop(digest)
