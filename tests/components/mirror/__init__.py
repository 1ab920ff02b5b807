"""Tests of the watch cache for objects in the platform's store."""
