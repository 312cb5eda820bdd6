"""The error for an answer other than 200 from a peer or the platform."""


class PeerError(Exception):
    """Hold the status of an answer that is not a success."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the answer had status {status}")
        self.status = status
