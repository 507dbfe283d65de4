//! Tests of the load tool.
