"""Runs the day files of ``deploy/days`` on a deployment and reports the problems."""
