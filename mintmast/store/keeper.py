"""The process that writes the file of the shared settings: `python -I -S keeper.py FD PATH`.

The gateway's loop must never wait for a disk, and a flush may take seconds; so this process does. It needs
the standard library alone, and some 10 MB. One byte `+` says that it has the file to itself, or `-` and text
why not; then come writes on the socket FD (four bytes of length, the file's bytes), each answered `+` or `-`.

Danger: the process of a killed gateway may still write after the next life has read the file, and put an
older revision over a later one. So it holds a lock beside the file, and the next life reads once it has that.
"""

from __future__ import annotations

import fcntl
import os
import signal
import socket
import sys


def save(path: str, data: bytes) -> None:
    """Write the file so that the old one or the new one is there, whenever power goes. Raises OSError."""
    beside = path + ".new"
    handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)  # the new name itself must be on disk
    finally:
        os.close(folder)


def _read(sock: socket.socket, size: int) -> bytes | None:
    """Give so many bytes; None where the gateway is gone before the last of them."""
    data = bytearray()
    while len(data) < size:
        try:
            more = sock.recv(min(size - len(data), 1 << 18))
        except OSError:
            return None
        if not more:
            return None
        data += more
    return bytes(data)


def main(fd: int, path: str) -> int:
    """Take the lock and write until the gateway is gone."""
    for each in (signal.SIGINT, signal.SIGTERM):  # the gateway ends first, and what it asked is still written
        signal.signal(each, signal.SIG_IGN)
    sock = socket.socket(fileno=fd)
    try:
        lock = os.open(path + ".lock", os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(lock, fcntl.LOCK_EX)
    except OSError as error:
        sock.sendall(f"-{error}".encode())
        return 2
    try:
        sock.sendall(b"+")
        while (head := _read(sock, 4)) is not None:
            data = _read(sock, int.from_bytes(head))
            if data is None:
                break
            try:
                save(path, data)
                sock.sendall(b"+")
            except OSError:
                sock.sendall(b"-")
    except OSError:  # the gateway was killed
        pass
    return 0


if __name__ == "__main__":
    os._exit(main(int(sys.argv[1]), sys.argv[2]))
