"""TLS between the system's own processes, where the operator sets keys.

Both sides show a certificate of the same authority, so that neither a stranger's
process nor a stranger's client joins the fleet."""

from __future__ import annotations

from pathlib import Path

import grpc

from bambootiller.settings import Settings


def channel_credentials(cfg: Settings) -> grpc.ChannelCredentials | None:
    """The client's credentials, or None for plain connections."""
    if not cfg.tls_cert:
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=Path(cfg.tls_ca).read_bytes(),
        private_key=Path(cfg.tls_key).read_bytes(),
        certificate_chain=Path(cfg.tls_cert).read_bytes(),
    )


def server_credentials(cfg: Settings) -> grpc.ServerCredentials | None:
    """The server's credentials, or None for plain connections."""
    if not cfg.tls_cert:
        return None
    pair = (Path(cfg.tls_key).read_bytes(), Path(cfg.tls_cert).read_bytes())
    return grpc.ssl_server_credentials(
        [pair],
        root_certificates=Path(cfg.tls_ca).read_bytes(),
        require_client_auth=True,
    )
