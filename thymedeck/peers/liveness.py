"""Liveness proofs, which only their owner can make and anybody can relay. No I/O, no clock.

Each process has a hash chain, as in Lamport's one-time passwords (1981): each link is the digest of the one
released after it. A peer gets a link from the owner itself. When the owner hears that it is suspected, it
releases the next link, and that hashes to the one that the peer already has. So a claim that somebody is
alive can be verified, however many peers have relayed it.
"""

import hashlib

LINK_BYTES = 8
CHAIN_KEY_BYTES = 4
PROOF_BYTES = CHAIN_KEY_BYTES + 1 + LINK_BYTES  # chain key, last byte of the link's number, link
PROOF_REQUEST_BYTES = CHAIN_KEY_BYTES + 1  # chain key, last byte of the last known link's number
MAX_STEPS = 128  # links at most between the known one and a new one; a larger distance means an old link
CHAIN_LENGTH = 4096


def next_digest(link: bytes) -> bytes:
    return hashlib.blake2b(link, digest_size=LINK_BYTES, person=b"life").digest()


def chain_key(name: str, process: int) -> bytes:
    """The key of one process of a balancer: a proof under another key is of another chain."""
    return hashlib.blake2b(f"{process} {name}".encode(), digest_size=CHAIN_KEY_BYTES).digest()


def verify_link(link: bytes, steps: int, earlier: bytes) -> bool:
    """Whether the link, hashed `steps` times, gives the earlier one."""
    for _ in range(steps):
        link = next_digest(link)
    return link == earlier


class HashChain:
    """The links of this process, in the order in which they are released."""

    def __init__(self, secret: bytes) -> None:
        links = [next_digest(secret)]
        for _ in range(CHAIN_LENGTH):
            links.append(next_digest(links[-1]))
        links.reverse()
        self.links = links

    def link(self, number: int) -> bytes:
        """Raises IndexError past the end."""
        return self.links[number]


def proof_request(key: bytes, number: int) -> bytes:
    return key + bytes((number % 256,))


def liveness_proof(key: bytes, number: int, link: bytes) -> bytes:
    return proof_request(key, number) + link


def steps_ahead(last_byte: int, number: int) -> int:
    """How far the link whose number ends in `last_byte` is ahead of `number`.

    0 if it is not ahead, or by more than MAX_STEPS; such a link is taken for an old one.
    """
    steps = (last_byte - number) % 256
    return steps if steps <= MAX_STEPS else 0


def split_fixed(data: bytes, size: int) -> list[bytes]:
    """The data in pieces of `size` bytes."""
    return [data[at : at + size] for at in range(0, len(data), size)]
