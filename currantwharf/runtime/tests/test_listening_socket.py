import socket
import unittest

from currantwharf.runtime.listening_socket import open_listening_socket


class ListeningSocketTests(unittest.TestCase):
    def test_connections_wait_until_they_are_accepted(self):
        listener = open_listening_socket(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        conn = socket.create_connection(listener.getsockname(), 5.0)
        self.addCleanup(conn.close)
        conn.sendall(b"x")
        listener.setblocking(True)
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.recv(1), b"x")

    def test_address_in_use_raises_an_error(self):
        with (
            open_listening_socket(("127.0.0.1", 0)) as listener,
            self.assertRaises(OSError),
        ):
            open_listening_socket(listener.getsockname())
