"""Parses listening addresses without importing the settings library."""


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``.

    Raises:
        ValueError: the text does not have that form, or the port is not between 1 and 65535.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"{address!r} is not a valid address; use host:port, for example 10.0.0.7:8100"
        )
    return host, int(port)
