"""Processes on loopback stay within their limits while clients ignore those of HTTP."""

from __future__ import annotations

import itertools
import json
import socket
import sys
from pathlib import Path

import pytest
from attrs import define, field

from hornbeamreach.platform.settings import SETTINGS_VARIABLE

from .builders import (
    daemon_process,
    large_platform_configuration,
    platform_configuration,
    platform_heartbeat,
    platform_process,
    to_toml,
)
from .hostile_clients import Crowd, LimitedProcess, wait_for_answer
from .processes import Daemon

MAX_FDS = 400
MEMORY_MB = {"entry": 100, "control": 140}
DAEMON_MEMORY_MB = 140
IPS = {"control": "127.0.46.1", "entry": "127.0.46.2"}
# In the order of their ports.
LISTENERS = ("link", "metrics", "control", "frontend", "readiness", "http")
ORDINARY_REQUESTS = {
    "entry frontend": ("entry frontend", "/unknown/0123456789abcdef", (404,)),
    "entry readiness": ("entry readiness", "/", (200, 503)),
    "entry metrics": ("entry metrics", "/", (200,)),
    "entry http": ("entry http", "/healthz", (200,)),
    "control control": ("control control", "/config/read", (200,)),
    "control metrics": ("control metrics", "/", (200,)),
    "control link": ("control control", "/config/read", (200,)),
    "control http": ("control http", "/healthz", (200,)),
}
KIB = 1024
MIB = 1024 * KIB

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n"
BODY_HEAD = b"POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\nCredential: key-1\r\n"
CHUNKED_HEAD = BODY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def unended_body(announced: int, sent: int) -> bytes:
    return BODY_HEAD + b"Content-Length: %d\r\n\r\n" % announced + b" " * sent


def nested_heartbeat(size: int) -> bytes:
    """Return a heartbeat that has a field of tiny JSON values in each other."""
    depth = 100
    value = b"[" * depth + b"]" * depth + b","
    plain = json.dumps(platform_heartbeat()).encode()
    nested = value * (size // len(value)) + b"0"
    body = b'%s,"nested":[%s]}' % (plain[:-1], nested)
    head = b"POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


# Connections, and what each of them sends.
CROWDS = {
    "header lines": (12, HEAD + b"a:b\r\n" * (450 * KIB // 5)),
    "complete heads": (12, HEAD + b"a:b\r\n" * (450 * KIB // 5) + b"\r\n"),
    "a header line": (12, HEAD + b"a: " + b"b" * (450 * KIB)),
    "empty lines": (12, b"\r\n" * (2 * MIB)),
    "silent": (450, b""),
    "half a head": (450, HEAD),
    "pipelined requests": (150, REQUEST * (MIB // len(REQUEST))),
    "unended bodies": (340, unended_body(256 * KIB, 250 * KIB)),
    "large unended bodies": (340, unended_body(512 * KIB, 500 * KIB)),
    "trailers": (12, CHUNKED_HEAD + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * (2 * MIB // 5)),
    "chunk extensions": (12, CHUNKED_HEAD + b"1" + b";a=b" * (MIB // 2)),
    "unread configurations": (150, b"GET /config/read HTTP/1.1\r\nHost: a\r\n\r\n"),
    "nested values": (1, nested_heartbeat(3_500_000)),
}


def free_ports(*hosts: str) -> int:
    """Return the first of consecutive ports that are free on all hosts."""
    for _ in range(100):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            first = probe.getsockname()[1]
        sockets = []
        try:
            for host, offset in itertools.product(hosts, range(len(LISTENERS))):
                listener = socket.socket()
                sockets.append(listener)
                listener.bind((host, first + offset))
            return first
        except (OSError, OverflowError):
            pass
        finally:
            for listener in sockets:
                listener.close()
    raise AssertionError("no free ports")


@define(kw_only=True)
class Site:
    """Start one control replica and one entry with limits, and know their addresses."""

    folder: Path
    first_port: int
    processes: list[LimitedProcess] = field(factory=list)

    def start(self, role: str, *command: str, settings: dict, **environment: str) -> LimitedProcess:
        (self.folder / f"{role}.toml").write_text(to_toml(settings))
        daemon = Daemon(
            *command, log_path=self.folder / f"{role}.log", max_fds=MAX_FDS, **environment
        )
        memory_mb = settings["limits"]["memory-mb"] if "limits" in settings else DAEMON_MEMORY_MB
        process = LimitedProcess(daemon=daemon, memory_mb=memory_mb, max_fds=MAX_FDS)
        self.processes.append(process)
        return process

    def start_on_platform(self, role: str) -> LimitedProcess:
        settings = platform_process(
            role,
            IPS[role],
            control_ip=IPS["control"],
            first_port=self.first_port,
            data_folder=str(self.folder / "data"),
            **{"memory-mb": MEMORY_MB[role], "max-fds": MAX_FDS},
        )
        path = str(self.folder / f"{role}.toml")
        command = (sys.executable, "deploy/run.py", role)
        return self.start(role, *command, settings=settings, **{SETTINGS_VARIABLE: path})

    def start_daemon(self, role: str) -> LimitedProcess:
        settings = daemon_process(
            role,
            IPS[role],
            control_ip=IPS["control"],
            first_port=self.first_port,
            data_folder=str(self.folder / "data"),
        )
        path = self.folder / f"{role}.toml"
        return self.start(role, f"hornbeamreach-{role}", f"--settings={path}", settings=settings)

    def address(self, listener: str) -> str:
        role, name = listener.split()
        return f"{IPS[role]}:{self.first_port + LISTENERS.index(name)}"

    def declare(self, configuration: dict) -> None:
        body = json.dumps(configuration).encode()
        address = self.address("control control")
        wait_for_answer(address, "POST", "/config/replace", (200,), body=body)

    def check_answer(self, listener: str) -> None:
        """Check that an ordinary request is answered: by the same process for its link."""
        listener, path, statuses = ORDINARY_REQUESTS[listener]
        wait_for_answer(self.address(listener), "GET", path, statuses)

    def check_crowd(self, process: LimitedProcess, listener: str, crowd: str) -> None:
        """Check that a process stays within its limits and answers beside a crowd."""
        self.check_answer(listener)
        connections, payload = CROWDS[crowd]
        with Crowd(address=self.address(listener), connections=connections, payload=payload):
            process.settle()
            process.check_limits()
            self.check_answer(listener)
            process.check_limits()


@pytest.fixture
def site(tmp_path):
    site = Site(folder=tmp_path, first_port=free_ports(*IPS.values()))
    yield site
    for process in site.processes:
        process.daemon.kill()


def cases(crowds_by_listener: dict[str, list[str]]) -> list:
    return [
        pytest.param(listener, crowd, id=f"{listener}-{crowd}".replace(" ", "_"))
        for listener, crowds in crowds_by_listener.items()
        for crowd in crowds
    ]


HEADS = ["header lines", "a header line", "empty lines", "silent", "half a head"]
STREAMS = ["unended bodies", "pipelined requests", "trailers", "chunk extensions"]
PLATFORM_CASES = {
    "entry frontend": [*HEADS, *STREAMS],
    "entry readiness": ["header lines", "silent", "pipelined requests"],
    "entry metrics": ["header lines", "silent"],
    "control control": [
        "header lines",
        "silent",
        "large unended bodies",
        "pipelined requests",
        "unread configurations",
        "nested values",
    ],
    "control metrics": ["header lines", "silent"],
    "control link": HEADS,
}
DAEMON_CASES = {
    "entry http": ["header lines", "complete heads", "empty lines", "silent"],
    "control http": ["header lines", "complete heads", "empty lines", "silent"],
}


class TestPlatformProcesses:
    @pytest.mark.parametrize(("listener", "crowd"), cases(PLATFORM_CASES))
    def test_limits_hold_and_a_request_is_answered(self, site, listener, crowd):
        process = site.start_on_platform("control")
        if listener.startswith("entry"):
            process = site.start_on_platform("entry")
        site.declare(platform_configuration())
        if crowd == "unread configurations":
            site.declare(large_platform_configuration(routes=2_800))
        site.check_crowd(process, listener, crowd)


class TestDaemons:
    @pytest.mark.parametrize(("listener", "crowd"), cases(DAEMON_CASES))
    def test_limits_hold_and_a_request_is_answered(self, site, listener, crowd):
        process = site.start_daemon(listener.split()[0])
        site.check_crowd(process, listener, crowd)
