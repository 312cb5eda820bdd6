"""The result of one attempt at a backend server."""

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.http1 import ConnectionFailure

AttemptResult = BackendAnswer | ConnectionFailure
