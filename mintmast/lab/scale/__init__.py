"""The scale run: real gateways beside hollow ones, at sizes that no machine here holds, and what it shows."""
