"""Usage accounting: requests started per tenant and time window.

`counter` counts this daemon's requests, `count_writer` saves the counts in the store, and
`reporter` decides the final counts of each window and sends them through `port`. Depends on the
fleet clock, leases and the store.
"""
