"""What a front end owes, and what may be sent, repeated, closed or started now: pure, without sockets."""
