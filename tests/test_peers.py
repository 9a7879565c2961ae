"""The membership protocol in virtual time: joins, deaths, partitions, malicious members, limits."""

import inspect
import random
import textwrap
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from thymedeck.lab.membership import KEYS, SECOND, MembershipSimulation, peer_address
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


def converged_fleet(balancers: int = SIZE, seed: int = 1, **more: object) -> MembershipSimulation:
    talk = MembershipSimulation(balancers, seed, **more)
    assert talk.run_until(talk.all_agree, 30 * SECOND) >= 0
    talk.run(3 * SECOND)
    return talk


def check_limits(talk: MembershipSimulation) -> None:
    limit = talk.overrides.get("send_most", 2_000)
    assert talk.peak_bytes_per_second() <= limit
    assert all(len(node.peers) <= node.settings.peers_most for node in talk.nodes.values())


def test_a_death_is_detected_within_five_seconds_and_a_restart_is_a_new_process() -> None:
    talk = converged_fleet()
    old_process = talk.node(3)
    talk.kill(3)
    assert talk.run_until(lambda: not talk.count_holders("b3"), 5 * SECOND) >= 0
    assert all("b3" not in node.counts_table.received for node in talk.alive().values())
    new_process = talk.start("b3", peer_address(3))
    assert talk.run_until(talk.all_agree, 10 * SECOND) >= 0
    assert new_process.incarnation // PROCESS_SPAN > old_process.incarnation // PROCESS_SPAN
    # Messages of the old process may still arrive; they are dropped.
    observer = talk.node(0)
    known, count_before = observer.peers["b3"].incarnation, observer.dropped["old incarnation"]
    late_ping = Message(
        VERSION,
        MessageKind.PING,
        "b3",
        old_process.incarnation,
        10**6,
        token=observer.token_for(peer_address(3)),
    )
    talk.deliver(peer_address(0), talk.envelopes[peer_address(0)].seal(late_ping))
    assert (observer.peers["b3"].incarnation, observer.dropped["old incarnation"]) == (
        known,
        count_before + 1,
    )
    check_limits(talk)


def test_a_partition_heals_and_the_totals_agree_again() -> None:
    talk = converged_fleet(10)
    for one, other in (("b[0-4]", "b[5-9]"), ("b[5-9]", "b[0-4]")):
        talk.add_fault(0, 15 * SECOND, one, other, cut=True)
    talk.run(14 * SECOND)
    for node in talk.nodes.values():
        half = "01234" if node.name[1] in "01234" else "56789"
        assert {peer.name for peer in node.alive_peers()} == {f"b{at}" for at in half} - {node.name}
        assert node.fleet_totals(talk.now).coverage == 0.5
    talk.run(SECOND)
    assert talk.run_until(talk.all_agree, 5 * SECOND) >= 0
    for truth in talk.actual_sessions.values():
        truth.update = lambda truth=truth: SessionCounts(1, [("full", truth.by_server.total())])
    talk.run(15 * SECOND)
    total = sum(truth.by_server.total() for truth in talk.actual_sessions.values())
    for node in talk.nodes.values():
        totals = node.fleet_totals(talk.now)
        assert (totals.coverage, sum(totals.by_kind.values())) == (1.0, total)
    check_limits(talk)


@pytest.mark.parametrize("way", [("b2", "b5"), ("b5", "b2")])
def test_a_one_way_cut_between_two_peers_causes_no_false_death(way: tuple[str, str]) -> None:
    talk = converged_fleet()
    talk.add_fault(0, 60 * SECOND, *way, cut=True)
    talk.run(60 * SECOND)
    assert not talk.count_falsely_gone()
    check_limits(talk)


def test_a_balancer_that_receives_nothing_reports_its_low_coverage() -> None:
    talk = converged_fleet()
    talk.add_fault(0, 100 * SECOND, "*", "b4", cut=True)
    talk.run(100 * SECOND)
    isolated = talk.node(4)
    assert (
        not isolated.alive_peers()
        and isolated.fleet_totals(talk.now).covered == 1
        and isolated.fleet_totals(talk.now).coverage == 1 / SIZE
    )
    assert talk.run_until(talk.all_agree, 10 * SECOND) >= 0
    assert isolated.fleet_totals(talk.now + 20 * SECOND).expected == SIZE


def test_stalled_balancers_declare_nobody_dead() -> None:
    talk = converged_fleet(9)
    for at in (0, 3, 6):
        talk.freeze(at, 20 * SECOND)
    talk.run(19 * SECOND)
    running = [talk.node(at) for at in range(9) if at % 3]
    assert all(
        {peer.name for peer in node.alive_peers()} == {one.name for one in running} - {node.name}
        for node in running
    )
    since = len(talk.logs)
    assert talk.run_until(talk.all_agree, 8 * SECOND) >= 0
    woken = [text for _, name, text in talk.logs[since:] if name in ("b0", "b3", "b6")]
    assert any(text.startswith("late by") for text in woken) and not any("gone" in text for text in woken)
    check_limits(talk)


def test_half_the_fleet_restarts_with_clocks_an_hour_behind() -> None:
    talk = converged_fleet()
    for at in range(0, SIZE, 2):
        talk.kill(at)
    talk.run(2 * SECOND)
    for at in range(0, SIZE, 2):
        talk.start(f"b{at}", peer_address(at), unix_ms=1_790_000_000_000 - 3_600_000)
    assert talk.run_until(talk.all_agree, 30 * SECOND) >= 0
    check_limits(talk)


class MaliciousMember:
    """A member with a valid key that sends arbitrary messages from its own address."""

    def __init__(self, talk: MembershipSimulation, at: int) -> None:
        self.talk = talk
        self.node = talk.node(at)
        self.address = peer_address(at)

    def send(
        self, receiver: Membership, kind: MessageKind = MessageKind.ACK, name: str = "", **fields: object
    ) -> None:
        self.node.counter += 1
        message = Message(
            VERSION, kind, name or self.node.name, self.node.incarnation, self.node.counter,
            token=self.node.peers[receiver.name].token, **fields,
        )  # fmt: skip
        self.talk.deliver(receiver.settings.advertise, self.talk.envelopes[self.address].seal(message))


def test_a_malicious_member_can_not_declare_others_dead() -> None:
    talk = converged_fleet()
    malicious = MaliciousMember(talk, 7)
    others = [talk.node(at) for at in range(7)]
    for _ in range(300):
        for node in others:
            rumours = [
                Rumour(status, peer.name, peer.incarnation + ahead)
                for peer in others
                if peer is not node
                for status, ahead in ((RumourStatus.SUSPECT, 0), (RumourStatus.DEAD, 1))
            ]
            malicious.send(node, rumours=rumours)
        talk.run(SECOND // 10)
        assert not talk.count_falsely_gone()
    assert any("b7 is ignored" in text for _, _, text in talk.logs)
    check_limits(talk)


def test_a_liveness_proof_can_not_be_forged() -> None:
    talk = converged_fleet()
    malicious = MaliciousMember(talk, 7)
    observer, victim = talk.node(0), talk.node(3)
    malicious.send(victim, rumours=[Rumour(RumourStatus.SUSPECT, "b3", victim.incarnation)])
    talk.run(SECOND)
    old_proof = observer.latest_proof(victim.chain_key)
    assert victim.incarnation % PROCESS_SPAN == observer.peers["b3"].link_number == 1 and old_proof[
        CHAIN_KEY_BYTES + 1 :
    ] == victim.chain.link(1)
    talk.kill(3)
    assert talk.run_until(lambda: not talk.count_holders("b3"), 5 * SECOND) >= 0
    logged_before = len(talk.logs)
    for attempt in range(40):
        for one in (talk.node(n) for n in (0, 1, 2, 4, 5, 6)):
            malicious.send(
                one,
                liveness_proofs=old_proof + liveness_proof(victim.chain_key, 2 + attempt, bytes(LINK_BYTES)),
            )
        talk.run(SECOND // 10)
        assert not talk.count_holders("b3")
    assert observer.dropped["no proof of life"] and any(
        "b7 is ignored" in text for _, _, text in talk.logs[logged_before:]
    )
    check_limits(talk)


def test_a_relayed_liveness_proof_refutes_a_suspicion() -> None:
    talk = converged_fleet()
    talk.add_fault(0, 30 * SECOND, "b1", "b2", cut=True)
    talk.add_fault(0, 30 * SECOND, "b2", "b1", cut=True)
    observer = talk.node(1)
    for suspecter in (6, 7):
        incarnation = observer.peers["b2"].incarnation
        MaliciousMember(talk, suspecter).send(
            observer, rumours=[Rumour(RumourStatus.SUSPECT, "b2", incarnation)]
        )
    talk.run(3 * SECOND)
    assert (
        not observer.peers["b2"].is_dead
        and observer.peers["b2"].link_number == talk.node(2).incarnation % PROCESS_SPAN > 0
    )


def test_a_used_up_hash_chain_starts_a_new_process(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "CHAIN_LENGTH", 2)
    talk = converged_fleet()
    first = talk.node(3).incarnation // PROCESS_SPAN
    for _ in range(4):
        MaliciousMember(talk, 7).send(
            talk.node(3), rumours=[Rumour(RumourStatus.DEAD, "b3", talk.node(3).incarnation)]
        )
        talk.run(2 * SECOND)
    assert talk.node(3).incarnation // PROCESS_SPAN == first + 1
    assert talk.run_until(talk.all_agree, 10 * SECOND) >= 0


@given(secret=st.binary(min_size=8, max_size=32), known=st.integers(0, 600), more=st.integers(0, 600))
def test_a_later_link_verifies_against_an_earlier_one_only(secret: bytes, known: int, more: int) -> None:
    chain, later = HashChain(secret), known + more
    steps = steps_ahead(later % 256, known)
    assert steps == (more if more <= 128 else 0 if more % 256 > 128 else more % 256)
    assert verify_link(chain.link(later), more, chain.link(known))
    assert not verify_link(chain.link(known), more + 1, chain.link(later))


def test_counts_of_another_balancer_can_not_be_forged() -> None:
    talk = converged_fleet()
    malicious = MaliciousMember(talk, 7)
    for _ in range(50):
        for at in range(7):
            node = talk.node(at)
            before = {
                name: (one.incarnation, one.counts)
                for name, one in node.counts_table.received.items()
                if name != "b7"
            }
            for name in before:
                forged = SessionCounts(10**9, [("full", 10**6)])
                malicious.send(node, MessageKind.COUNTS, name=name, counts=forged)
                malicious.send(node, MessageKind.COUNTS, name=name, counts=forged, address=malicious.address)
            after = {
                name: (one.incarnation, one.counts)
                for name, one in node.counts_table.received.items()
                if name != "b7"
            }
            assert after == before
        talk.run(SECOND // 10)
    assert talk.all_agree()


def test_replayed_datagrams_and_outdated_counts_are_dropped() -> None:
    talk = converged_fleet()
    observer, sender = talk.node(0), talk.node(1)
    outdated = SessionCounts(version=1, by_kind=[("full", 77)])
    sender.counter += 1
    data = talk.envelopes[peer_address(1)].seal(
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
    talk.deliver(peer_address(0), data)
    assert observer.counts_table.received["b1"].counts.by_kind == [("full", 5)]
    heard_at = observer.peers["b1"].last_heard_at
    talk.run(2)
    repeated_before = observer.dropped["repeated"]
    for _ in range(5):
        talk.deliver(peer_address(0), data)
    assert (
        observer.dropped["repeated"] == repeated_before + 5 and observer.peers["b1"].last_heard_at == heard_at
    )
    assert not observer.counts_table.store(talk.now, "b1", sender.incarnation, outdated)


def test_thousands_of_claimed_senders_take_bounded_memory() -> None:
    talk = converged_fleet(peers_most=20)
    node = talk.node(0)
    codec = DatagramCodec("lab", list(KEYS))
    for at in range(5_000):
        ping = Message(
            VERSION,
            MessageKind.PING,
            f"x{at}",
            PROCESS_SPAN,
            1,
            address=peer_address(1_000 + at),
            nonce=at + 1,
        )
        talk.deliver(peer_address(0), codec.seal(ping))
        if at % 50 == 0:
            talk.run(SECOND // 50)
    assert len(node.peers) == SIZE - 1 and len(node.candidates) <= membership.MAX_CANDIDATES
    assert len(node.send_queue) <= membership.MAX_SEND_QUEUE
    talk.run(10 * SECOND)
    assert talk.all_agree()
    check_limits(talk)


def test_of_two_balancers_with_one_name_the_first_is_kept() -> None:
    talk = converged_fleet()
    second = talk.start("b2", peer_address(50))
    talk.run(20 * SECOND)
    assert all(
        node.peers["b2"].address == peer_address(2) for key, node in talk.nodes.items() if node.name != "b2"
    )
    said = [text for _, name, text in talk.logs]
    assert any("two balancers use the name b2" in text for text in said)
    assert any(
        name == "b2" and ("is taken by" in text or "also uses the name" in text)
        for _, name, text in talk.logs
    )
    assert second.name == "b2"
    check_limits(talk)


def test_keys_are_rotated_at_run_time() -> None:
    talk = converged_fleet()
    new = b"n" * 16
    for keys in ([KEYS[0], new], [new, KEYS[0]], [new]):
        for key in talk.envelopes:
            talk.envelopes[key].keys = keys
            talk.run(SECOND // 2)
    talk.run(30 * SECOND)
    assert talk.all_agree() and not any("gone" in text for _, _, text in talk.logs)
    assert not any(node.dropped["key"] for node in talk.nodes.values())


def test_a_newer_version_is_read_or_dropped_with_a_reason() -> None:
    codec = DatagramCodec("lab", list(KEYS))
    message = Message(VERSION, MessageKind.PING, "b1", PROCESS_SPAN, 1)
    fields = msgspec.msgpack.decode(encode(message))
    more = msgspec.msgpack.encode([*fields, "new", {"more": 1}])
    assert codec.open(codec.digest(KEYS[0], more) + more) == message
    other = msgspec.msgpack.encode([VERSION + 1, {"all": "new"}])
    for body, why in (
        (other, "version"),
        (b"\xc1", "shape"),
        (more[:-9], "shape"),
        (more + bytes(MAX_DATAGRAM_BYTES), "size"),
    ):
        with pytest.raises(DatagramError, match=why):
            codec.open(codec.digest(KEYS[0], body) + body)
    good = codec.seal(message)
    for bad in (
        good[:20] + bytes([good[20] ^ 1]) + good[21:],
        DatagramCodec("other", list(KEYS)).seal(message),
    ):
        with pytest.raises(DatagramError, match="key"):
            codec.open(bad)


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
    talk = MembershipSimulation(4, seed)
    last: dict[tuple[str, str], tuple[int, int]] = {}

    def check_versions() -> None:
        for key, node in talk.alive().items():
            for name, one in node.counts_table.received.items():
                held = (one.incarnation, one.counts.version)
                assert last.get((key, id(node), name), (0, 0)) <= held
                last[key, id(node), name] = held

    for what, one, other, span in steps:
        match what:
            case "cut":
                talk.add_fault(0, span * SECOND // 4, f"b{one}", f"b{other}", cut=True)
            case "lose" | "repeat":
                talk.add_fault(0, span * SECOND // 4, "*", f"b{other}", **{what: 0.5}, spread=SECOND // 2)
            case "kill":
                talk.kill(one)
            case "start" if peer_address(one) in talk.killed:
                talk.start(f"b{one}", peer_address(one))
            case "freeze":
                talk.freeze(one, span * SECOND // 8)
        talk.run(span * SECOND // 10)
        check_versions()
    talk.run(20 * SECOND)
    assert talk.run_until(talk.all_agree, 40 * SECOND) >= 0
    for truth in talk.actual_sessions.values():
        truth.update = lambda truth=truth: SessionCounts(1, [("full", truth.by_server.total())])
    talk.run(15 * SECOND)
    check_versions()
    alive = talk.alive()
    total = sum(talk.actual_sessions[key].by_server.total() for key in alive)
    for node in alive.values():
        assert sum(node.fleet_totals(talk.now).by_kind.values()) == total
    check_limits(talk)


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
        lambda patch: patch.setattr(Membership, "token_for", lambda node, address: b"x"),
        test_counts_of_another_balancer_can_not_be_forged,
    ),
    "rumours count as failed probes": (
        lambda patch: patch.setattr(
            Membership, "schedule_probe", lambda node, peer, spread=0: node.on_probe_failed(peer)
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
        lambda patch: patch.setattr(Membership, "apply_liveness_proofs", lambda node, proofs, relay: None),
        test_a_relayed_liveness_proof_refutes_a_suspicion,
    ),
    "failure detection is not paused after a stall": (
        lambda patch: patch.setattr(Membership, "on_stall", lambda node, late_by: None),
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
    talk = converged_fleet(2)
    node = talk.node(0)
    many = [(1 << 31, 10**6 + at) for at in range(140)]
    kinds = [("k" * 64 + str(at), 10**9) for at in range(9)]
    for peer in node.peers.values():
        peer.name = "n" * 64
    node.counts_table.own = None
    talk.handle(
        peer_address(0),
        node,
        CountsUpdated(SessionCounts(1, kinds, list(many), dials=10**6, list_version=10**6)),
    )
    own = node.counts_table.own
    assert own.unlisted + sum(count for _, count in own.by_server) == sum(count for _, count in many)
    node.name = "n" * 64
    message = Message(
        VERSION, MessageKind.COUNTS, node.name, NUMBER_LIMIT - 1, NUMBER_LIMIT - 1, token=bytes(8), counts=own
    )
    assert len(talk.envelopes[peer_address(0)].seal(message)) <= MAX_DATAGRAM_BYTES


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> list:
        talk = MembershipSimulation(6, 5)
        talk.add_fault(SECOND, 3 * SECOND, "b1", "*", lose=0.5, spread=50)
        talk.run(6 * SECOND)
        return [talk.logs, talk.sent]

    state = random.getstate()
    assert run() == run()
    assert random.getstate() == state
