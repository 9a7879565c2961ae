"""Keepers and followers of a configuration in virtual time: ways, faults, disks, crashes.

Times are whole tenths of a millisecond since the start. A node that is down loses what comes; one that is
frozen gets all of it once it wakes. What a node has done of one event's actions when it crashes is done, the
rest is not.
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
    Answer,
    Apply,
    Bounds,
    Came,
    Change,
    Check,
    Event,
    Log,
    Message,
    Save,
    Send,
    Stored,
    Tick,
    Version,
    encode,
)
from .faults import FaultInjector

FRAME = 60  # bytes of TCP and IP beside a message (estimate; the digest of a transport among them)
NEAR = (3, 10)  # a way inside a region: from, to
FAR = (200, 400)  # a way between regions: 20 to 40 ms (estimate)


class Node(Struct):
    name: str
    make: Callable[[int], Keeper | Follower]
    mind: Keeper | Follower | None = None  # None: down
    disk: Any = None
    frozen: bool = False
    held: list[Event] = []
    timer: int = -1  # the earliest that is under way
    crash_after: int = -1  # so many of the next actions are done, then it is down
    in_force: int = 0


class Fleet:
    def __init__(
        self, followers: int, seed: int, check: Check, keepers: int = 4, regions: int = 3,
        bounds: Bounds | None = None, checked_by_keepers: bool = True,
    ) -> None:  # fmt: skip
        self.bounds = bounds or Bounds()
        self.chance = random.Random(seed)
        self.faults = FaultInjector(seed + 1)
        self.check = check
        self.keepers = [f"k{at}.{at % regions}" for at in range(keepers)]
        self.followers = [f"b{at}.{at % regions}" for at in range(followers)]
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.nodes: dict[str, Node] = {}
        self.applied: dict[
            int, dict[str, int]
        ] = {}  # by number: when it was in force where, for the first time
        self.contents: dict[int, set[bytes]] = {}  # by number: all that were ever told to be committed
        self.committed_at: dict[int, int] = {}  # by number
        self.wrong: list[str] = []
        self.logs: list[tuple[int, str, Log]] = []
        self.answers: list[tuple[int, str, Answer]] = []
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()  # sent and got
        self.most: Counter[str] = Counter()  # bytes of the fullest second
        self.second: dict[str, tuple[int, int]] = {}  # the last one, and the bytes in it
        for name in self.keepers:
            self.nodes[name] = Node(name, self.maker_of_keeper(name, checked_by_keepers))
        for name in self.followers:
            self.nodes[name] = Node(name, self.maker_of_follower(name))
        for name in self.nodes:
            self.start(name)

    def maker_of_keeper(self, name: str, is_checked: bool) -> Callable[[int], Keeper]:
        check: Check = self.check if is_checked else lambda _: None

        def make(now: int) -> Keeper:
            seed = self.chance.getrandbits(32)
            disk: Stored | None = self.nodes[name].disk
            return Keeper(name, self.keepers, self.bounds, check, seed, now, disk)

        return make

    def maker_of_follower(self, name: str) -> Callable[[int], Follower]:
        def make(now: int) -> Follower:
            saved = self.nodes[name].disk or Version()
            seed = self.chance.getrandbits(32)
            return Follower(self.keepers, self.bounds, self.check, seed, now, saved, f"{name}.saved")

        return make

    # Time

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, call))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = until

    # What happens to nodes

    def start(self, name: str) -> None:
        node = self.nodes[name]
        if node.mind is None:
            node.mind = node.make(self.now)
            node.timer = -1
            if name in self.followers:
                node.in_force = node.mind.in_force.number
            self.set_timer(node)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        node.mind = None
        node.frozen = False
        node.held = []
        node.crash_after = -1

    def freeze(self, name: str) -> None:
        self.nodes[name].frozen = self.nodes[name].mind is not None

    def wake(self, name: str) -> None:
        node = self.nodes[name]
        node.frozen = False
        held, node.held = node.held, []
        for event in held:
            self.handle(node, event)

    def change(self, name: str, change: Change) -> None:
        self.give(self.nodes[name], change)

    def give(self, node: Node, event: Event) -> None:
        if node.mind is None:
            return
        if node.frozen:
            node.held.append(event)
        else:
            self.handle(node, event)

    def handle(self, node: Node, event: Event) -> None:
        if node.mind is None:
            return
        for action in node.mind.handle(self.now, event):
            if node.crash_after == 0:
                self.kill(node.name)
                return
            node.crash_after -= node.crash_after > 0
            self.do(node, action)
        self.set_timer(node)

    def set_timer(self, node: Node) -> None:
        due = max(node.mind.due, self.now)
        if self.now <= node.timer <= due:
            return
        node.timer = due
        mind = node.mind

        def ring() -> None:
            if node.mind is not mind:
                return
            if node.timer == self.now:
                node.timer = -1
            if node.frozen:
                node.held.append(Tick())
            elif mind.due <= self.now:
                self.handle(node, Tick())
            else:
                self.set_timer(node)

        self.at(due, ring)

    # What nodes do

    def do(self, node: Node, action: Action) -> None:
        match action:
            case Send():
                self.send(node.name, action.target, action.message)
            case Save():
                node.disk = action.state
                if isinstance(action.state, Stored):
                    self.note(action.state.committed)
                    self.note_majority(action.state)
            case Apply():
                self.apply(node, action)
            case Log():
                self.logs.append((self.now, node.name, action))
            case Answer():
                self.answers.append((self.now, node.name, action))

    def note(self, version: Version) -> None:
        if version.number:
            self.contents.setdefault(version.number, set()).add(version.content)
            self.committed_at.setdefault(version.number, self.now)

    def note_majority(self, state: Stored) -> None:
        """A version is committed as soon as a majority has it on its disks by one ballot, whoever knows."""
        disks = [self.nodes[name].disk or Stored() for name in self.keepers]
        if sum(disk.accepted_in == state.accepted_in for disk in disks) > len(disks) // 2:
            self.note(state.accepted)

    def apply(self, node: Node, action: Apply) -> None:
        if action.number <= node.in_force:
            self.wrong.append(f"{node.name} went from {node.in_force} to {action.number}")
        if action.content not in self.contents.get(action.number, ()):
            self.wrong.append(f"{node.name} has a {action.number} in force that no keeper knows committed")
        if self.check(action.content) is not None:
            self.wrong.append(f"{node.name} has an unfit {action.number} in force")
        node.in_force = action.number
        self.applied.setdefault(action.number, {}).setdefault(node.name, self.now)

    def send(self, source: str, target: str, message: Message) -> None:
        data = encode(message)
        size = len(data) + FRAME
        self.sent[source] += 1
        self.pay(source, size)
        if target not in self.nodes:
            return
        low, high = NEAR if source.rpartition(".")[2] == target.rpartition(".")[2] else FAR
        for delay, _ in self.faults.deliveries(self.now, source, target, b""):
            way = delay + self.chance.randrange(low, high)
            self.at(self.now + way, lambda: self.arrive(source, target, message, size))

    def arrive(self, source: str, target: str, message: Message, size: int) -> None:
        self.pay(target, size)
        self.give(self.nodes[target], Came(source, message))

    def pay(self, name: str, size: int) -> None:
        self.bytes[name] += size
        second = self.now // 10_000
        last, there = self.second.get(name, (second, 0))
        self.second[name] = (second, size if last != second else there + size)
        self.most[name] = max(self.most[name], self.second[name][1])

    # What came of it

    def faults_of_versions(self) -> list[str]:
        """Everything that may never be."""
        forks = [
            f"{len(all_)} contents of {number}" for number, all_ in self.contents.items() if len(all_) > 1
        ]
        return self.wrong + forks

    def committed(self) -> int:
        return max(self.contents, default=0)
