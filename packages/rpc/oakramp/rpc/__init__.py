"""Calls between the nodes of a cluster, as Thrift structs in frames over TCP."""
