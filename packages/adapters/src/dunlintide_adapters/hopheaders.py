"""Hop-by-hop headers, which are never forwarded."""

__all__ = ['HOP_BY_HOP']

# RFC 9110, 7.6.1, in lower case; some still send Proxy-Connection.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
