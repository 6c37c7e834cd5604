"""Connections of viewers: set-ups in, their one answer out, and no time for those that only hold them."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from mintmast.loop import Handler, Limits, Loop, Timer
from mintmast.signalling.asking import Asked, Terms
from mintmast.signalling.messages import Cause, Kind, Param, encode, release
from mintmast.signalling.viewerconnection import PATIENCE, Told, ViewerConnection
from mintmast.telemetry.lines import Say

# µs between looks at connections
LOOK = 250_000
# bytes that may wait for a viewer, and that are read from one at a time: some hundred set-ups, which are only
# read then, in under 10 ms
LIMITS = Limits(unsent=1 << 17, chunk=1 << 15)
# set-ups that go to the module in one turn of the loop, each up to 1 ms of its time: between two turns what
# has come is read, so that who has gone or taken back is known before more of its set-ups leave
ASKED_A_TURN = 8
# releases that wait for a connection of their viewer's side, and how long (µs): then their time is over
MOST_OWED, OWED_FOR = 1024, 8_000_000


class ViewerEvents(Protocol):
    """What viewers do."""

    def asked(self, viewer: int, asked: Asked, since: int) -> None:
        """Take a set-up that came in at `since`; its time counts from then."""

    def left(self, call: bytes) -> None:
        """Take it that nobody waits for the call any more."""

    def stands(self, call: bytes) -> bool | None:
        """Tell whether a call stands; None where it is not known."""

    def ready(self) -> bool:
        """Tell whether set-ups are welcome."""


class Viewers:
    """All connections of viewers: at most `most`, their set-ups under way in at most `room` bytes."""

    def __init__(
        self, loop: Loop, events: ViewerEvents, terms: Terms, most: int, room: int, say: Say
    ) -> None:
        self.loop, self.events, self.terms, self.say = loop, events, terms, say
        self.most, self.room, self.held = most, room, 0
        self.connections: dict[int, ViewerConnection] = {}
        self._count = 0
        self._peers: dict[bytes, str] = {}  # of sessions whose connection is gone: the viewer's side
        self._owed: deque[tuple[int, str, bytes]] = deque(maxlen=MOST_OWED)
        self._asking: deque[ViewerConnection] = (
            deque()
        )  # connections with set-ups that were read and not asked yet
        self._ask_next: Timer | None = None
        loop.call_at(loop.now() + LOOK, self._look)

    def accept(self) -> Handler:
        """Make the handler of a new connection."""
        self._count += 1
        connection = ViewerConnection(self, self._count)
        connection.over = len(self.connections) >= self.most and not self._make_room()
        self.connections[self._count] = connection
        return connection

    def _make_room(self) -> bool:
        """Close the connection that has been quiet for longest of those that carry nothing; False: none does.

        Danger: peers that hold hundreds of connections, each with a set-up open, would push out one on
        which sessions stand and that has no set-up open just now; nobody could be told of their ends.
        """
        connections = [e for e in self.connections.values() if not (e.over or e.open or e.carried)]
        for connection in sorted(connections, key=lambda e: (e.good, e.heard)):
            if not connection.unread():  # else a set-up may lie there, which a close would lose
                connection.end()
                return True
        return False

    # Set-ups on their way to the module

    def queue(self, connection: ViewerConnection) -> None:
        """Take it that a connection has set-ups to be asked: in this turn, once all that came is read."""
        if connection not in self._asking:
            self._asking.append(connection)
        if self._ask_next is None:
            self._ask_next = self.loop.call_soon(self._ask_some)

    def _ask_some(self) -> None:
        """Ask a few, one a connection and round again, so that a flood on one holds up no other."""
        # not before the next turn; set first, as a fault met with one set-up must not keep the others waiting
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
        """Pass on a host's answer; False where the viewer's connection is gone."""
        connection = self.connections.get(viewer)
        if connection is None or not connection.shut(call):
            return False
        connection.carried.add(call)
        connection.served = True
        connection.tell(call, encode(Kind.ANSWER, call, [(Param.DESCRIPTION, description)]), False)
        return True

    def expose(self, call: bytes) -> None:
        """Fail a set-up under a number that a connection with answered sessions uses too.

        Danger: who copies the number of a set-up that is on its way may be read first. Of the two, the one
        on a connection that was never answered is no viewer's; neither is set up, as nobody can say what
        the other's answer would be.
        """
        for connection in self.connections.values():
            if call in connection.open and not connection.served:
                connection.condemn(Cause.PROTOCOL_ERROR, f"set-up {call.hex()}: a number taken from another")
                return

    def end(self, viewer: int, call: bytes, cause: Cause, stay_away: int = 0) -> None:
        """Refuse or fail a set-up; `stay_away` in ms."""
        connection = self.connections.get(viewer)
        if connection is not None and connection.shut(call):
            connection.write(release(call, cause, stay_away))

    def over(self, viewer: int, call: bytes, frame: bytes) -> None:
        """Tell the end of a session on its connection, else on another of the same side, else on the next."""
        connection = self.connections.get(viewer)
        if connection is not None and not connection.over:
            connection.carried.discard(call)
            connection.tell(call, frame, True)
            return
        peer = self._peers.pop(call, None)
        if connection is not None and call in connection.carried:  # it is being closed and takes nothing more
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
        """Forget a connection, but not whose side the sessions are on that were answered there.

        What was told there and cannot have been heard: of an answer, the viewer is gone, so its session
        ends; the end of a session is told elsewhere.
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
        """Forget a session that ended without a word to its viewer, who was answered on that connection."""
        self._peers.pop(call, None)
        connection = self.connections.get(viewer)
        if connection is not None:
            connection.carried.discard(call)

    def finish(self) -> None:
        """Read no more from anybody; close once all that is queued was taken."""
        for connection in list(self.connections.values()):
            connection.end(finish=True)

    def busy(self) -> bool:
        """Tell whether a set-up is open, or something not written or not read yet that may be one."""
        connections = [connection for connection in self.connections.values() if not connection.over]
        return any(
            connection.open or connection.unsent() or connection.unread() for connection in connections
        )

    def pay(self, connection: ViewerConnection) -> None:
        """Send what waits for a connection of this side."""
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
                connection.condemn(Cause.TEMPORARY_FAILURE, "no whole message in its time")
