"""What both programs use: ids, clocks, error codes, tasks, and the HTTP server's settings.

Owns no state of a daemon and decides nothing. Relies on libraries alone: imports neither program,
nor the adapter, nor the rehearsal.
"""
