"""Goodput and recovery time of whole deployments in virtual time, beside baselines."""
