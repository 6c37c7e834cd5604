"""The DASH front: a request for a manifest is held until the core answers it, and answered exactly once.

`GET /dash/TITLE/manifest.mpd` needs the viewer's access token (`Authorization: Bearer` or `access_token`);
`Idempotency-Key` identifies repeated requests, `Prefer: wait=S` (RFC 7240) limits the time of one.
"""

from __future__ import annotations

import math
import re
from typing import Any

from mintmast.config import Config, Title
from mintmast.core.service import Core
from mintmast.decisions.messages import AnswerPoll, AnswerRequest, Verdict, ViewerRequest
from mintmast.fronts.dash.manifest import Manifests, Shape, iso_time
from mintmast.fronts.dash.steering import build_steering_manifest, pathway
from mintmast.fronts.tokens import AccessTokens, Keys, SessionTokens, TokenError, Viewer
from mintmast.http.server import Exchange, HttpServer, ServerLimits
from mintmast.loop import Loop

_MANIFEST_PATH = re.compile(r"^/dash/([A-Za-z0-9][A-Za-z0-9._~-]{0,99})/manifest\.mpd$")
_WAIT_PREFERENCE = re.compile(r"(?:^|[,;\s])wait=([0-9]{1,6}(?:\.[0-9]{1,3})?)")
_BUFFER_LENGTH = re.compile(r"(?:^|,)bl=([0-9]{1,9})(?:,|$)")  # CMCD, in ms
_MANIFEST_TYPE = "application/dash+xml"
# characters of an idempotency key; longer ones are refused
MAX_KEY_LENGTH = 200
# bytes of a request's body, which no request of a player needs
MAX_BODY_BYTES = 1024
_NO_STORE = ("Cache-Control", "no-store")


class DashFront:
    """Serves manifests and content steering for one gateway, whose sessions `core` sets up."""

    def __init__(self, loop: Loop, config: Config, core: Core) -> None:
        tokens = config["tokens"]
        self.loop, self.config, self.core = loop, config, core
        self.access = AccessTokens(Keys(tokens["access"]), tokens["audience"], tokens["skew_s"])
        self.gone: dict[str, Title] = {}  # titles that are no longer offered but still play here
        keys = Keys(tokens["session"])
        self.sessions = SessionTokens(keys, tokens["session"][0]["kid"], tokens["skew_s"])
        self.manifests = Manifests()
        limits, listen = config["limits"], config["listen"]
        self._margin = limits["answer_margin_ms"] * 1000
        self.server = HttpServer(
            loop,
            listen["host"],
            listen["port"],
            self._handle,
            ServerLimits(
                header_bytes=limits["header_bytes"],
                body_bytes=MAX_BODY_BYTES,
                connections=limits["connections"],
                pipelined=limits["pipelined"],
                header_time=limits["header_ms"] * 1000,
                idle_time=limits["idle_ms"] * 1000,
            ),
        )
        self.public = listen.get("public") or f"http://{listen['host']}:{self.server.port}"

    def adopt(self, config: Config, gone: dict[str, Title]) -> None:
        """Use other settings from now on: titles, classes, tenants and viewers' keys."""
        keys = config["tokens"]["access"]
        if keys != self.config["tokens"]["access"]:
            self.access.keys = Keys(keys)
        self.config, self.gone = config, gone

    def _handle(self, exchange: Exchange) -> None:
        if exchange.path == "/dash/time" and exchange.method in ("GET", "HEAD"):
            body = iso_time(self.loop.wall()).encode()
            exchange.respond(200, [("Content-Type", "text/plain"), _NO_STORE], body)
            return
        if exchange.path == "/dash/steer" and exchange.method == "GET":
            self._steer(exchange)
            return
        match = _MANIFEST_PATH.match(exchange.path)
        title = self.config.titles.get(match[1]) or self.gone.get(match[1]) if match else None
        if title is None:
            exchange.respond_problem(404, "no such title" if match else "no such path")
        elif exchange.method == "OPTIONS":
            exchange.respond(204, [("Allow", "GET, HEAD, OPTIONS")])
        elif exchange.method not in ("GET", "HEAD"):
            exchange.respond_problem(405, "only GET and HEAD", headers=[("Allow", "GET, HEAD, OPTIONS")])
        else:
            self._handle_manifest_request(exchange, title)

    def _handle_manifest_request(self, exchange: Exchange, title: Title) -> None:
        try:
            viewer = self._authenticate(exchange, title)
        except TokenError as error:
            status = 403 if error.forbidden else 401
            challenge = [("WWW-Authenticate", 'Bearer error="invalid_token"')] if status == 401 else []
            exchange.respond_problem(status, str(error), headers=challenge)
            return
        key = exchange.headers.get("idempotency-key", "").strip().strip('"') or viewer.key
        if len(key) > MAX_KEY_LENGTH:
            exchange.respond_problem(400, "idempotency key too long")
            return
        if key:
            key = f"{viewer.tenant}/{viewer.subject}/{viewer.service}/{title.name}/{key}"
        if title.name not in self.config.titles and not self.core.book.has_session(key, title.number):
            exchange.respond_problem(404, "no such title")  # only sessions that play it may go on
            return
        if exchange.method == "HEAD":  # a HEAD request must not set up a session
            exchange.respond(200, [("Content-Type", _MANIFEST_TYPE), _NO_STORE])
            return
        request = self._make_request(exchange, title, viewer, key)
        number = self.core.request_session(
            request, lambda answer: self._answer(exchange, title, request, answer)
        )
        exchange.on_disconnect = lambda: self.core.cancel_request(number)

    def _make_request(self, exchange: Exchange, title: Title, viewer: Viewer, key: str) -> ViewerRequest:
        service = self.config.classes[viewer.service]
        budget = self.config.settings.classes[service].deadline
        wait = _WAIT_PREFERENCE.search(exchange.headers.get("prefer", ""))
        if wait:
            budget = min(budget, int(float(wait[1]) * 1e6))
        return ViewerRequest(
            request_id=0,
            service=service,
            tenant=self.config.tenants.get(viewer.tenant, 0),
            title=title.number,
            home_cell=title.home,
            copies=title.copies,
            best_rung=min(viewer.best_rung, len(self.config.settings.rung_kb) - 1),
            timeout=max(0, budget - self._margin),
            key=key,
            length=0 if title.live else int(title.seconds * 1e6),
            is_retry=exchange.headers.get("mintmast-again") == "1",
        )

    def _authenticate(self, exchange: Exchange, title: Title) -> Viewer:
        """Return the viewer that the request's access token names. Raises TokenError."""
        scheme, _, token = exchange.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            token = exchange.query.get("access_token", "")
        if not token:
            raise TokenError("an access token is needed")
        viewer = self.access.check(token.strip(), self.loop.wall())
        if viewer.service not in self.config.classes:
            raise TokenError("the token's class is not offered here", forbidden=True)
        if self.config.tenants and viewer.tenant not in self.config.tenants:
            raise TokenError("the token's tenant is not known here", forbidden=True)
        if viewer.title is not None and viewer.title != title.name:
            raise TokenError("the token is for another title", forbidden=True)
        return viewer

    def _answer(
        self, exchange: Exchange, title: Title, request: ViewerRequest, answer: AnswerRequest
    ) -> None:
        if answer.verdict is Verdict.PLAYS:
            self._respond_with_manifest(exchange, title, request, answer)
        elif answer.verdict is Verdict.REFUSED:
            advice = [("Retry-After", str(max(1, math.ceil(answer.retry_after / 1e6))))]
            if answer.retry_after:
                advice.append(("Mintmast-Retry-Ms", str(answer.retry_after // 1000)))
            exchange.respond_problem(
                503, "refused", f"{answer.reason}; it did not run and may be asked for again", advice
            )
        elif answer.try_elsewhere:  # RFC 9110, 15.5.20: the client may retry over another connection
            exchange.respond_problem(
                421, "failed", f"{answer.reason} here; nothing was sent, ask another gateway"
            )
        else:
            is_late = answer.reason == "time is up"
            exchange.respond_problem(504 if is_late else 502, "failed", f"{answer.reason}; it may have run")

    def _steer(self, exchange: Exchange) -> None:
        """Answer a steering request (ETSI TS 103 998, clause 5), which is held while the session moves.

        The player reports its buffer by CMCD (CTA-5004) `bl`; without it the session is not moved.
        """
        try:
            claims = self.sessions.check(exchange.query.get("token", ""), self.loop.wall())
        except TokenError as error:
            exchange.respond_problem(401, str(error))
            return
        match = _BUFFER_LENGTH.search(exchange.query.get("CMCD", ""))
        buffer = int(match[1]) * 1000 if match else 0
        hold = min(self.config["steering"]["hold_ms"] * 1000, buffer)
        name = str(claims["ttl"])
        title = self.config.titles.get(name) or self.gone.get(name)
        if title is None:
            exchange.respond_problem(410, "the title is no more")
            return
        poll = self.core.poll_session(
            str(claims["sid"]),
            buffer,
            hold,
            lambda answer: self._answer_poll(exchange, title, claims, answer),
        )
        exchange.on_disconnect = lambda: self.core.cancel_poll(poll)

    def _answer_poll(
        self, exchange: Exchange, title: Title, claims: dict[str, Any], answer: AnswerPoll
    ) -> None:
        if answer.is_closed:
            exchange.respond_problem(410, "the session is over")
            return
        top = min(answer.best_rung, self.core.service_class(answer.session, answer.service).top)
        token = self._sign_token(title, top, answer)
        body = build_steering_manifest(
            answer.server.decode(),
            str(claims["hst"]),
            token,
            self._steering_uri(token),
            self.config["steering"]["ttl_s"],
            answer.moved,
        )
        exchange.respond(200, [("Content-Type", "application/json"), _NO_STORE], body)

    def _steering_uri(self, token: str) -> str:
        return f"{self.public}/dash/steer?token={token}"

    def _sign_token(self, title: Title, top: int, answer: AnswerRequest | AnswerPoll) -> str:
        until = self.loop.wall() + title.seconds + self.config["tokens"]["session_s"]
        name, host = self.core.session_name(answer.session), answer.server.decode()
        return self.sessions.sign(name, title.name, host, top, answer.epoch, until)

    def _respond_with_manifest(
        self, exchange: Exchange, title: Title, request: ViewerRequest, answer: AnswerRequest
    ) -> None:
        settings = self.config.settings
        service = self.core.service_class(answer.session, request.service)
        top = min(request.best_rung, service.top)
        host, token = answer.server.decode(), self._sign_token(title, top, answer)
        shape = Shape(
            title.seconds,
            title.segment_s,
            title.live,
            tuple(kb * service.scale for kb in settings.rung_kb[service.floor : top + 1]),
            service.floor,
            f"{self.public}/dash/time",
        )
        base = f"http://{host}/s/{token}/"
        body = self.manifests.build(shape, base, f"token={token}", pathway(host), self._steering_uri(token))
        rate = round(settings.rung_kb[answer.rung] * service.scale * 8)  # kbit/s
        headers = [("Content-Type", _MANIFEST_TYPE), _NO_STORE, ("CMSD-Dynamic", f'"mintmast";mb={rate}')]
        exchange.respond(200, headers, body)
