"""A small platform in memory: hosts, a change log, a gateway and viewers that speak the set-up messages."""

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
    """One end of a connection that keeps what it reads; `on` hears each message."""

    def __init__(self, on=None):
        self.on, self.stream, self.closed_by = on, None, None
        self.read, self.reader = [], MessageReader()

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        for message in self.reader.feed(data):
            self.read.append(message)
            if self.on:
                self.on(self, message)

    def closed(self, reason):
        self.closed_by = reason

    def of(self, call, kind=None):
        return [m for m in self.read if m.call_id == call and kind in (None, m.kind)]


class Host:
    """A media host: `script` says what becomes of a set-up, `ends` keeps its connections."""

    def __init__(self, platform, name, script=None):
        self.platform, self.name, self.script = platform, name, script or play
        self.ends, self.set_ups, self.cuts = [], [], []
        self.home, self.again = {}, []
        self.up()

    def up(self):
        self.node = self.platform.world.node(self.name)
        self.node.listen(self.name, 5060, self.accept)

    def accept(self):
        self.ends.append(Peer(self.take))
        again, self.again = self.again, []
        for call, cause in again:
            self.platform.world.at(self.platform.now() + 1000, self.tell, self.ends[-1], call, cause)
        return self.ends[-1]

    def tell(self, end, call, cause):
        end.stream.write(encode_release(call, cause))

    def end(self, call, cause=Cause.NORMAL_CLEARING):
        """End a session: told on the connection of its set-up, and on the next one opened."""
        self.again.append((call, cause))
        home = self.home[call]
        self.tell(home if home.closed_by is None else self.live()[-1], call, cause)

    def take(self, end, message):
        if message.kind == MessageKind.HEALTH_CHECK:
            end.stream.write(messages.encode_health_check_reply(message.call_id, True))
        elif message.kind == MessageKind.SET_UP:
            self.set_ups.append((self.platform.now(), message))
            self.home[message.call_id] = end
            self.script(self, end, message)
        elif message.kind == MessageKind.RELEASE:
            self.cuts.append(message.call_id)

    def live(self):
        return [end for end in self.ends if end.closed_by is None]


def play(host, end, message):
    end.stream.write(
        encode(MessageKind.ANSWER, message.call_id, [(Param.DESCRIPTION, b"from " + host.name.encode())])
    )


def refuse(cause):
    return lambda host, end, message: end.stream.write(encode_release(message.call_id, cause))


def silent(host, end, message):
    pass


class Log(Handler):
    """The change log: sends what it is told to, and keeps what it was asked."""

    def __init__(self, platform):
        self.platform, self.asked, self.streams, self.events = platform, [], [], []
        self.quiet = False
        platform.world.node("log").listen("log", 2379, lambda: _Asker(self))

    def tell(self, data):
        for stream in self.streams:
            stream.write(data)


class _Asker(Handler):
    def __init__(self, log):
        self.log, self.stream = log, None

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        lines = data.decode().split("\r\n")
        self.log.asked.append(next(line[15:] for line in lines if line.startswith("Last-Event-ID: ")))
        self.stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.log.streams.append(self.stream)
        self.comment()

    def comment(self):
        if not self.log.quiet:
            self.stream.write(b": here\n\n")
        self.log.platform.world.at(self.log.platform.now() + SECOND, self.comment)

    def closed(self, reason):
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
    """One gateway `gw`, hosts by name, viewers."""

    def __init__(self, *names, seed=1, script=None, sockets=256, settings=SETTINGS):
        self.world = World(seed)
        self.hosts = {name: Host(self, name, script) for name in names}
        self.log = Log(self)
        known = {"seq": 1, "results": [list_event(1, *map(host_entry, names), full=True)]}
        self.config = msgspec.convert(
            {"name": "n0", "listen": "gw:5060", "seed": "1f", "limits": {"sockets": sockets}}
            | {"changelog": "log:2379", "known": known}
            | {"settings": msgspec.Raw(msgspec.json.encode(settings))},
            Config,
        )
        self.said = []
        self.gateway = self.world.node("gw")
        self.front = self.world.node("front")
        self.node = Node(self.gateway, self.config, lambda event, **fields: self.said.append((event, fields)))
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

    def ask(self, end, service="free", ms=3000, **change):
        """Send a set-up and give its id."""
        self.count += 1
        call = self.count.to_bytes(8)
        end.stream.write(set_up(call, service, ms, **change))
        return call


def set_up(call, service="free", ms=3000, figures="home:0;copies:4;top:2", **change):
    params = {
        Param.CLASS: service,
        Param.TIMEOUT: str(ms),
        Param.TENANT: "acme",
        Param.TITLE: "7f3a9c21e0b4d655",
        Param.LENGTH_HINT: "8200.0",
        Param.PLACEMENT: figures,
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
