"""A rollout service for reinforcement learning, between callers, trainers and engines."""

__version__ = "0.1.0"
