"""Messages between balancers: one per datagram, MessagePack authenticated with keyed BLAKE2.

A datagram is the digest (16 bytes) followed by the message. The digest depends on a key and on the fleet's
name, so that a datagram of another fleet is rejected even where both use the same key.
"""

import hashlib
import hmac
from enum import IntEnum

import msgspec

from .liveness import LINK_BYTES, PROOF_BYTES, PROOF_REQUEST_BYTES

VERSION = 1
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1200  # digest included
MAX_NAME_LENGTH = 64
MAX_RUMOURS = 24
NUMBER_LIMIT = 1 << 53  # incarnations, counters and nonces are below this
TOKEN_BYTES = 8


class MessageKind(IntEnum):
    PING = 0  # a probe: requests an ACK; carries the sender's address
    ACK = 1
    ASK = 2  # requests an indirect probe: the receiver pings `target` for the sender
    PROOF = 3  # answers an ASK: `target` was reached, with the proof that it returned
    COUNTS = 4


class RumourStatus(IntEnum):
    ALIVE = 0
    SUSPECT = 1  # the sender's own probes failed
    DEAD = 2  # declared dead by the sender; or the sender itself, when it shuts down
    RELAYED_SUSPECT = 3  # a suspicion relayed for another balancer; it doesn't count as the sender's own


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """A claim about a balancer. It is never believed as it stands: receivers verify it themselves."""

    status: int
    name: str
    incarnation: int
    address: str = ""  # if ALIVE


class SessionCounts(msgspec.Struct, array_like=True):
    """What a balancer reports of itself. It is only accepted from the balancer that it describes."""

    version: int
    by_kind: list[tuple[str, int]] = []  # established sessions, by kind of machine
    by_server: list[tuple[int, int]] = []  # by server (see `server_key`), those with most sessions first
    unlisted: int = 0  # sessions on servers for which `by_server` had no room
    dials: int = 0  # within `overload_window`: too many in that time make a cold server fail
    draining: bool = False  # the balancer was told to stop
    list_version: int = -1


class Message(msgspec.Struct, array_like=True):
    """The kind tells which fields are used. Newer versions may add fields at the end; they are ignored."""

    version: int
    kind: int
    name: str
    incarnation: int
    counter: int
    # The token that the receiver last issued: proves that the sender receives datagrams at its address.
    token: bytes = b""
    issued_token: bytes = b""  # for the receiver to send back
    address: str = ""
    nonce: int = 0  # of a PING or ASK; returned by the ACK or PROOF
    challenge: int = 0  # in an ACK to an unknown sender, which has to send an ACK with it as `nonce`
    target: str = ""  # of an ASK or PROOF: the peer to be probed; of a PING: the peer that asked for it
    indirect_proof: bytes = b""  # in an ACK to a PING made for another peer, and in the PROOF
    rumours: list[Rumour] = []
    counts: SessionCounts | None = None
    chain_link: bytes = b""  # sent with an address: the sender's own link at its incarnation
    liveness_proofs: bytes = b""  # of any balancers, PROOF_BYTES each
    proof_requests: bytes = b""  # for balancers not known to be alive, PROOF_REQUEST_BYTES each


class DatagramError(Exception):
    """A datagram that is dropped; the text is the reason under which it is counted."""


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message, strict=True).decode


class DatagramCodec:
    """Encodes and signs with the first key; verifies with any of them."""

    def __init__(self, fleet: str, keys: list[bytes]) -> None:
        self.person = hashlib.blake2b(fleet.encode(), digest_size=16).digest()
        self.keys = keys

    def digest(self, key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=DIGEST_BYTES, key=key, person=self.person).digest()

    def seal(self, message: Message) -> bytes:
        body = encode(message)
        return self.digest(self.keys[0], body) + body

    def open(self, data: bytes) -> Message:
        """Verifies and decodes. The bounds of the fields are checked, the sender is not yet verified.

        Raises DatagramError.
        """
        if not DIGEST_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramError("size")
        body = data[DIGEST_BYTES:]
        if not any(hmac.compare_digest(self.digest(key, body), data[:DIGEST_BYTES]) for key in self.keys):
            raise DatagramError("key")
        try:
            message = decode(body)
        except (msgspec.MsgspecError, RecursionError):
            raise DatagramError("version" if is_of_another_version(body) else "shape") from None
        if message.version != VERSION:
            raise DatagramError("version")
        if not is_within_bounds(message):
            raise DatagramError("bounds")
        return message


def is_of_another_version(body: bytes) -> bool:
    """Whether a body that can't be decoded is of another version, whose fields may have other types."""
    try:
        return msgspec.msgpack.decode(body, type=list)[0] != VERSION
    except (msgspec.MsgspecError, IndexError, RecursionError):
        return False


def is_within_bounds(message: Message) -> bool:
    counts = message.counts
    return (
        is_name(message.name)
        and 0 < message.incarnation < NUMBER_LIMIT
        and 0 < message.counter < NUMBER_LIMIT
        and 0 <= message.nonce < NUMBER_LIMIT
        and 0 <= message.challenge < NUMBER_LIMIT
        and message.kind in MessageKind.__members__.values()
        and len(message.address) <= MAX_NAME_LENGTH
        and len(message.target) <= MAX_NAME_LENGTH
        and len(message.rumours) <= MAX_RUMOURS
        and len(message.chain_link) in (0, LINK_BYTES)
        and not len(message.liveness_proofs) % PROOF_BYTES
        and not len(message.proof_requests) % PROOF_REQUEST_BYTES
        and all(is_name(rumour.name) and 0 < rumour.incarnation < NUMBER_LIMIT for rumour in message.rumours)
        and (
            counts is None
            or (
                0 < counts.version < NUMBER_LIMIT
                and all(0 <= n < NUMBER_LIMIT and len(kind) <= MAX_NAME_LENGTH for kind, n in counts.by_kind)
                and all(0 <= n < NUMBER_LIMIT for _, n in counts.by_server)
                and 0 <= counts.unlisted < NUMBER_LIMIT
                and 0 <= counts.dials < NUMBER_LIMIT
            )
        )
    )


def is_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable()


def short_digest(key: bytes, *parts: bytes) -> bytes:
    """A keyed digest of the parts. Each is preceded by its length, so that no two lists are encoded alike."""
    data = b"".join(len(part).to_bytes(2) + part for part in parts)
    return hashlib.blake2b(data, digest_size=TOKEN_BYTES, key=key).digest()


def server_key(server_id: str) -> int:
    """Four bytes for a server's id; two of a thousand servers collide with a probability of 1 in 8,000."""
    return int.from_bytes(hashlib.blake2b(server_id.encode(), digest_size=4).digest())
