"""Simulates keepers and followers of the replicated configuration in virtual time.

Covers network delays, faults, disks and crashes. Times are whole tenths of a millisecond since the start. A
node that is down loses what arrives; a frozen node handles all of it when it wakes. When a node crashes while
it handles an event, the actions performed so far stand and the rest are lost.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from ..configuration.follower import Follower
from ..configuration.keeper import Keeper
from ..configuration.messages import (
    Action,
    Apply,
    Change,
    ChangeResult,
    Event,
    Log,
    Message,
    Parameters,
    PersistentState,
    Received,
    Save,
    Send,
    Tick,
    Validator,
    Version,
    encode,
)
from .faults import FaultInjector

FRAME_OVERHEAD = 60  # bytes of TCP, IP and transport digest per message (assumed)
SAME_REGION_DELAY = (3, 10)  # one way: from, to
CROSS_REGION_DELAY = (200, 400)  # one way: 20 to 40 ms (assumed)


class Node(Struct):
    """A simulated machine with its process and disk."""

    name: str
    create_process: Callable[[int], Keeper | Follower]
    process: Keeper | Follower | None = None  # None: down
    disk: Any = None
    is_frozen: bool = False
    held_events: list[Event] = []  # arrived while frozen
    timer_at: int = -1  # earliest scheduled timer; -1: none
    crash_after: int = -1  # number of further actions performed before a crash; -1: no crash
    applied_number: int = 0


class Fleet:
    """Runs the nodes of one fleet and records what they did. Node names end with the number of the region."""

    def __init__(
        self, followers: int, seed: int, validate: Validator, keepers: int = 4, regions: int = 3,
        parameters: Parameters | None = None, checked_by_keepers: bool = True,
    ) -> None:  # fmt: skip
        self.parameters = parameters or Parameters()
        self.rng = random.Random(seed)
        self.faults = FaultInjector(seed + 1)
        self.validate = validate
        self.keepers = [f"k{index}.{index % regions}" for index in range(keepers)]
        self.followers = [f"b{index}.{index % regions}" for index in range(followers)]
        self.now = 0
        self.schedule: list[tuple[int, int, Callable[[], None]]] = []  # a heap
        self.scheduled_count = 0
        self.nodes: dict[str, Node] = {}
        # By version number, then node name: when it was first applied.
        self.applied_at: dict[int, dict[str, int]] = {}
        self.committed_contents: dict[int, set[bytes]] = {}  # by number: all contents ever committed
        self.committed_at: dict[int, int] = {}  # by number
        self.violations: list[str] = []
        self.logs: list[tuple[int, str, Log]] = []
        self.results: list[tuple[int, str, ChangeResult]] = []
        self.messages_sent: Counter[str] = Counter()
        self.bytes_total: Counter[str] = Counter()  # sent and received
        self.bytes_peak: Counter[str] = Counter()  # in the busiest second
        self.bytes_of_second: dict[str, tuple[int, int]] = {}  # the last second, and the bytes in it
        for name in self.keepers:
            self.nodes[name] = Node(name, self.keeper_factory(name, checked_by_keepers))
        for name in self.followers:
            self.nodes[name] = Node(name, self.follower_factory(name))
        for name in self.nodes:
            self.start(name)

    def keeper_factory(self, name: str, is_checked: bool) -> Callable[[int], Keeper]:
        validate: Validator = self.validate if is_checked else lambda _: None

        def create(now: int) -> Keeper:
            seed = self.rng.getrandbits(32)
            disk: PersistentState | None = self.nodes[name].disk
            return Keeper(name, self.keepers, self.parameters, validate, seed, now, disk)

        return create

    def follower_factory(self, name: str) -> Callable[[int], Follower]:
        def create(now: int) -> Follower:
            saved_version = self.nodes[name].disk or Version()
            seed = self.rng.getrandbits(32)
            return Follower(
                self.keepers, self.parameters, self.validate, seed, now, saved_version, f"{name}.saved"
            )

        return create

    # Time

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.schedule, (max(when, self.now), self.scheduled_count, callback))

    def run_until(self, end: int) -> None:
        while self.schedule and self.schedule[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.schedule)
            callback()
        self.now = end

    # Control of nodes

    def start(self, name: str) -> None:
        node = self.nodes[name]
        if node.process is None:
            node.process = node.create_process(self.now)
            node.timer_at = -1
            if name in self.followers:
                node.applied_number = node.process.applied_version.number
            self.set_timer(node)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        node.process = None
        node.is_frozen = False
        node.held_events = []
        node.crash_after = -1

    def freeze(self, name: str) -> None:
        self.nodes[name].is_frozen = self.nodes[name].process is not None

    def wake(self, name: str) -> None:
        node = self.nodes[name]
        node.is_frozen = False
        events, node.held_events = node.held_events, []
        for event in events:
            self.handle(node, event)

    def submit(self, name: str, change: Change) -> None:
        self.deliver(self.nodes[name], change)

    def deliver(self, node: Node, event: Event) -> None:
        if node.process is None:
            return
        if node.is_frozen:
            node.held_events.append(event)
        else:
            self.handle(node, event)

    def handle(self, node: Node, event: Event) -> None:
        if node.process is None:
            return
        for action in node.process.handle(self.now, event):
            if node.crash_after == 0:
                self.kill(node.name)
                return
            node.crash_after -= node.crash_after > 0
            self.perform(node, action)
        self.set_timer(node)

    def set_timer(self, node: Node) -> None:
        due_at = max(node.process.due_at, self.now)
        if self.now <= node.timer_at <= due_at:
            return
        node.timer_at = due_at
        process = node.process

        def on_timer() -> None:
            if node.process is not process:
                return
            if node.timer_at == self.now:
                node.timer_at = -1
            if node.is_frozen:
                node.held_events.append(Tick())
            elif process.due_at <= self.now:
                self.handle(node, Tick())
            else:
                self.set_timer(node)

        self.call_at(due_at, on_timer)

    # Actions of nodes

    def perform(self, node: Node, action: Action) -> None:
        match action:
            case Send():
                self.send(node.name, action.target, action.message)
            case Save():
                node.disk = action.state
                if isinstance(action.state, PersistentState):
                    self.record_committed(action.state.committed_version)
                    self.record_majority(action.state)
            case Apply():
                self.apply(node, action)
            case Log():
                self.logs.append((self.now, node.name, action))
            case ChangeResult():
                self.results.append((self.now, node.name, action))

    def record_committed(self, version: Version) -> None:
        if version.number:
            self.committed_contents.setdefault(version.number, set()).add(version.content)
            self.committed_at.setdefault(version.number, self.now)

    def record_majority(self, state: PersistentState) -> None:
        """A version is committed once a majority has stored it in one ballot, even if no keeper knows yet."""
        disks = [self.nodes[name].disk or PersistentState() for name in self.keepers]
        if sum(disk.accepted_ballot == state.accepted_ballot for disk in disks) > len(disks) // 2:
            self.record_committed(state.accepted_version)

    def apply(self, node: Node, action: Apply) -> None:
        if action.number <= node.applied_number:
            self.violations.append(f"{node.name} went from {node.applied_number} to {action.number}")
        if action.content not in self.committed_contents.get(action.number, ()):
            self.violations.append(f"{node.name} applied {action.number}, which was not committed")
        if self.validate(action.content) is not None:
            self.violations.append(f"{node.name} applied the invalid {action.number}")
        node.applied_number = action.number
        self.applied_at.setdefault(action.number, {}).setdefault(node.name, self.now)

    def send(self, source: str, target: str, message: Message) -> None:
        data = encode(message)
        size = len(data) + FRAME_OVERHEAD
        self.messages_sent[source] += 1
        self.count_bytes(source, size)
        if target not in self.nodes:
            return
        low, high = (
            SAME_REGION_DELAY
            if source.rpartition(".")[2] == target.rpartition(".")[2]
            else CROSS_REGION_DELAY
        )
        for fault_delay, _ in self.faults.deliveries(self.now, source, target, b""):
            delay = fault_delay + self.rng.randrange(low, high)
            self.call_at(self.now + delay, lambda: self.receive(source, target, message, size))

    def receive(self, source: str, target: str, message: Message, size: int) -> None:
        self.count_bytes(target, size)
        self.deliver(self.nodes[target], Received(source, message))

    def count_bytes(self, name: str, size: int) -> None:
        self.bytes_total[name] += size
        second = self.now // 10_000
        last_second, count = self.bytes_of_second.get(name, (second, 0))
        self.bytes_of_second[name] = (second, size if last_second != second else count + size)
        self.bytes_peak[name] = max(self.bytes_peak[name], self.bytes_of_second[name][1])

    # Results

    def consistency_violations(self) -> list[str]:
        """What must never happen: forks, and versions applied out of order, uncommitted or invalid."""
        forks = [
            f"{len(contents)} contents of {number}"
            for number, contents in self.committed_contents.items()
            if len(contents) > 1
        ]
        return self.violations + forks

    def last_committed(self) -> int:
        return max(self.committed_contents, default=0)
