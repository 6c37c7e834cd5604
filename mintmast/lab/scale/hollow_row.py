"""What is held of one hollow gateway, and of one change among them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mintmast.decisions.gateways.gossip_messages import MemberUpdate
from mintmast.http.client import HttpClient
from mintmast.loop import Loop
from mintmast.peers import membership_transport


class Seals(membership_transport.MembershipTransport):
    """A roster that seals and opens and does nothing else: no port, no `Members`."""

    def __init__(self, secret: str) -> None:
        self._secrets = [secret.encode()]
        self.malformed = self.unauthenticated = 0


@dataclass(slots=True)
class Row:
    """One hollow gateway. `words` and `number` are those of its last word and probe."""

    index: int
    name: str
    start: int
    begun: int  # µs; its words are counted from then, as it sends others to others
    loop: Loop
    words: int = 0
    number: int = 0
    incarnation: int = 0
    version: int = 0  # of its last word of whom it holds aside
    client: HttpClient | None = None
    port: Any = None


@dataclass(slots=True, frozen=True)
class Change:
    """A hollow gateway that stands otherwise: what was told, what is told, and who knows from when."""

    index: int
    before: MemberUpdate
    after: MemberUpdate
    times: list[float]
    first: float  # when the first knows, and when three in four do
    most: float
