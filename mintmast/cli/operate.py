"""`mintmast drain|undrain|moves`: calls to a gateway's administrative address."""

from __future__ import annotations

import json
import sys
from typing import Any

from mintmast.http.client import CallFailure, ClientLimits, HttpClient, Reply
from mintmast.loop.real import SelectorLoop

SECOND = 1_000_000


def administrative(
    admin: str, token: str, method: str, path: str, body: dict[str, Any] | None
) -> tuple[int, dict[str, Any] | None]:
    """Make a call to a gateway's administrative address; (0, what it tells), or (1 or 2, None) and a line."""
    host, _, port = admin.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        print(f"mintmast: --admin {admin}: HOST:PORT is needed", file=sys.stderr)
        return 2, None
    loop = SelectorLoop()
    replies: list[Reply | CallFailure] = []

    def done(reply: Reply | CallFailure) -> None:
        replies.append(reply)
        loop.stop()

    data = json.dumps(body).encode() if body is not None else b""
    client = HttpClient(loop, ClientLimits(connect_time=2 * SECOND))
    headers = [("Authorization", f"Bearer {token}")]
    client.call((host, int(port)), method, path, done, headers, data, loop.now() + 5 * SECOND)
    loop.run()
    reply = replies[0]
    if isinstance(reply, CallFailure):
        print(f"mintmast: {admin}: {reply.value}", file=sys.stderr)
        return 1, None
    if reply.status != 200:
        print(f"mintmast: {reply.status} {reply.body.decode('utf-8', 'replace')}", file=sys.stderr)
        return 1, None
    return 0, json.loads(reply.body)


def operate(admin: str, token: str, method: str, path: str, body: dict[str, Any] | None) -> int:
    """Make the call and print what it tells; 0 done, 1 not done, 2 bad use."""
    code, told = administrative(admin, token, method, path, body)
    if told is None:
        return code
    if path == "/v1/sources":
        for name, about in told.items():
            age = "never" if about["age_s"] is None else f"{about['age_s']:.0f} s ago"
            held = "" if about["held_back"] is None else f"; a version of {about['held_back']} is held back"
            fault = about["fault"] and "; " + about["fault"]
            print(f"{name}: {about['servers']} servers, well {age}{held}{fault}")
        if not told:
            print("the list is that of the settings")
        return 0
    for name, about in told["draining"].items():
        print(f"{name}: {about['sessions']} sessions, {len(about['moving'])} moving")
        for session, stage in about["moving"].items():
            print(f"  {session} {stage}")
        for session, why in about["held_by"].items():
            print(f"  {session} stays: {why}")
    counts = ", ".join(f"{name} {count}" for name, count in told["counts"].items())
    print(f"moves so far: {counts}" if told["draining"] else f"nothing drains; moves so far: {counts}")
    return 0
