"""Slow start over real processes: three gateways, all killed inside the window, against one cold host."""

import json
import time

from platform_world import SETTINGS, host_entry, list_event, play, set_up
from test_node_process import free_port, start_process, wait_for_event, write_config

from mintmast.loop import Handler
from mintmast.loop.real import SelectorLoop
from mintmast.signalling import messages
from mintmast.signalling.messages import MessageKind, MessageReader

# A set-up may leave a second after it was decided, as long as a connection may take here: load on the machine
# changes nothing. N is 11.25 at the beginning, in a window of 3 s.
FALL, CONNECT, PLAYED = 3_000_000, 1_000_000, 4_500_000
PACE = {"cold": 20_000_000, "coldFrom": 0.5, "fall": FALL, "overloadFactor": 2.5}
BUDGET = 2.5 * 60 / 20 * 0.5 * 3
COUNT = 3


class Host(Handler):
    """The host's end of a connection: plays whatever comes, and notes when."""

    name = "a"

    def __init__(self, loop, sends):
        self.loop, self.sends, self.reader = loop, sends, MessageReader()

    def opened(self, stream):
        self.stream = stream

    def received(self, data):
        for message in self.reader.feed(data):
            if message.kind == MessageKind.HEALTH_CHECK:
                self.stream.write(messages.encode_health_check_reply(message.call_id, True))
            elif message.kind == MessageKind.SET_UP:
                self.sends.append(self.loop.now())
                play(self, self, message)


def test_gateways_that_are_killed_and_start_again_send_no_more_than_a_cold_host_bears(tmp_path):
    loop, sends, number = SelectorLoop(), [], 0
    host = loop.listen("127.0.0.1", 0, lambda: Host(loop, sends))
    listed = host_entry("a", addr=f"127.0.0.1:{host.port}", started=int(time.time() * 1000))
    known = {"seq": 1, "results": [list_event(1, listed, full=True)]}
    ports = [free_port() for _ in range(COUNT)]
    paths = []
    for me, port in enumerate(ports):
        family = SETTINGS["familyInfo"] | {"kindSlots": [60], "linksKb": 1e9, "rackLinkKb": 1e9}
        caps = SETTINGS["caps"] | {"connectTimeout": CONNECT}
        told = {"me": me, "nInstances": COUNT, "invariants": PACE, "familyInfo": family, "caps": caps}
        path = tmp_path / f"{me}.json"
        paths.append(write_config(path, port, known=known, settings=SETTINGS | told))
    processes = [start_process(path) for path in paths]
    try:
        for process in processes:
            wait_for_event(process, "serving")
        begin, killed = loop.now(), False
        while (now := loop.now()) < begin + PLAYED:
            for port in ports:
                number += 1
                peer = Peer()
                loop.connect("127.0.0.1", port, peer)
                peer.data = set_up(number.to_bytes(8), "free")
            loop.run(loop.now() + 50_000)
            if not killed and now > begin + 700_000 and len(sends) >= int(BUDGET) - 1:
                killed = True
                for process in processes:
                    process.kill()
                    process.wait()
                processes = [start_process(path) for path in paths]
        assert killed
        most = max(sum(1 for at in sends if first <= at <= first + FALL) for first in sends)
        assert most <= BUDGET + 2 * BUDGET**0.5 + 2, json.dumps(sends)
    finally:
        for process in processes:
            process.kill()
            process.wait()


class Peer(Handler):
    """A viewer that asks once."""

    data = b""

    def opened(self, stream):
        stream.write(self.data)
