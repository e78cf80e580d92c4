"""The fault matrix: each fault at each step of a request."""
