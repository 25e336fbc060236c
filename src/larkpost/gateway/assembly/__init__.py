"""The groups of parts that one daemon is made of, each built in one place."""
