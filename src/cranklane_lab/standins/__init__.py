"""Stand-ins for what is outside the product: workers, clients, the platform."""
