"""Stand-in for a model engine that holds a range of layers."""
