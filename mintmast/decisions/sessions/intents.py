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
from mintmast.decisions.gateways.records import Intent, Keeper, Kind
from mintmast.decisions.gateways.witness import KEPT, LONGEST, digest_of
from mintmast.decisions.messages import Ask
from mintmast.decisions.sessions.sessions import Session, name_of

# intents forgotten at one further intent, at the most: they come one by one
SWEPT_AT_ONCE = 4


@dataclass(slots=True, frozen=True)
class Catalogue:
    """Names of what the settings number: classes, tenants, titles. Records outlive a change of settings."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    titles: tuple[str, ...] = ()

    def names(self, ask: Ask) -> tuple[str, str, str]:
        """Give the names of an ask's class, tenant and title; "" for what has none."""
        numbered = (self.classes, ask.service), (self.tenants, ask.tenant), (self.titles, ask.title)
        told = [names[place] if place < len(names) else "" for names, place in numbered]
        return told[0], told[1], told[2]

    def numbers(self, intent: Intent) -> tuple[int, int, int] | None:
        """Give the numbers that a record's names have now; None where one is not in the settings any more."""
        try:
            tenant = self.tenants.index(intent.tenant) if intent.tenant else 0
            return self.classes.index(intent.service), tenant, self.titles.index(intent.title)
        except ValueError:
            return None


class Intents:
    """The intents of one gateway: `gateway` and `start` name its life."""

    def __init__(
        self, keeper: Keeper, claims: Claims, catalogue: Catalogue, gateway: str, start: int
    ) -> None:
        self._keeper, self._claims, self._catalogue = keeper, claims, catalogue
        self._gateway, self._start = gateway, start
        self._written: dict[int, tuple[str, Intent]] = {}  # by session: digest and record
        self._ends: deque[tuple[int, str]] = deque()  # µs of running until when which digest is kept
        self._until: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._until)

    def adopt(self, catalogue: Catalogue) -> None:
        """Write records from now on with these names."""
        self._catalogue = catalogue

    def before(self, now: int, session: Session, clock: int, then: Callable[[int, bool], None]) -> None:
        """Write that a session is about to be sent to its host; `then(now, good)` when it may leave, or not.

        `clock` is the last reading of the host's clock (µs, -1 for none).
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
        """Take over a record of an earlier life; `session` is its number now, 0 where it is over."""
        self._until[digest] = intent.until
        self._ends.append((intent.until, digest))
        if session:
            self._written[session] = digest, intent

    def over(self, now: int, session: int, ran: bool) -> None:
        """Keep that a session is over; nothing where it provably never ran, or is free."""
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
        """Take out what is over. Danger: the file grows for ever."""
        ran = self._keeper.ran(now)
        for _ in range(min(SWEPT_AT_ONCE, len(self._ends))):
            until, digest = self._ends[0]
            if until > ran:
                return
            self._ends.popleft()
            if self._until.get(digest) == until:
                del self._until[digest]
                self._keeper.keep(now, Kind.INTENT, digest, None)
