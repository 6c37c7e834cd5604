"""One connection from viewers: parses their messages, and tracks sent ones until they can have arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mintmast.decisions.calls.shutdown import PARTIAL_MESSAGE_IDLE_US
from mintmast.loop import CloseReason, Handler, Stream
from mintmast.signalling import messages, set_up_parser
from mintmast.signalling.delivery import DeliveryTracker, UnconfirmedMessage
from mintmast.signalling.messages import Cause, Message, MessageKind, encode, encode_release
from mintmast.signalling.receive_buffer import ReceiveBuffer
from mintmast.signalling.set_up_parser import ParsedSetUp

if TYPE_CHECKING:
    from mintmast.signalling.viewers import Viewers

# µs within which a connection's first message, and the last byte of each message, must arrive: the platform
# requires a close of such connections within 3 s
MESSAGE_TIMEOUT_US = 2_000_000
# bytes that a set-up in progress takes here and in the controller beside its parameters
SET_UP_OVERHEAD_BYTES = 4096


# messages of one connection that are processed before other connections get their turn
MESSAGES_PER_STEP = 4
# reasons of refusals in the log
SHUTDOWN_REASON, NO_MEMORY_REASON = "the gateway is shutting down", "no memory for more set-ups"


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
        self.bytes_written = 0
        self.buffered = 0  # bytes that count towards the limit of all viewers
        self._input = ReceiveBuffer()
        self._ignores_input = False  # closed by this side
        self.has_left = False  # the stream has ended
        self._blocked_since: int | None = None  # since when the viewer has not taken what was written
        # parsed set-ups not yet passed to the controller, with their arrival times
        self.queued_set_ups: dict[bytes, tuple[ParsedSetUp, int]] = {}
        self._delivery = DeliveryTracker()
        self._undelivered: list[UnconfirmedMessage] = []

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is None:
            return
        self.bytes_written += len(data)
        if not self.stream.write(data):
            self._blocked_since = self._blocked_since or self.viewers.loop.now()
            self._record_buffered()

    def send_tracked(self, call_id: bytes, frame: bytes, is_session_end: bool) -> None:
        """Write an answer or a session's end, and track it while the viewer cannot have received it."""
        self.write(frame)
        if self._delivery.is_settled:
            self.viewers.loop.call_soon(self._settle)
        self._delivery.track(UnconfirmedMessage(self.bytes_written, call_id, frame, is_session_end))

    def _settle(self) -> None:
        """Mark the end of the turn: a close that arrived before this turn's messages has been read by now."""
        if self.stream is not None and not self.is_behind:
            self._delivery.settle(self.bytes_written, self.stream.bytes_sent)

    def has_unsent(self) -> bool:
        """Return whether the network has not yet taken everything that was written."""
        return self.stream is not None and self.stream.bytes_sent < self.bytes_written

    @property
    def is_blocked(self) -> bool:
        """Return whether the viewer does not take what was written to it."""
        return self._blocked_since is not None

    def has_unread(self) -> bool:
        """Return whether received data is unread, or parsed set-ups wait for the controller."""
        return bool(self.queued_set_ups) or self._input.has_unread

    @property
    def is_behind(self) -> bool:
        """Return whether not all that the viewer has sent is processed, such as a cancel or its close."""
        return self._input.is_behind

    def is_receiving(self, now: int) -> bool:
        """Return whether the peer is in the middle of a message and has just sent a part of it."""
        return self.partial_since is not None and now - self.last_received_at < PARTIAL_MESSAGE_IDLE_US

    def opened(self, stream: Stream) -> None:
        """Start using the connection, or abort it if the limit of connections was reached."""
        self.stream = self._input.stream = stream
        self.peer = stream.peer[0]
        if self.is_closing:
            self.viewers.log("viewer closed", peer=self.peer, why="the limit of connections is reached")
            stream.abort()

    def received(self, data: bytes) -> None:
        """Buffer received bytes, and process their messages when it is this connection's turn."""
        if self._ignores_input:
            return
        self.last_received_at = self.viewers.loop.now()
        self._input.append(data)
        self.viewers.input.run_or_add(self._process_messages)
        if self._input.has_unprocessed:
            self._input.pause_reading()
            self._record_buffered()

    def drained(self) -> None:
        """Go on with the messages of a viewer that has taken what was written to it."""
        self._blocked_since = None
        self._record_buffered()
        if self._input.has_unprocessed:
            self.viewers.input.add(self._process_messages)

    def _process_messages(self) -> bool:
        """Process a few messages; return whether more are left that may be processed now.

        None is processed while the viewer does not take its answers.
        """
        for _ in range(MESSAGES_PER_STEP):
            if self._ignores_input or self._blocked_since is not None:
                break
            message = self._input.next_message()
            if message is not None:
                self.partial_since = None
                self._handle_message(message)
            if not self._input.has_unprocessed:
                break
        if self._ignores_input or not self._input.has_unprocessed:
            self._handle_all_processed()
            return False
        return not self.is_blocked

    def _handle_all_processed(self) -> None:
        """Read on, and submit the set-ups if nothing of this viewer is unread."""
        if self._ignores_input or self.has_left:
            self._input.drop()
            self.viewers.input.remove(self._process_messages)
        if self.buffered or len(self._input):
            self._record_buffered()
        if self.has_left:
            self.viewers.handle_closed(self, self._undelivered)
        elif self._input.is_broken:
            self.close_with_error(Cause.PROTOCOL_ERROR, "invalid message length or type")
        elif not self._ignores_input:
            self.partial_since = (self.partial_since or self.last_received_at) if len(self._input) else None
            self._input.resume_reading()
            if not self.is_behind:
                self._handle_caught_up()

    def _handle_caught_up(self) -> None:
        if not self._delivery.is_settled:
            self.viewers.loop.call_soon(self._settle)
        if self.queued_set_ups:
            self.viewers.submissions.add(self._submit_next)

    def _record_buffered(self) -> None:
        unsent = 0
        if self.stream is not None and self._blocked_since is not None:
            unsent = self.bytes_written - self.stream.bytes_sent
        change = len(self._input) + unsent - self.buffered
        self.buffered += change
        self.viewers.record_buffered(change)

    def _submit_next(self) -> bool:
        """Submit the oldest queued set-up; return whether there are more to submit now.

        None is submitted while bytes of the viewer are unread: it may have cancelled or left. A set-up that
        was cancelled in the queue never reaches a host.
        """
        if not self.queued_set_ups or self.is_behind:
            return False
        call_id, (parsed, received_at) = next(iter(self.queued_set_ups.items()))
        del self.queued_set_ups[call_id]
        if self.viewers.events.is_established(call_id) is None:
            self.viewers.events.handle_set_up(self.number, parsed, received_at)
        elif self.close_set_up(call_id):
            # another connection submitted a set-up with the same call reference first
            self._reject_set_up(call_id, Cause.INVALID_CALL_REFERENCE, True)
        return bool(self.queued_set_ups)

    def refuse_overdue(self, now: int) -> None:
        """Refuse the queued set-ups that have waited half of their time behind what their viewer sends."""
        for call_id, (parsed, received_at) in list(self.queued_set_ups.items()):
            if now - received_at >= parsed.request.budget // 2:
                del self.queued_set_ups[call_id]
                self.viewers.refuse(self.number, call_id, "its viewer sends faster than can be read")

    def refuse_queued(self) -> None:
        """Refuse the set-ups that were not submitted yet."""
        for call_id in list(self.queued_set_ups):
            del self.queued_set_ups[call_id]
            self.viewers.refuse(self.number, call_id, SHUTDOWN_REASON)

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
        elif self.has_left:
            return
        elif self._reserve_memory(parsed):
            self.queued_set_ups[call_id] = parsed, self.last_received_at
        else:
            self.viewers.log("refused", call=call_id.hex(), why=NO_MEMORY_REASON)
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
        size = SET_UP_OVERHEAD_BYTES + sum(map(len, parsed.request.forwarded))
        if not self.viewers.may_hold(self.bytes_held, size):
            return False
        self.open_set_ups[parsed.request.call_id] = size
        self.bytes_held += size
        self.viewers.bytes_held += size
        return True

    def refuse_newest(self) -> None:
        """Refuse the newest queued set-up, as its memory is needed for another viewer."""
        call_id, _ = self.queued_set_ups.popitem()
        self.viewers.refuse(self.number, call_id, NO_MEMORY_REASON)

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
        self._ignores_input = True
        self._input.drop()
        if not self.is_closing:
            self.is_closing, self.closing_since = True, self.viewers.loop.now()
            if self.stream is not None and linger:
                self.stream.finish()
            elif self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def is_stuck(self, now: int) -> bool:
        """Return whether the peer has not taken the queued data in time."""
        stuck_since = self.closing_since if self.is_closing else self._blocked_since
        return self.stream is not None and stuck_since is not None and now - stuck_since > MESSAGE_TIMEOUT_US

    def abort(self, reason: str) -> None:
        """Abort the connection, and drop what was received on it and not processed; `reason` is logged."""
        self.viewers.log("viewer closed", peer=self.peer, why=reason)
        self._ignores_input = True
        self._input.drop()
        if self.stream is not None:
            self.stream.abort()
        else:
            self._handle_all_processed()

    def closed(self, reason: CloseReason) -> None:
        """End the requests of this connection, and report its end once its last messages are processed.

        Those may release sessions, or hand them over, that belong to no connection.
        """
        if not self.is_closing:
            self.viewers.log(
                "viewer disconnected",
                peer=self.peer,
                how=reason.value,
                sessions=len(self.sessions),
                open=len(self.open_set_ups),
            )
        bytes_sent = self.stream.bytes_sent if self.stream is not None else 0
        self._undelivered = self._delivery.take_undelivered(bytes_sent)
        self.is_closing = self.has_left = True
        self.stream = self._input.stream = self._blocked_since = None
        self._abandon_set_ups()
        if self._input.has_unprocessed:
            self.viewers.input.add(self._process_messages)
        else:
            self._handle_all_processed()
