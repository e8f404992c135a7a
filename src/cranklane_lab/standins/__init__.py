"""Stand-ins for the processes outside the product: workers, clients and operators."""
