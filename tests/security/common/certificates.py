"""Authorities and certificates for tests, made anew for each run."""

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LIFE = datetime.timedelta(days=1)


@dataclass(frozen=True, slots=True)
class Issued:
    """The files of one certificate, and of the authority that its holder trusts."""

    cert: Path
    key: Path
    ca: Path

    def variables(self) -> dict[str, str]:
        """The settings that put it in force."""
        return {
            "BAMBOOTILLER_TLS_CERT": str(self.cert),
            "BAMBOOTILLER_TLS_KEY": str(self.key),
            "BAMBOOTILLER_TLS_CA": str(self.ca),
        }


class Authority:
    """An authority with its own certificate, which issues others.

    Example::

        issued = Authority(folder, "fleet").issue("agent-1")
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._subject = _named(name)
        public = self._key.public_key()
        builder = self._builder(self._subject, public).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        self.path = self._write(f"{name}.pem", _pem(self._sign(builder)))

    def issue(self, name: str) -> Issued:
        """A certificate for a process or a tool on this machine."""
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = self._builder(_named(name), key.public_key()).add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        prefix = f"{self._name}-{name}"
        return Issued(
            cert=self._write(f"{prefix}.pem", _pem(self._sign(builder))),
            key=self._write(f"{prefix}.key", private),
            ca=self.path,
        )

    def _builder(self, subject: x509.Name, public) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._subject)
            .public_key(public)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFE)
            .not_valid_after(now + LIFE)
        )

    def _sign(self, builder: x509.CertificateBuilder) -> x509.Certificate:
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name: str, data: bytes) -> Path:
        path = self._folder / name
        path.write_bytes(data)
        return path


def _named(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _pem(cert: x509.Certificate) -> bytes:
    return cert.public_bytes(serialization.Encoding.PEM)
