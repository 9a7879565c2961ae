"""Who is there and what they tell: every decision on peers; read it top to bottom.

Make one Peers and call handle(now, event) for whatever happens; carry out the actions it returns. `now` is a
clock in tenths of a millisecond that never goes back. Hearsay is held true only where it proves itself
(docs/peers.md): a peer is here once it has sent back what was sent to its address, and gone once it has left
this balancer's own looks unanswered and no proof of its life has come within the time that one takes.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from math import ceil, log2

from .counts_table import Ledger, Sum
from .events import Action, Came, Counted, Deaf, Event, Leaving, Log, Send, Tick
from .limits import SECOND, Seen, Window
from .liveness import DOUBT, KEY, LENGTH, ONE, Chain, ahead, doubt, key_of, makes, proof, split
from .messages import (
    DIGEST,
    MOST_RUMOURS,
    VERSION,
    Kind,
    Message,
    Rumour,
    Told,
    encode,
    short_digest,
)
from .settings import PeerSettings, is_address

TICK = SECOND // 10
LATE = SECOND // 2  # a tick this late: this process stood still
QUIET = 2 * SECOND  # after that, judgement rests so long
START_MS = 100  # a process that starts later by this is told from the one before
STEP = 100_000  # incarnations of one process, of which each refutation takes the next
REFUTE_EVERY = SECOND
HELPERS = 3  # that are asked to look for this balancer
LOOKS = 4  # that fail where nobody else suspects; one where others do
VOICES = 2  # others that suspect, for this to count
PATIENCE = SECOND * 3 // 20  # for a proof of life, times the fleet's logarithm: to the one in doubt and back
LOOK_FROM, LOOK_TO = 0.25, 0.5  # of that time, when a look is made for hearsay: most proofs have come by then
MANY = 3  # called gone within MANY_WITHIN: whoever loses so many is lost by them, and proves its life at once
MANY_WITHIN = 5 * SECOND
SURE_EVERY = 10 * SECOND
ALIVE_WITHIN = 3 * SECOND  # heard so lately, somebody still has its name
LOSSES = 16  # looks remembered, for how much is lost on the way
LOSS_WEIGHT = 16  # more looks that have to fail, for each part of them that was lost
MOST_WRONG = 6  # suspicions, or proofs that prove nothing, of one voice,
WRONG_WITHIN = 10 * SECOND  # within this, for it not to be heeded
HEED_AGAIN = 60 * SECOND
HEARSAY_LOOKS = 10  # a second
MEET_SPREAD = SECOND // 20  # the same for those who want to meet somebody new
AGAIN_SPREAD = SECOND // 200  # the same between looks of one that failed
REMEMBER = 600 * SECOND  # one that is gone is still looked at now and then
JOIN_EVERY = SECOND
EAGER = 10 * SECOND  # after the start: those of the list not met yet are asked as if nobody was here
REJOIN_EVERY = 30 * SECOND  # addresses of the file that none here has
TRIES = 4  # pings to somebody not known
USUAL = 200  # bytes of a datagram, up to which rumours go along
TOLD = 3  # times that each tells a rumour: more than one that hears it looks, and tells it too
LIFE_TOLD = 5  # the same of a proof of life
DOUBTS_ASKED = 20  # with a look, of those that are not known to live
DOUBTS_MOST = 60  # with the look at one that has come back: others will have come back with it
LIVES_ANSWERED = 60
AT_ONCE = 3  # peers that are told of a doubt or a proof of life in datagrams of their own
URGENT = 3  # such datagrams a second
LIVES_ROOM = 130  # bytes of a datagram, for proofs that are passed on
NEWS_ROOM = 390  # the same of a datagram that is sent for them
SUSPECT_TOLD = 2  # the same of a suspicion, times the fleet's logarithm: few have it, and all wait for it
FEW = 50  # bytes of rumours, whatever the datagram's size
MOST_KINDS = 4  # of machine, told of
LARGEST_COUNTS = 900  # bytes, which leaves room for the longest names beside
COUNTS_LEAST = SECOND  # between two tellings to the same peer
COUNTS_AGAIN = 10 * SECOND  # what has not changed is told again after this: the last may be lost
KEPT = 0.2  # of what may be sent, from the own counts, so that looks and answers find room
KEPT_WHEN_BUSY = 0.85  # the same while there are some to be met, or more than so many to be looked at
BUSY = 3
KEPT_FOR_NEWS = 0.15  # from all of them, for doubts and proofs of life
KEPT_FROM_MEETING = 0.4  # and from those questions, for answers to them
NAMED_BESIDES = 2  # of those here, in a message that has no news to tell
STALE = SECOND // 2  # what has waited longer is not sent any more
STALE_QUESTION = 3 * SECOND  # the same of an answer that asks back, which nobody's look waits for
MOST_WAITING = 512
MOST_CANDIDATES = 256
FROM_ONE = 40  # messages a second taken of one peer
UNKNOWN_PART = 0.4  # of what may be taken in, for those not known
DAY = 86_400_000  # an incarnation more than a day ahead of the own clock, in milliseconds, is none
LOG_PAUSE = 10 * SECOND
NAMED = 3  # peers named in one line of the log
NONCE = 48  # bits


class Peer:
    """Another balancer, as this one alone knows it."""

    __slots__ = (
        "address", "began", "due", "failed", "from_it", "gone", "gone_at", "heard_at", "incarnation",
        "key", "link", "looked_at", "name", "nonce", "number", "seen", "since", "suspect", "through", "token",
        "told_at", "told_version", "voices",
    )  # fmt: skip

    def __init__(self, name: str, address: str, incarnation: int, now: int) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.key = key_of(name, incarnation // STEP)
        self.number = 0  # of the link
        self.link = b""  # the last that is known of its chain
        self.token = b""  # what it gave us, sent back with every message to it
        self.seen = Seen()
        self.from_it = Window(FROM_ONE)
        self.heard_at = now
        self.looked_at = now
        self.gone = False
        self.gone_at = 0
        self.suspect = False
        self.failed = 0  # looks at it that failed, one after the other
        self.voices: set[str] = set()  # others that suspect it
        self.nonce = 0  # of the look under way; 0: none
        self.began = 0
        self.through = False  # others have been asked in this look
        self.due = -1  # when a look is wanted; -1: none
        self.since = -1  # when it came in doubt; -1: it is not
        self.told_at = -COUNTS_AGAIN
        self.told_version = 0


class Candidate:
    """An address at which somebody is said to be, who has not yet shown to hear there."""

    __slots__ = ("due", "nonce", "tries")

    def __init__(self, due: int) -> None:
        self.due = due
        self.nonce = 0
        self.tries = 0


class Asked:
    """A look that this balancer makes for another."""

    __slots__ = ("by", "name", "nonce", "since")

    def __init__(self, by: str, name: str, nonce: int, since: int) -> None:
        self.by = by
        self.name = name
        self.nonce = nonce
        self.since = since


class Peers:
    def __init__(
        self, stated: PeerSettings, name: str, seed: int, now: int, unix_ms: int, expected: int
    ) -> None:
        """`unix_ms` is the wall clock now; `expected` the balancers of the fleet as far as it is stated."""
        self.stated = stated
        self.name = name
        self.expected = expected
        self.start = now
        self.unix_ms = unix_ms
        self.incarnation = self.incarnation_at(unix_ms)  # a restart comes later and so is told from this
        self.refuted_at = now - REFUTE_EVERY
        self.counter = 0
        chance = random.Random(seed)
        self.uniform = chance.uniform
        self.sample = chance.sample
        self.bits = chance.getrandbits
        self.secret = chance.randbytes(32)
        self.randbytes = chance.randbytes
        self.chain = Chain(self.randbytes(32))
        self.key = key_of(name, self.incarnation // STEP)
        self.sure_at = now - SURE_EVERY
        self.later_at = now - HEED_AGAIN
        self.now = now
        self.out: list[Action] = []
        self.peers: dict[str, Peer] = {}
        self.by_key: dict[bytes, Peer] = {}
        # Those at which a look is under way or wanted, and those of which a proof of life may still come.
        self.looking: dict[str, Peer] = {}
        self.telling: deque[Peer] = deque()  # in the order in which they are told the own counts next
        self.candidates: dict[str, Candidate] = {}  # by address
        self.ledger = Ledger(stated.forget_after)
        # By whom they are of, and how often each is still to be told.
        self.rumours: dict[str, tuple[Rumour, int]] = {}
        self.lives: dict[bytes, int] = {}  # proofs to be passed on, by key: how often still
        self.asked: dict[int, Asked] = {}
        self.wrongs: dict[str, Window] = {}  # by voice, the last ones
        self.lost_many = Window(MANY, MANY_WITHIN)
        self.urgent = Window(URGENT)
        self.unheeded: dict[str, int] = {}  # voices, and until when
        self.hearsay = Window(HEARSAY_LOOKS)
        self.lost: deque[bool] = deque(maxlen=LOSSES)
        self.waiting: deque[tuple[int, str, Kind, bytes, dict]] = deque()
        self.sent = Window(stated.send_most)
        self.unknown = Window(max(int(stated.take_most * UNKNOWN_PART), 1))
        self.ticked_at = now
        self.quiet_until = now
        self.probe_at = now + int(self.uniform(0, stated.period))
        self.join_at = now
        self.joins = 0
        self.rejoin_at = now + REJOIN_EVERY
        self.draining = False
        self.came: list[str] = []  # and the next: since the last line of the log
        self.went: list[str] = []
        self.said_at = now
        self.logged: dict[str, int] = {}
        self.counted: Counter[str] = Counter()  # what counted for nothing, and why
        self.handlers: dict[type, Callable[[Event], None]] = {
            Tick: self.on_tick,
            Came: self.on_came,
            Counted: self.on_counted,
            Leaving: self.on_leaving,
            Deaf: self.on_deaf,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now = now
        self.out = []
        self.handlers[type(event)](event)
        self.flush()
        return self.out

    def here(self) -> list[Peer]:
        """Those that are held to be there, suspected ones among them."""
        return [peer for peer in self.peers.values() if not peer.gone]

    def sum(self, now: int) -> Sum:
        """Of the whole fleet, with the part of it that is covered and the age of the oldest entry."""
        return self.ledger.sum(now, max(self.expected, 1 + len(self.here())))

    def unix_now(self) -> int:
        return self.unix_ms + (self.now - self.start) // 10

    @staticmethod
    def incarnation_at(unix_ms: int) -> int:
        return max(unix_ms // START_MS, 1) * STEP

    # What is sent

    def token_for(self, address: str) -> bytes:
        """Only who hears under this address can send it back; nothing is kept for it."""
        return short_digest(self.secret, address.encode())

    def send(self, to: str, kind: Kind, token: bytes, **more: object) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.waiting.popleft()
            self.count("no room to send")
        self.waiting.append((self.now, to, kind, token, more))

    def flush(self) -> None:
        """Answers first, in order; what they and looks leave of a second's bytes goes to the own counts.

        All of them leave some: guards against one that answers so many that it can't prove that it lives.
        """
        while self.waiting:
            since, address, kind, token, more = self.waiting[0]
            if self.now - since > (STALE if not more.get("question") else STALE_QUESTION):
                self.waiting.popleft()
                self.count("sent too late")
                continue
            if not self.dispatch(address, kind, token, more, self.room()):
                return
            self.waiting.popleft()
        self.tell_counts()

    def room(self) -> int:
        return self.sent.left(self.now) - int(KEPT_FOR_NEWS * self.stated.send_most)

    def dispatch(self, address: str, kind: Kind, token: bytes, more: dict, room: int) -> bool:
        """Whether there was room for it; rumours go along in what is left of the datagram's usual size."""
        message = Message(VERSION, kind, self.name, self.incarnation, self.counter + 1, token=token, **more)
        if message.address:
            message.link = self.chain.link(self.incarnation % STEP)
        size = DIGEST + len(encode(message))
        if size > room:
            return False
        self.counter += 1
        news = kind == Kind.COUNTS and message.counts is None
        size += self.add_lives(message, min(room - size, NEWS_ROOM if news else LIVES_ROOM))
        size += self.add_rumours(message, min(room - size, FEW if self.is_busy() else max(USUAL - size, FEW)))
        self.sent.take(self.now, size)
        self.out.append(Send(address, message))
        return True

    def ask(self, address: str, kind: Kind, token: bytes, more: dict, keep: float = 0.0) -> bool:
        """Whether it went out. Never before the answers that wait, and never late: a look begins with it."""
        room = self.room() - int(keep * self.stated.send_most)
        return not self.waiting and self.dispatch(address, kind, token, more, room)

    def is_busy(self) -> bool:
        return bool(self.candidates) or self.many_suspect()

    def many_suspect(self) -> bool:
        return sum(peer.suspect for peer in self.looking.values()) > BUSY

    def add_rumours(self, message: Message, room: int) -> int:
        """The bytes added. Newest first; each is told a few times by all who found it to be so.

        Some that are here are named besides, by chance: guards against two that missed each other's arrival.
        """
        added = 0
        for name, (rumour, times) in list(self.rumours.items())[: -MOST_RUMOURS - 1 : -1]:
            size = len(encode(rumour))
            if added + size + 2 > room:
                break
            message.rumours = [*message.rumours, rumour]
            added += size + 2 * (not added)
            del self.rumours[name]
            if times > 1:
                self.rumours[name] = (rumour, times - 1)
        if message.rumours:
            return added
        for name in self.sample(list(self.peers), min(NAMED_BESIDES, len(self.peers))):
            peer = self.peers[name]
            rumour = Rumour(Told.HERE, name, peer.incarnation, peer.address)
            size = len(encode(rumour))
            if not (peer.gone or peer.suspect) and added + size + 2 <= room:
                message.rumours = [*message.rumours, rumour]
                added += size + 2 * (not added)
        return added

    def add_lives(self, message: Message, room: int) -> int:
        """The bytes added, at the most: proofs of life that are to be passed on, newest first."""
        count = min(max(room - 2, 0) // ONE, len(self.lives))
        before = len(message.lives)
        for key in list(self.lives)[: -count - 1 : -1]:
            times = self.lives.pop(key)
            message.lives += self.proof_of(key)
            if times > 1:
                self.lives[key] = times - 1
        return len(message.lives) - before + (1 if len(message.lives) > 255 else 0)

    def proof_of(self, key: bytes) -> bytes:
        """The last that is known; nothing where none is."""
        if key == self.key:
            number = self.incarnation % STEP
            return proof(key, number, self.chain.link(number))
        peer = self.by_key.get(key)
        return proof(key, peer.number, peer.link) if peer is not None and peer.link else b""

    def doubts(self, most: int, first: Peer | None = None) -> bytes:
        """Who is not known to live, by chance so many; `first` surely, if it is one of them."""
        among = [peer for peer in self.peers.values() if peer is not first and (peer.gone or peer.since >= 0)]
        among = self.sample(among, min(most, len(among)))
        if first is not None and (first.gone or first.since >= 0):
            among.append(first)
        return b"".join(doubt(peer.key, peer.incarnation % STEP) for peer in among)

    def spread(self, told: Told, name: str, incarnation: int, address: str = "") -> None:
        self.rumours.pop(name, None)
        times = SUSPECT_TOLD * self.rounds() if told == Told.SUSPECT else TOLD
        self.rumours[name] = (Rumour(told, name, incarnation, address), times)

    def ping(self, address: str, token: bytes, nonce: int, keep: float = 0.0, **more: object) -> bool:
        return self.ask(address, Kind.PING, token, self.about_self(address) | {"nonce": nonce} | more, keep)

    def about_self(self, to: str) -> dict[str, object]:
        """What somebody has to know who has not met this balancer, or not lately."""
        return {"given": self.token_for(to), "address": self.stated.advertise}

    def hurry(self, own: bool = False) -> None:
        """News that others wait for goes to a few by itself, before any answer; they do the same."""
        others = [one for one in self.peers.values() if not (one.gone or one.suspect) and one.token]
        for peer in self.sample(others, min(AT_ONCE, len(others))):
            if own or self.urgent.take(self.now, 1):
                self.dispatch(peer.address, Kind.COUNTS, peer.token, {}, self.sent.left(self.now))

    def tell_counts(self) -> None:
        """To each peer itself, those that wait for longest first: nobody tells another's counts."""
        own = self.ledger.own
        if own is None:
            return
        keep = int(self.stated.send_most * (KEPT_WHEN_BUSY if self.is_busy() else KEPT))
        while self.telling:
            peer = self.telling[0]
            if peer.gone or self.peers.get(peer.name) is not peer:
                self.telling.popleft()
                continue
            # Who comes after it was told later, of a version no older.
            wait = COUNTS_LEAST if peer.told_version < own.version else COUNTS_AGAIN
            room = self.room() - keep
            if self.now - peer.told_at < wait or not self.dispatch(
                peer.address, Kind.COUNTS, peer.token, {"counts": own}, room
            ):
                return
            peer.told_at = self.now
            peer.told_version = own.version
            self.telling.rotate(-1)

    # What comes

    def on_came(self, event: Came) -> None:
        message = event.message
        name = message.name
        if name == self.name:
            if message.address not in ("", self.stated.advertise):
                self.log(f"another balancer calls itself {name} too, at {message.address}", "name")
            self.count("own name")
            return
        if message.incarnation > self.incarnation_at(self.unix_now() + DAY):
            self.count("from the future")
            return
        peer = self.peers.get(name)
        if peer is None or not self.is_same(peer, message):
            self.introduce(peer, message)
            return
        if message.incarnation < peer.incarnation:
            # Of the process before; or of a new one whose clock went back: it hears so, and takes a later.
            self.count("old incarnation")
            if message.incarnation // STEP < peer.incarnation // STEP:
                self.unproved(message, [Rumour(Told.GONE, name, peer.incarnation)])
            return
        if message.token != self.token_for(peer.address):
            self.unproved(message)
            return
        if not peer.from_it.take(self.now, 1):
            self.count("too many")
            return
        if not peer.seen.is_new(message.counter):
            self.count("repeated")
            return
        if message.lives and self.now >= self.unheeded.get(name, 0):
            self.take_lives(message.lives, peer)
        peer.incarnation = max(peer.incarnation, message.incarnation)
        if message.link:
            peer.link, peer.number = message.link, message.incarnation % STEP
        if message.given:
            peer.token = message.given
        back = peer.gone
        self.heard(peer)
        for one in split(message.doubts, DOUBT)[:DOUBTS_MOST]:
            if one[:KEY] == self.key and not ahead(one[KEY], self.incarnation % STEP):
                self.hear_of_self(self.incarnation if one == doubt(self.key, self.incarnation % STEP) else 0)
        if message.kind == Kind.PING:
            self.answer(peer, message)
        elif message.kind == Kind.ACK:
            self.on_ack(peer, message)
        elif message.kind == Kind.ASK:
            self.look_for(peer, message)
        elif message.kind == Kind.PROOF:
            self.on_proof(message)
        elif message.counts is not None:
            self.ledger.take(self.now, name, peer.incarnation, message.counts)
        for rumour in message.rumours:
            self.hear(rumour, peer)
        if back and not peer.nonce and (asked := self.doubts(DOUBTS_MOST)):
            # What has healed for one has for others, and it knows of them: all doubts begin anew.
            for other in self.looking.values():
                if other.since >= 0 and not other.nonce:
                    self.doubt(other)
            self.look(peer, asked)

    def take_lives(self, lives: bytes, by: Peer) -> None:
        """Proofs of life, from whomever: each is held against the link that its owner gave this balancer."""
        for one in split(lives, ONE):
            peer = self.by_key.get(one[:KEY])
            steps = ahead(one[KEY], peer.number) if peer is not None and peer.link else 0
            if not steps or peer.number + steps <= peer.incarnation % STEP and peer is not by:
                if peer is not None and peer.gone and one[KEY] == peer.incarnation % STEP % 256:
                    # No proof, but the other holds it to be here.
                    self.want_look(peer)
                continue
            if not makes(one[KEY + 1 :], steps, peer.link):
                self.count("no proof of life")
                self.was_wrong(by.name)
                return
            peer.number += steps
            peer.link = one[KEY + 1 :]
            peer.incarnation = max(peer.incarnation, peer.incarnation // STEP * STEP + peer.number)
            in_doubt = peer.since >= 0 or peer.gone
            self.well(peer)
            self.tell_life(peer.key, LIFE_TOLD)
            if in_doubt:
                self.hurry()

    def tell_life(self, key: bytes, times: int) -> None:
        self.lives[key] = max(times, self.lives.pop(key, 0))

    @staticmethod
    def is_same(peer: Peer, message: Message) -> bool:
        """Of the process that is known under this name, or of one before it."""
        moved = message.address not in ("", peer.address)
        return not moved and message.incarnation // STEP <= peer.incarnation // STEP

    def introduce(self, known: Peer | None, message: Message) -> None:
        """Somebody new: nobody yet, a later process under a known name, or another address under it."""
        address = message.address
        if not is_address(address):
            self.count("no proof")
            return
        candidate = self.candidates.get(address)
        there = known if known and known.address == address else None
        asked = {one.nonce for one in (candidate, there) if one}
        if (
            message.kind == Kind.ACK
            and message.nonce
            and message.nonce in asked
            and message.token == self.token_for(address)
        ):
            self.candidates.pop(address, None)
            if peer := self.admit(known, message):
                self.on_ack(peer, message)
                for rumour in message.rumours:
                    self.hear(rumour, peer)
            return
        if message.kind != Kind.PING:
            self.count("no proof")
            return
        self.unproved(message)

    def unproved(self, message: Message, rumours: Sequence[Rumour] = ()) -> None:
        """Answers a ping of somebody yet to show that it hears under its address, and asks for that."""
        address = message.address
        if message.kind != Kind.PING or not is_address(address) or not self.unknown.take(self.now, 1):
            self.count("no proof")
            return
        question = 0
        if candidate := self.candidate(address, self.now + 2 * self.stated.answer_within):
            question = candidate.nonce = candidate.nonce or self.bits(NONCE) + 1
        more = {"nonce": message.nonce, "question": question, "rumours": list(rumours)}
        self.send(address, Kind.ACK, message.given, **self.about_self(address), **more)

    def candidate(self, address: str, due: int) -> Candidate | None:
        """None where there is no room for one more."""
        found = self.candidates.get(address)
        if found is None and address != self.stated.advertise and len(self.candidates) < MOST_CANDIDATES:
            found = self.candidates[address] = Candidate(due)
        return found

    def admit(self, known: Peer | None, message: Message) -> Peer | None:
        """It hears under its address. None where the name is somebody else's, or there is no room."""
        name, address = message.name, message.address
        if known is not None and not known.gone and known.address != address:
            if self.now - known.heard_at > ALIVE_WITHIN:
                self.want_look(known)  # whoever had the name may be gone; the newcomer comes again
                return None
            if known.incarnation < message.incarnation:
                self.log(
                    f"two balancers call themselves {name}: {known.address} and {address}; the first counts",
                    "two",
                )
                self.spread(Told.HERE, name, known.incarnation, known.address)
                return None
        if known is None and len(self.peers) >= self.stated.peers_most and not self.make_room():
            self.log(f"no room for more than {self.stated.peers_most} peers: {name} is left out", "room")
            return None
        if known is not None:
            # All but what it did: guards against a liar that starts again to be heeded again.
            self.drop_process(known)
        peer = self.peers[name] = Peer(name, address, message.incarnation, self.now)
        self.by_key[peer.key] = peer
        self.ledger.drop(name)
        peer.seen.is_new(message.counter)
        peer.token = message.given
        peer.link, peer.number = message.link, message.incarnation % STEP
        self.telling.appendleft(peer)
        if known is None or known.gone:
            self.came.append(name)
        self.spread(Told.HERE, name, peer.incarnation, address)
        return peer

    def make_room(self) -> bool:
        """The one that has been gone for longest is forgotten."""
        gone = [peer for peer in self.peers.values() if peer.gone]
        if gone:
            self.forget(min(gone, key=lambda peer: peer.gone_at))
        return bool(gone)

    def forget(self, peer: Peer) -> None:
        del self.peers[peer.name]
        self.drop_process(peer)
        self.wrongs.pop(peer.name, None)
        self.unheeded.pop(peer.name, None)

    def drop_process(self, peer: Peer) -> None:
        self.by_key.pop(peer.key, None)
        self.lives.pop(peer.key, None)
        self.looking.pop(peer.name, None)

    def answer(self, peer: Peer, message: Message) -> None:
        more: dict[str, object] = {"nonce": message.nonce, "given": self.token_for(peer.address)}
        if message.target:
            # For somebody else: proves to it, and not to who asks, that this balancer was reached.
            by = self.peers.get(message.target)
            if by is None or not by.token:
                return
            more["proof"] = short_digest(by.token, message.nonce.to_bytes(8))
        lives = b""
        for one in split(message.doubts, DOUBT)[:LIVES_ANSWERED]:
            there = self.by_key.get(one[:KEY])
            if there is not None and (there.gone or there.suspect):
                continue
            known = self.proof_of(one[:KEY])
            if known and ahead(known[KEY], one[KEY] - 1):
                lives += known
        self.send(peer.address, Kind.ACK, peer.token, lives=lives, **more)

    def on_ack(self, peer: Peer, message: Message) -> None:
        if message.question:
            more = self.about_self(peer.address)
            self.send(peer.address, Kind.ACK, peer.token, nonce=message.question, **more)
        if message.nonce and message.nonce == peer.nonce:
            self.lost.append(peer.through)
            peer.nonce = 0
        asked = self.asked.pop(message.nonce, None)
        if asked is not None and asked.name == peer.name and message.proof:
            by = self.peers.get(asked.by)
            if by is not None:
                self.send(
                    by.address,
                    Kind.PROOF,
                    by.token,
                    nonce=asked.nonce,
                    target=asked.name,
                    proof=message.proof,
                )

    def look_for(self, by: Peer, message: Message) -> None:
        peer = self.peers.get(message.target)
        if peer is None or peer is by or len(self.asked) >= MOST_WAITING:
            return
        self.asked[message.nonce] = Asked(by.name, peer.name, message.nonce, self.now)
        self.ping(peer.address, peer.token, message.nonce, target=by.name)

    def on_proof(self, message: Message) -> None:
        peer = self.peers.get(message.target)
        if peer is None or not message.nonce or message.nonce != peer.nonce:
            return
        right = short_digest(self.token_for(peer.address), message.nonce.to_bytes(8))
        if message.proof != right:
            self.count("no proof")
            return
        self.lost.append(True)
        peer.nonce = 0
        self.well(peer)

    # What is said of others

    def hear(self, rumour: Rumour, by: Peer) -> None:
        """Looks into it. But for doubts, it goes on to others only if this balancer finds it to be so."""
        if rumour.name == self.name:
            if rumour.told != Told.HERE:
                if self.now >= self.unheeded.get(by.name, 0):
                    self.hear_of_self(rumour.incarnation)
            elif rumour.address != self.stated.advertise:
                self.log(
                    f"the name {self.name} is taken by {rumour.address}; this balancer is not counted", "name"
                )
            return
        peer = self.peers.get(rumour.name)
        if rumour.told == Told.HERE:
            if peer is None or rumour.incarnation // STEP > peer.incarnation // STEP:
                if is_address(rumour.address):
                    spread = int(self.uniform(0, len(self.peers) * MEET_SPREAD))
                    self.candidate(rumour.address, self.now + self.turn_of(rumour.name) + spread)
            elif peer.gone:
                self.look_again(peer)
            return
        if peer is None or peer.gone:
            return
        if rumour.incarnation < peer.incarnation:
            if rumour.incarnation % STEP < peer.number and self.urgent.take(self.now, 1):
                # Who tells it has missed the proof.
                self.ask(by.address, Kind.COUNTS, by.token, {"lives": self.proof_of(peer.key)})
            return
        if self.now < self.unheeded.get(by.name, 0):
            self.count("not heeded")
            return
        if rumour.told != Told.DOUBTED:
            peer.voices.add(by.name)
        if peer.since < 0 and self.hearsay.take(self.now, 1):
            # Passed on, so that the one in doubt hears of it, and its proof is there before most have looked.
            self.spread(Told.DOUBTED, peer.name, peer.incarnation)
            self.hurry()
            self.doubt(peer)

    def doubt(self, peer: Peer) -> None:
        peer.since = self.now
        if not peer.nonce:
            patience = self.patience()
            peer.due = self.now + int(self.uniform(LOOK_FROM * patience, LOOK_TO * patience))
            self.looking[peer.name] = peer

    def rounds(self) -> int:
        """In which news that each passes on to one more is with the whole fleet."""
        return ceil(log2(2 + len(self.peers)))

    def patience(self) -> int:
        return PATIENCE * self.rounds()

    def turn_of(self, name: str) -> int:
        """One of the two asks, the other only if that has not come about."""
        return int(self.uniform(0, SECOND / 2)) + (0 if self.name < name else SECOND)

    def look_again(self, peer: Peer) -> None:
        if peer.due < 0 and not peer.nonce:
            peer.due = self.now + self.turn_of(peer.name)
            self.looking[peer.name] = peer

    def want_look(self, peer: Peer, spread: int = 0) -> None:
        peer.due = self.now + int(self.uniform(0, self.stated.answer_within / 2 + spread))
        self.looking[peer.name] = peer

    def hear_of_self(self, doubted: int) -> None:
        """`doubted`: the incarnation of this balancer of which it is said that it does not live."""
        process = self.incarnation // STEP
        if doubted // STEP > process:
            # Of a process before this, by whose clock it was later. Nobody can force that over and over.
            if (
                self.now - self.later_at < HEED_AGAIN
                or self.incarnation_at(self.unix_now() + DAY // 2) <= doubted
            ):
                return
            self.later_at = self.now
            self.become(doubted // STEP + 1)
        elif doubted == self.incarnation:
            if self.now - self.refuted_at < REFUTE_EVERY:
                return
            self.prove_life()
        elif doubted < self.incarnation:
            self.tell_life(self.key, LIFE_TOLD)

    def prove_life(self) -> None:
        """Lets the next link go."""
        self.refuted_at = self.now
        if self.incarnation % STEP == LENGTH:
            self.become(self.incarnation // STEP + 1)
            return
        self.incarnation += 1
        self.tell_life(self.key, LIFE_TOLD * self.rounds())
        self.hurry(own=True)

    def become(self, process: int) -> None:
        """To the others this is a restart: they meet it anew."""
        self.lives.pop(self.key, None)
        self.incarnation = process * STEP
        self.chain = Chain(self.randbytes(32))
        self.key = key_of(self.name, process)
        self.spread(Told.HERE, self.name, self.incarnation, self.stated.advertise)

    def heard(self, peer: Peer) -> None:
        """It has shown to be there, and that the way to it is sound."""
        peer.heard_at = self.now
        self.candidates.pop(peer.address, None)
        if peer.gone or peer.since >= 0 or peer.failed:
            self.well(peer)

    def well(self, peer: Peer) -> None:
        """It lives: whoever suspected it was wrong."""
        peer.failed = 0
        peer.since = -1
        if peer.gone:
            peer.gone = False
            peer.told_version = 0
            self.telling.appendleft(peer)
            self.came.append(peer.name)
            if peer.link:
                self.tell_life(peer.key, LIFE_TOLD)
        for voice in peer.voices:
            self.was_wrong(voice)
        peer.voices.clear()
        peer.suspect = False
        peer.due = -1
        peer.nonce = 0  # a look under way: its answer may be what is late
        if peer.name in self.rumours and self.rumours[peer.name][0].told != Told.HERE:
            del self.rumours[peer.name]

    def was_wrong(self, voice: str) -> None:
        """Guards against one that calls everybody dead: it is not heeded for a while."""
        if not self.wrongs.setdefault(voice, Window(MOST_WRONG - 1, WRONG_WITHIN)).take(self.now, 1):
            del self.wrongs[voice]
            self.unheeded[voice] = self.now + HEED_AGAIN
            self.log(f"peer {voice} is not heeded for a minute: {MOST_WRONG} wrong suspicions", "heed")

    # Looks

    def on_tick(self, event: Tick) -> None:
        late = self.now - self.ticked_at - TICK
        self.ticked_at = self.now
        if late > LATE:
            self.stood_still(late)
        for name, peer in list(self.looking.items()):
            if peer.nonce:
                self.look_on(peer)
            if 0 <= peer.due <= self.now and not peer.nonce:
                self.look(peer)
            if not peer.nonce and peer.due < 0:
                if peer.since < 0:
                    del self.looking[name]
                else:
                    self.weigh(peer)
        if self.now >= self.probe_at:
            self.probe_at = self.now + self.stated.period
            self.probe()
        self.meet()
        for nonce in [nonce for nonce, one in self.asked.items() if self.now - one.since > 2 * SECOND]:
            del self.asked[nonce]
        self.ledger.drop_old(self.now)
        self.say_who()

    def stood_still(self, late: int) -> None:
        """Guards against calling others dead for the time in which this process did not run."""
        self.quiet_until = self.now + QUIET
        for peer in self.looking.values():
            peer.nonce = 0
            peer.due = -1
            peer.since = -1
            peer.failed = 0
        self.asked.clear()
        self.log(f"late by {late / SECOND:.1f} s; judgement of peers rests for {QUIET // SECOND} s", "late")

    def on_deaf(self, event: Deaf) -> None:
        """Guards against calling others dead for answers lost in a flood."""
        self.quiet_until = self.now + QUIET
        self.log(f"flooded; judgement of peers rests until {QUIET // SECOND} s after", "deaf")

    def probe(self) -> None:
        """One that is here, and one that is gone."""
        for peer in [one for one in self.peers.values() if one.gone and self.now - one.gone_at > REMEMBER]:
            self.forget(peer)
        for gone in (False, True):
            among = [
                peer for peer in self.peers.values() if peer.gone is gone and not peer.nonce and peer.due < 0
            ]
            # All together look at each about once a period: or what comes back drowns, or, where all have yet
            # to meet, those few whom everybody met first.
            fleet = len(self.peers) + (0 if gone else len(self.candidates))
            if among and self.uniform(0, fleet) < len(among):
                self.look(self.whose_turn(among))

    def whose_turn(self, among: list[Peer]) -> Peer:
        """The one as many places after this balancer, in the order of names, as there were periods.

        So each is looked at by one other in each period, and by all in turn. Guards against chance, by which
        some are looked at by nobody for seconds, and against all looking at who was not heard for longest:
        one that has just died was heard. Clocks that differ make it as uneven as chance would.
        """
        ring = sorted([self.name, *(peer.name for peer in self.here())])
        turns = self.unix_now() * 10 // self.stated.period
        name = ring[(ring.index(self.name) + 1 + turns % max(len(ring) - 1, 1)) % len(ring)]
        return next((peer for peer in among if peer.name == name), None) or self.sample(among, 1)[0]

    def look(self, peer: Peer, doubts: bytes = b"") -> None:
        nonce = self.bits(NONCE) + 1
        doubts = doubts or self.doubts(DOUBTS_ASKED, peer)
        if not self.ping(peer.address, peer.token, nonce, doubts=doubts):
            self.want_look(peer)
            return
        peer.due = -1
        peer.nonce = nonce
        peer.began = peer.looked_at = self.now
        peer.through = False
        self.looking[peer.name] = peer

    def look_on(self, peer: Peer) -> None:
        waited = self.now - peer.began
        within = self.stated.answer_within
        if waited < within:
            return
        if peer.gone:
            peer.nonce = 0
        elif waited >= 2 * within or peer.since >= 0 and not peer.suspect:
            self.look_failed(peer)  # for hearsay nobody is asked to help: a proof of life is what helps
        elif not peer.through and (peer.since < 0 or not peer.failed % 2) and not self.many_suspect():
            # Guards against a fleet cut in two that spends all it may send on questions about the other half.
            others = [
                one
                for one in self.peers.values()
                if not (one.gone or one.suspect or one is peer) and one.token
            ]
            more = {"nonce": peer.nonce, "target": peer.name}
            for helper in self.sample(others, min(HELPERS, len(others))):
                peer.through |= self.ask(helper.address, Kind.ASK, helper.token, more)
            if others and not peer.through:
                # Nobody could be asked for want of room: this look tells nothing.
                peer.nonce = 0
                self.want_look(peer)

    def look_failed(self, peer: Peer) -> None:
        peer.nonce = 0
        if self.now < self.quiet_until:
            return
        peer.failed += 1
        if peer.since < 0 and peer.failed <= self.likely_lost():
            # Guards against a fleet that is busy, or loses much, and drowns in doubts of each other.
            self.want_look(peer)
            return
        if not peer.suspect:
            peer.suspect = True
            first = peer.since < 0
            peer.since = self.now if first else peer.since
            self.spread(Told.SUSPECT, peer.name, peer.incarnation)
            if first:
                self.hurry()
        self.weigh(peer)

    def weigh(self, peer: Peer) -> None:
        """One in doubt at which no look is under way: another look, or the verdict once a proof had time."""
        if peer.failed < self.looks_wanted(peer):
            self.want_look(peer, len(self.peers) * AGAIN_SPREAD)
        elif self.now - peer.since >= self.patience() and self.now >= self.quiet_until:
            self.call_gone(peer)

    def looks_wanted(self, peer: Peer) -> int:
        """That have to fail, one after the other: more by what was lost on the way lately."""
        others = sum(not (one.gone or one.suspect) for one in self.peers.values())
        agreed = others and len(peer.voices) >= min(VOICES, others)
        return (1 if agreed else LOOKS) + self.likely_lost()

    def likely_lost(self) -> int:
        """Looks whose failing tells nothing, by what was lost on the way lately."""
        return int(LOSS_WEIGHT * sum(self.lost) / LOSSES)

    def call_gone(self, peer: Peer) -> None:
        peer.gone = True
        peer.gone_at = self.now
        peer.since = -1
        peer.due = -1
        peer.voices.clear()
        self.ledger.drop(peer.name)
        self.went.append(peer.name)
        self.spread(Told.GONE, peer.name, peer.incarnation)
        if not self.lost_many.take(self.now, 1) and self.now - self.sure_at >= SURE_EVERY:
            # Those who lost it can then hear of its life from anybody, as soon as they hear of one again.
            self.sure_at = self.now
            self.prove_life()

    # Those not met yet

    def meet(self) -> None:
        if self.now >= self.join_at:
            self.joins += 1
            self.join_at = self.now + int(JOIN_EVERY * self.uniform(1, 1 + self.joins))
            again = self.now >= self.rejoin_at
            if again:
                self.rejoin_at = self.now + REJOIN_EVERY
            # Guards against a fleet that starts as two, each round another address of the list.
            if again or self.now - self.start < EAGER or not self.here():
                known = {peer.address for peer in self.here()}
                away = [one for one in self.stated.join if one not in known and one != self.stated.advertise]
                # One at a time: guards against a fleet that starts together and drowns the first of the list.
                for address in self.sample(away, min(len(away), 1)):
                    self.candidate(address, self.now)
        for address, one in list(self.candidates.items()):
            if one.due > self.now:
                continue
            if one.tries >= TRIES:
                del self.candidates[address]
                continue
            one.nonce = one.nonce or self.bits(NONCE) + 1
            if not self.ping(address, b"", one.nonce, keep=KEPT_FROM_MEETING):
                return
            one.tries += 1
            one.due = self.now + int(
                self.uniform(1, 2) * (self.stated.period + len(self.peers) * MEET_SPREAD)
            )

    # The rest

    def on_counted(self, event: Counted) -> None:
        counts = event.counts
        counts.draining = counts.draining or self.draining
        counts.by_kind = counts.by_kind[:MOST_KINDS]
        while counts.by_server and len(encode(counts)) > LARGEST_COUNTS:
            # Guards against a datagram too large to be taken: who holds least is counted without a name.
            counts.beyond += counts.by_server.pop()[1]
        self.ledger.note_own(self.now, counts)

    def on_leaving(self, event: Leaving) -> None:
        self.draining = True
        self.spread(Told.GONE, self.name, self.incarnation)

    def say_who(self) -> None:
        """One line a second at the most, however many came or went."""
        if self.now - self.said_at < SECOND or not (self.came or self.went):
            return
        self.said_at = self.now
        parts = [f"peers: {len(self.here())} here"]
        parts += [
            f"{what} {listed(names)}" for what, names in (("came", self.came), ("gone", self.went)) if names
        ]
        self.out.append(Log("; ".join(parts)))
        self.came, self.went = [], []

    def count(self, what: str) -> None:
        self.counted[what] += 1

    def log(self, text: str, kind: str) -> None:
        if self.now - self.logged.get(kind, -LOG_PAUSE) >= LOG_PAUSE:
            self.logged[kind] = self.now
            self.out.append(Log(text))


def listed(names: list[str]) -> str:
    more = len(names) - NAMED
    return ", ".join(names[:NAMED]) + (f" and {more} more" if more > 0 else "")
