"""Access tokens of viewers and session tokens for hosts: JWT (RFC 7519, RFC 7515, RFC 8725).

The algorithm is that of the key that `kid` names, never one from the token. Audience and expiry are required.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import jwt
import msgspec

# bytes of a token; real ones have a few hundred
MAX_TOKEN_BYTES = 4096
# audience of session tokens: an access token must not be valid at a host, nor a session token at a gateway
SEGMENT_AUDIENCE = "mintmast-segments"


class TokenError(Exception):
    """An invalid token; `forbidden` if it is genuine but does not permit the request."""

    def __init__(self, reason: str, forbidden: bool = False) -> None:
        super().__init__(reason)
        self.forbidden = forbidden


class Keys:
    """Keys by `kid`, each with its only algorithm. Raises TokenError for a key that cannot be used."""

    def __init__(self, jwks: list[dict[str, Any]]) -> None:
        self.keys = {}
        for jwk in jwks:
            try:
                self.keys[jwk["kid"]] = jwt.PyJWK(jwk), jwk["alg"]
            except (jwt.PyJWTError, ValueError, KeyError) as error:
                raise TokenError(f"key {jwk.get('kid')}: {error}") from None

    def verify(
        self, token: str, audience: str, skew: float, now: float, require: list[str]
    ) -> dict[str, Any]:
        """Return the claims of a valid token; `skew` and `now` in seconds. Raises TokenError."""
        if len(token) > MAX_TOKEN_BYTES:
            raise TokenError("the token is too long")
        try:
            # the library would decode the whole token to read its header; only `kid` is needed here, and it
            # selects the key and the algorithm before any claim is trusted
            header = msgspec.json.decode(jwt.utils.base64url_decode(token.partition(".")[0]))
            kid = header.get("kid") if isinstance(header, dict) else None
            if not isinstance(kid, str) or kid not in self.keys:
                raise TokenError("the token's key is not known")
            key, algorithm = self.keys[kid]
            claims = jwt.decode(
                token,
                key,
                algorithms=[algorithm],
                audience=audience,
                options={"require": require, "verify_exp": False, "verify_nbf": False, "verify_iat": False},
            )
        except jwt.PyJWTError as error:
            raise TokenError(f"the token is not good: {error}") from None
        except (ValueError, TypeError, msgspec.DecodeError, RecursionError):
            raise TokenError("the token is malformed") from None
        for name in ("exp", "nbf"):
            if name in claims and (
                isinstance(claims[name], bool) or not isinstance(claims[name], int | float)
            ):
                raise TokenError(f"{name} is not a time")
        if "exp" in claims and now >= claims["exp"] + skew:  # on or after (RFC 7519, 4.1.4)
            raise TokenError("the token has expired")
        if now < claims.get("nbf", 0) - skew:
            raise TokenError("the token is not valid yet")
        return claims

    def sign(self, kid: str, claims: dict[str, Any]) -> str:
        """Sign claims with the key `kid`."""
        key, algorithm = self.keys[kid]
        return jwt.encode(claims, key, algorithm=algorithm, headers={"kid": kid})


@dataclass(slots=True, frozen=True)
class Viewer:
    """The holder of an access token, and what it permits."""

    subject: str
    tenant: str
    service: str
    best_rung: int
    key: str
    title: str | None


class AccessTokens:
    """Checks access tokens: claims `sub`, `tenant`, `class`, and optionally `rung`, `title`, `jti`."""

    def __init__(self, keys: Keys, audience: str, skew: float) -> None:
        self.keys, self.audience, self.skew = keys, audience, skew

    def check(self, token: str, now: float) -> Viewer:
        """Return the viewer of a valid token; `now` in seconds since 1970. Raises TokenError."""
        claims = self.keys.verify(token, self.audience, self.skew, now, ["exp", "aud", "sub"])
        texts = {name: claims.get(name, "") for name in ("sub", "tenant", "class", "jti")}
        if not all(isinstance(each, str) for each in texts.values()):
            raise TokenError("a claim is not text")
        rung, title = claims.get("rung", 255), claims.get("title")
        if isinstance(rung, bool) or not isinstance(rung, int) or not 0 <= rung <= 255:
            raise TokenError("rung is not a rung")
        if title is not None and not isinstance(title, str):
            raise TokenError("title is not text")
        return Viewer(texts["sub"], texts["tenant"], texts["class"], rung, texts["jti"], title)


class SessionTokens:
    """Signs and checks session tokens, which name session, title, host, best rung, epoch and expiry."""

    def __init__(self, keys: Keys, signer: str | None, skew: float) -> None:
        self.keys, self.signer, self.skew = keys, signer, skew

    def sign(self, session: str, title: str, host: str, rung: int, epoch: int, until: float) -> str:
        """Return the token of a session at a host, valid until a time in seconds since 1970."""
        claims = {
            "aud": SEGMENT_AUDIENCE,
            "sid": session,
            "ttl": title,
            "hst": host,
            "rng": rung,
            "epo": epoch,
        }
        return self.keys.sign(self.signer or "", {**claims, "exp": int(until)})

    def check(self, token: str, now: float) -> dict[str, Any]:
        """Return the claims of a valid token; `now` in seconds since 1970. Raises TokenError."""
        required = ["exp", "aud", "sid", "ttl", "hst", "epo"]
        return self.keys.verify(token, SEGMENT_AUDIENCE, self.skew, now, required)
