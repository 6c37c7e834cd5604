"""Test harness: media hosts, a change log, a gateway and viewers on an in-memory network."""

import msgspec

from mintmast.loop.base import Handler
from mintmast.loop.memory import World
from mintmast.signalling import messages
from mintmast.signalling.messages import Cause, MessageKind, MessageReader, Param, encode, encode_release
from mintmast.signalling.node import Config, Node

MS = 1000
SECOND = 1_000_000
SETTINGS = {
    "accounts": [{"name": "acme", "quotaPerS": 50.0, "share": 1.0}],
    "azs": ["east", "west"],
    "caps": {"cancel": True, "connectTimeout": 250_000, "idleClose": 30_000_000, "maxAttempts": 3}
    | {"maxRetryAfter": 500_000, "retryAfter": True},
    "familyInfo": {"cells": 4, "kindSlots": [30], "ladderWorth": [0.25, 0.5, 1.0], "racks": 1}
    | {"levelKb": [200.0, 400.0, 900.0], "linksKb": 40_000.0, "rackLinkKb": 40_000.0, "see": 500_000},
    "invariants": {"cold": 0, "coldFrom": 1, "fall": 1_500_000, "overloadFactor": 2.5},
    "me": 0,
    "nInstances": 1,
    "report": {"fields": ["x0"], "via": "piggyback"},
    "services": [
        {"name": "paid", "idempotency": "single_shot", "aim": SECOND, "hardLimit": 3 * SECOND, "worth": 3},
        {"name": "free", "idempotency": "free", "aim": SECOND, "hardLimit": 5 * SECOND, "worth": 1},
    ],
    "shapes": ["std"],
}


class Peer(Handler):
    """One end of a connection; records the messages it receives and passes each to `on_message`."""

    def __init__(self, on_message=None):
        self.on_message, self.stream, self.closed_by = on_message, None, None
        self.messages, self.reader = [], MessageReader()

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        for message in self.reader.feed(data):
            self.messages.append(message)
            if self.on_message:
                self.on_message(self, message)

    def closed(self, reason):
        self.closed_by = reason

    def messages_for(self, call, kind=None):
        return [m for m in self.messages if m.call_id == call and kind in (None, m.kind)]


class Host:
    """A media host; `script` handles each set-up, `connections` lists its connections."""

    def __init__(self, platform, name, script=None):
        self.platform, self.name, self.script = platform, name, script or play
        self.connections, self.set_ups, self.releases = [], [], []
        self.connection_of, self.unconfirmed_ends = {}, []
        self.listen()

    def listen(self):
        self.node = self.platform.world.node(self.name)
        self.node.listen(self.name, 5060, self.accept)

    def accept(self):
        peer = Peer(self.handle_message)
        self.node.run_callback(self.handle_accepted, peer)  # deferred while the host is frozen
        return peer

    def handle_accepted(self, peer):
        self.connections.append(peer)
        ends, self.unconfirmed_ends = self.unconfirmed_ends, []
        for call, cause in ends:
            self.platform.world.at(self.platform.now() + 1000, self.send_release, peer, call, cause)

    def send_release(self, connection, call, cause):
        connection.stream.write(encode_release(call, cause))

    def end_session(self, call, cause=Cause.NORMAL_CLEARING):
        """Release a session on the connection of its set-up, and again on the next connection that opens."""
        self.unconfirmed_ends.append((call, cause))
        own = self.connection_of[call]
        connections = [own] if own.closed_by is None else self.open_connections()[-1:]
        for connection in connections:
            self.send_release(connection, call, cause)

    def handle_message(self, end, message):
        if message.kind == MessageKind.HEALTH_CHECK:
            end.stream.write(messages.encode_health_check_reply(message.call_id, True))
        elif message.kind == MessageKind.SET_UP:
            self.set_ups.append((self.platform.now(), message))
            self.connection_of[message.call_id] = end
            self.script(self, end, message)
        elif message.kind == MessageKind.RELEASE:
            self.releases.append(message.call_id)

    def open_connections(self):
        return [end for end in self.connections if end.closed_by is None]


def play(host, end, message):
    end.stream.write(
        encode(MessageKind.ANSWER, message.call_id, [(Param.DESCRIPTION, b"from " + host.name.encode())])
    )


def refuse(cause):
    return lambda host, end, message: end.stream.write(encode_release(message.call_id, cause))


def silent(host, end, message):
    pass


class ChangeLogServer(Handler):
    """The change log server; records the `Last-Event-ID` of each request.

    `head_delay` and `body_delay` are in µs from a request to the headers and to the `events` of its answer.
    """

    def __init__(self, platform, name="log"):
        self.platform, self.requested_ids, self.streams, self.events = platform, [], [], []
        self.is_silent, self.head_delay, self.body_delay = False, 0, 0
        platform.world.node(name).listen(name, 2379, lambda: _ChangeLogConnection(self))

    def send(self, data):
        for stream in self.streams:
            stream.write(data)


class _ChangeLogConnection(Handler):
    def __init__(self, log):
        self.log, self.stream, self.is_closed = log, None, False

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        lines = data.decode().split("\r\n")
        self.log.requested_ids.append(next(line[15:] for line in lines if line.startswith("Last-Event-ID: ")))
        world, now = self.log.platform.world, self.log.platform.now()
        world.at(now + self.log.head_delay, self.send_head)
        world.at(now + max(self.log.head_delay, self.log.body_delay), self.send_body)

    def send_head(self):
        if not self.is_closed:
            self.stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.log.streams.append(self.stream)

    def send_body(self):
        for event in self.log.events if not self.is_closed else ():
            self.stream.write(event)
        self.comment()

    def comment(self):
        if not self.log.is_silent:
            self.stream.write(b": here\n\n")
        self.log.platform.world.at(self.log.platform.now() + SECOND, self.comment)

    def closed(self, reason):
        self.is_closed = True
        if self.stream in self.log.streams:
            self.log.streams.remove(self.stream)


def host_entry(name, state="Ready", addr=None, cell=0, started=0):
    return {"id": f"id-{name}", "addr": addr or f"{name}:5060", "zone": "east", "kind": "std"} | {
        "cell": cell,
        "state": state,
        "weight": 1,
        "started_ms": started,
    }


def list_event(seq, *entries, full=False):
    return {"seq": seq, "fleet": {"version": seq, "full": full, "servers": list(entries)}}


class Platform:
    """A gateway `gw` with hosts by name and viewers."""

    def __init__(self, *names, seed=1, script=None, sockets=256, settings=SETTINGS):
        self.world = World(seed)
        self.hosts = {name: Host(self, name, script) for name in names}
        self.log = ChangeLogServer(self)
        known = {"seq": 1, "results": [list_event(1, *map(host_entry, names), full=True)]}
        self.config = msgspec.convert(
            {"name": "n0", "listen": "gw:5060", "seed": "1f", "limits": {"sockets": sockets}}
            | {"changelog": "log:2379", "known": known}
            | {"settings": msgspec.Raw(msgspec.json.encode(settings))},
            Config,
        )
        self.log_lines = []
        self.gateway = self.world.node("gw")
        self.front = self.world.node("front")
        self.node = Node(
            self.gateway, self.config, lambda event, **fields: self.log_lines.append((event, fields))
        )
        self.count = 0
        self.run(0.01)

    def now(self):
        return self.world.time

    def run(self, seconds):
        self.world.run(self.world.time + int(seconds * SECOND))

    def viewer(self):
        end = Peer()
        self.front.connect("gw", 5060, end)
        self.run(0.005)
        return end

    def send_set_up(self, end, service="free", ms=3000, **change):
        """Send a set-up and return its call reference."""
        self.count += 1
        call = self.count.to_bytes(8)
        end.stream.write(set_up(call, service, ms, **change))
        return call


def set_up(call, service="free", ms=3000, placement="home:0;copies:4;top:2", **change):
    params = {
        Param.CLASS: service,
        Param.TIMEOUT: str(ms),
        Param.TENANT: "acme",
        Param.TITLE: "7f3a9c21e0b4d655",
        Param.LENGTH_HINT: "8200.0",
        Param.PLACEMENT: placement,
        Param.DESCRIPTION: "v=0",
    } | {Param[name.upper()]: value for name, value in change.items()}
    return encode(MessageKind.SET_UP, call, [(k, v.encode()) for k, v in params.items() if v is not None])


__all__ = [
    "Cause",
    "MessageKind",
    "Param",
    "Platform",
    "host_entry",
    "list_event",
    "play",
    "refuse",
    "set_up",
    "silent",
]
