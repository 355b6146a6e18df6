"""The running front end: intake, host, links and the roster's follower."""
