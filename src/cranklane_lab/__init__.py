"""The laboratory: stand-ins, fleets on one machine, load, simulation and measurements.

Nothing here is part of the product; only this package starts processes.
"""
