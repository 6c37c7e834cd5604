"""HTTP/1.1 on the loop (RFC 9110, RFC 9112): a server with pipelining and a client with pooling."""
