"""The servers that are ready, held so that a decision visits only those of which something is known.

A server is *idle* while nothing but its entry in the list bears on a decision: no session, no dial, no
failure, no report. Idle servers have the same sum, zero, so they are held by groups of equals, and a decision
treats a group as one. The others are *active*; there are about as many as this balancer holds sessions,
however long the list is. A server becomes active by `activate`, and idle again by `settle`.
"""

import heapq
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from .server import FADE_TIME, Server

MAX_WEIGHTED_DRAWS = 32  # tried by weight before all members are weighed
RECOMPUTE_RATIO = 1e-6  # a sum is made anew if so little of what is taken off it is left


class AgeStage(IntEnum):
    """By the time since a server's start."""

    COLD = 0  # until its stated warm-up is over
    YOUNG = 1  # until a newcomer's head start has faded
    SETTLED = 2


class GroupKey(NamedTuple):
    """What servers of a group have in common."""

    kind: int
    zone: int
    stage: AgeStage


class Group:
    """Idle servers that differ by their weights alone."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.members: list[Server] = []
        self.weight = 0.0  # of all together
        self.max_weight = 0.0  # at least as heavy as each member

    def add(self, server: Server) -> None:
        server.group = self
        server.group_position = len(self.members)
        self.members.append(server)
        self.weight += server.weight
        self.max_weight = max(self.max_weight, server.weight)

    def remove(self, server: Server) -> None:
        last = self.members.pop()
        if last is not server:
            self.members[server.group_position] = last
            last.group_position = server.group_position
        server.group = None
        self.weight -= server.weight
        if self.weight < RECOMPUTE_RATIO * server.weight:
            self.weight = sum(one.weight for one in self.members)

    def draw(self, uniform: Callable[[float, float], float]) -> Server:
        """One of the members, by their weights."""
        count = len(self.members)
        for _ in range(MAX_WEIGHTED_DRAWS):
            place = uniform(0, count)
            server = self.members[min(int(place), count - 1)]
            if uniform(0, self.max_weight) < server.weight:
                return server
        self.max_weight = max(one.weight for one in self.members)
        left = uniform(0, sum(one.weight for one in self.members))
        for server in self.members:
            left -= server.weight
            if left <= 0:
                return server
        return self.members[-1]


class ColdGroup(Group):
    """Cold servers in the order of the numbers drawn for them, each for one window.

    Guards against asking each of them: a dial is granted to those whose number is below a chance.
    """

    def __init__(self, key: GroupKey) -> None:
        super().__init__(key)
        self.draws: list[tuple[float, int]] = []  # the number drawn, and the index
        self.draw_ends: list[tuple[int, int]] = []  # of windows, by index; a heap
        self.by_index: dict[int, Server] = {}

    def add(self, server: Server) -> None:
        super().add(server)
        self.by_index[server.index] = server
        insort(self.draws, (server.admission_draw, server.index))
        heapq.heappush(self.draw_ends, (server.draw_valid_until, server.index))

    def remove(self, server: Server) -> None:
        super().remove(server)
        del self.by_index[server.index]
        del self.draws[bisect_left(self.draws, (server.admission_draw, server.index))]

    def renew_draws(self, now: int, window: int, uniform: Callable[[float, float], float]) -> None:
        """Draws anew for the servers whose window is over."""
        due: dict[int, Server] = {}
        while self.draw_ends and self.draw_ends[0][0] <= now:
            until, index = heapq.heappop(self.draw_ends)
            server = self.by_index.get(index)
            if (
                server is not None and server.draw_valid_until == until
            ):  # else it has left, or is back with another
                due[index] = server
        if not due:
            return
        for server in due.values():
            server.admission_draw = uniform(0, 1)
            server.draw_valid_until = now + window
            heapq.heappush(self.draw_ends, (server.draw_valid_until, server.index))
        kept = [one for one in self.draws if one[1] not in due]
        self.draws = sorted(kept + [(server.admission_draw, server.index) for server in due.values()])

    def drawn_below(self, chance: float) -> Iterator[Server]:
        """The members for which a number under this chance was drawn."""
        for luck, index in self.draws:
            if luck >= chance:
                return
            yield self.by_index[index]


class Candidates:
    """All ready servers, active or in a group."""

    def __init__(self, warm_after: int, window: int) -> None:
        """`warm_after`: how long a server is cold; `window`: for how long what it was sent is remembered."""
        self.warm_after = warm_after
        self.window = window
        self.ready: list[Server] = []
        self.zone_counts: Counter[int] = Counter()
        self.by_cell: dict[int, dict[int, Server]] = {}
        self.active: dict[int, Server] = {}
        self.groups: dict[GroupKey, Group] = {}
        self.by_index: dict[int, Server] = {}
        self.stage_ends: list[tuple[int, int]] = []  # when a server's stage ends, and its index; a heap

    # Which servers are ready

    def add(self, server: Server, now: int) -> None:
        """One that is ready from now on; active at first."""
        server.ready_position = len(self.ready)
        self.ready.append(server)
        self.by_index[server.index] = server
        self.zone_counts[server.zone] += 1
        self.by_cell.setdefault(server.cell, {})[server.index] = server
        self.active[server.index] = server
        for stage in (AgeStage.COLD, AgeStage.YOUNG):
            if now < (end := self.stage_end(server, stage)):
                heapq.heappush(self.stage_ends, (end, server.index))

    def remove(self, server: Server) -> None:
        """To be called before anything of its entry changes."""
        if server.ready_position < 0:
            return
        self.activate(server)
        del self.active[server.index]
        del self.by_index[server.index]
        last = self.ready.pop()
        if last is not server:
            self.ready[server.ready_position] = last
            last.ready_position = server.ready_position
        server.ready_position = -1
        self.zone_counts[server.zone] -= 1
        cell = self.by_cell[server.cell]
        del cell[server.index]
        if not cell:
            del self.by_cell[server.cell]

    def set_weight(self, server: Server, weight: float) -> None:
        group = server.group
        if group is not None:
            group.remove(server)
        server.weight = weight
        if group is not None:
            group.add(server)

    # Idle or active

    def activate(self, server: Server) -> None:
        """Something becomes known of it."""
        if server.group is not None:
            server.group.remove(server)
            self.active[server.index] = server

    def regroup_idle(self, now: int, servers: Iterable[Server]) -> None:
        """Puts those of these active servers into groups that are idle again."""
        for server in servers:
            if server.is_idle(now, self.window):
                server.slow_loads.clear()
                server.slow_load_limit = 0.0
                server.sent_loads.clear()
                server.fading_load = 0.0
                del self.active[server.index]
                self.group_for(server, now).add(server)

    def group_for(self, server: Server, now: int) -> Group:
        stage = self.stage_of(server, now)
        key = GroupKey(server.kind, server.zone, stage)
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = (ColdGroup if stage is AgeStage.COLD else Group)(key)
        return group

    # Stages

    def stage_end(self, server: Server, stage: AgeStage) -> int:
        if server.started <= 0:
            return 0
        return server.started + self.warm_after + (FADE_TIME if stage is AgeStage.YOUNG else 0)

    def stage_of(self, server: Server, now: int) -> AgeStage:
        if now < self.stage_end(server, AgeStage.COLD):
            return AgeStage.COLD
        return AgeStage.YOUNG if now < self.stage_end(server, AgeStage.YOUNG) else AgeStage.SETTLED

    def advance_stages(self, now: int) -> None:
        """Moves idle servers whose stage is over to their next group."""
        while self.stage_ends and self.stage_ends[0][0] <= now:
            server = self.by_index.get(heapq.heappop(self.stage_ends)[1])
            group = server.group if server is not None else None
            if group is not None and group.key.stage is not self.stage_of(server, now):
                group.remove(server)
                self.group_for(server, now).add(server)

    # What is asked of all

    def idle_groups(self) -> list[Group]:
        return [group for group in self.groups.values() if group.members]

    def count_idle(self) -> int:
        return len(self.ready) - len(self.active)
