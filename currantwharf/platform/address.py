"""Network addresses in the platform's notation."""

Address = tuple[str, int]

MAX_PORT_DIGITS = 5


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
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) < 65536:
        raise BadAddressError(text)
    return host, int(port)
