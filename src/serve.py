"""Starts one daemon on the platform; see deploy/system.toml."""

import os

# The platform uses plain HTTP. Without this, importing the HTTP client loads all certificate
# authorities of the machine, which slows the start and takes 2 MB of memory.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from larkpost.platform.process import run  # noqa: E402 (the environment variable must be set first)

if __name__ == "__main__":
    run()
