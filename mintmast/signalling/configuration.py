"""Schemas of the platform's configuration file and host list."""

from __future__ import annotations

import errno
from typing import Any

import msgspec

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration is invalid or unreadable; the message is one line.

    `is_retryable` is set if the file could not be read for lack of file descriptors: a retry may succeed.
    """

    is_retryable = False


class _Limits(msgspec.Struct):
    sockets: int
    memory_mb: float = 32


class _Known(msgspec.Struct, frozen=True):
    seq: int = 0
    results: tuple[dict[str, Any], ...] = ()


class Config(msgspec.Struct):
    """The configuration file that the platform writes."""

    name: str
    listen: str
    seed: str
    limits: _Limits
    changelog: str
    settings: msgspec.Raw
    known: _Known = _Known()


class _Named(msgspec.Struct):
    name: str


class _Caps(msgspec.Struct, frozen=True, rename="camel"):
    connect_timeout: int = 250_000
    idle_close: int = 30_000_000


class AdapterSettings(msgspec.Struct):
    """The part of the settings that this adapter uses: names, and transport timeouts in µs."""

    services: list[_Named]
    accounts: list[_Named] = []
    azs: list[str] = []
    shapes: list[str] = []
    caps: _Caps = _Caps()


class HostEntry(msgspec.Struct):
    """One host of the list; `started_ms` is Unix time, and 0 if the start is not known."""

    id: str
    addr: str
    state: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


class FleetUpdate(msgspec.Struct):
    """A full host list, or the entries that changed."""

    version: int
    servers: list[HostEntry]
    full: bool = False


def read_config(path: str) -> Config:
    """Read and validate the configuration file. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            config = msgspec.json.decode(file.read(), type=Config)
        int(config.seed, 16)
        parse_address(config.listen)
        parse_address(config.changelog)
    except OSError as error:
        fault = ConfigError(f"{path}: {error.strerror}")
        fault.is_retryable = error.errno in (errno.EMFILE, errno.ENFILE)
        raise fault from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return config


def parse_address(text: str) -> Address:
    """Parse an address such as `10.0.0.4:5060` into host and port. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form HOST:PORT")
    return host.strip("[]"), int(port)
