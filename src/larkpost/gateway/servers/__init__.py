"""Interface to servers: requests, responses and the kinds of failures."""
