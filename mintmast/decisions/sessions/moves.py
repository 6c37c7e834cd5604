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
from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.interface import Effect

SECOND = 1_000_000
# Lease of a session about to be moved: long enough for the termination or its reply to be lost twice and
# tried again, short enough that a usual player's buffer (8 s and more) outlasts it
SHORT_LEASE_US = 2 * SECOND
# Timeout of the call that shortens the lease; a host that takes longer is too slow for a move
PREPARE_TIMEOUT_US = SECOND // 2
# Timeout of the termination's reply, after which the place found is given back. If the place were held
# longer, a set-up could reach a cold host in a later pacing window than the one that the module counted
MOVE_TERMINATION_TIMEOUT_US = SECOND // 4
# Time allowed for the set-up at the new host and the player's next request: a few round trips and the host's
# processing
SET_UP_ALLOWANCE_US = SECOND
# A session with less time left than this ends by itself about as soon as a move would complete
MIN_REMAINING_US = 4 * SECOND
# Concurrent moves of one gateway, and of one host among them. Each is one set-up. The module's pacing of cold
# hosts and its capacity check limit where sessions go; these limit how many are between two hosts at a time
MAX_MOVES, MAX_MOVES_PER_HOST = 32, 16
# Backoff of a host's moves after one found no capacity, doubled each time up to the maximum: each attempt
# costs the module a request, and retries do not free capacity
NO_ROOM_BACKOFF_US, MAX_NO_ROOM_BACKOFF_US = SECOND // 2, 8 * SECOND
# A candidate that has not polled for this long has stopped polling
CANDIDATE_MAX_AGE_US = 15 * SECOND


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


class Action(Enum):
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


_S, _G, _A = Stage, Signal, Action
# (stage, signal): (next stage, actions). A pair that is not listed changes nothing.
TRANSITIONS: dict[tuple[Stage, Signal], tuple[Stage, tuple[Action, ...]]] = {
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
FINAL_STAGES = frozenset({Stage.MOVED, Stage.LOST, Stage.OVER})
# stages in which the old session may still play, so that the new one must not be set up
STAGES_OLD_MAY_PLAY = frozenset({Stage.PLAYS, Stage.PREPARING, Stage.PLACING, Stage.ENDING, Stage.WAITING})


def transition_for(stage: Stage, signal: Signal) -> tuple[Stage, tuple[Action, ...]]:
    """Return the next stage and the actions to execute."""
    return TRANSITIONS.get((stage, signal), (stage, ()))


def buffer_covers_move(buffer: int, lease_remaining: int) -> bool:
    """Return whether a buffer (µs) outlasts the longest time that a move leaves the player without a host."""
    return buffer >= max(0, lease_remaining) + SET_UP_ALLOWANCE_US


@dataclass(slots=True)
class _Candidate:
    remaining: int
    worth: float
    last_polled: int


@dataclass(slots=True)
class _DrainingHost:
    candidates: dict[int, _Candidate] = field(default_factory=dict)
    moving: set[int] = field(default_factory=set)
    not_before: int = 0
    failures: int = 0
    drain_deadline: int | None = None  # when the host will be switched off, if known


class MovePlanner:
    """Decides at a player's poll whether its session moves now.

    The sessions that would delay the drain longest move first, the more valuable ones among equals, within
    the limits on concurrent moves. A move counts against the retry budget, as it sends a session once more.
    """

    def __init__(self, settings: api.Settings, budget: RetryBudget) -> None:
        self.settings, self.budget = settings, budget
        self._hosts: dict[bytes, _DrainingHost] = {}
        self.moves_under_way = 0

    def set_draining(self, server: bytes, is_draining: bool, drain_deadline: int | None = None) -> None:
        """Record that a host drains or no longer does, with the time of its switch-off if that is known."""
        if not is_draining:
            host = self._hosts.pop(server, None)
            if host is not None and host.moving:
                self._hosts[server] = _DrainingHost(moving=host.moving)
            return
        self._hosts.setdefault(server, _DrainingHost()).drain_deadline = drain_deadline

    def reason_to_stay(
        self,
        now: int,
        server: bytes,
        session: int,
        service: api.ServiceClass,
        remaining: int | None,
        buffer: int,
    ) -> str:
        """Return why the session is not moved now, "" if it may move.

        It has `remaining` µs left to play, None for no end, and the player has buffered `buffer` µs.
        """
        if service.effect is not Effect.FREE:
            return "its class must not be set up again"
        host = self._hosts.setdefault(server, _DrainingHost())
        ends_before_drain = (
            host.drain_deadline is not None
            and remaining is not None
            and now + remaining <= host.drain_deadline
        )
        if ends_before_drain or (remaining is not None and remaining < MIN_REMAINING_US):
            host.candidates.pop(session, None)
            return "it ends by itself"
        remaining_bound = SECOND * 10**6 if remaining is None else remaining
        host.candidates[session] = _Candidate(remaining_bound, service.worth, now)
        if not buffer_covers_move(buffer, SHORT_LEASE_US):
            return "its buffer is too short"
        if now < host.not_before:
            return "no room elsewhere"
        if self.moves_under_way >= MAX_MOVES or len(host.moving) >= MAX_MOVES_PER_HOST:
            return "others are moving"
        if not self.budget.allows(now):
            return "the budget of further attempts is spent"
        if self._rank(now, host, session) >= 2 * (MAX_MOVES_PER_HOST - len(host.moving)):
            return "others hold the drain longer"
        return ""

    def _rank(self, now: int, host: _DrainingHost, session: int) -> int:
        candidate = host.candidates[session]
        for number in [
            n for n, each in host.candidates.items() if each.last_polled < now - CANDIDATE_MAX_AGE_US
        ]:
            del host.candidates[number]
        return sum(
            (each.remaining, each.worth) > (candidate.remaining, candidate.worth)
            for number, each in host.candidates.items()
            if number not in host.moving
        )

    def begin_move(self, now: int, server: bytes, session: int) -> None:
        """Count a move as started."""
        host = self._hosts.setdefault(server, _DrainingHost())
        host.moving.add(session)
        host.candidates.pop(session, None)
        self.moves_under_way += 1

    def end_move(self, now: int, server: bytes, session: int, outcome: Signal) -> None:
        """Count a move as ended, whether or not it succeeded."""
        host = self._hosts.get(server)
        if host is None or session not in host.moving:
            return
        host.moving.discard(session)
        self.moves_under_way -= 1
        if outcome is Signal.NO_ROOM:
            host.not_before = now + min(MAX_NO_ROOM_BACKOFF_US, NO_ROOM_BACKOFF_US << min(host.failures, 10))
            host.failures += 1
        elif outcome is Signal.UP:
            host.failures = 0
