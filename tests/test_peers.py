"""Peers in virtual time: found, lost, cut off, lied to; each bound held in whatever happens."""

import inspect
import random
import textwrap
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from thymedeck.lab.talk import KEYS, SECOND, Talk, address
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


def met(balancers: int = SIZE, seed: int = 1, **more: object) -> Talk:
    talk = Talk(balancers, seed, **more)
    assert talk.run_until(talk.agree, 30 * SECOND) >= 0
    talk.run(3 * SECOND)
    return talk


def bounded(talk: Talk) -> None:
    most = talk.more.get("send_most", 2_000)
    assert talk.most_sent() <= most
    assert all(len(node.peers) <= node.settings.peers_most for node in talk.nodes.values())


def test_a_death_is_known_to_all_within_five_seconds_and_a_restart_is_another() -> None:
    talk = met()
    old = talk.node(3)
    talk.kill(3)
    assert talk.run_until(lambda: not talk.holders("b3"), 5 * SECOND) >= 0
    assert all("b3" not in node.counts_table.received for node in talk.alive().values())
    new = talk.start("b3", address(3))
    assert talk.run_until(talk.agree, 10 * SECOND) >= 0
    assert new.incarnation // PROCESS_SPAN > old.incarnation // PROCESS_SPAN
    # The old one's messages still arrive.
    at = talk.node(0)
    held, seen = at.peers["b3"].incarnation, at.dropped["old incarnation"]
    stray = Message(VERSION, MessageKind.PING, "b3", old.incarnation, 10**6, token=at.token_for(address(3)))
    talk.arrive(address(0), talk.envelopes[address(0)].seal(stray))
    assert (at.peers["b3"].incarnation, at.dropped["old incarnation"]) == (held, seen + 1)
    bounded(talk)


def test_halves_cut_from_each_other_agree_again_and_so_do_their_sums() -> None:
    talk = met(10)
    for one, other in (("b[0-4]", "b[5-9]"), ("b[5-9]", "b[0-4]")):
        talk.between(0, 15 * SECOND, one, other, cut=True)
    talk.run(14 * SECOND)
    for node in talk.nodes.values():
        half = "01234" if node.name[1] in "01234" else "56789"
        assert {peer.name for peer in node.alive_peers()} == {f"b{at}" for at in half} - {node.name}
        assert node.fleet_totals(talk.now).coverage == 0.5
    talk.run(SECOND)
    assert talk.run_until(talk.agree, 5 * SECOND) >= 0
    for truth in talk.truths.values():
        truth.change = lambda truth=truth: SessionCounts(1, [("full", truth.held.total())])
    talk.run(15 * SECOND)
    whole = sum(truth.held.total() for truth in talk.truths.values())
    for node in talk.nodes.values():
        told = node.fleet_totals(talk.now)
        assert (told.coverage, sum(told.by_kind.values())) == (1.0, whole)
    bounded(talk)


@pytest.mark.parametrize("way", [("b2", "b5"), ("b5", "b2")])
def test_one_that_another_can_not_hear_is_not_called_gone(way: tuple[str, str]) -> None:
    talk = met()
    talk.between(0, 60 * SECOND, *way, cut=True)
    talk.run(60 * SECOND)
    assert not talk.falsely_gone()
    bounded(talk)


def test_one_that_hears_nothing_says_how_little_it_covers() -> None:
    talk = met()
    talk.between(0, 100 * SECOND, "*", "b4", cut=True)
    talk.run(100 * SECOND)
    deaf = talk.node(4)
    assert (
        not deaf.alive_peers()
        and deaf.fleet_totals(talk.now).covered == 1
        and deaf.fleet_totals(talk.now).coverage == 1 / SIZE
    )
    assert talk.run_until(talk.agree, 10 * SECOND) >= 0
    assert deaf.fleet_totals(talk.now + 20 * SECOND).expected == SIZE


def test_a_third_that_stood_still_calls_nobody_dead() -> None:
    talk = met(9)
    for at in (0, 3, 6):
        talk.freeze(at, 20 * SECOND)
    talk.run(19 * SECOND)
    awake = [talk.node(at) for at in range(9) if at % 3]
    assert all(
        {peer.name for peer in node.alive_peers()} == {one.name for one in awake} - {node.name}
        for node in awake
    )
    since = len(talk.logs)
    assert talk.run_until(talk.agree, 8 * SECOND) >= 0
    woken = [text for _, name, text in talk.logs[since:] if name in ("b0", "b3", "b6")]
    assert any(text.startswith("late by") for text in woken) and not any("gone" in text for text in woken)
    bounded(talk)


def test_half_killed_and_back_with_clocks_an_hour_behind() -> None:
    talk = met()
    for at in range(0, SIZE, 2):
        talk.kill(at)
    talk.run(2 * SECOND)
    for at in range(0, SIZE, 2):
        talk.start(f"b{at}", address(at), unix_ms=1_790_000_000_000 - 3_600_000)
    assert talk.run_until(talk.agree, 30 * SECOND) >= 0
    bounded(talk)


class Hostile:
    """A member with the key that says what it likes, from its own address."""

    def __init__(self, talk: Talk, at: int) -> None:
        self.talk = talk
        self.node = talk.node(at)
        self.key = address(at)

    def say(
        self, to: Membership, kind: MessageKind = MessageKind.ACK, name: str = "", **more: object
    ) -> None:
        self.node.counter += 1
        message = Message(
            VERSION, kind, name or self.node.name, self.node.incarnation, self.node.counter,
            token=self.node.peers[to.name].token, **more,
        )  # fmt: skip
        self.talk.arrive(to.settings.advertise, self.talk.envelopes[self.key].seal(message))


def test_one_with_the_key_that_calls_all_others_dead_does_no_harm() -> None:
    talk = met()
    hostile = Hostile(talk, 7)
    others = [talk.node(at) for at in range(7)]
    for _ in range(300):
        for node in others:
            rumours = [
                Rumour(status, peer.name, peer.incarnation + ahead)
                for peer in others
                if peer is not node
                for status, ahead in ((RumourStatus.SUSPECT, 0), (RumourStatus.DEAD, 1))
            ]
            hostile.say(node, rumours=rumours)
        talk.run(SECOND // 10)
        assert not talk.falsely_gone()
    assert any("b7 is ignored" in text for _, _, text in talk.logs)
    bounded(talk)


def test_nobody_proves_the_life_of_another() -> None:
    talk = met()
    hostile = Hostile(talk, 7)
    at, victim = talk.node(0), talk.node(3)
    hostile.say(victim, rumours=[Rumour(RumourStatus.SUSPECT, "b3", victim.incarnation)])
    talk.run(SECOND)
    old = at.latest_proof(victim.chain_key)
    assert victim.incarnation % PROCESS_SPAN == at.peers["b3"].link_number == 1 and old[
        CHAIN_KEY_BYTES + 1 :
    ] == victim.chain.link(1)
    talk.kill(3)
    assert talk.run_until(lambda: not talk.holders("b3"), 5 * SECOND) >= 0
    ago = len(talk.logs)
    for again in range(40):
        for one in (talk.node(n) for n in (0, 1, 2, 4, 5, 6)):
            hostile.say(
                one, liveness_proofs=old + liveness_proof(victim.chain_key, 2 + again, bytes(LINK_BYTES))
            )
        talk.run(SECOND // 10)
        assert not talk.holders("b3")
    assert at.dropped["no proof of life"] and any("b7 is ignored" in text for _, _, text in talk.logs[ago:])
    bounded(talk)


def test_a_proof_that_others_pass_on_saves_one_that_can_not_be_reached() -> None:
    talk = met()
    talk.between(0, 30 * SECOND, "b1", "b2", cut=True)
    talk.between(0, 30 * SECOND, "b2", "b1", cut=True)
    at = talk.node(1)
    for voice in (6, 7):
        doubted = at.peers["b2"].incarnation
        Hostile(talk, voice).say(at, rumours=[Rumour(RumourStatus.SUSPECT, "b2", doubted)])
    talk.run(3 * SECOND)
    assert (
        not at.peers["b2"].is_dead
        and at.peers["b2"].link_number == talk.node(2).incarnation % PROCESS_SPAN > 0
    )


def test_one_whose_links_are_used_up_is_met_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "CHAIN_LENGTH", 2)
    talk = met()
    first = talk.node(3).incarnation // PROCESS_SPAN
    for _ in range(4):
        Hostile(talk, 7).say(
            talk.node(3), rumours=[Rumour(RumourStatus.DEAD, "b3", talk.node(3).incarnation)]
        )
        talk.run(2 * SECOND)
    assert talk.node(3).incarnation // PROCESS_SPAN == first + 1
    assert talk.run_until(talk.agree, 10 * SECOND) >= 0


@given(secret=st.binary(min_size=8, max_size=32), known=st.integers(0, 600), more=st.integers(0, 600))
def test_a_later_link_makes_the_earlier_and_no_other_does(secret: bytes, known: int, more: int) -> None:
    chain, later = HashChain(secret), known + more
    steps = steps_ahead(later % 256, known)
    assert steps == (more if more <= 128 else 0 if more % 256 > 128 else more % 256)
    assert verify_link(chain.link(later), more, chain.link(known))
    assert not verify_link(chain.link(known), more + 1, chain.link(later))


def test_nobody_changes_what_another_has_told() -> None:
    talk = met()
    hostile = Hostile(talk, 7)
    for _ in range(50):
        for at in range(7):
            node = talk.node(at)
            held = {
                name: (one.incarnation, one.counts)
                for name, one in node.counts_table.received.items()
                if name != "b7"
            }
            for name in held:
                lie = SessionCounts(10**9, [("full", 10**6)])
                hostile.say(node, MessageKind.COUNTS, name=name, counts=lie)
                hostile.say(node, MessageKind.COUNTS, name=name, counts=lie, address=hostile.key)
            now = {
                name: (one.incarnation, one.counts)
                for name, one in node.counts_table.received.items()
                if name != "b7"
            }
            assert now == held
        talk.run(SECOND // 10)
    assert talk.agree()


def test_a_repeated_datagram_counts_once_and_an_old_one_not_at_all() -> None:
    talk = met()
    at, by = talk.node(0), talk.node(1)
    old = SessionCounts(version=1, by_kind=[("full", 77)])
    by.counter += 1
    data = talk.envelopes[address(1)].seal(
        Message(
            VERSION,
            MessageKind.COUNTS,
            "b1",
            by.incarnation,
            by.counter,
            token=by.peers["b0"].token,
            counts=SessionCounts(10**6, [("full", 5)]),
        )  # fmt: skip
    )
    talk.arrive(address(0), data)
    assert at.counts_table.received["b1"].counts.by_kind == [("full", 5)]
    heard_at = at.peers["b1"].last_heard_at
    talk.run(2)
    before = at.dropped["repeated"]
    for _ in range(5):
        talk.arrive(address(0), data)
    assert at.dropped["repeated"] == before + 5 and at.peers["b1"].last_heard_at == heard_at
    assert not at.counts_table.store(talk.now, "b1", by.incarnation, old)


def test_what_claims_to_be_thousands_takes_a_bounded_room() -> None:
    talk = met(peers_most=20)
    node = talk.node(0)
    envelope = DatagramCodec("lab", list(KEYS))
    for at in range(5_000):
        ping = Message(
            VERSION, MessageKind.PING, f"x{at}", PROCESS_SPAN, 1, address=address(1_000 + at), nonce=at + 1
        )
        talk.arrive(address(0), envelope.seal(ping))
        if at % 50 == 0:
            talk.run(SECOND // 50)
    assert len(node.peers) == SIZE - 1 and len(node.candidates) <= membership.MAX_CANDIDATES
    assert len(node.send_queue) <= membership.MAX_SEND_QUEUE
    talk.run(10 * SECOND)
    assert talk.agree()
    bounded(talk)


def test_two_under_one_name_are_one_and_the_first_counts() -> None:
    talk = met()
    second = talk.start("b2", address(50))
    talk.run(20 * SECOND)
    assert all(
        node.peers["b2"].address == address(2) for key, node in talk.nodes.items() if node.name != "b2"
    )
    said = [text for _, name, text in talk.logs]
    assert any("two balancers use the name b2" in text for text in said)
    assert any(
        name == "b2" and ("is taken by" in text or "also uses the name" in text)
        for _, name, text in talk.logs
    )
    assert second.name == "b2"
    bounded(talk)


def test_keys_are_changed_under_way() -> None:
    talk = met()
    new = b"n" * 16
    for keys in ([KEYS[0], new], [new, KEYS[0]], [new]):
        for key in talk.envelopes:
            talk.envelopes[key].keys = keys
            talk.run(SECOND // 2)
    talk.run(30 * SECOND)
    assert talk.agree() and not any("gone" in text for _, _, text in talk.logs)
    assert not any(node.dropped["key"] for node in talk.nodes.values())


def test_a_newer_version_is_read_or_dropped_and_counted() -> None:
    envelope = DatagramCodec("lab", list(KEYS))
    message = Message(VERSION, MessageKind.PING, "b1", PROCESS_SPAN, 1)
    fields = msgspec.msgpack.decode(encode(message))
    more = msgspec.msgpack.encode([*fields, "new", {"more": 1}])
    assert envelope.open(envelope.digest(KEYS[0], more) + more) == message
    other = msgspec.msgpack.encode([VERSION + 1, {"all": "new"}])
    for body, why in (
        (other, "version"),
        (b"\xc1", "shape"),
        (more[:-9], "shape"),
        (more + bytes(MAX_DATAGRAM_BYTES), "size"),
    ):
        with pytest.raises(DatagramError, match=why):
            envelope.open(envelope.digest(KEYS[0], body) + body)
    good = envelope.seal(message)
    for bad in (
        good[:20] + bytes([good[20] ^ 1]) + good[21:],
        DatagramCodec("other", list(KEYS)).seal(message),
    ):
        with pytest.raises(DatagramError, match="key"):
            envelope.open(bad)


@given(st.binary(max_size=200), st.integers(0, 1))
@settings(max_examples=200, deadline=None)
def test_no_body_under_the_right_key_breaks_it(body: bytes, cut: int) -> None:
    envelope = DatagramCodec("lab", list(KEYS))
    try:
        message = envelope.open(envelope.digest(KEYS[0], body) + body)
    except DatagramError:
        return
    assert message.version == VERSION


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "cut", "lose", "repeat", "kill", "start", "freeze"]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(1, 60),
    ),
    max_size=12,
)


@given(STEPS, st.integers(0, 1000))
@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_entries_never_go_back_and_sums_agree_once_healed(steps: list, seed: int) -> None:
    talk = Talk(4, seed)
    last: dict[tuple[str, str], tuple[int, int]] = {}

    def look() -> None:
        for key, node in talk.alive().items():
            for name, one in node.counts_table.received.items():
                held = (one.incarnation, one.counts.version)
                assert last.get((key, id(node), name), (0, 0)) <= held
                last[key, id(node), name] = held

    for what, one, other, span in steps:
        match what:
            case "cut":
                talk.between(0, span * SECOND // 4, f"b{one}", f"b{other}", cut=True)
            case "lose" | "repeat":
                talk.between(0, span * SECOND // 4, "*", f"b{other}", **{what: 0.5}, spread=SECOND // 2)
            case "kill":
                talk.kill(one)
            case "start" if address(one) in talk.dead:
                talk.start(f"b{one}", address(one))
            case "freeze":
                talk.freeze(one, span * SECOND // 8)
        talk.run(span * SECOND // 10)
        look()
    talk.run(20 * SECOND)
    assert talk.run_until(talk.agree, 40 * SECOND) >= 0
    for truth in talk.truths.values():
        truth.change = lambda truth=truth: SessionCounts(1, [("full", truth.held.total())])
    talk.run(15 * SECOND)
    look()
    alive = talk.alive()
    whole = sum(talk.truths[key].held.total() for key in alive)
    for node in alive.values():
        assert sum(node.fleet_totals(talk.now).by_kind.values()) == whole
    bounded(talk)


def rewritten(function: Callable, old: str, new: str) -> Callable:
    """The function with one thing in it changed."""
    source = textwrap.dedent(inspect.getsource(function))
    assert old in source
    made: dict = {}
    exec(source.replace(old, new), function.__globals__, made)
    return made[function.__name__]


MUTANTS = {
    "any incarnation": (
        lambda patch: patch.setattr(
            Membership,
            "on_message",
            rewritten(Membership.on_message, "message.incarnation < peer.incarnation", "False"),
        ),
        test_a_death_is_known_to_all_within_five_seconds_and_a_restart_is_another,
    ),
    "repeats count": (
        lambda patch: patch.setattr(membership.ReplayFilter, "accept", lambda seen, counter: True),
        test_a_repeated_datagram_counts_once_and_an_old_one_not_at_all,
    ),
    "lies about others count": (
        lambda patch: patch.setattr(Membership, "token_for", lambda node, address: b"x"),
        test_nobody_changes_what_another_has_told,
    ),
    "hearsay kills": (
        lambda patch: patch.setattr(
            Membership, "schedule_probe", lambda node, peer, spread=0: node.on_probe_failed(peer)
        ),
        test_one_with_the_key_that_calls_all_others_dead_does_no_harm,
    ),
    "any proof is taken": (
        lambda patch: patch.setattr(membership, "verify_link", lambda link, steps, earlier: True),
        test_nobody_proves_the_life_of_another,
    ),
    "an old proof brings back": (
        lambda patch: patch.setattr(
            Membership,
            "apply_liveness_proofs",
            rewritten(Membership.apply_liveness_proofs, "not steps or", "peer is None or steps and"),
        ),
        test_nobody_proves_the_life_of_another,
    ),
    "proofs are not passed on": (
        lambda patch: patch.setattr(Membership, "apply_liveness_proofs", lambda node, proofs, relay: None),
        test_a_proof_that_others_pass_on_saves_one_that_can_not_be_reached,
    ),
    "no rest after standing still": (
        lambda patch: patch.setattr(Membership, "on_stall", lambda node, late_by: None),
        test_a_third_that_stood_still_calls_nobody_dead,
    ),
    "older entries are taken": (
        lambda patch: patch.setattr(
            CountsTable, "store", rewritten(CountsTable.store, "held is not None", "False")
        ),
        test_a_repeated_datagram_counts_once_and_an_old_one_not_at_all,
    ),
    "no bound on bytes": (
        lambda patch: patch.setattr(membership.SlidingWindow, "remaining", lambda window, now: 10**9),
        test_a_death_is_known_to_all_within_five_seconds_and_a_restart_is_another,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutants_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    mutate, caught_by = MUTANTS[name]
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        caught_by()


def test_the_fullest_counts_fit_one_datagram_and_nothing_is_left_out() -> None:
    talk = met(2)
    node = talk.node(0)
    many = [(1 << 31, 10**6 + at) for at in range(140)]
    kinds = [("k" * 64 + str(at), 10**9) for at in range(9)]
    for peer in node.peers.values():
        peer.name = "n" * 64
    node.counts_table.own = None
    talk.tell(
        address(0), node, CountsUpdated(SessionCounts(1, kinds, list(many), dials=10**6, list_version=10**6))
    )
    own = node.counts_table.own
    assert own.unlisted + sum(count for _, count in own.by_server) == sum(count for _, count in many)
    node.name = "n" * 64
    message = Message(
        VERSION, MessageKind.COUNTS, node.name, NUMBER_LIMIT - 1, NUMBER_LIMIT - 1, token=bytes(8), counts=own
    )
    assert len(talk.envelopes[address(0)].seal(message)) <= MAX_DATAGRAM_BYTES


def test_the_same_seed_gives_the_same_play() -> None:
    def played() -> list:
        talk = Talk(6, 5)
        talk.between(SECOND, 3 * SECOND, "b1", "*", lose=0.5, spread=50)
        talk.run(6 * SECOND)
        return [talk.logs, talk.sent]

    state = random.getstate()
    assert played() == played()
    assert random.getstate() == state
