"""Stand-in for the platform's key-value store (etcd v3 JSON gateway)."""
