"""Tests of the local cluster and of nodes that run as processes."""
