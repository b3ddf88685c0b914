"""Deployment launcher, demo, load, benchmarks and soak runs."""
