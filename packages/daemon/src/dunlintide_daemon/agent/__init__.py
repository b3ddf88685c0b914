"""The agent: the gate before one endpoint; ``process.run`` runs it."""
