"""Stand-ins of the users' platform: its store, engines and services."""
