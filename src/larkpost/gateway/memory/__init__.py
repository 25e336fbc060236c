"""Memory budget of a daemon, and backpressure towards slow clients.

The budget counts bytes by purpose; a delivery tracks one response on its way to a client.
"""
