"""One connection of a viewer's side: messages in, and what is told on it until it can have been heard."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintmast.loop import Close, Handler, Stream
from mintmast.signalling import asking, messages
from mintmast.signalling.asking import Asked
from mintmast.signalling.messages import Cause, Kind, Message, Reader, encode, release

if TYPE_CHECKING:
    from mintmast.signalling.viewers import Viewers

# µs that a connection has for its first message, and a message for its last byte: such peers are owed a
# close within 3 s
PATIENCE = 2_000_000
# bytes that a set-up under way takes here and in the module, beside what it carries; and the part of the room
# for all that one connection may take
SET_UP_BYTES, ONE_PART = 4096, 0.5


@dataclass(slots=True, frozen=True)
class Told:
    """An answer, or the end of a session, that may not have been heard yet."""

    end: int  # what the connection will have handed over once it is whole
    call: bytes
    frame: bytes
    is_end: bool


class ViewerConnection(Handler):
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
        self._told: deque[Told] = deque()

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
        self._told.append(Told(self.written, call, frame, is_end))

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
        """Take it that the connection stands."""
        self.stream, self.peer = stream, stream.peer[0]
        if self.over:  # there was no room for it
            stream.abort()

    def received(self, data: bytes) -> None:
        """Take bytes: all that is whole in them is read before any set-up is asked."""
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
        """Take the end of the connection, and of what was open on it."""
        if self.carried and not self.over:
            self.viewers.say("viewer gone", peer=self.peer, how=reason.value, sessions=len(self.carried))
        handed_over = self.stream.handed_over if self.stream is not None else 0
        unheard = [told for told in self._told if told.end > min(handed_over, self._settled)]
        self._told.clear()
        self.over, self.stream = True, None
        self.viewers.gone(self, unheard)
        self._leave()
