"""The platform's binary set-up protocol over TCP: the gateway's adapter to viewers and media hosts."""
