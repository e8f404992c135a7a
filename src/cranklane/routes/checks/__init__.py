"""Checks of route table documents that a controller would accept."""
