"""One connection of a viewer's side: messages in, and what is told on it until it can have been heard."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintmast.loop import CloseReason, Handler, Stream
from mintmast.signalling import messages, set_up_parser
from mintmast.signalling.messages import Cause, Message, MessageKind, MessageReader, encode, encode_release
from mintmast.signalling.set_up_parser import ParsedSetUp

if TYPE_CHECKING:
    from mintmast.signalling.viewers import Viewers

# µs that a connection has for its first message, and a message for its last byte: such peers are owed a
# close within 3 s
MESSAGE_TIMEOUT_US = 2_000_000
# bytes that a set-up under way takes here and in the module, beside what it carries; and the part of the room
# for all that one connection may take
SET_UP_OVERHEAD_BYTES, MAX_CONNECTION_SHARE = 4096, 0.5


@dataclass(slots=True, frozen=True)
class UnconfirmedMessage:
    """An answer, or the end of a session, that may not have been heard yet."""

    end_offset: int  # what the connection will have handed over once it is whole
    call_id: bytes
    frame: bytes
    is_session_end: bool


class ViewerConnection(Handler):
    """One connection of a viewer's side."""

    def __init__(self, viewers: Viewers, number: int) -> None:
        self.viewers, self.number = viewers, number
        self.stream: Stream | None = None
        self.peer = ""
        self.open_set_ups: dict[
            bytes, int
        ] = {}  # set-ups that wait for their answer here, with the bytes they take
        self.bytes_held = 0
        self.closing_since = 0
        self.sessions: set[bytes] = set()  # sessions that were answered here
        self.is_verified = False  # something was understood
        self.had_session = False  # a session was answered here, or is known to stand
        self.is_closing = False
        self.created_at = self.last_received_at = viewers.loop.now()
        self.partial_since: int | None = None
        self.bytes_written = self._settled_offset = 0
        self._reader = MessageReader()
        self.queued_set_ups: dict[
            bytes, tuple[ParsedSetUp, int]
        ] = {}  # read and not asked yet, with when they came
        self._unconfirmed: deque[UnconfirmedMessage] = deque()

    def write(self, data: bytes) -> None:
        """Write, where it is open."""
        if self.stream is not None:
            self.bytes_written += len(data)
            self.stream.write(data)

    def send_tracked(self, call_id: bytes, frame: bytes, is_session_end: bool) -> None:
        """Write an answer or a session's end, and keep it while the viewer cannot have heard it.

        Danger: a viewer that closed before it was written, or whose connection takes nothing, never hears
        it, and a session would play for nobody or count as standing for ever. Kept until the network has
        taken it and the turn is over in which the viewer's close may lie unread.
        """
        self.write(frame)
        if not self._unconfirmed or self._unconfirmed[-1].end_offset <= self._settled_offset:
            self.viewers.loop.call_soon(self._settle)
        self._unconfirmed.append(UnconfirmedMessage(self.bytes_written, call_id, frame, is_session_end))

    def _settle(self) -> None:
        """Take it that the turn is over: a close that had come before what was told in it is read."""
        self._settled_offset = self.bytes_written
        while (
            self._unconfirmed
            and self.stream is not None
            and self._unconfirmed[0].end_offset <= self.stream.bytes_sent
        ):
            self._unconfirmed.popleft()

    def has_unsent(self) -> bool:
        """Tell whether something written was not taken by the network yet."""
        return self.stream is not None and self.stream.bytes_sent < self.bytes_written

    def has_unread(self) -> bool:
        """Tell whether something has come and was not read or not asked yet."""
        return bool(self.queued_set_ups) or (self.stream is not None and self.stream.has_unread())

    def opened(self, stream: Stream) -> None:
        """Take it that the connection stands."""
        self.stream, self.peer = stream, stream.peer[0]
        if self.is_closing:  # there was no room for it
            stream.abort()

    def received(self, data: bytes) -> None:
        """Take bytes: all that is whole in them is read before any set-up is asked."""
        if self.is_closing:
            return
        now = self.last_received_at = self.viewers.loop.now()
        for message in self._reader.feed(data):
            self.partial_since = None
            self._handle_message(message)
            if self.is_closing:
                return
        if self._reader.is_broken:
            self.close_with_error(Cause.PROTOCOL_ERROR, "bytes that are no message")
            return
        self.partial_since = (self.partial_since or now) if self._reader.has_partial else None
        if self.queued_set_ups:
            self.viewers.queue(self)

    def submit_next(self) -> None:
        """Ask the set-up that was read first: what is taken back before costs no host anything."""
        call_id, (parsed, received_at) = next(iter(self.queued_set_ups.items()))
        del self.queued_set_ups[call_id]
        if self.viewers.events.is_established(call_id) is None:
            self.viewers.events.handle_set_up(self.number, parsed, received_at)
        elif self.close_set_up(call_id):  # another connection's, read after this one, was asked first
            self._reject_set_up(call_id, Cause.INVALID_CALL_REFERENCE, True)

    def _handle_message(self, message: Message) -> None:
        kind = message.kind
        if kind == MessageKind.SET_UP:
            self._handle_set_up(message)
        elif message.fault is not None:
            self.close_with_error(message.fault, "parameters beyond their message")
        elif kind == MessageKind.RELEASE:
            self._handle_release(message.call_id)
        elif kind == MessageKind.HEALTH_CHECK:
            self._mark_verified()
            self.write(messages.encode_health_check_reply(message.call_id, self.viewers.events.is_ready()))
        elif kind not in (MessageKind.RELEASE_COMPLETE, MessageKind.PROGRESS):
            self.close_with_error(Cause.PROTOCOL_ERROR, f"message of type {kind}")

    def _mark_verified(self) -> None:
        if not self.is_verified:
            self.is_verified = True
            self.viewers.send_pending_notices(self)

    def _handle_set_up(self, message: Message) -> None:
        call_id = message.call_id
        if call_id in self.open_set_ups:  # two set-ups under one number: one answer would be read for either
            self.close_with_error(Cause.PROTOCOL_ERROR, f"second set-up {call_id.hex()}")
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
            self.write(encode_release(call_id, Cause.SWITCHING_EQUIPMENT_CONGESTION))

    def _reject_set_up(self, call_id: bytes, cause: Cause, is_known: bool) -> None:
        """Fail a set-up that cannot be one; `known`: its number is in use."""
        self.write(encode_release(call_id, cause))
        if is_known and self.had_session:
            self.viewers.fail_duplicate(call_id)
        if not self.had_session:
            self.close_with_error(Cause.PROTOCOL_ERROR, f"set-up {call_id.hex()}: {cause.name}")

    def _reserve_memory(self, parsed: ParsedSetUp) -> bool:
        """Take room for a set-up; False where there is none, and it never leaves.

        Danger: set-ups of 16 KiB come faster than they are answered, and the machine has 32 MB.
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
        """Take it that a set-up waits no more; False where it did not wait here."""
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
        """Fail what is open and close: the peer does not speak the protocol, or not in its time."""
        if self.sessions:
            viewers = self.viewers
            viewers.log(
                "viewer closed", peer=self.peer, cause=cause.name, why=reason, sessions=len(self.sessions)
            )
        for call_id in self._abandon_set_ups():
            self.write(encode_release(call_id, cause))
        self.close()

    def close(self, linger: bool = False) -> None:
        """Read no more, send what is queued, close; with `finish` the peer's close is waited for."""
        if not self.is_closing:
            self.is_closing, self.closing_since = True, self.viewers.loop.now()
            if self.stream is not None and linger:
                self.stream.finish()
            elif self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def abort_if_stuck(self, now: int) -> None:
        """Break off where the peer does not take what is left for it."""
        if self.stream is not None and now - self.closing_since > MESSAGE_TIMEOUT_US:
            self.stream.abort()

    def closed(self, reason: CloseReason) -> None:
        """Take the end of the connection, and of what was open on it."""
        if self.sessions and not self.is_closing:
            self.viewers.log("viewer gone", peer=self.peer, how=reason.value, sessions=len(self.sessions))
        handed_over = self.stream.bytes_sent if self.stream is not None else 0
        undelivered = [
            told for told in self._unconfirmed if told.end_offset > min(handed_over, self._settled_offset)
        ]
        self._unconfirmed.clear()
        self.is_closing, self.stream = True, None
        self.viewers.handle_closed(self, undelivered)
        self._abandon_set_ups()
