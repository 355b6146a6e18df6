"""A model of what petrelway balances, in simulated time: designs tried at sizes that sockets don't reach."""
