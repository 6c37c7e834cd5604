"""Soak runs: processes of the platform's gateway on loopback under dense faults, audited from outside."""
