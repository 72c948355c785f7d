"""Names of the platform's own tables and rows."""

#: What the operator writes: the configuration, and requests for maintenance.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"

#: Where workers register themselves, each under its id.
REGISTRY_TABLE = "servers"
