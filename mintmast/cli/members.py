"""`mintmast members`: what gateways believe of each other, and where they disagree."""

from __future__ import annotations

import json
import sys
from typing import Any

from mintmast.cli.operate import administrative


def table(told: list[dict[str, Any]]) -> list[str]:
    """Give the lines of a table of what each gateway that answered says of each."""
    names = sorted({name for each in told for name in (*each["members"], each["gateway"])})
    lines = []
    for name in names:
        said = {each["gateway"]: each["members"][name] for each in told if name in each["members"]}
        stands = sorted({about["stands"] for about in said.values()})
        faults = [
            f"{who}: {about['path']}" for who, about in sorted(said.items()) if about["path"] != "whole"
        ]
        line = f"{name}: {', '.join(stands) if stands else 'answers here'}"
        if len(stands) > 1:
            line += (
                " (THEY DISAGREE: "
                + "; ".join(f"{w} says {a['stands']}" for w, a in sorted(said.items()))
                + ")"
            )
        lines.append(line + (f" [path from {'; '.join(faults)}]" if faults else ""))
    for each in told:
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
    agree = all(
        len({each["members"][name]["stands"] for each in told if name in each["members"]}) <= 1
        for name in {name for each in told for name in each["members"]}
    )
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
