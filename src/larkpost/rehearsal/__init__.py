"""Stand-ins for the systems around larkpost, load generators, experiments and benchmarks."""
