"""The protocols on sockets, without sockets: bytes in, calls out; calls in, bytes out."""
