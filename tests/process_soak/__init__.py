"""A soak of the real programs: processes on loopback, faults from outside, judged from outside."""
