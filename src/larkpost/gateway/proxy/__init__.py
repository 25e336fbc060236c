"""Forwarding of client requests: choice of a server, attempts and their limits, refusals."""
