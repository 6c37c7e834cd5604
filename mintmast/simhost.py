"""Adapter to the simulator: read batches from standard input and write replies to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from mintmast import wire
from mintmast.decide import Controller
from mintmast.interface import SessionOpen, SessionRequest, Started


def _read(source: BinaryIO, size: int) -> bytes:
    """Read exactly `size` bytes, or fewer at the end of the input."""
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with one reply until the input ends."""
    decoder = wire.Decoder()
    controllers: dict[int, Controller] = {}
    header_size = wire.BATCH_HEADER.size
    while header := _read(source, header_size):
        if len(header) < header_size:
            raise wire.WireError("input ended within a frame header")
        length, now = wire.BATCH_HEADER.unpack(header)
        if length < header_size:
            raise wire.WireError(f"frame length {length} is less than the frame header")
        body = _read(source, length - header_size)
        if len(body) < length - header_size:
            raise wire.WireError("input ended within a frame")
        records: list[bytes] = []
        for instance, event in decoder.events(body):
            if isinstance(event, wire.Teardown):
                controllers.pop(instance, None)
                continue
            if isinstance(event, wire.Spawn):
                controllers[instance] = Controller(event.settings, event.seed)
                event = Started()
            controller = controllers.get(instance)
            if controller is None:
                raise wire.WireError(f"event for instance {instance}, which is not running")
            if event is None:
                continue
            if isinstance(event, SessionRequest | SessionOpen):
                if event.service >= len(controller.settings.classes):
                    raise wire.WireError(
                        f"request {event.request} names class {event.service}, which the settings do not have"
                    )
            for action in controller.handle(now, event):
                records.append(wire.encode_action(instance, action))
        sink.write(wire.encode_reply(records))
        sink.flush()


def main() -> int:
    """Run the adapter; report invalid input in one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
