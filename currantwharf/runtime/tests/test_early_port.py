import socket
import unittest

from currantwharf.runtime.listening_socket import open_listening_socket


class EarlyPortTests(unittest.TestCase):
    def test_connections_wait(self):
        early = open_listening_socket(("127.0.0.1", 0))
        self.addCleanup(early.close)
        conn = socket.create_connection(early.getsockname(), 5.0)
        self.addCleanup(conn.close)
        conn.sendall(b"x")
        early.setblocking(True)
        waiting, _ = early.accept()
        self.addCleanup(waiting.close)
        self.assertEqual(waiting.recv(1), b"x")

    def test_address_that_is_taken(self):
        with (
            open_listening_socket(("127.0.0.1", 0)) as early,
            self.assertRaises(OSError),
        ):
            open_listening_socket(early.getsockname())
