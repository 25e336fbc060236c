"""larkpost: a rollout service for reinforcement learning on shared model servers."""

__version__ = "0.1.0"
