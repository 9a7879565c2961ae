"""Processes of a sweep: what the kernel counts of one, and workers that are told what to do."""

import multiprocessing
import os
import resource
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from types import TracebackType
from typing import Any

PATIENCE = 900.0  # seconds that a worker may take for an order


def cpu(pid: int) -> float:
    """Seconds of processor time that a process has used, by the kernel's count in nanoseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory(pid: int) -> int:
    """Bytes resident now."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def unbound() -> None:
    """As many descriptors as the system grants; of memory half of the machine's, for each that is started."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    half = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2
    resource.setrlimit(resource.RLIMIT_DATA, (half, resource.getrlimit(resource.RLIMIT_DATA)[1]))


class Worker:
    """A process that runs `main(pipe, *given)`: it gets orders as tuples and answers each."""

    def __init__(self, main: Callable[..., None], *given: object) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, there = context.Pipe()
        self.process = context.Process(target=main, args=(there, *given), daemon=True)
        self.process.start()
        there.close()

    def tell(self, *order: object) -> None:
        self.pipe.send(order)

    def answer(self) -> Any:  # noqa: ANN401 (each order has its own)
        """Raises EOFError where the worker has ended, TimeoutError where it is silent."""
        if not self.pipe.poll(PATIENCE):
            raise TimeoutError("a worker does not answer")
        return self.pipe.recv()

    def ask(self, *order: object) -> Any:  # noqa: ANN401
        self.tell(*order)
        return self.answer()

    def close(self) -> None:
        self.process.kill()
        self.process.join()
        self.pipe.close()

    def __enter__(self) -> "Worker":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, why: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def apart(measure: Callable[..., dict], **given: object) -> dict:
    """Runs it in a process of its own, so that memory is counted from nothing."""
    with Worker(run_apart, measure, given) as worker:
        found = worker.answer()
    if isinstance(found, BaseException):
        raise found
    return found


def run_apart(pipe: Connection, measure: Callable[..., dict], given: dict) -> None:
    unbound()
    try:
        pipe.send(measure(**given))
    except Exception as why:
        pipe.send(why)
