"""Metrics (prometheus-client) and traces (OpenTelemetry) of a gateway, fed by its log events."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from mintmast.telemetry.lines import LogFunction

# s; bounds of the histograms: a decision takes parts of a ms, a viewer waits seconds
_ANSWER_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
_TURN_BUCKETS = (0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25)


# gauges of the shared settings, where they are shared
_CONFIGURATION = {
    "term": "term of the revision in force",
    "number": "number of the revision in force",
    "refused": "revisions refused as not good since the start",
    "forks": "numbers that name two documents, seen since the start",
    "behind_seconds": "time since a later revision was first told, 0 where none is",
    "publisher": "1 where it numbers revisions",
    "misfit": "1 where the revision in force does not suit this gateway's own settings",
}


class Metrics:
    """What a gateway counts, fed by its log events; `text` gives the exposition format."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter("mintmast_answers", "answers given", ["verdict"], registry=self.registry)
        self.attempts = Counter(
            "mintmast_attempts", "set-ups by what was seen of them", ["evidence"], registry=self.registry
        )
        self.answer_time = Histogram(
            "mintmast_answer_seconds", "time to an answer", buckets=_ANSWER_BUCKETS, registry=self.registry
        )
        self.turn_time = Histogram(
            "mintmast_turn_seconds", "turns of the loop", buckets=_TURN_BUCKETS, registry=self.registry
        )
        self.held = Gauge("mintmast_sessions", "sessions under way or playing", registry=self.registry)
        self.late = Gauge(
            "mintmast_late_starts", "sessions started after they were given up", registry=self.registry
        )

        self.members = Gauge(
            "mintmast_members", "other gateways by how they stand", ["stands"], registry=self.registry
        )
        self.steady = Gauge(
            "mintmast_members_steady",
            "1 where it may judge by time gone by",
            registry=self.registry,
        )
        self.dropped = Gauge(
            "mintmast_members_dropped", "words dropped since the start", ["why"], registry=self.registry
        )
        self.votes = Gauge(
            "mintmast_witness_votes", "1 where it votes on all paid keys that it can", registry=self.registry
        )
        self.store_failing = Gauge(
            "mintmast_store_failing", "1 where records cannot be written", registry=self.registry
        )
        self.store_bytes = Gauge(
            "mintmast_store_bytes", "bytes of the store, and free ones in it", ["of"], registry=self.registry
        )
        self.unrecorded = Counter(
            "mintmast_unrecorded",
            "paid set-ups not sent for want of a record",
            registry=self.registry,
        )
        self.unsettled = Gauge(
            "mintmast_unsettled", "paid sessions of earlier lives not settled yet", registry=self.registry
        )
        self._configuration: dict[str, Gauge] = {}
        self.waits_for = Gauge(
            "mintmast_witness_waits_for", "gateways whose word it waits for to vote", registry=self.registry
        )

    def configuration(self, told: dict[str, Any]) -> None:
        """Take the state of the shared settings; the first call makes the gauges."""
        if not self._configuration:
            for name, about in _CONFIGURATION.items():
                gauge = Gauge(f"mintmast_configuration_{name}", about, registry=self.registry)
                self._configuration[name] = gauge
        told = {**told, "refused": told["dropped"]["refused"], "behind_seconds": told["behind_s"] or 0}
        for name, gauge in self._configuration.items():
            gauge.set(bool(told[name]) if name == "misfit" else told[name])

    def store(self, failing: str, size: tuple[int, int]) -> None:
        """Take whether records can be written, the file's bytes, and those of them that hold nothing."""
        self.store_failing.set(bool(failing))
        for of, value in zip(("file", "free"), size, strict=True):
            self.store_bytes.labels(of).set(value)

    def roster(self, told: dict[str, Any], states: list[str]) -> None:
        """Take what the gateway believes of the others."""
        stands = [each["stands"] for each in told["members"].values()]
        for state in states:
            self.members.labels(state).set(stands.count(state))
        self.steady.set(told["steady"])
        self.votes.set(told["witness"]["votes"])
        self.waits_for.set(len(told["witness"]["waits_for"]))
        for why, count in told["dropped"].items():
            self.dropped.labels(why).set(count)

    def take(self, event: str, fields: dict[str, Any]) -> None:
        """Count a log event."""
        if event == "request":
            self.answers.labels(fields["verdict"]).inc()
            self.answer_time.observe(fields["took_ms"] / 1000)
        elif event == "attempt":
            self.attempts.labels(fields["evidence"]).inc()
        elif event == "unrecorded":
            self.unrecorded.inc()

    def text(self) -> bytes:
        """Give all in the text exposition format."""
        return generate_latest(self.registry)


class Traces:
    """A share of the requests as OpenTelemetry spans in the log: the request, and each attempt in it."""

    def __init__(self, share: float, seed: int, say: LogFunction, wall: Callable[[], float]) -> None:
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult

        class Exporter(SpanExporter):
            def export(self, spans: Any) -> Any:
                for span in spans:
                    say(
                        "span",
                        name=span.name,
                        trace=f"{span.context.trace_id:032x}",
                        span=f"{span.context.span_id:016x}",
                        parent=f"{span.parent.span_id:016x}" if span.parent else None,
                        start_ns=span.start_time,
                        end_ns=span.end_time,
                        attributes=dict(span.attributes or {}),
                    )
                return SpanExportResult.SUCCESS

        provider = TracerProvider(resource=Resource.create({"service.name": "mintmast"}))
        provider.add_span_processor(SimpleSpanProcessor(Exporter()))
        self._tracer = provider.get_tracer("mintmast")
        self._share, self._random, self._wall = share, random.Random(seed), wall
        self._attempts: dict[str, list[tuple[int, int, dict[str, Any]]]] = {}

    def take(self, event: str, fields: dict[str, Any]) -> None:
        """Take a log event."""
        from opentelemetry import trace

        now = int(self._wall() * 1e9)
        begin = now - int(fields.get("took_ms", 0) * 1e6)
        if event == "attempt":
            if len(self._attempts) < 10_000:
                self._attempts.setdefault(fields["session"], []).append((begin, now, fields))
        elif event == "request":
            attempts = self._attempts.pop(fields["session"], []) if fields["session"] else []
            if self._random.random() >= self._share:
                return
            told = {key: value for key, value in fields.items() if value is not None}
            span = self._tracer.start_span("request", start_time=begin, attributes=told)
            context = trace.set_span_in_context(span)
            for first, last, about in attempts:
                child = self._tracer.start_span("attempt", context, start_time=first, attributes=about)
                child.end(last)
            span.end(now)
