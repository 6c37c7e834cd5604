"""Intents: a paid set-up is on disk before its first byte leaves; what becomes of sessions is kept.

Danger: a gateway that dies with a set-up under way forgets that it sent it, and its next life takes the key
for unspent. So the record comes first, and the set-up waits for it; where it cannot be written in time
nothing is sent and the viewer is refused, which is true. It also lets the next life find the session that
plays (`recovery.py`). It may hurt by the time of a flush, and while a disk is full: paid viewers are refused.

Free sessions are written too, so that the next life finds them, and wait for nothing: what is lost of them
costs the rest of a clip. Where there is no store nothing is written and nothing waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from mintmast.decisions.gateways.claims import Claims
from mintmast.decisions.gateways.records import Intent, RecordKind, RecordWriter
from mintmast.decisions.gateways.witness import MAX_SESSION_US, RECORD_RETENTION_US, hash_key
from mintmast.decisions.messages import ViewerRequest
from mintmast.decisions.sessions.sessions import Session, format_session_name

# intents forgotten at one further intent, at the most: they come one by one
MAX_REMOVED_PER_WRITE = 4


@dataclass(slots=True, frozen=True)
class Catalogue:
    """Names of what the settings number: classes, tenants, titles. Records outlive a change of settings."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()

    def names_of(self, request: ViewerRequest) -> tuple[str, str, str]:
        """Give the names of an ask's class, tenant and title; "" for what has none."""
        numbered = (
            (self.classes, request.service),
            (self.tenants, request.tenant),
            (self.titles, request.title),
        )
        found = [names[index] if index < len(names) else "" for names, index in numbered]
        return found[0], found[1], found[2]

    def numbers_of(self, intent: Intent) -> tuple[int, int, int] | None:
        """Give the numbers that a record's names have now; None where one is not in the settings any more."""
        try:
            tenant = self.tenants.index(intent.tenant) if intent.tenant else 0
            return self.classes.index(intent.service), tenant, self.titles.index(intent.title)
        except ValueError:
            return None


class Intents:
    """The intents of one gateway: `gateway` and `start` name its life."""

    def __init__(
        self, keeper: RecordWriter, claims: Claims, catalogue: Catalogue, gateway: str, generation: int
    ) -> None:
        self._keeper, self._claims, self._catalogue = keeper, claims, catalogue
        self._gateway, self._generation = gateway, generation
        self._records: dict[int, tuple[str, Intent]] = {}  # by session: digest and record
        self._expiries: deque[tuple[int, str]] = deque()  # µs of running until when which digest is kept
        self._kept_until: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._kept_until)

    def use_catalogue(self, catalogue: Catalogue) -> None:
        """Write records from now on with these names."""
        self._catalogue = catalogue

    def record_set_up(
        self, now: int, session: Session, clock_reading: int, on_recorded: Callable[[int, bool], None]
    ) -> None:
        """Write that a session is about to be sent to its host; `then(now, good)` when it may leave, or not.

        `clock` is the last reading of the host's clock (µs, -1 for none).
        """
        request = session.request
        if not self._keeper.enabled or session.server is None or not (request.key or session.is_free):
            on_recorded(now, True)
            return
        name = format_session_name(self._gateway, self._generation, session.number)
        service, tenant, title = self._catalogue.names_of(request)
        owner, number = self._claims.owning_claim(session.number)
        until = self._keeper.runtime(now) + (request.length or MAX_SESSION_US) + RECORD_RETENTION_US
        intent = Intent(
            until,
            request.key,
            name,
            session.server.decode(),
            session.epoch,
            clock_reading,
            session.rung,
            service,
            tenant,
            title,
            request.best_rung,
            request.length,
            request.home_cell,
            request.copies,
            session.is_free,
            owner,
            number,
        )
        if session.is_free:
            self._record(now, session.number, name, intent)
            on_recorded(now, True)
        else:
            self._record(now, session.number, hash_key(request.key), intent, on_recorded)

    def restore(self, now: int, session: int, digest: str, intent: Intent) -> None:
        """Take over a record of an earlier life; `session` is its number now, 0 where it is over."""
        self._kept_until[digest] = intent.until
        self._expiries.append((intent.until, digest))
        if session:
            self._records[session] = digest, intent

    def record_end(self, now: int, session: int, may_have_run: bool) -> None:
        """Keep that a session is over; nothing where it provably never ran, or is free."""
        digest, intent = self._records.pop(session, ("", None))
        if intent is None:
            return
        if may_have_run and not intent.free:
            self._keeper.save(now, RecordKind.INTENT, digest, msgspec.structs.replace(intent, over=True))
        else:
            self._kept_until.pop(digest, None)
            self._keeper.save(now, RecordKind.INTENT, digest, None)

    def _record(
        self,
        now: int,
        session: int,
        digest: str,
        intent: Intent,
        on_recorded: Callable[[int, bool], None] | None = None,
    ) -> None:
        self._remove_expired(now)
        self._records[session] = digest, intent
        self._kept_until[digest] = intent.until
        self._expiries.append((intent.until, digest))
        self._keeper.save(now, RecordKind.INTENT, digest, intent, on_recorded)

    def _remove_expired(self, now: int) -> None:
        """Take out what is over. Danger: the file grows for ever."""
        running_time = self._keeper.runtime(now)
        for _ in range(min(MAX_REMOVED_PER_WRITE, len(self._expiries))):
            until, digest = self._expiries[0]
            if until > running_time:
                return
            self._expiries.popleft()
            if self._kept_until.get(digest) == until:
                del self._kept_until[digest]
                self._keeper.save(now, RecordKind.INTENT, digest, None)
