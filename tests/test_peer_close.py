"""A close of the other side is noticed while bytes from before it are unread."""

import socket
import struct

import pytest

from petrelway.sockets.peer_close import peer_has_closed

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize("ends", ["close", "half-close", "reset"])
def test_a_close_behind_unread_bytes_is_noticed(ends):
    """Reading shows it only behind them, and what was read would be carried out."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        own, _ = server.accept()
        with own, client:
            client.sendall(b"unread")
            assert not peer_has_closed(own.fileno())
            if ends == "half-close":
                client.shutdown(socket.SHUT_WR)
            else:
                if ends == "reset":
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                client.close()
            assert peer_has_closed(own.fileno())
