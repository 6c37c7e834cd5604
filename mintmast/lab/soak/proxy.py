"""A proxy in front of a host: connections come up late, close at once, are cut off or lose one direction."""

from __future__ import annotations

import random

from mintmast.lab.soak.schedule import MS, LinkMode
from mintmast.loop import CloseReason, Handler, Loop, Stream

# µs that a connection takes to come up while the link is late
LATE_UP_RANGE_US = 50 * MS, 400 * MS


class Proxy:
    """Passes connections at `place` on to `target`; `mode` is the link's fault, or None."""

    def __init__(
        self, loop: Loop, draw: random.Random, place: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.loop, self.draw, self.target = loop, draw, target
        self.mode: LinkMode | None = None
        self.sides: set[_Side] = set()
        self._listener = loop.listen(*place, self._accept)

    def _accept(self) -> Handler:
        near, far = _Side(self, is_near=True), _Side(self, is_near=False)
        near.other, far.other = far, near
        return near

    def set_mode(self, mode: LinkMode | None) -> None:
        """Change the link's fault; what was cut off is reset at the end, as its bytes are lost."""
        if self.mode in (LinkMode.CUT, LinkMode.CUT_TO_GATEWAY) and mode is not self.mode:
            self._reset_all()
        self.mode = mode

    def loses(self, is_from_gateway: bool) -> bool:
        """Return whether bytes of this direction are lost."""
        return self.mode is LinkMode.CUT or (self.mode is LinkMode.CUT_TO_GATEWAY and not is_from_gateway)

    def _reset_all(self) -> None:
        for side in list(self.sides):
            if side.stream is not None:
                side.stream.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.close()
        self._reset_all()


class _Side(Handler):
    """One side of a proxied connection: near to the gateway, or far at the host."""

    def __init__(self, proxy: Proxy, is_near: bool) -> None:
        self.proxy, self.is_near = proxy, is_near
        self.stream: Stream | None = None
        self.other: _Side | None = None
        self._waiting: list[bytes] = []
        self._is_closed = False

    def opened(self, stream: Stream) -> None:
        self.stream = stream
        self.proxy.sides.add(self)
        if not self.is_near:
            self._pass_on()
            self.other._pass_on()
        elif self.proxy.mode is LinkMode.CLOSES_AT_ONCE:
            stream.abort()
        else:
            is_late = self.proxy.mode is LinkMode.LATE_UP
            delay = self.proxy.draw.randrange(*LATE_UP_RANGE_US) if is_late else 0
            self.proxy.loop.call_at(self.proxy.loop.now() + delay, self._connect)

    def _connect(self) -> None:
        if not self._is_closed:
            self.proxy.loop.connect(*self.proxy.target, self.other)

    def received(self, data: bytes) -> None:
        if not self.proxy.loses(self.is_near):
            self._waiting.append(data)
            self._pass_on()

    def _pass_on(self) -> None:
        target = self.other.stream
        while target is not None and self._waiting:
            target.write(self._waiting.pop(0))

    def closed(self, reason: CloseReason) -> None:
        self.stream, self._is_closed = None, True
        self.proxy.sides.discard(self)
        is_cut = self.proxy.mode in (LinkMode.CUT, LinkMode.CUT_TO_GATEWAY)
        if self.other.stream is not None and not is_cut:
            self.other.stream.close()
