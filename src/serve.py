"""Starts one daemon on the platform; see deploy/system.toml."""

import os

# The platform speaks plain HTTP. Without this the HTTP client reads all certificate authorities of
# the machine when it is imported: a third of the processor time of a start, and 2 MB.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from larkpost.platform.process import run  # noqa: E402 (the line above must come first)

if __name__ == "__main__":
    run()
