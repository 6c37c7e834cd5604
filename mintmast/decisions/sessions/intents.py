"""Durable intents: a paid set-up is on disk before its first byte is sent, and so is the end of its session.

A gateway that crashes with a set-up under way would forget that it sent it, and its next generation would
take the key for unused and charge twice. The set-up therefore waits for the record; if it cannot be written
in time nothing is sent and the viewer is refused, which is true. The record also lets the next generation
find the session if it plays (`recovery.py`). The cost is one flush for each paid set-up, and that paid
viewers are refused while the disk is full.

Free sessions are recorded too, so that the next generation finds them, but do not wait for the record: losing
it costs only the rest of a clip. Without a store nothing is recorded and nothing waits.
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

# Expired intents removed with each new one, at most; they are written, and so expire, one by one
MAX_REMOVED_PER_WRITE = 4


@dataclass(slots=True, frozen=True)
class Catalogue:
    """The names of the classes, tenants and titles that the settings number.

    Records hold names, because they outlive a change of the settings, which may change the numbers.
    """

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()

    def names_of(self, request: ViewerRequest) -> tuple[str, str, str]:
        """Return the names of a request's class, tenant and title; "" for each that has none."""
        numbered = (
            (self.classes, request.service),
            (self.tenants, request.tenant),
            (self.titles, request.title),
        )
        found = [names[index] if index < len(names) else "" for names, index in numbered]
        return found[0], found[1], found[2]

    def numbers_of(self, intent: Intent) -> tuple[int, int, int] | None:
        """Return the current numbers of a record's names; None if the settings no longer have one of them."""
        try:
            tenant = self.tenants.index(intent.tenant) if intent.tenant else 0
            return self.classes.index(intent.service), tenant, self.titles.index(intent.title)
        except ValueError:
            return None


class Intents:
    """The intents of one gateway; `gateway` and `generation` identify the run of its process."""

    def __init__(
        self, record_writer: RecordWriter, claims: Claims, catalogue: Catalogue, gateway: str, generation: int
    ) -> None:
        self._record_writer, self._claims, self._catalogue = record_writer, claims, catalogue
        self._gateway, self._generation = gateway, generation
        self._records: dict[int, tuple[str, Intent]] = {}  # by session: digest and record
        self._expiries: deque[tuple[int, str]] = deque()  # (running time in µs at expiry, digest)
        self._kept_until: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._kept_until)

    def use_catalogue(self, catalogue: Catalogue) -> None:
        """Use these names for the records that are written from now on."""
        self._catalogue = catalogue

    def record_set_up(
        self, now: int, session: Session, clock_reading: int, on_recorded: Callable[[int, bool], None]
    ) -> None:
        """Record that a session's set-up is about to be sent to its host.

        Calls `on_recorded(now, is_durable)` once: the set-up may be sent only if `is_durable` is true.
        `clock_reading` is the last reading of the host's clock (µs, -1 for none).
        """
        request = session.request
        if not self._record_writer.enabled or session.server is None or not (request.key or session.is_free):
            on_recorded(now, True)
            return
        name = format_session_name(self._gateway, self._generation, session.number)
        service, tenant, title = self._catalogue.names_of(request)
        owner, number = self._claims.owning_claim(session.number)
        until = self._record_writer.runtime(now) + (request.length or MAX_SESSION_US) + RECORD_RETENTION_US
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
        """Restore a record of an earlier generation; `session` is its new number, 0 if it has ended."""
        self._kept_until[digest] = intent.until
        self._expiries.append((intent.until, digest))
        if session:
            self._records[session] = digest, intent

    def record_end(self, now: int, session: int, may_have_run: bool) -> None:
        """Record the end of a session; remove its record if it provably never ran, or is free."""
        digest, intent = self._records.pop(session, ("", None))
        if intent is None:
            return
        if may_have_run and not intent.free:
            self._record_writer.save(
                now, RecordKind.INTENT, digest, msgspec.structs.replace(intent, over=True)
            )
        else:
            self._kept_until.pop(digest, None)
            self._record_writer.save(now, RecordKind.INTENT, digest, None)

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
        self._record_writer.save(now, RecordKind.INTENT, digest, intent, on_recorded)

    def _remove_expired(self, now: int) -> None:
        """Remove expired records, without which the file would grow forever."""
        running_time = self._record_writer.runtime(now)
        for _ in range(min(MAX_REMOVED_PER_WRITE, len(self._expiries))):
            until, digest = self._expiries[0]
            if until > running_time:
                return
            self._expiries.popleft()
            if self._kept_until.get(digest) == until:
                del self._kept_until[digest]
                self._record_writer.save(now, RecordKind.INTENT, digest, None)
