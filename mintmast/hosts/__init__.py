"""What media hosts speak; the protocol's page is docs/design/media-host-protocol.md."""
