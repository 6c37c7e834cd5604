"""A stand-in media host that can hang, fall silent, be slow, lose answers or reset connections."""

from __future__ import annotations

import random

from mintmast.lab.soak import frames
from mintmast.lab.soak.frames import Frame, FrameReader, encode_frame, encode_release_frame
from mintmast.lab.soak.records import Attempt, AttemptEnd, Records
from mintmast.lab.soak.schedule import MS, SECOND, HostMode
from mintmast.loop import CloseReason, Handler, Loop, Stream


class StandInHost:
    """A host at an address of its own; `mode` is its fault, or None."""

    def __init__(self, loop: Loop, records: Records, draw: random.Random, name: str, place: tuple[str, int]):
        self.loop, self.records, self.draw, self.name = loop, records, draw, name
        self.mode: HostMode | None = None
        self.connections: list[_HostConnection] = []
        self._unconfirmed_ends: list[bytes] = []
        self._listener = loop.listen(*place, self._accept)

    def _accept(self) -> Handler:
        return _HostConnection(self)

    def handle_opened(self, connection: _HostConnection) -> None:
        """Start with a connection: repeat the ends of sessions that may not have been heard."""
        self.connections.append(connection)
        if self.mode is HostMode.HANGS:
            connection.stream.pause()
        ends, self._unconfirmed_ends = self._unconfirmed_ends, []
        for call_id in ends:
            connection.write(encode_release_frame(call_id, frames.NORMAL_CLEARING))

    def set_mode(self, mode: HostMode | None) -> None:
        """Enter a mode, or end it with None; a host that hung then goes on with what it had received."""
        self.mode = mode
        for connection in list(self.connections):
            if mode is HostMode.HANGS:
                connection.stream.pause()
            else:
                connection.stream.resume()

    def answer_delay(self) -> int:
        """Draw the time from a set-up to its answer in µs."""
        if self.mode is HostMode.SLOW:
            return self.draw.randrange(300, 2000) * MS
        return self.draw.randrange(3, 25) * MS

    def end_session(self, call_id: bytes, own: _HostConnection) -> None:
        """Release a session that has played to its end, on its connection or else on any."""
        target = own if own in self.connections else next(iter(self.connections), None)
        if target is not None:
            target.write(encode_release_frame(call_id, frames.NORMAL_CLEARING))
        self._unconfirmed_ends.append(call_id)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.stream.abort()


class _HostConnection(Handler):
    """A connection from a gateway."""

    def __init__(self, host: StandInHost) -> None:
        self.host = host
        self.stream: Stream | None = None
        self._reader = FrameReader()
        self._open_attempts: dict[bytes, Attempt] = {}
        self._sessions: set[bytes] = set()

    def opened(self, stream: Stream) -> None:
        self.stream = stream
        self.host.handle_opened(self)

    def write(self, data: bytes) -> None:
        """Write if the connection is open."""
        if self.stream is not None:
            self.stream.write(data)

    def received(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            if self.stream is not None:
                self._handle_frame(frame)

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind == frames.HEALTH_CHECK:
            reply = encode_frame(frames.HEALTH_CHECK_REPLY, frame.call_id, {frames.CAUSE: b"\1"})
            self.write(reply)
        elif frame.kind == frames.SET_UP:
            self._handle_set_up(frame)
        elif frame.kind == frames.RELEASE:
            self._sessions.discard(frame.call_id)
            self._end_attempt(frame.call_id, AttemptEnd.GIVEN_UP)

    def _handle_set_up(self, frame: Frame) -> None:
        host, now = self.host, self.host.loop.now()
        request = host.records.requests.get(frame.call_id)
        gateway = request.gateway if request is not None else ""
        attempt = Attempt(frame.call_id, host.name, gateway, now)
        host.records.attempts.append(attempt)
        self._open_attempts[frame.call_id] = attempt
        if host.mode is HostMode.RESETS:
            self.stream.abort()
        elif host.mode is not HostMode.SILENT:
            host.loop.call_at(now + host.answer_delay(), self._answer, frame)

    def _answer(self, frame: Frame) -> None:
        if frame.call_id not in self._open_attempts or self.host.mode is HostMode.HANGS:
            return
        is_lost = self.host.mode is HostMode.LOSES_ANSWERS
        self._end_attempt(frame.call_id, AttemptEnd.ANSWER_LOST if is_lost else AttemptEnd.ANSWERED)
        self._sessions.add(frame.call_id)
        if not is_lost:
            description = {frames.DESCRIPTION: frame.params[frames.DESCRIPTION]}
            self.write(encode_frame(frames.ANSWER, frame.call_id, description))
        until = self.host.loop.now() + self.host.draw.randrange(SECOND, 4 * SECOND)
        self.host.loop.call_at(until, self._end_session, frame.call_id)

    def _end_session(self, call_id: bytes) -> None:
        if call_id in self._sessions:
            self._sessions.discard(call_id)
            self.host.end_session(call_id, self)

    def _end_attempt(self, call_id: bytes, end: AttemptEnd) -> None:
        attempt = self._open_attempts.pop(call_id, None)
        if attempt is not None:
            attempt.ended_at, attempt.end = self.host.loop.now(), end

    def closed(self, reason: CloseReason) -> None:
        self.stream = None
        if self in self.host.connections:
            self.host.connections.remove(self)
        for call_id in list(self._open_attempts):
            self._end_attempt(call_id, AttemptEnd.GIVEN_UP)
