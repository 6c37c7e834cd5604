"""One connection from viewers: parses their messages, and tracks sent ones until they can have arrived."""

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

# µs within which a connection's first message, and the last byte of each message, must arrive: the platform
# requires a close of such connections within 3 s
PATIENCE = 2_000_000
# bytes that a set-up in progress takes here and in the controller beside its parameters, and the share of the
# memory for all set-ups that one connection may use
SET_UP_BYTES, ONE_PART = 4096, 0.5


@dataclass(slots=True, frozen=True)
class Told:
    """A sent answer or session end that may not have reached the viewer."""

    end: int  # bytes that the connection has handed to the network once it is fully sent
    call: bytes
    frame: bytes
    is_end: bool


class ViewerConnection(Handler):
    """A connection from viewers; one connection carries the requests of many."""

    def __init__(self, viewers: Viewers, number: int) -> None:
        self.viewers, self.number = viewers, number
        self.stream: Stream | None = None
        self.peer = ""
        self.open: dict[bytes, int] = {}  # unanswered set-ups and the bytes that they take
        self.held = 0
        self.ended = 0
        self.carried: set[bytes] = set()  # sessions answered on this connection
        self.good = False  # a valid message was received
        self.served = False  # a session was answered here, or was handed over on this connection
        self.over = False
        self.began = self.heard = viewers.loop.now()
        self.partial_since: int | None = None
        self.written = self._settled = 0
        self._reader = Reader()
        # parsed set-ups not yet passed to the controller, with their arrival times
        self.fresh: dict[bytes, tuple[Asked, int]] = {}
        self._told: deque[Told] = deque()

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is not None:
            self.written += len(data)
            self.stream.write(data)

    def tell(self, call: bytes, frame: bytes, is_end: bool) -> None:
        """Write an answer or a session's end, and track it while the viewer cannot have received it.

        A viewer that closed before the write, or whose connection accepts no bytes, never receives it: the
        session would play without a viewer, or count as playing for ever. The message is tracked until the
        network has taken it and the turn of the loop is over in which the viewer's close may be unread.
        """
        self.write(frame)
        if not self._told or self._told[-1].end <= self._settled:
            self.viewers.loop.call_soon(self._settle)
        self._told.append(Told(self.written, call, frame, is_end))

    def _settle(self) -> None:
        """Mark the end of the turn: a close that arrived before this turn's messages has been read by now."""
        self._settled = self.written
        while self._told and self.stream is not None and self._told[0].end <= self.stream.handed_over:
            self._told.popleft()

    def unsent(self) -> bool:
        """Return whether the network has not yet taken everything that was written."""
        return self.stream is not None and self.stream.handed_over < self.written

    def unread(self) -> bool:
        """Return whether received data is unread, or parsed set-ups wait for the controller."""
        return bool(self.fresh) or (self.stream is not None and self.stream.unread())

    def opened(self, stream: Stream) -> None:
        """Start using the connection, or abort it if the limit of connections was reached."""
        self.stream, self.peer = stream, stream.peer[0]
        if self.over:
            stream.abort()

    def received(self, data: bytes) -> None:
        """Process all complete messages, and only then queue their set-ups for the controller."""
        if self.over:
            return
        now = self.heard = self.viewers.loop.now()
        for message in self._reader.feed(data):
            self.partial_since = None
            self._message(message)
            if self.over:
                return
        if self._reader.broken:
            self.condemn(Cause.PROTOCOL_ERROR, "invalid message length or type")
            return
        self.partial_since = (self.partial_since or now) if self._reader.partial else None
        if self.fresh:
            self.viewers.queue(self)

    def ask_next(self) -> None:
        """Submit the oldest queued set-up. One that was cancelled in the queue never reaches a host."""
        call, (asked, since) = next(iter(self.fresh.items()))
        del self.fresh[call]
        if self.viewers.events.stands(call) is None:
            self.viewers.events.asked(self.number, asked, since)
        elif self.shut(call):  # another connection submitted a set-up with the same call reference first
            self._unfit(call, Cause.INVALID_CALL_REFERENCE, True)

    def _message(self, message: Message) -> None:
        kind = message.kind
        if kind == Kind.SET_UP:
            self._set_up(message)
        elif message.fault is not None:
            self.condemn(message.fault, "malformed parameters")
        elif kind == Kind.RELEASE:
            self._release(message.call)
        elif kind == Kind.TEST:
            self._good()
            self.write(messages.tested(message.call, self.viewers.events.ready()))
        elif kind not in (Kind.HEARD, Kind.PROGRESS):
            self.condemn(Cause.PROTOCOL_ERROR, f"unexpected message of type {kind}")

    def _good(self) -> None:
        if not self.good:
            self.good = True
            self.viewers.pay(self)

    def _set_up(self, message: Message) -> None:
        call = message.call
        if call in self.open:  # an answer could not be told apart between two set-ups of one call reference
            self.condemn(Cause.PROTOCOL_ERROR, f"duplicate set-up for call reference {call.hex()}")
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
        """Fail an invalid set-up; `known` if its call reference is already in use."""
        self.write(release(call, cause))
        if known and self.served:
            self.viewers.expose(call)
        if not self.served:
            self.condemn(Cause.PROTOCOL_ERROR, f"invalid set-up {call.hex()}: {cause.name}")

    def _admit(self, asked: Asked) -> bool:
        """Reserve memory for a set-up; return False if there is none, and the set-up is refused.

        Set-ups of 16 KiB can arrive faster than they are answered, and the process has 32 MB.
        """
        viewers, size = self.viewers, SET_UP_BYTES + sum(map(len, asked.wish.passed))
        if viewers.held + size > viewers.room or self.held + size > viewers.room * ONE_PART:
            return False
        self.open[asked.wish.call] = size
        self.held += size
        viewers.held += size
        return True

    def shut(self, call: bytes) -> bool:
        """Remove an open set-up and free its memory; return False if it is not open here."""
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
        """Fail the open set-ups and close: the peer violated the protocol or its time limits."""
        if self.carried:
            viewers = self.viewers
            viewers.say(
                "viewer closed", peer=self.peer, cause=cause.name, why=why, sessions=len(self.carried)
            )
        for call in self._leave():
            self.write(release(call, cause))
        self.end()

    def end(self, finish: bool = False) -> None:
        """Stop reading, flush queued data and close; with `finish` only once the peer has closed."""
        if not self.over:
            self.over, self.ended = True, self.viewers.loop.now()
            if self.stream is not None and finish:
                self.stream.finish()
            elif self.stream is not None:
                self.stream.pause()
                self.stream.close()

    def part(self, now: int) -> None:
        """Abort a closing connection whose peer has not taken the queued data in time."""
        if self.stream is not None and now - self.ended > PATIENCE:
            self.stream.abort()

    def closed(self, reason: Close) -> None:
        """Report the end of the connection, the undelivered messages and the open set-ups."""
        if self.carried and not self.over:
            self.viewers.say(
                "viewer disconnected", peer=self.peer, how=reason.value, sessions=len(self.carried)
            )
        handed_over = self.stream.handed_over if self.stream is not None else 0
        unheard = [told for told in self._told if told.end > min(handed_over, self._settled)]
        self._told.clear()
        self.over, self.stream = True, None
        self.viewers.gone(self, unheard)
        self._leave()
