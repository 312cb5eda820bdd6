"""Network addresses in the platform's notation."""

Address = tuple[str, int]


class BadAddressError(Exception):
    """Raised for a text that is not an address of the form host:port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not an address of the form host:port")


def parse_address(text: str) -> Address:
    """Return the host and port of an address.

    >>> parse_address("10.1.0.9:8104")
    ('10.1.0.9', 8104)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadAddressError(text)
    return host, int(port)
