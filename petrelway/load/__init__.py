"""Load on a running front end in open loop: what is due is sent, however slow the answers."""
