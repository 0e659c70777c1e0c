"""Run the programs as real processes on loopback, and end only processes started here."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60
END_TIMEOUT_S = 60


def environment(**extra: str) -> dict[str, str]:
    """Return the environment of a program, with this interpreter's scripts first on PATH."""
    scripts_folder = str(Path(sys.executable).parent)
    return {**os.environ, "PATH": f"{scripts_folder}:{os.environ['PATH']}", **extra}


def run_program(
    *arguments: str, timeout_s: int = END_TIMEOUT_S, **extra: str
) -> subprocess.CompletedProcess[str]:
    """Run a program and return its result; the exit code is not checked."""
    return subprocess.run(
        arguments,
        cwd=ROOT,
        env=environment(**extra),
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )


class Daemon:
    """Run a program in the background and write its output to a log file."""

    def __init__(
        self, *arguments: str, log_path: Path, max_fds: int | None = None, **extra: str
    ) -> None:
        self.log_path = log_path
        self.log_file = log_path.open("w")

        def limit_descriptors() -> None:
            if max_fds is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        self.process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            env=environment(**extra),
            stdout=self.log_file,
            stderr=subprocess.STDOUT,
            preexec_fn=limit_descriptors,
        )

    def output(self) -> str:
        return self.log_path.read_text()

    def wait_for_output(self, text: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while text not in self.output():
            assert self.process.poll() is None, self.output()
            assert time.monotonic() < deadline, self.output()
            time.sleep(0.05)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(END_TIMEOUT_S)
        self.log_file.close()

    def terminate(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        exit_code = self.process.wait(END_TIMEOUT_S)
        self.log_file.close()
        return exit_code
