//! The town on loopback sockets.
