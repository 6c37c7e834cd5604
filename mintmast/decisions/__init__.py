"""What the gateway decides beside the module: pure, with the time handed in and no I/O."""
