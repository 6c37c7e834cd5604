"""A stand-in of Eureka's registry: reads, deltas, registration and heartbeats, with faults by attribute."""

from __future__ import annotations

import gzip
import json
from typing import Any

from lxml import etree

from mintmast.decisions.hosts.registry import Instance, compute_hashcode
from mintmast.http.server import Exchange, HttpServer, ServerLimits
from mintmast.loop import Loop

# changes that a delta holds: the last so many
RECENT = 200


class RegistryStandIn:
    """One registry node. `rows` are instances as the API has them, by id."""

    def __init__(self, loop: Loop, host: str, port: int, app: str = "MEDIA", record: Any = None) -> None:
        self.loop, self.app = loop, app
        self.record = record or (lambda what, **fields: None)
        self.rows: dict[str, dict[str, Any]] = {}
        self.recent: list[tuple[str, dict[str, Any]]] = []
        self.gateways: dict[str, dict[str, Any]] = {}
        self.form = "json"  # or xml
        self.packed = False
        # Faults
        self.hang = self.cut = self.wrong_hash = self.wrong_types = False
        self.errors = 0  # status for every call, 0 for none
        self.delay = 0  # µs from a call to the begin of its answer
        self.half = 1.0  # part of its instances that it tells
        self.asked: dict[str, int] = {"full": 0, "delta": 0}
        self.server = HttpServer(loop, host, port, self._handle, ServerLimits(idle_time=60_000_000))
        self.port = self.server.port

    def put(self, address: str, status: str = "UP", up_ms: int = 0, **metadata: Any) -> None:
        """Add an instance or change it."""
        host, _, port = address.rpartition(":")
        row = {
            "instanceId": address, "hostName": host, "ipAddr": host, "app": self.app, "status": status,
            "overriddenStatus": "UNKNOWN", "port": {"$": int(port), "@enabled": "true"},
            "metadata": {name: str(value) for name, value in metadata.items()},
            "leaseInfo": {"serviceUpTimestamp": up_ms},
        }  # fmt: skip
        action = "MODIFIED" if address in self.rows else "ADDED"
        self.rows[address] = row
        self.recent = [*self.recent[-RECENT:], (action, row)]

    def drop(self, address: str) -> None:
        """Remove an instance."""
        self.recent = [*self.recent[-RECENT:], ("DELETED", self.rows.pop(address))]

    def _handle(self, exchange: Exchange) -> None:
        if self.delay:
            self.loop.call_at(self.loop.now() + self.delay, self._answer, exchange)
        else:
            self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        if self.hang:
            return
        if self.errors:
            exchange.respond_problem(self.errors, "out of order")
            return
        path = exchange.path.removeprefix("/eureka")
        if path == "/apps" and exchange.method == "GET":
            self.asked["full"] += 1
            rows = list(self.rows.values())
            self._tell(exchange, rows[: round(len(rows) * self.half)])
        elif path == "/apps/delta" and exchange.method == "GET":
            self.asked["delta"] += 1
            self._tell(exchange, [{**row, "actionType": action} for action, row in self.recent])
        elif path.startswith("/apps/"):
            self._gateway(exchange, path.split("/")[3:])
        else:
            exchange.respond_problem(404, "no such path")

    def _gateway(self, exchange: Exchange, name: list[str]) -> None:
        if exchange.method == "POST" and not name:
            row = json.loads(exchange.body)["instance"]
            self.gateways[row["instanceId"]] = row
            exchange.respond(204)
        elif name and exchange.method == "PUT":
            exchange.respond(200 if name[0] in self.gateways else 404)
        elif name and exchange.method == "DELETE":
            exchange.respond(200 if self.gateways.pop(name[0], None) else 404)
        else:
            exchange.respond_problem(405, "no such method")

    def _hash(self) -> str:
        if self.wrong_hash:
            return "UP_999_"
        rows = list(self.rows.values())[: round(len(self.rows) * self.half)]
        return compute_hashcode(Instance(self.app, r["instanceId"], "", r["status"]) for r in rows)

    def _tell(self, exchange: Exchange, rows: list[dict[str, Any]]) -> None:
        if self.wrong_types:
            rows = [{**row, "port": "many", "metadata": [1]} for row in rows] + [None]
        if self.form == "xml":
            body, kind = self._xml(rows), "application/xml"
        else:
            one = rows[0] if len(rows) == 1 else rows  # as some versions write one element
            apps = [{"name": self.app, "instance": one}]
            told = {"versions__delta": "1", "apps__hashcode": self._hash(), "application": apps}
            body, kind = json.dumps({"applications": told}).encode(), "application/json"
        headers = [("Content-Type", kind)]
        if self.packed:
            body = gzip.compress(body, mtime=0)
            headers.append(("Content-Encoding", "gzip"))
        if self.cut:
            exchange.start_stream(200, headers)
            exchange.send_chunk(body[: len(body) // 2])
            exchange.abort()
            return
        exchange.respond(200, headers, body)

    def _xml(self, rows: list[dict[str, Any]]) -> bytes:
        root = etree.Element("applications")
        etree.SubElement(root, "versions__delta").text = "1"
        etree.SubElement(root, "apps__hashcode").text = self._hash()
        app = etree.SubElement(root, "application")
        etree.SubElement(app, "name").text = self.app
        for row in rows:
            node = etree.SubElement(app, "instance")
            for name, value in row.items():
                child = etree.SubElement(node, name)
                if name == "port":
                    child.text = str(value["$"])
                elif isinstance(value, dict):
                    for key, each in value.items():
                        etree.SubElement(child, key).text = str(each)
                else:
                    child.text = str(value)
        return etree.tostring(root)
