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

from mintmast.decisions.gateways.claim_messages import PeerStatusChanged, ProcessDisqualified
from mintmast.decisions.gateways.gossip_messages import GossipKind, GossipMessage, GossipWithDigest
from mintmast.decisions.gateways.member_status import MEMBER_POLICIES
from mintmast.decisions.gateways.members import PROBE_PERIOD_US, Members
from mintmast.decisions.gateways.membership_types import (
    ConnectionRefused,
    Event,
    ForgetMember,
    GossipReceived,
    MemberChanged,
    MemberMoved,
    OperatorNotice,
    ScheduleTimer,
    SendGossip,
    TimerFired,
)
from mintmast.decisions.gateways.revision_types import RevisionAnnounced
from mintmast.http.client import Address, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.loop import Loop

PATH = "/v1/members"
MAGIC = b"MM\x01"
MAC_BYTES = 16
# size limit of a datagram in bytes: every path carries this many without fragmentation
MAX_DATAGRAM_BYTES = 1200


def parse_address(text: str) -> Address:
    """Return host and port of HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"address {text[:100]!r} is not HOST:PORT")
    return host, int(port)


def _format_revision(summary: tuple[int, int, int]) -> str:
    term, number, mark = summary
    return f"{term}.{number}/{mark:08x}"


class MembershipTransport:
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
        generation: int,
        members: dict[str, Address],
        secrets: list[str],
        listen: Address,
        seed: int,
        log: Callable[..., None],
        notify: Callable[[PeerStatusChanged | ProcessDisqualified], None] = lambda event: None,
        address: str = "",
    ) -> None:
        self._loop, self._addresses, self._log, self._notify = loop, members, log, notify
        self._configured_addresses = dict(members)
        self._secrets = [each.encode() for each in secrets]
        self.members = Members(
            gateway, generation, tuple(sorted(members)), random.Random(f"{seed}/members"), address
        )
        self.malformed = self.unauthenticated = 0
        # receives the revisions that others announce; must be set before the first message arrives
        self.on_revision_announced: Callable[[RevisionAnnounced], None] | None = None
        self._pending_reply: tuple[str, bytes] | None = None
        self._client = HttpClient(
            loop, ClientLimits(idle_per_address=1, body_bytes=4096), f"mintmast/{gateway}"
        )
        self._port = loop.open_datagrams(*listen, self._datagram_received)
        self._execute(self.members.begin(loop.now()))

    # Sending

    def _take(self, event: Event) -> None:
        self._execute(self.members.handle(self._loop.now(), event))

    def _execute(self, commands: list) -> None:
        for command in commands:
            if isinstance(command, ScheduleTimer):
                self._loop.call_at(command.at, self._take, TimerFired(command.at))
            elif isinstance(command, SendGossip):
                self._send(command)
            elif isinstance(command, MemberChanged):
                stands, by = command.liveness.value, list(command.observers)
                self._log("member", name=command.name, stands=stands, start=command.generation, by=by)
                self._notify(PeerStatusChanged(command.name, command.liveness, command.generation))
            elif isinstance(command, RevisionAnnounced):
                if self.on_revision_announced is not None:
                    self.on_revision_announced(command)
            elif isinstance(command, MemberMoved):
                self._update_address(command)
            elif isinstance(command, OperatorNotice):
                self._log("membership", what=command.what, about=command.about)
                if command.what == "condemned":
                    self._notify(ProcessDisqualified(command.about))

    def _update_address(self, command: MemberMoved) -> None:
        """Store a member's new address; an invalid one is counted, and the one in the settings is used."""
        place = self._configured_addresses[command.name]
        if command.address:
            try:
                place = parse_address(command.address)
            except ValueError:
                self.malformed += 1
        self._addresses[command.name] = place
        self._log("member_moved", name=command.name, to=f"{place[0]}:{place[1]}")

    def _send(self, command: SendGossip) -> None:
        data = self.encode(command.message)
        if not command.reliable:
            self._port.send(data, self._addresses[command.to])
        elif command.message.kind in (GossipKind.ACK, GossipKind.NACK):
            self._pending_reply = command.to, data
        else:
            self._post(command, data)

    def _post(self, command: SendGossip, data: bytes) -> None:
        def ended(reply: Reply | CallFailure) -> None:
            if reply is CallFailure.REFUSED:
                self._take(ConnectionRefused(command.to, command.known_generation, command.sent_at))
            elif not isinstance(reply, CallFailure) and reply.status == 200:
                word = self.decode(reply.body)
                if word is not None and word.sender == command.to:
                    self._take(GossipReceived(word, True))

        headers = [("Content-Type", "application/octet-stream")]
        until = self._loop.now() + PROBE_PERIOD_US
        self._client.call(self._addresses[command.to], "POST", PATH, ended, headers, data, until)

    # Receiving

    def _datagram_received(self, data: bytes, peer: tuple[str, int]) -> None:
        word = self.decode(data)
        if word is not None:
            self._take(GossipReceived(word))

    def handle_request(self, body: bytes) -> bytes | None:
        """Return the answer to a message that came over HTTP; None if it is invalid or needs no answer."""
        word = self.decode(body)
        if word is None:
            return None
        self._pending_reply = None
        self._take(GossipReceived(word, True))
        told, self._pending_reply = self._pending_reply, None
        return told[1] if told is not None and told[0] == word.sender else None

    def encode(self, word: GossipMessage) -> bytes:
        """Return a message as bytes; updates that do not fit into one datagram are left out."""
        body = msgspec.msgpack.encode(word)
        while word.updates and len(MAGIC) + MAC_BYTES + len(body) > MAX_DATAGRAM_BYTES:
            word = msgspec.structs.replace(word, updates=word.updates[: len(word.updates) // 2])
            body = msgspec.msgpack.encode(word)
        return MAGIC + self._mac(self._secrets[0], body) + body

    def decode(self, data: bytes) -> GossipMessage | None:
        """Return the message of authentic bytes; count all others and return None."""
        mac, body = data[len(MAGIC) : len(MAGIC) + MAC_BYTES], data[len(MAGIC) + MAC_BYTES :]
        if not data.startswith(MAGIC) or len(data) > MAX_DATAGRAM_BYTES:
            self.malformed += 1
            return None
        if not any(hmac.compare_digest(self._mac(each, body), mac) for each in self._secrets):
            self.unauthenticated += 1
            return None
        try:
            return msgspec.msgpack.decode(body, type=GossipWithDigest)
        except (msgspec.MsgspecError, RecursionError):
            self.malformed += 1
            return None

    @staticmethod
    def _mac(secret: bytes, body: bytes) -> bytes:
        return hmac.new(secret, b"members" + body, hashlib.sha256).digest()[:MAC_BYTES]

    # Operators

    def forget(self, name: str, generation: int = 0) -> bool:
        """Mark a gateway as gone for good on an operator's request; return False for an unknown name.

        `generation` is set for a request from before this gateway's last restart: the one known at that time.
        """
        if name not in self.members.others:
            return False
        self._log("member_forgotten", name=name)
        self._take(ForgetMember(name, generation))
        return True

    def state(self) -> dict[str, Any]:
        """Return what is known about each gateway, for operators."""
        now, part = self._loop.now(), self.members
        spend, rely = part.counts()
        return {
            "gateway": part.name,
            "start": part.own_status.generation,
            "steady": part.is_steady,
            "condemned": part.disqualified_reason,
            "slow": part.health_penalty,
            "count": {"may_spend": spend, "relied_on": rely},
            "dropped": {**part.dropped, "malformed": self.malformed, "unsealed": self.unauthenticated},
            "members": {
                name: {
                    "stands": each.liveness.name.lower(),
                    "because": each.liveness.value,
                    "gone": MEMBER_POLICIES[each.liveness].process_ended,
                    "start": each.status.generation,
                    "since_s": round((now - each.since) / 1e6, 1) if each.since else None,
                    "heard_s": None if each.heard_at is None else round((now - each.heard_at) / 1e6, 1),
                    "path": each.path.value,
                    "observers": sorted(each.observers),
                    **({} if each.revision is None else {"revision": _format_revision(each.revision)}),
                }
                for name, each in part.others.items()
            },
        }

    def close(self) -> None:
        """Announce the shutdown and stop receiving."""
        self._execute(self.members.leave(self._loop.now()))
        self._port.close()
