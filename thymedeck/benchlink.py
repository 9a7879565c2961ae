"""Runs balancers under an external simulator: JSON lines with events in, JSON lines with actions out.

Translates between the simulator's messages (`wire`) and the types of `interface`: names, units (microseconds
to tenths of a millisecond; budgets are rounded down, waiting times up) and ids (small indices here). One
process hosts many balancer instances; they share no state.
"""

import sys
import traceback
from typing import Any, BinaryIO

import msgspec

from . import interface, wire
from .policy import Balancer
from .settings import MIN_WEIGHT, deployment_from, floor_tenths_ms

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
    """A batch whose events are not decoded yet."""

    wall_us: int
    input: list[msgspec.Raw]


class Batch(msgspec.Struct):
    """One line of input: the events at one moment of the simulated clock."""

    wall_us: int
    input: list[wire.AnyEvent]


KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in wire.AnyEvent.__args__)
decode_batch = msgspec.json.Decoder(Batch).decode
decode_raw = msgspec.json.Decoder(RawBatch).decode
decode_header = msgspec.json.Decoder(wire.EventHeader).decode
decode_event = msgspec.json.Decoder(wire.AnyEvent).decode
encode = msgspec.json.Encoder().encode


class BalancerAdapter:
    """One balancer instance: translates its events and actions and maps the simulator's ids to indices."""

    def __init__(self, instance: int, event: wire.Provision) -> None:
        self.instance = instance
        self.balancer = Balancer(event.rng_seed, deployment_from(event.env))
        fields = event.env.report.fields
        self.utilization_field = fields.index("x0") if "x0" in fields else -1
        self.server_indices: dict[int, int] = {}
        self.server_ids: list[int] = []
        self.session_by_request: dict[int, int] = {}
        self.request_by_session: dict[int, int] = {}
        self.next_session_id = 0

    def index_of_server(self, wire_id: int) -> int:
        """Returns the index of a server, assigning the next one to a new id."""
        index = self.server_indices.get(wire_id)
        if index is None:
            index = self.server_indices[wire_id] = len(self.server_ids)
            self.server_ids.append(wire_id)
        return index

    def add_session(self, request: int) -> int:
        session_id = self.next_session_id
        self.next_session_id += 1
        self.session_by_request[request] = session_id
        self.request_by_session[session_id] = request
        return session_id

    def utilization(self, stats: list[float] | None) -> float | None:
        """Returns the utilization in a server's report, if it is in there."""
        if stats is None or not 0 <= self.utilization_field < len(stats):
            return None
        return stats[self.utilization_field]

    def handle(self, now_us: int, event: wire.AnyEvent, output: list[dict[str, Any]]) -> None:
        """Passes the event to the balancer and appends the resulting actions to the output."""
        translated = self.translate(event)
        if translated is None:
            return
        for action in self.balancer.handle(now_us // 100, translated):
            output.append(self.encode_action(action))
            if isinstance(action, interface.Refuse | interface.TearDown):
                self.release_session(action.session_id)
        if isinstance(event, wire.ClosedAttempt | wire.Hangup):
            self.release_session(self.session_by_request.get(event.req, -1))

    def release_session(self, session_id: int) -> None:
        """Forgets the ids of a session that the balancer no longer has."""
        if session_id in self.request_by_session and session_id not in self.balancer.sessions:
            del self.session_by_request[self.request_by_session.pop(session_id)]

    def translate(self, event: wire.AnyEvent) -> interface.Event | None:
        """Returns the balancer's event, or None for a message that is ignored.

        Ignored are messages about sessions or servers unknown here, of unknown kinds, and from peers.
        """
        if isinstance(event, wire.UpdateOf):
            return self.translate_update(event)  # checked first: most messages are of this kind
        match event:
            case wire.Accept():
                return interface.SessionArrived(
                    self.add_session(event.req), event.type, floor_tenths_ms(event.budget_us),
                    event.work_us, event.partition_key, event.mid_flow,
                )  # fmt: skip
            case wire.AlreadyOpen():
                return interface.SessionRestored(
                    self.add_session(event.req), event.type, event.work_us,
                    event.partition_key, self.index_of_server(event.server),
                )  # fmt: skip
            case wire.Wake():
                timer, _, index = event.label.partition(":")
                return interface.TimerFired(interface.Timer(int(timer)), int(index))
            case wire.Registry():
                return self.translate_list(event)
            case wire.FromPeer():
                return None
            case wire.Hangup():
                session_id = self.session_by_request.get(event.req)
                return None if session_id is None else interface.SessionLeft(session_id)
        server = self.server_indices.get(event.server)
        if server is None:
            return None
        if isinstance(event, wire.Echo):
            return interface.ProbeEnded(server, event.disposition == "OK", self.utilization(event.stats))
        session_id = self.session_by_request.get(event.req)
        if session_id is None:
            return None
        match event:
            case wire.HeadReceived():
                return interface.SessionEstablished(session_id, server, floor_tenths_ms(event.duration_us))
            case wire.ClosedAttempt():
                outcome = OUTCOMES.get(event.disposition, interface.DialOutcome.UNKNOWN)
                return interface.DialEnded(
                    session_id, server, outcome, event.complete, self.utilization(event.stats)
                )  # fmt: skip
        return None

    def translate_update(self, event: wire.UpdateOf) -> interface.Event | None:
        session_id, server = self.session_by_request.get(event.req), self.server_indices.get(event.server)
        if session_id is None or server is None:
            return None
        if event.what == wire.UPDATE_LOAD:
            return interface.LoadReported(session_id, event.amount)
        return (
            interface.DelayReported(session_id, server, int(event.amount * 10))
            if event.what == wire.UPDATE_DELAY
            else None
        )

    def translate_list(self, event: wire.Registry) -> interface.ServerListUpdated | None:
        """Returns None for an unknown kind of update. An unknown state of a server counts as draining."""
        kind = LIST_KINDS.get(event.how)
        if kind is None:
            return None
        index_of, states, default_state = self.index_of_server, STATES, interface.ServerState.DRAINING
        entries = [
            interface.ServerEntry(
                index_of(member.server), member.region_part, member.group,
                states.get(member.readiness, default_state),
                member.boot_time_us // 100,
                member.share if member.share > MIN_WEIGHT else MIN_WEIGHT, member.generation_hw,
            )
            for member in event.members
        ]  # fmt: skip
        # In the simulator every request for the list is made on `RequestList`.
        return interface.ServerListUpdated(kind, entries, is_scheduled=True)

    def encode_action(self, action: interface.Action) -> dict[str, Any]:
        """Returns the simulator's message for an action."""
        header = {"i": self.instance}
        match action:
            case interface.Dial():
                return {
                    "t": "ISSUE", **header, "req": self.request_by_session[action.session_id],
                    "server": self.server_ids[action.server], "limit_us": action.limit * 100,
                }  # fmt: skip
            case interface.SetTimer():
                label = f"{action.timer.value}:{action.index}"
                return {"t": "SCHEDULE", **header, "label": label, "after_us": action.after * 100}
            case interface.Refuse():
                refusal = {"t": "TURN_AWAY", **header, "req": self.request_by_session[action.session_id]}
                return refusal | {"come_back_us": action.retry_after * 100} if action.retry_after else refusal
            case interface.TearDown():
                return {"t": "LOSE", **header, "req": self.request_by_session[action.session_id]}
            case interface.Move():
                return {"t": "REDIRECT", **header, "req": self.request_by_session[action.session_id]}
            case interface.Probe():
                return {"t": "PROBE", **header, "server": self.server_ids[action.server]}
            case interface.RequestList():
                return {"t": "LISTEN", **header, "want": True}
        return {"t": "REMARK", **header, "note_text": action.text}


def read_batch(line: bytes) -> Batch:
    try:
        return decode_batch(line)
    except msgspec.ValidationError:
        # Events of unknown kinds are skipped; any other error is raised again below.
        raw = decode_raw(line)
        known = [event for event in raw.input if decode_header(event).t in KNOWN_TAGS]
        return Batch(raw.wall_us, [decode_event(event) for event in known])


def serve(lines: BinaryIO, replies: BinaryIO) -> int:
    """Answers each line of events with a line of actions, until the input ends; returns the exit code.

    An exception in one balancer removes that balancer alone and is reported as PANIC; a line that cannot be
    decoded ends the process.
    """
    adapters: dict[int, BalancerAdapter] = {}
    for number, line in enumerate(lines, 1):
        try:
            batch = read_batch(line)
        except msgspec.MsgspecError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 1
        output: list[dict[str, Any]] = []
        for event in batch.input:
            instance = event.i
            try:
                if isinstance(event, wire.Provision):
                    adapters[instance] = BalancerAdapter(instance, event)
                elif isinstance(event, wire.Kill):
                    adapters.pop(instance, None)
                elif instance in adapters:
                    adapters[instance].handle(batch.wall_us, event, output)
            except Exception as exception:
                traceback.print_exc(file=sys.stderr)
                adapters.pop(instance, None)
                output.append(
                    {"t": "PANIC", "i": instance, "note_text": f"{type(exception).__name__}: {exception}"}
                )
        replies.write(encode({"output": output}) + b"\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
