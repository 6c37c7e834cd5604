"""`mintmast config publish|status|take-over`: the shared settings of running gateways."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from mintmast.cli.operate import administrative
from mintmast.config.shared import SharedError, read
from mintmast.decisions.gateways.history import MAX_PATCH_BYTES

PATH = "/v1/configuration"


def publish(file: str, admin: str, token: str) -> int:
    """Publish the patch in a file; 0 done, 1 not done, 2 bad use."""
    try:
        patch = read(Path(file).read_bytes(), MAX_PATCH_BYTES)
    except (OSError, SharedError) as error:
        print(f"mintmast: {file}: {error}", file=sys.stderr)
        return 2
    if not isinstance(patch, dict):
        print(f"mintmast: {file}: a patch is an object", file=sys.stderr)
        return 2
    return _order(admin, token, PATH, patch)


def take_over(admin: str, token: str, sure: bool) -> int:
    """Make a gateway the publisher; 0 done, 1 not done, 2 bad use or not confirmed."""
    if not sure:
        print(
            "mintmast: what the publisher of before numbers after this is lost. See that it is down or that "
            "nobody publishes there, then say --yes",
            file=sys.stderr,
        )
        return 2
    return _order(admin, token, f"{PATH}/take-over", {})


def _order(admin: str, token: str, path: str, body: dict[str, Any]) -> int:
    code, told = administrative(admin, token, "POST", path, body)
    if told is not None:
        print(f"revision {_name(told)} is numbered and on disk there; the others follow")
    return code


def _name(told: dict[str, Any]) -> str:
    return f"{told['term']}.{told['number']}/{told['digest']}"


def lines_of(told: dict[str, Any]) -> list[str]:
    """Give what one gateway says as a line, and a further one for each thing that is wrong."""
    what = ["publisher"] if told["publisher"] else []
    what += [] if told["settled"] else ["has just started"]
    if told["behind_s"] is not None:
        what.append(f"behind for {told['behind_s']:.1f} s")
    lines = [f"{told['gateway']}: {_name(told)}{' (' + ', '.join(what) + ')' if what else ''}"]
    if told["refused"]:
        lines.append(f"  refused {told['refused']['head']}: {told['refused']['fault']}")
    if told["misfit"]:
        lines.append(f"  serves with what it had before: {told['misfit']}")
    if told["forks"]:
        lines.append(f"  {told['forks']} numbers seen that name two documents: take over")
    return lines


def status(admins: tuple[str, ...], token: str, as_json: bool) -> int:
    """Ask each gateway and print; 0 all answered with one head and nothing wrong, 1 not, 2 bad use."""
    told, bad = [], 0
    for admin in admins:
        code, answer = administrative(admin, token, "GET", PATH, None)
        if answer is None:
            bad = max(bad, code)
        else:
            told.append(answer)
    if as_json:
        print(json.dumps(told, sort_keys=True))
    else:
        print("\n".join(line for each in told for line in lines_of(each)))
    if len({_name(each) for each in told}) > 1:
        print("mintmast: they are not at one revision (yet)", file=sys.stderr)
        bad = max(bad, 1)
    if any(each["refused"] or each["misfit"] or each["behind_s"] is not None for each in told):
        bad = max(bad, 1)
    return bad
