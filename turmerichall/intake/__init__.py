"""What senders outside the cluster may take of a process before it decides.

Called by the HTTP servers, by the gateway's server and by the network of
instances.
"""

__all__: list[str] = []
