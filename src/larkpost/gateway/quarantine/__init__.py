"""Detects and counts requests that crash servers, and stops sending them."""
