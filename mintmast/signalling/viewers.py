"""Connections of viewers: set-ups in, their one answer out, and no time for those that only hold them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from mintmast.loop import Close, Handler, Limits, Loop, Stream, Timer
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
        self.lines: dict[int, _Line] = {}
        self._count = 0
        self._peers: dict[bytes, str] = {}  # of sessions whose connection is gone: the viewer's side
        self._owed: deque[tuple[int, str, bytes]] = deque(maxlen=MOST_OWED)
        self._asking: deque[_Line] = deque()  # connections with set-ups that were read and not asked yet
        self._ask_next: Timer | None = None
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
        for line in sorted(lines, key=lambda e: (e.good, e.heard)):
            if not line.unread():  # else a set-up may lie there, which a close would lose
                line.end()
                return True
        return False

    # Set-ups on their way to the module

    def queue(self, line: _Line) -> None:
        """Take it that a connection has set-ups to be asked: in this turn, once all that came is read."""
        if line not in self._asking:
            self._asking.append(line)
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
            line = self._asking.popleft()
            self._asking.append(line)
            line.ask_next()

    # Answers

    def answer(self, viewer: int, call: bytes, description: bytes) -> bool:
        """Pass on a host's answer; False where the viewer's connection is gone."""
        line = self.lines.get(viewer)
        if line is None or not line.shut(call):
            return False
        line.carried.add(call)
        line.served = True
        line.tell(call, encode(Kind.ANSWER, call, [(Param.DESCRIPTION, description)]), False)
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
        if line is not None and not line.over:
            line.carried.discard(call)
            line.tell(call, frame, True)
            return
        peer = self._peers.pop(call, None)
        if line is not None and call in line.carried:  # it is being closed and takes nothing more
            line.carried.discard(call)
            peer = line.peer
        if peer is not None:
            self._elsewhere(peer, call, frame)

    def _elsewhere(self, peer: str, call: bytes, frame: bytes) -> None:
        others = [e for e in self.lines.values() if e.good and not e.over and e.peer == peer]
        if others:
            max(others, key=lambda each: each.heard).tell(call, frame, True)
        else:
            self._owed.append((self.loop.now() + OWED_FOR, peer, frame))

    def gone(self, line: _Line, unheard: list[_Told]) -> None:
        """Forget a connection, but not whose side the sessions are on that were answered there.

        What was told there and cannot have been heard: of an answer, the viewer is gone, so its session
        ends; the end of a session is told elsewhere.
        """
        self.lines.pop(line.number, None)
        for told in unheard:
            if told.is_end:
                self._elsewhere(line.peer, told.call, told.frame)
            elif told.call in line.carried:
                line.carried.discard(told.call)
                self.events.left(told.call)
        for call in line.carried:
            self._peers[call] = line.peer

    def forget(self, viewer: int, call: bytes) -> None:
        """Forget a session that ended without a word to its viewer, who was answered on that connection."""
        self._peers.pop(call, None)
        line = self.lines.get(viewer)
        if line is not None:
            line.carried.discard(call)

    def finish(self) -> None:
        """Read no more from anybody; close once all that is queued was taken."""
        for line in list(self.lines.values()):
            line.end(finish=True)

    def busy(self) -> bool:
        """Tell whether a set-up is open, or something not written or not read yet that may be one."""
        lines = [line for line in self.lines.values() if not line.over]
        return any(line.open or line.unsent() or line.unread() for line in lines)

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
            if late or (not line.good and now - line.began > PATIENCE and not line.unread()):
                line.condemn(Cause.TEMPORARY_FAILURE, "no whole message in its time")


@dataclass(slots=True, frozen=True)
class _Told:
    """An answer, or the end of a session, that may not have been heard yet."""

    end: int  # what the connection will have handed over once it is whole
    call: bytes
    frame: bytes
    is_end: bool


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
        self.written = self._settled = 0
        self._reader = Reader()
        self.fresh: dict[bytes, tuple[Asked, int]] = {}  # read and not asked yet, with when they came
        self._told: deque[_Told] = deque()

    def write(self, data: bytes) -> None:
        """Write, where it is open."""
        if self.stream is not None:
            self.written += len(data)
            self.stream.write(data)

    def tell(self, call: bytes, frame: bytes, is_end: bool) -> None:
        """Write an answer or a session's end, and keep it while the viewer cannot have heard it.

        Danger: a viewer that closed before it was written, or whose connection takes nothing, never hears
        it, and a session would play for nobody or count as standing for ever. Kept until the network has
        taken it and the turn is over in which the viewer's close may lie unread.
        """
        self.write(frame)
        if not self._told or self._told[-1].end <= self._settled:
            self.viewers.loop.call_soon(self._settle)
        self._told.append(_Told(self.written, call, frame, is_end))

    def _settle(self) -> None:
        """Take it that the turn is over: a close that had come before what was told in it is read."""
        self._settled = self.written
        while self._told and self.stream is not None and self._told[0].end <= self.stream.handed_over:
            self._told.popleft()

    def unsent(self) -> bool:
        """Tell whether something written was not taken by the network yet."""
        return self.stream is not None and self.stream.handed_over < self.written

    def unread(self) -> bool:
        """Tell whether something has come and was not read or not asked yet."""
        return bool(self.fresh) or (self.stream is not None and self.stream.unread())

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
        if self.fresh:
            self.viewers.queue(self)

    def ask_next(self) -> None:
        """Ask the set-up that was read first: what is taken back before costs no host anything."""
        call, (asked, since) = next(iter(self.fresh.items()))
        del self.fresh[call]
        if self.viewers.events.stands(call) is None:
            self.viewers.events.asked(self.number, asked, since)
        elif self.shut(call):  # another connection's, read after this one, was asked first
            self._unfit(call, Cause.INVALID_CALL_REFERENCE, True)

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
        if isinstance(asked, Cause):
            self._unfit(call, asked, known)
            return
        if known:
            self._unfit(call, Cause.INVALID_CALL_REFERENCE, True)
            return
        self._good()
        if asked.at:
            self.carried.add(call)
            self.served = True
            self.viewers.events.asked(self.number, asked, self.heard)
        elif self._admit(asked):
            self.fresh[call] = asked, self.heard
        else:
            self.write(release(call, Cause.SWITCHING_EQUIPMENT_CONGESTION))

    def _unfit(self, call: bytes, cause: Cause, known: bool) -> None:
        """Fail a set-up that cannot be one; `known`: its number is in use."""
        self.write(release(call, cause))
        if known and self.served:
            self.viewers.expose(call)
        if not self.served:
            self.condemn(Cause.PROTOCOL_ERROR, f"set-up {call.hex()}: {cause.name}")

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
        if self.fresh.pop(call, None) is not None:
            self.shut(call)
        elif self.shut(call):
            self.viewers.events.left(call)
        elif (stands := self.viewers.events.stands(call)) is not False:
            if stands:
                self._good()
                self.carried.discard(call)
            self.viewers.events.left(call)
        self.write(encode(Kind.HEARD, call))

    def _leave(self) -> list[bytes]:
        waiting = list(self.open)
        for call in waiting:
            self.shut(call)
            if self.fresh.pop(call, None) is None:
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

    def end(self, finish: bool = False) -> None:
        """Read no more, send what is queued, close; with `finish` the peer's close is waited for."""
        if not self.over:
            self.over, self.ended = True, self.viewers.loop.now()
            if self.stream is not None and finish:
                self.stream.finish()
            elif self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def part(self, now: int) -> None:
        """Break off where the peer does not take what is left for it."""
        if self.stream is not None and now - self.ended > PATIENCE:
            self.stream.abort()

    def closed(self, reason: Close) -> None:
        if self.carried and not self.over:
            self.viewers.say("viewer gone", peer=self.peer, how=reason.value, sessions=len(self.carried))
        handed_over = self.stream.handed_over if self.stream is not None else 0
        unheard = [told for told in self._told if told.end > min(handed_over, self._settled)]
        self._told.clear()
        self.over, self.stream = True, None
        self.viewers.gone(self, unheard)
        self._leave()
