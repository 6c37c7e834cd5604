"""The stage of a drill on loopback: gateways as processes of their own, with links between them."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.lab.hostmodel import HostModel
from mintmast.lab.links import Links
from mintmast.lab.ports import Ports, own_address
from mintmast.lab.stage import SECRET, Stage
from mintmast.loop.memory import PathConditions
from mintmast.loop.real import SelectorLoop

# s; a gateway's process must serve by then, else the stage is no stage
START_TIME = 30


class LoopbackStage(Stage):
    """Gateways as processes of their own; hosts and viewers on one loop, all on loopback sockets."""

    slack = 60_000

    def __init__(
        self, seed: int, settings: dict[str, Any], model: HostModel, mutate: str | None = None
    ) -> None:
        self.loop = SelectorLoop(lambda text: self.record("error", text=text))
        super().__init__(seed, settings, model, mutate)
        self.client = HttpClient(self.loop, ClientLimits(connect_time=1_000_000))
        self.address = own_address()
        self._port = Ports(self.address)
        self.links: Links | None = None
        self._processes: dict[int, subprocess.Popen] = {}
        self._replaced: dict[str, subprocess.Popen] = {}  # by machine
        self._served: dict[int, int] = {}  # how often a gateway had begun to serve at its last death

    def now(self) -> int:
        """Give the loop's clock."""
        return self.loop.now()

    def wall(self) -> float:
        """Give the machine's wall clock."""
        return self.loop.wall()

    def place(self, name: str, port: int) -> tuple[Any, str, int]:
        """Give the one loop and a port kept over restarts."""
        return self.loop, self.address, self._port(name)

    def place_name(self, number: int) -> str:
        """Give the drill's address."""
        return self.address

    def peer_address(self, number: int, reader: int) -> str:
        """Give a port of the drill's address, or of the link between the two."""
        if self.links is not None and number != reader:
            return self.links.place(reader, number)
        return f"{self.address}:{self._port(f'gw{number}-peers')}"

    def lay_links(self) -> None:
        """Put a link between every ordered pair of gateways; before any is started."""
        self.links = Links(self.loop, self.address, self.settings["instances"], self._port, self.seed)

    def way(self, source: int, target: int, **more: Any) -> None:
        """Set what befalls what goes from one gateway to another; without `more` all is well."""
        self.links.ways[source, target] = way = PathConditions(**more)
        self.told_way(source, target, way)

    def reset(self, one: int, other: int) -> None:
        """Reset all connections between two gateways."""
        self.links.break_all(one, other)

    def stop_gateway(self, number: int) -> None:
        """Let a gateway's process stand still."""
        self.record("gateway_stopped", gateway=f"gw{number}")
        self._processes[number].send_signal(signal.SIGSTOP)

    def continue_gateway(self, number: int) -> None:
        """Let it go on."""
        self._processes[number].send_signal(signal.SIGCONT)
        self.record("gateway_went_on", gateway=f"gw{number}")

    def vanish_gateway(self, number: int) -> None:
        """Take a gateway's machine away: it says nothing, not even that a port is closed."""
        self.links.vanish(number)
        self.kill_gateway(number)

    def look(self, number: int, told: Callable[[dict[str, Any]], None]) -> None:
        """Ask a gateway what it believes of the others; nothing is told where it does not answer."""

        def answered(reply: Reply | CallFailure) -> None:
            if isinstance(reply, Reply) and reply.status == 200:
                told(json.loads(reply.body))

        admin = self.admin_place(number)
        headers = [("Authorization", f"Bearer {SECRET}")]
        self.client.call(admin, "GET", "/v1/members", answered, headers, b"", self.now() + 400_000)

    def admin_place(self, number: int) -> tuple[str, int]:
        """Give a port of the drill's address."""
        return self.address, self._port(f"{self.machine(number)}-admin")

    def start_gateway(self, number: int, files: bool = True, wall_shift: float = 0.0) -> None:
        """Start a gateway's process, with its files or without, its wall clock wrong by so many seconds."""
        folder = Path(self.folder.name)
        name = self.machine(number)
        listen = {"host": self.address, "port": self._port(name)}
        saved, log = str(folder / f"{name}.list"), str(folder / f"{name}.log")
        more: dict[str, Any] = {"testing": {"wall_shift_s": wall_shift}}
        if self.stores:
            more["store"] = {"path": str(folder / f"{name}.store")}
        if not files:
            for each in [saved, *map(str, folder.glob(f"{name}.store*"))]:
                Path(each).unlink(missing_ok=True)
        if self.links is not None:
            more["admin"] = {"host": self.address, "port": self._port(f"{name}-admin"), "token": SECRET}
        settings = self.gateway_settings(
            number, listen=listen, saved_list=saved, telemetry={"log": log}, **more
        )
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "mintmast.lab.mutant", self.mutate or "none", str(path)]
        if self.mutate is None:
            command = [sys.executable, "-m", "mintmast", "serve", str(path)]
        self._processes[number] = process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self.record("gateway_started", gateway=f"gw{number}")
        if self.links is not None:
            here = number not in self._moved  # one that moved is reached without links
            self.links.listen_when_there(number, lambda: here and self._processes[number] is process)

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
        if self.links is not None:
            self.links.listen(number, self.links.vanished(number))
        self._processes[number].send_signal(signal.SIGKILL)
        self._processes[number].wait()
        self._served[number] = self._log(number).count('"serving"')  # it may have died before it served

    def move_gateway(self, number: int, overlap: float) -> None:
        """Start a gateway elsewhere, and kill the process before so many seconds later."""
        self._replaced[self.machine(number)] = self._processes[number]
        super().move_gateway(number, overlap)

    def replaced(self, number: int, old: str) -> None:
        """Kill the process of before; its machine refuses connections from then on."""
        self.record("gateway_killed", gateway=f"gw{number}")
        self.links.listen(number, False)
        self._replaced[old].send_signal(signal.SIGKILL)
        self._replaced[old].wait()
        self.record("gateway_started", gateway=f"gw{number}")

    def own_place(self, number: int) -> str:
        """Give the new port of the drill's address."""
        return f"{self.address}:{self._port(f'{self.machine(number)}-peers')}"

    def _log(self, number: int) -> str:
        log = Path(self.folder.name, f"{self.machine(number)}.log")
        return log.read_text("utf-8") if log.exists() else ""

    def votes(self, number: int) -> bool:
        """Tell whether a gateway votes as a witness: its log says so since it last began to serve."""
        text = self._log(number)
        begun = text.count('"serving"') > self._served.get(number, 0)  # up again after the last death
        return begun and text.rfind("witness_votes") > text.rfind('"serving"')

    def gateway_url(self, number: int) -> str:
        """Give where a gateway serves."""
        return f"http://{self.address}:{self._port(self.machine(number))}"

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
        if self.links is not None:
            self.links.close()
        for process in (*self._processes.values(), *self._replaced.values()):
            process.kill()
            process.wait()
        self.folder.cleanup()
        self.loop.close()
