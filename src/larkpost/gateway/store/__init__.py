"""The durable store: rows changed under conditions, and a feed of changes.

`port` says what is asked of a store; `follower` keeps a local copy of a table, `relay` makes calls
by way of `peers` while the store turns this daemon away. Relies on the log alone.
"""
