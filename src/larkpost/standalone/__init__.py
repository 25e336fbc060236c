"""The program that ``larkpost serve`` starts: larkpost's own interface, without that platform.

Daemons find each other by gossip and keep configuration, membership and batches among themselves;
only the configuration's row lies in a table service. It owns everything below this folder and
imports nothing of `larkpost.gateway`. `larkpost.client` is its client library for trainers.
"""
