"""The balancer on sockets. Protocol words end in this package; every decision is the module's."""
