"""Sessions from before the start (`at=`) whose dials end in any order and at any time: each gets one answer.

The real service runs in virtual time between one client and one server, which ends the first dials as told
and accepts all that follow. The rules are checked on the lines that the server has read.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from thymedeck.lab.scenario_run import deployment_settings
from thymedeck.lab.standins import LineConnection, ListedServer, Server, ServerConnection
from thymedeck.lab.testbed import MS, SECOND, VirtualTestbed

LOST_AFTER = 40 * SECOND
SLACK = 50 * MS  # of each time limit on sockets
RETRY_TIME = 210 * MS  # within which a dial that has ended is followed by the next one
STALL_TIME = (
    150 * MS
)  # a balancer may be held up for this long, so that it stops repeating before the window ends
CONNECTION_CUT = {"reset": True, "end": False}  # without an answer; whether by a reset
ANSWERS = {"error": b"ERR 17\r\n", "move": b"MOVE\r\n", "busy": b"BUSY\r\n", "invalid": b"HELLO\r\n"}
HARMLESS = ("busy",)  # the line was not executed
SILENT = "silent"  # nothing comes back any more, and the connection stays open


class DialEnd(Struct, frozen=True):
    kind: str
    after: int  # since the line was read


class ScriptedServer(Server):
    """Ends the first dials by the script; accepts all later ones."""

    def __init__(self, testbed: VirtualTestbed, script: list[DialEnd]) -> None:
        super().__init__(testbed.loop, testbed.record, "s0")
        self.script = script
        self.lines: list[int] = []  # when each line was read
        self.was_alone: list[bool] = []  # whether all dials before it had been closed by then

    def on_open_line(self, connection: ServerConnection, line: str) -> None:
        others = [one for one in self.connections if one is not connection]
        self.was_alone.append(not any(one.session_id for one in others))
        self.lines.append(self.loop.now())
        if len(self.lines) > len(self.script):
            self.accept_session(connection)
            return
        end = self.script[len(self.lines) - 1]
        if end.kind != SILENT:
            self.loop.after(end.after, lambda: self.end_dial(connection, end.kind))

    @staticmethod
    def end_dial(connection: ServerConnection, kind: str) -> None:
        if not connection.is_open:
            return
        if kind in CONNECTION_CUT:
            connection.close(reset=CONNECTION_CUT[kind])
        else:
            connection.write(ANSWERS[kind])
            connection.shutdown_write()


class RestoredClient(LineConnection):
    """Asks for the server at which its session was open, and keeps what it is answered."""

    def __init__(self, testbed: VirtualTestbed) -> None:
        super().__init__(testbed.loop, testbed.loop.system.stream())
        self.answer = b""
        self.answered_at = 0
        self.outbound.append(b"OPEN 5c0f6e1a2b3d4c59 7f3a9c21e0b4d655 c=chat,d=2000,at=s0\r\n")
        self.connect(testbed.client_address("b0"))
        self.update_events()

    def on_line(self, line: bytes) -> None:
        if not self.answer:
            self.answer = line
            self.answered_at = self.loop.now()


class Play:
    """One session from before the start, until its answer."""

    def __init__(self, script: list[DialEnd], effect: str, window_us: int, scope: str = "all") -> None:
        deployment = deployment_settings(1, ["m1"], ["a"])
        chat = {"effect": effect, "memory_span_us": window_us, "dedup_scope": scope}
        deployment["listeners"][0] |= chat
        self.testbed = VirtualTestbed(1, deployment)
        self.server = self.testbed.servers["s0"] = ScriptedServer(self.testbed, script)
        self.testbed.open_server(self.server)
        self.testbed.list_service.update_servers(ListedServer("s0"))
        self.testbed.known_servers = [ListedServer("s0")]
        self.testbed.start("b0")
        self.client = RestoredClient(self.testbed)
        self.asked_at = self.testbed.loop.now()

    def run(self) -> "Play":
        assert self.testbed.run_until(lambda: self.client.answer, LOST_AFTER), "no answer within 40 s"
        assert all(self.server.was_alone), "two dials at once"
        return self

    @property
    def is_up(self) -> bool:
        return self.client.answer.startswith(b"UP ")


ENDS = st.builds(DialEnd, kind=st.sampled_from([*CONNECTION_CUT, *ANSWERS]), after=st.integers(0, 1_500 * MS))
SCRIPTS = st.lists(ENDS, min_size=1, max_size=8)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(script=SCRIPTS, silences=st.integers(0, 2), position=st.integers(0, 8))
def test_a_repeatable_session_is_dialled_until_it_is_up(
    script: list[DialEnd], silences: int, position: int
) -> None:
    """Guards against a restored session that is given up after one reset (review case 10)."""
    script = script[:position] + [DialEnd(SILENT, 0)] * silences + script[position:]
    play = Play(script, "pure", 0).run()
    assert play.is_up and len(play.server.lines) == len(script) + 1, (play.client.answer, script)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(script=SCRIPTS)
def test_a_session_that_must_not_run_twice_is_dialled_again_only_if_it_never_ran(
    script: list[DialEnd],
) -> None:
    """Guards against a second execution; what is given up is answered at once."""
    play = Play(script, "side_effect", 5_000_000).run()
    executions = [at for at, end in enumerate(script) if end.kind not in HARMLESS]
    if not executions:
        assert play.is_up, play.client.answer
        return
    first = executions[0]
    assert len(play.server.lines) == first + 1 and play.client.answer.startswith(b"ERR "), script
    assert play.client.answered_at - play.server.lines[first] <= script[first].after + SLACK


@settings(max_examples=60, deadline=None, derandomize=True)
@given(script=SCRIPTS, spare=st.integers(0, 3 * SECOND), scope=st.sampled_from(["all", "zone", "cell"]))
def test_a_session_with_a_reference_is_dialled_until_it_is_up_within_the_window(
    script: list[DialEnd], spare: int, scope: str
) -> None:
    """Guards against a restored session that is given up though its server drops repeats (review case 10)."""
    window = sum(end.after + RETRY_TIME for end in script) + STALL_TIME + spare
    play = Play(script, "token", window * 100, scope).run()
    assert play.is_up and len(play.server.lines) == len(script) + 1, (play.client.answer, script)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(script=SCRIPTS, silent_after=st.integers(-20, 3), window=st.integers(0, 12 * SECOND))
def test_a_session_with_a_reference_is_not_repeated_after_the_window(
    script: list[DialEnd], silent_after: int, window: int
) -> None:
    """Guards against repeats that servers don't recognize any more."""
    if silent_after >= 0:
        script = [*script[:silent_after], DialEnd(SILENT, 0)]
    play = Play(script, "token", window * 100).run()
    executions = [at for at, end in enumerate(script) if end.kind not in HARMLESS]
    if executions:
        first, *repeats = play.server.lines[executions[0] :]
        assert all(at - first <= window for at in repeats), (play.server.lines, script)


def test_a_silent_dial_of_a_session_with_a_reference_is_repeated_within_the_window() -> None:
    play = Play([DialEnd(SILENT, 0)], "token", 5_000_000).run()
    assert play.is_up and len(play.server.lines) == 2, play.client.answer


@pytest.mark.parametrize(("effect", "window_us"), [("side_effect", 5_000_000), ("token", 1_000_000)])
def test_an_answer_that_cannot_be_asked_for_again_is_awaited(effect: str, window_us: int) -> None:
    """A server that hangs may still answer: the dial is kept as long as the time allows."""
    play = Play([DialEnd(SILENT, 0)], effect, window_us)
    play.testbed.run(30 * SECOND)
    (connection,) = play.server.connections
    play.server.accept_session(connection)
    assert play.run().is_up and len(play.server.lines) == 1, play.client.answer


def test_connections_that_never_come_up_are_made_anew() -> None:
    """Guards against one attempt to connect that takes all of the time, when nothing can have run."""
    play = Play([], "side_effect", 5_000_000)
    play.testbed.network.isolated_hosts.add(play.testbed.host_of("s0"))
    play.testbed.run(SECOND)
    play.testbed.network.isolated_hosts.clear()
    assert play.run().is_up, play.client.answer


def test_a_server_that_ends_every_dial_is_given_up_in_time() -> None:
    play = Play([DialEnd("reset", 100 * MS)] * 400, "pure", 0).run()
    assert not play.is_up and play.client.answered_at - play.asked_at > 30 * SECOND
