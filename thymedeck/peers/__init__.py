"""Gossip membership between balancers, which also share their session counts (docs/peers.md).

No placement decision is made from it.
"""
