"""What balancers send one another: one datagram a message, MessagePack under a keyed BLAKE2 digest.

A datagram is the digest (16 bytes) and the message. The digest is taken with a key of the fleet and the
fleet's name, so that another fleet's datagram does not open even where both have the same key.
"""

import hashlib
import hmac
from enum import IntEnum

import msgspec

from .liveness import DOUBT, LINK, ONE

VERSION = 1
DIGEST = 16
LARGEST = 1200  # bytes of a datagram, digest included
LONGEST_NAME = 64
MOST_RUMOURS = 24
LATEST = 1 << 53  # no incarnation or counter lies beyond
TOKEN = 8


class Kind(IntEnum):
    PING = 0  # asks for an ACK; names the sender's address
    ACK = 1
    ASK = 2  # asks the receiver to ping `target` for the sender
    PROOF = 3  # `target` has answered the receiver's question: what it sent for that
    COUNTS = 4


class Told(IntEnum):
    HERE = 0
    SUSPECT = 1  # by who tells it, from its own looks
    GONE = 2  # the same
    DOUBTED = 3  # by somebody, and passed on: it counts as nobody's voice


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """Hearsay: nothing is held true for it, it is only looked into."""

    told: int
    name: str
    incarnation: int
    address: str = ""  # of one that is here


class Counts(msgspec.Struct, array_like=True):
    """What a balancer tells of itself. Only the owner makes one, and only from the owner it is taken."""

    version: int
    by_kind: list[tuple[str, int]] = []  # sessions standing, by kind of machine
    by_server: list[tuple[int, int]] = []  # by server (see `server_key`), those with most first
    beyond: int = 0  # sessions on servers that the list above had no room for
    dials: int = 0  # in the last window in which a cold server may fall
    draining: bool = False  # told to stop
    list_version: int = -1


class Message(msgspec.Struct, array_like=True):
    """Newer versions may add fields at the end: they are passed over here."""

    version: int
    kind: int
    name: str
    incarnation: int
    counter: int
    token: bytes = (
        b""  # what the receiver last gave the sender: proof that the sender hears under its address
    )
    given: bytes = b""  # for the receiver to send back
    address: str = ""
    nonce: int = 0  # of a PING or ASK; an ACK or PROOF brings it back
    question: int = 0  # of an ACK to somebody not known: an ACK with it as `nonce` is wanted
    target: str = ""  # of an ASK or PROOF: who is meant; of a PING: for whom it is asked
    proof: bytes = b""  # of an ACK to a PING for another, and of a PROOF
    rumours: list[Rumour] = []
    counts: Counts | None = None
    link: bytes = b""  # with an address: the sender's own, of its incarnation
    lives: bytes = b""  # proofs of life, ONE bytes each, of anybody
    doubts: bytes = b""  # who is not known to live, DOUBT bytes each: proofs are wanted


class Unusable(Exception):
    """The datagram counts for nothing; the text is the name under which it is counted."""


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message, strict=True).decode


class Envelope:
    """Closes with the first key; opens with any."""

    def __init__(self, fleet: str, keys: list[bytes]) -> None:
        self.person = hashlib.blake2b(fleet.encode(), digest_size=16).digest()
        self.keys = keys

    def digest(self, key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=DIGEST, key=key, person=self.person).digest()

    def close(self, message: Message) -> bytes:
        body = encode(message)
        return self.digest(self.keys[0], body) + body

    def open(self, data: bytes) -> Message:
        """Raises Unusable. What it returns has bounds as below; who sent it is not known yet."""
        if not DIGEST < len(data) <= LARGEST:
            raise Unusable("size")
        body = data[DIGEST:]
        if not any(hmac.compare_digest(self.digest(key, body), data[:DIGEST]) for key in self.keys):
            raise Unusable("key")
        try:
            message = decode(body)
        except (msgspec.MsgspecError, RecursionError):
            raise Unusable("version" if is_of_another_version(body) else "shape") from None
        if message.version != VERSION:
            raise Unusable("version")
        if not is_sound(message):
            raise Unusable("bounds")
        return message


def is_of_another_version(body: bytes) -> bool:
    """Whose fields may be of other types."""
    try:
        return msgspec.msgpack.decode(body, type=list)[0] != VERSION
    except (msgspec.MsgspecError, IndexError, RecursionError):
        return False


def is_sound(message: Message) -> bool:
    counts = message.counts
    return (
        is_name(message.name)
        and 0 < message.incarnation < LATEST
        and 0 < message.counter < LATEST
        and 0 <= message.nonce < LATEST
        and 0 <= message.question < LATEST
        and message.kind in Kind.__members__.values()
        and len(message.address) <= LONGEST_NAME
        and len(message.target) <= LONGEST_NAME
        and len(message.rumours) <= MOST_RUMOURS
        and len(message.link) in (0, LINK)
        and not len(message.lives) % ONE
        and not len(message.doubts) % DOUBT
        and all(is_name(one.name) and 0 < one.incarnation < LATEST for one in message.rumours)
        and (
            counts is None
            or (
                0 < counts.version < LATEST
                and all(0 <= n < LATEST and len(kind) <= LONGEST_NAME for kind, n in counts.by_kind)
                and all(0 <= n < LATEST for _, n in counts.by_server)
                and 0 <= counts.beyond < LATEST
                and 0 <= counts.dials < LATEST
            )
        )
    )


def is_name(name: str) -> bool:
    return 0 < len(name) <= LONGEST_NAME and name.isprintable()


def short_digest(key: bytes, *parts: bytes) -> bytes:
    """A digest of the parts, each told from the next."""
    data = b"".join(len(part).to_bytes(2) + part for part in parts)
    return hashlib.blake2b(data, digest_size=TOKEN, key=key).digest()


def server_key(ident: str) -> int:
    """Four bytes for a server's id; two of a thousand servers share one by a chance of 1 in 8,000."""
    return int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=4).digest())
