"""Stand-ins that speak the platform's protocol: store, servers, trainers and clients.

They serve the demonstration and tests, so that neither needs the users' bench. `memory_store` and
`engine_state` hold what a store and an engine do; the other modules give it the platform's names
and formats.
"""
