"""The gateway as a process: imported modules, signals, invalid configurations."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from platform_world import SETTINGS, host_entry, list_event

from mintmast.signalling import messages
from mintmast.signalling.messages import MessageKind, MessageReader, encode

# libraries of the other adapters, and ones that take too much memory for this process
UNWANTED = (
    "click asyncio prometheus_client opentelemetry cryptography jwt lxml jsonschema structlog logging".split()
)


MAX_PROCESS_SECONDS = 60  # s after which a test's process is killed


def write_config(path, port, **change):
    document = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "changelog": "127.0.0.1:1",
        "known": {"seq": 1, "results": [list_event(1, host_entry("a", addr="127.0.0.1:1"), full=True)]},
        "settings": SETTINGS,
    } | change
    path.write_text(json.dumps(document))
    return path


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def start_process(path):
    command = [sys.executable, "-m", "mintmast", "node", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    # a test that waits for a log line then fails, as the output ends
    timer = threading.Timer(MAX_PROCESS_SECONDS, process.kill)
    timer.daemon = True
    timer.start()
    return process


def wait_for_event(process, event):
    for line in process.stderr:
        record = json.loads(line)
        if record["event"] == event:
            return record
    raise AssertionError(f"process ended without the log event {event!r}")


def check_health(port):
    with socket.create_connection(("127.0.0.1", port), 10) as sock:
        sock.sendall(messages.encode_health_check(bytes(8)))
        return MessageReader().feed(sock.recv(100))[0]


def test_it_serves_reloads_refuses_an_invalid_configuration_and_stops_on_sigterm(tmp_path):
    port = free_port()
    path = write_config(tmp_path / "config.json", port)
    process = start_process(path)
    try:
        wait_for_event(process, "serving")
        answer = check_health(port)
        assert answer.kind == MessageKind.HEALTH_CHECK_REPLY and answer.cause == 1
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "config.json" in wait_for_event(process, "reload")["refused"]
        write_config(path, port, changelog="127.0.0.1:2")
        process.send_signal(signal.SIGHUP)
        assert wait_for_event(process, "reloaded")["changelog"] == "127.0.0.1:2"
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "stopping")
        assert check_health(port).cause == 0
        assert process.wait(30) == 0
    finally:
        process.kill()


def test_signals_before_the_configuration_is_read_are_not_lost(tmp_path):
    """The configuration is a named pipe, which blocks the start until the signals have been sent."""
    port = free_port()
    text = write_config(tmp_path / "new.json", port, changelog="127.0.0.1:2").read_text()
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = start_process(path)
    try:
        with path.open("w") as pipe:  # blocks until the process opens the configuration
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGHUP)
            (tmp_path / "new.json").replace(path)  # the next read gets a regular file
            pipe.write(text)
        assert wait_for_event(process, "reloaded")["changelog"] == "127.0.0.1:2"
        assert check_health(port).kind == MessageKind.HEALTH_CHECK_REPLY
    finally:
        process.kill()


def test_a_reload_without_a_free_descriptor_is_retried(tmp_path):
    port = free_port()
    path = write_config(tmp_path / "config.json", port)
    process = start_process(path)
    try:
        wait_for_event(process, "serving")
        limit = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (3, limit[1]))
        write_config(path, port, changelog="127.0.0.1:2")
        process.send_signal(signal.SIGHUP)
        assert "open files" in wait_for_event(process, "reload")["refused"]
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limit)
        assert wait_for_event(process, "reloaded")["changelog"] == "127.0.0.1:2"
    finally:
        process.kill()


BAD = {
    "not JSON": ("{", "config.json"),
    "no settings": ({"settings": None}, "malformed"),
    "settings that lack a key": ({"settings": SETTINGS | {"familyInfo": {}}}, "levelKb"),
    "seed not in hex": ({"seed": "zz"}, "zz"),
    "listen without a port": ({"listen": "127.0.0.1"}, "127.0.0.1"),
    "sockets that is not a number": ({"limits": {"sockets": "many"}}, "sockets"),
}


@pytest.mark.parametrize("what", BAD)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, what):
    change, expected = BAD[what]
    path = tmp_path / "config.json"
    if isinstance(change, str):
        path.write_text(change)
    else:
        write_config(path, free_port(), **change)
    process = start_process(path)
    _, error = process.communicate(timeout=30)
    assert process.returncode == 2 and error.count("\n") == 1 and expected in error


def test_no_unneeded_library_is_imported():
    program = f"import sys, mintmast.signalling.process; print([m for m in {UNWANTED} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_encoding_a_message_that_is_too_long_is_refused():
    with pytest.raises(ValueError, match="17"):
        encode(MessageKind.SET_UP, bytes(8), [(46, bytes(17_000))])


def test_a_stalled_process_logs_the_duration(tmp_path):
    port = free_port()
    process = start_process(write_config(tmp_path / "conf.json", port))
    try:
        wait_for_event(process, "serving")
        check_health(port)  # the event loop is running
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.6)
        process.send_signal(signal.SIGCONT)
        record = wait_for_event(process, "event loop stalled")
        assert 250 < record["ms"] < 20_000
        process.send_signal(signal.SIGTERM)
        rest = [json.loads(line) for line in process.stderr]
        assert process.wait(20) == 0 and rest[-1]["event"] == "stopped"
    finally:
        process.kill()
        process.wait()
