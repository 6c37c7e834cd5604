"""Connections of viewers: set-ups in, their one answer out, and no time for those that only hold them."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from mintmast.loop import Handler, Loop, StreamLimits, Timer
from mintmast.signalling.messages import Cause, MessageKind, Param, encode, encode_release
from mintmast.signalling.set_up_parser import ParsedSetUp, RequestSchema
from mintmast.signalling.viewerconnection import MESSAGE_TIMEOUT_US, UnconfirmedMessage, ViewerConnection
from mintmast.telemetry.lines import LogFunction

# µs between looks at connections
CHECK_PERIOD_US = 250_000
# bytes that may wait for a viewer, and that are read from one at a time: some hundred set-ups, which are only
# read then, in under 10 ms
STREAM_LIMITS = StreamLimits(max_unsent=1 << 17, read_size=1 << 15)
# set-ups that go to the module in one turn of the loop, each up to 1 ms of its time: between two turns what
# has come is read, so that who has gone or taken back is known before more of its set-ups leave
SET_UPS_PER_TURN = 8
# releases that wait for a connection of their viewer's side, and how long (µs): then their time is over
MAX_PENDING_NOTICES, PENDING_NOTICE_TTL_US = 1024, 8_000_000


class ViewerEvents(Protocol):
    """What viewers do."""

    def handle_set_up(self, viewer: int, parsed: ParsedSetUp, received_at: int) -> None:
        """Take a set-up that came in at `since`; its time counts from then."""

    def handle_viewer_left(self, call_id: bytes) -> None:
        """Take it that nobody waits for the call any more."""

    def is_established(self, call_id: bytes) -> bool | None:
        """Tell whether a call stands; None where it is not known."""

    def is_ready(self) -> bool:
        """Tell whether set-ups are welcome."""


class Viewers:
    """All connections of viewers: at most `most`, their set-ups under way in at most `room` bytes."""

    def __init__(
        self,
        loop: Loop,
        events: ViewerEvents,
        schema: RequestSchema,
        max_connections: int,
        max_bytes: int,
        log: LogFunction,
    ) -> None:
        self.loop, self.events, self.schema, self.log = loop, events, schema, log
        self.max_connections, self.max_bytes, self.bytes_held = max_connections, max_bytes, 0
        self.connections: dict[int, ViewerConnection] = {}
        self._last_number = 0
        self._session_peers: dict[bytes, str] = {}  # of sessions whose connection is gone: the viewer's side
        self._pending_notices: deque[tuple[int, str, bytes]] = deque(maxlen=MAX_PENDING_NOTICES)
        self._submit_queue: deque[ViewerConnection] = (
            deque()
        )  # connections with set-ups that were read and not asked yet
        self._submit_timer: Timer | None = None
        loop.call_at(loop.now() + CHECK_PERIOD_US, self._check_connections)

    def accept(self) -> Handler:
        """Make the handler of a new connection."""
        self._last_number += 1
        connection = ViewerConnection(self, self._last_number)
        connection.is_closing = (
            len(self.connections) >= self.max_connections and not self._close_idle_connection()
        )
        self.connections[self._last_number] = connection
        return connection

    def _close_idle_connection(self) -> bool:
        """Close the connection that has been quiet for longest of those that carry nothing; False: none does.

        Danger: peers that hold hundreds of connections, each with a set-up open, would push out one on
        which sessions stand and that has no set-up open just now; nobody could be told of their ends.
        """
        connections = [
            e for e in self.connections.values() if not (e.is_closing or e.open_set_ups or e.sessions)
        ]
        for connection in sorted(connections, key=lambda e: (e.is_verified, e.last_received_at)):
            if not connection.has_unread():  # else a set-up may lie there, which a close would lose
                connection.close()
                return True
        return False

    # Set-ups on their way to the module

    def queue(self, connection: ViewerConnection) -> None:
        """Take it that a connection has set-ups to be asked: in this turn, once all that came is read."""
        if connection not in self._submit_queue:
            self._submit_queue.append(connection)
        if self._submit_timer is None:
            self._submit_timer = self.loop.call_soon(self._submit_some)

    def _submit_some(self) -> None:
        """Ask a few, one a connection and round again, so that a flood on one holds up no other."""
        # not before the next turn; set first, as a fault met with one set-up must not keep the others waiting
        self._submit_timer = self.loop.call_at(self.loop.now() + 1, self._submit_some)
        for _ in range(SET_UPS_PER_TURN):
            while self._submit_queue and not self._submit_queue[0].queued_set_ups:
                self._submit_queue.popleft()
            if not self._submit_queue:
                self._submit_timer.cancel()
                self._submit_timer = None
                return
            connection = self._submit_queue.popleft()
            self._submit_queue.append(connection)
            connection.submit_next()

    # Answers

    def answer(self, viewer: int, call_id: bytes, description: bytes) -> bool:
        """Pass on a host's answer; False where the viewer's connection is gone."""
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
        """Fail a set-up under a number that a connection with answered sessions uses too.

        Danger: who copies the number of a set-up that is on its way may be read first. Of the two, the one
        on a connection that was never answered is no viewer's; neither is set up, as nobody can say what
        the other's answer would be.
        """
        for connection in self.connections.values():
            if call_id in connection.open_set_ups and not connection.had_session:
                connection.close_with_error(
                    Cause.PROTOCOL_ERROR, f"set-up {call_id.hex()}: a number taken from another"
                )
                return

    def reject(self, viewer: int, call_id: bytes, cause: Cause, retry_after_ms: int = 0) -> None:
        """Refuse or fail a set-up; `stay_away` in ms."""
        connection = self.connections.get(viewer)
        if connection is not None and connection.close_set_up(call_id):
            connection.write(encode_release(call_id, cause, retry_after_ms))

    def end_session(self, viewer: int, call_id: bytes, frame: bytes) -> None:
        """Tell the end of a session on its connection, else on another of the same side, else on the next."""
        connection = self.connections.get(viewer)
        if connection is not None and not connection.is_closing:
            connection.sessions.discard(call_id)
            connection.send_tracked(call_id, frame, True)
            return
        peer = self._session_peers.pop(call_id, None)
        if (
            connection is not None and call_id in connection.sessions
        ):  # it is being closed and takes nothing more
            connection.sessions.discard(call_id)
            peer = connection.peer
        if peer is not None:
            self._send_elsewhere(peer, call_id, frame)

    def _send_elsewhere(self, peer: str, call_id: bytes, frame: bytes) -> None:
        others = [
            e for e in self.connections.values() if e.is_verified and not e.is_closing and e.peer == peer
        ]
        if others:
            max(others, key=lambda each: each.last_received_at).send_tracked(call_id, frame, True)
        else:
            self._pending_notices.append((self.loop.now() + PENDING_NOTICE_TTL_US, peer, frame))

    def handle_closed(self, connection: ViewerConnection, undelivered: list[UnconfirmedMessage]) -> None:
        """Forget a connection, but not whose side the sessions are on that were answered there.

        What was told there and cannot have been heard: of an answer, the viewer is gone, so its session
        ends; the end of a session is told elsewhere.
        """
        self.connections.pop(connection.number, None)
        for told in undelivered:
            if told.is_session_end:
                self._send_elsewhere(connection.peer, told.call_id, told.frame)
            elif told.call_id in connection.sessions:
                connection.sessions.discard(told.call_id)
                self.events.handle_viewer_left(told.call_id)
        for call_id in connection.sessions:
            self._session_peers[call_id] = connection.peer

    def forget_session(self, viewer: int, call_id: bytes) -> None:
        """Forget a session that ended without a word to its viewer, who was answered on that connection."""
        self._session_peers.pop(call_id, None)
        connection = self.connections.get(viewer)
        if connection is not None:
            connection.sessions.discard(call_id)

    def close_all(self) -> None:
        """Read no more from anybody; close once all that is queued was taken."""
        for connection in list(self.connections.values()):
            connection.close(linger=True)

    def is_busy(self) -> bool:
        """Tell whether a set-up is open, or something not written or not read yet that may be one."""
        connections = [connection for connection in self.connections.values() if not connection.is_closing]
        return any(
            connection.open_set_ups or connection.has_unsent() or connection.has_unread()
            for connection in connections
        )

    def send_pending_notices(self, connection: ViewerConnection) -> None:
        """Send what waits for a connection of this side."""
        now, remaining = self.loop.now(), []
        for expires_at, peer, frame in self._pending_notices:
            if peer == connection.peer and now < expires_at:
                connection.write(frame)
            elif now < expires_at:
                remaining.append((expires_at, peer, frame))
        self._pending_notices = deque(remaining, MAX_PENDING_NOTICES)

    def _check_connections(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + CHECK_PERIOD_US, self._check_connections)
        for connection in list(self.connections.values()):
            if connection.is_closing:
                connection.abort_if_stuck(now)
                continue
            is_late = (
                connection.partial_since is not None and now - connection.partial_since > MESSAGE_TIMEOUT_US
            )
            if is_late or (
                not connection.is_verified
                and now - connection.created_at > MESSAGE_TIMEOUT_US
                and not connection.has_unread()
            ):
                connection.close_with_error(Cause.TEMPORARY_FAILURE, "no whole message in its time")
