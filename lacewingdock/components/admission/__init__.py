"""Support for admitting no more work than there is capacity for."""
