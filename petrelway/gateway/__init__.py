"""The running front end: HTTP listener, dispatcher, executor channels and registry client."""
