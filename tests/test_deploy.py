"""The lines of the deploy file, held to what the platform asks: one process, bounded, writing nowhere."""

import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from test_node_process import check_health, free_port, wait_for_event, write_config

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
# tells of all that the platform refuses or that would not outlive it, as the interpreter sees it
WATCH = """
import os, sys
def hook(event, args, out=os.open(os.environ["WATCH"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)):
    told = ""
    if event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        told = f"writes {args[0]}"
    elif event in ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen"):
        told = f"starts {event}"
    elif event == "socket.__new__":
        told = f"socket {int(args[1])} {int(args[2]) & 0xF}"
    if told:
        os.write(out, told.encode() + b"\\n")
sys.addaudithook(hook)
"""


@pytest.fixture
def gateway(tmp_path):
    """The gateway as `run` starts it; gives its process, its port and the file of what was seen of it."""
    (tmp_path / "tmp").mkdir()
    (tmp_path / "watch").mkdir()
    (tmp_path / "watch/sitecustomize.py").write_text(WATCH)
    port, seen = free_port(), tmp_path / "seen"
    env = {"PATH": os.environ["PATH"], "TMPDIR": str(tmp_path / "tmp"), "PYTHONPATH": str(tmp_path / "watch")}
    env |= {"WATCH": str(seen), "NODE_NAME": "n0", "NODE_LISTEN": f"127.0.0.1:{port}"}
    env["NODE_CONFIG"] = str(write_config(tmp_path / "config.json", port))
    line = DEPLOY["run"].replace(".venv/bin/python", sys.executable)
    process = subprocess.Popen(["/bin/sh", "-c", line], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    try:
        wait_for_event(process, "serving")
        yield process, port, seen
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_run_ends_in_one_process_that_the_bench_can_look_into(gateway):
    process, port, _ = gateway
    assert DEPLOY["run"].startswith("exec .venv/bin/python ")
    assert check_health(port).cause == 1
    proc = Path(f"/proc/{process.pid}")
    assert b"mintmast" in proc.joinpath("cmdline").read_bytes()  # the shell is gone, its number is reused
    assert not "".join(each.read_text() for each in proc.glob("task/*/children"))
    maps = proc.joinpath("maps").read_text()
    assert "/libc.so" in maps or "/libc-" in maps


def test_run_opens_ipv4_sockets_only_writes_nothing_and_starts_nothing(gateway):
    process, port, seen = gateway
    check_health(port)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.wait(30) == 0
    told = seen.read_text().splitlines()
    sockets = {each for each in told if each.startswith("socket")}
    assert sockets == {"socket 2 1"}  # TCP over IPv4, also for what wakes the loop
    others = [e for e in told if e not in sockets and "__pycache__" not in e and e != "writes /dev/null"]
    assert others == []


def test_each_path_of_the_deploy_file_is_there():
    for path in DEPLOY["policy"] + DEPLOY["node"]:
        assert ROOT.joinpath(path).exists(), path
