"""Both ends of the protocol that distributes configuration and members to followers."""
