"""Trials of the edge role against stand-ins of the platform."""
