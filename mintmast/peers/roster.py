"""Transport of the membership protocol: authenticated datagrams, and HTTP on the peers' port as second path.

A datagram is `MM`, a version byte, a truncated HMAC-SHA256 of 16 bytes over the rest, and a message in
MessagePack. The second path carries the same bytes in `POST /v1/members` and is answered with a message in
the same form. Invalid input is dropped and counted. The design is in `docs/design/gateway-membership.md`.
"""

from __future__ import annotations

import hashlib
import hmac
import random
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast.decisions.gateways.members import PERIOD, Members
from mintmast.decisions.gateways.revising import HeadHeard
from mintmast.decisions.gateways.roll import (
    Changed,
    Event,
    Forget,
    Heard,
    Moved,
    Noted,
    Refused,
    SendWord,
    Tick,
    WakeAt,
)
from mintmast.decisions.gateways.standing import CONCLUSIONS
from mintmast.decisions.gateways.talk import Condemned, PeerStands
from mintmast.decisions.gateways.words import Kind, TabledWord, Word
from mintmast.http.client import Address, ClientLimits, Fault, HttpClient, Reply
from mintmast.loop import Loop

PATH = "/v1/members"
MARK = b"MM\x01"
SEAL = 16
# size limit of a datagram in bytes: every path carries this many without fragmentation
MOST_BYTES = 1200


def address_of(text: str) -> Address:
    """Return host and port of HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"address {text[:100]!r} is not HOST:PORT")
    return host, int(port)


def _revision(told: tuple[int, int, int]) -> str:
    term, number, mark = told
    return f"{term}.{number}/{mark:08x}"


class Roster:
    """Runs one gateway's `Members` on a loop. `members` has the addresses of all gateways.

    The first of `secrets` authenticates what is sent, all are accepted on receipt. `log(event, **fields)`
    writes a log line; `notify` receives what other parts of the gateway decide by. `address` is announced to
    the other gateways where it differs from the one in `members`. `members` is updated as gateways move.
    Raises OSError if `listen` cannot be bound.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: str,
        start: int,
        members: dict[str, Address],
        secrets: list[str],
        listen: Address,
        seed: int,
        say: Callable[..., None],
        tell: Callable[[PeerStands | Condemned], None] = lambda event: None,
        place: str = "",
    ) -> None:
        self._loop, self._addresses, self._say, self._tell = loop, members, say, tell
        self._told = dict(members)
        self._secrets = [each.encode() for each in secrets]
        self.members = Members(
            gateway, start, tuple(sorted(members)), random.Random(f"{seed}/members"), place
        )
        self.malformed = self.unsealed = 0
        # receives the revisions that others announce; must be set before the first message arrives
        self.heads: Callable[[HeadHeard], None] | None = None
        self._reply: tuple[str, bytes] | None = None
        self._client = HttpClient(loop, ClientLimits(idle_each=1, body_bytes=4096), f"mintmast/{gateway}")
        self._port = loop.datagrams(*listen, self._came)
        self._carry(self.members.begin(loop.now()))

    # Sending

    def _take(self, event: Event) -> None:
        self._carry(self.members.take(self._loop.now(), event))

    def _carry(self, commands: list) -> None:
        for command in commands:
            if isinstance(command, WakeAt):
                self._loop.call_at(command.at, self._take, Tick(command.at))
            elif isinstance(command, SendWord):
                self._send(command)
            elif isinstance(command, Changed):
                stands, by = command.proof.value, list(command.by)
                self._say("member", name=command.name, stands=stands, start=command.start, by=by)
                self._tell(PeerStands(command.name, command.proof, command.start))
            elif isinstance(command, HeadHeard):
                if self.heads is not None:
                    self.heads(command)
            elif isinstance(command, Moved):
                self._move(command)
            elif isinstance(command, Noted):
                self._say("membership", what=command.what, about=command.about)
                if command.what == "condemned":
                    self._tell(Condemned(command.about))

    def _move(self, command: Moved) -> None:
        """Store a member's new address; an invalid one is counted, and the one in the settings is used."""
        place = self._told[command.name]
        if command.place:
            try:
                place = address_of(command.place)
            except ValueError:
                self.malformed += 1
        self._addresses[command.name] = place
        self._say("member_moved", name=command.name, to=f"{place[0]}:{place[1]}")

    def _send(self, command: SendWord) -> None:
        data = self.seal(command.word)
        if not command.sure:
            self._port.send(data, self._addresses[command.to])
        elif command.word.kind in (Kind.ACK, Kind.NACK):
            self._reply = command.to, data
        else:
            self._call(command, data)

    def _call(self, command: SendWord, data: bytes) -> None:
        def ended(reply: Reply | Fault) -> None:
            if reply is Fault.REFUSED:
                self._take(Refused(command.to, command.known, command.at))
            elif not isinstance(reply, Fault) and reply.status == 200:
                word = self.open(reply.body)
                if word is not None and word.sender == command.to:
                    self._take(Heard(word, True))

        headers = [("Content-Type", "application/octet-stream")]
        until = self._loop.now() + PERIOD
        self._client.call(self._addresses[command.to], "POST", PATH, ended, headers, data, until)

    # Receiving

    def _came(self, data: bytes, peer: tuple[str, int]) -> None:
        word = self.open(data)
        if word is not None:
            self._take(Heard(word))

    def called(self, body: bytes) -> bytes | None:
        """Return the answer to a message that came over HTTP; None if it is invalid or needs no answer."""
        word = self.open(body)
        if word is None:
            return None
        self._reply = None
        self._take(Heard(word, True))
        told, self._reply = self._reply, None
        return told[1] if told is not None and told[0] == word.sender else None

    def seal(self, word: Word) -> bytes:
        """Return a message as bytes; updates that do not fit into one datagram are left out."""
        body = msgspec.msgpack.encode(word)
        while word.news and len(MARK) + SEAL + len(body) > MOST_BYTES:
            word = msgspec.structs.replace(word, news=word.news[: len(word.news) // 2])
            body = msgspec.msgpack.encode(word)
        return MARK + self._mac(self._secrets[0], body) + body

    def open(self, data: bytes) -> Word | None:
        """Return the message of authentic bytes; count all others and return None."""
        mac, body = data[len(MARK) : len(MARK) + SEAL], data[len(MARK) + SEAL :]
        if not data.startswith(MARK) or len(data) > MOST_BYTES:
            self.malformed += 1
            return None
        if not any(hmac.compare_digest(self._mac(each, body), mac) for each in self._secrets):
            self.unsealed += 1
            return None
        try:
            return msgspec.msgpack.decode(body, type=TabledWord)
        except (msgspec.MsgspecError, RecursionError):
            self.malformed += 1
            return None

    @staticmethod
    def _mac(secret: bytes, body: bytes) -> bytes:
        return hmac.new(secret, b"members" + body, hashlib.sha256).digest()[:SEAL]

    # Operators

    def forget(self, name: str, start: int = 0) -> bool:
        """Mark a gateway as gone for good on an operator's request; return False for an unknown name.

        `generation` is set for a request from before this gateway's last restart: the one known at that time.
        """
        if name not in self.members.others:
            return False
        self._say("member_forgotten", name=name)
        self._take(Forget(name, start))
        return True

    def state(self) -> dict[str, Any]:
        """Return what is known about each gateway, for operators."""
        now, part = self._loop.now(), self.members
        spend, rely = part.counts()
        return {
            "gateway": part.name,
            "start": part.own.start,
            "steady": part.steady,
            "condemned": part.condemned,
            "slow": part.slow,
            "count": {"may_spend": spend, "relied_on": rely},
            "dropped": {**part.dropped, "malformed": self.malformed, "unsealed": self.unsealed},
            "members": {
                name: {
                    "stands": each.proof.name.lower(),
                    "because": each.proof.value,
                    "gone": CONCLUSIONS[each.proof].gone,
                    "start": each.standing.start,
                    "since_s": round((now - each.since) / 1e6, 1) if each.since else None,
                    "heard_s": None if each.heard_at is None else round((now - each.heard_at) / 1e6, 1),
                    "path": each.way.value,
                    "observers": sorted(each.observers),
                    **({} if each.revision is None else {"revision": _revision(each.revision)}),
                }
                for name, each in part.others.items()
            },
        }

    def close(self) -> None:
        """Announce the shutdown and stop receiving."""
        self._carry(self.members.leave(self._loop.now()))
        self._port.close()
