"""Generated message types of the links between processes."""
