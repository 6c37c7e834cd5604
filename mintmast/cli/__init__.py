"""The command line. Exit 0: good; 1: a rule or check failed; 2: bad use or input."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from mintmast.cli.scale import scale


def _bad(lines: list[str]) -> None:
    for line in lines:
        click.echo(f"mintmast: {line}", err=True)
    sys.exit(2)


ADMIN = [
    click.option("--admin", required=True, help="Administrative address of the gateway, HOST:PORT."),
    click.option("--token", envvar="MINTMAST_ADMIN_TOKEN", default="", help="Operators' token."),
]


def _administrative(command: Any) -> Any:
    for option in reversed(ADMIN):
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="mintmast")
def main() -> None:
    """Place and shape video sessions on a fleet of media hosts."""


@main.command()
@click.argument("config", type=click.Path())
def serve(config: str) -> None:
    """Run the gateway with the settings in CONFIG until SIGTERM or SIGINT."""
    from mintmast.process import serve as run

    sys.exit(run(config))


@main.command()
@click.argument("config", envvar="NODE_CONFIG", type=click.Path())
def node(config: str) -> None:
    """Run the gateway that speaks the platform's set-up messages, with the configuration in CONFIG."""
    from mintmast.signalling.process import run

    sys.exit(run(config))


@main.group()
def config() -> None:
    """Look at and check settings."""


@config.command("schema")
def config_schema() -> None:
    """Print the JSON Schema of the settings."""
    from mintmast.config import SCHEMA

    click.echo(json.dumps(SCHEMA, indent=2))


@config.command("check")
@click.argument("file", type=click.Path())
def config_check(file: str) -> None:
    """Check FILE; every error is told with its place, the value and what is allowed."""
    from mintmast.config import ConfigError, load

    try:
        config = load(file)
    except ConfigError as error:
        _bad(error.errors)
        return
    counts = len(config.entries), len(config.titles), len(config.classes)
    click.echo("good: {} hosts, {} titles, {} classes".format(*counts))


@config.command("publish")
@click.argument("patch", type=click.Path())
@_administrative
def config_publish(patch: str, admin: str, token: str) -> None:
    """Change the shared settings of all gateways by the JSON Merge Patch in the file PATCH."""
    from mintmast.cli.configuration import publish

    sys.exit(publish(patch, admin, token))


@config.command("status")
@click.option("--admin", "admins", multiple=True, required=True, help="HOST:PORT; may be given often.")
@click.option("--token", envvar="MINTMAST_ADMIN_TOKEN", default="", help="Operators' token.")
@click.option("--json", "as_json", is_flag=True, help="Print what each said as JSON.")
def config_status(admins: tuple[str, ...], token: str, as_json: bool) -> None:
    """Tell which revision of the shared settings gateways have in force, and what is wrong."""
    from mintmast.cli.configuration import status

    sys.exit(status(admins, token, as_json))


@config.command("take-over")
@click.option("--yes", is_flag=True, help="The publisher of before is down, or nobody publishes there.")
@_administrative
def config_take_over(yes: bool, admin: str, token: str) -> None:
    """Make the gateway at --admin the publisher of the shared settings."""
    from mintmast.cli.configuration import take_over

    sys.exit(take_over(admin, token, yes))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--class", "service", required=True, help="Class of sessions that the viewer may play.")
@click.option("--tenant", default="", help="Tenant whose viewer it is.")
@click.option("--subject", default="viewer", show_default=True, help="Who the viewer is.")
@click.option("--rung", type=int, default=255, help="Highest rung that the viewer can use.")
@click.option("--life", type=int, default=600, show_default=True, help="Seconds until it expires.")
@click.option("--key", default="", help="The wish's key (jti); a paid key is set up once.")
def token(file: str, service: str, tenant: str, subject: str, rung: int, life: int, key: str) -> None:
    """Sign an access token with the first access key of the settings in FILE, for trying things out."""
    import time

    from mintmast.config import ConfigError, load
    from mintmast.fronts.tokens import Keys, TokenError

    try:
        settings = load(file)
        jwk = settings["tokens"]["access"][0]
        claims: dict[str, Any] = {
            "aud": settings["tokens"]["audience"], "sub": subject, "tenant": tenant, "class": service,
            "rung": rung, "exp": int(time.time()) + life,
        }  # fmt: skip
        if key:
            claims["jti"] = key
        click.echo(Keys([jwk]).sign(jwk["kid"], claims))
    except ConfigError as error:
        _bad(error.errors)
    except (TokenError, TypeError, ValueError) as error:
        _bad([f"{file}: {error}"])


@main.command()
@click.argument("url")
@click.option("--token", default="", help="Access token, sent as a bearer token.")
@click.option("--wait", type=float, default=5.0, show_default=True, help="Seconds to wait for an answer.")
@click.option("--most", type=float, default=60.0, show_default=True, help="Seconds of media to play at most.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def play(url: str, token: str, wait: float, most: float, as_json: bool) -> None:
    """Play the manifest at URL as a player does, and report start time, rungs and stalls."""
    from urllib.parse import urlsplit

    from mintmast.http.client import ClientLimits, HttpClient
    from mintmast.loop.real import SelectorLoop
    from mintmast.player import Player, Report

    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        _bad([f"{url}: {error}"])
        return
    if parts.scheme != "http" or not parts.hostname or port == 0:
        _bad([f"{url}: an http address with a host is needed"])
    loop = SelectorLoop(lambda text: click.echo(text, err=True))
    reports: list[Report] = []

    def done(report: Report) -> None:
        reports.append(report)
        loop.stop()

    headers = [("Authorization", f"Bearer {token}")] if token else []
    client = HttpClient(loop, ClientLimits(connect_time=2_000_000))
    Player(loop, client, url, headers, int(wait * 1e6), done, most=most)
    loop.run()
    report = reports[0]
    if as_json:
        click.echo(json.dumps(report.as_dict()))
    elif report.status == 200:
        rungs = ", ".join(f"{name} {seconds:.0f} s" for name, seconds in sorted(report.rungs.items()))
        click.echo(
            f"played {report.played_s:.1f} s at {report.host}, answered in {report.answer_s * 1000:.0f} ms,"
            f" first picture after {(report.start_s or 0) * 1000:.0f} ms, {rungs},"
            f" {report.stalls} stalls of {report.stalled_s:.1f} s; {report.reason}"
        )
    else:
        click.echo(f"no session: {report.status or ''} {report.reason}")
    sys.exit(0 if report.whole else 1)


@main.group()
def sources() -> None:
    """Look at and check where the list of servers comes from."""


@sources.command("check")
@click.argument("file", type=click.Path())
@click.option(
    "--settings", required=True, type=click.Path(), help="The gateway's settings, for cells and kinds."
)
def sources_check(file: str, settings: str) -> None:
    """Check FILE as a watched file of servers, and tell what it would change."""
    from mintmast.cli.sources import check

    sys.exit(check(file, settings))


@sources.command("state")
@_administrative
def sources_state(admin: str, token: str) -> None:
    """Tell of each source of a running gateway: servers, age, what is wrong, what is held back."""
    from mintmast.cli.operate import operate

    sys.exit(operate(admin, token, "GET", "/v1/sources", None))


@sources.command("schema")
def sources_schema() -> None:
    """Print the JSON Schema of a file of servers."""
    from mintmast.config.schema import SERVERS

    click.echo(json.dumps(SERVERS, indent=2))


@main.command("drain")
@click.argument("host")
@click.option("--within", type=float, help="Seconds in which it is to be empty; what ends before that stays.")
@_administrative
def drain_host(host: str, within: float | None, admin: str, token: str) -> None:
    """Drain HOST: nothing new goes there, sessions that may move do."""
    from mintmast.cli.operate import operate

    sys.exit(operate(admin, token, "POST", "/v1/drains", {"host": host, "on": True, "within_s": within}))


@main.command("undrain")
@click.argument("host")
@_administrative
def undrain_host(host: str, admin: str, token: str) -> None:
    """Take the drain of HOST back."""
    from mintmast.cli.operate import operate

    sys.exit(operate(admin, token, "POST", "/v1/drains", {"host": host, "on": False}))


@main.group("members", invoke_without_command=True)
@click.option(
    "--admin", "admins", multiple=True, help="Administrative address, HOST:PORT; may be given often."
)
@click.option("--token", envvar="MINTMAST_ADMIN_TOKEN", default="", help="Operators' token.")
@click.option("--json", "as_json", is_flag=True, help="Print what each said as JSON.")
@click.pass_context
def members_group(context: click.Context, admins: tuple[str, ...], token: str, as_json: bool) -> None:
    """Tell what gateways believe of each other, and where they disagree."""
    if context.invoked_subcommand is None:
        from mintmast.cli.members import members

        if not admins:
            _bad(["members: --admin is needed"])
        sys.exit(members(admins, token, as_json))


@members_group.command("forget")
@click.argument("name")
@click.option("--yes", is_flag=True, help="The machine is off, or its process provably ended.")
@_administrative
def members_forget(name: str, yes: bool, admin: str, token: str) -> None:
    """Say that the gateway NAME is gone for good."""
    from mintmast.cli.members import forget

    sys.exit(forget(name, admin, token, yes))


@main.command("store")
@click.argument("what", type=click.Choice(["inspect", "verify", "compact", "export"]))
@click.argument("file", type=click.Path())
def store_command(what: str, file: str) -> None:
    """Look at, check, compact or write out the FILE of what a gateway keeps; the gateway must not run."""
    from mintmast.cli.store import store

    sys.exit(store(what, file))


@main.command("moves")
@_administrative
def moves(admin: str, token: str) -> None:
    """Tell which hosts drain, which sessions move, and what holds each drain."""
    from mintmast.cli.operate import operate

    sys.exit(operate(admin, token, "GET", "/v1/moves", None))


@main.command()
@click.option("--case", "cases", multiple=True, help="Case to play; may be repeated, all without it.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=click.IntRange(1, 100_000), default=1, show_default=True, help="Seeds.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Runs at once.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object for each run.")
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the records of runs that broke a rule.",
)
def soak(cases: tuple[str, ...], seed: int, seeds: int, jobs: int, as_json: bool, keep: Path | None) -> None:
    """Run processes of the platform's gateway on loopback under seeded faults, and judge the rules."""
    from mintmast.cli.soak import soak as run

    sys.exit(run(cases, seed, seeds, jobs, as_json, keep))


@main.command()
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option(
    "--seeds", type=click.IntRange(1, 100_000), default=1, show_default=True, help="How many seeds."
)
@click.option("--net", type=click.Choice(["loopback", "memory"]), default="memory", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Days played at once.")
@click.option("--mutate", default=None, help="Build a named fault into the gateway; the drill must fail.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON report a line.")
@click.option(
    "--keep", type=click.Path(exists=True, file_okay=False), help="Write what was seen to this folder."
)
@click.option(
    "--hosts", type=click.IntRange(7, 1000), help="Media hosts; racks, titles and faults grow along."
)
@click.option("--gateways", type=click.IntRange(1, 300), help="Gateways.")
@click.option("--rate", type=click.FloatRange(0.1, 10_000), help="Viewers a second.")
@click.option("--seconds", type=click.FloatRange(4, 3600), help="Seconds of load.")
@click.option("--uplink-kb", type=click.FloatRange(1), help="Each rack's uplink, kB/s; the racks then stay.")
@click.option("--titles", type=click.IntRange(1, 10_000), help="Titles of the catalogue.")
def drill(
    name: str,
    seed: int,
    seeds: int,
    net: str,
    jobs: int,
    mutate: str | None,
    as_json: bool,
    keep: str | None,
    **size: float | None,
) -> None:
    """Play the scripted day NAME and check the rules from what passed on the sockets."""
    from mintmast.cli.drill import drill as run

    asked = {name: value for name, value in size.items() if value is not None}
    sys.exit(run(name, seed, seeds, net, jobs, mutate, as_json, keep, asked))


@main.command()
@click.option("--seconds", type=float, default=6.0, show_default=True, help="Length of the clip.")
def demo(seconds: float) -> None:
    """Start a gateway and stand-in hosts on loopback, play a session to its end, and say what was seen."""
    from mintmast.cli.demo import demo as run

    sys.exit(run(seconds))


main.add_command(scale)
