"""The agent: the gate before one endpoint; ``role.run`` runs it."""
