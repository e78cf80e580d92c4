"""Stand-ins for the systems outside: store, VM list, engines, services."""
