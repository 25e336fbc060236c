"""Adapters to the users' platform: its names, formats and calls.

Nothing in this package decides: it translates between what the platform speaks and larkpost's own
types, and every call ends in a typed outcome. Nothing outside it knows the platform's names.
"""
