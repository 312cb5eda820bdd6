"""The body of one call between two instances."""

from dataclasses import dataclass

import msgspec

from currantwharf.wire.cancel import Cancel
from currantwharf.wire.claim import Claim, ClaimReply, ClaimResult
from currantwharf.wire.heartbeat import Heartbeat
from currantwharf.wire.server_released import ServerReleased
from currantwharf.wire.shard_answer import ShardAnswer
from currantwharf.wire.shard_request import ShardRequest


@dataclass(frozen=True, slots=True)
class Envelope:
    """All messages queued for one peer, of any type and for any query.

    `sender` and `boot_id` identify the sending process: an instance that restarts at
    the same address gets a new boot id.
    """

    sender: str
    boot_id: str
    requests: tuple[ShardRequest, ...] = ()
    answers: tuple[ShardAnswer, ...] = ()
    cancels: tuple[Cancel, ...] = ()
    claims: tuple[Claim, ...] = ()
    claim_replies: tuple[ClaimReply, ...] = ()
    claim_results: tuple[ClaimResult, ...] = ()
    released: tuple[ServerReleased, ...] = ()
    heartbeats: tuple[Heartbeat, ...] = ()


PeerMessage = (
    ShardRequest
    | ShardAnswer
    | Cancel
    | Claim
    | ClaimReply
    | ClaimResult
    | ServerReleased
    | Heartbeat
)

FIELD_BY_MESSAGE_TYPE: dict[type, str] = {
    ShardRequest: "requests",
    ShardAnswer: "answers",
    Cancel: "cancels",
    Claim: "claims",
    ClaimReply: "claim_replies",
    ClaimResult: "claim_results",
    ServerReleased: "released",
    Heartbeat: "heartbeats",
}


def encode_envelope(sender: str, boot_id: str, messages: list[PeerMessage]) -> bytes:
    """Encode `messages` as one envelope.

    >>> raw = encode_envelope("i1", "b1", [Cancel("q1", 0, "s1")])
    >>> decode_envelope(raw).cancels
    (Cancel(query='q1', attempt=0, server='s1'),)
    """
    messages_by_field = group_by_field(messages)
    return msgspec.json.encode(
        {"sender": sender, "boot_id": boot_id, **messages_by_field}
    )


def group_by_field(messages: list[PeerMessage]) -> dict[str, list[PeerMessage]]:
    """Group messages by the name of the envelope's field for their type."""
    messages_by_field: dict[str, list[PeerMessage]] = {}
    for message in messages:
        messages_by_field.setdefault(FIELD_BY_MESSAGE_TYPE[type(message)], []).append(
            message
        )
    return messages_by_field


_decoder = msgspec.json.Decoder(Envelope)


def decode_envelope(body: bytes) -> Envelope:
    """Decode an envelope; raise `msgspec.MsgspecError` for any other input."""
    return _decoder.decode(body)


def list_messages(envelope: Envelope) -> list[PeerMessage]:
    """Return the messages of an envelope, heartbeats first and requests last.

    Answers and cancellations come before requests, so that they free capacity before
    new work is accepted.
    """
    return [
        *envelope.heartbeats,
        *envelope.released,
        *envelope.answers,
        *envelope.cancels,
        *envelope.claim_results,
        *envelope.claim_replies,
        *envelope.claims,
        *envelope.requests,
    ]
