//! The edge proxy on sockets: listeners, links, timers, configuration, logs.
