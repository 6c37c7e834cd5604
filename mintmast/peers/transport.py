"""Calls between gateways: HTTP/1.1 on persistent connections, JSON bodies, an HMAC on both (RFC 2104).

Each `POST /v1/peers` carries one claim, release, learn request, announcement of exclusions or request for
revisions. The MAC covers the body, which names the sender, the time and a digest of the list of members. The
reply's MAC also covers the call's, so that no reply can pass for that of another call. An invalid call is
answered with 400, 401 or 409 and counts as no vote at the caller. `docs/design/peer-protocol.md` is the full
description.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

import msgspec

from mintmast.core.ports import PeerEvents
from mintmast.decisions.gateways.claim_messages import (
    ExclusionsAcknowledged,
    KnownClaim,
    LearnReply,
    PeerCall,
    PeerReply,
    SendClaim,
    SendExclusions,
    SendLearnRequest,
    SendRelease,
    Vote,
    VoteReceived,
)
from mintmast.decisions.gateways.revision_types import (
    PullFailed,
    PullRevisions,
    PullSucceeded,
    RevisionReply,
    RevisionRequest,
)
from mintmast.http.client import Address, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import Exchange, HttpServer, ServerLimits
from mintmast.loop import Loop
from mintmast.peers import membership_transport

PATH = "/v1/peers"
MAC_HEADER = "mintmast-mac"
# calls in flight to one peer; a further one is not sent and counts as unanswered. A peer that hangs holds so
# many for a quarter of a second, about 200 kB
MAX_CALLS_PER_PEER = 1000
# bytes of a call body: enough to name every other gateway of the largest region with the longest names
MAX_CALL_BYTES = 32_768


class CallBody(msgspec.Struct, omit_defaults=True):
    """Body of a call; times are in ms except `at`, in seconds since 1970."""

    owner: str
    at: float
    members: str
    digest: str = ""
    number: int = 0
    keep_ms: int = 0
    release: bool = False
    learn: str | None = None
    aside: tuple[str, ...] | None = None
    version: int = 0
    to: int = 0
    revisions: RevisionRequest | None = None


class ReplyBody(msgspec.Struct, omit_defaults=True):
    """Body of a reply; records are (digest, owner, number, ms until expiry)."""

    vote: str = Vote.NONE.value
    records: tuple[KnownClaim, ...] = ()
    more: bool = False
    without: tuple[str, ...] = ()
    start: int = 0
    unready: tuple[str, ...] = ()
    covered: tuple[str, ...] = ()
    version: int = -1
    before: int = 0
    revisions: RevisionReply | None = None


class PeerTransport:
    """Client and server of the calls between this gateway and the others.

    `members` maps the names of all gateways to addresses. The first of `secrets` signs, all of them verify.
    `max_skew` is the maximum difference in seconds between a call's time and the local clock.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: str,
        generation: int,
        members: dict[str, Address],
        secrets: list[str],
        max_skew: float,
        events: PeerEvents,
        listen: Address,
    ) -> None:
        self._loop, self._gateway, self._members, self._max_skew = loop, gateway, members, max_skew
        self._generation, self._owner = generation, f"{gateway}/{generation:x}"
        self._secrets = [each.encode() for each in secrets]
        self._members_digest = hashlib.blake2b(" ".join(sorted(members)).encode(), digest_size=8).hexdigest()
        self._events = events
        self.answer_gossip: Callable[[bytes], bytes | None] | None = None
        # None if the settings have no `configuration`
        self.answer_revisions: Callable[[RevisionRequest], RevisionReply | None] | None = None
        self._in_flight: dict[str | Address, int] = dict.fromkeys(members, 0)
        self._client = HttpClient(
            loop, ClientLimits(idle_per_address=32, body_bytes=1 << 20), f"mintmast/{gateway}"
        )
        limits = ServerLimits(
            connections=64 * (len(members) + 1), body_bytes=MAX_CALL_BYTES, idle_time=60_000_000
        )
        self.server = HttpServer(loop, *listen, self._handle, limits)

    # Client

    def send_claim(self, call: SendClaim) -> None:
        """Send a claim to a witness; the vote is reported exactly once, after this returns."""

        def finish(reply: ReplyBody | None) -> None:
            received = ReplyBody() if reply is None else reply
            self._events.handle_reply(
                VoteReceived(call.peer, call.number, Vote(received.vote), received.without, received.start)
            )

        body = self._body(digest=call.digest, number=call.number, keep_ms=call.retention // 1000)
        self._call(call.peer, body, call.deadline, finish)

    def send_release(self, call: SendRelease) -> None:
        """Send the release of a claim."""
        body = self._body(digest=call.digest, number=call.number, release=True)
        body.owner = call.owner or self._owner
        self._call(call.peer, body, call.deadline, lambda reply: None)

    def send_learn_request(self, call: SendLearnRequest) -> None:
        """Request the claims that another gateway knows; the reply is reported exactly once."""

        def finish(reply: ReplyBody | None) -> None:
            if reply is None:
                self._events.handle_reply(LearnReply(call.peer, answered=False, number=call.number))
                return
            records = tuple(
                (digest, owner, number, retention * 1000)
                for digest, owner, number, retention in reply.records
            )
            more = reply.more and bool(records)
            fields = reply.start, reply.unready, reply.covered, reply.before
            self._events.handle_reply(LearnReply(call.peer, records, more, True, call.number, *fields))

        self._call(call.peer, self._body(learn=call.after), call.deadline, finish)

    def send_exclusions(self, call: SendExclusions) -> None:
        """Send exclusions to another gateway; the acknowledgement or its absence is reported exactly once."""

        def finish(reply: ReplyBody | None) -> None:
            self._events.handle_reply(
                ExclusionsAcknowledged(call.peer, -1 if reply is None else reply.version)
            )

        body = self._body(aside=call.excluded, version=call.version, to=call.to_generation)
        self._call(call.peer, body, call.deadline, finish)

    def request_revisions(
        self, peer: str | Address, call: PullRevisions, on_reply: Callable[[PullSucceeded | PullFailed], None]
    ) -> None:
        """Request revisions from a gateway, by name or address; `on_reply` is called asynchronously, once.

        The call carries no digest of the members: configuration must reach gateways whose lists differ.
        """

        def finish(reply: ReplyBody | None) -> None:
            revisions = None if reply is None else reply.revisions
            on_reply(PullFailed(call.call) if revisions is None else PullSucceeded(call.call, revisions))

        if isinstance(peer, str) and peer not in self._members:
            self._loop.call_soon(finish, None)
            return
        self._call(
            peer, CallBody(self._owner, self._loop.wall(), "", revisions=call.request), call.deadline, finish
        )

    def _body(self, **more: Any) -> CallBody:
        return CallBody(self._owner, self._loop.wall(), self._members_digest, **more)

    def _call(
        self, peer: str | Address, body: CallBody, deadline: int, on_reply: Callable[[ReplyBody | None], None]
    ) -> None:
        address = self._members[peer] if isinstance(peer, str) else peer
        if self._in_flight.setdefault(peer, 0) >= MAX_CALLS_PER_PEER:
            self._loop.call_soon(on_reply, None)
            return
        self._in_flight[peer] += 1
        data = msgspec.json.encode(body)
        mac = self._compute_mac(self._secrets[0], data)

        def finish(reply: Reply | CallFailure) -> None:
            self._in_flight[peer] -= 1
            on_reply(self._decode_reply(reply, mac))

        headers = [("Content-Type", "application/json"), (MAC_HEADER, mac)]
        self._client.call(address, "POST", PATH, finish, headers, data, deadline)

    def _decode_reply(self, reply: Reply | CallFailure, mac: str) -> ReplyBody | None:
        if isinstance(reply, CallFailure) or reply.status != 200:
            return None
        if not self._is_authentic(reply.headers.get(MAC_HEADER, ""), mac.encode() + reply.body):
            return None
        try:
            body = msgspec.json.decode(reply.body, type=ReplyBody)
            Vote(body.vote)
        except (msgspec.DecodeError, ValueError, RecursionError):
            return None
        return body

    @staticmethod
    def _compute_mac(secret: bytes, data: bytes) -> str:
        return hmac.new(secret, data, hashlib.sha256).hexdigest()

    def _is_authentic(self, mac: str, data: bytes) -> bool:
        mac_bytes = mac.encode("utf-8", "replace")
        return any(
            hmac.compare_digest(self._compute_mac(each, data).encode(), mac_bytes) for each in self._secrets
        )

    # Server

    def _handle(self, exchange: Exchange) -> None:
        if (
            exchange.path == membership_transport.PATH
            and exchange.method == "POST"
            and self.answer_gossip is not None
        ):
            reply = self.answer_gossip(exchange.body)
            if reply is None:
                exchange.respond_problem(401, "not a word that wants an answer")
            else:
                exchange.respond(200, [("Content-Type", "application/octet-stream")], reply)
            return
        if exchange.path != PATH or exchange.method != "POST":
            exchange.respond_problem(404, "no such path")
            return
        mac = exchange.headers.get(MAC_HEADER, "")
        if not self._is_authentic(mac, exchange.body):
            exchange.respond_problem(401, "the call is not signed with a secret known here")
            return
        try:
            body = msgspec.json.decode(exchange.body, type=CallBody)
        except (msgspec.DecodeError, RecursionError) as error:
            exchange.respond_problem(400, f"not a call: {error}")
            return
        if abs(body.at - self._loop.wall()) > self._max_skew:
            exchange.respond_problem(401, "the call is too old, or clocks differ too much")
        elif body.revisions is not None:
            self._respond_revisions(exchange, body.revisions, mac)
        elif body.members != self._members_digest or body.owner.partition("/")[0] not in self._members:
            exchange.respond_problem(409, "the list of gateways is another one here")
        elif body.learn is None and body.aside is None and not body.digest:
            exchange.respond_problem(400, "a claim names a digest")
        else:
            retention = max(0, body.keep_ms) * 1000
            digest, number = body.digest[:64], body.number
            exclusions = body.aside, body.version, body.to
            call = PeerCall(0, body.owner, digest, number, retention, body.release, body.learn, *exclusions)
            self._events.handle_call(call, lambda reply: self._respond(exchange, reply, mac))

    def _respond(self, exchange: Exchange, reply: PeerReply, mac: str) -> None:
        if not reply.answered:
            exchange.respond_problem(503, "this process must not act under its name any more")
            return
        records = tuple(
            (digest, owner, number, retention // 1000) for digest, owner, number, retention in reply.records
        )
        rest = (
            reply.more,
            reply.excluded,
            self._generation,
            reply.not_voting_with,
            reply.vouched_for,
            reply.version,
            reply.previous_generation,
        )
        self._send_reply(exchange, ReplyBody(reply.vote.value, records, *rest), mac)

    def _respond_revisions(self, exchange: Exchange, request: RevisionRequest, mac: str) -> None:
        revisions = None if self.answer_revisions is None else self.answer_revisions(request)
        if revisions is None:
            exchange.respond_problem(400, "no question, or no configuration is shared here")
        else:
            self._send_reply(exchange, ReplyBody(revisions=revisions), mac)

    def _send_reply(self, exchange: Exchange, body: ReplyBody, mac: str) -> None:
        data = msgspec.json.encode(body)
        reply_mac = self._compute_mac(self._secrets[0], mac.encode() + data)
        exchange.respond(200, [("Content-Type", "application/json"), (MAC_HEADER, reply_mac)], data)

    def close(self) -> None:
        """Close the server; no further calls are accepted."""
        self.server.close()
