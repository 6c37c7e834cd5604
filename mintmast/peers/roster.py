"""Words of membership on the network: sealed datagrams, and HTTP to the peers' port as the second path.

A datagram is `MM`, a version, a seal of 16 bytes (HMAC-SHA256, cut) over what follows, and a word in
MessagePack. The second path carries the same bytes, `POST /v1/members`, answered by a sealed word. What is
not good is dropped and counted. `docs/design/gateway-membership.md` has it all.
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
# bytes of one datagram: every path takes so many whole
MOST_BYTES = 1200


def address_of(text: str) -> Address:
    """Give host and port of HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"{text[:100]!r} is not HOST:PORT")
    return host, int(port)


def _revision(told: tuple[int, int, int]) -> str:
    term, number, mark = told
    return f"{term}.{number}/{mark:08x}"


class Roster:
    """Carries one gateway's `Members`. `members` are all gateways with their addresses, `listen` its own.

    `secrets` seal (the first) and open (all). `say(event, **fields)` takes log lines, `tell` hears what
    others decide by. `place` is told to the others
    where it is not what `members` has. `members` changes as gateways move. Raises OSError where the address
    cannot be had.
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
        # hears which configuration others have in force; set before the first word is waited for
        self.heads: Callable[[HeadHeard], None] | None = None
        self._reply: tuple[str, bytes] | None = None
        self._client = HttpClient(loop, ClientLimits(idle_each=1, body_bytes=4096), f"mintmast/{gateway}")
        self._port = loop.datagrams(*listen, self._came)
        self._carry(self.members.begin(loop.now()))

    # Out

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
        """Reach a gateway elsewhere; what is no address is counted, and the settings' one kept."""
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

    # In

    def _came(self, data: bytes, peer: tuple[str, int]) -> None:
        word = self.open(data)
        if word is not None:
            self._take(Heard(word))

    def called(self, body: bytes) -> bytes | None:
        """Answer a word that came over HTTP; None where it is not good, or wants no answer."""
        word = self.open(body)
        if word is None:
            return None
        self._reply = None
        self._take(Heard(word, True))
        told, self._reply = self._reply, None
        return told[1] if told is not None and told[0] == word.sender else None

    def seal(self, word: Word) -> bytes:
        """Give a word as it is sent: with as much of its news as one datagram takes."""
        body = msgspec.msgpack.encode(word)
        while word.news and len(MARK) + SEAL + len(body) > MOST_BYTES:
            word = msgspec.structs.replace(word, news=word.news[: len(word.news) // 2])
            body = msgspec.msgpack.encode(word)
        return MARK + self._mac(self._secrets[0], body) + body

    def open(self, data: bytes) -> Word | None:
        """Give the word of good bytes; others are counted."""
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

    # For operators

    def forget(self, name: str, start: int = 0) -> bool:
        """Take an operator's word that a gateway is gone for good; False for one that is none.

        `start` is the last one known of it when the word was given, where that was before this start.
        """
        if name not in self.members.others:
            return False
        self._say("member_forgotten", name=name)
        self._take(Forget(name, start))
        return True

    def state(self) -> dict[str, Any]:
        """Tell what is believed of each gateway, for operators."""
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
        """Say goodbye, and hear nothing more."""
        self._carry(self.members.leave(self._loop.now()))
        self._port.close()
