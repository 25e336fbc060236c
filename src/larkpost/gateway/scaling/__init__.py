"""How many servers a service has in each zone: planned from demand and price, ordered by one.

`census` counts what there is, `demand` works out what is asked for, `planner` is the rule,
`controller` logs the plan and orders by `port`. Relies on the blackboard, leases and the store.
"""
