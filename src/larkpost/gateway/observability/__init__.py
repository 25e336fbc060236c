"""What a daemon reports of itself: log, metrics, and the commands that read the log."""
