"""Simulator: runs the production code on a virtual clock, network and disks."""
