"""Modules shared by both programs: ids, clocks, error codes, tasks, and the HTTP server.

Holds no daemon state and makes no decisions. Imports third-party libraries only, never a program,
the platform adapter or the rehearsal.
"""
