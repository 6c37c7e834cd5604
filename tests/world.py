"""A small world in memory for tests: hosts, one gateway, viewers, all on one virtual clock."""

import json

from mintmast.http.client import ClientLimits, HttpClient
from mintmast.lab.drills import FREE, PAID, Day, model, settings
from mintmast.lab.stage import MemoryStage

SECOND = 1_000_000


class Small:
    """A stage with one gateway whose log is kept; `change` edits the settings before the start."""

    def __init__(self, hosts=4, change=None, seed=1, gateways=1):
        self.day = Day(hosts=hosts, gateways=gateways)
        conf = settings(self.day)
        for title in conf["titles"].values():
            title["copies"] = hosts
        if change:
            change(conf)
        self.stage = MemoryStage(seed, conf, model(self.day))
        self.lines = []
        self.stage._say = lambda event, **fields: self.lines.append((event, fields))
        for number in range(hosts):
            self.stage.start_host(number)
        for number in range(gateways):
            self.stage.start_gateway(number)
            self.stage.gateways[number]._say = self.stage._say
        self.stage.begin()
        self.run(0.1)
        # the gateway's own start counts as a cold moment for all hosts: let it pass
        self.run(7)

    def run(self, seconds):
        """Let the world go on for so long."""
        self.stage.world.run(self.stage.world.time + int(seconds * SECOND))

    def get(self, target, headers=(), method="GET", gateway=0, wait=10.0):
        """Send a request to the gateway and give the list that its reply will be put into."""
        replies = []
        client = HttpClient(self.stage.viewers, ClientLimits(connect_time=SECOND))
        until = self.stage.now() + int(wait * SECOND)
        place = f"gw{gateway}", 8080
        call = client.call(place, method, target, replies.append, list(headers), deadline=until)
        return replies, call

    def manifest(self, service=FREE, title="gate-1", key="k", headers=(), rung=3, wait=10.0, **more):
        """Ask for a title's manifest as a viewer."""
        token = self.stage.token("viewer", "north-tv", service, rung, key, **more)
        bearer = ("Authorization", f"Bearer {token}")
        return self.get(f"/dash/{title}/manifest.mpd", [bearer, *headers], wait=wait)

    def seen(self, what):
        """Give the records of one kind."""
        return [row for row in self.stage.rows if row["what"] == what]


def problem(reply):
    """Read a reply's problem details."""
    assert reply.headers["content-type"] == "application/problem+json"
    return json.loads(reply.body)


__all__ = ["FREE", "PAID", "SECOND", "Small", "problem"]
