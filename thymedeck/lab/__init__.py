"""The laboratory (docs/lab.md): the service's own code on a virtual clock and sockets in memory."""
