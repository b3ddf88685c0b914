"""Decisions about chains of engines that hold layer ranges."""
