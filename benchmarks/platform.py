"""Where the time of a set-up goes on the platform: codec, calls, module, the rest.

    python -m benchmarks.platform [SET_UPS]

Without sockets: the same set-ups go through the codec, then through the table of calls with the module, on a
fleet of 14 hosts that holds 300 sessions. Microseconds for a set-up, its answer, a note and its end.
"""

from __future__ import annotations

import sys
import time

from mintmast import interface as api
from mintmast.decide import Controller
from mintmast.decisions.calls import commands as c
from mintmast.decisions.calls.calls import Calls
from mintmast.signalling import set_up_parser
from mintmast.signalling.messages import MessageKind, MessageReader, Param, encode, encode_release

SECOND = 1_000_000
HOSTS, HELD = 14, 300
CLASSES = (
    api.ServiceClass(api.Effect.SINGLE_SHOT, target_time=SECOND, deadline=3 * SECOND, worth=3.0, top=3),
    api.ServiceClass(api.Effect.FREE, target_time=SECOND, deadline=5 * SECOND, worth=1.0, top=3),
)
SETTINGS = api.Settings(
    instance=0, instances=2, zone=0, classes=CLASSES, tenants=(), over_share_worth=1.0,
    rung_kb=(200.0, 400.0, 900.0, 2000.0), rung_worth=(0.25, 0.5, 0.8, 1.0), links_kb=400_000.0,
    weight_kb=30_000.0, has_weights=False, kind_streams=(90,), cells=14, racks=2, uplink_kb=300_000.0,
    guard=0.0, shared_adds=1.0, class_is_live=(False, False), stall_cost=7.0, change_costs_s=0.5,
    note_age=SECOND // 2,
    notes_every=3 * SECOND, drain_grace=SECOND, warm_up=0, warm_up_from=1.0,
    overload_window=SECOND, overload_factor=2.5,
    budget=None, max_attempts=5, max_retry_after=500_000, may_advise=True, may_cancel=True,
    must_subscribe=False, load_fields=("x0",),
)  # fmt: skip
TERMS = set_up_parser.RequestSchema({b"paid": 0, b"free": 1}, (3 * SECOND, 5 * SECOND), {b"acme": 0})
DESCRIPTION = b"v=0\r\nc=IN IP4 10.66.166.244\r\nm=audio 42668 RTP/AVP 0 8 106\r\n"


def asked(number: int) -> bytes:
    """Give a viewer's set-up."""
    figures = b"home:%d;copies:3;top:3" % (number % 14)
    params = [
        (Param.CLASS, b"paid" if number % 3 == 0 else b"free"), (Param.TIMEOUT, b"3000"),
        (Param.TENANT, b"acme"), (Param.TITLE, b"%016x" % (number % 50)), (Param.LENGTH_HINT, b"20000"),
        (Param.PLACEMENT, figures), (Param.DESCRIPTION, DESCRIPTION),
    ]  # fmt: skip
    return encode(MessageKind.SET_UP, number.to_bytes(8), params)


def main(count: int = 5000) -> None:
    """Print the split."""
    frames = [asked(number) for number in range(1, count + 1)]
    begin = time.process_time()
    read = []
    for frame in frames:
        reader = MessageReader()
        read += [set_up_parser.parse_set_up(message, TERMS) for message in reader.feed(frame)]
        call = frame[3:11]
        MessageReader().feed(encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, DESCRIPTION)]))
        MessageReader().feed(encode_release(call, 16))
        encode(MessageKind.ANSWER, call, [(Param.DESCRIPTION, DESCRIPTION)])
        encode_release(call, 16)
    codec = time.process_time() - begin
    module = Controller(SETTINGS, 1)
    calls, spent = Calls(module), 0.0
    handle = module.handle

    def timed(now: int, event: api.Event) -> list[api.Action]:
        nonlocal spent
        begin = time.perf_counter()
        actions = handle(now, event)
        spent += time.perf_counter() - begin
        return actions

    module.handle = timed  # type: ignore[method-assign]
    now = 1000 * SECOND
    calls.start(now)
    entries = tuple(
        api.ListEntry(b"s-%08d" % n, api.ServerState.READY, 0, n, 0, 0, 1.0) for n in range(HOSTS)
    )
    calls.handle_list(now, api.ServerList(api.ListKind.FULL, 1, entries))
    standing: list[tuple[bytes, bytes]] = []
    begin = time.perf_counter()
    for wanted in read:
        now += SECOND // 25
        if not isinstance(wanted, set_up_parser.ParsedSetUp):
            continue
        for command in calls.handle_request(now, wanted.request, 1):
            if isinstance(command, c.SendSetUp):
                calls.handle_answer(now + 30_000, command.call_id, command.host, DESCRIPTION)
                calls.handle_note(now + 30_000, command.call_id, command.host, api.NoteKind.LINK, 0.5)
                standing.append((command.call_id, command.host))
        if len(standing) > HELD:
            calls.handle_session_end(now, *standing.pop(0), api.Outcome.SERVED)
    table = time.perf_counter() - begin - spent
    for name, seconds in (("codec, both sides", codec), ("table of calls", table), ("module", spent)):
        print(f"{name:20}{seconds / count * 1e6:8.1f} us a set-up")


if __name__ == "__main__":
    main(*map(int, sys.argv[1:2]))
