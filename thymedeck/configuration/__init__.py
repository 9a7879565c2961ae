"""One configuration of one version for a whole fleet, kept by control machines (docs/configuration.md)."""
