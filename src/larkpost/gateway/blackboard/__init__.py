"""What a daemon knows of the world: typed sections that controllers write and everything reads.

Owns the configuration in force, the directory of instances, weight targets, evacuated zones, cold
instances, known crashes, and where zones lie. Each section says how old its news is or which
version it holds. Nothing here makes a call; there are no locks, as one thread writes and reads.
"""
