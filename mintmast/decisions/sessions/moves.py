"""Moving sessions off a draining host: the states of a move as one table, and who moves when.

Break before make under a lease: the old session is ended and that is sure before the new one is set up, and
the player's buffer bridges the time between. First the lease at the old host is made short, so that even if
the answer to the end is lost, the lease is over while the buffer lasts. Nothing is ended before the module
has found a place.

`TABLE` is the whole machine: the session book follows it, and the model check walks it against hosts that die
and a network that loses, delays and repeats.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mintmast import interface as api
from mintmast.decisions.sessions.budget import RetryBudget
from mintmast.interface import Effect

SECOND = 1_000_000
# µs; the lease of a session about to be moved: long enough for an end and its answer to be lost and tried
# again twice, short enough for a usual player's buffer (8 s and more) to outlast it
SHORT_LEASE_US = 2 * SECOND
# µs for the call that makes the lease short; a host that takes longer is not fit for a quick move
PREPARE_TIMEOUT_US = SECOND // 2
# µs for the answer to the end before the place found is given back: kept longer, a set-up could reach a cold
# host in another window than the one in which the module counted it
MOVE_TERMINATION_TIMEOUT_US = SECOND // 4
# µs that a set-up at the new host and the player's next request may take: a few round trips and the host's
# work
SET_UP_ALLOWANCE_US = SECOND
# µs; a session with less left than this ends by itself about as soon as a move would be through
MIN_REMAINING_US = 4 * SECOND
# moves of one gateway under way at once, and of one host among them: each is one set-up; the module's cold
# pace and slot test bound where they go, these bound how much is between two hosts at a time
MAX_MOVES, MAX_MOVES_PER_HOST = 32, 16
# µs; after a move found no room its host's next is tried so much later, doubled each time up to the second:
# each try is a request to the module, and a fleet without room does not get it by being asked
NO_ROOM_BACKOFF_US, MAX_NO_ROOM_BACKOFF_US = SECOND // 2, 8 * SECOND
# µs; a candidate not heard of for so long polls no more
CANDIDATE_MAX_AGE_US = 15 * SECOND


class Stage(Enum):
    """Where a session stands in its move."""

    PLAYS = "plays"
    PREPARING = "preparing"  # its lease at the old host is being made short
    PLACING = "placing"  # the module is asked; the old session plays on
    ENDING = "ending"  # a place is held; the old session is being ended
    WAITING = "waiting"  # the end's answer is overdue: the lease decides; no place is held
    REPLACING = "replacing"  # surely over at the old host; the module is asked again
    SETTING_UP = "setting up"  # surely over at the old host; the new set-up is out
    MOVED = "moved"
    LOST = "lost"  # over at the old host and no place found
    OVER = "over"  # ended for another reason than the move


class Signal(Enum):
    """What happens to a move."""

    GRANTED = "granted"
    SHORT = "short"  # the old host has taken the short lease, and the buffer outlasts it
    NOT_SHORT = "not short"  # it did not answer in time, or the buffer would not last
    PLACED = "placed"
    NO_ROOM = "no room"
    ENDED = "ended"  # the old host says that it holds the session no more
    OVERDUE = "overdue"  # no answer to the end in its time
    LEASE_OVER = "lease over"
    OLD_DIED = "old died"  # the old host's process is gone
    UP = "up"
    DOWN = "down"  # the new set-up failed for good
    TAKEN_BACK = "taken back"  # the drain is over
    LEFT = "left"  # the viewer has gone, or the clip is at its end


class Action(Enum):
    """What follows from a signal."""

    SHORTEN = "shorten"
    PLACE = "place"
    END = "end"
    RELEASE = "release"  # give the place back unused
    SET_UP = "set up"
    LEAD = "lead"  # send the player to the new host
    STAY = "stay"  # tell the player to stay where it is
    TELL_LOST = "tell lost"
    CALL_OFF = "call off"
    FORGET = "forget"


_S, _G, _A = Stage, Signal, Action
# (stage, signal): next stage, acts. What is not here changes nothing.
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
# stages at which nothing follows any more
FINAL_STAGES = frozenset({Stage.MOVED, Stage.LOST, Stage.OVER})
# stages at which the old session may still play: the new one must not be set up in any of them
STAGES_OLD_MAY_PLAY = frozenset({Stage.PLAYS, Stage.PREPARING, Stage.PLACING, Stage.ENDING, Stage.WAITING})


def transition_for(stage: Stage, signal: Signal) -> tuple[Stage, tuple[Action, ...]]:
    """Give the next stage and what to do."""
    return TRANSITIONS.get((stage, signal), (stage, ()))


def buffer_covers_move(buffer: int, lease_remaining: int) -> bool:
    """Tell whether a buffer (µs) outlasts the longest that a move may leave the player without a host."""
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
    drain_deadline: int | None = None  # when the drain ends, if that was told


class MovePlanner:
    """Decides at a player's poll whether its session moves now.

    Sessions that would hold the drain longest go first, those of more worth among equals; no more at once
    than the bounds; a move is one further attempt of the budget, as it sends a viewer's session once more.
    """

    def __init__(self, settings: api.Settings, budget: RetryBudget) -> None:
        self.settings, self.budget = settings, budget
        self._hosts: dict[bytes, _DrainingHost] = {}
        self.moves_under_way = 0

    def set_draining(self, server: bytes, is_draining: bool, drain_deadline: int | None = None) -> None:
        """Take note that a host drains, with the time at which it will be switched off if that is known."""
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
        """Say why the session is not moved now, '' where it is; `left` µs are to play, None for ever."""
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
        """Count a move begun."""
        host = self._hosts.setdefault(server, _DrainingHost())
        host.moving.add(session)
        host.candidates.pop(session, None)
        self.moves_under_way += 1

    def end_move(self, now: int, server: bytes, session: int, outcome: Signal) -> None:
        """Count a move that is over, one way or the other."""
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
