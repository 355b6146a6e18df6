"""The web console: what a front end sees of itself, shown without asking anybody."""
