//! Stand-ins for core servers, pool list and callers: models without I/O.
