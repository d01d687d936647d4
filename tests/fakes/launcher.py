"""Child processes for tests: fakes and daemons.

A launcher kills all its processes when it is closed.
"""

from __future__ import annotations

import atexit
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import urllib3

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Launcher", "Process", "wait_until"]

REPOSITORY = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01

_http = urllib3.PoolManager(
    retries=False, timeout=urllib3.Timeout(connect=2.0, read=10.0), maxsize=8
)


def wait_until(
    condition: Callable[[], Any],
    *,
    timeout_s: float = 10.0,
    interval_s: float = POLL_INTERVAL_S,
    what: str = "the condition",
) -> Any:
    """Wait until a condition returns a true value.

    Args:
        condition: Function that is polled.
        timeout_s: Longest time to wait.
        interval_s: Time between two calls of the condition.
        what: Name of the condition in the error message.

    Returns:
        The value that the condition returned.

    Raises:
        TimeoutError: The condition did not become true in time.
    """
    until_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until_s:
            raise TimeoutError(f"waited {timeout_s} s for {what}")
        time.sleep(interval_s)


class Process:
    """A child process that prints a line ``ready HOST:PORT`` once it serves."""

    def __init__(self, *, name: str, command: list[str], directory: Path):
        self.name = name
        self.host = "127.0.0.1"
        self.port = 0
        self.stderr_file = directory / f"{name}.stderr"
        self._command = command
        self._popen: subprocess.Popen[str] | None = None
        self._ready = threading.Event()

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        """Process id of the current run."""
        assert self._popen is not None, f"{self.name} was never started"
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._popen.poll() if self._popen else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def stderr(self) -> str:
        """Return the standard error output of all runs of the process."""
        return self.stderr_file.read_text(errors="replace")

    def begin(self) -> None:
        """Start the process without waiting for its ready line."""
        self._ready.clear()
        with self.stderr_file.open("a") as stderr:
            self._popen = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
                text=True,
            )
        reader = threading.Thread(
            target=self._read_output, args=(self._popen,), daemon=True
        )
        reader.start()

    def wait_ready(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait for the ready line.

        Args:
            timeout_s: Longest time to wait.

        Raises:
            RuntimeError: The process ended or printed no ready line in time.
        """
        until_s = time.monotonic() + timeout_s
        while not self._ready.wait(POLL_INTERVAL_S):
            if self.is_running and time.monotonic() < until_s:
                continue
            raise RuntimeError(
                f"{self.name} is not ready, exit code {self.exit_code}, "
                f"standard error: {self.stderr()[-2000:]}"
            )

    def restart(self, *, wait: bool = True) -> None:
        """Start an ended process again, on the same port."""
        self._command = [self._with_port(argument) for argument in self._command]
        self.begin()
        if wait:
            self.wait_ready()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGKILL)
        self.wait_end()

    def terminate(self) -> None:
        """Send SIGTERM to the process, without waiting for its end."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process, to simulate a hung machine."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._signal(signal.SIGCONT)

    def wait_end(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit code."""
        assert self._popen is not None, f"{self.name} was never started"
        return self._popen.wait(timeout=timeout_s)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Make a JSON call to the process.

        Args:
            method: HTTP method.
            path: Path, including the query string.
            body: JSON value, or None to send no body.

        Returns:
            The decoded response body.

        Raises:
            RuntimeError: The response has an error status.
        """
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        response = _http.request(method, self.url + path, body=data, headers=headers)
        if response.status >= 400:
            raise RuntimeError(f"{self.name} {path}: {response.status} {response.data}")
        return response.json()

    def set_faults(self, **faults: Any) -> Any:
        """Set fault settings of a fake and return all of them."""
        return self.call("POST", "/control/faults", faults)

    def clear_faults(self) -> Any:
        """Reset the fault settings of a fake to those that it started with."""
        return self.call("DELETE", "/control/faults")

    def history(self) -> Any:
        """Return the history of a fake."""
        return self.call("GET", "/control/history")

    def end(self) -> None:
        """Kill the process unless it has ended, also when it is paused."""
        if self.is_running:
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self.pid, number)

    def _with_port(self, argument: str) -> str:
        return f"--port={self.port}" if argument.startswith("--port=") else argument

    def _read_output(self, popen: subprocess.Popen[str]) -> None:
        assert popen.stdout is not None
        with popen.stdout as lines:
            for line in lines:
                if line.startswith("ready "):
                    self.host, _, port = line.split()[1].rpartition(":")
                    self.port = int(port)
                    self._ready.set()


class Launcher:
    """Context manager that owns a set of child processes and their directory.

    Example::

        with Launcher() as launcher:
            log = launcher.fake("log_service", retention_records=100)
            engine = launcher.fake("engine", name="engine-1", models="m=v1")
            node = launcher.daemon({"node_id": "node-1", ...}, name="node-1")
    """

    def __init__(self) -> None:
        self.processes_by_name: dict[str, Process] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="crocuswick-")
        self.directory = Path(self._temporary.name)
        # Ends the processes if the interpreter exits without leaving the context.
        atexit.register(self.close)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all child processes and remove the directory."""
        for process in self.processes_by_name.values():
            process.end()
        self._temporary.cleanup()
        atexit.unregister(self.close)

    def fake(
        self, module: str, *, name: str = "", wait: bool = True, **settings: Any
    ) -> Process:
        """Start a fake.

        Args:
            module: Module under ``tests.fakes``.
            name: Name of the process; defaults to that of the module.
            wait: Whether to wait for the ready line.
            **settings: Command-line flags by name.

        Returns:
            The process.
        """
        arguments = [
            _flag(key, value) for key, value in {"port": 0, **settings}.items()
        ]
        command = [sys.executable, "-m", f"tests.fakes.{module}", *arguments]
        return self.start(name or module, command, wait=wait)

    def daemon(
        self, settings: dict[str, Any], *, name: str, wait: bool = True
    ) -> Process:
        """Write settings to a file and start ``crocuswickd`` with it.

        Args:
            settings: Content of the settings file.
            name: Name of the process.
            wait: Whether to wait for the ready line.

        Returns:
            The process.
        """
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [sys.executable, "-m", "crocuswick.daemon", f"--settings={path}"]
        return self.start(name, command, wait=wait)

    def start(self, name: str, command: list[str], *, wait: bool = True) -> Process:
        """Start a command that prints a ready line."""
        assert name not in self.processes_by_name, f"{name} was started already"
        process = Process(name=name, command=command, directory=self.directory)
        self.processes_by_name[name] = process
        process.begin()
        if wait:
            process.wait_ready()
        return process

    def wait_ready(self) -> None:
        """Wait until every running process has printed its ready line."""
        for process in self.processes_by_name.values():
            process.wait_ready()


def _flag(name: str, value: Any) -> str:
    if isinstance(value, bool):
        return f"--{name}" if value else f"--no{name}"
    return f"--{name}={value}"
