"""Blocking HTTP calls from the command line to running instances."""

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

CALL_TIMEOUT_S = 70.0
READY_TIMEOUT_S = 30  # for an instance to become ready after its start
POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class ConnectionProblem:
    """The reason why a call to an address got no answer."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"{self.address} did not answer: {self.reason}"


def call(
    address: str, path: str, body: dict[str, Any] | None = None
) -> Result[dict[str, Any], ConnectionProblem]:
    """Get `path` from `address`, or post `body` to it, and return the JSON answer.

    An answer with an error status is returned in the same way.
    """
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
    """Wait until an instance is ready; exit the command if it takes too long."""
    for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
        answer = call(address, "/ready")
        if answer.is_ok() and answer.unwrap().get("ready"):
            return
        time.sleep(POLL_INTERVAL_S)
    click.echo(f"{address} did not become ready in {READY_TIMEOUT_S} s", err=True)
    sys.exit(ExitCode.CONNECTION)
