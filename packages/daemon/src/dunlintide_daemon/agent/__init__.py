"""The agent, which admits requests to one endpoint; see ``process.run``."""
