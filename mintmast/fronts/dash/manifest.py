"""The media presentation description (ISO/IEC 23009-1, clause 5), static on-demand and dynamic live.

The session token stands in the path of `BaseURL` (5.6), which every player resolves segment addresses
against, and beside it as a URL parameter of the manifest in the form of Annex I, for players that follow
that.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime
from xml.sax.saxutils import escape

from lxml import etree

MPD = "urn:mpeg:dash:schema:mpd:2011"
URL_PARAMETERS = "urn:mpeg:dash:urlparam:2014"
LIVE_PROFILE = "urn:mpeg:dash:profile:isoff-live:2011"
HTTP_ISO = "urn:mpeg:dash:utc:http-iso:2014"
# origin of the segment numbers of live titles; all gateways must use the same
LIVE_ORIGIN = "2026-01-01T00:00:00Z"
_BASE, _QUERY, _PATHWAY, _STEERING = "@base@", "@query@", "@pathway@", "@steering@"
_PLACEHOLDER = re.compile("@(base|query|pathway|steering)@")
# templates that are cached, one for each shape
MAX_TEMPLATES = 1024
# s after which players fetch a live manifest again, and learn of the session's moves
UPDATE_S = 30


@dataclass(slots=True, frozen=True)
class Shape:
    """What a manifest depends on besides the session; times in seconds, rates in kB/s."""

    seconds: float
    segment_s: float
    live: bool
    rates: tuple[float, ...]  # of the rungs from the lowest that the class may play to the viewer's best
    first: int  # rung of the first rate
    clock: str  # URL of the time, for live titles


class Manifests:
    """Builds manifests from templates, one for each shape."""

    def __init__(self) -> None:
        # each template's text, split at the placeholders: every second part is a placeholder's name
        self._templates: dict[Shape, list[str]] = {}

    def build(self, shape: Shape, base: str, query: str, pathway: str, steering: str) -> bytes:
        """Return the document; `base` ends with a slash, `steering` is the steering server's URL."""
        parts = self._templates.get(shape)
        if parts is None:
            parts = _PLACEHOLDER.split(_render_template(shape))
            if len(self._templates) < MAX_TEMPLATES:
                self._templates[shape] = parts
        values = {"base": base, "query": query, "pathway": pathway, "steering": steering}
        values = {name: escape(value, {'"': "&quot;"}) for name, value in values.items()}
        return "".join(values[part] if index % 2 else part for index, part in enumerate(parts)).encode()


def _duration(seconds: float) -> str:
    return f"PT{seconds:.3f}S"


def _render_template(shape: Shape) -> str:
    root = etree.Element(f"{{{MPD}}}MPD", nsmap={None: MPD, "up": URL_PARAMETERS})
    root.set("profiles", LIVE_PROFILE)
    root.set("minBufferTime", _duration(2 * shape.segment_s))
    if shape.live:
        root.set("type", "dynamic")
        root.set("availabilityStartTime", LIVE_ORIGIN)
        root.set("publishTime", LIVE_ORIGIN)
        root.set("minimumUpdatePeriod", _duration(UPDATE_S))
        root.set("timeShiftBufferDepth", _duration(shape.seconds))
        root.set("suggestedPresentationDelay", _duration(3 * shape.segment_s))
        root.set("maxSegmentDuration", _duration(shape.segment_s))
    else:
        root.set("type", "static")
        root.set("mediaPresentationDuration", _duration(shape.seconds))
    etree.SubElement(root, f"{{{MPD}}}BaseURL", serviceLocation=_PATHWAY).text = _BASE
    period = etree.SubElement(root, f"{{{MPD}}}Period", id="0", start="PT0S")
    video = etree.SubElement(
        period,
        f"{{{MPD}}}AdaptationSet",
        id="0",
        contentType="video",
        mimeType="video/mp4",
        codecs="avc1.4d401f",
        segmentAlignment="true",
        startWithSAP="1",
    )
    parameters = etree.SubElement(video, f"{{{MPD}}}SupplementalProperty", schemeIdUri=URL_PARAMETERS)
    etree.SubElement(
        parameters, f"{{{URL_PARAMETERS}}}UrlQueryInfo", queryTemplate="$querypart$", queryString=_QUERY
    )
    etree.SubElement(
        video,
        f"{{{MPD}}}SegmentTemplate",
        timescale="1000",
        duration=str(round(shape.segment_s * 1000)),
        startNumber="1",
        initialization="$RepresentationID$/init.mp4",
        media="$RepresentationID$/$Number$.m4s",
    )
    for step, kb in enumerate(shape.rates):
        etree.SubElement(
            video,
            f"{{{MPD}}}Representation",
            id=f"r{shape.first + step}",
            bandwidth=str(max(1, round(kb * 8000))),
        )
    steering = etree.SubElement(root, f"{{{MPD}}}ContentSteering", defaultServiceLocation=_PATHWAY)
    steering.set("queryBeforeStart", "false")
    steering.text = _STEERING
    if shape.live:
        etree.SubElement(root, f"{{{MPD}}}UTCTiming", schemeIdUri=HTTP_ISO, value=shape.clock)
    return etree.tostring(root, xml_declaration=True, encoding="UTF-8").decode()


def iso_time(seconds: float) -> str:
    """Return a time of the wall clock as ISO 8601 in UTC."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
