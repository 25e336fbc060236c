"""Structured log and metrics of a daemon, and the commands that read the log."""
