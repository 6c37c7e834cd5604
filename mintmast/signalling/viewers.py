"""All connections from viewers: each set-up gets one answer, and idle or stalled connections are closed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from mintmast.loop import Handler, Loop, StreamLimits
from mintmast.loop.round_robin import RoundRobin
from mintmast.signalling.delivery import UnconfirmedMessage
from mintmast.signalling.messages import Cause, MessageKind, Param, encode, encode_release
from mintmast.signalling.receive_buffer import READ_SIZE_BYTES
from mintmast.signalling.set_up_parser import ParsedSetUp, RequestSchema
from mintmast.signalling.viewerconnection import MESSAGE_TIMEOUT_US, ViewerConnection
from mintmast.telemetry.lines import LogFunction

# µs between checks of all connections
CHECK_PERIOD_US = 250_000
# a viewer that does not take its answers is not read any further once `drained_below` bytes are queued for it
STREAM_LIMITS = StreamLimits(max_unsent=1 << 17, drained_below=1 << 13, read_size=READ_SIZE_BYTES)
# share of the memory for all set-ups in progress that one connection may use
MAX_CONNECTION_SHARE = 0.5
# steps, of some messages each, in which the viewers' messages are processed in one turn of the loop
INPUT_STEPS_PER_TURN = 16
# set-ups that go to the controller in one turn of the loop, at up to 1 ms each. Received data is read between
# two turns, so that a disconnect or a cancellation is known before more set-ups of that viewer are sent.
SET_UPS_PER_TURN = 8
# messages queued until the next connection from their viewer's address, and µs after which they are dropped:
# the platform does not expect them any later
MAX_PENDING_NOTICES, PENDING_NOTICE_TTL_US = 1024, 8_000_000


class ViewerEvents(Protocol):
    """Callbacks for events of viewers."""

    def handle_set_up(self, viewer: int, parsed: ParsedSetUp, received_at: int) -> None:
        """Process a set-up that arrived at `received_at`; its timeout counts from then."""

    def handle_viewer_left(self, call_id: bytes) -> None:
        """Process a cancellation, a release or a disconnect: the viewer no longer waits for the call."""

    def is_established(self, call_id: bytes) -> bool | None:
        """Return whether the call's session is playing, or None if the call is unknown."""

    def is_ready(self) -> bool:
        """Return the readiness to accept set-ups, as reported to health checks."""


@dataclass(slots=True, frozen=True)
class _PendingNotice:
    """A session's end that waits for a connection from `peer`."""

    expires_at: int
    peer: str
    call_id: bytes
    frame: bytes


class Viewers:
    """All connections from viewers, with bounds on their number and on the bytes of set-ups in progress."""

    def __init__(
        self,
        loop: Loop,
        events: ViewerEvents,
        schema: RequestSchema,
        max_connections: int,
        max_bytes: int,
        max_buffered_bytes: int,
        log: LogFunction,
    ) -> None:
        self.loop, self.events, self.schema, self.log = loop, events, schema, log
        self.max_connections, self.max_bytes, self.bytes_held = max_connections, max_bytes, 0
        self.connections: dict[int, ViewerConnection] = {}
        self._last_number = 0
        self._session_peers: dict[bytes, str] = {}  # peer address of each session whose connection was closed
        self._pending_notices: deque[_PendingNotice] = deque(maxlen=MAX_PENDING_NOTICES)
        # bytes that were received and not decoded, or written to viewers that do not take them
        self.max_buffered_bytes, self.buffered_bytes = max_buffered_bytes, 0
        # connections whose messages are not processed yet, and those whose set-ups are not yet passed to the
        # controller: in turn, so that a flood on one delays no other
        self.input = RoundRobin(loop, INPUT_STEPS_PER_TURN)
        self.submissions = RoundRobin(loop, SET_UPS_PER_TURN)
        loop.call_at(loop.now() + CHECK_PERIOD_US, self._check_connections)

    def accept(self) -> Handler:
        """Create the handler of a new connection."""
        self._last_number += 1
        connection = ViewerConnection(self, self._last_number)
        connection.is_closing = self._is_full() and not self._close_idle_connection()
        self.connections[self._last_number] = connection
        return connection

    def _is_full(self) -> bool:
        """Return whether no further connection is allowed."""
        if len(self.connections) < self.max_connections:
            return False
        return sum(not each.has_left for each in self.connections.values()) >= self.max_connections

    def _close_idle_connection(self) -> bool:
        """Close the longest idle connection without set-ups and sessions; return False if there is none.

        One whose viewer does not take its answers goes before those that are idle.

        Connections with sessions are exempt even if no set-up is open on them: otherwise peers with hundreds
        of connections, each with an open set-up, could displace one with sessions, whose ends could then not
        be reported.
        """
        connections = [
            e for e in self.connections.values() if not (e.is_closing or e.open_set_ups or e.sessions)
        ]
        for connection in sorted(connections, key=lambda e: (e.is_verified, e.last_received_at)):
            if connection.is_blocked and not connection.had_session:
                connection.abort("it does not take the queued data, and the limit is reached")
                return True
        for connection in sorted(connections, key=lambda e: (e.is_verified, e.last_received_at)):
            if not connection.has_unread():  # unread data may hold a set-up, which a close would lose
                self.log("viewer closed", peer=connection.peer, why="idle, and the limit is reached")
                connection.close()
                return True
        return False

    def record_buffered(self, change: int) -> None:
        """Record by how many bytes the data buffered for a connection has grown.

        Over the limit the connections with the most of it are aborted, those that had no session first, until
        an eighth of it is free again.
        """
        self.buffered_bytes += change
        if change <= 0 or self.buffered_bytes <= self.max_buffered_bytes:
            return
        candidates = [each for each in self.connections.values() if each.buffered]
        candidates.sort(key=lambda each: (not each.had_session, each.buffered))
        while candidates and self.buffered_bytes > self.max_buffered_bytes * 7 // 8:
            candidates.pop().abort("no memory for more buffered data")

    def may_hold(self, held: int, size: int) -> bool:
        """Return whether a connection that holds `held` bytes of set-ups may hold `size` more.

        One with less than an equal share gets them at the cost of queued set-ups of the one with the most.
        """
        if held + size > self.max_bytes * MAX_CONNECTION_SHARE:
            return False
        if self.bytes_held + size > self.max_bytes and held + size <= self.max_bytes / len(self.connections):
            self._refuse_queued_for(size)
        return self.bytes_held + size <= self.max_bytes

    def _refuse_queued_for(self, size: int) -> None:
        """Refuse queued set-ups, of the connection that holds the most, until `size` more bytes are free."""
        while self.bytes_held + size > self.max_bytes:
            queued = [each for each in self.connections.values() if each.queued_set_ups]
            if not queued:
                return
            max(queued, key=lambda each: each.bytes_held).refuse_newest()

    # Answers

    def answer(self, viewer: int, call_id: bytes, description: bytes) -> bool:
        """Send a host's answer to the viewer; return False if the viewer no longer waits for it."""
        connection = self.connections.get(viewer)
        if connection is None or not connection.close_set_up(call_id):
            return False
        connection.sessions.add(call_id)
        connection.had_session = True
        connection.send_tracked(
            call_id, encode(MessageKind.ANSWER, call_id, [(Param.DESCRIPTION, description)]), False
        )
        return True

    def fail_duplicate(self, call_id: bytes) -> None:
        """Fail a set-up whose call reference a connection with answered sessions uses too.

        A peer that copies the call reference of another's set-up may be read first. Of the two connections,
        the one that never had a session is taken for the impostor's and closed. Neither set-up succeeds, as
        an answer could not be attributed to one of them.
        """
        for connection in self.connections.values():
            if call_id in connection.open_set_ups and not connection.had_session:
                connection.close_with_error(
                    Cause.PROTOCOL_ERROR, f"set-up {call_id.hex()} uses the call reference of another viewer"
                )
                return

    def reject(self, viewer: int, call_id: bytes, cause: Cause, retry_after_ms: int = 0) -> None:
        """Refuse or fail a set-up; `retry_after_ms` is the retry advice, 0 for none."""
        connection = self.connections.get(viewer)
        if connection is not None and connection.close_set_up(call_id):
            connection.write(encode_release(call_id, cause, retry_after_ms))

    def refuse(self, viewer: int, call_id: bytes, reason: str) -> None:
        """Refuse a set-up without an attempt; `reason` is logged."""
        self.log("refused", call=call_id.hex(), why=reason)
        self.reject(viewer, call_id, Cause.SWITCHING_EQUIPMENT_CONGESTION)

    def end_session(self, viewer: int, call_id: bytes, frame: bytes) -> None:
        """Report a session's end on its connection, or on another or the next one from the same address."""
        connection = self.connections.get(viewer)
        if connection is not None and not connection.is_closing:
            connection.sessions.discard(call_id)
            connection.send_tracked(call_id, frame, True)
            return
        peer = self._session_peers.pop(call_id, None)
        if connection is not None and call_id in connection.sessions:  # closing: it accepts no more messages
            connection.sessions.discard(call_id)
            peer = connection.peer
        if peer is not None:
            self._send_elsewhere(peer, call_id, frame)
        else:
            self.log("session end dropped", call=call_id.hex(), why="its viewer's connection is unknown")

    def _send_elsewhere(self, peer: str, call_id: bytes, frame: bytes) -> None:
        others = [
            e for e in self.connections.values() if e.is_verified and not e.is_closing and e.peer == peer
        ]
        if others:
            max(others, key=lambda each: each.last_received_at).send_tracked(call_id, frame, True)
        else:
            expires_at = self.loop.now() + PENDING_NOTICE_TTL_US
            self._pending_notices.append(_PendingNotice(expires_at, peer, call_id, frame))

    def handle_closed(self, connection: ViewerConnection, undelivered: list[UnconfirmedMessage]) -> None:
        """Remove a connection, and keep the peer address of the sessions that were answered on it.

        If an answer was not delivered, the viewer is gone and its session is ended. An undelivered session
        end is sent on another connection.
        """
        if self.connections.pop(connection.number, None) is None:
            return
        for message in undelivered:
            if message.is_session_end:
                self._send_elsewhere(connection.peer, message.call_id, message.frame)
            elif message.call_id in connection.sessions:
                connection.sessions.discard(message.call_id)
                self.events.handle_viewer_left(message.call_id)
        for call_id in connection.sessions:
            self._session_peers[call_id] = connection.peer

    def forget_session(self, viewer: int, call_id: bytes) -> None:
        """Remove a session that ended without a message to its viewer, who was answered on `viewer`."""
        self._session_peers.pop(call_id, None)
        connection = self.connections.get(viewer)
        if connection is not None:
            connection.sessions.discard(call_id)

    def close_all(self) -> None:
        """Stop reading, and close each connection once its queued data is sent and its peer has closed."""
        for connection in list(self.connections.values()):
            connection.close(linger=True)

    def count_pending(self) -> dict[str, int]:
        """Count the open set-ups, and the connections with unread and with unsent data, for the log."""
        connections = [connection for connection in self.connections.values() if not connection.is_closing]
        return {
            "open": sum(len(connection.open_set_ups) for connection in connections),
            "unread": sum(connection.has_unread() for connection in connections),
            "unsent": sum(connection.has_unsent() for connection in connections),
        }

    def refuse_queued(self) -> None:
        """Refuse the set-ups that were not submitted yet."""
        for connection in self.connections.values():
            connection.refuse_queued()

    def has_open_set_ups(self) -> bool:
        """Return whether a set-up is unanswered."""
        return any(connection.open_set_ups for connection in self.connections.values())

    def has_pending_data(self) -> bool:
        """Return whether a connection has unsent or unread data, or is in the middle of a message."""
        now = self.loop.now()
        return any(
            connection.has_unsent() or connection.has_unread() or connection.is_receiving(now)
            for connection in self.connections.values()
            if not connection.is_closing
        )

    def send_pending_notices(self, connection: ViewerConnection) -> None:
        """Send the messages that were queued for a connection from this peer's address."""
        now = self.loop.now()
        remaining = []
        for notice in self._pending_notices:
            if now >= notice.expires_at:
                self.log("session end dropped", call=notice.call_id.hex(), why="no connection of its viewer")
            elif notice.peer == connection.peer:
                connection.write(notice.frame)
            else:
                remaining.append(notice)
        self._pending_notices = deque(remaining, MAX_PENDING_NOTICES)

    def _check_connections(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + CHECK_PERIOD_US, self._check_connections)
        for connection in list(self.connections.values()):
            if connection.is_stuck(now):
                connection.abort("it does not take the queued data")
            if connection.is_closing:
                continue
            if connection.is_behind:
                connection.refuse_overdue(now)
            is_late = (
                connection.partial_since is not None and now - connection.partial_since > MESSAGE_TIMEOUT_US
            )
            if is_late or (
                not connection.is_verified
                and now - connection.created_at > MESSAGE_TIMEOUT_US
                and not connection.has_unread()
            ):
                connection.close_with_error(Cause.TEMPORARY_FAILURE, "no complete message in time")
