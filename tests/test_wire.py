"""The frames shown in the wire's page, byte for byte, and what is malformed."""

import json
import struct
import subprocess
import sys

import pytest

from mintmast import interface as api
from mintmast import wire

HOST = bytes.fromhex("0a124a07 1b5b".replace(" ", ""))
EVENTS = [
    (
        "041a 00000003 5d3a91c4 91f03b7c55d20a64 0001 0003a980 00000000 40400000 40000000 0000 00002ee0"
        " 2b8e6401d9f37c10 00",
        api.SessionRequest(0x5D3A91C4, 0, 0, 0x2B8E6401D9F37C10, 240000, 0, 3, 2, 12000),
    ),
    ("042e 00000003 0000004d", api.TimerFired(77)),
    ("0438 00000003 0e6f2b19", api.ViewerGone(0x0E6F2B19)),
    ("0424 00000003 5d3a91c4 00 0a124a07 1b5b 00002422", api.Playing(0x5D3A91C4, 0, HOST, 0x2422)),
    (
        "0406 00000003 5d3a91c4 00 0a124a07 1b5b 01 3f000000",
        api.Note(0x5D3A91C4, HOST, api.NoteKind.DELIVERED, 0.5),
    ),
    (
        "03fc 00000003 5d3a91c4 00 0a124a07 1b5b 0064 00004844 01 01 3ecccccd",
        api.AttemptEnd(
            0x5D3A91C4, 0, HOST, api.Outcome.SERVED, 0x4844, True, struct.unpack(">f", b"\x3e\xcc\xcc\xcd")
        ),
    ),
    (
        "0456 00000003 0e6f2b19 00 0000 91f03b7c55d20a64 2b8e6401d9f37c10 0003a980 00002ee0 00000000 40400000"
        " 40000000 0001 0a9011f2 1b84",
        api.SessionOpen(0x0E6F2B19, 0, 0, 0x2B8E6401D9F37C10, 2, bytes.fromhex("0a9011f21b84"), 12000),
    ),
    (
        "044c 00000003 00000578 0a9011f2 1b84 0064 01 3ecccccd",
        api.ProbeResult(
            bytes.fromhex("0a9011f21b84"),
            api.Outcome.SERVED,
            0x578,
            struct.unpack(">f", b"\x3e\xcc\xcc\xcd"),
        ),
    ),
    ("0442 00000003 0002 0004 68692037", api.PeerMessage(2, b"hi 7")),
]
ACTIONS = [
    ("03f2 00000003 5d3a91c4 0a124a07 1b5b 00000000008194da", api.SetUp(0x5D3A91C4, HOST, 0x8194DA)),
    ("0406 00000003 0007a120 0000004d", api.SetTimer(500000, 77)),
    ("0438 00000003 01", api.Subscribe(True)),
    ("0424 00000003", api.FetchList()),
    ("041a 00000003 5d3a91c4 00", api.Cancel(0x5D3A91C4, 0)),
    ("0460 00000003 0e6f2b19 0003d090", api.Refuse(0x0E6F2B19, 250000)),
    ("042e 00000003 0e6f2b19", api.Fail(0x0E6F2B19)),
    ("03fc 00000003 0e6f2b19", api.Move(0x0E6F2B19)),
    ("046a 00000003 0a9011f2 1b84", api.Probe(bytes.fromhex("0a9011f21b84"))),
    ("03e8 00000003 0a9011f2 1b84", api.CloseIdle(bytes.fromhex("0a9011f21b84"))),
    ("0456 00000003 ffffffff 0004 68692037", api.SendToPeers(b"hi 7")),
    ("044c 00000003 5d3a91c4 02", api.SetRung(0x5D3A91C4, 2)),
    ("0410 00000003 0011 74776f2073657276657273206b6e6f776e", api.Log("two servers known")),
]
LEDGER = (
    "0460 00 00000002 0000000000000000 0000 0000 0000 3f800000 0a124a07 1b5b 01"
    " 00000000005d1420 0000 0001 0000 3fc00000 0a9011f2 1b84 01"
)
SETTINGS = {
    "me": 0,
    "nInstances": 2,
    "services": [{"hardLimit": 3000000, "idempotency": "free"}],
    "familyInfo": {"levelKb": [200, 400], "ladderWorth": [0.5, 1]},
    "invariants": {},
    "somethingNew": {"unknown": True},
}


def raw(text):
    return bytes.fromhex(text.replace(" ", ""))


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_events(text, event):
    assert list(wire.Decoder().events(raw(text))) == [(3, event)]


@pytest.mark.parametrize(("text", "action"), ACTIONS)
def test_actions(text, action):
    assert wire.encode_action(3, action) == raw(text)


def test_empty_reply():
    assert wire.encode_reply([]) == raw("00000000 00000008")


def test_reply_of_three_records():
    records = [wire.encode_action(3, ACTIONS[0][1]), wire.encode_action(3, ACTIONS[1][1])]
    frame = wire.encode_reply([*records, wire.encode_action(5, api.Log("two servers known"))])
    assert frame[:8] == raw("00000003 00000047") and len(frame) == 0x47


def test_lists_and_bank_reuse():
    members = "0410 00000003 02 0000000000000029 00"
    one = "0460 00 00000001 0000000000000000 0002 0001 0000 3f800000 0a124a07 1b5b 02"
    first, second = wire.Decoder().events(raw(LEDGER + members + one + members))
    assert [e.started for e in first[1].entries] == [0, 0x5D1420]
    assert first[1].kind is api.ListKind.CACHED and first[1].version == 41
    assert [e.state for e in second[1].entries] == [api.ServerState.DRAINING]


def test_failed_list_call_needs_no_bank():
    ((_, event),) = wire.Decoder().events(raw("0410 00000003 03 0000000000000029 07"))
    assert event == api.ServerList(api.ListKind.FAILED, 41)


def test_spawn_and_teardown_and_unknown_keys():
    text = json.dumps(SETTINGS).encode()
    spawn = struct.pack(">HIQI", 1010, 3, 9, len(text)) + text
    events = list(wire.Decoder().events(spawn + raw("03e8 00000003") + spawn))
    assert [type(e) for _, e in events] == [wire.Spawn, wire.Teardown, wire.Spawn]
    assert events[0][1].settings.budget is None and events[0][1].settings.classes[0].seats == 0


@pytest.mark.parametrize(
    "body",
    [
        "ffff 00000003",  # unknown code
        "041a 00000003 5d3a",  # cut short
        "03fc 00000003 5d3a91c4 00 0a124a07 1b5b 0063 00004844 01 00",  # unknown outcome
        "0410 00000003 02 0000000000000029 05",  # a list never sent
        "0442 00000003 0002 0009 6869",  # content past the end
        "0460 00 00000009 00",  # list past the end
    ],
)
def test_malformed_events(body):
    with pytest.raises(wire.WireError):
        list(wire.Decoder().events(raw(body)))


@pytest.mark.parametrize(
    "text",
    [b"{", b"[]", b"null", json.dumps({**SETTINGS, "services": 3}).encode()]
    + [json.dumps({k: v for k, v in SETTINGS.items() if k != gone}).encode() for gone in list(SETTINGS)[:5]],
)
def test_bad_settings(text):
    with pytest.raises(wire.WireError):
        wire.parse_settings(text)


def adapter(data):
    return subprocess.run(
        [sys.executable, "-m", "mintmast.simhost"], input=data, capture_output=True, timeout=60, check=False
    )


def test_adapter_answers_empty_batches_and_ends_with_its_input():
    done = adapter(raw("0000000c 0000000000805c5a") * 2)
    assert done.returncode == 0 and done.stdout == raw("00000000 00000008") * 2 and not done.stderr


def test_adapter_restarts_an_instance_within_one_batch():
    text = json.dumps(SETTINGS).encode()
    spawn = struct.pack(">HIQI", 1010, 3, 9, len(text)) + text
    body = spawn + raw("03e8 00000003") + spawn + raw("0438 00000003 0e6f2b19")
    done = adapter(struct.pack(">IQ", 12 + len(body), 5) + body)
    assert done.returncode == 0 and done.stdout == raw("00000000 00000008")


@pytest.mark.parametrize(
    "data",
    [
        "0000",
        "00000004 0000000000000001",
        "000000ff 0000000000000001 00",
        "00000012 0000000000000001 ffff 00000003",
    ],
)
def test_adapter_tells_of_bad_input_in_one_line(data):
    done = adapter(raw(data))
    assert done.returncode == 2
    assert done.stderr.count(b"\n") == 1 and done.stderr.startswith(b"mintmast: ")


def test_adapter_tells_of_an_instance_that_does_not_run():
    body = raw("0438 00000003 0e6f2b19")
    done = adapter(struct.pack(">IQ", 12 + len(body), 5) + body)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1


def test_adapter_tells_of_a_class_that_is_not_in_the_settings():
    text = json.dumps(SETTINGS).encode()
    body = struct.pack(">HIQI", 1010, 3, 9, len(text)) + text + raw(EVENTS[0][0])[:-1] + b"\x07"
    done = adapter(struct.pack(">IQ", 12 + len(body), 5) + body)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1 and b"class 7" in done.stderr


@pytest.mark.parametrize("family", [{"lowestRung": [5]}, {"scaleByClass": [0]}, {"levelKb": []}])
def test_settings_that_make_no_sense(family):
    told = {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], **family}}
    with pytest.raises(wire.WireError):
        wire.parse_settings(json.dumps(told).encode())
