"""The platform's set-up protocol, to viewers and to media hosts: one more way in and out of the gateway."""
