"""The port to servers: what is sent to one, what comes back, and which failures are told apart."""
