"""Connections of viewers: set-ups in, their one answer out, and no time for those that only hold them."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from mintmast.loop import Close, Handler, Limits, Loop, Stream
from mintmast.signalling import asking, messages
from mintmast.signalling.asking import Asked, Terms
from mintmast.signalling.messages import Cause, Kind, Message, Param, Reader, encode, release
from mintmast.telemetry.lines import Say

# µs between looks at connections
LOOK = 250_000
# µs that a connection has for its first message, and a message for its last byte: such peers are owed a
# close within 3 s
PATIENCE = 2_000_000
# bytes that a set-up under way takes here and in the module, beside what it carries; and the part of the room
# for all that one connection may take
SET_UP_BYTES, ONE_PART = 4096, 0.5
# bytes that may wait for a viewer, and that are read from one at a time, so that a flood on one connection
# does not hold up the others
LIMITS = Limits(unsent=1 << 17, chunk=1 << 13)
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
        self.lines: dict[int, _Line] = {}
        self._count = 0
        self._peers: dict[bytes, str] = {}  # of sessions whose connection is gone: the viewer's side
        self._owed: deque[tuple[int, str, bytes]] = deque(maxlen=MOST_OWED)
        loop.call_at(loop.now() + LOOK, self._look)

    def accept(self) -> Handler:
        """Make the handler of a new connection."""
        self._count += 1
        line = _Line(self, self._count)
        line.over = len(self.lines) >= self.most and not self._make_room()
        self.lines[self._count] = line
        return line

    def _make_room(self) -> bool:
        """Close the connection that has been quiet for longest of those that carry nothing; False: none does.

        Danger: peers that hold hundreds of connections, each with a set-up open, would push out one on
        which sessions stand and that has no set-up open just now; nobody could be told of their ends.
        """
        lines = [e for e in self.lines.values() if not (e.over or e.open or e.carried)]
        if not lines:
            return False
        min(lines, key=lambda e: (e.good, e.heard)).end()
        return True

    # Answers

    def answer(self, viewer: int, call: bytes, description: bytes) -> bool:
        """Pass on a host's answer; False where the viewer's connection is gone."""
        line = self.lines.get(viewer)
        if line is None or not line.shut(call):
            return False
        line.carried.add(call)
        line.served = True
        line.write(encode(Kind.ANSWER, call, [(Param.DESCRIPTION, description)]))
        return True

    def expose(self, call: bytes) -> None:
        """Fail a set-up under a number that a connection with answered sessions uses too.

        Danger: who copies the number of a set-up that is on its way may be read first. Of the two, the one
        on a connection that was never answered is no viewer's; neither is set up, as nobody can say what
        the other's answer would be.
        """
        for line in self.lines.values():
            if call in line.open and not line.served:
                line.condemn(Cause.PROTOCOL_ERROR, f"set-up {call.hex()}: a number taken from another")
                return

    def end(self, viewer: int, call: bytes, cause: Cause, stay_away: int = 0) -> None:
        """Refuse or fail a set-up; `stay_away` in ms."""
        line = self.lines.get(viewer)
        if line is not None and line.shut(call):
            line.write(release(call, cause, stay_away))

    def over(self, viewer: int, call: bytes, frame: bytes) -> None:
        """Tell the end of a session on its connection, else on another of the same side, else on the next."""
        line = self.lines.get(viewer)
        if line is not None:
            line.carried.discard(call)
            line.write(frame)
            return
        peer = self._peers.pop(call, None)
        if peer is None:
            return
        others = [each for each in self.lines.values() if each.good and each.peer == peer]
        if others:
            max(others, key=lambda each: each.heard).write(frame)
        else:
            self._owed.append((self.loop.now() + OWED_FOR, peer, frame))

    def gone(self, line: _Line) -> None:
        """Forget a connection, but not whose side the sessions are on that were answered there."""
        self.lines.pop(line.number, None)
        for call in line.carried:
            self._peers[call] = line.peer

    def forget(self, call: bytes) -> None:
        """Forget a session that ended without a word to its viewer."""
        self._peers.pop(call, None)

    def pay(self, line: _Line) -> None:
        """Send what waits for a connection of this side."""
        now, kept = self.loop.now(), []
        for until, peer, frame in self._owed:
            if peer == line.peer and now < until:
                line.write(frame)
            elif now < until:
                kept.append((until, peer, frame))
        self._owed = deque(kept, MOST_OWED)

    def _look(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + LOOK, self._look)
        for line in list(self.lines.values()):
            if line.over:
                line.part(now)
                continue
            late = line.partial_since is not None and now - line.partial_since > PATIENCE
            if late or (not line.good and now - line.began > PATIENCE):
                line.condemn(Cause.TEMPORARY_FAILURE, "no whole message in its time")


class _Line(Handler):
    """One connection of a viewer's side."""

    def __init__(self, viewers: Viewers, number: int) -> None:
        self.viewers, self.number = viewers, number
        self.stream: Stream | None = None
        self.peer = ""
        self.open: dict[bytes, int] = {}  # set-ups that wait for their answer here, with the bytes they take
        self.held = 0
        self.ended = 0
        self.carried: set[bytes] = set()  # sessions that were answered here
        self.good = False  # something was understood
        self.served = False  # a session was answered here, or is known to stand
        self.over = False
        self.began = self.heard = viewers.loop.now()
        self.partial_since: int | None = None
        self._reader = Reader()
        self._fresh: dict[bytes, Asked] = {}

    def write(self, data: bytes) -> None:
        """Write, where it is open."""
        if self.stream is not None:
            self.stream.write(data)

    def opened(self, stream: Stream) -> None:
        self.stream, self.peer = stream, stream.peer[0]
        if self.over:  # there was no room for it
            stream.abort()

    def received(self, data: bytes) -> None:
        if self.over:
            return
        now = self.heard = self.viewers.loop.now()
        for message in self._reader.feed(data):
            self.partial_since = None
            self._message(message)
            if self.over:
                return
        if self._reader.broken:
            self.condemn(Cause.PROTOCOL_ERROR, "bytes that are no message")
            return
        self.partial_since = (self.partial_since or now) if self._reader.partial else None
        # set-ups go on only now: what was taken back with the same bytes never costs a host anything
        fresh, self._fresh = self._fresh, {}
        for asked in fresh.values():
            self.viewers.events.asked(self.number, asked, now)

    def _message(self, message: Message) -> None:
        kind = message.kind
        if kind == Kind.SET_UP:
            self._set_up(message)
        elif message.fault is not None:
            self.condemn(message.fault, "parameters beyond their message")
        elif kind == Kind.RELEASE:
            self._release(message.call)
        elif kind == Kind.TEST:
            self._good()
            self.write(messages.tested(message.call, self.viewers.events.ready()))
        elif kind not in (Kind.HEARD, Kind.PROGRESS):
            self.condemn(Cause.PROTOCOL_ERROR, f"message of type {kind}")

    def _good(self) -> None:
        if not self.good:
            self.good = True
            self.viewers.pay(self)

    def _set_up(self, message: Message) -> None:
        call = message.call
        if call in self.open:  # two set-ups under one number: one answer would be read for either
            self.condemn(Cause.PROTOCOL_ERROR, f"second set-up {call.hex()}")
            return
        asked = asking.read(message, self.viewers.terms)
        known = self.viewers.events.stands(call) is not None
        if isinstance(asked, Asked) and asked.at and known:
            return
        if isinstance(asked, Cause) or known:
            cause = asked if isinstance(asked, Cause) else Cause.INVALID_CALL_REFERENCE
            self.write(release(call, cause))
            if known and self.served:
                self.viewers.expose(call)
            if not self.served:
                self.condemn(Cause.PROTOCOL_ERROR, f"set-up {call.hex()}: {cause.name}")
            return
        self._good()
        if asked.at:
            self.carried.add(call)
            self.served = True
        elif not self._admit(asked):
            self.write(release(call, Cause.SWITCHING_EQUIPMENT_CONGESTION))
            return
        self._fresh[call] = asked

    def _admit(self, asked: Asked) -> bool:
        """Take room for a set-up; False where there is none, and it never leaves.

        Danger: set-ups of 16 KiB come faster than they are answered, and the machine has 32 MB.
        """
        viewers, size = self.viewers, SET_UP_BYTES + sum(map(len, asked.wish.passed))
        if viewers.held + size > viewers.room or self.held + size > viewers.room * ONE_PART:
            return False
        self.open[asked.wish.call] = size
        self.held += size
        viewers.held += size
        return True

    def shut(self, call: bytes) -> bool:
        """Take it that a set-up waits no more; False where it did not wait here."""
        size = self.open.pop(call, None)
        if size is None:
            return False
        self.held -= size
        self.viewers.held -= size
        return True

    def _release(self, call: bytes) -> None:
        if self._fresh.pop(call, None) is not None:
            self.shut(call)
        elif self.shut(call):
            self.viewers.events.left(call)
        elif self.viewers.events.stands(call):
            self._good()
            self.carried.discard(call)
            self.viewers.events.left(call)
        self.write(encode(Kind.HEARD, call))

    def _leave(self) -> list[bytes]:
        waiting = list(self.open)
        for call in waiting:
            self.shut(call)
            if self._fresh.pop(call, None) is None:
                self.viewers.events.left(call)
        return waiting

    def condemn(self, cause: Cause, why: str) -> None:
        """Fail what is open and close: the peer does not speak the protocol, or not in its time."""
        if self.carried:
            viewers = self.viewers
            viewers.say(
                "viewer closed", peer=self.peer, cause=cause.name, why=why, sessions=len(self.carried)
            )
        for call in self._leave():
            self.write(release(call, cause))
        self.end()

    def end(self) -> None:
        """Read no more, send what is queued, close."""
        if not self.over:
            self.over, self.ended = True, self.viewers.loop.now()
            if self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def part(self, now: int) -> None:
        """Break off where the peer does not take what is left for it."""
        if self.stream is not None and now - self.ended > PATIENCE:
            self.stream.abort()

    def closed(self, reason: Close) -> None:
        if self.carried and not self.over:
            self.viewers.say("viewer gone", peer=self.peer, how=reason.value, sessions=len(self.carried))
        self.over, self.stream = True, None
        self.viewers.gone(self)
        self._leave()
