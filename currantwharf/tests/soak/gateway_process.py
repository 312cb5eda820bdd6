"""A gateway that runs as a process of its own; signals go to its process id only."""

import signal
import subprocess
import sys


class GatewayProcess:
    """Starts, signals and restarts one gateway, which logs to a file."""

    def __init__(self, settings, host):
        self.settings = settings
        self.host = host
        self.log_path = settings.with_suffix(".log")
        self.process = None
        self.terminated_at = None
        self.start()

    def start(self):
        command = [sys.executable, "-m", "currantwharf", "gateway", "--settings"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, str(self.settings)], stdout=log, stderr=log
            )
        self.terminated_at = None

    def is_running(self):
        return self.process.poll() is None

    def send(self, signal_number):
        if self.is_running():
            self.process.send_signal(signal_number)

    def terminate(self, now):
        self.terminated_at = now
        self.send(signal.SIGTERM)

    def kill_and_wait(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()
