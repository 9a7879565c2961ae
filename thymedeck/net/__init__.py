"""The balancer's network side: event loop, sockets and protocol. Placement decisions are in `policy`."""
