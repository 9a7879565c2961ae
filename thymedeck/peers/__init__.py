"""Balancers that find one another and tell their counts (docs/peers.md); nothing is decided from it."""
