"""The membership protocol in virtual time: joins, deaths, partitions, malicious members, limits.

Each mutant in MUTANTS breaks one rule of the protocol; the test beside it has to fail with that mutant.
"""

import inspect
import random
import textwrap
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from thymedeck.lab.membership_simulation import KEYS, SECOND, MembershipSimulation, peer_address
from thymedeck.peers import membership
from thymedeck.peers.counts_table import CountsTable
from thymedeck.peers.events import CountsUpdated
from thymedeck.peers.liveness import (
    CHAIN_KEY_BYTES,
    LINK_BYTES,
    HashChain,
    liveness_proof,
    steps_ahead,
    verify_link,
)
from thymedeck.peers.membership import PROCESS_SPAN, Membership
from thymedeck.peers.messages import (
    MAX_DATAGRAM_BYTES,
    NUMBER_LIMIT,
    VERSION,
    DatagramCodec,
    DatagramError,
    Message,
    MessageKind,
    Rumour,
    RumourStatus,
    SessionCounts,
    encode,
)

SIZE = 8


def converged_fleet(balancers: int = SIZE, seed: int = 1, **overrides: object) -> MembershipSimulation:
    simulation = MembershipSimulation(balancers, seed, **overrides)
    assert simulation.run_until(simulation.all_agree, 30 * SECOND) >= 0
    simulation.run(3 * SECOND)
    return simulation


def check_limits(simulation: MembershipSimulation) -> None:
    limit = simulation.overrides.get("send_most", 2_000)
    assert simulation.peak_bytes_per_second() <= limit
    assert all(len(member.peers) <= member.settings.peers_most for member in simulation.members.values())


def test_a_death_is_detected_within_five_seconds_and_a_restart_is_a_new_process() -> None:
    simulation = converged_fleet()
    old_process = simulation.member(3)
    simulation.kill(3)
    assert simulation.run_until(lambda: not simulation.count_holders("b3"), 5 * SECOND) >= 0
    assert all("b3" not in member.counts_table.received for member in simulation.alive().values())
    new_process = simulation.start("b3", peer_address(3))
    assert simulation.run_until(simulation.all_agree, 10 * SECOND) >= 0
    assert new_process.incarnation // PROCESS_SPAN > old_process.incarnation // PROCESS_SPAN
    # Messages of the old process may still arrive; they are dropped.
    observer = simulation.member(0)
    known, count_before = observer.peers["b3"].incarnation, observer.dropped["old incarnation"]
    late_ping = Message(
        VERSION,
        MessageKind.PING,
        "b3",
        old_process.incarnation,
        10**6,
        token=observer.token_for(peer_address(3)),
    )
    simulation.deliver(peer_address(0), simulation.codecs[peer_address(0)].seal(late_ping))
    assert (observer.peers["b3"].incarnation, observer.dropped["old incarnation"]) == (
        known,
        count_before + 1,
    )
    check_limits(simulation)


def test_a_partition_heals_and_the_totals_agree_again() -> None:
    """While cut, each half counts only itself; after that the totals include every balancer again."""
    simulation = converged_fleet(10)
    for source, target in (("b[0-4]", "b[5-9]"), ("b[5-9]", "b[0-4]")):
        simulation.add_fault(0, 15 * SECOND, source, target, cut=True)
    simulation.run(14 * SECOND)
    for member in simulation.members.values():
        half = "01234" if member.name[1] in "01234" else "56789"
        assert {peer.name for peer in member.alive_peers()} == {f"b{index}" for index in half} - {member.name}
        assert member.fleet_totals(simulation.now).coverage == 0.5
    simulation.run(SECOND)
    assert simulation.run_until(simulation.all_agree, 5 * SECOND) >= 0
    for sessions in simulation.actual_sessions.values():
        sessions.update = lambda sessions=sessions: SessionCounts(1, [("full", sessions.by_server.total())])
    simulation.run(15 * SECOND)
    total = sum(sessions.by_server.total() for sessions in simulation.actual_sessions.values())
    for member in simulation.members.values():
        totals = member.fleet_totals(simulation.now)
        assert (totals.coverage, sum(totals.by_kind.values())) == (1.0, total)
    check_limits(simulation)


@pytest.mark.parametrize("direction", [("b2", "b5"), ("b5", "b2")])
def test_a_one_way_cut_between_two_peers_causes_no_false_death(direction: tuple[str, str]) -> None:
    """Direct probes between the two fail, but indirect probes and liveness proofs still get through."""
    simulation = converged_fleet()
    simulation.add_fault(0, 60 * SECOND, *direction, cut=True)
    simulation.run(60 * SECOND)
    assert not simulation.count_falsely_gone()
    check_limits(simulation)


def test_a_balancer_that_receives_nothing_reports_its_low_coverage() -> None:
    """Its own counts alone must not be taken for those of the fleet."""
    simulation = converged_fleet()
    simulation.add_fault(0, 100 * SECOND, "*", "b4", cut=True)
    simulation.run(100 * SECOND)
    isolated = simulation.member(4)
    assert (
        not isolated.alive_peers()
        and isolated.fleet_totals(simulation.now).covered == 1
        and isolated.fleet_totals(simulation.now).coverage == 1 / SIZE
    )
    assert simulation.run_until(simulation.all_agree, 10 * SECOND) >= 0
    assert isolated.fleet_totals(simulation.now + 20 * SECOND).expected == SIZE


def test_stalled_balancers_declare_nobody_dead() -> None:
    """A process that hung has not read the answers to its probes: they must not count as failed."""
    simulation = converged_fleet(9)
    for index in (0, 3, 6):
        simulation.freeze(index, 20 * SECOND)
    simulation.run(19 * SECOND)
    running = [simulation.member(index) for index in range(9) if index % 3]
    assert all(
        {peer.name for peer in member.alive_peers()} == {other.name for other in running} - {member.name}
        for member in running
    )
    since = len(simulation.logs)
    assert simulation.run_until(simulation.all_agree, 8 * SECOND) >= 0
    woken = [text for _, name, text in simulation.logs[since:] if name in ("b0", "b3", "b6")]
    assert any(text.startswith("late by") for text in woken) and not any("gone" in text for text in woken)
    check_limits(simulation)


def test_half_the_fleet_restarts_with_clocks_an_hour_behind() -> None:
    """Incarnations come from the clock, so the restarted processes first look like earlier ones."""
    simulation = converged_fleet()
    for index in range(0, SIZE, 2):
        simulation.kill(index)
    simulation.run(2 * SECOND)
    for index in range(0, SIZE, 2):
        simulation.start(f"b{index}", peer_address(index), unix_ms=1_790_000_000_000 - 3_600_000)
    assert simulation.run_until(simulation.all_agree, 30 * SECOND) >= 0
    check_limits(simulation)


class MaliciousMember:
    """A member with a valid key that sends arbitrary messages from its own address."""

    def __init__(self, simulation: MembershipSimulation, index: int) -> None:
        self.simulation = simulation
        self.member = simulation.member(index)
        self.address = peer_address(index)

    def send(
        self, receiver: Membership, kind: MessageKind = MessageKind.ACK, name: str = "", **fields: object
    ) -> None:
        self.member.counter += 1
        message = Message(
            VERSION, kind, name or self.member.name, self.member.incarnation, self.member.counter,
            token=self.member.peers[receiver.name].token, **fields,
        )  # fmt: skip
        self.simulation.deliver(
            receiver.settings.advertise, self.simulation.codecs[self.address].seal(message)
        )


def test_a_malicious_member_can_not_declare_others_dead() -> None:
    """A rumour only leads to a probe, and a peer that makes many false claims is ignored."""
    simulation = converged_fleet()
    malicious = MaliciousMember(simulation, 7)
    others = [simulation.member(index) for index in range(7)]
    for _ in range(300):
        for member in others:
            rumours = [
                Rumour(status, peer.name, peer.incarnation + ahead)
                for peer in others
                if peer is not member
                for status, ahead in ((RumourStatus.SUSPECT, 0), (RumourStatus.DEAD, 1))
            ]
            malicious.send(member, rumours=rumours)
        simulation.run(SECOND // 10)
        assert not simulation.count_falsely_gone()
    assert any("b7 is ignored" in text for _, _, text in simulation.logs)
    check_limits(simulation)


def test_a_liveness_proof_can_not_be_forged() -> None:
    """Neither an old link of the hash chain nor an invented one revives a dead peer."""
    simulation = converged_fleet()
    malicious = MaliciousMember(simulation, 7)
    observer, victim = simulation.member(0), simulation.member(3)
    malicious.send(victim, rumours=[Rumour(RumourStatus.SUSPECT, "b3", victim.incarnation)])
    simulation.run(SECOND)
    old_proof = observer.latest_proof(victim.chain_key)
    assert victim.incarnation % PROCESS_SPAN == observer.peers["b3"].link_number == 1 and old_proof[
        CHAIN_KEY_BYTES + 1 :
    ] == victim.chain.link(1)
    simulation.kill(3)
    assert simulation.run_until(lambda: not simulation.count_holders("b3"), 5 * SECOND) >= 0
    logged_before = len(simulation.logs)
    for attempt in range(40):
        for observing in (simulation.member(n) for n in (0, 1, 2, 4, 5, 6)):
            malicious.send(
                observing,
                liveness_proofs=old_proof + liveness_proof(victim.chain_key, 2 + attempt, bytes(LINK_BYTES)),
            )
        simulation.run(SECOND // 10)
        assert not simulation.count_holders("b3")
    assert observer.dropped["no proof of life"] and any(
        "b7 is ignored" in text for _, _, text in simulation.logs[logged_before:]
    )
    check_limits(simulation)


def test_a_relayed_liveness_proof_refutes_a_suspicion() -> None:
    """The observer can't reach the suspect, so the proof comes through other peers."""
    simulation = converged_fleet()
    simulation.add_fault(0, 30 * SECOND, "b1", "b2", cut=True)
    simulation.add_fault(0, 30 * SECOND, "b2", "b1", cut=True)
    observer = simulation.member(1)
    for suspecter in (6, 7):
        incarnation = observer.peers["b2"].incarnation
        MaliciousMember(simulation, suspecter).send(
            observer, rumours=[Rumour(RumourStatus.SUSPECT, "b2", incarnation)]
        )
    simulation.run(3 * SECOND)
    assert (
        not observer.peers["b2"].is_dead
        and observer.peers["b2"].link_number == simulation.member(2).incarnation % PROCESS_SPAN > 0
    )


def test_a_used_up_hash_chain_starts_a_new_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each refutation takes a link; after the last one the peers admit the balancer as after a restart."""
    monkeypatch.setattr(membership, "CHAIN_LENGTH", 2)
    simulation = converged_fleet()
    first = simulation.member(3).incarnation // PROCESS_SPAN
    for _ in range(4):
        MaliciousMember(simulation, 7).send(
            simulation.member(3), rumours=[Rumour(RumourStatus.DEAD, "b3", simulation.member(3).incarnation)]
        )
        simulation.run(2 * SECOND)
    assert simulation.member(3).incarnation // PROCESS_SPAN == first + 1
    assert simulation.run_until(simulation.all_agree, 10 * SECOND) >= 0


@given(
    secret=st.binary(min_size=8, max_size=32), earlier=st.integers(0, 600), steps_between=st.integers(0, 600)
)
def test_a_later_link_verifies_against_an_earlier_one_only(
    secret: bytes, earlier: int, steps_between: int
) -> None:
    chain, later = HashChain(secret), earlier + steps_between
    steps = steps_ahead(later % 256, earlier)
    assert steps == (
        steps_between if steps_between <= 128 else 0 if steps_between % 256 > 128 else steps_between % 256
    )
    assert verify_link(chain.link(later), steps_between, chain.link(earlier))
    assert not verify_link(chain.link(earlier), steps_between + 1, chain.link(later))


def test_counts_of_another_balancer_can_not_be_forged() -> None:
    """Counts are stored only if the token shows that they come from the balancer they describe."""
    simulation = converged_fleet()
    malicious = MaliciousMember(simulation, 7)
    for _ in range(50):
        for index in range(7):
            member = simulation.member(index)
            before = {
                name: (entry.incarnation, entry.counts)
                for name, entry in member.counts_table.received.items()
                if name != "b7"
            }
            for name in before:
                forged = SessionCounts(10**9, [("full", 10**6)])
                malicious.send(member, MessageKind.COUNTS, name=name, counts=forged)
                malicious.send(
                    member, MessageKind.COUNTS, name=name, counts=forged, address=malicious.address
                )
            after = {
                name: (entry.incarnation, entry.counts)
                for name, entry in member.counts_table.received.items()
                if name != "b7"
            }
            assert after == before
        simulation.run(SECOND // 10)
    assert simulation.all_agree()


def test_replayed_datagrams_and_outdated_counts_are_dropped() -> None:
    """A recorded datagram that is sent again must neither restore old counts nor show a peer as alive."""
    simulation = converged_fleet()
    observer, sender = simulation.member(0), simulation.member(1)
    outdated = SessionCounts(version=1, by_kind=[("full", 77)])
    sender.counter += 1
    data = simulation.codecs[peer_address(1)].seal(
        Message(
            VERSION,
            MessageKind.COUNTS,
            "b1",
            sender.incarnation,
            sender.counter,
            token=sender.peers["b0"].token,
            counts=SessionCounts(10**6, [("full", 5)]),
        )  # fmt: skip
    )
    simulation.deliver(peer_address(0), data)
    assert observer.counts_table.received["b1"].counts.by_kind == [("full", 5)]
    heard_at = observer.peers["b1"].last_heard_at
    simulation.run(2)
    repeated_before = observer.dropped["repeated"]
    for _ in range(5):
        simulation.deliver(peer_address(0), data)
    assert (
        observer.dropped["repeated"] == repeated_before + 5 and observer.peers["b1"].last_heard_at == heard_at
    )
    assert not observer.counts_table.store(simulation.now, "b1", sender.incarnation, outdated)


def test_thousands_of_claimed_senders_take_bounded_memory() -> None:
    """Pings with new names and addresses, as anybody with the key can send, fill no table over its limit."""
    simulation = converged_fleet(peers_most=20)
    member = simulation.member(0)
    codec = DatagramCodec("lab", list(KEYS))
    for index in range(5_000):
        ping = Message(
            VERSION,
            MessageKind.PING,
            f"x{index}",
            PROCESS_SPAN,
            1,
            address=peer_address(1_000 + index),
            nonce=index + 1,
        )
        simulation.deliver(peer_address(0), codec.seal(ping))
        if index % 50 == 0:
            simulation.run(SECOND // 50)
    assert len(member.peers) == SIZE - 1 and len(member.candidates) <= membership.MAX_CANDIDATES
    assert len(member.send_queue) <= membership.MAX_SEND_QUEUE
    simulation.run(10 * SECOND)
    assert simulation.all_agree()
    check_limits(simulation)


def test_of_two_balancers_with_one_name_the_first_is_kept() -> None:
    """The peers keep the first; a peer logs the conflict, and so does one of the two balancers."""
    simulation = converged_fleet()
    second = simulation.start("b2", peer_address(50))
    simulation.run(20 * SECOND)
    assert all(
        member.peers["b2"].address == peer_address(2)
        for key, member in simulation.members.items()
        if member.name != "b2"
    )
    texts = [text for _, name, text in simulation.logs]
    assert any("two balancers use the name b2" in text for text in texts)
    assert any(
        name == "b2" and ("is taken by" in text or "also uses the name" in text)
        for _, name, text in simulation.logs
    )
    assert second.name == "b2"
    check_limits(simulation)


def test_keys_are_rotated_at_run_time() -> None:
    """Balancers get new keys one at a time; at each step, all have the key with which any signs."""
    simulation = converged_fleet()
    new = b"n" * 16
    for keys in ([KEYS[0], new], [new, KEYS[0]], [new]):
        for key in simulation.codecs:
            simulation.codecs[key].keys = keys
            simulation.run(SECOND // 2)
    simulation.run(30 * SECOND)
    assert simulation.all_agree() and not any("gone" in text for _, _, text in simulation.logs)
    assert not any(member.dropped["key"] for member in simulation.members.values())


def test_a_newer_version_is_read_or_dropped_with_a_reason() -> None:
    codec = DatagramCodec("lab", list(KEYS))
    message = Message(VERSION, MessageKind.PING, "b1", PROCESS_SPAN, 1)
    fields = msgspec.msgpack.decode(encode(message))
    extended = msgspec.msgpack.encode([*fields, "new", {"more": 1}])
    assert codec.open(codec.digest(KEYS[0], extended) + extended) == message
    other = msgspec.msgpack.encode([VERSION + 1, {"all": "new"}])
    for body, reason in (
        (other, "version"),
        (b"\xc1", "shape"),
        (extended[:-9], "shape"),
        (extended + bytes(MAX_DATAGRAM_BYTES), "size"),
    ):
        with pytest.raises(DatagramError, match=reason):
            codec.open(codec.digest(KEYS[0], body) + body)
    datagram = codec.seal(message)
    for altered in (
        datagram[:20] + bytes([datagram[20] ^ 1]) + datagram[21:],
        DatagramCodec("other", list(KEYS)).seal(message),
    ):
        with pytest.raises(DatagramError, match="key"):
            codec.open(altered)


@given(st.binary(max_size=200), st.integers(0, 1))
@settings(max_examples=200, deadline=None)
def test_any_body_with_a_valid_digest_is_decoded_or_dropped(body: bytes, cut: int) -> None:
    codec = DatagramCodec("lab", list(KEYS))
    try:
        message = codec.open(codec.digest(KEYS[0], body) + body)
    except DatagramError:
        return
    assert message.version == VERSION


FAULT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "cut", "lose", "repeat", "kill", "start", "freeze"]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(1, 60),
    ),
    max_size=12,
)


@given(FAULT_STEPS, st.integers(0, 1000))
@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_versions_never_go_back_and_totals_agree_after_faults(steps: list, seed: int) -> None:
    simulation = MembershipSimulation(4, seed)
    last: dict[tuple[str, str], tuple[int, int]] = {}

    def check_versions() -> None:
        for key, member in simulation.alive().items():
            for name, entry in member.counts_table.received.items():
                held = (entry.incarnation, entry.counts.version)
                assert last.get((key, id(member), name), (0, 0)) <= held
                last[key, id(member), name] = held

    for kind, index, other_index, duration in steps:
        match kind:
            case "cut":
                simulation.add_fault(0, duration * SECOND // 4, f"b{index}", f"b{other_index}", cut=True)
            case "lose" | "repeat":
                simulation.add_fault(
                    0, duration * SECOND // 4, "*", f"b{other_index}", **{kind: 0.5}, spread=SECOND // 2
                )
            case "kill":
                simulation.kill(index)
            case "start" if peer_address(index) in simulation.killed:
                simulation.start(f"b{index}", peer_address(index))
            case "freeze":
                simulation.freeze(index, duration * SECOND // 8)
        simulation.run(duration * SECOND // 10)
        check_versions()
    simulation.run(20 * SECOND)
    assert simulation.run_until(simulation.all_agree, 40 * SECOND) >= 0
    for sessions in simulation.actual_sessions.values():
        sessions.update = lambda sessions=sessions: SessionCounts(1, [("full", sessions.by_server.total())])
    simulation.run(15 * SECOND)
    check_versions()
    alive = simulation.alive()
    total = sum(simulation.actual_sessions[key].by_server.total() for key in alive)
    for member in alive.values():
        assert sum(member.fleet_totals(simulation.now).by_kind.values()) == total
    check_limits(simulation)


def with_replacement(function: Callable, old: str, new: str) -> Callable:
    """The function, compiled from its source with `old` replaced by `new`."""
    source = textwrap.dedent(inspect.getsource(function))
    assert old in source
    namespace: dict = {}
    exec(source.replace(old, new), function.__globals__, namespace)
    return namespace[function.__name__]


MUTANTS = {
    "old incarnations are accepted": (
        lambda patch: patch.setattr(
            Membership,
            "on_message",
            with_replacement(Membership.on_message, "message.incarnation < peer.incarnation", "False"),
        ),
        test_a_death_is_detected_within_five_seconds_and_a_restart_is_a_new_process,
    ),
    "replayed messages are accepted": (
        lambda patch: patch.setattr(membership.ReplayFilter, "accept", lambda seen, counter: True),
        test_replayed_datagrams_and_outdated_counts_are_dropped,
    ),
    "tokens are not checked": (
        lambda patch: patch.setattr(Membership, "token_for", lambda member, address: b"x"),
        test_counts_of_another_balancer_can_not_be_forged,
    ),
    "rumours count as failed probes": (
        lambda patch: patch.setattr(
            Membership, "schedule_probe", lambda member, peer, spread=0: member.on_probe_failed(peer)
        ),
        test_a_malicious_member_can_not_declare_others_dead,
    ),
    "liveness proofs are not verified": (
        lambda patch: patch.setattr(membership, "verify_link", lambda link, steps, earlier: True),
        test_a_liveness_proof_can_not_be_forged,
    ),
    "old liveness proofs are accepted": (
        lambda patch: patch.setattr(
            Membership,
            "apply_liveness_proofs",
            with_replacement(Membership.apply_liveness_proofs, "not steps or", "peer is None or steps and"),
        ),
        test_a_liveness_proof_can_not_be_forged,
    ),
    "liveness proofs are not relayed": (
        lambda patch: patch.setattr(Membership, "apply_liveness_proofs", lambda member, proofs, relay: None),
        test_a_relayed_liveness_proof_refutes_a_suspicion,
    ),
    "failure detection is not paused after a stall": (
        lambda patch: patch.setattr(Membership, "on_stall", lambda member, late_by: None),
        test_stalled_balancers_declare_nobody_dead,
    ),
    "older counts are stored": (
        lambda patch: patch.setattr(
            CountsTable, "store", with_replacement(CountsTable.store, "held is not None", "False")
        ),
        test_replayed_datagrams_and_outdated_counts_are_dropped,
    ),
    "no limit on bytes sent": (
        lambda patch: patch.setattr(membership.SlidingWindow, "remaining", lambda window, now: 10**9),
        test_a_death_is_detected_within_five_seconds_and_a_restart_is_a_new_process,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutants_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    apply_mutation, detecting_test = MUTANTS[name]
    apply_mutation(monkeypatch)
    with pytest.raises(AssertionError):
        detecting_test()


def test_the_largest_counts_fit_one_datagram_and_every_session_is_counted() -> None:
    simulation = converged_fleet(2)
    member = simulation.member(0)
    many = [(1 << 31, 10**6 + index) for index in range(140)]
    kinds = [("k" * 64 + str(index), 10**9) for index in range(9)]
    for peer in member.peers.values():
        peer.name = "n" * 64
    member.counts_table.own = None
    simulation.handle(
        peer_address(0),
        member,
        CountsUpdated(SessionCounts(1, kinds, list(many), dials=10**6, list_version=10**6)),
    )
    own = member.counts_table.own
    assert own.unlisted + sum(count for _, count in own.by_server) == sum(count for _, count in many)
    member.name = "n" * 64
    message = Message(
        VERSION,
        MessageKind.COUNTS,
        member.name,
        NUMBER_LIMIT - 1,
        NUMBER_LIMIT - 1,
        token=bytes(8),
        counts=own,
    )
    assert len(simulation.codecs[peer_address(0)].seal(message)) <= MAX_DATAGRAM_BYTES


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> list:
        simulation = MembershipSimulation(6, 5)
        simulation.add_fault(SECOND, 3 * SECOND, "b1", "*", lose=0.5, spread=50)
        simulation.run(6 * SECOND)
        return [simulation.logs, simulation.sent]

    state = random.getstate()
    assert run() == run()
    assert random.getstate() == state
