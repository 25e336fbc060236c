"""Usage: how many requests of each tenant began in each window of time, counted and reported.

`counter` counts what this daemon sends, `count_writer` brings the counts into the store, `reporter`
decides each window and sends its report by `port`. Relies on true time, leases and the store.
"""
