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
from mintmast.decisions.gateways.records import Intent, Keeper, Kind
from mintmast.decisions.gateways.witness import KEPT, LONGEST, digest_of
from mintmast.decisions.messages import Ask
from mintmast.decisions.sessions.sessions import Session, name_of

# Expired intents removed with each new one, at most; they are written, and so expire, one by one
SWEPT_AT_ONCE = 4


@dataclass(slots=True, frozen=True)
class Catalogue:
    """The names of the classes, tenants and titles that the settings number.

    Records hold names, because they outlive a change of the settings, which may change the numbers.
    """

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()

    def names(self, ask: Ask) -> tuple[str, str, str]:
        """Return the names of a request's class, tenant and title; "" for each that has none."""
        numbered = (self.classes, ask.service), (self.tenants, ask.tenant), (self.titles, ask.title)
        told = [names[place] if place < len(names) else "" for names, place in numbered]
        return told[0], told[1], told[2]

    def numbers(self, intent: Intent) -> tuple[int, int, int] | None:
        """Return the current numbers of a record's names; None if the settings no longer have one of them."""
        try:
            tenant = self.tenants.index(intent.tenant) if intent.tenant else 0
            return self.classes.index(intent.service), tenant, self.titles.index(intent.title)
        except ValueError:
            return None


class Intents:
    """The intents of one gateway; `gateway` and `generation` identify the run of its process."""

    def __init__(
        self, keeper: Keeper, claims: Claims, catalogue: Catalogue, gateway: str, start: int
    ) -> None:
        self._keeper, self._claims, self._catalogue = keeper, claims, catalogue
        self._gateway, self._start = gateway, start
        self._written: dict[int, tuple[str, Intent]] = {}  # by session: digest and record
        self._ends: deque[tuple[int, str]] = deque()  # (running time in µs at expiry, digest)
        self._until: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._until)

    def adopt(self, catalogue: Catalogue) -> None:
        """Use these names for the records that are written from now on."""
        self._catalogue = catalogue

    def before(self, now: int, session: Session, clock: int, then: Callable[[int, bool], None]) -> None:
        """Record that a session's set-up is about to be sent to its host.

        Calls `on_recorded(now, is_durable)` once: the set-up may be sent only if `is_durable` is true.
        `clock_reading` is the last reading of the host's clock (µs, -1 for none).
        """
        ask = session.ask
        if not self._keeper.on or session.server is None or not (ask.key or session.free):
            then(now, True)
            return
        name = name_of(self._gateway, self._start, session.number)
        service, tenant, title = self._catalogue.names(ask)
        owner, number = self._claims.owned(session.number)
        until = self._keeper.ran(now) + (ask.length or LONGEST) + KEPT
        intent = Intent(
            until,
            ask.key,
            name,
            session.server.decode(),
            session.epoch,
            clock,
            session.rung,
            service,
            tenant,
            title,
            ask.best_rung,
            ask.length,
            ask.home_cell,
            ask.copies,
            session.free,
            owner,
            number,
        )
        if session.free:
            self._put(now, session.number, name, intent)
            then(now, True)
        else:
            self._put(now, session.number, digest_of(ask.key), intent, then)

    def found(self, now: int, session: int, digest: str, intent: Intent) -> None:
        """Restore a record of an earlier generation; `session` is its new number, 0 if it has ended."""
        self._until[digest] = intent.until
        self._ends.append((intent.until, digest))
        if session:
            self._written[session] = digest, intent

    def over(self, now: int, session: int, ran: bool) -> None:
        """Record the end of a session; remove its record if it provably never ran, or is free."""
        digest, intent = self._written.pop(session, ("", None))
        if intent is None:
            return
        if ran and not intent.free:
            self._keeper.keep(now, Kind.INTENT, digest, msgspec.structs.replace(intent, over=True))
        else:
            self._until.pop(digest, None)
            self._keeper.keep(now, Kind.INTENT, digest, None)

    def _put(
        self,
        now: int,
        session: int,
        digest: str,
        intent: Intent,
        then: Callable[[int, bool], None] | None = None,
    ) -> None:
        self._sweep(now)
        self._written[session] = digest, intent
        self._until[digest] = intent.until
        self._ends.append((intent.until, digest))
        self._keeper.keep(now, Kind.INTENT, digest, intent, then)

    def _sweep(self, now: int) -> None:
        """Remove expired records, without which the file would grow forever."""
        ran = self._keeper.ran(now)
        for _ in range(min(SWEPT_AT_ONCE, len(self._ends))):
            until, digest = self._ends[0]
            if until > ran:
                return
            self._ends.popleft()
            if self._until.get(digest) == until:
                del self._until[digest]
                self._keeper.keep(now, Kind.INTENT, digest, None)
