"""Error for a response of a peer or the platform with an unexpected status."""


class HttpStatusError(Exception):
    """Raised for an HTTP response whose status is not a success."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected HTTP status {status}")
        self.status = status
