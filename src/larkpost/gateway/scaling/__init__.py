"""How many servers a service has in each zone: planned from demand and price, ordered by one."""
