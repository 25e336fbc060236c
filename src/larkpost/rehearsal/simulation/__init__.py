"""A whole fleet in one process on virtual time, around the real daemon code.

Only the ports are simulated: network, engines' transport, platform's transport and clock. Hosts can
be killed, frozen and cut off at any await.
"""
