"""larkpost: a rollout service for reinforcement learning on shared model engines."""

__version__ = "0.1.0"
