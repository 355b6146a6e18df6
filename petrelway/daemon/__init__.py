"""The daemon: a front end that protects itself and is watched."""
