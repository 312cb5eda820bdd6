"""The news that a message did not reach a peer."""

from dataclasses import dataclass

from currantwharf.wire import PeerMessage


@dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """Tell that `message` to `peer` was not acknowledged.

    With `sent` false no byte of it left this process, which proves that the peer
    never saw it.
    """

    peer: str
    message: PeerMessage
    sent: bool
