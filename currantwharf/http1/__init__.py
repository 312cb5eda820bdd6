"""HTTP/1.1 on Twisted's transports, parsed by `httptools`.

It carries the requests of callers and those to backend servers, where each
millisecond of processor time counts. The operators' pages are served by `klein`.
"""

from currantwharf.http1.backend_connection import BackendConnection
from currantwharf.http1.caller_connection import CallerConnection
from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.connection_pool import ConnectionPool
from currantwharf.http1.encode import encode_headers, encode_request, encode_response
from currantwharf.http1.exchange import Exchange, ExchangeResult
from currantwharf.http1.header_values import (
    parse_count,
    parse_decimal,
    parse_signed_count,
)
from currantwharf.http1.memory_budget import PROCESS_BUDGET, MemoryBudget
from currantwharf.http1.message import (
    Header,
    HttpRequest,
    HttpResponse,
    find_header,
    select_end_to_end_headers,
)
from currantwharf.http1.progress_timeout import ProgressTimeout
from currantwharf.http1.request_limits import RequestLimits
from currantwharf.http1.request_reader import BadRequest, RequestReader
from currantwharf.http1.responder import Responder
from currantwharf.http1.response_reader import BadResponse, ResponseReader

__all__ = [
    "BackendConnection",
    "BadRequest",
    "BadResponse",
    "CallerConnection",
    "ConnectionFailure",
    "ConnectionPool",
    "Exchange",
    "ExchangeResult",
    "Header",
    "HttpRequest",
    "HttpResponse",
    "MemoryBudget",
    "PROCESS_BUDGET",
    "ProgressTimeout",
    "RequestLimits",
    "RequestReader",
    "Responder",
    "ResponseReader",
    "encode_headers",
    "encode_request",
    "encode_response",
    "select_end_to_end_headers",
    "find_header",
    "parse_count",
    "parse_decimal",
    "parse_signed_count",
]
