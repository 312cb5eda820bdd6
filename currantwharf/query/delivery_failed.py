"""Report of a message that could not be delivered to a peer."""

from dataclasses import dataclass

from currantwharf.wire import PeerMessage


@dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """`message` was not acknowledged by `peer`.

    If `sent` is false, no byte of the message left this process, which proves that
    the peer did not receive it.
    """

    peer: str
    message: PeerMessage
    sent: bool
