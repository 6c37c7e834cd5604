"""What gateways of a region agree on among themselves."""
