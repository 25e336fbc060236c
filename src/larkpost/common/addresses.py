"""Reading of listening addresses; kept apart so that it loads without the settings library."""


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``.

    Raises:
        ValueError: the text is not of that form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is no address; write host:port, for example 10.0.0.7:8100")
    return host, int(port)
