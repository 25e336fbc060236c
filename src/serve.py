"""Starts one daemon on the platform; see deploy/system.toml."""

import os

from larkpost.common.early_signals import record_signals

record_signals()  # before the slow imports below

# The platform uses plain HTTP. Without this, importing the HTTP client loads all certificate
# authorities of the machine, which slows the start and takes 2 MB of memory.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from larkpost.platform.process import run  # noqa: E402 (signals and environment are set first)

if __name__ == "__main__":
    run()
