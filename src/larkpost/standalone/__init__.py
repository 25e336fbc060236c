"""The standalone daemon that ``larkpost serve`` starts, with larkpost's own HTTP interface.

Daemons discover each other by gossip and keep configuration, membership and batches among
themselves; only the configuration row and named run-once keys are stored in a table service. The
package imports nothing from `larkpost.gateway`. Its client library for trainers is
`larkpost.client`.
"""
