"""Rates of teams over all VMs together."""

from fireflyspread.limits._limiter import RateLimiter

__all__ = ["RateLimiter"]
