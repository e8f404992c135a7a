"""Random deployments whose call trees share one bottleneck service.

They evaluate a policy change on many deployments that it was not tuned for.
"""
