"""Adapters to the users' platform: its names, formats and calls.

It translates between what the platform speaks and larkpost's own types, and every call ends in a
typed outcome. Nothing outside it knows the platform's names. What is served, where and when, it
does not decide; of its own connections it does: which are silent (`silence_rule`), which idle ones
serve again (`connections`), and which are closed as descriptors run short (`descriptors`).
"""
