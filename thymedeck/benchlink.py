"""Hosts many balancers on the simulator's wire: JSON lines in, JSON lines out.

Here wire names become ours, microseconds become tenths of a millisecond (budgets down, waits up), and ids
become small indices. Balancers share nothing but the process.
"""

import sys
import traceback
from typing import Any, BinaryIO

import msgspec

from . import interface, wire
from .policy import Balancer
from .settings import MIN_WEIGHT, deployment_from, floor_ticks

STATES = {
    "ready": interface.ServerState.READY,
    "draining": interface.ServerState.DRAINING,
    "gone": interface.ServerState.GONE,
}
LIST_KINDS = {
    "INCREMENTAL": interface.ListKind.CHANGES,
    "FULL": interface.ListKind.WHOLE,
    "SAVED": interface.ListKind.SAVED,
    "FAILED": interface.ListKind.FAILED,
}
OUTCOMES = {
    "OK": interface.DialOutcome.COMPLETED,
    "INTERNAL": interface.DialOutcome.ERROR,
    "RESOURCE_EXHAUSTED": interface.DialOutcome.REJECTED,
    "DEADLINE_EXCEEDED": interface.DialOutcome.TIMED_OUT,
    "UNAVAILABLE": interface.DialOutcome.UNREACHABLE,
    "ABORTED": interface.DialOutcome.RESET,
    "CANCELLED": interface.DialOutcome.CANCELLED,
    "TOO_LATE": interface.DialOutcome.NOT_SENT,
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
        self.balancer = Balancer(event.rng_seed, deployment_from(event.env))
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
            if isinstance(action, interface.Refuse | interface.TearDown):
                self.let_go(action.session_id)
        if isinstance(event, wire.ClosedAttempt | wire.Hangup):
            self.let_go(self.sess_index.get(event.req, -1))

    def let_go(self, index: int) -> None:
        if index in self.sess_ids and index not in self.balancer.sessions:
            del self.sess_index[self.sess_ids.pop(index)]

    def translate(self, event: wire.AnyEvent) -> interface.Event | None:
        """The event in our words, or None where it is about something no longer held."""
        if isinstance(event, wire.UpdateOf):
            return self.translate_note(event)  # most events are notes
        match event:
            case wire.Accept():
                return interface.SessionArrived(
                    self.new_sess(event.req), event.type, floor_ticks(event.budget_us),
                    event.work_us, event.partition_key, event.mid_flow,
                )  # fmt: skip
            case wire.AlreadyOpen():
                return interface.SessionRestored(
                    self.new_sess(event.req), event.type, event.work_us,
                    event.partition_key, self.server(event.server),
                )  # fmt: skip
            case wire.Wake():
                timer, _, index = event.label.partition(":")
                return interface.TimerFired(interface.Timer(int(timer)), int(index))
            case wire.Registry():
                return self.translate_list(event)
            case wire.FromPeer():
                return None
            case wire.Hangup():
                sess = self.sess_index.get(event.req)
                return None if sess is None else interface.SessionLeft(sess)
        server = self.server_index.get(event.server)
        if server is None:
            return None
        if isinstance(event, wire.Echo):
            return interface.ProbeEnded(server, event.disposition == "OK", self.pressure(event.stats))
        sess = self.sess_index.get(event.req)
        if sess is None:
            return None
        match event:
            case wire.HeadReceived():
                return interface.SessionEstablished(sess, server, floor_ticks(event.duration_us))
            case wire.ClosedAttempt():
                outcome = OUTCOMES.get(event.disposition, interface.DialOutcome.UNKNOWN)
                return interface.DialEnded(
                    sess, server, outcome, event.complete, self.pressure(event.stats)
                )  # fmt: skip
        return None

    def translate_note(self, event: wire.UpdateOf) -> interface.Event | None:
        sess, server = self.sess_index.get(event.req), self.server_index.get(event.server)
        if sess is None or server is None:
            return None
        if event.what == wire.NOTE_LOAD:
            return interface.LoadReported(sess, event.amount)
        return (
            interface.DelayReported(sess, server, int(event.amount * 10))
            if event.what == wire.NOTE_DELAY
            else None
        )

    def translate_list(self, event: wire.Registry) -> interface.ServerListUpdated | None:
        kind = LIST_KINDS.get(event.how)
        if kind is None:
            return None
        index, states, other = self.server, STATES, interface.ServerState.DRAINING
        entries = [
            interface.ServerEntry(
                index(one.server), one.region_part, one.group, states.get(one.readiness, other),
                one.boot_time_us // 100, one.share if one.share > MIN_WEIGHT else MIN_WEIGHT,
                one.generation_hw,
            )
            for one in event.members
        ]  # fmt: skip
        return interface.ServerListUpdated(
            kind, entries, is_scheduled=True
        )  # there every call goes out by `RequestList`

    def spell(self, action: interface.Action) -> dict[str, Any]:
        head = {"i": self.instance}
        match action:
            case interface.Dial():
                return {
                    "t": "ISSUE", **head, "req": self.sess_ids[action.session_id],
                    "server": self.server_ids[action.server], "limit_us": action.limit * 100,
                }  # fmt: skip
            case interface.SetTimer():
                label = f"{action.timer.value}:{action.index}"
                return {"t": "SCHEDULE", **head, "label": label, "after_us": action.after * 100}
            case interface.Refuse():
                refused = {"t": "TURN_AWAY", **head, "req": self.sess_ids[action.session_id]}
                return refused | {"come_back_us": action.retry_after * 100} if action.retry_after else refused
            case interface.TearDown():
                return {"t": "LOSE", **head, "req": self.sess_ids[action.session_id]}
            case interface.Move():
                return {"t": "REDIRECT", **head, "req": self.sess_ids[action.session_id]}
            case interface.Probe():
                return {"t": "PROBE", **head, "server": self.server_ids[action.server]}
            case interface.RequestList():
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
