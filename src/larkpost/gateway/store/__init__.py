"""The durable store: rows changed under conditions, and a feed of changes."""
