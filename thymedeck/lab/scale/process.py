"""Processes of a sweep: kernel counters of a process, and worker processes that carry out commands."""

import multiprocessing
import os
import resource
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from types import TracebackType
from typing import Any

COMMAND_TIMEOUT = 900.0  # seconds that a worker may take for a command


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used so far, from the kernel's counter in nanoseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def open_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def set_resource_limits() -> None:
    """Raises the limit of descriptors to the hard limit, and limits memory to half of the machine's.

    Both hold for this process and, each by itself, for every process that it starts.
    """
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    half = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2
    resource.setrlimit(resource.RLIMIT_DATA, (half, resource.getrlimit(resource.RLIMIT_DATA)[1]))


class Worker:
    """A process that runs `main(pipe, *arguments)`; it receives commands as tuples and answers each."""

    def __init__(self, main: Callable[..., None], *arguments: object) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, worker_pipe = context.Pipe()
        self.process = context.Process(target=main, args=(worker_pipe, *arguments), daemon=True)
        self.process.start()
        worker_pipe.close()

    def send_command(self, *command: object) -> None:
        """Sends a command; its answer has to be taken with `receive_answer`."""
        self.pipe.send(command)

    def receive_answer(self) -> Any:  # noqa: ANN401 (the type depends on the command)
        """Raises EOFError if the worker has ended, TimeoutError if it does not answer in time."""
        if not self.pipe.poll(COMMAND_TIMEOUT):
            raise TimeoutError("the worker process does not answer")
        return self.pipe.recv()

    def call(self, *command: object) -> Any:  # noqa: ANN401
        """Sends a command and returns its answer."""
        self.send_command(*command)
        return self.receive_answer()

    def close(self) -> None:
        self.process.kill()
        self.process.join()
        self.pipe.close()

    def __enter__(self) -> "Worker":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def run_in_subprocess(measure: Callable[..., dict], **arguments: object) -> dict:
    """Runs a measurement in a new process, so that its memory is not mixed with that of earlier ones."""
    with Worker(run_measurement, measure, arguments) as worker:
        result = worker.receive_answer()
    if isinstance(result, BaseException):
        raise result
    return result


def run_measurement(pipe: Connection, measure: Callable[..., dict], arguments: dict) -> None:
    set_resource_limits()
    try:
        pipe.send(measure(**arguments))
    except Exception as error:
        pipe.send(error)
