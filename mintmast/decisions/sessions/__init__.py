"""The session book and its parts: requests, sessions, set-ups, leases, moves and recovery."""
