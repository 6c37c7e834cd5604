"""Shared settings over real processes: five gateways in two regions, with links that fail between them.

Each case begins with all of them well and ends with one head at all, and its change in force, within the time
that a change may take.
"""

import json
import os
import subprocess
import sys
from itertools import permutations
from pathlib import Path

import pytest

from mintmast.http.client import CallFailure, Reply
from mintmast.lab.drills import FREE, Day, model, settings
from mintmast.lab.loopback import LoopbackStage
from mintmast.lab.stage import SECRET

SECOND = 1_000_000
# s in which a change must be in force everywhere
IN_FORCE = 18.0
REGIONS = (0, 1, 2), (3, 4)
ALL = (0, 1, 2, 3, 4)
PATH = "/v1/configuration"


class Rig(LoopbackStage):
    """Gateways of two regions that share settings; the first region's are asked to publish."""

    def gateway_settings(self, number, **more):
        """Give a gateway of its region, which asks those of the other."""
        here = next(region for region in REGIONS if number in region)
        members = [{"name": f"gw{n}", "address": self.peer_address(n, number)} for n in here]
        abroad = [self.peer_address(n, number) for n in ALL if n not in here]
        shared = {"path": self.path(number), "abroad": abroad, "publish": number in (0, 1)}
        more |= {"peers": {"members": members, "secrets": self.secrets}, "configuration": shared}
        return super().gateway_settings(number, **more)

    def path(self, number):
        """Give the file of a gateway's shared settings."""
        return str(Path(self.folder.name, f"gw{number}.shared"))

    def ask(self, number, method, path, body=None, port="-admin", wait=6.0, headers=()):
        """Call a gateway; gives the reply or the fault."""
        told = []
        place = self.address, self._port(f"gw{number}{port}")
        headers = headers or [("Authorization", f"Bearer {SECRET}")]
        data = b"" if body is None else json.dumps(body).encode()
        self.client.call(place, method, path, told.append, headers, data, self.now() + int(wait * SECOND))
        while not told:
            self.loop.run(self.now() + 5_000)
        return told[0]

    def state(self, number):
        """Give what a gateway says of its shared settings, None where it says nothing."""
        reply = self.ask(number, "GET", PATH, wait=1.0)
        return json.loads(reply.body) if isinstance(reply, Reply) and reply.status == 200 else None

    def head(self, number):
        """Give a gateway's head."""
        told = self.state(number)
        return told and (told["term"], told["number"], told["digest"])

    def publish(self, number, **titles):
        """Publish titles, or that they are no more; gives the head."""
        reply = self.ask(number, "POST", PATH, {"titles": titles})
        assert not isinstance(reply, CallFailure) and reply.status == 200, reply
        told = json.loads(reply.body)
        return told["term"], told["number"], told["digest"]

    def take_over(self, number):
        """Make a gateway the publisher; it may have just started."""
        until = self.now() + 8 * SECOND
        while True:
            reply = self.ask(number, "POST", f"{PATH}/take-over")
            if isinstance(reply, Reply) and reply.status == 200:
                return json.loads(reply.body)["term"]
            assert self.now() < until, reply
            self.loop.run(self.now() + 100_000)

    def offers(self, number, title):
        """Tell whether a gateway offers a title to a new viewer, who gives it no time to set anything up."""
        path = f"/dash/{title}/manifest.mpd?access_token={self.token('v', 'north-tv', FREE, 3, '')}"
        reply = self.ask(number, "GET", path, port="", headers=[("Prefer", "wait=0")])
        assert reply.status in (404, 503), reply
        return reply.status == 503

    def until(self, good, seconds=IN_FORCE):
        """Let it go on until something holds; gives the seconds. Fails where it does not in time."""
        begun = self.now()
        while not good():
            assert self.now() - begun < seconds * SECOND, [self.state(n) for n in ALL]
            self.loop.run(self.now() + 50_000)
        return (self.now() - begun) / SECOND

    def one_head(self, head, numbers=ALL):
        """Wait until gateways have this head in force."""
        return self.until(lambda: all(self.head(n) == head for n in numbers))

    def cut(self, pairs, on=True):
        """Cut ways, or join them."""
        for pair in pairs:
            self.way(*pair, **({"is_cut": True} if on else {}))


def between(one, other):
    """Give all ways between two groups."""
    return [pair for a in one for b in other for pair in permutations((a, b))]


@pytest.fixture(scope="module")
def started():
    day = Day(hosts=2, gateways=5)
    rig = Rig(5, settings(day), model(day))
    rig.lay_links()
    for number in range(2):
        rig.start_host(number)
    for number in ALL:
        rig.start_gateway(number)
    rig.wait_for_gateways()
    rig.until(lambda: all(rig.state(n) for n in ALL), 20)
    yield rig
    rig.close()


@pytest.fixture
def rig(started):
    """Give the rig with one publisher, gw0, and one head at all."""
    # two who take over unknown to each other: one of them loses what it numbers; and one that the case before
    # has started anew takes no orders before it has heard the others
    started.until(lambda: len({started.head(n) for n in ALL}) == 1 and started.head(0))
    started.until(lambda: all(started.state(n)["settled"] for n in ALL))
    if not started.state(0)["publisher"]:
        started.take_over(0)
    started.one_head(started.publish(0))
    return started


def test_a_change_is_in_force_everywhere_and_a_bad_one_nowhere(rig):
    head = rig.publish(0, new={"copies": 2})
    rig.one_head(head)
    rig.until(lambda: all(rig.offers(n, "new") for n in ALL), 2)
    for body in ({"titles": {"new": {"copies": 0}}}, {"classes": None}, [1], {"ladder": []}):
        reply = rig.ask(0, "POST", PATH, body)
        assert reply.status in (400, 409)
    assert rig.ask(3, "POST", PATH, {"titles": {}}).status == 409  # it may not publish
    assert rig.ask(1, "POST", PATH, {"titles": {}}).status == 409  # it may, and is not the publisher
    assert all(rig.head(n) == head for n in ALL)
    rig.one_head(rig.publish(0, new=None))
    text = rig.ask(3, "GET", "/metrics").body.decode()
    term, number, _ = rig.head(0)
    assert f"mintmast_configuration_term {float(term)}" in text and "configuration_misfit 0.0" in text
    assert f"mintmast_configuration_number {float(number)}" in text
    rig.until(lambda: not any(rig.offers(n, "new") for n in ALL), 2)


def test_operators_publish_and_look_by_the_command_line(rig, tmp_path):
    admins = [f"{rig.address}:{rig._port(f'gw{number}-admin')}" for number in ALL]

    def call(*words):
        command = [sys.executable, "-m", "mintmast", "config", *words]
        environ = {**os.environ, "MINTMAST_ADMIN_TOKEN": SECRET}
        with subprocess.Popen(command, stdout=-1, stderr=-1, env=environ, text=True) as process:
            rig.until(lambda: process.poll() is not None)
            return process.returncode, process.stdout.read() + process.stderr.read()

    patch = tmp_path / "patch.json"
    patch.write_text('{"titles": {"cli": {"copies": 2}}}', encoding="utf-8")
    code, said = call("publish", str(patch), "--admin", admins[0])
    term, number, digest = rig.head(0)
    assert code == 0 and f"{term}.{number}/{digest}" in said
    rig.one_head((term, number, digest))
    code, said = call("status", *(word for each in admins for word in ("--admin", each)))
    assert code == 0 and said.count(digest) == 5 and "gw0: " in said and "(publisher)" in said
    code, said = call("take-over", "--yes", "--admin", admins[1])
    assert code == 0 and rig.state(1)["publisher"]


def test_a_way_that_is_cut_and_a_process_that_stands_still(rig):
    rig.cut([(0, 1)])
    rig.stop_gateway(2)
    heads = [rig.publish(0, **{f"cut-{n}": {}}) for n in range(3)]
    rig.one_head(heads[-1], (0, 1, 3, 4))
    rig.continue_gateway(2)
    rig.one_head(heads[-1])
    rig.cut([(0, 1)], on=False)
    assert rig.offers(1, "cut-2") and rig.offers(2, "cut-0")


def test_one_that_is_killed_goes_on_from_its_file(rig):
    before = rig.publish(0, kept={})
    rig.one_head(before)
    rig.cut(between((1,), (0, 2)))  # it hears nobody at its start
    rig.cut(between((1,), (3, 4)))
    rig.kill_gateway(1)
    rig.start_gateway(1)
    rig.until(lambda: rig.head(1) is not None, 10)
    assert rig.head(1) == before and rig.offers(1, "kept")
    after = rig.publish(0, later={})
    rig.cut(between((1,), (0, 2, 3, 4)), on=False)
    rig.one_head(after)


def test_a_region_that_is_cut_off_and_joined(rig):
    rig.cut(between(*REGIONS))
    before = rig.head(3)
    after = rig.publish(0, region={})
    rig.one_head(after, REGIONS[0])
    rig.loop.run(rig.now() + SECOND)
    assert rig.head(3) == before and not rig.offers(4, "region")
    rig.cut(between(*REGIONS), on=False)
    rig.one_head(after)


def test_two_hundred_changes_in_a_burst(rig):
    told = []
    place = rig.address, rig._port("gw0-admin")
    for number in range(200):
        body = json.dumps({"titles": {f"burst-{number % 50}": {"home": number}}}).encode()
        headers = [("Authorization", f"Bearer {SECRET}")]
        rig.client.call(place, "POST", PATH, told.append, headers, body, rig.now() + 15 * SECOND)
    begun = rig.now()
    rig.until(lambda: len(told) == 200)
    assert all(isinstance(each, Reply) and each.status == 200 for each in told)
    numbers = sorted(json.loads(each.body)["number"] for each in told)
    assert numbers == list(range(numbers[0], numbers[0] + 200))
    rig.until(lambda: all((rig.head(n) or (0, 0))[1] == numbers[-1] for n in ALL))
    assert len({rig.head(n) for n in ALL}) == 1
    assert rig.now() - begun < IN_FORCE * SECOND


def test_a_publisher_killed_after_it_wrote_and_before_it_told(rig):
    others = (1, 2, 3, 4)
    before = rig.head(1)
    rig.cut(between((0,), others))
    alone = rig.publish(0, alone={})
    rig.kill_gateway(0)
    rig.cut(between((0,), others), on=False)
    assert rig.head(1) == before
    rig.start_gateway(0)
    rig.one_head(alone)
    assert rig.state(0)["publisher"] and rig.offers(4, "alone")


def test_the_publisher_dies_another_takes_over_and_the_old_one_returns(rig):
    before = rig.head(0)
    rig.cut(between((0,), (1, 2, 3, 4)))
    lost = rig.publish(0, lost={})
    rig.kill_gateway(0)
    assert rig.take_over(1) > before[0]
    after = rig.publish(1, won={})
    rig.cut(between((0,), (1, 2, 3, 4)), on=False)
    rig.start_gateway(0)
    rig.one_head(after)
    told = rig.state(0)
    assert after > lost and not told["publisher"]
    rig.until(lambda: rig.offers(0, "won") and not rig.offers(0, "lost"), 2)
    assert rig.ask(0, "POST", PATH, {"titles": {"more": {}}}).status == 409
    assert [rig.state(n)["publisher"] for n in ALL] == [False, True, False, False, False]
