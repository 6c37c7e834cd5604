"""Plays a manifest as a player does (ISO/IEC 23009-1, CTA-5006 `mb`) and counts what a viewer sees."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from datetime import datetime
from typing import Any
from urllib.parse import quote, urljoin, urlsplit

from lxml import etree

from mintmast.http.client import Call, CallFailure, HttpClient, Reply
from mintmast.http.server import Headers
from mintmast.loop import Loop

_NS = {"m": "urn:mpeg:dash:schema:mpd:2011"}
_MB = re.compile(r"mb=([0-9]{1,12})")
# s of media that a player wants ahead of what it shows, as common players do
BUFFER_S = 8.0
# s; a stall longer than this is seen by a viewer
GAP_S = 0.2
# µs between tries of a segment that its host turned away while steering may lead elsewhere, and for how long
AGAIN, TROUBLE = 300_000, 12_000_000
# µs from the first segment to the first question where to go on (ETSI TS 103 998: after start-up)
FIRST_POLL = 1_000_000
# µs that a player waits for the steering server
POLL_TIME = 5_000_000
# µs in which a segment must arrive before the player calls the session broken
SEGMENT_TIME = 20_000_000
# part by which a rung's told bandwidth may be over `mb` and still be meant by it: both are rounded
ROUNDING = 1.01


@dataclass(slots=True)
class Report:
    """What a viewer saw; times in seconds."""

    status: int | None = None
    fault: str | None = None
    reason: str = ""
    answer_s: float = 0.0
    start_s: float | None = None
    played_s: float = 0.0
    rungs: dict[str, float] = field(default_factory=dict)  # seconds of media by Representation
    stalls: int = 0
    stalled_s: float = 0.0
    gaps: int = 0  # stalls longer than GAP_S
    longest_gap_s: float = 0.0
    moves: int = 0  # times that steering led to another host
    host: str = ""
    whole: bool = False
    retry_ms: int = 0

    def as_dict(self) -> dict[str, Any]:
        """Give it for JSON."""
        return asdict(self)


class Player:
    """One viewing of a manifest's address; `done` hears the report once.

    `patience` (µs) is how long the viewer waits for the manifest's answer; `leave` (µs) makes him close the
    connection before that. `most` bounds the seconds of media watched.
    """

    def __init__(
        self,
        loop: Loop,
        client: HttpClient,
        url: str,
        headers: Headers,
        patience: int,
        done: Callable[[Report], None],
        leave: int | None = None,
        most: float = math.inf,
    ) -> None:
        self.loop, self.client, self.most = loop, client, most
        self.report = Report()
        self._done = done
        self._began = loop.now()
        self._base = ""
        self._rates: list[tuple[int, str]] = []
        self._media = self._init = ""
        self._next = 1
        self._count = 0
        self._segment_s = 0.0
        self._mb = math.inf
        self._buffer = self._gap = 0.0
        self._at = 0  # when the buffer was last reckoned
        self._live_from: float | None = None  # wall clock of a live title's first segment
        self._steering = ""
        self._token = ""  # shown as a parameter at a pathway clone
        self._polling = self._ended = False
        self._held = ""  # what is fetched again when steering has answered
        self._trouble = 0  # since when segments fail
        parts = urlsplit(url)
        self._address = parts.hostname or "", parts.port or 80
        target = parts.path + (f"?{parts.query}" if parts.query else "")
        self.call: Call = client.call(
            self._address, "GET", target, self._answered, headers, deadline=self._began + patience
        )
        if leave is not None:
            loop.call_at(self._began + leave, self.call.cancel)

    def _answered(self, reply: Reply | CallFailure) -> None:
        self.report.answer_s = (self.loop.now() - self._began) / 1e6
        if isinstance(reply, CallFailure):
            self._finish(reply.value)
            return
        self.report.status = reply.status
        retry = reply.headers.get("mintmast-retry-ms", "0")
        self.report.retry_ms = int(retry) if retry.isdigit() else 0
        if reply.status != 200:
            self._finish(reply.body.decode("utf-8", "replace")[:200])
            return
        self._hear(reply)
        try:
            self._read(reply.body)
        except (etree.XMLSyntaxError, ValueError, AttributeError, IndexError, KeyError) as error:
            self._finish(f"the manifest cannot be followed: {error}")
            return
        self._fetch("init")

    def _read(self, body: bytes) -> None:
        parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False)
        root = etree.fromstring(body, parser)
        self._base = root.find("m:BaseURL", _NS).text
        self.report.host = urlsplit(self._base).netloc
        steering = root.find("m:ContentSteering", _NS)
        self._steering = (steering.text or "").strip() if steering is not None else ""
        template = root.find(".//m:SegmentTemplate", _NS)
        self._segment_s = int(template.get("duration")) / int(template.get("timescale", "1"))
        self._media, self._init = template.get("media"), template.get("initialization")
        self._next = int(template.get("startNumber", "1"))
        self._rates = sorted(
            (int(r.get("bandwidth")), r.get("id")) for r in root.iterfind(".//m:Representation", _NS)
        )
        length = _seconds(root.get("mediaPresentationDuration"))
        if root.get("type") == "dynamic":
            length = self.most
            origin = datetime.fromisoformat(root.get("availabilityStartTime"))
            self._live_from = origin.timestamp() - (self._next - 1) * self._segment_s
            behind = int(_seconds(root.get("suggestedPresentationDelay", "PT6S")) / self._segment_s)
            self._next = max(1, int((self.loop.wall() - self._live_from) / self._segment_s) - behind + 1)
        self._count = math.ceil(min(length, self.most) / self._segment_s)

    def _hear(self, reply: Reply) -> None:
        told = _MB.search(reply.headers.get("cmsd-dynamic", ""))
        if told:
            self._mb = int(told[1]) * 1000

    def _rung(self) -> str:
        fitting = [name for rate, name in self._rates if rate <= self._mb * ROUNDING]
        return fitting[-1] if fitting else self._rates[0][1]

    def _fetch(self, what: str) -> None:
        rung = self._rung()
        path = self._init if what == "init" else self._media.replace("$Number$", str(self._next))
        url = urlsplit(urljoin(self._base, path.replace("$RepresentationID$", rung)))
        address = url.hostname or "", url.port or 80
        deadline = self.loop.now() + SEGMENT_TIME
        self.client.call(
            address,
            "GET",
            self._shown(url.path),
            lambda reply: self._got(what, rung, reply),
            deadline=deadline,
        )

    def _shown(self, path: str) -> str:
        return f"{path}?token={self._token}" if self._token else path

    def _got(self, what: str, rung: str, reply: Reply | CallFailure) -> None:
        if isinstance(reply, CallFailure) or reply.status != 200:
            self._failed(
                what, reply.value if isinstance(reply, CallFailure) else f"segment answered {reply.status}"
            )
            return
        self._trouble = 0
        self._hear(reply)
        if what != "init":
            self._reckon()
            if self.report.start_s is None:
                self.report.start_s = (self.loop.now() - self._began) / 1e6
                if self._steering:
                    self.loop.call_at(self.loop.now() + FIRST_POLL, self._poll)
            self._buffer += self._segment_s
            self.report.rungs[rung] = self.report.rungs.get(rung, 0.0) + self._segment_s
            self._next += 1
            self._count -= 1
        if self._count <= 0:
            self.loop.call_at(self.loop.now() + int(self._buffer * 1e6), self._played)
            return
        wait = max(0.0, self._buffer + self._segment_s - BUFFER_S)
        if self._live_from is not None:  # a segment of a live title is there when it is over (A.3.2)
            wait = max(wait, self._live_from + self._next * self._segment_s - self.loop.wall())
        self.loop.call_at(self.loop.now() + int(wait * 1e6), self._fetch, "media")

    def _reckon(self) -> None:
        """Let the buffer run to the present."""
        now = self.loop.now()
        if self.report.start_s is not None:
            passed = (now - self._at) / 1e6
            shown = min(passed, self._buffer)
            self.report.played_s += shown
            self._buffer -= shown
            if passed - shown > 1e-3:
                self.report.stalls += 1
                self.report.stalled_s += passed - shown
                self._gap += passed - shown
        if self._buffer > 0:
            self._book_gap()
        self._at = now

    def _book_gap(self) -> None:
        if self._gap > GAP_S:
            self.report.gaps += 1
            self.report.longest_gap_s = max(self.report.longest_gap_s, self._gap)
        self._gap = 0.0

    def _failed(self, what: str, reason: str) -> None:
        """Ask where to go on, and try again for a while; without steering the session is broken."""
        self._reckon()
        now = self.loop.now()
        self._trouble = self._trouble or now
        if not self._steering or self._ended or self.report.start_s is None or now - self._trouble > TROUBLE:
            self._finish(reason)
            return
        self._held = what
        if not self._polling:
            self._poll()

    def _poll(self) -> None:
        """Ask the steering server (ETSI TS 103 998, 5), telling the buffer by CMCD (CTA-5004)."""
        if self._ended or self._polling or self._count <= 0:
            return
        self._polling = True
        self._reckon()
        url = urlsplit(self._steering)
        told = quote(f"bl={int(self._buffer * 1000)}")
        target = f"{url.path}?{url.query}{'&' if url.query else ''}CMCD={told}"
        address = url.hostname or "", url.port or 80
        until = self.loop.now() + POLL_TIME
        self.client.call(address, "GET", target, self._steered, deadline=until)

    def _steered(self, reply: Reply | CallFailure) -> None:
        self._polling = False
        if self._ended:
            return
        ttl = 3.0
        if isinstance(reply, Reply) and reply.status == 200:
            try:
                ttl = self._follow(json.loads(reply.body))
            except (ValueError, KeyError, TypeError, IndexError, AttributeError):
                pass  # an answer that cannot be followed is passed over, as the specification has it
        elif isinstance(reply, Reply) and reply.status == 410:
            self._steering = ""
        if self._held:
            what, self._held = self._held, ""
            self.loop.call_at(self.loop.now() + AGAIN, self._again, what)
        if self._steering:
            self.loop.call_at(self.loop.now() + int(ttl * 1e6), self._poll)

    def _again(self, what: str) -> None:
        if not self._ended:
            self._fetch(what)

    def _follow(self, manifest: dict[str, Any]) -> float:
        """Take a steering manifest; gives its TTL in seconds."""
        self._steering = urljoin(self._steering, str(manifest.get("RELOAD-URI", self._steering)))
        first = manifest["PATHWAY-PRIORITY"][0]
        for clone in manifest.get("PATHWAY-CLONES", []):
            if clone["ID"] == first:
                put = clone["URI-REPLACEMENT"]
                base = urlsplit(self._base)
                moved = base._replace(netloc=put["HOST"]).geturl()
                self.report.moves += moved != self._base
                self._base, self._token = moved, put.get("PARAMS", {}).get("token", "")
                self.report.host = put["HOST"]
        return float(manifest.get("TTL", 300))

    def _played(self) -> None:
        # the clip is at its end: that the timer came a little after the buffer's is nothing a viewer sees
        self.report.played_s += self._buffer
        self._buffer, self._at = 0.0, self.loop.now()
        self._book_gap()
        self.report.whole = True
        url = urlsplit(urljoin(self._base, "end"))
        address = url.hostname or "", url.port or 80
        until = self.loop.now() + SEGMENT_TIME
        self.client.call(
            address, "POST", self._shown(url.path), lambda reply: self._finish("played"), deadline=until
        )

    def _finish(self, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._book_gap()
        if reason != "played" and not self.report.whole:
            self.report.fault = reason
        self.report.reason = reason
        self._done(self.report)


def _seconds(text: str | None) -> float:
    match = re.fullmatch(r"PT(?:([0-9.]+)H)?(?:([0-9.]+)M)?(?:([0-9.]+)S)?", text or "")
    if not match:
        return math.inf
    hours, minutes, seconds = (float(each or 0) for each in match.groups())
    return hours * 3600 + minutes * 60 + seconds
