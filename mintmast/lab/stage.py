"""The stage of a drill: hosts, gateways and viewers, in memory or on loopback, with all that is seen."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import jwt

from mintmast.config import parse
from mintmast.decisions.hosts.registry import STATES
from mintmast.decisions.outcomes import TABLE, Evidence, Row
from mintmast.fronts.tokens import Keys, SessionTokens
from mintmast.gateway import Gateway
from mintmast.http.client import ClientLimits, HttpClient
from mintmast.interface import Outcome
from mintmast.lab.hostmodel import HostModel, Rack
from mintmast.lab.registry import RegistryStandIn
from mintmast.lab.standin import StandIn
from mintmast.loop.memory import World
from mintmast.loop.real import SelectorLoop

_SECRET = "c3RhZ2Utb25seS1zZWNyZXQtb2YtdGhpcnR5LXR3by1ieXRlcw"
ACCESS = {"kty": "oct", "kid": "viewers-1", "alg": "HS256", "k": _SECRET}
SESSION = {"kty": "oct", "kid": "sessions-1", "alg": "HS256", "k": _SECRET[::-1].replace("=", "A")}
HOST_PORT, GATEWAY_PORT, REGISTRY_PORT, PEER_PORT = 9000, 8080, 8761, 7946
# s; a gateway's process must serve by then, else the stage is no stage
START_TIME = 30

MUTATIONS: dict[str, dict[Evidence, Row]] = {
    "resend-paid": {
        evidence: Row(Outcome.CONNECT_FAILED, True, "mutation: what may have run is called never run")
        for evidence in (Evidence.CUT, Evidence.CUT_REPLY, Evidence.SILENT)
    },
    "no-claims": {},  # gateways do not know each other
}


def mutated(name: str | None) -> dict | None:
    """Give the outcome table with a mutation in it."""
    return None if name is None else {**TABLE, **MUTATIONS[name]}


class Stage:
    """What is common to both networks. `settings` are a gateway's, without its own name and ports."""

    slack = 0

    def __init__(
        self, seed: int, settings: dict[str, Any], model: HostModel, mutate: str | None = None
    ) -> None:
        self.seed, self.settings, self.model, self.mutate = seed, settings, model, mutate
        self.rows: list[dict[str, Any]] = []
        self.folder = tempfile.TemporaryDirectory(prefix="mintmast-drill-")
        fleet = settings["fleet"]
        self.racks = [Rack(fleet.get("uplink_kb") or 1e12) for _ in range(fleet["racks"])]
        self.hosts: dict[int, StandIn] = {}
        self.lives: dict[int, int] = {}
        self.origin = 0
        self._draw = random.Random(f"{seed}/answers")

    def record(self, what: str, **fields: Any) -> None:
        """Keep what was seen."""
        self.rows.append({"at": self.now(), "what": what, **fields})

    def start_host(self, number: int, cold: bool = False) -> StandIn:
        """Start a host, or start it anew."""
        life = self.lives[number] = self.lives.get(number, 0) + 1
        tokens = SessionTokens(Keys([SESSION]), None, 30.0)
        loop, name, port = self.host_place(number)
        rack = self.racks[number % len(self.racks)]
        host = StandIn(loop, name, port, tokens, rack, self.model, self.record, f"{number}.{life}", cold)
        host.draw = self._draw.random
        self.hosts[number] = host
        if cold:
            self.record("host_cold", host=host.name, cold=self.model.cold)
        return host

    def kill_host(self, number: int) -> None:
        """Kill a host's process."""
        self.hosts[number].die()

    def token(self, subject: str, tenant: str, service: str, rung: int, key: str, life: int = 3600) -> str:
        """Give a viewer's access token."""
        claims = {
            "aud": "mintmast", "sub": subject, "tenant": tenant, "class": service, "rung": rung, "jti": key,
            "exp": int(self.wall()) + life,
        }  # fmt: skip
        return jwt.encode(claims, Keys([ACCESS]).keys["viewers-1"][0].key, "HS256", {"kid": "viewers-1"})

    def gateway_settings(self, number: int, **more: Any) -> dict[str, Any]:
        """Give the configuration of one gateway."""
        return {
            **self.settings,
            "gateway": f"gw{number}",
            "instance": number,
            "tokens": {"access": [ACCESS], "session": [SESSION]},
            "servers": []
            if "list" in self.settings
            else [self.listed(place) for place in sorted(self.hosts)],
            "seed": self.seed * 1000 + number,
            **self.peers(),
            **more,
        }

    def peers(self) -> dict[str, Any]:
        """Give the settings by which the gateways know each other; none where there is one gateway."""
        count = self.settings.get("instances", 1)
        if count < 2 or self.mutate == "no-claims":
            return {}
        addresses = [self.peer_address(number) for number in range(count)]
        members = [{"name": f"gw{n}", "address": each} for n, each in enumerate(addresses)]
        return {"peers": {"members": members, "secrets": [_SECRET]}}

    def start_registries(self, count: int) -> None:
        """Start registry nodes that know all hosts but the last two."""
        self.registries = []
        for number in range(count):
            loop, name, port = self.place(f"registry{number}", REGISTRY_PORT)
            self.registries.append(RegistryStandIn(loop, name, port))
        self.settings["list"] = {
            "every_ms": 250,
            "registry": {
                "addresses": [
                    f"http://{self.place_name(n)}:{r.port}/eureka" for n, r in enumerate(self.registries)
                ],
                "app": "MEDIA",
            },
        }

    def tell_registries(self, number: int, status: str = "UP", up_ms: int = 0) -> None:
        """Write a host's status to all registry nodes, and to the record."""
        for registry in self.registries:
            registry.put(self.hosts[number].name, status, up_ms, cell=number, zone=number % 2)
        state = STATES[status].name.lower()
        self.record("list_written", states={self.hosts[number].name: state})

    def listed(self, number: int, **more: Any) -> dict[str, Any]:
        """Give a host as a list has it."""
        return {"address": self.hosts[number].name, "cell": number, "zone": number % 2, **more}

    # What the networks differ in

    def now(self) -> int:
        """Give µs of the stage's clock."""
        raise NotImplementedError

    def wall(self) -> float:
        """Give seconds since 1970."""
        raise NotImplementedError

    def host_place(self, number: int) -> tuple[Any, str, int]:
        """Give loop, address and port of a host."""
        return self.place(f"host{number}", HOST_PORT)

    def place(self, name: str, port: int) -> tuple[Any, str, int]:
        """Give loop, address and port of a machine."""
        raise NotImplementedError

    def place_name(self, number: int) -> str:
        """Give the address of a registry node."""
        raise NotImplementedError

    def peer_address(self, number: int) -> str:
        """Give where a gateway listens for the others."""
        raise NotImplementedError

    def at(self, seconds: float, do: Callable[..., Any], *args: Any) -> None:
        """Call at a time after the stage's begin."""
        raise NotImplementedError


class MemoryStage(Stage):
    """Everything in one process on virtual time."""

    slack = 5_000

    def __init__(
        self, seed: int, settings: dict[str, Any], model: HostModel, mutate: str | None = None
    ) -> None:
        self.world = World(seed)
        super().__init__(seed, settings, model, mutate)
        self.viewers = self.world.node("viewers")
        self.client = HttpClient(self.viewers, ClientLimits(connect_time=1_000_000))
        self.gateways: dict[int, Gateway] = {}
        self.log: list[tuple[str, dict[str, Any]]] = []

    def now(self) -> int:
        """Give the world's time."""
        return self.world.time

    def wall(self) -> float:
        """Give the world's wall clock."""
        return self.viewers.wall()

    def place(self, name: str, port: int) -> tuple[Any, str, int]:
        """Give a fresh node."""
        return self.world.node(name), name, port

    def place_name(self, number: int) -> str:
        """Give a registry's node."""
        return f"registry{number}"

    def peer_address(self, number: int) -> str:
        """Give the gateway's node."""
        return f"gw{number}:{PEER_PORT}"

    def kill_host(self, number: int) -> None:
        """Kill a host's node with it."""
        super().kill_host(number)
        self.world.nodes[f"host{number}"].kill()

    def start_gateway(self, number: int) -> None:
        """Start a gateway, or start it anew."""
        node = self.world.node(f"gw{number}")
        self.record("gateway_started", gateway=f"gw{number}")
        listen = {"host": f"gw{number}", "port": GATEWAY_PORT}
        config = parse(self.gateway_settings(number, listen=listen))
        say = self._say if os.environ.get("MINTMAST_DRILL_LOG") else lambda event, **fields: None
        self.gateways[number] = Gateway(node, config, None, say, mutated(self.mutate))

    def _say(self, event: str, **fields: Any) -> None:
        print(json.dumps({"at": self.world.time, "event": event, **fields}), file=sys.stderr)

    def kill_gateway(self, number: int) -> None:
        """Kill a gateway without warning."""
        self.record("gateway_killed", gateway=f"gw{number}")
        self.world.nodes[f"gw{number}"].kill()

    def vanish_gateway(self, number: int) -> None:
        """Take a gateway's machine away: it says nothing, not even that a port is closed."""
        name = f"gw{number}"
        for other in self.world.nodes:
            if other != name:
                self.world.cuts |= {(name, other), (other, name)}
        self.kill_gateway(number)

    def cut(self, source: str, target: str, on: bool = True) -> None:
        """Cut one way between two machines, or mend it."""
        (self.world.cuts.add if on else self.world.cuts.discard)((source, target))

    def votes(self, number: int) -> bool:
        """Tell whether a gateway votes as a witness."""
        alive = self.world.nodes[f"gw{number}"].alive
        return alive and self.gateways[number].core.book.claims.voting

    def gateway_url(self, number: int) -> str:
        """Give where a gateway serves."""
        return f"http://gw{number}:{GATEWAY_PORT}"

    def at(self, seconds: float, do: Callable[..., Any], *args: Any) -> None:
        """Call at a time after the stage's begin."""
        self.world.at(self.origin + int(seconds * 1e6), do, *args)

    def begin(self) -> None:
        """Set the stage's begin to the present."""
        self.origin = self.world.time

    def run(self, seconds: float) -> None:
        """Let it play to that time after its begin."""
        self.world.run(self.origin + int(seconds * 1e6))

    @property
    def loop(self) -> Any:
        """Give the viewers' loop."""
        return self.viewers

    def close(self) -> None:
        """Remove the files."""
        self.folder.cleanup()


class LoopbackStage(Stage):
    """Gateways as processes of their own; hosts and viewers on one loop, all on loopback sockets."""

    slack = 60_000

    def __init__(
        self, seed: int, settings: dict[str, Any], model: HostModel, mutate: str | None = None
    ) -> None:
        self.loop = SelectorLoop(lambda text: self.record("error", text=text))
        super().__init__(seed, settings, model, mutate)
        self.client = HttpClient(self.loop, ClientLimits(connect_time=1_000_000))
        # an address of its own for each drill at work: a port that one has given back for a moment, while its
        # host is dead, must not be taken by another's gateway, which would then serve the wrong viewers
        pid = os.getpid()
        self.address = f"127.{1 + pid % 254}.{pid // 254 % 256}.1"
        self._ports: dict[str, int] = {}
        self._processes: dict[int, subprocess.Popen] = {}
        self._deaths: dict[int, int] = {}

    def now(self) -> int:
        """Give the loop's clock."""
        return self.loop.now()

    def wall(self) -> float:
        """Give the machine's wall clock."""
        return self.loop.wall()

    def _port(self, name: str) -> int:
        if name not in self._ports:
            with socket.socket() as probe:
                probe.bind((self.address, 0))
                self._ports[name] = probe.getsockname()[1]
        return self._ports[name]

    def place(self, name: str, port: int) -> tuple[Any, str, int]:
        """Give the one loop and a port kept over restarts."""
        return self.loop, self.address, self._port(name)

    def place_name(self, number: int) -> str:
        """Give the drill's address."""
        return self.address

    def peer_address(self, number: int) -> str:
        """Give a port of the drill's address."""
        return f"{self.address}:{self._port(f'gw{number}-peers')}"

    def start_gateway(self, number: int) -> None:
        """Start a gateway's process."""
        folder = Path(self.folder.name)
        listen = {"host": self.address, "port": self._port(f"gw{number}")}
        saved, log = str(folder / f"gw{number}.list"), str(folder / f"gw{number}.log")
        settings = self.gateway_settings(number, listen=listen, saved_list=saved, telemetry={"log": log})
        path = folder / f"gw{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "mintmast.lab.mutant", self.mutate or "none", str(path)]
        if self.mutate is None:
            command = [sys.executable, "-m", "mintmast", "serve", str(path)]
        self._processes[number] = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self.record("gateway_started", gateway=f"gw{number}")

    def wait_for_gateways(self) -> None:
        """Let the loop run until all gateways accept. Raises RuntimeError."""
        until = self.now() + START_TIME * 1_000_000
        for number in self._processes:
            while True:
                try:
                    socket.create_connection((self.address, self._port(f"gw{number}")), 0.2).close()
                    break
                except OSError:
                    if self.now() > until:
                        raise RuntimeError(f"gateway {number} does not serve") from None
                    self.loop.run(self.now() + 50_000)

    def kill_gateway(self, number: int) -> None:
        """Kill a gateway's process with SIGKILL."""
        self.record("gateway_killed", gateway=f"gw{number}")
        self._deaths[number] = self._deaths.get(number, 0) + 1
        self._processes[number].send_signal(signal.SIGKILL)
        self._processes[number].wait()

    def votes(self, number: int) -> bool:
        """Tell whether a gateway votes as a witness: its log says so since it last began to serve."""
        log = Path(self.folder.name, f"gw{number}.log")
        text = log.read_text("utf-8") if log.exists() else ""
        begun = text.count('"serving"') > self._deaths.get(number, 0)  # up again after each death
        return begun and text.rfind("witness_votes") > text.rfind('"serving"')

    def gateway_url(self, number: int) -> str:
        """Give where a gateway serves."""
        return f"http://{self.address}:{self._port(f'gw{number}')}"

    def at(self, seconds: float, do: Callable[..., Any], *args: Any) -> None:
        """Call at a time after the stage's begin."""
        self.loop.call_at(self.origin + int(seconds * 1e6), do, *args)

    def begin(self) -> None:
        """Wait for the gateways, then set the stage's begin."""
        self.wait_for_gateways()
        self.origin = self.now()

    def run(self, seconds: float) -> None:
        """Let it play to that time after its begin."""
        self.loop.run(self.origin + int(seconds * 1e6))

    def close(self) -> None:
        """End the processes and remove the files."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self.folder.cleanup()
        self.loop.close()
