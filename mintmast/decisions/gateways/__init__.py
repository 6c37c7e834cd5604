"""Protocols among the gateways of a region: membership, claims of paid keys, shared configuration."""
