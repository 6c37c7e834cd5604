"""How gateways know each other while links, processes and clocks fail: each hard case by name, or drawn ones.

Faults lie between the gateways; viewers and hosts go on as they can. The load asks for paid keys again, also
elsewhere, but where several gateways die at once: claims live through one death at a time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from itertools import permutations
from typing import Any

from mintmast.lab.drills.day import Day, Drill
from mintmast.lab.drills.roaming import Roamers, kill_if_all_vote
from mintmast.lab.drills.viewers import Viewers

Case = Callable[[Any, Day, random.Random, float], float]
# s that a gateway's process may need to start on a busy machine, and to vote
START = 4.0


def _ways(stage: Any, begin: float, end: float, pairs: list[tuple[int, int]], **more: Any) -> float:
    """Let something befall these ways for a while."""
    for pair in pairs:
        stage.at(begin, partial(stage.way, *pair, **more))
        stage.at(end, stage.way, *pair)
    return end


def _all(day: Day) -> list[tuple[int, int]]:
    return list(permutations(range(day.gateways), 2))


def _two(day: Day, draw: random.Random) -> tuple[int, int]:
    one, other = draw.sample(range(day.gateways), 2)
    return one, other


def one_way(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Cut one way between two gateways."""
    return _ways(stage, at, at + draw.choice((1.0, 4.0, 8.0)), [_two(day, draw)], is_cut=True)


def unheard(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let one hear the others, and nobody hear it."""
    one = draw.randrange(day.gateways)
    pairs = [pair for pair in _all(day) if pair[0] == one]
    return _ways(stage, at, at + draw.choice((3.0, 8.0)), pairs, is_cut=True)


def half(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let exactly half of the others hear one."""
    one = draw.randrange(day.gateways)
    pairs = [pair for pair in _all(day) if pair[0] == one]
    return _ways(stage, at, at + draw.choice((3.0, 8.0)), draw.sample(pairs, len(pairs) // 2), is_cut=True)


def split(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Cut the region in two."""
    part = set(draw.sample(range(day.gateways), day.gateways // 2))
    pairs = [(a, b) for a, b in _all(day) if (a in part) != (b in part)]
    return _ways(stage, at, at + draw.choice((3.0, 8.0)), pairs, is_cut=True)


def flapping(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let a path come and go."""
    one, other = _two(day, draw)
    end = at + 9.0
    while at < end:
        gone = draw.uniform(0.3, 3.0)
        _ways(stage, at, at + gone, [(one, other), (other, one)], is_cut=True)
        at += gone + draw.uniform(0.3, 3.0)
    return at


def losses(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Lose a fifth of all datagrams."""
    return _ways(stage, at, at + 12.0, _all(day), loss=0.2)


def doubles(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Double a third of all datagrams, and let some come after later ones."""
    pairs = draw.sample(_all(day), day.gateways)
    _ways(stage, at, at + 8.0, pairs, duplication=0.3, extra_delay=30_000)
    rest = [pair for pair in _all(day) if pair not in pairs]
    return _ways(stage, at, at + 8.0, rest, duplication=0.3)


def swallows(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let connections between two stand open with nothing coming through."""
    one, other = _two(day, draw)
    return _ways(stage, at, at + 6.0, [(one, other), (other, one)], is_black_hole=True)


def resets(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Reset all connections between two, over and over."""
    one, other = _two(day, draw)
    for number in range(20):
        stage.at(at + 0.3 * number, stage.reset, one, other)
    return at + 6.0


def shorts(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Cut writes in half and break their connections."""
    one, other = _two(day, draw)
    return _ways(stage, at, at + 6.0, [(one, other), (other, one)], truncation=0.3)


def stopped(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let one process stand still, while its keys are asked for elsewhere."""
    one, span = draw.randrange(day.gateways), draw.choice((0.2, 1.0, 5.0, 12.0))
    stage.at(at, stage.stop_gateway, one)
    stage.at(at + span, stage.continue_gateway, one)
    return at + span


def all_but_one(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let all processes but one stand still."""
    left = draw.randrange(day.gateways)
    for number in range(day.gateways):
        if number != left:
            stage.at(at, stage.stop_gateway, number)
            stage.at(at + 3.0 + draw.uniform(0, 2), stage.continue_gateway, number)
    return at + 5.0


def behind(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Let one answer, but late: it stands still for most of each second."""
    one = draw.randrange(day.gateways)
    for number in range(8):
        stage.at(at + number, stage.stop_gateway, one)
        stage.at(at + number + 0.85, stage.continue_gateway, one)
    return at + 8.0


def killed(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Kill one process; it comes back with its files or without."""
    one, back = draw.randrange(day.gateways), draw.uniform(0.2, 2.0)
    files = draw.random() < 0.5
    stage.at(at, partial(kill_if_all_vote, stage, day, one, back, files=files))
    return at + back + START


def clock(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Start one anew with its clock ten minutes ahead."""
    one = draw.randrange(day.gateways)
    stage.at(at, partial(kill_if_all_vote, stage, day, one, 0.5, wall_shift=600.0))
    return at + 0.5 + START


def vanished(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Take a machine away, start two others anew one after the other, and bring it back."""
    lost, one, other = draw.sample(range(day.gateways), 3)
    stage.at(at, stage.vanish_gateway, lost)
    stage.at(at + 5.0, kill_if_all_vote, stage, day, one, 0.5, lost)
    stage.at(at + 6.0 + START, kill_if_all_vote, stage, day, other, 0.5, lost)
    stage.at(at + 8.0 + 2 * START, stage.start_gateway, lost)
    return at + 8.0 + 3 * START


def moves(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Start one at another address while its process of before runs on for a while: two of one name."""
    overlap = draw.choice((0.0, 2.0, 4.0))
    stage.at(at, stage.move_gateway, draw.randrange(day.gateways), overlap)
    return at + overlap + START


def secrets(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Put the new secret first at all but one that is cut off, which follows; all know both."""
    one = draw.randrange(day.gateways)
    pairs = [pair for pair in _all(day) if one in pair]
    stage.at(at, lambda: setattr(stage, "secrets", stage.secrets[::-1]))
    end = at + 0.5
    for number in [each for each in range(day.gateways) if each != one]:
        stage.at(end, kill_if_all_vote, stage, day, number, 0.3, one)
        end += 0.5 + START
    _ways(stage, at, end, pairs, is_cut=True)
    stage.at(end, kill_if_all_vote, stage, day, one, 0.3)
    return end + START


def _two_secrets(stage: Any, day: Day) -> None:
    stage.secrets = [*stage.secrets, "another secret of thirty-two letters"]


def three_of_five(stage: Any, day: Day, draw: random.Random, at: float) -> float:
    """Kill more than half at once; they come back in any order."""
    end = at
    for number in draw.sample(range(day.gateways), day.gateways // 2 + 1):
        back = at + draw.uniform(0.2, 3.0)
        stage.at(at, stage.kill_gateway, number)
        stage.at(back, stage.start_gateway, number)
        end = max(end, back)
    return end + START


CASES: dict[str, Case] = {
    "one-way": one_way, "unheard": unheard, "half": half, "split": split, "flapping": flapping,
    "losses": losses, "doubles": doubles, "swallows": swallows, "resets": resets, "shorts": shorts,
    "stopped": stopped, "all-but-one": all_but_one, "behind": behind, "killed": killed, "clock": clock,
    "vanished": vanished, "moves": moves,
}  # fmt: skip
# of these the drawn days are made; the others take a day of their own
DRAWN = tuple(name for name in CASES if name not in ("clock", "vanished", "moves"))
DAY = Day(gateways=5, rate=8.0, load_s=24.0, whole_s=46.0, uplink_kb=1200.0)
LONG = Day(gateways=5, rate=8.0, load_s=34.0, whole_s=60.0, uplink_kb=1200.0)


def drawn(stage: Any, day: Day, seed: int) -> None:
    """Draw faults one after the other, some of them while the one before lasts."""
    draw = random.Random(f"{seed}/faults")
    at, end = draw.uniform(2.0, 4.0), 0.0
    while at < day.load_s - 10:
        end = CASES[draw.choice(DRAWN)](stage, day, draw, at)
        at = draw.choice((end, (at + end) / 2)) + draw.uniform(0.2, 3.0)


def _one(case: Case, stage: Any, day: Day, seed: int) -> None:
    draw = random.Random(f"{seed}/faults")
    case(stage, day, draw, draw.uniform(3.0, 4.0))


DRILLS = {
    "members": Drill(drawn, DAY, load=Roamers, links=True),
    **{
        f"members-{name}": Drill(
            partial(_one, case), LONG if name == "vanished" else DAY, load=Roamers, links=True
        )
        for name, case in CASES.items()
    },
    "members-secrets": Drill(partial(_one, secrets), LONG, _two_secrets, Roamers, True),
    "members-three-of-five": Drill(partial(_one, three_of_five), DAY, load=Viewers, links=True),
}
