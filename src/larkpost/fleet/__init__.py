"""What a daemon knows of the fleet: configuration, instances, other daemons, weight versions."""
