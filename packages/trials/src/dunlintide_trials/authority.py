"""Certificate authority that issues the TLS files of trials and the demo."""

import datetime
import ipaddress
import pathlib

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

from dunlintide_core import identities

__all__ = [
    'Authority',
    'DOMAIN',
]

DOMAIN = 'dunlintide.internal'
_LIFETIME = datetime.timedelta(days=2)
_LOOPBACK = ipaddress.ip_address('127.0.0.1')


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _encode_key(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


class Authority:
    """Certificate authority whose key is kept in memory only.

    :ivar certificate: certificate of the authority in PEM
    """

    def __init__(self, name: str = 'trial authority') -> None:
        self._name = _make_name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        issued = self._build(self._name, self._key, _LIFETIME).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self.certificate = self._sign(issued)

    def _build(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        lifetime: datetime.timedelta,
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.timezone.utc)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _LIFETIME)
            .not_valid_after(now + lifetime)
        )

    def _sign(self, built: x509.CertificateBuilder) -> bytes:
        signed = built.sign(self._key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)

    def issue(
        self, role: str, name: str, lifetime: datetime.timedelta = _LIFETIME
    ) -> tuple[bytes, bytes]:
        """Issue a certificate for a process name and for 127.0.0.1.

        :param lifetime: time until it expires, negative for an expired one
        :returns: certificate and key in PEM
        """
        identity = identities.Identity(role, name)
        names = identities.list_names(identity, DOMAIN)
        dns_names = [x509.DNSName(one) for one in names]
        key = ec.generate_private_key(ec.SECP256R1())
        built = self._build(_make_name(name), key, lifetime).add_extension(
            x509.SubjectAlternativeName(
                [*dns_names, x509.IPAddress(_LOOPBACK)]
            ),
            critical=False,
        )
        return self._sign(built), _encode_key(key)

    def write(
        self,
        folder: pathlib.Path,
        role: str,
        name: str,
        lifetime: datetime.timedelta = _LIFETIME,
    ) -> dict[str, str]:
        """Issue a certificate and write its files, replacing existing ones.

        :returns: the ``tls`` part of the settings of that process
        """
        certificate, key = self.issue(role, name, lifetime)
        contents = {
            'certificate': certificate,
            'key': key,
            'authorities': self.certificate,
        }
        paths = {}
        for field, data in contents.items():
            path = folder / f'{name}.{field}.pem'
            path.write_bytes(data)
            paths[field] = str(path)
        return paths
