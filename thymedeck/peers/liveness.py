"""Proofs of life, which only their owner can make and anybody can pass on. No I/O, no clock.

Each process has a chain of digests, each the digest of the next (Lamport, 1981). Everybody gets a link of it
from the owner itself; a later link, let go when the owner hears that it is in doubt, digests down to it.
So hearsay that somebody lives can be held true, however many hands it went through.
"""

import hashlib

LINK = 8
KEY = 4
ONE = KEY + 1 + LINK  # bytes of one proof: whose, the last byte of its number, the link
DOUBT = KEY + 1  # bytes of a doubt: whose, the last byte of the number it was last known by
BEHIND = 128  # links at the most between what is known and what comes; further back is old
LENGTH = 4096


def step(link: bytes) -> bytes:
    return hashlib.blake2b(link, digest_size=LINK, person=b"life").digest()


def key_of(name: str, process: int) -> bytes:
    """Of one process of a balancer: a proof under another key is of another chain."""
    return hashlib.blake2b(f"{process} {name}".encode(), digest_size=KEY).digest()


def makes(link: bytes, steps: int, earlier: bytes) -> bool:
    """Whether the earlier link follows from this one by so many digests."""
    for _ in range(steps):
        link = step(link)
    return link == earlier


class Chain:
    """The links of this process, the last made first."""

    def __init__(self, secret: bytes) -> None:
        links = [step(secret)]
        for _ in range(LENGTH):
            links.append(step(links[-1]))
        links.reverse()
        self.links = links

    def link(self, number: int) -> bytes:
        """Raises IndexError past the end."""
        return self.links[number]


def doubt(key: bytes, number: int) -> bytes:
    return key + bytes((number % 256,))


def proof(key: bytes, number: int, link: bytes) -> bytes:
    return doubt(key, number) + link


def ahead(last_byte: int, number: int) -> int:
    """How far the number that ends so is ahead of this one; none if it is not, or lies further back."""
    steps = (last_byte - number) % 256
    return steps if steps <= BEHIND else 0


def split(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]
