"""What a daemon tells of itself: log, metrics, and the commands that tell a story from the log."""
