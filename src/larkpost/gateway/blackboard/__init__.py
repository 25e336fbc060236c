"""The daemon's view of the cluster: state that controllers write and all other parts read.

Holds the active configuration, the instance directory, weight targets, evacuated zones, cold
instances, known crashes and zone regions. Each section records the age or version of its data. No
I/O, and no locks: a single thread reads and writes.
"""
