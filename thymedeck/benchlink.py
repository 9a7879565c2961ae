"""Hosts many balancers on the simulator's wire: JSON lines in, JSON lines out.

Here wire names become ours, microseconds become tenths of a millisecond (budgets down, waits up), and ids
become small indices. Balancers share nothing but the process.
"""

import sys
import traceback
from typing import Any, BinaryIO

import msgspec

from . import interface as own
from . import wire
from .policy import Balancer
from .stated import LEAST_WEIGHT, deployment, down

STATES = {"ready": own.State.READY, "draining": own.State.DRAINING, "gone": own.State.GONE}
LIST_KINDS = {
    "INCREMENTAL": own.ListKind.CHANGES,
    "FULL": own.ListKind.WHOLE,
    "SAVED": own.ListKind.SAVED,
    "FAILED": own.ListKind.FAILED,
}
OUTCOMES = {
    "OK": own.Outcome.ENDED,
    "INTERNAL": own.Outcome.ERROR,
    "RESOURCE_EXHAUSTED": own.Outcome.FULL,
    "DEADLINE_EXCEEDED": own.Outcome.OVERDUE,
    "UNAVAILABLE": own.Outcome.UNREACHABLE,
    "ABORTED": own.Outcome.RESET,
    "CANCELLED": own.Outcome.CANCELLED,
    "TOO_LATE": own.Outcome.UNSENT,
}


class RawBatch(msgspec.Struct):
    wall_us: int
    input: list[msgspec.Raw]


class Batch(msgspec.Struct):
    wall_us: int
    input: list[wire.AnyEvent]


KNOWN = frozenset(kind.__struct_config__.tag for kind in wire.AnyEvent.__args__)
decode_batch = msgspec.json.Decoder(Batch).decode
decode_raw = msgspec.json.Decoder(RawBatch).decode
decode_heading = msgspec.json.Decoder(wire.Heading).decode
decode_event = msgspec.json.Decoder(wire.AnyEvent).decode
encode = msgspec.json.Encoder().encode


class Link:
    """One balancer's side of the wire, from its start to its end."""

    def __init__(self, instance: int, event: wire.Provision) -> None:
        self.instance = instance
        self.balancer = Balancer(event.rng_seed, deployment(event.env))
        fields = event.env.report.fields
        self.pressure_at = fields.index("x0") if "x0" in fields else -1
        self.server_index: dict[int, int] = {}
        self.server_ids: list[int] = []
        self.sess_index: dict[int, int] = {}
        self.sess_ids: dict[int, int] = {}
        self.next_sess = 0

    def server(self, wire_id: int) -> int:
        index = self.server_index.get(wire_id)
        if index is None:
            index = self.server_index[wire_id] = len(self.server_ids)
            self.server_ids.append(wire_id)
        return index

    def new_sess(self, wire_id: int) -> int:
        index = self.next_sess
        self.next_sess += 1
        self.sess_index[wire_id] = index
        self.sess_ids[index] = wire_id
        return index

    def pressure(self, stats: list[float] | None) -> float | None:
        if stats is None or not 0 <= self.pressure_at < len(stats):
            return None
        return stats[self.pressure_at]

    def take(self, now_us: int, event: wire.AnyEvent, output: list[dict[str, Any]]) -> None:
        told = self.translate(event)
        if told is None:
            return
        for action in self.balancer.handle(now_us // 100, told):
            output.append(self.spell(action))
            if isinstance(action, own.Refuse | own.TearDown):
                self.let_go(action.sess)
        if isinstance(event, wire.ClosedAttempt | wire.Hangup):
            self.let_go(self.sess_index.get(event.req, -1))

    def let_go(self, index: int) -> None:
        if index in self.sess_ids and index not in self.balancer.sessions:
            del self.sess_index[self.sess_ids.pop(index)]

    def translate(self, event: wire.AnyEvent) -> own.Event | None:
        """The event in our words, or None where it is about something no longer held."""
        if isinstance(event, wire.UpdateOf):
            return self.translate_note(event)  # most events are notes
        match event:
            case wire.Accept():
                return own.SessionCame(
                    self.new_sess(event.req), event.type, down(event.budget_us),
                    event.work_us, event.partition_key, event.mid_flow,
                )  # fmt: skip
            case wire.AlreadyOpen():
                return own.SessionStands(
                    self.new_sess(event.req), event.type, event.work_us,
                    event.partition_key, self.server(event.server),
                )  # fmt: skip
            case wire.Wake():
                timer, _, index = event.label.partition(":")
                return own.TimerDue(own.Timer(int(timer)), int(index))
            case wire.Registry():
                return self.translate_list(event)
            case wire.FromPeer():
                return None
            case wire.Hangup():
                sess = self.sess_index.get(event.req)
                return None if sess is None else own.SessionLeft(sess)
        server = self.server_index.get(event.server)
        if server is None:
            return None
        if isinstance(event, wire.Echo):
            return own.Probed(server, event.disposition == "OK", self.pressure(event.stats))
        sess = self.sess_index.get(event.req)
        if sess is None:
            return None
        match event:
            case wire.HeadReceived():
                return own.Established(sess, server, down(event.duration_us))
            case wire.ClosedAttempt():
                outcome = OUTCOMES.get(event.disposition, own.Outcome.UNKNOWN)
                return own.DialEnded(
                    sess, server, outcome, event.complete, self.pressure(event.stats)
                )  # fmt: skip
        return None

    def translate_note(self, event: wire.UpdateOf) -> own.Event | None:
        sess, server = self.sess_index.get(event.req), self.server_index.get(event.server)
        if sess is None or server is None:
            return None
        if event.what == wire.NOTE_LOAD:
            return own.LoadTold(sess, event.amount)
        return own.DelayTold(sess, server, int(event.amount * 10)) if event.what == wire.NOTE_DELAY else None

    def translate_list(self, event: wire.Registry) -> own.ServerList | None:
        kind = LIST_KINDS.get(event.how)
        if kind is None:
            return None
        index, states, other = self.server, STATES, own.State.DRAINING
        entries = [
            own.Entry(
                index(one.server), one.region_part, one.group, states.get(one.readiness, other),
                one.boot_time_us // 100, one.share if one.share > LEAST_WEIGHT else LEAST_WEIGHT,
                one.generation_hw,
            )
            for one in event.members
        ]  # fmt: skip
        return own.ServerList(kind, entries, in_turn=True)  # there every call goes out by `FollowList`

    def spell(self, action: own.Action) -> dict[str, Any]:
        head = {"i": self.instance}
        match action:
            case own.Dial():
                return {
                    "t": "ISSUE", **head, "req": self.sess_ids[action.sess],
                    "server": self.server_ids[action.server], "limit_us": action.limit * 100,
                }  # fmt: skip
            case own.SetTimer():
                label = f"{action.timer.value}:{action.index}"
                return {"t": "SCHEDULE", **head, "label": label, "after_us": action.after * 100}
            case own.Refuse():
                refused = {"t": "TURN_AWAY", **head, "req": self.sess_ids[action.sess]}
                return refused | {"come_back_us": action.come_back * 100} if action.come_back else refused
            case own.TearDown():
                return {"t": "LOSE", **head, "req": self.sess_ids[action.sess]}
            case own.Move():
                return {"t": "REDIRECT", **head, "req": self.sess_ids[action.sess]}
            case own.Probe():
                return {"t": "PROBE", **head, "server": self.server_ids[action.server]}
            case own.FollowList():
                return {"t": "LISTEN", **head, "want": True}
        return {"t": "REMARK", **head, "note_text": action.text}


def read_batch(line: bytes) -> Batch:
    try:
        return decode_batch(line)
    except msgspec.ValidationError:
        # Kinds of events that are not known here are skipped; anything else wrong is raised again.
        raw = decode_raw(line)
        known = [one for one in raw.input if decode_heading(one).t in KNOWN]
        return Batch(raw.wall_us, [decode_event(one) for one in known])


def serve(lines: BinaryIO, replies: BinaryIO) -> int:
    links: dict[int, Link] = {}
    for number, line in enumerate(lines, 1):
        try:
            batch = read_batch(line)
        except msgspec.MsgspecError as wrong:
            print(f"line {number}: {wrong}", file=sys.stderr)
            return 1
        output: list[dict[str, Any]] = []
        for event in batch.input:
            instance = event.i
            try:
                if isinstance(event, wire.Provision):
                    links[instance] = Link(instance, event)
                elif isinstance(event, wire.Kill):
                    links.pop(instance, None)
                elif instance in links:
                    links[instance].take(batch.wall_us, event, output)
            except Exception as fault:
                traceback.print_exc(file=sys.stderr)
                links.pop(instance, None)
                output.append({"t": "PANIC", "i": instance, "note_text": f"{type(fault).__name__}: {fault}"})
        replies.write(encode({"output": output}) + b"\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
