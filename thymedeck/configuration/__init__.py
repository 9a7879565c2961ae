"""A replicated configuration register: one version for a whole fleet of balancers (docs/configuration.md)."""
