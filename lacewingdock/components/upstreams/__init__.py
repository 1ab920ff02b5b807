"""Support for discovering, selecting and calling upstream instances."""
