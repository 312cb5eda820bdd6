"""Error for a response of a peer or the platform with a status other than 200."""


class HttpStatusError(Exception):
    """Raised for an HTTP response whose status is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected HTTP status {status}")
        self.status = status
