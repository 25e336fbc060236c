"""Stand-ins for the systems around larkpost, load, experiments and measurements."""
