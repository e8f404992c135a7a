"""What may run only once: replicated entries that nodes ask before they run a call."""
