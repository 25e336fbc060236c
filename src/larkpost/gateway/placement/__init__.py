"""Decides whether work may be sent to an instance, from this daemon, at this moment."""
