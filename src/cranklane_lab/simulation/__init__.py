"""Simulation: the product's own code on a virtual clock, network and disks."""
