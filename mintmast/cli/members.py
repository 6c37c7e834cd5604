"""`mintmast members`: what gateways believe of each other, and where they disagree."""

from __future__ import annotations

import json
import sys
from typing import Any

from mintmast.cli.operate import administrative


def _said(told: list[dict[str, Any]]) -> dict[str, dict[str, dict[str, Any]]]:
    """Give, for each gateway by name, what each that answered says of it."""
    names = sorted({name for each in told for name in (*each["members"], each["gateway"])})
    return {
        name: {each["gateway"]: each["members"][name] for each in told if name in each["members"]}
        for name in names
    }


def _stands(said: dict[str, dict[str, Any]]) -> list[str]:
    return sorted({about["stands"] for about in said.values()})


def table(told: list[dict[str, Any]]) -> list[str]:
    """Give the lines of a table of what each gateway that answered says of each."""
    lines = []
    for name, said in _said(told).items():
        stands = _stands(said)
        faults = [
            f"{who}: {about['path']}" for who, about in sorted(said.items()) if about["path"] != "whole"
        ]
        line = f"{name}: {', '.join(stands) if stands else 'answers here'}"
        if len(stands) > 1:
            words = "; ".join(f"{who} says {about['stands']}" for who, about in sorted(said.items()))
            line += f" (THEY DISAGREE: {words})"
        lines.append(line + (f" [path from {'; '.join(faults)}]" if faults else ""))
    for each in told:
        witness = each.get("witness", {"votes": True, "waits_for": [], "held_aside": {}})
        if not witness["votes"]:
            waits = ", ".join(witness["waits_for"]) or "the time of old claims"
            lines.append(f"{each['gateway']} does not vote on all paid keys: it waits for {waits}")
        for name, aside in sorted(witness["held_aside"].items()):
            lines.append(f"{each['gateway']} holds {', '.join(aside)} aside towards {name}")
        if each["condemned"]:
            lines.append(f"{each['gateway']} gives no votes: {each['condemned']}")
        elif not each["steady"]:
            lines.append(f"{each['gateway']} has not heard from enough others yet")
    return lines


def members(admins: tuple[str, ...], token: str, as_json: bool) -> int:
    """Ask each gateway and print; 0 all answered and agree, 1 not, 2 bad use."""
    told, bad = [], 0
    for admin in admins:
        code, answer = administrative(admin, token, "GET", "/v1/members", None)
        if answer is None:
            bad = max(bad, code)
        elif not answer:
            print(f"mintmast: {admin}: this gateway knows no others", file=sys.stderr)
            bad = max(bad, 1)
        else:
            told.append(answer)
    if as_json:
        print(json.dumps(told, sort_keys=True))
    else:
        print("\n".join(table(told)))
    agree = all(len(_stands(said)) <= 1 for said in _said(told).values())
    return bad or (0 if agree else 1)


def forget(name: str, admin: str, token: str, sure: bool) -> int:
    """Tell a gateway that another is gone for good; 0 done, 1 not done, 2 bad use or not confirmed."""
    if not sure:
        print(
            f"mintmast: what only {name} knew of paid keys counts as lost after this; if its process runs "
            "anywhere, a viewer may be charged twice. See that its machine is off, then say --yes",
            file=sys.stderr,
        )
        return 2
    code, answer = administrative(admin, token, "POST", "/v1/members/forget", {"name": name})
    if answer is not None:
        print("\n".join(table([answer])))
    return code
