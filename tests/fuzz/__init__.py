"""Fuzz tests of every decoder of bytes from outside a process."""
