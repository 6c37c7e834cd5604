"""One connection from viewers: parses their messages, and tracks sent ones until they can have arrived."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintmast.decisions.calls.shutdown import PARTIAL_MESSAGE_IDLE_US
from mintmast.loop import CloseReason, Handler, Stream
from mintmast.signalling import messages, set_up_parser
from mintmast.signalling.messages import Cause, Message, MessageKind, MessageReader, encode, encode_release
from mintmast.signalling.set_up_parser import ParsedSetUp

if TYPE_CHECKING:
    from mintmast.signalling.viewers import Viewers

# µs within which a connection's first message, and the last byte of each message, must arrive: the platform
# requires a close of such connections within 3 s
MESSAGE_TIMEOUT_US = 2_000_000
# bytes that a set-up in progress takes here and in the controller beside its parameters, and the share of the
# memory for all set-ups that one connection may use
SET_UP_OVERHEAD_BYTES, MAX_CONNECTION_SHARE = 4096, 0.5


@dataclass(slots=True, frozen=True)
class UnconfirmedMessage:
    """A sent answer or session end that may not have reached the viewer."""

    end_offset: int  # bytes that the connection has handed to the network once it is fully sent
    call_id: bytes
    frame: bytes
    is_session_end: bool  # else it is an answer


class ViewerConnection(Handler):
    """A connection from viewers; one connection carries the requests of many."""

    def __init__(self, viewers: Viewers, number: int) -> None:
        self.viewers, self.number = viewers, number
        self.stream: Stream | None = None
        self.peer = ""
        self.open_set_ups: dict[bytes, int] = {}  # unanswered set-ups and the bytes that they take
        self.bytes_held = 0
        self.closing_since = 0
        self.sessions: set[bytes] = set()  # sessions answered on this connection
        self.is_verified = False  # a valid message was received
        self.had_session = False  # a session was answered here, or was handed over on this connection
        self.is_closing = False
        self.created_at = self.last_received_at = viewers.loop.now()
        self.partial_since: int | None = None
        self.bytes_written = self._settled_offset = 0
        self._reader = MessageReader()
        # parsed set-ups not yet passed to the controller, with their arrival times
        self.queued_set_ups: dict[bytes, tuple[ParsedSetUp, int]] = {}
        self._unconfirmed: deque[UnconfirmedMessage] = deque()

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is not None:
            self.bytes_written += len(data)
            self.stream.write(data)

    def send_tracked(self, call_id: bytes, frame: bytes, is_session_end: bool) -> None:
        """Write an answer or a session's end, and track it while the viewer cannot have received it.

        A viewer that closed before the write, or whose connection accepts no bytes, never receives it: the
        session would play without a viewer, or count as playing for ever. The message is tracked until the
        network has taken it and the turn of the loop is over in which the viewer's close may be unread.
        """
        self.write(frame)
        if not self._unconfirmed or self._unconfirmed[-1].end_offset <= self._settled_offset:
            self.viewers.loop.call_soon(self._settle)
        self._unconfirmed.append(UnconfirmedMessage(self.bytes_written, call_id, frame, is_session_end))

    def _settle(self) -> None:
        """Mark the end of the turn: a close that arrived before this turn's messages has been read by now."""
        self._settled_offset = self.bytes_written
        while (
            self._unconfirmed
            and self.stream is not None
            and self._unconfirmed[0].end_offset <= self.stream.bytes_sent
        ):
            self._unconfirmed.popleft()

    def has_unsent(self) -> bool:
        """Return whether the network has not yet taken everything that was written."""
        return self.stream is not None and self.stream.bytes_sent < self.bytes_written

    def has_unread(self) -> bool:
        """Return whether received data is unread, or parsed set-ups wait for the controller."""
        return bool(self.queued_set_ups) or (self.stream is not None and self.stream.has_unread())

    def is_receiving(self, now: int) -> bool:
        """Return whether the peer is in the middle of a message and has just sent a part of it."""
        return self.partial_since is not None and now - self.last_received_at < PARTIAL_MESSAGE_IDLE_US

    def opened(self, stream: Stream) -> None:
        """Start using the connection, or abort it if the limit of connections was reached."""
        self.stream, self.peer = stream, stream.peer[0]
        if self.is_closing:
            self.viewers.log("viewer closed", peer=self.peer, why="the limit of connections is reached")
            stream.abort()

    def received(self, data: bytes) -> None:
        """Process all complete messages, and only then queue their set-ups for the controller."""
        if self.is_closing:
            return
        now = self.last_received_at = self.viewers.loop.now()
        for message in self._reader.feed(data):
            self.partial_since = None
            self._handle_message(message)
            if self.is_closing:
                return
        if self._reader.is_broken:
            self.close_with_error(Cause.PROTOCOL_ERROR, "invalid message length or type")
            return
        self.partial_since = (self.partial_since or now) if self._reader.has_partial else None
        if self.queued_set_ups:
            self.viewers.queue(self)

    def submit_next(self) -> None:
        """Submit the oldest queued set-up. One that was cancelled in the queue never reaches a host."""
        call_id, (parsed, received_at) = next(iter(self.queued_set_ups.items()))
        del self.queued_set_ups[call_id]
        if self.viewers.events.is_established(call_id) is None:
            self.viewers.events.handle_set_up(self.number, parsed, received_at)
        elif self.close_set_up(call_id):
            # another connection submitted a set-up with the same call reference first
            self._reject_set_up(call_id, Cause.INVALID_CALL_REFERENCE, True)

    def refuse_queued(self) -> None:
        """Refuse the set-ups that were not submitted yet."""
        for call_id in list(self.queued_set_ups):
            del self.queued_set_ups[call_id]
            self.viewers.refuse_for_shutdown(self.number, call_id)

    def _handle_message(self, message: Message) -> None:
        kind = message.kind
        if kind == MessageKind.SET_UP:
            self._handle_set_up(message)
        elif message.fault is not None:
            self.close_with_error(message.fault, "malformed parameters")
        elif kind == MessageKind.RELEASE:
            self._handle_release(message.call_id)
        elif kind == MessageKind.HEALTH_CHECK:
            self._mark_verified()
            self.write(messages.encode_health_check_reply(message.call_id, self.viewers.events.is_ready()))
        elif kind not in (MessageKind.RELEASE_COMPLETE, MessageKind.PROGRESS):
            self.close_with_error(Cause.PROTOCOL_ERROR, f"unexpected message of type {kind}")

    def _mark_verified(self) -> None:
        if not self.is_verified:
            self.is_verified = True
            self.viewers.send_pending_notices(self)

    def _handle_set_up(self, message: Message) -> None:
        call_id = message.call_id
        if call_id in self.open_set_ups:
            # an answer could not be attributed to one of two set-ups with the same call reference
            self.close_with_error(
                Cause.PROTOCOL_ERROR, f"duplicate set-up for call reference {call_id.hex()}"
            )
            return
        parsed = set_up_parser.parse_set_up(message, self.viewers.schema)
        is_known = self.viewers.events.is_established(call_id) is not None
        if isinstance(parsed, ParsedSetUp) and parsed.playing_host and is_known:
            return
        if isinstance(parsed, Cause):
            self._reject_set_up(call_id, parsed, is_known)
            return
        if is_known:
            self._reject_set_up(call_id, Cause.INVALID_CALL_REFERENCE, True)
            return
        self._mark_verified()
        if parsed.playing_host:
            self.sessions.add(call_id)
            self.had_session = True
            self.viewers.events.handle_set_up(self.number, parsed, self.last_received_at)
        elif self._reserve_memory(parsed):
            self.queued_set_ups[call_id] = parsed, self.last_received_at
        else:
            self.viewers.log("refused", call=call_id.hex(), why="no memory for more set-ups")
            self.write(encode_release(call_id, Cause.SWITCHING_EQUIPMENT_CONGESTION))

    def _reject_set_up(self, call_id: bytes, cause: Cause, is_known: bool) -> None:
        """Fail an invalid set-up; `is_known` if its call reference is already in use."""
        self.viewers.log("failed", call=call_id.hex(), why=cause.name)
        self.write(encode_release(call_id, cause))
        if is_known and self.had_session:
            self.viewers.fail_duplicate(call_id)
        if not self.had_session:
            self.close_with_error(Cause.PROTOCOL_ERROR, f"invalid set-up {call_id.hex()}: {cause.name}")

    def _reserve_memory(self, parsed: ParsedSetUp) -> bool:
        """Reserve memory for a set-up; return False if there is none, and the set-up is refused.

        Set-ups of 16 KiB can arrive faster than they are answered, and the process has 32 MB.
        """
        viewers, size = self.viewers, SET_UP_OVERHEAD_BYTES + sum(map(len, parsed.request.forwarded))
        if (
            viewers.bytes_held + size > viewers.max_bytes
            or self.bytes_held + size > viewers.max_bytes * MAX_CONNECTION_SHARE
        ):
            return False
        self.open_set_ups[parsed.request.call_id] = size
        self.bytes_held += size
        viewers.bytes_held += size
        return True

    def close_set_up(self, call_id: bytes) -> bool:
        """Remove an open set-up and free its memory; return False if it is not open here."""
        size = self.open_set_ups.pop(call_id, None)
        if size is None:
            return False
        self.bytes_held -= size
        self.viewers.bytes_held -= size
        return True

    def _handle_release(self, call_id: bytes) -> None:
        if self.queued_set_ups.pop(call_id, None) is not None:
            self.close_set_up(call_id)
        elif self.close_set_up(call_id):
            self.viewers.events.handle_viewer_left(call_id)
        elif (is_established := self.viewers.events.is_established(call_id)) is not False:
            if is_established:
                self._mark_verified()
                self.sessions.discard(call_id)
            self.viewers.events.handle_viewer_left(call_id)
        self.write(encode(MessageKind.RELEASE_COMPLETE, call_id))

    def _abandon_set_ups(self) -> list[bytes]:
        abandoned = list(self.open_set_ups)
        for call_id in abandoned:
            self.close_set_up(call_id)
            if self.queued_set_ups.pop(call_id, None) is None:
                self.viewers.events.handle_viewer_left(call_id)
        return abandoned

    def close_with_error(self, cause: Cause, reason: str) -> None:
        """Fail the open set-ups and close: the peer violated the protocol or its time limits."""
        self.viewers.log(
            "viewer closed",
            peer=self.peer,
            cause=cause.name,
            why=reason,
            sessions=len(self.sessions),
            open=len(self.open_set_ups),
        )
        for call_id in self._abandon_set_ups():
            self.write(encode_release(call_id, cause))
        self.close()

    def close(self, linger: bool = False) -> None:
        """Stop reading, flush queued data and close; with `linger` only once the peer has closed."""
        if not self.is_closing:
            self.is_closing, self.closing_since = True, self.viewers.loop.now()
            if self.stream is not None and linger:
                self.stream.finish()
            elif self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def abort_if_stuck(self, now: int) -> None:
        """Abort a closing connection whose peer has not taken the queued data in time."""
        if self.stream is not None and now - self.closing_since > MESSAGE_TIMEOUT_US:
            self.viewers.log("viewer closed", peer=self.peer, why="it does not take the queued data")
            self.stream.abort()

    def closed(self, reason: CloseReason) -> None:
        """Report the end of the connection, the undelivered messages and the open set-ups."""
        if not self.is_closing:
            self.viewers.log(
                "viewer disconnected",
                peer=self.peer,
                how=reason.value,
                sessions=len(self.sessions),
                open=len(self.open_set_ups),
            )
        bytes_sent = self.stream.bytes_sent if self.stream is not None else 0
        undelivered = [
            message
            for message in self._unconfirmed
            if message.end_offset > min(bytes_sent, self._settled_offset)
        ]
        self._unconfirmed.clear()
        self.is_closing, self.stream = True, None
        self.viewers.handle_closed(self, undelivered)
        self._abandon_set_ups()
