"""Support code shared by components."""
