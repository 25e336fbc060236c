"""Test doubles that speak the platform's protocol: store, servers, trainers and clients.

The demo and the tests use them in place of the real platform. `memory_store` and `engine_state`
implement the behaviour of a store and an engine; the other modules add the platform's protocol.
"""
