"""Run the stand-in of an engine as a process."""

from dunlintide_standins.engine import server
from dunlintide_standins import process

process.run(server.Config, server.Engine.from_config)
