"""The front end on the platform's protocol: door, links, bus follower, service."""
