"""The daemon: entries and agents."""
