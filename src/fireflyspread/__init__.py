"""Scheduler for agent programs shared by many teams."""

__all__ = ["__version__"]

__version__ = "0.1.0"
