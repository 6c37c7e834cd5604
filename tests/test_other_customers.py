"""Settings of other customers: whatever they say, one line and exit 2, or a gateway that serves."""

import copy
import random
import tomllib
from pathlib import Path

import msgspec
import pytest
from platform_world import SETTINGS, MessageKind, Platform

from mintmast.signalling.configuration import ConfigError
from mintmast.wire import WireError

# what `run` tells in one line and exit code 2
REFUSED = (ConfigError, WireError, msgspec.MsgspecError, OSError)
VALUES = [
    None,
    True,
    -1,
    0,
    0.5,
    1,
    3,
    10**9,
    10**30,
    1e308,
    "",
    "x",
    "žž",
    "a" * 300,
    [],
    {},
    [1],
    ["x"],
    [None],
]
FULL = SETTINGS | {
    "costs": {"crossZone": 0.02, "moves": 0.1, "handshake": 0.01},
    "invariants": SETTINGS["invariants"]
    | {"cold": 8_000_000, "coldFrom": 0.5, "ratioSpan": 1_000_000, "extraFree": 1, "resendRatio": 0.2}
    | {"stopSendingWithin": 1_000_000},
    "overShareWorth": 0.1,
    "weights": "rough",
    "zone": 0,
}


def places(value, path=()):
    """Give the path of every value in the settings."""
    found = [path] if path else []
    if isinstance(value, dict | list):
        for key in value if isinstance(value, dict) else range(len(value)):
            found += places(value[key], (*path, key))
    return found


def changed(settings, path, value):
    settings = copy.deepcopy(settings)
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    if value is KeyError:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return settings


def serves(settings):
    """Play a little; False where the settings were refused in one line."""
    try:
        platform = Platform("a", "b", settings=settings)
    except REFUSED as error:
        assert "\n" not in str(error)
        return False
    end = platform.viewer()
    names = [each["name"] for each in settings["services"]]
    tenant = (settings.get("accounts") or [{"name": None}])[0]["name"]
    calls = [platform.ask(end, name, ms=400, tenant=tenant) for name in names]
    platform.run(0.1)
    platform.hosts["a"].node.kill()
    calls += [platform.ask(end, name, ms=400, tenant=tenant) for name in names]
    platform.run(6)
    for call in calls if end.closed_by is None else ():
        assert len([m for m in end.of(call) if m.kind in (MessageKind.ANSWER, MessageKind.RELEASE)]) in (1, 2)
    return True


PLACES = places(FULL)


@pytest.mark.parametrize("place", PLACES, ids=lambda place: ".".join(map(str, place)))
def test_whatever_one_setting_says_it_is_refused_in_one_line_or_the_gateway_serves(place):
    for value in [*VALUES, KeyError]:
        serves(changed(FULL, place, value))


def test_settings_with_several_changes_are_refused_in_one_line_or_the_gateway_serves():
    draw, served = random.Random(5), 0
    for _ in range(300):
        settings = FULL
        for _ in range(draw.randint(2, 4)):
            try:
                settings = changed(settings, draw.choice(PLACES), draw.choice([*VALUES, KeyError]))
            except (KeyError, IndexError, TypeError):
                pass  # what the place lay in is gone
        served += serves(settings)
    assert served > 20


# names of deployments that the gateway is measured on; the variants in deploy/sites bring their own
KNOWN = "adresar corrib mangkuk registro-habla billed-route entrance-preview brzi otok hall-a live-walkround"
ROOT = Path(__file__).parent.parent


def test_no_name_of_a_deployment_stands_in_the_program_or_its_deploy_file():
    names = KNOWN.split()
    for path in (ROOT / "deploy" / "sites").glob("*.toml"):
        site = tomllib.loads(path.read_text("utf-8"))
        told = [site, *site["class"], *site.get("tenant", ()), *site["tier"], *site["tier"][0]["kind"]]
        names += [each["name"] for each in told if len(each["name"]) > 8]
    assert len(names) > 12
    program = [*(ROOT / "mintmast").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
    found = [(path.name, name) for path in program for name in names if name in path.read_text("utf-8")]
    assert found == []
