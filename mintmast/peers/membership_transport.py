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
        address = self._configured_addresses[command.name]
        if command.address:
            try:
                address = parse_address(command.address)
            except ValueError:
                self.malformed += 1
        self._addresses[command.name] = address
        self._log("member_moved", name=command.name, to=f"{address[0]}:{address[1]}")

    def _send(self, command: SendGossip) -> None:
        data = self.encode(command.message)
        if not command.reliable:
            self._port.send(data, self._addresses[command.to])
        elif command.message.kind in (GossipKind.ACK, GossipKind.NACK):
            self._pending_reply = command.to, data
        else:
            self._post(command, data)

    def _post(self, command: SendGossip, data: bytes) -> None:
        def finished(reply: Reply | CallFailure) -> None:
            if reply is CallFailure.REFUSED:
                self._take(ConnectionRefused(command.to, command.known_generation, command.sent_at))
            elif not isinstance(reply, CallFailure) and reply.status == 200:
                message = self.decode(reply.body)
                if message is not None and message.sender == command.to:
                    self._take(GossipReceived(message, True))

        headers = [("Content-Type", "application/octet-stream")]
        deadline = self._loop.now() + PROBE_PERIOD_US
        self._client.call(self._addresses[command.to], "POST", PATH, finished, headers, data, deadline)

    # Receiving

    def _datagram_received(self, data: bytes, peer: tuple[str, int]) -> None:
        message = self.decode(data)
        if message is not None:
            self._take(GossipReceived(message))

    def handle_request(self, body: bytes) -> bytes | None:
        """Return the answer to a message that came over HTTP; None if it is invalid or needs no answer."""
        message = self.decode(body)
        if message is None:
            return None
        self._pending_reply = None
        self._take(GossipReceived(message, True))
        reply, self._pending_reply = self._pending_reply, None
        return reply[1] if reply is not None and reply[0] == message.sender else None

    def encode(self, message: GossipMessage) -> bytes:
        """Return a message as bytes; updates that do not fit into one datagram are left out."""
        body = msgspec.msgpack.encode(message)
        while message.updates and len(MAGIC) + MAC_BYTES + len(body) > MAX_DATAGRAM_BYTES:
            message = msgspec.structs.replace(message, updates=message.updates[: len(message.updates) // 2])
            body = msgspec.msgpack.encode(message)
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
        now, members = self._loop.now(), self.members
        may_spend, relied_on = members.counts()
        return {
            "gateway": members.name,
            "start": members.own_status.generation,
            "steady": members.is_steady,
            "condemned": members.disqualified_reason,
            "slow": members.health_penalty,
            "count": {"may_spend": may_spend, "relied_on": relied_on},
            "dropped": {**members.dropped, "malformed": self.malformed, "unsealed": self.unauthenticated},
            "members": {
                name: {
                    "stands": member.liveness.name.lower(),
                    "because": member.liveness.value,
                    "gone": MEMBER_POLICIES[member.liveness].process_ended,
                    "start": member.status.generation,
                    "since_s": round((now - member.since) / 1e6, 1) if member.since else None,
                    "heard_s": None if member.heard_at is None else round((now - member.heard_at) / 1e6, 1),
                    "path": member.path.value,
                    "observers": sorted(member.observers),
                    **({} if member.revision is None else {"revision": _format_revision(member.revision)}),
                }
                for name, member in members.others.items()
            },
        }

    def close(self) -> None:
        """Announce the shutdown and stop receiving."""
        self._execute(self.members.leave(self._loop.now()))
        self._port.close()
