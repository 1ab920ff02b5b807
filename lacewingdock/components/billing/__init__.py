"""Support for billing each request once.

A sidecar makes one bill of each attempt that ran (`record`), holds it
(`outbox`) and offers it to an entry, which writes it to the ledger in the
platform (`ledger`). `reader` sums the ledger; it shares nothing with the
writing side but the row's layout.
"""
