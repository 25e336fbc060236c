"""Fair sharing of a service that has too few slots: shares of flows, and their use of slots.

The rules are pure functions over counts; the ledger holds the counts of this daemon and those that
other daemons report. Without a shortage of slots, nothing here holds a request back.
"""
