import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path

from twisted.internet import reactor

from currantwharf.http1 import ConnectionPool, Exchange, encode_request
from currantwharf.platform.platform_instance import METRICS_PORT
from currantwharf.platform.platform_settings import load_platform_settings
from currantwharf.runtime.clock import SystemClock
from currantwharf.standin.platform_site import PlatformSite
from currantwharf.tests.loopback import run_for, run_until

NETWORK = "127.0.252"
FIRST_PORT = 25800
START_S = 1.0  # a start takes a third of this
MAX_WAIT_S = 20.0
REQUEST = (
    (b"host", b"search.example"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"1000"),
)


class StartFaultTests(unittest.TestCase):
    """A gateway process that is started under difficulties serves in the end."""

    def setUp(self):
        reactor.seconds = SystemClock().now
        self.site = PlatformSite(reactor)
        self.site.start()
        self.addCleanup(self.site.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = self.site.write_settings(Path(folder.name), 1, FIRST_PORT, NETWORK)
        self.settings = load_platform_settings(self.path).unwrap()
        self.log = Path(folder.name) / "log"

    def start(self, **options):
        command = [sys.executable, "-m", "currantwharf", "gateway", "--settings"]
        with self.log.open("wb") as log:
            options.setdefault("stdout", log)
            options.setdefault("stderr", log)
            self.process = subprocess.Popen([*command, str(self.path)], **options)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def assert_runs(self):
        self.assertIsNone(self.process.poll(), self.log.read_text())

    def assert_serves(self):
        answers = []
        pool = ConnectionPool(reactor, reactor.seconds, self.settings.caller_address, 1)
        self.addCleanup(pool.close)

        def is_served():
            if answers and getattr(answers[-1], "status", 0) == 200:
                return True
            if len(answers) == self.sent_count:
                self.sent_count += 1
                data = encode_request(b"GET", b"/lookup/x", REQUEST)
                pool.send(
                    Exchange(
                        lambda now: data,
                        lambda answer: True,
                        reactor.seconds() + 5,
                        False,
                        answers.append,
                    )
                )
            return False

        self.sent_count = 0
        run_until(is_served, MAX_WAIT_S)
        self.assert_runs()

    def test_ports_in_use_do_not_end_the_process(self):
        """Guards against a start beside a predecessor that still stops."""
        info = self.settings.instance_info
        with ExitStack() as stack:
            for address in (
                self.settings.caller_address,
                self.settings.readiness_address,
                self.settings.peer_address,
                (info.host, info.relay_port),
                (info.host, METRICS_PORT),
            ):
                taken = stack.enter_context(socket.socket())
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                taken.bind(address)
                taken.listen()
            taken = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            taken.bind((info.host, info.gossip_port))
            self.start()
            run_for(START_S)
            self.assert_runs()
        self.assert_serves()

    def test_settings_that_are_still_being_written_are_waited_for(self):
        """Guards against a start that reads a file which is empty or cut."""
        whole = self.path.read_text()
        self.path.write_text("")
        self.start()
        run_for(START_S / 2)
        self.path.write_text(whole[: len(whole) // 2])
        run_for(START_S / 2)
        self.assert_runs()
        self.path.write_text(whole)
        self.assert_serves()

    def test_settings_that_are_cut_at_a_reload_are_loaded_once_they_are_whole(self):
        self.start()
        self.assert_serves()
        whole = self.path.read_text()
        self.path.write_text(whole[: len(whole) // 2])
        self.process.send_signal(signal.SIGHUP)
        run_until(lambda: "cannot be loaded" in self.log.read_text())
        self.path.write_text(whole)
        run_until(lambda: "settings reloaded" in self.log.read_text())
        self.assert_runs()

    def start_until_it_reads_its_settings(self):
        """Start a gateway that waits for its settings; return what to write to it."""
        whole = self.path.read_text()
        self.path.unlink()
        os.mkfifo(self.path)
        self.start()
        pipe = self.path.open("w")
        self.addCleanup(pipe.close)

        def provide_settings():
            self.path.unlink()
            self.path.write_text(whole)
            pipe.write(whole)
            pipe.close()

        return provide_settings

    def test_reloads_during_the_start_do_not_end_the_process(self):
        """Guards against a SIGHUP that comes before there is a handler."""
        provide_settings = self.start_until_it_reads_its_settings()
        self.process.send_signal(signal.SIGHUP)
        provide_settings()
        for _ in range(10):
            self.process.send_signal(signal.SIGHUP)
            run_for(0.05)
        self.assert_serves()
        run_until(lambda: "settings reloaded" in self.log.read_text())

    def test_stop_during_the_start_ends_it_in_order(self):
        provide_settings = self.start_until_it_reads_its_settings()
        self.process.send_signal(signal.SIGTERM)
        provide_settings()
        self.assertEqual(self.process.wait(MAX_WAIT_S), 0)

    def test_closed_standard_streams_do_not_end_the_process(self):
        """Guards against a log that can't be written, and sockets in its place."""
        self.log.touch()
        command = f"'{sys.executable}' -m currantwharf gateway"
        shell = f"exec {command} --settings '{self.path}' <&- >&- 2>&-"
        self.process = subprocess.Popen(["sh", "-c", shell])
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.assert_serves()
        for descriptor in (0, 1, 2):
            opened = os.readlink(f"/proc/{self.process.pid}/fd/{descriptor}")
            self.assertEqual(opened, os.devnull)

    def test_instance_serves_without_its_metrics_port(self):
        """Guards against two instances at one address, of which the second ended."""
        with socket.socket() as taken:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((self.settings.instance_info.host, METRICS_PORT))
            taken.listen()
            self.start()
            self.assert_serves()
        self.assertIn("cannot open a port", self.log.read_text())
