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
    """Carry all messages that wait for one peer, of any kind and any query.

    `sender` and `boot_id` name the sending process; an instance that restarts at the
    same address has another boot id.
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

FIELD_OF_KIND: dict[type, str] = {
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
    groups = group_by_kind(messages)
    return msgspec.json.encode({"sender": sender, "boot_id": boot_id, **groups})


def group_by_kind(messages: list[PeerMessage]) -> dict[str, list[PeerMessage]]:
    """Return the messages under the names of their fields in an envelope."""
    groups: dict[str, list[PeerMessage]] = {}
    for message in messages:
        groups.setdefault(FIELD_OF_KIND[type(message)], []).append(message)
    return groups


_decoder = msgspec.json.Decoder(Envelope)


def decode_envelope(body: bytes) -> Envelope:
    """Decode an envelope; raise `msgspec.MsgspecError` when it is not one."""
    return _decoder.decode(body)


def list_messages(envelope: Envelope) -> list[PeerMessage]:
    """Return the messages of an envelope, heartbeats first and requests last.

    Answers and cancellations go before requests, so that room is made before new
    work is taken.
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
