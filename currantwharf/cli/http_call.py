"""Plain calls of the command line to running instances."""

import json
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Any

import click
from result import Err, Ok, Result

from currantwharf.cli.exit_code import ExitCode

CALL_TIMEOUT_S = 70.0  # seconds
READY_TIMEOUT_S = 30  # seconds that an instance may take to become ready
POLL_INTERVAL_S = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class ConnectionProblem:
    """Tell that an address did not answer, and why."""

    address: str
    why: str

    def __str__(self) -> str:
        return f"{self.address} did not answer: {self.why}"


def call(
    address: str, path: str, body: dict[str, Any] | None = None
) -> Result[dict[str, Any], ConnectionProblem]:
    """Get `path` from `address`, or post `body` to it, and return the JSON answer."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    request.add_header("content-type", "application/json")
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=CALL_TIMEOUT_S) as response:
            return Ok(json.load(response))
    except urllib.error.HTTPError as exc:
        return Ok(json.load(exc))
    except (OSError, ValueError) as exc:
        return Err(ConnectionProblem(address, str(exc)))


def wait_until_ready(address: str) -> None:
    """Wait until an instance takes requests, or end the command."""
    for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
        answer = call(address, "/ready")
        if answer.is_ok() and answer.unwrap().get("ready"):
            return
        time.sleep(POLL_INTERVAL_S)
    click.echo(f"{address} did not become ready in {READY_TIMEOUT_S} s", err=True)
    sys.exit(ExitCode.CONNECTION)
