"""Settings of the gateway: JSON, checked against a published schema, all errors told at once."""

from mintmast.config.load import Config, ConfigError, Title, load, parse
from mintmast.config.schema import SCHEMA

__all__ = ["SCHEMA", "Config", "ConfigError", "Title", "load", "parse"]
