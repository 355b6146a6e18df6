"""The front end on the platform's protocol: clients, admission, executors, discovery, and its lifecycle."""
