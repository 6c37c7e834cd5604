"""Runs a gateway as a process on real sockets, for `mintmast serve`."""

from __future__ import annotations

import signal
import sys

from mintmast.config import ConfigError, load
from mintmast.fronts.tokens import TokenError
from mintmast.gateway import Gateway
from mintmast.loop.real import SelectorLoop, tune_garbage_collector
from mintmast.store import StoreError, StoreLine, open_store
from mintmast.telemetry.lines import make_log_function, open_log


def serve(path: str, table: dict | None = None) -> int:
    """Run until the shutdown after SIGTERM or SIGINT is complete.

    `table` replaces the outcome table in drills of mutants.
    """
    try:
        config = load(path)
        sink = open_log(config["telemetry"]["log"])
    except ConfigError as error:
        for line in error.errors:
            print(f"mintmast: {line}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mintmast: telemetry/log: {error}", file=sys.stderr)
        return 2
    loop = SelectorLoop()
    loop.wall_shift = config["testing"]["wall_shift_s"]
    store = None
    try:
        if "store" in config.raw:
            path = config["store"]["path"]
            store = StoreLine(loop, open_store(path, config["gateway"], int(loop.wall() * 1000)))
    except StoreError as error:
        print(f"mintmast: store: {error}", file=sys.stderr)
        return 2
    say = make_log_function(sink, loop.wall, gateway=config["gateway"])
    loop._on_error = lambda text: say("error", text=text)
    try:
        gateway = Gateway(loop, config, None, say, table, store)
    except (ConfigError, TokenError, OSError) as error:
        print(f"mintmast: {error}", file=sys.stderr)
        return 2
    loop.on_turn = lambda took: gateway.metrics.turn_time.observe(took / 1e6)
    loop.on_signal(lambda: gateway.drain(loop.stop), signal.SIGTERM, signal.SIGINT)
    tune_garbage_collector()
    loop.run()
    gateway.close()
    say("stopped", longest_turn_ms=loop.longest_turn / 1000, turns=loop.turns)
    return 0
