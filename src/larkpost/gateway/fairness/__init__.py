"""Who comes first when a service has too few places: shares of tenants, and use by tenant.

The rules are pure functions over counts; the ledger holds the counts of this daemon and those that
other daemons report. Where no place is short, nothing here holds a request back.
"""
