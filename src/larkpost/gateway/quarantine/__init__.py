"""Requests that crash the servers that run them: recognised, counted, and not sent on again."""
