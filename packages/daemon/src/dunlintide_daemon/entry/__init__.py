"""The entry role: takes callers' requests and settles their outcomes."""
