"""The configuration and the list as the platform writes them, read against their forms."""

from __future__ import annotations

import errno
from typing import Any

import msgspec

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; one line. `again`: nothing is wrong with it, it could not be read."""

    is_retryable = False


class _Limits(msgspec.Struct):
    sockets: int
    memory_mb: float = 32


class _Known(msgspec.Struct, frozen=True):
    seq: int = 0
    results: tuple[dict[str, Any], ...] = ()


class Config(msgspec.Struct):
    """The configuration as the platform writes it."""

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
    """What the module does not need of the settings: names and transport."""

    services: list[_Named]
    accounts: list[_Named] = []
    azs: list[str] = []
    shapes: list[str] = []
    caps: _Caps = _Caps()


class HostEntry(msgspec.Struct):
    """One host of the list."""

    id: str
    addr: str
    state: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


class FleetUpdate(msgspec.Struct):
    """The list, or what has changed of it."""

    version: int
    servers: list[HostEntry]
    full: bool = False


def read_config(path: str) -> Config:
    """Read the configuration. Raises ConfigError."""
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
    """Give host and port of `10.0.0.4:5060`. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address and a port")
    return host.strip("[]"), int(port)
