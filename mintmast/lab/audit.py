"""The audit: the six rules checked from what passed on the sockets of stand-ins and viewers.

Never from a gateway's word. A record is a dict with `at` (µs of the stage's clock) and `what`. Each check
counts what it looked at, so that a rule of which nothing was seen cannot pass for kept.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

Row = dict[str, Any]
RULES = ("answered_once", "set_up_once", "drains", "cold", "terms", "budget")


@dataclass(slots=True)
class Terms:
    """What the audit must know of the stage: times in µs."""

    drain_grace: int
    slack: int  # by which the order of things seen at different ends may be off
    floor: dict[bool, int]  # lowest rung of paid and of free sessions
    seats: int  # sessions of one title that a gateway may hold in the paid class; 0 for no limit
    span: int = 0  # window of the budget; 0 for none
    under_way: int = 0  # longest from the gateway's counting of an attempt to its arrival at a host
    free: float = 0.0
    ratio: float = 0.0
    lives: bool = False  # a gateway's seats count over all its lives: it keeps records


@dataclass(slots=True)
class Findings:
    """Per rule: how many cases were checked, and what broke."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    broken: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})

    def see(self, rule: str, *faults: str) -> None:
        """Book one case, with what is wrong with it."""
        self.checked[rule] = self.checked.get(rule, 0) + 1
        self.broken.setdefault(rule, []).extend(faults)

    def as_dict(self) -> dict[str, Any]:
        """Give it for JSON; at most ten faults a rule are told in full."""
        return {
            rule: {
                "checked": self.checked[rule],
                "broken": len(self.broken[rule]),
                "first": sorted(self.broken[rule])[:10],
            }
            for rule in self.checked
        }

    @property
    def good(self) -> bool:
        """Tell whether every rule was checked and none broken."""
        return not any(self.broken.values()) and self.checked["answered_once"] > 0


def audit(rows: list[Row], terms: Terms) -> Findings:
    """Check all rules."""
    by: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        by[row["what"]].append(row)
    found = Findings()
    _answers(by, found, terms)
    _once(by, found, terms)
    _drains(by, found, terms)
    _cold(by, found)
    _terms(by, found, terms)
    if terms.span:
        _budget(by, found, terms)
    for row in by["votes"]:
        found.see("votes_at_end", *[f"{row['gateway']} does not vote"] * (not row["votes"]))
    return found


def _answers(by: dict[str, list[Row]], found: Findings, terms: Terms) -> None:
    kills = _dead(by)
    for row in by["request_over"]:
        # a request on its way when the gateway died came to no running gateway
        begin = row["asked_at"] - terms.slack
        killed = any(begin <= back and at <= row["at"] for at, back in kills[row["gateway"]])
        if row["left"] or row["fault"] in ("refused", "not connected", "cut unsent") or killed:
            continue  # nobody waited, or no running gateway took it to its end
        wrong = [] if row["status"] is not None else [f"{row['request']}: no answer, {row['fault']}"]
        if row["status"] is not None and row["at"] - row["asked_at"] > row["patience"]:
            wrong.append(f"{row['request']}: answered too late")
        found.see("answered_once", *wrong)
    for row in by["unasked"]:
        found.see("answered_once", *[f"second answer at {row['place']}"] * row["times"])


def _dead(by: dict[str, list[Row]]) -> dict[str, list[tuple[int, int]]]:
    """Give the spans in which each gateway's process did not run, or stood still."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for begin, end in (("gateway_killed", "gateway_started"), ("gateway_stopped", "gateway_went_on")):
        for row in by[begin]:
            back = [each["at"] for each in by[end] if each["gateway"] == row["gateway"]]
            until = min((at for at in back if at >= row["at"]), default=1 << 62)
            spans[row["gateway"]].append((row["at"], until))
    return spans


def _once(by: dict[str, list[Row]], found: Findings, terms: Terms) -> None:
    ran: dict[str, list[Row]] = defaultdict(list)
    for row in by["ran"]:
        if row["paid"]:
            ran[row["key"]].append(row)
    for key, rows in ran.items():
        found.see("set_up_once", *[f"{key}: ran {len(rows)} times"] * (len(rows) > 1))
    for row in by["request_over"]:
        if row["paid"] and row["status"] == 503 and row["refusal"]:
            before = [each for each in ran[row["key"]] if each["at"] < row["at"]]
            found.see("set_up_once", *[f"{row['key']}: refused after it ran"] * bool(before))
    spans = _attempts(by)
    for name, attempts in spans.items():
        attempts.sort()
        for (_, first_end, first), (begin, _, second) in zip(attempts, attempts[1:], strict=False):
            both = begin < first_end - terms.slack
            found.see("set_up_once", *[f"{name}: attempts {first} and {second} out together"] * both)


def moves(rows: list[Row], found: Findings) -> dict[str, int]:
    """Check that no moved session was set up while the one before it might play; give what was counted."""
    over: dict[str, int] = {}
    for row in rows:
        if row["what"] == "session_over":
            over[row["session"]] = row["since"]
        elif row["what"] == "host_died":
            over.update(dict.fromkeys(row["sessions"], row["at"]))
    moved = together = 0
    paid: dict[str, int] = {}
    for row in rows:
        if row["what"] == "ran" and row["paid"]:
            paid[row["key"]] = paid.get(row["key"], 0) + 1
        if row["what"] != "ran" or not row["came_from"]:
            continue
        moved += 1
        both = over.get(row["came_from"], 1 << 62) > row["at"]
        together += both
        faults = [f"{row['session']}: ran while {row['came_from']} played"] * both
        found.see("set_up_once", *faults, *[f"{row['session']}: a paid session was moved"] * row["paid"])
    doubles = sum(count > 1 for count in paid.values())
    return {"moved": moved, "epochs_together": together, "double_paid": doubles}


def membership(rows: list[Row], found: Findings, terms: Terms) -> dict[str, int]:
    """Check set-ups against every version of the list that was ever written, from the writer's record.

    A host may be sent work from the first good version that has it ready; and until the grace after a good
    version that calls it draining or gone, or has it no more and still so when a held-back version must be
    believed.
    """
    ready_from: dict[str, int] = {}
    stopped: dict[str, list[tuple[int, int]]] = defaultdict(list)  # host: spans in which it must get nothing
    for row in rows:
        if row["what"] != "list_written":
            continue
        for host, state in row["states"].items():
            if state == "ready":
                ready_from.setdefault(host, row["at"])
                if stopped[host] and stopped[host][-1][1] == 1 << 62:
                    stopped[host][-1] = stopped[host][-1][0], row["at"]
            elif not stopped[host] or stopped[host][-1][1] != 1 << 62:
                stopped[host].append((row["at"], 1 << 62))
    never = past = 0
    for row in rows:
        if row["what"] != "set_up_came":
            continue
        unlisted = row["at"] < ready_from.get(row["host"], 1 << 62)
        late = any(
            begin + terms.drain_grace + terms.slack < row["at"] < end for begin, end in stopped[row["host"]]
        )
        never, past = never + unlisted, past + late
        faults = [f"{row['session']}: sent to {row['host']}, which no version named"] * unlisted
        found.see("drains", *faults, *[f"{row['session']}: sent to {row['host']} past the grace"] * late)
    return {"sent_to_unlisted": never, "sent_past_grace": past}


def _attempts(by: dict[str, list[Row]]) -> dict[str, list[tuple[int, int, int]]]:
    """Give for each session its attempts as (came, answered or left, epoch)."""
    ends: dict[tuple, int] = {}
    for what in ("set_up_answered", "set_up_left"):
        for row in by[what]:
            key = row["host"], row["session"], row["epoch"]
            ends[key] = min(ends.get(key, row["at"]), row["at"])
    spans: dict[str, list[tuple[int, int, int]]] = defaultdict(list)
    for row in by["set_up_came"]:
        key = row["host"], row["session"], row["epoch"]
        spans[row["session"]].append((row["at"], ends.get(key, 1 << 62), row["epoch"]))
    return spans


def _drains(by: dict[str, list[Row]], found: Findings, terms: Terms) -> None:
    ends: dict[str, list[int]] = defaultdict(list)
    for row in by["drains"]:
        if not row["on"]:
            ends[row["host"]].append(row["at"])
    for row in by["host_died"]:
        ends[row["host"]].append(row["at"])
    came: dict[tuple[str, str], list[int]] = defaultdict(list)
    for row in by["set_up_came"]:
        came[row["host"], row["who"]].append(row["at"])
    for row in by["drain_told"]:
        begin = row["at"] + terms.drain_grace + terms.slack
        end = min((at for at in ends[row["host"]] if at >= row["at"]), default=1 << 62)
        late = [at for at in came[row["host"], row["who"]] if begin < at < end]
        found.see("drains", *[f"{row['who']}: set-up at draining {row['host']}" for _ in late])


def _cold(by: dict[str, list[Row]], found: Findings) -> None:
    born = {(row["host"], row["at"]) for row in by["host_cold"]}
    spans = [
        (host, at, at + row["cold"]) for row in by["host_cold"] for host, at in born if host == row["host"]
    ]
    for row in by["set_up_came"]:
        if any(host == row["host"] and begin <= row["at"] < end for host, begin, end in spans):
            found.see("cold")
    for row in by["fell"]:
        found.see("cold", f"{row['host']} fell over: {row['sent']} set-ups, {row['most']:.1f} borne")


def _terms(by: dict[str, list[Row]], found: Findings, terms: Terms) -> None:
    paid: dict[str, bool] = {}
    for row in by["ran"]:
        paid[row["session"]] = bool(row["paid"])
    for row in (*by["ran"], *by["rung"]):
        floor = terms.floor[paid.get(row["session"], False)]
        low = row["rung"] < floor
        found.see("terms", *[f"{row['session']}: rung {row['rung']} under the floor {floor}"] * low)
    if not terms.seats:
        return
    over: dict[tuple, int] = {}
    for row in by["session_over"]:
        over[row["host"], row["session"]] = row["since"]
    for row in by["host_died"]:
        for session in row["sessions"]:
            over.setdefault((row["host"], session), row["at"])
    unheard = {(row["session"], row["epoch"]) for what in ("answer_lost", "answer_cut") for row in by[what]}
    unheard |= {(row["session"], row["epoch"]) for row in by["set_up_left"]}
    changes: dict[tuple, list[tuple[int, int, str]]] = defaultdict(list)
    for row in by["ran"]:
        if row["paid"] and (row["session"], row["epoch"]) not in unheard:
            place = row["who"].partition("&")[0] if terms.lives else row["who"], row["title"]
            end = over.get((row["host"], row["session"]), 1 << 62)
            changes[place] += [(row["at"], 1, row["session"]), (end, -1, row["session"])]
    for place, steps in changes.items():
        held: set[str] = set()
        most: set[str] = set()
        for _, step, session in sorted(steps):
            held = held | {session} if step > 0 else held - {session}
            most = max(most, held, key=len)
        full = len(most) > terms.seats
        found.see("terms", *[f"{place}: {sorted(most)} on {terms.seats} seats"] * full)


def _budget(by: dict[str, list[Row]], found: Findings, terms: Terms) -> None:
    taken: dict[str, list[int]] = defaultdict(list)
    for row in by["request_over"]:
        taken[row["gateway"]].append(row["asked_at"])
    first: dict[str, int] = {}
    further: dict[str, list[int]] = defaultdict(list)
    for row in sorted(by["set_up_came"], key=lambda row: (row["at"], row["epoch"])):
        if row["session"] in first or row.get("came_from"):
            further[row["who"]].append(row["at"])
        first.setdefault(row["session"], row["at"])
    # attempts that arrive within `span` less `under_way` were all counted within one `span`, and every viewer
    # who asked in that span is among those counted here: what is too much here was too much at the gateway
    window_of = terms.span - terms.under_way - terms.slack
    for who, times in further.items():
        gateway = who.partition("&")[0].removeprefix("gateway=")
        for at in times:
            window = sum(1 for each in times if at - window_of < each <= at)
            begin = at - terms.span - terms.under_way - terms.slack
            asked = sum(1 for each in taken[gateway] if begin <= each <= at + terms.slack)
            most = terms.free + terms.ratio * asked
            found.see("budget", *[f"{who}: {window} further attempts, {most:.1f} allowed"] * (window > most))


def worth(rows: list[Row]) -> Iterator[tuple[str, float, float]]:
    """Yield (class, asked, answered) of each wish: worth by the second at the rung watched, over its best."""
    for row in rows:
        if row["what"] == "wish_over":
            yield row["service"], row["worth_asked"], row["worth_answered"]
