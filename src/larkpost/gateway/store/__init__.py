"""The durable store: conditional writes of rows, and a change feed.

`port` defines the interface, `follower` keeps a local copy of a table, and `relay` sends calls
through `peers` while the store rejects this daemon. Depends only on observability.
"""
