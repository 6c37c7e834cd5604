"""The adapter to media hosts; the protocol is specified in docs/design/media-host-protocol.md."""
