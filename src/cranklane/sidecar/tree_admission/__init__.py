"""Admission of whole call trees by the capacity of the services that they depend on."""
