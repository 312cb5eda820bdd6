"""The answer to an envelope, with the messages that were ready by then."""

from dataclasses import dataclass

import msgspec

from currantwharf.wire.ack import Ack
from currantwharf.wire.envelope import Envelope, PeerMessage, group_by_kind


@dataclass(frozen=True, slots=True)
class Reply:
    """Acknowledge an envelope and carry messages back on the same call."""

    ack: Ack
    envelope: Envelope | None = None


def encode_reply(ack: Ack, messages: list[PeerMessage]) -> bytes:
    """Encode a reply.

    >>> from currantwharf.wire.cancel import Cancel
    >>> ack = Ack("i1", "b1", 0, True, False, 1, 1)
    >>> decode_reply(encode_reply(ack, [Cancel("q", 1, "s")])).envelope.cancels
    (Cancel(query='q', attempt=1, server='s'),)
    >>> decode_reply(encode_reply(ack, [])).envelope is None
    True
    """
    if not messages:
        return msgspec.json.encode({"ack": ack})
    envelope = {
        "sender": ack.instance,
        "boot_id": ack.boot_id,
        **group_by_kind(messages),
    }
    return msgspec.json.encode({"ack": ack, "envelope": envelope})


_decoder = msgspec.json.Decoder(Reply)


def decode_reply(body: bytes) -> Reply:
    """Decode a reply; raise `msgspec.MsgspecError` when it is not one."""
    return _decoder.decode(body)
