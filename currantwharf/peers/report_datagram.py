"""The datagram in which instances tell each other of silent and slow servers."""

import msgspec

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.server_report import ServerReport


class ReportDatagram(msgspec.Struct, frozen=True):
    """Reports on backend servers; a map in MessagePack, where a hello is an array."""

    reports: tuple[ServerReport, ...]


_decoder = msgspec.msgpack.Decoder(ReportDatagram)
MAP_OF_ONE = b"\x81"


def encode_reports(reports: tuple[ServerReport, ...]) -> bytes:
    """Encode reports as a datagram."""
    return msgspec.msgpack.encode(ReportDatagram(reports))


def decode_reports(data: bytes) -> tuple[ServerReport, ...] | None:
    """Decode a datagram; return None if it does not contain reports.

    >>> decode_reports(encode_reports((ServerReport("s1", 90),)))
    (ServerReport(server='s1', work_ms=90),)
    >>> decode_reports(b"no") is None
    True
    """
    if not data.startswith(MAP_OF_ONE):
        return None
    try:
        return _decoder.decode(data).reports
    except DECODE_ERRORS:
        return None
