"""Whether a piece of work may be sent to a server instance, from this daemon, at this moment."""
