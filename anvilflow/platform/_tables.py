"""Names of the platform's tables and rows."""

#: Rows written by the operator: the configuration and maintenance requests.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"

#: Registry entries of the workers, by worker id.
REGISTRY_TABLE = "servers"
