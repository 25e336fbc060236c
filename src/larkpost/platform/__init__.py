"""Adapters to the users' platform: its names, formats and calls.

This package translates between the platform's protocol and larkpost's own types; every call ends in
a typed outcome. No other package knows the platform's names. It makes no scheduling decisions; it
only manages its own connections: which are dead (`dead_connection_rule`), which idle ones are
reused (`connections`), and which are closed when descriptors run short (`descriptors`).
"""
