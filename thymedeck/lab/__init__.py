"""Test laboratory (docs/lab.md): runs the unmodified service in virtual time on in-memory sockets."""
