"""Starts one daemon on the platform; see deploy/system.toml."""

from larkpost.platform.process import run

if __name__ == "__main__":
    run()
