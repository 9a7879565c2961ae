"""One configuration of one version for a whole fleet, kept by the control machines (docs/configuration.md)."""
