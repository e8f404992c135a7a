"""Deployments drawn at random, whose call trees end in one narrow service.

Policy must serve deployments that nobody has seen: what a change gains is measured on many
of these before it is believed.
"""
