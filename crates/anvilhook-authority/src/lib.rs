//! Authority over engines, carried out: leases kept, orders given, drains awaited.
#![forbid(unsafe_code)]
