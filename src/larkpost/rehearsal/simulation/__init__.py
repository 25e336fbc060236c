"""Simulates a whole fleet in one process on virtual time, with the real daemon code.

Only the ports are simulated: network, engine transport, platform transport and clock. Hosts can be
killed, frozen or disconnected at any await.
"""
