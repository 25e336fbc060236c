"""Stand-ins that speak the platform's protocol: store, servers, trainers and clients.

They serve the demonstration and tests, so that neither needs the users' bench. What they decide is
in `larkpost.rehearsal`; here it gets the platform's names and formats.
"""
