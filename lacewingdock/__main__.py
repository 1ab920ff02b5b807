"""Support for `python3 -m lacewingdock`."""

from lacewingdock.cli import main

main()
