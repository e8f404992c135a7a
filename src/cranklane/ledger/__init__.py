"""Ledger: replicated entries that make calls run at most once for each idempotency key."""
