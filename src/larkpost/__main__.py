"""Runs the command line as ``python -m larkpost``."""

from larkpost.cli import app

app()
