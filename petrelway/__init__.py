"""petrelway: an invoker front end of a function platform."""
