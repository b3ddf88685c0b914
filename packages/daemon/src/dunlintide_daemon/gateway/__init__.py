"""Entry on a platform's store: one event loop and no agents."""
