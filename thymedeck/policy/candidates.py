"""Index of the ready servers that keeps the cost of a decision independent of the length of the list.

A server is *idle* while nothing but its list entry affects decisions: no session, no dial, no failure, no
report. Idle servers all have the load sum zero, so they are kept in groups of equal servers, and a decision
treats each group as one candidate. The others are *active*; there are about as many of them as this balancer
has sessions. `activate` makes a server active, and `regroup_idle` makes it idle again.
"""

import heapq
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from .server import FADE_TIME, Server

MAX_WEIGHTED_DRAWS = 32  # rejection sampling attempts before the weights of all members are summed
# A sum of weights is computed anew when a subtraction leaves less than this part of the subtracted weight,
# since what is left may be a rounding error.
RECOMPUTE_RATIO = 1e-6


class AgeStage(IntEnum):
    """Stage by the time since a server's start."""

    COLD = 0  # until the configured warm-up time is over
    YOUNG = 1  # until the load added to a newcomer has faded
    SETTLED = 2


class GroupKey(NamedTuple):
    """The properties that the servers of a group share."""

    kind: int
    zone: int
    stage: AgeStage


class Group:
    """Idle servers that differ only in their weights."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.members: list[Server] = []
        self.weight = 0.0  # sum over all members
        self.max_weight = 0.0  # upper bound of the members' weights

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
        """Returns a random member, with probabilities proportional to the weights.

        Rejection sampling against `max_weight` needs a few draws on average, whatever the size of the
        group. If very unequal weights make it fail, all weights are summed.
        """
        count = len(self.members)
        for _ in range(MAX_WEIGHTED_DRAWS):
            position = uniform(0, count)
            server = self.members[min(int(position), count - 1)]
            if uniform(0, self.max_weight) < server.weight:
                return server
        self.max_weight = max(one.weight for one in self.members)
        remaining = uniform(0, sum(one.weight for one in self.members))
        for server in self.members:
            remaining -= server.weight
            if remaining <= 0:
                return server
        return self.members[-1]


class ColdGroup(Group):
    """Idle cold servers, ordered by the random number that is drawn for each of them for one window.

    A server may admit a session while its number is below the admission probability
    (`admission_probability` in balancer.py); the order finds these servers without a visit to each member.
    """

    def __init__(self, key: GroupKey) -> None:
        super().__init__(key)
        self.draws: list[tuple[float, int]] = []  # number drawn, server index
        self.draw_ends: list[tuple[int, int]] = []  # end of the window, server index; a heap
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
        """Draws new numbers for the servers whose window is over."""
        due: dict[int, Server] = {}
        while self.draw_ends and self.draw_ends[0][0] <= now:
            until, index = heapq.heappop(self.draw_ends)
            server = self.by_index.get(index)
            # Otherwise the server has left the group or has a newer draw.
            if server is not None and server.draw_valid_until == until:
                due[index] = server
        if not due:
            return
        for server in due.values():
            server.admission_draw = uniform(0, 1)
            server.draw_valid_until = now + window
            heapq.heappush(self.draw_ends, (server.draw_valid_until, server.index))
        kept = [one for one in self.draws if one[1] not in due]
        self.draws = sorted(kept + [(server.admission_draw, server.index) for server in due.values()])

    def drawn_below(self, probability: float) -> Iterator[Server]:
        """Yields the members whose number is below this probability."""
        for drawn, index in self.draws:
            if drawn >= probability:
                return
            yield self.by_index[index]


class Candidates:
    """All ready servers; each is either active or in a group."""

    def __init__(self, warm_after: int, window: int) -> None:
        """Takes the time for which a server is cold, and that for which `Server.sent_loads` are kept."""
        self.warm_after = warm_after
        self.window = window
        self.ready: list[Server] = []
        self.zone_counts: Counter[int] = Counter()
        self.by_cell: dict[int, dict[int, Server]] = {}
        self.active: dict[int, Server] = {}
        self.groups: dict[GroupKey, Group] = {}
        self.by_index: dict[int, Server] = {}
        self.stage_ends: list[tuple[int, int]] = []  # end of a server's stage, its index; a heap

    # Which servers are ready

    def add(self, server: Server, now: int) -> None:
        """Adds a server that has become ready; it is active at first."""
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
        """Removes a server. To be called before any field of its entry changes."""
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
        """Changes a server's weight, and with it the sums of its group."""
        group = server.group
        if group is not None:
            group.remove(server)
        server.weight = weight
        if group is not None:
            group.add(server)

    # Idle or active

    def activate(self, server: Server) -> None:
        """Makes a server active, as its state is about to differ from that of its group."""
        if server.group is not None:
            server.group.remove(server)
            self.active[server.index] = server

    def regroup_idle(self, now: int, servers: Iterable[Server]) -> None:
        """Moves those of these active servers that are idle again into groups; expired state is cleared."""
        for server in servers:
            if server.is_idle(now, self.window):
                server.learned_caps.clear()
                server.lowest_learned_cap = 0.0
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
        """Moves idle servers whose stage is over to the group of their next stage."""
        while self.stage_ends and self.stage_ends[0][0] <= now:
            server = self.by_index.get(heapq.heappop(self.stage_ends)[1])
            group = server.group if server is not None else None
            if group is not None and group.key.stage is not self.stage_of(server, now):
                group.remove(server)
                self.group_for(server, now).add(server)

    # Queries

    def idle_groups(self) -> list[Group]:
        return [group for group in self.groups.values() if group.members]

    def count_idle(self) -> int:
        return len(self.ready) - len(self.active)
