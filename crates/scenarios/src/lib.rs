//! Scenario runner: rhai scripts against the decisions on virtual time, and process tests.
