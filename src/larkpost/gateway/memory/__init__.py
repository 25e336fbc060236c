"""What a daemon holds in memory for others: how much it may be, and who gives way when it is not.

The budget counts bytes by purpose; deliveries are the answers on their way to clients.
"""
