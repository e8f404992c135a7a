"""Replicated log: one leader, entries committed by a quorum of durable copies."""
