"""Gossip membership in the manner of SWIM: which balancers are alive, and what they report of themselves.

Make one Membership and call handle(now, event) for each event; perform the actions that it returns. `now` is
a monotonic clock in tenths of a millisecond. A rumour is believed only with a proof (docs/peers.md): a peer
is alive once it has sent back the token that was sent to its address, and dead once this balancer's own
probes of it have failed and no liveness proof has arrived within the suspicion timeout.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from math import ceil, log2

from .counts_table import CountsTable, FleetTotals
from .events import (
    Action,
    CountsUpdated,
    Event,
    Log,
    MessageReceived,
    ReceiveOverflow,
    Send,
    ShutdownStarted,
    Tick,
)
from .limits import SECOND, ReplayFilter, SlidingWindow
from .liveness import (
    CHAIN_KEY_BYTES,
    CHAIN_LENGTH,
    PROOF_BYTES,
    PROOF_REQUEST_BYTES,
    HashChain,
    chain_key,
    liveness_proof,
    proof_request,
    split_fixed,
    steps_ahead,
    verify_link,
)
from .messages import (
    DIGEST_BYTES,
    MAX_RUMOURS,
    VERSION,
    Message,
    MessageKind,
    Rumour,
    RumourStatus,
    encode,
    short_digest,
)
from .settings import PeerSettings, is_address

# Times are in tenths of a millisecond unless the name gives another unit.
TICK = SECOND // 10
STALL_THRESHOLD = SECOND // 2  # a tick that is this late shows that this process was stalled
DETECTION_PAUSE = 2 * SECOND  # after a stall or a flood: failed probes don't count, no peer is declared dead
PROCESS_START_MS = 100  # processes of one name that start at least this far apart get different incarnations
PROCESS_SPAN = 100_000  # incarnations reserved for one process; each refutation takes the next one
REFUTE_INTERVAL = SECOND
INDIRECT_PROBES = 3  # peers asked for an indirect probe
FAILURES_ALONE = 4  # failed probes required where nobody else suspects the peer; one where others do
MIN_SUSPECTERS = 2  # other peers that have to suspect it for their suspicions to count
# Times gossip_rounds(): within the timeout a rumour has to reach the suspect, and its proof to come back.
SUSPICION_TIMEOUT_PER_ROUND = SECOND * 3 // 20
# When a rumour is checked by a probe, as parts of the suspicion timeout: by then most refutations have come.
RUMOUR_PROBE_FROM, RUMOUR_PROBE_TO = 0.25, 0.5
# After more than MANY_DEATHS within this time, this balancer itself was probably cut off, and the others
# consider it dead: it then releases a liveness proof without being asked, at most once per
# SELF_PROOF_INTERVAL.
MANY_DEATHS = 3
MANY_DEATHS_WITHIN = 5 * SECOND
SELF_PROOF_INTERVAL = 10 * SECOND
NAME_HELD_FOR = 3 * SECOND  # a peer heard from within this time keeps its name against a newcomer
LOSS_SAMPLES = 16  # recent answered probes from which the rate of loss is estimated
LOSS_WEIGHT = 16  # multiplied by the rate of loss: failed probes that are required in addition
# The claims of a peer are ignored for IGNORE_FOR once it has sent MAX_FALSE_CLAIMS wrong suspicions or
# invalid liveness proofs within FALSE_CLAIMS_WITHIN.
MAX_FALSE_CLAIMS = 6
FALSE_CLAIMS_WITHIN = 10 * SECOND
IGNORE_FOR = 60 * SECOND
RUMOUR_PROBES_PER_SECOND = 10
# Times the number of known peers, these are the longest random delays before a new balancer is contacted and
# before a suspect is probed again.
MEETING_SPREAD_PER_PEER = SECOND // 20
REPROBE_SPREAD_PER_PEER = SECOND // 200
FORGET_DEAD_AFTER = 600 * SECOND  # until then a dead peer is still probed now and then
JOIN_INTERVAL = SECOND
EAGER_JOIN_FOR = 10 * SECOND  # after the start, the join list is contacted even if some peers are known
REJOIN_INTERVAL = 30 * SECOND  # for addresses of the join list at which no peer is known to be alive
MAX_CANDIDATE_PINGS = 4
TYPICAL_DATAGRAM_BYTES = 200  # rumours are added up to this size
RUMOUR_REPEATS = 3  # times that a balancer sends a rumour; several receivers verify it and send it in turn
PROOF_REPEATS = 5  # the same for a liveness proof
REQUESTS_PER_PROBE = 20  # proof requests added to a probe
MAX_PROOF_REQUESTS = 60  # in a probe of a peer that has come back: others may have come back with it
MAX_PROOFS_ANSWERED = 60
URGENT_FANOUT = 3  # peers that get a suspicion or a liveness proof in datagrams of their own
URGENT_PER_SECOND = 3
RELAYED_PROOF_BYTES = 130  # of a datagram, for liveness proofs that are relayed
URGENT_PROOF_BYTES = 390  # the same of an urgent datagram
# A suspicion is sent this many times gossip_rounds(): few peers find it by themselves, and all wait for it.
SUSPECT_REPEATS_PER_ROUND = 2
MIN_RUMOUR_BYTES = 50  # left to rumours even in a datagram above the typical size
MAX_KINDS = 4  # kinds of machine in this balancer's own counts
MAX_COUNTS_BYTES = 900  # leaves room for the longest names in the same datagram
COUNTS_MIN_INTERVAL = SECOND  # between counts sent to the same peer
COUNTS_REPEAT_INTERVAL = 10 * SECOND  # unchanged counts are sent again after this: the last may be lost
# The reserves are fractions of the send limit. The counts leave this much of it to probes and answers:
COUNTS_RESERVE = 0.2
COUNTS_RESERVE_WHEN_BUSY = 0.85  # while there are candidates, or more suspects than MANY_SUSPECTS
MANY_SUSPECTS = 3
URGENT_RESERVE = 0.15  # all other datagrams leave this to suspicions and liveness proofs
MEETING_RESERVE = 0.4  # pings of candidates leave this to the answers to them
RANDOM_RUMOURS = 2  # known peers named in a message that has no news to carry
MAX_QUEUE_AGE = SECOND // 2  # a message that has waited longer is not sent any more
MAX_CHALLENGE_QUEUE_AGE = 3 * SECOND  # the same of an answer with a challenge, which no probe waits for
MAX_SEND_QUEUE = 512
MAX_CANDIDATES = 256
MAX_MESSAGES_PER_PEER = 40  # accepted from one peer in a second
UNKNOWN_SENDER_SHARE = 0.4  # of the receive limit, for pings of senders that have yet to prove their address
DAY_MS = 86_400_000  # an incarnation more than a day ahead of the local clock is rejected
LOG_INTERVAL = 10 * SECOND
NAMES_PER_LOG_LINE = 3
NONCE_BITS = 48


class Peer:
    """Another balancer, as this balancer sees it."""

    __slots__ = (
        "address", "chain_key", "chain_link", "counts_sent_at", "counts_sent_version", "dead_since",
        "failed_probes", "has_indirect_probes", "incarnation", "is_dead", "is_suspect", "last_heard_at",
        "last_probed_at", "link_number", "name", "nonce", "probe_due_at", "probe_started_at",
        "receive_limit", "replay_filter", "suspected_by", "suspected_since", "token",
    )  # fmt: skip

    def __init__(self, name: str, address: str, incarnation: int, now: int) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.chain_key = chain_key(name, incarnation // PROCESS_SPAN)
        self.link_number = 0
        self.chain_link = b""  # the latest known link of its hash chain
        self.token = b""  # the token that it issued, sent back with every message to it
        self.replay_filter = ReplayFilter()
        self.receive_limit = SlidingWindow(MAX_MESSAGES_PER_PEER)
        self.last_heard_at = now
        self.last_probed_at = now
        self.is_dead = False
        self.dead_since = 0
        self.is_suspect = False  # this balancer's own probes failed
        self.failed_probes = 0  # in a row
        self.suspected_by: set[str] = set()  # names of other peers
        self.nonce = 0  # of the probe in flight; 0: none
        self.probe_started_at = 0
        self.has_indirect_probes = False  # indirect probes were requested for the probe in flight
        self.probe_due_at = -1  # -1: no probe is scheduled
        self.suspected_since = -1  # by this balancer or by a rumour; -1: not suspected
        self.counts_sent_at = -COUNTS_REPEAT_INTERVAL
        self.counts_sent_version = 0


class Candidate:
    """An address at which a balancer is said to be reached, before it has proved that by a token."""

    __slots__ = ("attempts", "due_at", "nonce")

    def __init__(self, due_at: int) -> None:
        self.due_at = due_at
        self.nonce = 0
        self.attempts = 0


class IndirectProbe:
    """A probe that this balancer makes for another."""

    __slots__ = ("nonce", "requester", "started_at", "target")

    def __init__(self, requester: str, target: str, nonce: int, started_at: int) -> None:
        self.requester = requester
        self.target = target
        self.nonce = nonce
        self.started_at = started_at


class Membership:
    """All state and decisions; it does no I/O and reads no clock."""

    def __init__(
        self, settings: PeerSettings, name: str, seed: int, now: int, unix_ms: int, expected_size: int
    ) -> None:
        """`unix_ms` is the wall clock now; `expected_size` the size of the fleet as the settings state it."""
        self.settings = settings
        self.name = name
        self.expected_size = expected_size
        self.started_at = now
        self.start_unix_ms = unix_ms
        self.incarnation = self.incarnation_at(unix_ms)  # a later process gets a higher one
        self.refuted_at = now - REFUTE_INTERVAL
        self.counter = 0  # number of the last message sent
        rng = random.Random(seed)
        self.uniform = rng.uniform
        self.sample = rng.sample
        self.random_bits = rng.getrandbits
        self.secret = rng.randbytes(32)
        self.randbytes = rng.randbytes
        self.chain = HashChain(self.randbytes(32))
        self.chain_key = chain_key(name, self.incarnation // PROCESS_SPAN)
        self.self_proof_at = now - SELF_PROOF_INTERVAL
        # When a rumour about an earlier process last made this balancer take a higher process number.
        self.process_raised_at = now - IGNORE_FOR
        self.now = now
        self.actions: list[Action] = []
        self.peers: dict[str, Peer] = {}
        self.by_chain_key: dict[bytes, Peer] = {}
        # Peers with a probe in flight or scheduled, and suspects that may still send a liveness proof.
        self.probing: dict[str, Peer] = {}
        self.counts_queue: deque[Peer] = deque()  # in the order in which they get the own counts next
        self.candidates: dict[str, Candidate] = {}  # by address
        self.counts_table = CountsTable(settings.forget_after)
        # By the name that they are about, with the number of times that each is still to be sent.
        self.rumours: dict[str, tuple[Rumour, int]] = {}
        self.proof_repeats: dict[bytes, int] = {}  # liveness proofs to relay, by chain key: times left
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.false_claims: dict[str, SlidingWindow] = {}  # by the peer that made them
        self.recent_deaths = SlidingWindow(MANY_DEATHS, MANY_DEATHS_WITHIN)
        self.urgent_limit = SlidingWindow(URGENT_PER_SECOND)
        self.ignored_until: dict[str, int] = {}  # by peer
        self.rumour_probe_limit = SlidingWindow(RUMOUR_PROBES_PER_SECOND)
        # For recent answered probes: whether the answer came only after indirect probes were requested.
        self.probe_losses: deque[bool] = deque(maxlen=LOSS_SAMPLES)
        self.send_queue: deque[tuple[int, str, MessageKind, bytes, dict]] = deque()
        self.send_limit = SlidingWindow(settings.send_most)
        self.unknown_sender_limit = SlidingWindow(max(int(settings.take_most * UNKNOWN_SENDER_SHARE), 1))
        self.last_tick_at = now
        self.detection_paused_until = now
        self.next_probe_at = now + int(self.uniform(0, settings.period))
        self.next_join_at = now
        self.join_attempts = 0
        self.next_rejoin_at = now + REJOIN_INTERVAL
        self.is_draining = False
        self.newly_alive: list[str] = []  # since log_changes() last wrote a line
        self.newly_dead: list[str] = []  # since then too
        self.changes_logged_at = now
        self.logged_at: dict[str, int] = {}  # by kind of line
        self.dropped: Counter[str] = Counter()  # messages, proofs and rumours that were not used, by reason
        self.handlers: dict[type, Callable[[Event], None]] = {
            Tick: self.on_tick,
            MessageReceived: self.on_message,
            CountsUpdated: self.on_counts_updated,
            ShutdownStarted: self.on_shutdown_started,
            ReceiveOverflow: self.on_receive_overflow,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)
        self.flush()
        return self.actions

    def alive_peers(self) -> list[Peer]:
        """Peers that are not considered dead, including suspects."""
        return [peer for peer in self.peers.values() if not peer.is_dead]

    def fleet_totals(self, now: int) -> FleetTotals:
        """Totals of the whole fleet, with their coverage and the age of the oldest entry."""
        return self.counts_table.totals(now, max(self.expected_size, 1 + len(self.alive_peers())))

    def unix_now_ms(self) -> int:
        return self.start_unix_ms + (self.now - self.started_at) // 10

    @staticmethod
    def incarnation_at(unix_ms: int) -> int:
        return max(unix_ms // PROCESS_START_MS, 1) * PROCESS_SPAN

    # Sending

    def token_for(self, address: str) -> bytes:
        """A token that only a receiver at this address can send back. No state is kept for it."""
        return short_digest(self.secret, address.encode())

    def enqueue(self, destination: str, kind: MessageKind, token: bytes, **fields: object) -> None:
        if len(self.send_queue) >= MAX_SEND_QUEUE:
            self.send_queue.popleft()
            self.count_dropped("no room to send")
        self.send_queue.append((self.now, destination, kind, token, fields))

    def flush(self) -> None:
        """Sends the queued answers in order; the own counts get what answers and probes leave of the limit.

        All of them leave a reserve, so that a balancer with many answers to send can still prove to be alive.
        """
        while self.send_queue:
            queued_at, address, kind, token, fields = self.send_queue[0]
            if self.now - queued_at > (
                MAX_QUEUE_AGE if not fields.get("challenge") else MAX_CHALLENGE_QUEUE_AGE
            ):
                self.send_queue.popleft()
                self.count_dropped("sent too late")
                continue
            if not self.transmit(address, kind, token, fields, self.available_bytes()):
                return
            self.send_queue.popleft()
        self.send_counts()

    def available_bytes(self) -> int:
        return self.send_limit.remaining(self.now) - int(URGENT_RESERVE * self.settings.send_most)

    def transmit(self, address: str, kind: MessageKind, token: bytes, fields: dict, available: int) -> bool:
        """Whether the message fitted in the available bytes; proofs and rumours fill up the datagram."""
        message = Message(VERSION, kind, self.name, self.incarnation, self.counter + 1, token=token, **fields)
        if message.address:
            message.chain_link = self.chain.link(self.incarnation % PROCESS_SPAN)
        size = DIGEST_BYTES + len(encode(message))
        if size > available:
            return False
        self.counter += 1
        is_urgent = kind == MessageKind.COUNTS and message.counts is None
        size += self.add_liveness_proofs(
            message, min(available - size, URGENT_PROOF_BYTES if is_urgent else RELAYED_PROOF_BYTES)
        )
        size += self.add_rumours(
            message,
            min(
                available - size,
                MIN_RUMOUR_BYTES if self.is_busy() else max(TYPICAL_DATAGRAM_BYTES - size, MIN_RUMOUR_BYTES),
            ),
        )
        self.send_limit.try_take(self.now, size)
        self.actions.append(Send(address, message))
        return True

    def transmit_now(
        self, address: str, kind: MessageKind, token: bytes, fields: dict, reserve: float = 0.0
    ) -> bool:
        """Sends at once or not at all, and returns whether it was sent.

        Nothing is sent while answers are queued: they go first. The message is not queued, as the answer to a
        probe is timed from the moment of sending.
        """
        available = self.available_bytes() - int(reserve * self.settings.send_most)
        return not self.send_queue and self.transmit(address, kind, token, fields, available)

    def is_busy(self) -> bool:
        return bool(self.candidates) or self.has_many_suspects()

    def has_many_suspects(self) -> bool:
        return sum(peer.is_suspect for peer in self.probing.values()) > MANY_SUSPECTS

    def add_rumours(self, message: Message, available: int) -> int:
        """Returns the bytes added. The newest come first; each is sent a few times by all who verified it.

        Without news, some random alive peers are named, so that two balancers that missed each other's
        arrival meet in the end.
        """
        added = 0
        for name, (rumour, times_left) in list(self.rumours.items())[: -MAX_RUMOURS - 1 : -1]:
            size = len(encode(rumour))
            if added + size + 2 > available:
                break
            message.rumours = [*message.rumours, rumour]
            added += size + 2 * (not added)
            del self.rumours[name]
            if times_left > 1:
                self.rumours[name] = (rumour, times_left - 1)
        if message.rumours:
            return added
        for name in self.sample(list(self.peers), min(RANDOM_RUMOURS, len(self.peers))):
            peer = self.peers[name]
            rumour = Rumour(RumourStatus.ALIVE, name, peer.incarnation, peer.address)
            size = len(encode(rumour))
            if not (peer.is_dead or peer.is_suspect) and added + size + 2 <= available:
                message.rumours = [*message.rumours, rumour]
                added += size + 2 * (not added)
        return added

    def add_liveness_proofs(self, message: Message, available: int) -> int:
        """Adds the liveness proofs to be relayed, newest first. Returns an upper bound of the bytes added."""
        count = min(max(available - 2, 0) // PROOF_BYTES, len(self.proof_repeats))
        length_before = len(message.liveness_proofs)
        for key in list(self.proof_repeats)[: -count - 1 : -1]:
            times_left = self.proof_repeats.pop(key)
            message.liveness_proofs += self.latest_proof(key)
            if times_left > 1:
                self.proof_repeats[key] = times_left - 1
        return len(message.liveness_proofs) - length_before + (1 if len(message.liveness_proofs) > 255 else 0)

    def latest_proof(self, key: bytes) -> bytes:
        """The latest liveness proof known for this chain key; empty if there is none."""
        if key == self.chain_key:
            number = self.incarnation % PROCESS_SPAN
            return liveness_proof(key, number, self.chain.link(number))
        peer = self.by_chain_key.get(key)
        return (
            liveness_proof(key, peer.link_number, peer.chain_link)
            if peer is not None and peer.chain_link
            else b""
        )

    def proof_requests(self, limit: int, first: Peer | None = None) -> bytes:
        """Requests for at most `limit` random peers that are dead or suspected, and for `first` if it is."""
        chosen = [
            peer
            for peer in self.peers.values()
            if peer is not first and (peer.is_dead or peer.suspected_since >= 0)
        ]
        chosen = self.sample(chosen, min(limit, len(chosen)))
        if first is not None and (first.is_dead or first.suspected_since >= 0):
            chosen.append(first)
        return b"".join(proof_request(peer.chain_key, peer.incarnation % PROCESS_SPAN) for peer in chosen)

    def queue_rumour(self, status: RumourStatus, name: str, incarnation: int, address: str = "") -> None:
        self.rumours.pop(name, None)
        repeats = (
            SUSPECT_REPEATS_PER_ROUND * self.gossip_rounds()
            if status == RumourStatus.SUSPECT
            else RUMOUR_REPEATS
        )
        self.rumours[name] = (Rumour(status, name, incarnation, address), repeats)

    def send_ping(
        self, address: str, token: bytes, nonce: int, reserve: float = 0.0, **fields: object
    ) -> bool:
        return self.transmit_now(
            address, MessageKind.PING, token, self.own_contact(address) | {"nonce": nonce} | fields, reserve
        )

    def own_contact(self, address: str) -> dict[str, object]:
        """The fields by which the receiver at this address can get to know this balancer."""
        return {"issued_token": self.token_for(address), "address": self.settings.advertise}

    def send_urgent(self, is_own: bool = False) -> None:
        """Sends queued suspicions and liveness proofs to a few peers at once, ahead of the queued answers.

        Peers for which they are news do the same. Only its own proof (`is_own`) is not rate-limited.
        """
        others = [
            other for other in self.peers.values() if not (other.is_dead or other.is_suspect) and other.token
        ]
        for peer in self.sample(others, min(URGENT_FANOUT, len(others))):
            if is_own or self.urgent_limit.try_take(self.now, 1):
                self.transmit(
                    peer.address, MessageKind.COUNTS, peer.token, {}, self.send_limit.remaining(self.now)
                )

    def send_counts(self) -> None:
        """Sends the own counts to each peer directly, longest-waiting first; counts are never relayed."""
        own = self.counts_table.own
        if own is None:
            return
        reserve = int(
            self.settings.send_most * (COUNTS_RESERVE_WHEN_BUSY if self.is_busy() else COUNTS_RESERVE)
        )
        while self.counts_queue:
            peer = self.counts_queue[0]
            if peer.is_dead or self.peers.get(peer.name) is not peer:
                self.counts_queue.popleft()
                continue
            # The peers behind it in the queue got theirs later, of the same version or a newer one.
            interval = (
                COUNTS_MIN_INTERVAL if peer.counts_sent_version < own.version else COUNTS_REPEAT_INTERVAL
            )
            available = self.available_bytes() - reserve
            if self.now - peer.counts_sent_at < interval or not self.transmit(
                peer.address, MessageKind.COUNTS, peer.token, {"counts": own}, available
            ):
                return
            peer.counts_sent_at = self.now
            peer.counts_sent_version = own.version
            self.counts_queue.rotate(-1)

    # Receiving

    def on_message(self, event: MessageReceived) -> None:
        message = event.message
        name = message.name
        if name == self.name:
            if message.address not in ("", self.settings.advertise):
                self.log_limited(
                    f"another balancer also uses the name {name}, at {message.address}", "own name"
                )
            self.count_dropped("own name")
            return
        if message.incarnation > self.incarnation_at(self.unix_now_ms() + DAY_MS):
            self.count_dropped("from the future")
            return
        peer = self.peers.get(name)
        if peer is None or not self.is_known_process(peer, message):
            self.on_unknown_sender(peer, message)
            return
        if message.incarnation < peer.incarnation:
            # From the previous process, or from a new one whose clock went back: the latter learns of the
            # higher incarnation from the answer, and takes one above it.
            self.count_dropped("old incarnation")
            if message.incarnation // PROCESS_SPAN < peer.incarnation // PROCESS_SPAN:
                self.send_challenge(message, [Rumour(RumourStatus.DEAD, name, peer.incarnation)])
            return
        if message.token != self.token_for(peer.address):
            self.send_challenge(message)
            return
        if not peer.receive_limit.try_take(self.now, 1):
            self.count_dropped("too many")
            return
        if not peer.replay_filter.accept(message.counter):
            self.count_dropped("repeated")
            return
        if message.liveness_proofs and self.now >= self.ignored_until.get(name, 0):
            self.apply_liveness_proofs(message.liveness_proofs, peer)
        peer.incarnation = max(peer.incarnation, message.incarnation)
        if message.chain_link:
            peer.chain_link, peer.link_number = message.chain_link, message.incarnation % PROCESS_SPAN
        if message.issued_token:
            peer.token = message.issued_token
        was_dead = peer.is_dead
        self.mark_heard(peer)
        for request in split_fixed(message.proof_requests, PROOF_REQUEST_BYTES)[:MAX_PROOF_REQUESTS]:
            if request[:CHAIN_KEY_BYTES] == self.chain_key and not steps_ahead(
                request[CHAIN_KEY_BYTES], self.incarnation % PROCESS_SPAN
            ):
                # A request that lags behind the current link only needs the latest proof again.
                self.on_own_suspicion(
                    self.incarnation
                    if request == proof_request(self.chain_key, self.incarnation % PROCESS_SPAN)
                    else 0
                )
        if message.kind == MessageKind.PING:
            self.answer_ping(peer, message)
        elif message.kind == MessageKind.ACK:
            self.on_ack(peer, message)
        elif message.kind == MessageKind.ASK:
            self.start_indirect_probe(peer, message)
        elif message.kind == MessageKind.PROOF:
            self.on_indirect_proof(message)
        elif message.counts is not None:
            self.counts_table.store(self.now, name, peer.incarnation, message.counts)
        for rumour in message.rumours:
            self.on_rumour(rumour, peer)
        if was_dead and not peer.nonce and (requests := self.proof_requests(MAX_PROOF_REQUESTS)):
            # The network may have healed for others too, and this peer knows of them: all suspicions restart.
            for other in self.probing.values():
                if other.suspected_since >= 0 and not other.nonce:
                    self.start_suspicion(other)
            self.start_probe(peer, requests)

    def apply_liveness_proofs(self, proofs: bytes, relay: Peer) -> None:
        """Checks each proof, whoever relayed it, against the latest link that is known of its owner."""
        for proof in split_fixed(proofs, PROOF_BYTES):
            peer = self.by_chain_key.get(proof[:CHAIN_KEY_BYTES])
            steps = (
                steps_ahead(proof[CHAIN_KEY_BYTES], peer.link_number)
                if peer is not None and peer.chain_link
                else 0
            )
            if not steps or peer.link_number + steps <= peer.incarnation % PROCESS_SPAN and peer is not relay:
                if (
                    peer is not None
                    and peer.is_dead
                    and proof[CHAIN_KEY_BYTES] == peer.incarnation % PROCESS_SPAN % 256
                ):
                    # An old link proves nothing, but shows that the relay considers the peer alive.
                    self.schedule_probe(peer)
                continue
            if not verify_link(proof[CHAIN_KEY_BYTES + 1 :], steps, peer.chain_link):
                self.count_dropped("no proof of life")
                self.note_false_claim(relay.name)
                return
            peer.link_number += steps
            peer.chain_link = proof[CHAIN_KEY_BYTES + 1 :]
            peer.incarnation = max(
                peer.incarnation, peer.incarnation // PROCESS_SPAN * PROCESS_SPAN + peer.link_number
            )
            was_suspected = peer.suspected_since >= 0 or peer.is_dead
            self.mark_alive(peer)
            self.queue_proof(peer.chain_key, PROOF_REPEATS)
            if was_suspected:
                self.send_urgent()

    def queue_proof(self, key: bytes, repeats: int) -> None:
        self.proof_repeats[key] = max(repeats, self.proof_repeats.pop(key, 0))

    @staticmethod
    def is_known_process(peer: Peer, message: Message) -> bool:
        """Whether the sender is the process that is known under this name, or an earlier one."""
        has_moved = message.address not in ("", peer.address)
        return not has_moved and message.incarnation // PROCESS_SPAN <= peer.incarnation // PROCESS_SPAN

    def on_unknown_sender(self, known: Peer | None, message: Message) -> None:
        """Handles a message from a new balancer, a later process of a known one, or a changed address."""
        address = message.address
        if not is_address(address):
            self.count_dropped("no proof")
            return
        candidate = self.candidates.get(address)
        at_address = known if known and known.address == address else None
        nonces = {contact.nonce for contact in (candidate, at_address) if contact}
        if (
            message.kind == MessageKind.ACK
            and message.nonce
            and message.nonce in nonces
            and message.token == self.token_for(address)
        ):
            self.candidates.pop(address, None)
            if peer := self.admit(known, message):
                self.on_ack(peer, message)
                for rumour in message.rumours:
                    self.on_rumour(rumour, peer)
            return
        if message.kind != MessageKind.PING:
            self.count_dropped("no proof")
            return
        self.send_challenge(message)

    def send_challenge(self, message: Message, rumours: Sequence[Rumour] = ()) -> None:
        """Answers a ping of a sender that has yet to prove its address, and asks for that proof."""
        address = message.address
        if (
            message.kind != MessageKind.PING
            or not is_address(address)
            or not self.unknown_sender_limit.try_take(self.now, 1)
        ):
            self.count_dropped("no proof")
            return
        challenge = 0
        if candidate := self.add_candidate(address, self.now + 2 * self.settings.answer_within):
            challenge = candidate.nonce = candidate.nonce or self.random_bits(NONCE_BITS) + 1
        fields = {"nonce": message.nonce, "challenge": challenge, "rumours": list(rumours)}
        self.enqueue(address, MessageKind.ACK, message.issued_token, **self.own_contact(address), **fields)

    def add_candidate(self, address: str, due_at: int) -> Candidate | None:
        """The candidate at this address, a new one if needed; None where there is no room for one more."""
        found = self.candidates.get(address)
        if found is None and address != self.settings.advertise and len(self.candidates) < MAX_CANDIDATES:
            found = self.candidates[address] = Candidate(due_at)
        return found

    def admit(self, known: Peer | None, message: Message) -> Peer | None:
        """Makes a peer of a sender that proved its address; None if its name is taken or there is no room."""
        name, address = message.name, message.address
        if known is not None and not known.is_dead and known.address != address:
            if self.now - known.last_heard_at > NAME_HELD_FOR:
                self.schedule_probe(known)  # the owner of the name may be dead; the newcomer tries again
                return None
            if known.incarnation < message.incarnation:
                self.log_limited(
                    f"two balancers use the name {name}: {known.address} and {address}; the first is kept",
                    "duplicate name",
                )
                self.queue_rumour(RumourStatus.ALIVE, name, known.incarnation, known.address)
                return None
        if known is None and len(self.peers) >= self.settings.peers_most and not self.make_room():
            self.log_limited(
                f"limit of {self.settings.peers_most} peers reached: {name} is not admitted", "peer limit"
            )
            return None
        if known is not None:
            # Its false claims are kept, so that a misbehaving peer can't clear them with a restart.
            self.drop_process(known)
        peer = self.peers[name] = Peer(name, address, message.incarnation, self.now)
        self.by_chain_key[peer.chain_key] = peer
        self.counts_table.drop(name)
        peer.replay_filter.accept(message.counter)
        peer.token = message.issued_token
        peer.chain_link, peer.link_number = message.chain_link, message.incarnation % PROCESS_SPAN
        self.counts_queue.appendleft(peer)
        if known is None or known.is_dead:
            self.newly_alive.append(name)
        self.queue_rumour(RumourStatus.ALIVE, name, peer.incarnation, address)
        return peer

    def make_room(self) -> bool:
        """Forgets the peer that has been dead for longest; whether there was one."""
        dead = [peer for peer in self.peers.values() if peer.is_dead]
        if dead:
            self.forget(min(dead, key=lambda peer: peer.dead_since))
        return bool(dead)

    def forget(self, peer: Peer) -> None:
        del self.peers[peer.name]
        self.drop_process(peer)
        self.false_claims.pop(peer.name, None)
        self.ignored_until.pop(peer.name, None)

    def drop_process(self, peer: Peer) -> None:
        self.by_chain_key.pop(peer.chain_key, None)
        self.proof_repeats.pop(peer.chain_key, None)
        self.probing.pop(peer.name, None)

    def answer_ping(self, peer: Peer, message: Message) -> None:
        fields: dict[str, object] = {"nonce": message.nonce, "issued_token": self.token_for(peer.address)}
        if message.target:
            # An indirect probe: the proof that this balancer was reached can be verified by the peer that
            # asked for the probe, and can't be made by the one that relays it.
            requester = self.peers.get(message.target)
            if requester is None or not requester.token:
                return
            fields["indirect_proof"] = short_digest(requester.token, message.nonce.to_bytes(8))
        proofs = b""
        for request in split_fixed(message.proof_requests, PROOF_REQUEST_BYTES)[:MAX_PROOFS_ANSWERED]:
            owner = self.by_chain_key.get(request[:CHAIN_KEY_BYTES])
            if owner is not None and (owner.is_dead or owner.is_suspect):
                continue
            latest = self.latest_proof(request[:CHAIN_KEY_BYTES])
            if latest and steps_ahead(latest[CHAIN_KEY_BYTES], request[CHAIN_KEY_BYTES] - 1):
                proofs += latest
        self.enqueue(peer.address, MessageKind.ACK, peer.token, liveness_proofs=proofs, **fields)

    def on_ack(self, peer: Peer, message: Message) -> None:
        if message.challenge:
            fields = self.own_contact(peer.address)
            self.enqueue(peer.address, MessageKind.ACK, peer.token, nonce=message.challenge, **fields)
        if message.nonce and message.nonce == peer.nonce:
            self.probe_losses.append(peer.has_indirect_probes)
            peer.nonce = 0
        probe = self.indirect_probes.pop(message.nonce, None)
        if probe is not None and probe.target == peer.name and message.indirect_proof:
            requester = self.peers.get(probe.requester)
            if requester is not None:
                self.enqueue(
                    requester.address,
                    MessageKind.PROOF,
                    requester.token,
                    nonce=probe.nonce,
                    target=probe.target,
                    indirect_proof=message.indirect_proof,
                )

    def start_indirect_probe(self, requester: Peer, message: Message) -> None:
        peer = self.peers.get(message.target)
        if peer is None or peer is requester or len(self.indirect_probes) >= MAX_SEND_QUEUE:
            return
        self.indirect_probes[message.nonce] = IndirectProbe(
            requester.name, peer.name, message.nonce, self.now
        )
        self.send_ping(peer.address, peer.token, message.nonce, target=requester.name)

    def on_indirect_proof(self, message: Message) -> None:
        peer = self.peers.get(message.target)
        if peer is None or not message.nonce or message.nonce != peer.nonce:
            return
        expected = short_digest(self.token_for(peer.address), message.nonce.to_bytes(8))
        if message.indirect_proof != expected:
            self.count_dropped("no proof")
            return
        self.probe_losses.append(True)
        peer.nonce = 0
        self.mark_alive(peer)

    # Rumours and suspicion

    def on_rumour(self, rumour: Rumour, sender: Peer) -> None:
        """Schedules a check. Only a suspicion is relayed before this balancer has verified it."""
        if rumour.name == self.name:
            if rumour.status != RumourStatus.ALIVE:
                if self.now >= self.ignored_until.get(sender.name, 0):
                    self.on_own_suspicion(rumour.incarnation)
            elif rumour.address != self.settings.advertise:
                self.log_limited(
                    f"the name {self.name} is taken by {rumour.address}; the peers don't admit this balancer",
                    "own name",
                )
            return
        peer = self.peers.get(rumour.name)
        if rumour.status == RumourStatus.ALIVE:
            if peer is None or rumour.incarnation // PROCESS_SPAN > peer.incarnation // PROCESS_SPAN:
                if is_address(rumour.address):
                    spread = int(self.uniform(0, len(self.peers) * MEETING_SPREAD_PER_PEER))
                    self.add_candidate(rumour.address, self.now + self.contact_delay(rumour.name) + spread)
            elif peer.is_dead:
                self.schedule_contact(peer)
            return
        if peer is None or peer.is_dead:
            return
        if rumour.incarnation < peer.incarnation:
            if rumour.incarnation % PROCESS_SPAN < peer.link_number and self.urgent_limit.try_take(
                self.now, 1
            ):
                # The suspicion is already refuted; the sender has missed the proof.
                self.transmit_now(
                    sender.address,
                    MessageKind.COUNTS,
                    sender.token,
                    {"liveness_proofs": self.latest_proof(peer.chain_key)},
                )
            return
        if self.now < self.ignored_until.get(sender.name, 0):
            self.count_dropped("not heeded")
            return
        if rumour.status != RumourStatus.RELAYED_SUSPECT:
            peer.suspected_by.add(sender.name)
        if peer.suspected_since < 0 and self.rumour_probe_limit.try_take(self.now, 1):
            # Relayed at once, so that the suspect hears of it and its proof arrives before most have probed.
            self.queue_rumour(RumourStatus.RELAYED_SUSPECT, peer.name, peer.incarnation)
            self.send_urgent()
            self.start_suspicion(peer)

    def start_suspicion(self, peer: Peer) -> None:
        """Starts the suspicion timeout, and schedules a probe within it."""
        peer.suspected_since = self.now
        if not peer.nonce:
            timeout = self.suspicion_timeout()
            peer.probe_due_at = self.now + int(
                self.uniform(RUMOUR_PROBE_FROM * timeout, RUMOUR_PROBE_TO * timeout)
            )
            self.probing[peer.name] = peer

    def gossip_rounds(self) -> int:
        """Rounds until a rumour has reached the whole fleet, if each holder tells one peer per round."""
        return ceil(log2(2 + len(self.peers)))

    def suspicion_timeout(self) -> int:
        return SUSPICION_TIMEOUT_PER_ROUND * self.gossip_rounds()

    def contact_delay(self, name: str) -> int:
        """The delay before this balancer contacts the one of this name.

        Of the two, the one whose name sorts first goes first; the other waits a second longer, so that it
        only makes contact if that failed.
        """
        return int(self.uniform(0, SECOND / 2)) + (0 if self.name < name else SECOND)

    def schedule_contact(self, peer: Peer) -> None:
        """Schedules a probe of a dead peer that somebody reports as alive."""
        if peer.probe_due_at < 0 and not peer.nonce:
            peer.probe_due_at = self.now + self.contact_delay(peer.name)
            self.probing[peer.name] = peer

    def schedule_probe(self, peer: Peer, spread: int = 0) -> None:
        peer.probe_due_at = self.now + int(self.uniform(0, self.settings.answer_within / 2 + spread))
        self.probing[peer.name] = peer

    def on_own_suspicion(self, incarnation: int) -> None:
        """A peer suspects this balancer at `incarnation`, or considers it dead."""
        process = self.incarnation // PROCESS_SPAN
        if incarnation // PROCESS_SPAN > process:
            # From an earlier process, whose clock was ahead. It is limited, so that nobody can force new
            # incarnations over and over.
            if (
                self.now - self.process_raised_at < IGNORE_FOR
                or self.incarnation_at(self.unix_now_ms() + DAY_MS // 2) <= incarnation
            ):
                return
            self.process_raised_at = self.now
            self.start_new_process(incarnation // PROCESS_SPAN + 1)
        elif incarnation == self.incarnation:
            if self.now - self.refuted_at < REFUTE_INTERVAL:
                return
            self.refute()
        elif incarnation < self.incarnation:
            self.queue_proof(self.chain_key, PROOF_REPEATS)

    def refute(self) -> None:
        """Takes the next incarnation and releases its link as a liveness proof."""
        self.refuted_at = self.now
        if self.incarnation % PROCESS_SPAN == CHAIN_LENGTH:
            self.start_new_process(self.incarnation // PROCESS_SPAN + 1)
            return
        self.incarnation += 1
        self.queue_proof(self.chain_key, PROOF_REPEATS * self.gossip_rounds())
        self.send_urgent(is_own=True)

    def start_new_process(self, process: int) -> None:
        """Takes a new hash chain; the peers see a restart and admit this balancer anew."""
        self.proof_repeats.pop(self.chain_key, None)
        self.incarnation = process * PROCESS_SPAN
        self.chain = HashChain(self.randbytes(32))
        self.chain_key = chain_key(self.name, process)
        self.queue_rumour(RumourStatus.ALIVE, self.name, self.incarnation, self.settings.advertise)

    def mark_heard(self, peer: Peer) -> None:
        """A verified message came from the peer itself, so the way to it works."""
        peer.last_heard_at = self.now
        self.candidates.pop(peer.address, None)
        if peer.is_dead or peer.suspected_since >= 0 or peer.failed_probes:
            self.mark_alive(peer)

    def mark_alive(self, peer: Peer) -> None:
        """Ends any suspicion; the peers that suspected it made a false claim."""
        peer.failed_probes = 0
        peer.suspected_since = -1
        if peer.is_dead:
            peer.is_dead = False
            peer.counts_sent_version = 0
            self.counts_queue.appendleft(peer)
            self.newly_alive.append(peer.name)
            if peer.chain_link:
                self.queue_proof(peer.chain_key, PROOF_REPEATS)
        for suspecter in peer.suspected_by:
            self.note_false_claim(suspecter)
        peer.suspected_by.clear()
        peer.is_suspect = False
        peer.probe_due_at = -1
        peer.nonce = 0  # ends a probe in flight: it may only be its answer that is late
        if peer.name in self.rumours and self.rumours[peer.name][0].status != RumourStatus.ALIVE:
            del self.rumours[peer.name]

    def note_false_claim(self, name: str) -> None:
        """Ignores the claims of a peer for a while once it has made too many wrong ones."""
        if not self.false_claims.setdefault(
            name, SlidingWindow(MAX_FALSE_CLAIMS - 1, FALSE_CLAIMS_WITHIN)
        ).try_take(self.now, 1):
            del self.false_claims[name]
            self.ignored_until[name] = self.now + IGNORE_FOR
            self.log_limited(
                f"peer {name} is ignored for a minute: {MAX_FALSE_CLAIMS} wrong suspicions", "ignored peer"
            )

    # Probes

    def on_tick(self, event: Tick) -> None:
        late_by = self.now - self.last_tick_at - TICK
        self.last_tick_at = self.now
        if late_by > STALL_THRESHOLD:
            self.on_stall(late_by)
        for name, peer in list(self.probing.items()):
            if peer.nonce:
                self.check_probe(peer)
            if 0 <= peer.probe_due_at <= self.now and not peer.nonce:
                self.start_probe(peer)
            if not peer.nonce and peer.probe_due_at < 0:
                if peer.suspected_since < 0:
                    del self.probing[name]
                else:
                    self.evaluate_suspicion(peer)
        if self.now >= self.next_probe_at:
            self.next_probe_at = self.now + self.settings.period
            self.probe_next()
        self.contact_candidates()
        for nonce in [
            nonce for nonce, probe in self.indirect_probes.items() if self.now - probe.started_at > 2 * SECOND
        ]:
            del self.indirect_probes[nonce]
        self.counts_table.drop_expired(self.now)
        self.log_changes()

    def on_stall(self, late_by: int) -> None:
        """Cancels all probes and suspicions, so that no peer is declared dead because this process hung."""
        self.detection_paused_until = self.now + DETECTION_PAUSE
        for peer in self.probing.values():
            peer.nonce = 0
            peer.probe_due_at = -1
            peer.suspected_since = -1
            peer.failed_probes = 0
        self.indirect_probes.clear()
        self.log_limited(
            f"late by {late_by / SECOND:.1f} s; no peer is declared dead for {DETECTION_PAUSE // SECOND} s",
            "stall",
        )

    def on_receive_overflow(self, event: ReceiveOverflow) -> None:
        """Pauses failure detection: answers of peers may have been lost in the flood."""
        self.detection_paused_until = self.now + DETECTION_PAUSE
        self.log_limited(
            f"datagram flood; no peer is declared dead until {DETECTION_PAUSE // SECOND} s after it", "flood"
        )

    def probe_next(self) -> None:
        """Probes at most one alive peer and one dead one, and forgets peers that have been dead for long."""
        for peer in [
            dead
            for dead in self.peers.values()
            if dead.is_dead and self.now - dead.dead_since > FORGET_DEAD_AFTER
        ]:
            self.forget(peer)
        for is_dead in (False, True):
            eligible = [
                peer
                for peer in self.peers.values()
                if peer.is_dead is is_dead and not peer.nonce and peer.probe_due_at < 0
            ]
            # All balancers together probe each peer about once a period. More probes would flood a peer that
            # comes back and, while the balancers are still meeting, the few peers that all of them met first.
            fleet_size = len(self.peers) + (0 if is_dead else len(self.candidates))
            if eligible and self.uniform(0, fleet_size) < len(eligible):
                self.start_probe(self.pick_round_robin(eligible))

    def pick_round_robin(self, eligible: list[Peer]) -> Peer:
        """The peer that follows this balancer in the order of names by as many places as periods have passed.

        So in each period every balancer is probed by one other, and by all in turn. With random choice, some
        would not be probed by anybody for seconds; with a choice of the peer not heard from for longest, a
        peer that has just died would be probed last, as it was heard from. Clocks that differ make it as
        uneven as random choice.
        """
        ring = sorted([self.name, *(peer.name for peer in self.alive_peers())])
        turn = self.unix_now_ms() * 10 // self.settings.period
        name = ring[(ring.index(self.name) + 1 + turn % max(len(ring) - 1, 1)) % len(ring)]
        return next((peer for peer in eligible if peer.name == name), None) or self.sample(eligible, 1)[0]

    def start_probe(self, peer: Peer, requests: bytes = b"") -> None:
        nonce = self.random_bits(NONCE_BITS) + 1
        requests = requests or self.proof_requests(REQUESTS_PER_PROBE, peer)
        if not self.send_ping(peer.address, peer.token, nonce, proof_requests=requests):
            self.schedule_probe(peer)
            return
        peer.probe_due_at = -1
        peer.nonce = nonce
        peer.probe_started_at = peer.last_probed_at = self.now
        peer.has_indirect_probes = False
        self.probing[peer.name] = peer

    def check_probe(self, peer: Peer) -> None:
        """Requests indirect probes, or ends the probe as failed, once its time is over."""
        waited = self.now - peer.probe_started_at
        answer_within = self.settings.answer_within
        if waited < answer_within:
            return
        if peer.is_dead:
            peer.nonce = 0
        elif waited >= 2 * answer_within or peer.suspected_since >= 0 and not peer.is_suspect:
            # No indirect probes to check a rumour: if the rumour is wrong, a liveness proof refutes it.
            self.on_probe_failed(peer)
        elif (
            not peer.has_indirect_probes
            and (peer.suspected_since < 0 or not peer.failed_probes % 2)
            and not self.has_many_suspects()
        ):
            # With many suspects the fleet is probably partitioned: requests about the other side would use up
            # the send limit.
            helpers = [
                other
                for other in self.peers.values()
                if not (other.is_dead or other.is_suspect or other is peer) and other.token
            ]
            fields = {"nonce": peer.nonce, "target": peer.name}
            for helper in self.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
                peer.has_indirect_probes |= self.transmit_now(
                    helper.address, MessageKind.ASK, helper.token, fields
                )
            if helpers and not peer.has_indirect_probes:
                # The send limit left no room for a request, so this probe tells nothing.
                peer.nonce = 0
                self.schedule_probe(peer)

    def on_probe_failed(self, peer: Peer) -> None:
        peer.nonce = 0
        if self.now < self.detection_paused_until:
            return
        peer.failed_probes += 1
        if peer.suspected_since < 0 and peer.failed_probes <= self.expected_losses():
            # Probes lost on the way raise no suspicion: a busy or lossy fleet would be flooded by rumours.
            self.schedule_probe(peer)
            return
        if not peer.is_suspect:
            peer.is_suspect = True
            is_first = peer.suspected_since < 0
            peer.suspected_since = self.now if is_first else peer.suspected_since
            self.queue_rumour(RumourStatus.SUSPECT, peer.name, peer.incarnation)
            if is_first:
                self.send_urgent()
        self.evaluate_suspicion(peer)

    def evaluate_suspicion(self, peer: Peer) -> None:
        """For a suspect without a probe in flight: schedules another probe, or declares it dead.

        It is dead once enough probes have failed and the suspicion timeout is over.
        """
        if peer.failed_probes < self.required_failures(peer):
            self.schedule_probe(peer, len(self.peers) * REPROBE_SPREAD_PER_PEER)
        elif (
            self.now - peer.suspected_since >= self.suspicion_timeout()
            and self.now >= self.detection_paused_until
        ):
            self.declare_dead(peer)

    def required_failures(self, peer: Peer) -> int:
        """Probes in a row that have to fail; more while many are lost on the way."""
        others = sum(not (other.is_dead or other.is_suspect) for other in self.peers.values())
        is_confirmed = others and len(peer.suspected_by) >= min(MIN_SUSPECTERS, others)
        return (1 if is_confirmed else FAILURES_ALONE) + self.expected_losses()

    def expected_losses(self) -> int:
        """Failed probes that are explained by the recent rate of loss."""
        return int(LOSS_WEIGHT * sum(self.probe_losses) / LOSS_SAMPLES)

    def declare_dead(self, peer: Peer) -> None:
        peer.is_dead = True
        peer.dead_since = self.now
        peer.suspected_since = -1
        peer.probe_due_at = -1
        peer.suspected_by.clear()
        self.counts_table.drop(peer.name)
        self.newly_dead.append(peer.name)
        self.queue_rumour(RumourStatus.DEAD, peer.name, peer.incarnation)
        if (
            not self.recent_deaths.try_take(self.now, 1)
            and self.now - self.self_proof_at >= SELF_PROOF_INTERVAL
        ):
            # Peers that consider this balancer dead then get its proof from any peer that they reach again.
            self.self_proof_at = self.now
            self.refute()

    # Joining

    def contact_candidates(self) -> None:
        """Adds addresses of the join list to the candidates when it is time, and pings those that are due."""
        if self.now >= self.next_join_at:
            self.join_attempts += 1
            self.next_join_at = self.now + int(JOIN_INTERVAL * self.uniform(1, 1 + self.join_attempts))
            is_rejoin = self.now >= self.next_rejoin_at
            if is_rejoin:
                self.next_rejoin_at = self.now + REJOIN_INTERVAL
            # Contacting only until the first peer is met could leave two separate fleets, each around another
            # address of the list.
            if is_rejoin or self.now - self.started_at < EAGER_JOIN_FOR or not self.alive_peers():
                known = {peer.address for peer in self.alive_peers()}
                unknown = [
                    listed
                    for listed in self.settings.join
                    if listed not in known and listed != self.settings.advertise
                ]
                # One random address at a time: a fleet that starts together must not overload the first one.
                for address in self.sample(unknown, min(len(unknown), 1)):
                    self.add_candidate(address, self.now)
        for address, candidate in list(self.candidates.items()):
            if candidate.due_at > self.now:
                continue
            if candidate.attempts >= MAX_CANDIDATE_PINGS:
                del self.candidates[address]
                continue
            candidate.nonce = candidate.nonce or self.random_bits(NONCE_BITS) + 1
            if not self.send_ping(address, b"", candidate.nonce, reserve=MEETING_RESERVE):
                return
            candidate.attempts += 1
            candidate.due_at = self.now + int(
                self.uniform(1, 2) * (self.settings.period + len(self.peers) * MEETING_SPREAD_PER_PEER)
            )

    # Own state and logging

    def on_counts_updated(self, event: CountsUpdated) -> None:
        counts = event.counts
        counts.draining = counts.draining or self.is_draining
        counts.by_kind = counts.by_kind[:MAX_KINDS]
        while counts.by_server and len(encode(counts)) > MAX_COUNTS_BYTES:
            # Receivers drop a datagram that is too large, so the servers with fewest sessions go unlisted.
            counts.unlisted += counts.by_server.pop()[1]
        self.counts_table.set_own(self.now, counts)

    def on_shutdown_started(self, event: ShutdownStarted) -> None:
        self.is_draining = True
        self.queue_rumour(RumourStatus.DEAD, self.name, self.incarnation)

    def log_changes(self) -> None:
        """Logs who came and went, in at most one line a second."""
        if self.now - self.changes_logged_at < SECOND or not (self.newly_alive or self.newly_dead):
            return
        self.changes_logged_at = self.now
        parts = [f"peers: {len(self.alive_peers())} here"]
        parts += [
            f"{change} {format_names(names)}"
            for change, names in (("came", self.newly_alive), ("gone", self.newly_dead))
            if names
        ]
        self.actions.append(Log("; ".join(parts)))
        self.newly_alive, self.newly_dead = [], []

    def count_dropped(self, reason: str) -> None:
        self.dropped[reason] += 1

    def log_limited(self, text: str, kind: str) -> None:
        """Logs at most one line of each kind per LOG_INTERVAL."""
        if self.now - self.logged_at.get(kind, -LOG_INTERVAL) >= LOG_INTERVAL:
            self.logged_at[kind] = self.now
            self.actions.append(Log(text))


def format_names(names: list[str]) -> str:
    more = len(names) - NAMES_PER_LOG_LINE
    return ", ".join(names[:NAMES_PER_LOG_LINE]) + (f" and {more} more" if more > 0 else "")
