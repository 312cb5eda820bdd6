import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from twisted.internet import reactor

from currantwharf.http1 import ConnectionPool, Exchange, encode_request
from currantwharf.runtime.clock import SystemClock
from currantwharf.standin.platform_site import PlatformSite
from currantwharf.tests.loopback import run_until

NETWORK = "127.0.251"
FIRST_PORT = 25900
REQUESTS = 400
MAX_WAIT_S = 30.0


class UnreadLogTests(unittest.TestCase):
    """A gateway serves every request although nobody reads its log.

    The log goes to a pipe, and the failing servers cause a log line for each call. Once
    the pipe is full, a blocking log write would stop the gateway.
    """

    def setUp(self):
        reactor.seconds = SystemClock().now
        self.site = PlatformSite(reactor)
        self.site.start()
        self.addCleanup(self.site.stop)
        for name, server in self.site.servers.items():
            server.faults.failing = name.startswith("i-shard-0")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = self.site.write_settings(Path(folder.name), 1, FIRST_PORT, NETWORK)
        command = [sys.executable, "-m", "currantwharf", "gateway", "--settings"]
        self.process = subprocess.Popen(
            [*command, str(settings)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        self.addCleanup(self.stop_gateway)
        self.answers = []
        self.pool = ConnectionPool(
            reactor, reactor.seconds, (f"{NETWORK}.2", FIRST_PORT), 8
        )

    def stop_gateway(self):
        self.pool.close()
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def send_request(self, number):
        data = encode_request(
            b"GET",
            b"/lookup/%d" % number,
            (
                (b"host", b"search.example"),
                (b"x-request-id", b"unread-%d-" % number + b"x" * 200),
                (b"x-deadline-ms", b"1000"),
            ),
        )
        deadline = reactor.seconds() + 20
        self.pool.send(
            Exchange(
                lambda now: data,
                lambda answer: True,
                deadline,
                False,
                self.answers.append,
            )
        )

    def test_reader_that_does_not_read_costs_no_request(self):
        def is_served():
            if not self.answers or getattr(self.answers[-1], "status", 0) != 200:
                if len(self.answers) == self.sent_count:
                    self.sent_count += 1
                    self.send_request(0)
                return False
            return True

        self.sent_count = 0
        run_until(is_served, MAX_WAIT_S)
        self.answers.clear()
        for number in range(1, REQUESTS + 1):
            self.send_request(number)
        run_until(lambda: len(self.answers) == REQUESTS, MAX_WAIT_S)
        self.assertEqual({answer.status for answer in self.answers}, {200})
