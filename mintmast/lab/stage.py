"""The stage of a drill: hosts, gateways and viewers, with all that is seen; in memory here."""

from __future__ import annotations

import json
import os
import random
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from typing import Any

import jwt

from mintmast.config import parse
from mintmast.decisions.hosts.registry import STATE_BY_STATUS
from mintmast.fronts.tokens import Keys, SessionTokens
from mintmast.gateway import Gateway
from mintmast.http.client import ClientLimits, HttpClient
from mintmast.lab.disk import FLUSH, Disk, MemoryStore
from mintmast.lab.hostmodel import HostModel, Rack
from mintmast.lab.mutant import mutated
from mintmast.lab.registry import RegistryStandIn
from mintmast.lab.standin import StandIn
from mintmast.loop.memory import PathConditions, World

SECRET = "c3RhZ2Utb25seS1zZWNyZXQtb2YtdGhpcnR5LXR3by1ieXRlcw"
ACCESS = {"kty": "oct", "kid": "viewers-1", "alg": "HS256", "k": SECRET}
SESSION = {"kty": "oct", "kid": "sessions-1", "alg": "HS256", "k": SECRET[::-1].replace("=", "A")}
HOST_PORT, GATEWAY_PORT, REGISTRY_PORT, PEER_PORT = 9000, 8080, 8761, 7946
ADMIN_PORT = 9101


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
        self.secrets = [SECRET]
        self.stores = False  # whether gateways keep records over their death
        self.flush = FLUSH
        self.shares = False  # whether gateways share settings
        self._moved: dict[int, str] = {}  # machines of gateways that are not where the settings say
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
            **self.peers(number),
            **more,
        }

    def peers(self, number: int) -> dict[str, Any]:
        """Give the settings by which a gateway knows the others; none where there is one gateway."""
        count = self.settings.get("instances", 1)
        if count < 2 or self.mutate == "no-claims":
            return {}
        addresses = [self.peer_address(each, number) for each in range(count)]
        members = [{"name": f"gw{n}", "address": each} for n, each in enumerate(addresses)]
        told: dict[str, Any] = {"members": members, "secrets": list(self.secrets)}
        if number in self._moved:
            told["advertise"] = self.own_place(number)
        if not self.shares:
            return {"peers": told}
        path = os.path.join(self.folder.name, f"{self.machine(number)}.shared")
        host, port = self.admin_place(number)
        admin = {"host": host, "port": port, "token": SECRET}
        return {"peers": told, "configuration": {"path": path, "publish": True}, "admin": admin}

    def admin_place(self, number: int) -> tuple[str, int]:
        """Give a gateway's administrative address."""
        raise NotImplementedError

    def machine(self, number: int) -> str:
        """Name the machine of a gateway: that of the settings, or where it has moved."""
        return self._moved.get(number, f"gw{number}")

    def restart_gateway(self, number: int, back: float, **more: Any) -> None:
        """Kill a gateway, and start it again after so many seconds; `more` is for the start."""
        self.kill_gateway(number)
        again = partial(self.start_gateway, number, **more)
        self.loop.call_at(self.now() + int(back * 1e6), again)

    def move_gateway(self, number: int, overlap: float) -> None:
        """Start a gateway elsewhere, and kill the process before so many seconds later."""
        old = self.machine(number)
        self._moved[number] = f"{old}x"
        self.start_gateway(number)
        self.loop.call_at(self.now() + int(overlap * 1e6), self.replaced, number, old)

    def replaced(self, number: int, old: str) -> None:
        """Kill the process on a gateway's machine of before."""
        raise NotImplementedError

    def own_place(self, number: int) -> str:
        """Give where a gateway that has moved listens for the others."""
        raise NotImplementedError

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
        state = STATE_BY_STATUS[status].name.lower()
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

    def peer_address(self, number: int, reader: int) -> str:
        """Give where a gateway listens for the others, as `reader` has it."""
        raise NotImplementedError

    def way(self, source: int, target: int, **more: Any) -> None:
        """Set what befalls what goes from one gateway to another; without `more` all is well."""
        raise NotImplementedError

    def told_way(self, source: int, target: int, way: PathConditions) -> None:
        """Keep what befalls a way in the record."""
        self.record("way", source=f"gw{source}", target=f"gw{target}", talks=way.is_usable)

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
        self._vanished: set[int] = set()
        self._disks: dict[int, Disk] = {}
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

    def peer_address(self, number: int, reader: int) -> str:
        """Give the gateway's node."""
        return f"gw{number}:{PEER_PORT}"

    def kill_host(self, number: int) -> None:
        """Kill a host's node with it."""
        super().kill_host(number)
        self.world.nodes[f"host{number}"].kill()

    def start_gateway(self, number: int, files: bool = True, wall_shift: float = 0.0) -> None:
        """Start a gateway, or start it anew, its wall clock wrong by so many seconds."""
        if number in self._vanished:
            self._vanished.discard(number)
            self.world.cut_paths = {pair for pair in self.world.cut_paths if f"gw{number}" not in pair}
        node = self.world.node(self.machine(number))
        node.skew = wall_shift
        self.record("gateway_started", gateway=f"gw{number}")
        listen = {"host": self.machine(number), "port": GATEWAY_PORT}
        config = parse(self.gateway_settings(number, listen=listen))
        say = self._say if os.environ.get("MINTMAST_DRILL_LOG") else lambda event, **fields: None
        store = None
        if self.stores:
            if not files:
                self._disks.pop(number, None)
            disk = self._disks.setdefault(number, Disk(f"{self.seed}/disk{number}"))
            store = MemoryStore(self.world, node, disk, int(node.wall() * 1000), self.flush)
        self.gateways[number] = Gateway(node, config, None, say, mutated(self.mutate), store)

    def _say(self, event: str, **fields: Any) -> None:
        print(json.dumps({"at": self.world.time, "event": event, **fields}), file=sys.stderr)

    def replaced(self, number: int, old: str) -> None:
        """Kill the node of before."""
        self.record("gateway_killed", gateway=f"gw{number}")
        self.world.nodes[old].kill()
        self.record("gateway_started", gateway=f"gw{number}")

    def admin_place(self, number: int) -> tuple[str, int]:
        """Give a port of the gateway's node."""
        return self.machine(number), ADMIN_PORT

    def own_place(self, number: int) -> str:
        """Give the new node."""
        return f"{self.machine(number)}:{PEER_PORT}"

    def kill_gateway(self, number: int) -> None:
        """Kill a gateway without warning."""
        self.record("gateway_killed", gateway=f"gw{number}")
        self.world.nodes[self.machine(number)].kill()

    def vanish_gateway(self, number: int) -> None:
        """Take a gateway's machine away: it says nothing, not even that a port is closed."""
        name = f"gw{number}"
        for other in self.world.nodes:
            if other != name:
                self.world.cut_paths |= {(name, other), (other, name)}
        self.kill_gateway(number)
        self._vanished.add(number)

    def lay_links(self) -> None:
        """Nothing: the world's nodes have ways between them."""

    def way(self, source: int, target: int, **more: Any) -> None:
        """Set what befalls what goes from one gateway to another; without `more` all is well."""
        self.world.path_conditions[f"gw{source}", f"gw{target}"] = way = PathConditions(**more)
        self.told_way(source, target, way)

    def reset(self, one: int, other: int) -> None:
        """Reset all connections between two gateways."""
        self.world.reset_connections(f"gw{one}", f"gw{other}")

    def stop_gateway(self, number: int) -> None:
        """Let a gateway's process stand still."""
        self.record("gateway_stopped", gateway=f"gw{number}")
        self.world.nodes[self.machine(number)].freeze()

    def continue_gateway(self, number: int) -> None:
        """Let it go on."""
        self.record("gateway_went_on", gateway=f"gw{number}")
        self.world.nodes[self.machine(number)].thaw()

    def look(self, number: int, told: Callable[[dict[str, Any]], None]) -> None:
        """Tell what a gateway believes of the others, if it runs."""
        node = self.world.nodes[self.machine(number)]
        if node.alive and node.frozen_calls is None:
            told(self.gateways[number].members())

    def votes(self, number: int) -> bool:
        """Tell whether a gateway votes as a witness."""
        alive = self.world.nodes[self.machine(number)].alive
        return alive and self.gateways[number].core.book.claims.witness_service.is_voting

    def gateway_url(self, number: int) -> str:
        """Give where a gateway serves."""
        return f"http://{self.machine(number)}:{GATEWAY_PORT}"

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
