"""thymedeck: a balancer for long-lived connections."""
