"""The entry on a platform's store: one event loop, no agents."""
