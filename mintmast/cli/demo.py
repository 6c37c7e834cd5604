"""`mintmast demo`: the whole path on loopback, once."""

from __future__ import annotations

from functools import partial

from mintmast.lab.drills import FREE, PAID, Day, model, settings
from mintmast.lab.loopback import LoopbackStage
from mintmast.player import Player, Report


def demo(seconds: float) -> int:
    """Play one paid and one free session; 0 when both played to their end."""
    day = Day(hosts=4, gateways=1)
    conf = settings(day)
    for title in conf["titles"].values():
        title["seconds"] = seconds
    stage = LoopbackStage(1, conf, model(day))
    reports: dict[str, Report] = {}
    try:
        for number in range(day.hosts):
            stage.start_host(number)
        stage.start_gateway(0)
        stage.begin()
        names = ", ".join(host.name for host in stage.hosts.values())
        print(f"gateway at {stage.gateway_url(0)}, stand-in hosts at {names}")

        def done(service: str, report: Report) -> None:
            reports[service] = report
            if len(reports) == 2:
                stage.loop.call_at(stage.now() + 200_000, stage.loop.stop)

        def begin() -> None:
            for service in (PAID, FREE):
                token = stage.token(f"driver-{service}", "north-tv", service, 3, f"demo-{service}")
                url = f"{stage.gateway_url(0)}/dash/gate-2/manifest.mpd"
                headers = [("Authorization", f"Bearer {token}")]
                over = partial(done, service)
                Player(stage.loop, stage.client, url, headers, 3_000_000, over)

        stage.at(0.5, begin)
        stage.run(seconds + 30)
    finally:
        stage.close()
    for service, report in sorted(reports.items()):
        rungs = ", ".join(f"{name} {held:.0f} s" for name, held in sorted(report.rungs.items()))
        print(
            f"{service}: answer {report.status} after {report.answer_s * 1000:.0f} ms, played"
            f" {report.played_s:.1f} s at {report.host} on rungs {rungs}, {report.stalls} stalls"
        )
    ran = [row for row in stage.rows if row["what"] == "ran"]
    over = [row for row in stage.rows if row["what"] == "session_over"]
    print(f"set up at the hosts: {len(ran)} sessions, ended there: {len(over)}")
    good = (
        len(reports) == 2 and all(report.whole for report in reports.values()) and len(ran) == len(over) == 2
    )
    print("all good" if good else "NOT good")
    return 0 if good else 1
