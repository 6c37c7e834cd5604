"""What a viewer has sent and was not processed yet; while there is any, no more is read from the network.

So a viewer that sends faster than its messages are processed is slowed down by its own connection.
"""

from __future__ import annotations

from mintmast.loop import Stream
from mintmast.signalling.messages import Message, MessageReader

# bytes of one read; as much is buffered for each viewer that sends faster than its messages are processed
READ_SIZE_BYTES = 1 << 13


class ReceiveBuffer:
    """The received bytes of one connection, and whether the network may have more."""

    def __init__(self) -> None:
        self.stream: Stream | None = None  # while the connection is open
        self.has_unprocessed = False  # there may be a whole message
        self._reader = MessageReader()
        self._may_have_unread = self._is_paused = False

    def __len__(self) -> int:
        """Return the number of bytes that are not processed."""
        return len(self._reader)

    @property
    def is_broken(self) -> bool:
        """Return whether the bytes cannot be split into messages."""
        return self._reader.is_broken

    @property
    def is_behind(self) -> bool:
        """Return whether not all that the viewer has sent is processed, such as a cancel or its close."""
        return self.has_unprocessed or (self._may_have_unread and self._has_unread_in_network())

    @property
    def has_unread(self) -> bool:
        """Return whether anything is not processed or not read, apart from a message that is not complete."""
        return self.has_unprocessed or self._has_unread_in_network()

    def _has_unread_in_network(self) -> bool:
        return self.stream is not None and self.stream.has_unread()

    def append(self, data: bytes) -> None:
        """Add the bytes of one read."""
        self._may_have_unread = len(data) >= READ_SIZE_BYTES
        self._reader.append(data)
        self.has_unprocessed = True

    def next_message(self) -> Message | None:
        """Return the next message, or None if there is no whole one; then nothing is unprocessed any more."""
        message = self._reader.next_message()
        self.has_unprocessed = message is not None and len(self._reader) > 0
        return message

    def pause_reading(self) -> None:
        """Read no more until `resume_reading`."""
        if self.stream is not None:
            self._may_have_unread = self._is_paused = True
            self.stream.pause()

    def resume_reading(self) -> None:
        """Read on if reading is paused."""
        if self._is_paused and self.stream is not None:
            self._is_paused = False
            self.stream.resume()

    def drop(self) -> None:
        """Drop what is not processed."""
        self.has_unprocessed = False
        self._reader.clear()
