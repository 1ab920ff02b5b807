"""Support for upstream instances: which there are, and calls to them."""
