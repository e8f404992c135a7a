"""Fault-injection scenarios that run in simulation and check the product's promises."""
