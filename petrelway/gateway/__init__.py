"""The running front end: intake, host, links and the registry's follower."""
