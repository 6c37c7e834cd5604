"""Ports of a drill on loopback: each name has one of its own for good, over TCP and UDP alike."""

from __future__ import annotations

import os
import socket

# tries for a number that is free on both; each is taken only if the machine has hardly a port left
TRIES = 1_000


def own_address() -> str:
    """Give an address of this process's own within 127.0.0.0/8.

    A port given back for a moment, as its host is dead, must not be taken by another drill's gateway, which
    would then serve the wrong viewers; nor is a connection's own end ever at this address.
    """
    pid = os.getpid()
    return f"127.{1 + pid % 254}.{pid // 254 % 256}.1"


class Ports:
    """Ports by name on one address. The system gives a number again once it is closed, so they are kept."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._given: dict[str, int] = {}
        self._taken: set[int] = set()

    def __call__(self, name: str) -> int:
        """Give a name's port: one that no other name has. Raises OSError where none is free."""
        if name not in self._given:
            self._given[name] = port = self._free()
            self._taken.add(port)
        return self._given[name]

    def _free(self) -> int:
        for _ in range(TRIES):
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind((self.address, 0))
                port = stream.getsockname()[1]
                if port in self._taken:
                    continue
                try:
                    datagrams.bind((self.address, port))
                except OSError:
                    continue
                return port
        raise OSError(f"no port is free on {self.address}")
