"""Messages between keepers and routers, with their encoding and sockets."""
