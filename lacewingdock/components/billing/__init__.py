"""Support for billing each request once.

A sidecar builds one bill for each attempt that ran (`record`), holds the bill
(`outbox`) and sends it to an entry, which writes it to the ledger in the
platform (`ledger`). `reader` sums the ledger; it shares only the layout of
the rows with the writing side.
"""
