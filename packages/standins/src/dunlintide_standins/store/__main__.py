"""Run the stand-in of the store as a process."""

from dunlintide_standins import process
from dunlintide_standins.store import server

process.run(server.Config, server.Store.from_config)
