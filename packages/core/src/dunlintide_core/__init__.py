"""Pure decisions of the router: no I/O, no clock and no threads."""
