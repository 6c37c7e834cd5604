"""All connections from viewers: each set-up gets one answer, and idle or stalled connections are closed."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from mintmast.loop import Handler, Limits, Loop, Timer
from mintmast.signalling.asking import Asked, Terms
from mintmast.signalling.messages import Cause, Kind, Param, encode, release
from mintmast.signalling.viewerconnection import PATIENCE, Told, ViewerConnection
from mintmast.telemetry.lines import Say

# µs between checks of all connections
LOOK = 250_000
# bytes that may be queued for a viewer, and bytes of one read: a read holds some hundred set-ups, which are
# only parsed at that point, in less than 10 ms
LIMITS = Limits(unsent=1 << 17, chunk=1 << 15)
# set-ups that go to the controller in one turn of the loop, at up to 1 ms each. Received data is read between
# two turns, so that a disconnect or a cancellation is known before more set-ups of that viewer are sent.
ASKED_A_TURN = 8
# messages queued until the next connection from their viewer's address, and µs after which they are dropped:
# the platform does not expect them any later
MOST_OWED, OWED_FOR = 1024, 8_000_000


class ViewerEvents(Protocol):
    """Callbacks for events of viewers."""

    def asked(self, viewer: int, asked: Asked, since: int) -> None:
        """Process a set-up that arrived at `since`; its timeout counts from then."""

    def left(self, call: bytes) -> None:
        """Process a cancellation, a release or a disconnect: the viewer no longer waits for the call."""

    def stands(self, call: bytes) -> bool | None:
        """Return whether the call's session is playing, or None if the call is unknown."""

    def ready(self) -> bool:
        """Return the readiness to accept set-ups, as reported to health checks."""


class Viewers:
    """All connections from viewers: at most `most`, with set-ups in progress of at most `room` bytes."""

    def __init__(
        self, loop: Loop, events: ViewerEvents, terms: Terms, most: int, room: int, say: Say
    ) -> None:
        self.loop, self.events, self.terms, self.say = loop, events, terms, say
        self.most, self.room, self.held = most, room, 0
        self.connections: dict[int, ViewerConnection] = {}
        self._count = 0
        self._peers: dict[bytes, str] = {}  # peer address of each session whose connection was closed
        self._owed: deque[tuple[int, str, bytes]] = deque(maxlen=MOST_OWED)
        # connections with set-ups that are not yet passed to the controller
        self._asking: deque[ViewerConnection] = deque()
        self._ask_next: Timer | None = None
        loop.call_at(loop.now() + LOOK, self._look)

    def accept(self) -> Handler:
        """Create the handler of a new connection."""
        self._count += 1
        connection = ViewerConnection(self, self._count)
        connection.over = len(self.connections) >= self.most and not self._make_room()
        self.connections[self._count] = connection
        return connection

    def _make_room(self) -> bool:
        """Close the longest idle connection without set-ups and sessions; return False if there is none.

        Connections with sessions are exempt even if no set-up is open on them: otherwise peers with hundreds
        of connections, each with an open set-up, could displace one with sessions, whose ends could then not
        be reported.
        """
        connections = [e for e in self.connections.values() if not (e.over or e.open or e.carried)]
        for connection in sorted(connections, key=lambda e: (e.good, e.heard)):
            if not connection.unread():  # unread data may hold a set-up, which a close would lose
                connection.end()
                return True
        return False

    # Set-ups

    def queue(self, connection: ViewerConnection) -> None:
        """Queue a connection whose set-ups are to be submitted once all received data is read."""
        if connection not in self._asking:
            self._asking.append(connection)
        if self._ask_next is None:
            self._ask_next = self.loop.call_soon(self._ask_some)

    def _ask_some(self) -> None:
        """Submit a few set-ups, round robin over the connections, so that a flood on one delays no other."""
        # the next turn, after more received data is read; set first, as an exception must not stop the others
        self._ask_next = self.loop.call_at(self.loop.now() + 1, self._ask_some)
        for _ in range(ASKED_A_TURN):
            while self._asking and not self._asking[0].fresh:
                self._asking.popleft()
            if not self._asking:
                self._ask_next.cancel()
                self._ask_next = None
                return
            connection = self._asking.popleft()
            self._asking.append(connection)
            connection.ask_next()

    # Answers

    def answer(self, viewer: int, call: bytes, description: bytes) -> bool:
        """Send a host's answer to the viewer; return False if the viewer no longer waits for it."""
        connection = self.connections.get(viewer)
        if connection is None or not connection.shut(call):
            return False
        connection.carried.add(call)
        connection.served = True
        connection.tell(call, encode(Kind.ANSWER, call, [(Param.DESCRIPTION, description)]), False)
        return True

    def expose(self, call: bytes) -> None:
        """Fail a set-up whose call reference a connection with answered sessions uses too.

        A peer that copies the call reference of another's set-up may be read first. Of the two connections,
        the one that never had a session is taken for the impostor's and closed. Neither set-up succeeds, as
        an answer could not be attributed to one of them.
        """
        for connection in self.connections.values():
            if call in connection.open and not connection.served:
                connection.condemn(
                    Cause.PROTOCOL_ERROR, f"set-up {call.hex()} uses the call reference of another viewer"
                )
                return

    def end(self, viewer: int, call: bytes, cause: Cause, stay_away: int = 0) -> None:
        """Refuse or fail a set-up; `stay_away` is the retry advice in ms, 0 for none."""
        connection = self.connections.get(viewer)
        if connection is not None and connection.shut(call):
            connection.write(release(call, cause, stay_away))

    def over(self, viewer: int, call: bytes, frame: bytes) -> None:
        """Report a session's end on its connection, or on another or the next one from the same address."""
        connection = self.connections.get(viewer)
        if connection is not None and not connection.over:
            connection.carried.discard(call)
            connection.tell(call, frame, True)
            return
        peer = self._peers.pop(call, None)
        if connection is not None and call in connection.carried:  # closing: it accepts no more messages
            connection.carried.discard(call)
            peer = connection.peer
        if peer is not None:
            self._elsewhere(peer, call, frame)

    def _elsewhere(self, peer: str, call: bytes, frame: bytes) -> None:
        others = [e for e in self.connections.values() if e.good and not e.over and e.peer == peer]
        if others:
            max(others, key=lambda each: each.heard).tell(call, frame, True)
        else:
            self._owed.append((self.loop.now() + OWED_FOR, peer, frame))

    def gone(self, connection: ViewerConnection, unheard: list[Told]) -> None:
        """Remove a connection, and keep the peer address of the sessions that were answered on it.

        If an answer was not delivered, the viewer is gone and its session is ended. An undelivered session
        end is sent on another connection.
        """
        self.connections.pop(connection.number, None)
        for told in unheard:
            if told.is_end:
                self._elsewhere(connection.peer, told.call, told.frame)
            elif told.call in connection.carried:
                connection.carried.discard(told.call)
                self.events.left(told.call)
        for call in connection.carried:
            self._peers[call] = connection.peer

    def forget(self, viewer: int, call: bytes) -> None:
        """Remove a session that ended without a message to its viewer, who was answered on `viewer`."""
        self._peers.pop(call, None)
        connection = self.connections.get(viewer)
        if connection is not None:
            connection.carried.discard(call)

    def finish(self) -> None:
        """Stop reading, and close each connection once its queued data is sent and its peer has closed."""
        for connection in list(self.connections.values()):
            connection.end(finish=True)

    def busy(self) -> bool:
        """Return whether a set-up is open, an answer is unsent, or unread data may hold a set-up."""
        connections = [connection for connection in self.connections.values() if not connection.over]
        return any(
            connection.open or connection.unsent() or connection.unread() for connection in connections
        )

    def pay(self, connection: ViewerConnection) -> None:
        """Send the messages that were queued for a connection from this peer's address."""
        now, kept = self.loop.now(), []
        for until, peer, frame in self._owed:
            if peer == connection.peer and now < until:
                connection.write(frame)
            elif now < until:
                kept.append((until, peer, frame))
        self._owed = deque(kept, MOST_OWED)

    def _look(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + LOOK, self._look)
        for connection in list(self.connections.values()):
            if connection.over:
                connection.part(now)
                continue
            late = connection.partial_since is not None and now - connection.partial_since > PATIENCE
            if late or (
                not connection.good and now - connection.began > PATIENCE and not connection.unread()
            ):
                connection.condemn(Cause.TEMPORARY_FAILURE, "no complete message in time")
