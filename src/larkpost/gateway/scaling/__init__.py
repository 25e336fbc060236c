"""Plans the number of servers of each service and zone from demand and price, and orders them.

`server_counter` counts the current servers, `demand_estimator` estimates the demand, `planner` is
the rule, `controller` logs the plan and sends orders through `port`. Relies on the blackboard,
leases and the store.
"""
