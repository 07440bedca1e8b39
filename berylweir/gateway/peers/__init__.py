"""Communication between gateways over nng sockets."""
