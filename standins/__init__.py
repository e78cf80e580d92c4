"""Stand-ins for external systems: store, VM list, engines, services."""
