"""Moves of sessions off a draining host: the state machine of a move, and the planner that admits moves.

A move is break-before-make under a lease: the old session is terminated, and that is certain, before the new
one is set up; the player's buffer bridges the gap. First the lease at the old host is shortened, so that even
if the reply to the termination is lost the lease expires while the buffer lasts. Nothing is terminated before
the module has found a place.

`TRANSITIONS` is the complete state machine: the session book follows it, and the model check explores it with
hosts that crash and a network that loses, delays and duplicates messages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mintmast import interface as api
from mintmast.decisions.sessions.budget import Budget
from mintmast.interface import Effect

SECOND = 1_000_000
# Lease of a session about to be moved: long enough for the termination or its reply to be lost twice and
# tried again, short enough that a usual player's buffer (8 s and more) outlasts it
SHORT_LEASE = 2 * SECOND
# Timeout of the call that shortens the lease; a host that takes longer is too slow for a move
PREPARE_TIME = SECOND // 2
# Timeout of the termination's reply, after which the place found is given back. If the place were held
# longer, a set-up could reach a cold host in a later pacing window than the one that the module counted
END_QUICK = SECOND // 4
# Time allowed for the set-up at the new host and the player's next request: a few round trips and the host's
# processing
SET_UP_ALLOWANCE = SECOND
# A session with less time left than this ends by itself about as soon as a move would complete
LEAST_LEFT = 4 * SECOND
# Concurrent moves of one gateway, and of one host among them. Each is one set-up. The module's pacing of cold
# hosts and its capacity check limit where sessions go; these limit how many are between two hosts at a time
IN_FLIGHT, IN_FLIGHT_HOST = 32, 16
# Backoff of a host's moves after one found no capacity, doubled each time up to the maximum: each attempt
# costs the module a request, and retries do not free capacity
NO_ROOM, NO_ROOM_MOST = SECOND // 2, 8 * SECOND
# A candidate that has not polled for this long has stopped polling
CANDIDATE_AGE = 15 * SECOND


class Stage(Enum):
    """The state of a session's move."""

    PLAYS = "plays"
    PREPARING = "preparing"  # the lease at the old host is being shortened
    PLACING = "placing"  # the module is choosing a host; the old session still plays
    ENDING = "ending"  # a place is held; the old session is being terminated
    WAITING = "waiting"  # the reply to the termination is overdue: waits for the lease; no place is held
    REPLACING = "replacing"  # certainly ended at the old host; the module is choosing a host again
    SETTING_UP = "setting up"  # certainly ended at the old host; the new set-up is under way
    MOVED = "moved"
    LOST = "lost"  # ended at the old host, and no place found or the new set-up failed
    OVER = "over"  # ended for a reason other than the move


class Signal(Enum):
    """An input of the state machine of a move."""

    GRANTED = "granted"
    SHORT = "short"  # the old host has accepted the short lease, and the buffer outlasts it
    NOT_SHORT = "not short"  # the old host did not reply in time, or the buffer is too short
    PLACED = "placed"
    NO_ROOM = "no room"
    ENDED = "ended"  # the old host confirmed that it no longer holds the session
    OVERDUE = "overdue"  # no reply to the termination within its timeout
    LEASE_OVER = "lease over"
    OLD_DIED = "old died"  # the old host's process is gone
    UP = "up"
    DOWN = "down"  # the new set-up failed permanently
    TAKEN_BACK = "taken back"  # the drain was revoked
    LEFT = "left"  # the viewer has left, or the clip has ended


class Act(Enum):
    """What the book executes on a transition."""

    SHORTEN = "shorten"
    PLACE = "place"
    END = "end"
    RELEASE = "release"  # give the held place back unused
    SET_UP = "set up"
    LEAD = "lead"  # steer the player to the new host
    STAY = "stay"  # steer the player to its present host
    TELL_LOST = "tell lost"
    CALL_OFF = "call off"
    FORGET = "forget"


_S, _G, _A = Stage, Signal, Act
# (stage, signal): (next stage, actions). A pair that is not listed changes nothing.
TABLE: dict[tuple[Stage, Signal], tuple[Stage, tuple[Act, ...]]] = {
    (_S.PLAYS, _G.GRANTED): (_S.PREPARING, (_A.SHORTEN,)),
    (_S.PREPARING, _G.SHORT): (_S.PLACING, (_A.PLACE,)),
    (_S.PREPARING, _G.NOT_SHORT): (_S.PLAYS, (_A.STAY,)),
    (_S.PREPARING, _G.TAKEN_BACK): (_S.PLAYS, (_A.STAY,)),
    (_S.PREPARING, _G.OLD_DIED): (_S.OVER, (_A.TELL_LOST,)),
    (_S.PREPARING, _G.LEFT): (_S.OVER, (_A.FORGET,)),
    (_S.PLACING, _G.PLACED): (_S.ENDING, (_A.END,)),
    (_S.PLACING, _G.NO_ROOM): (_S.PLAYS, (_A.STAY,)),
    (_S.ENDING, _G.ENDED): (_S.SETTING_UP, (_A.SET_UP,)),
    (_S.ENDING, _G.OLD_DIED): (_S.SETTING_UP, (_A.SET_UP,)),
    (_S.ENDING, _G.LEASE_OVER): (_S.SETTING_UP, (_A.SET_UP,)),
    (_S.ENDING, _G.OVERDUE): (_S.WAITING, (_A.RELEASE,)),
    (_S.ENDING, _G.LEFT): (_S.OVER, (_A.RELEASE, _A.FORGET)),
    (_S.WAITING, _G.ENDED): (_S.REPLACING, (_A.PLACE,)),
    (_S.WAITING, _G.OLD_DIED): (_S.REPLACING, (_A.PLACE,)),
    (_S.WAITING, _G.LEASE_OVER): (_S.REPLACING, (_A.PLACE,)),
    (_S.WAITING, _G.LEFT): (_S.OVER, (_A.FORGET,)),
    (_S.REPLACING, _G.PLACED): (_S.SETTING_UP, (_A.SET_UP,)),
    (_S.REPLACING, _G.NO_ROOM): (_S.LOST, (_A.TELL_LOST,)),
    (_S.SETTING_UP, _G.UP): (_S.MOVED, (_A.LEAD,)),
    (_S.SETTING_UP, _G.DOWN): (_S.LOST, (_A.TELL_LOST,)),
    (_S.SETTING_UP, _G.LEFT): (_S.OVER, (_A.CALL_OFF, _A.FORGET)),
}
# stages that have no further transition
FINAL = frozenset({Stage.MOVED, Stage.LOST, Stage.OVER})
# stages in which the old session may still play, so that the new one must not be set up
OLD_MAY_PLAY = frozenset({Stage.PLAYS, Stage.PREPARING, Stage.PLACING, Stage.ENDING, Stage.WAITING})


def step(stage: Stage, signal: Signal) -> tuple[Stage, tuple[Act, ...]]:
    """Return the next stage and the actions to execute."""
    return TABLE.get((stage, signal), (stage, ()))


def bridges(buffer: int, lease_left: int) -> bool:
    """Return whether a buffer (µs) outlasts the longest time that a move leaves the player without a host."""
    return buffer >= max(0, lease_left) + SET_UP_ALLOWANCE


@dataclass(slots=True)
class _Candidate:
    left: int
    worth: float
    heard: int


@dataclass(slots=True)
class _Host:
    candidates: dict[int, _Candidate] = field(default_factory=dict)
    moving: set[int] = field(default_factory=set)
    not_before: int = 0
    in_vain: int = 0
    ends: int | None = None  # when the host will be switched off, if known


class MovePlanner:
    """Decides at a player's poll whether its session moves now.

    The sessions that would delay the drain longest move first, the more valuable ones among equals, within
    the limits on concurrent moves. A move counts against the retry budget, as it sends a session once more.
    """

    def __init__(self, settings: api.Settings, budget: Budget) -> None:
        self.settings, self.budget = settings, budget
        self._hosts: dict[bytes, _Host] = {}
        self.in_flight = 0

    def drains(self, server: bytes, on: bool, ends: int | None = None) -> None:
        """Record that a host drains or no longer does, with the time of its switch-off if that is known."""
        if not on:
            host = self._hosts.pop(server, None)
            if host is not None and host.moving:
                self._hosts[server] = _Host(moving=host.moving)
            return
        self._hosts.setdefault(server, _Host()).ends = ends

    def why_not(
        self, now: int, server: bytes, session: int, service: api.ServiceClass, left: int | None, buffer: int
    ) -> str:
        """Return why the session is not moved now, "" if it may move.

        It has `remaining` µs left to play, None for no end, and the player has buffered `buffer` µs.
        """
        if service.effect is not Effect.FREE:
            return "its class must not be set up again"
        host = self._hosts.setdefault(server, _Host())
        ends_first = host.ends is not None and left is not None and now + left <= host.ends
        if ends_first or (left is not None and left < LEAST_LEFT):
            host.candidates.pop(session, None)
            return "it ends by itself"
        most = SECOND * 10**6 if left is None else left
        host.candidates[session] = _Candidate(most, service.worth, now)
        if not bridges(buffer, SHORT_LEASE):
            return "its buffer is too short"
        if now < host.not_before:
            return "no room elsewhere"
        if self.in_flight >= IN_FLIGHT or len(host.moving) >= IN_FLIGHT_HOST:
            return "others are moving"
        if not self.budget.allows(now):
            return "the budget of further attempts is spent"
        if self._rank(now, host, session) >= 2 * (IN_FLIGHT_HOST - len(host.moving)):
            return "others hold the drain longer"
        return ""

    def _rank(self, now: int, host: _Host, session: int) -> int:
        mine = host.candidates[session]
        for number in [n for n, each in host.candidates.items() if each.heard < now - CANDIDATE_AGE]:
            del host.candidates[number]
        return sum(
            (each.left, each.worth) > (mine.left, mine.worth)
            for number, each in host.candidates.items()
            if number not in host.moving
        )

    def begin(self, now: int, server: bytes, session: int) -> None:
        """Count a move as started."""
        host = self._hosts.setdefault(server, _Host())
        host.moving.add(session)
        host.candidates.pop(session, None)
        self.in_flight += 1

    def end(self, now: int, server: bytes, session: int, outcome: Signal) -> None:
        """Count a move as ended, whether or not it succeeded."""
        host = self._hosts.get(server)
        if host is None or session not in host.moving:
            return
        host.moving.discard(session)
        self.in_flight -= 1
        if outcome is Signal.NO_ROOM:
            host.not_before = now + min(NO_ROOM_MOST, NO_ROOM << min(host.in_vain, 10))
            host.in_vain += 1
        elif outcome is Signal.UP:
            host.in_vain = 0
