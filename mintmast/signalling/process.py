"""The process of a gateway for the platform: configuration, signals and log; `mintmast node` runs it."""

from __future__ import annotations

import os
import resource
import signal
import sys
import time

import msgspec

from mintmast import wire
from mintmast.loop.real import SelectorLoop, tune_garbage_collector
from mintmast.signalling.configuration import Config, ConfigError, read_config
from mintmast.signalling.node import Node
from mintmast.signalling.set_up_parser import US_PER_MS
from mintmast.telemetry.lines import MAX_LINES_PER_SECOND, make_log_function

# µs until a reload is retried that lacked a file descriptor
RELOAD_RETRY_US = 100_000
# log events of a start and a shutdown; the limit on lines must not drop them
_LIFECYCLE_EVENTS = frozenset({"serving", "stopping", "draining", "closing", "stopped"})


def run(path: str) -> int:
    """Run until the shutdown after SIGTERM is complete. Return the exit code: 2 if the start fails."""
    log = make_log_function(
        sys.stderr,
        time.time,
        MAX_LINES_PER_SECOND,
        always=_LIFECYCLE_EVENTS,
        gateway=os.environ.get("NODE_NAME", ""),
    )
    loop = SelectorLoop(lambda text: log("error", text=text))

    def reload() -> None:
        try:
            node.reload(read_config(path))
        except ConfigError as error:
            log("reload", refused=str(error))
            if error.is_retryable:
                loop.call_at(loop.now() + RELOAD_RETRY_US, reload)

    # installed before the configuration is read, as either signal may arrive meanwhile
    loop.on_signal(reload, signal.SIGHUP)
    loop.on_signal(lambda: node.stop(), signal.SIGTERM, signal.SIGINT)
    try:
        node = Node(loop, _read_limited_config(path), log)
    except (ConfigError, wire.WireError, msgspec.MsgspecError, OSError) as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 2

    # a stalled process answers late, and no other log line would show afterwards that it stalled, whether the
    # machine or the process itself was the cause
    loop.on_stall = lambda duration: log("event loop stalled", ms=duration / US_PER_MS)
    node.on_stopped = loop.stop
    tune_garbage_collector()
    log("serving", hosts=node.listed_hosts, seq=node.changelog.seq)
    loop.run()
    log(
        "stopped",
        longest_turn_ms=loop.longest_turn / US_PER_MS,
        turns=loop.turns,
        **node.calls.count_by_state(),
    )
    return 0


def _read_limited_config(path: str) -> Config:
    """Read the configuration, with no more sockets than the system allows descriptors. Raises ConfigError."""
    config = read_config(path)
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptor_limit != resource.RLIM_INFINITY:
        config.limits.sockets = min(config.limits.sockets, descriptor_limit)
    return config
