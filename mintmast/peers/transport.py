"""Calls between gateways: HTTP/1.1 on kept connections, JSON bodies, both ways under a MAC (RFC 2104).

`POST /v1/peers`, one claim, release or question a call. The MAC covers the body, which names its sender, the
time and a digest of the list of members; the answer's MAC covers the call's, so that no answer can be taken
for another's. A call that is not good is answered 400, 401 or 409, and counts as no vote at the caller.
`docs/design/peer-protocol.md` has it all.
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
    RevisionRequest,
)
from mintmast.decisions.gateways.revision_types import RevisionReply as Revised
from mintmast.http.client import Address, CallFailure, ClientLimits, HttpClient, Reply
from mintmast.http.server import Exchange, HttpServer, ServerLimits
from mintmast.loop import Loop
from mintmast.peers import membership_transport

PATH = "/v1/peers"
MAC_HEADER = "mintmast-mac"
# calls under way to one peer; a further one is not sent and counts as no answer. A peer that stands still
# holds so many for a quarter of a second, some 200 kB
MAX_CALLS_PER_PEER = 1000
# bytes of a call: one that names every other gateway of the largest region with the longest names
MAX_CALL_BYTES = 32_768


class CallBody(msgspec.Struct, omit_defaults=True):
    """A call; times in ms but `at`, which is seconds since 1970."""

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
    """An answer; records are (digest, owner, number, ms still kept)."""

    vote: str = Vote.NONE.value
    records: tuple[KnownClaim, ...] = ()
    more: bool = False
    without: tuple[str, ...] = ()
    start: int = 0
    unready: tuple[str, ...] = ()
    covered: tuple[str, ...] = ()
    version: int = -1
    before: int = 0
    revisions: Revised | None = None


class PeerTransport:
    """Speaks to the other gateways for the core, and answers them.

    `members` are names and addresses of all gateways, `secrets` sign (the first) and verify (all), `skew` is
    how old a call may be in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: str,
        generation: int,
        members: dict[str, Address],
        secrets: list[str],
        skew: float,
        events: PeerEvents,
        listen: Address,
    ) -> None:
        self._loop, self._gateway, self._members, self._skew = loop, gateway, members, skew
        self._generation, self._owner = generation, f"{gateway}/{generation:x}"
        self._secrets = [each.encode() for each in secrets]
        self._members_digest = hashlib.blake2b(" ".join(sorted(members)).encode(), digest_size=8).hexdigest()
        self._events = events
        self.answer_gossip: Callable[[bytes], bytes | None] | None = None  # answers words of membership
        # answers questions for revisions; None where settings have no `configuration`
        self.answer_revisions: Callable[[RevisionRequest], Revised | None] | None = None
        self._in_flight: dict[str | Address, int] = dict.fromkeys(members, 0)
        self._client = HttpClient(
            loop, ClientLimits(idle_per_address=32, body_bytes=1 << 20), f"mintmast/{gateway}"
        )
        limits = ServerLimits(
            connections=64 * (len(members) + 1), body_bytes=MAX_CALL_BYTES, idle_time=60_000_000
        )
        self.server = HttpServer(loop, *listen, self._handle, limits)

    # Calls

    def send_claim(self, call: SendClaim) -> None:
        """Claim a key at a witness; the vote is told once, and never before this returns."""

        def done(answer: ReplyBody | None) -> None:
            told = ReplyBody() if answer is None else answer
            self._events.handle_reply(
                VoteReceived(call.peer, call.number, Vote(told.vote), told.without, told.start)
            )

        body = self._body(digest=call.digest, number=call.number, keep_ms=call.retention // 1000)
        self._call(call.peer, body, call.deadline, done)

    def send_release(self, call: SendRelease) -> None:
        """Give a claim back."""
        body = self._body(digest=call.digest, number=call.number, release=True)
        body.owner = call.owner or self._owner
        self._call(call.peer, body, call.deadline, lambda answer: None)

    def send_learn_request(self, call: SendLearnRequest) -> None:
        """Ask what another gateway knows after a digest; what it says is told once."""

        def done(answer: ReplyBody | None) -> None:
            if answer is None:
                self._events.handle_reply(LearnReply(call.peer, answered=False, number=call.number))
                return
            records = tuple(
                (digest, owner, number, keep * 1000) for digest, owner, number, keep in answer.records
            )
            more = answer.more and bool(records)
            about = answer.start, answer.unready, answer.covered, answer.before
            self._events.handle_reply(LearnReply(call.peer, records, more, True, call.number, *about))

        self._call(call.peer, self._body(learn=call.after), call.deadline, done)

    def send_exclusions(self, call: SendExclusions) -> None:
        """Tell another gateway who is held aside; that it was booked is told once, or that no answer came."""

        def done(answer: ReplyBody | None) -> None:
            self._events.handle_reply(
                ExclusionsAcknowledged(call.peer, -1 if answer is None else answer.version)
            )

        body = self._body(aside=call.excluded, version=call.version, to=call.to_generation)
        self._call(call.peer, body, call.deadline, done)

    def request_revisions(
        self, place: str | Address, call: PullRevisions, take: Callable[[PullSucceeded | PullFailed], None]
    ) -> None:
        """Ask a gateway, by name or by address, for revisions; `take` hears once, never before this returns.

        Its list of members is not asked for: configuration must reach gateways whose lists differ.
        """

        def done(answer: ReplyBody | None) -> None:
            told = None if answer is None else answer.revisions
            take(PullFailed(call.call) if told is None else PullSucceeded(call.call, told))

        if isinstance(place, str) and place not in self._members:
            self._loop.call_soon(done, None)
            return
        self._call(
            place, CallBody(self._owner, self._loop.wall(), "", revisions=call.request), call.deadline, done
        )

    def _body(self, **more: Any) -> CallBody:
        return CallBody(self._owner, self._loop.wall(), self._members_digest, **more)

    def _call(
        self, peer: str | Address, body: CallBody, until: int, done: Callable[[ReplyBody | None], None]
    ) -> None:
        address = self._members[peer] if isinstance(peer, str) else peer
        if self._in_flight.setdefault(peer, 0) >= MAX_CALLS_PER_PEER:
            self._loop.call_soon(done, None)
            return
        self._in_flight[peer] += 1
        data = msgspec.json.encode(body)
        mac = self._compute_mac(self._secrets[0], data)

        def ended(reply: Reply | CallFailure) -> None:
            self._in_flight[peer] -= 1
            done(self._decode_reply(reply, mac))

        headers = [("Content-Type", "application/json"), (MAC_HEADER, mac)]
        self._client.call(address, "POST", PATH, ended, headers, data, until)

    def _decode_reply(self, reply: Reply | CallFailure, mac: str) -> ReplyBody | None:
        if isinstance(reply, CallFailure) or reply.status != 200:
            return None
        if not self._is_authentic(reply.headers.get(MAC_HEADER, ""), mac.encode() + reply.body):
            return None
        try:
            answer = msgspec.json.decode(reply.body, type=ReplyBody)
            Vote(answer.vote)
        except (msgspec.DecodeError, ValueError, RecursionError):
            return None
        return answer

    @staticmethod
    def _compute_mac(secret: bytes, data: bytes) -> str:
        return hmac.new(secret, data, hashlib.sha256).hexdigest()

    def _is_authentic(self, shown: str, data: bytes) -> bool:
        told = shown.encode("utf-8", "replace")
        return any(
            hmac.compare_digest(self._compute_mac(each, data).encode(), told) for each in self._secrets
        )

    # Answers

    def _handle(self, exchange: Exchange) -> None:
        if (
            exchange.path == membership_transport.PATH
            and exchange.method == "POST"
            and self.answer_gossip is not None
        ):
            told = self.answer_gossip(exchange.body)
            if told is None:
                exchange.respond_problem(401, "not a word that wants an answer")
            else:
                exchange.respond(200, [("Content-Type", "application/octet-stream")], told)
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
        if abs(body.at - self._loop.wall()) > self._skew:
            exchange.respond_problem(401, "the call is too old, or clocks differ too much")
        elif body.revisions is not None:
            self._respond_revisions(exchange, body.revisions, mac)
        elif body.members != self._members_digest or body.owner.partition("/")[0] not in self._members:
            exchange.respond_problem(409, "the list of gateways is another one here")
        elif body.learn is None and body.aside is None and not body.digest:
            exchange.respond_problem(400, "a claim names a digest")
        else:
            keep = max(0, body.keep_ms) * 1000
            digest, number = body.digest[:64], body.number
            aside = body.aside, body.version, body.to
            call = PeerCall(0, body.owner, digest, number, keep, body.release, body.learn, *aside)
            self._events.handle_call(call, lambda told: self._respond(exchange, told, mac))

    def _respond(self, exchange: Exchange, told: PeerReply, mac: str) -> None:
        if not told.answered:
            exchange.respond_problem(503, "this process must not act under its name any more")
            return
        records = tuple((digest, owner, number, keep // 1000) for digest, owner, number, keep in told.records)
        more = (
            told.more,
            told.excluded,
            self._generation,
            told.not_voting_with,
            told.vouched_for,
            told.version,
            told.previous_generation,
        )
        self._send_reply(exchange, ReplyBody(told.vote.value, records, *more), mac)

    def _respond_revisions(self, exchange: Exchange, question: RevisionRequest, mac: str) -> None:
        told = None if self.answer_revisions is None else self.answer_revisions(question)
        if told is None:
            exchange.respond_problem(400, "no question, or no configuration is shared here")
        else:
            self._send_reply(exchange, ReplyBody(revisions=told), mac)

    def _send_reply(self, exchange: Exchange, answer: ReplyBody, mac: str) -> None:
        data = msgspec.json.encode(answer)
        signed = self._compute_mac(self._secrets[0], mac.encode() + data)
        exchange.respond(200, [("Content-Type", "application/json"), (MAC_HEADER, signed)], data)

    def close(self) -> None:
        """Accept nothing more."""
        self.server.close()
