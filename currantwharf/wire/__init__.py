"""The messages between instances and the vocabulary of their outcomes."""

from currantwharf.wire.ack import Ack
from currantwharf.wire.cancel import Cancel
from currantwharf.wire.claim import Claim, ClaimReply, ClaimResult
from currantwharf.wire.envelope import (
    Envelope,
    PeerMessage,
    decode_envelope,
    encode_envelope,
    list_messages,
)
from currantwharf.wire.heartbeat import Heartbeat, MemberUpdate
from currantwharf.wire.hit import Hit
from currantwharf.wire.outcome import Outcome
from currantwharf.wire.reason import Reason
from currantwharf.wire.reply import Reply, decode_reply, encode_reply
from currantwharf.wire.server_released import ServerReleased
from currantwharf.wire.shard_answer import ShardAnswer
from currantwharf.wire.shard_request import ShardRequest

__all__ = [
    "Ack",
    "Cancel",
    "Claim",
    "ClaimReply",
    "ClaimResult",
    "Envelope",
    "Heartbeat",
    "Hit",
    "MemberUpdate",
    "Outcome",
    "PeerMessage",
    "Reason",
    "Reply",
    "ServerReleased",
    "ShardAnswer",
    "ShardRequest",
    "list_messages",
    "encode_envelope",
    "encode_reply",
    "decode_envelope",
    "decode_reply",
]
