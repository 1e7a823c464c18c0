//! TLS set up so that a certificate is known by its fingerprint alone.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::Resumption;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{CertificateError, DigitallySignedStruct, DistinguishedName, SignatureScheme};
use sha2::{Digest, Sha256};
use unit::Fingerprint;

use crate::Error;
use crate::codec::ALPN;
use crate::quic::{Identity, Trust};

/// The name in each certificate. Peers are told apart by fingerprint, so one name serves all.
pub(crate) const SERVER_NAME: &str = "appleshore";

pub(crate) fn fingerprint(cert: &CertificateDer<'_>) -> Fingerprint {
    Fingerprint(Sha256::digest(cert).into())
}

/// Accepts the one server that the dialer means.
#[derive(Debug)]
struct PinnedServer {
    expected: Fingerprint,
    provider: Arc<CryptoProvider>,
}

/// Accepts the clients that the roster names.
#[derive(Debug)]
struct PinnedClient {
    trust: Trust,
    provider: Arc<CryptoProvider>,
}

fn unknown() -> rustls::Error {
    rustls::Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
}

macro_rules! signatures {
    () => {
        fn verify_tls12_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, rustls::Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls12_signature(message, cert, dss, algorithms)
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, rustls::Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls13_signature(message, cert, dss, algorithms)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.provider
                .signature_verification_algorithms
                .supported_schemes()
        }
    };
}

impl ServerCertVerifier for PinnedServer {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        if fingerprint(end_entity) == self.expected {
            return Ok(ServerCertVerified::assertion());
        }
        Err(unknown())
    }

    signatures!();
}

impl ClientCertVerifier for PinnedClient {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        match self.trust.find(&fingerprint(end_entity)) {
            Some(_) => Ok(ClientCertVerified::assertion()),
            None => Err(unknown()),
        }
    }

    signatures!();
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// The client's side of the handshake with the one peer whose certificate is `expected`.
pub(crate) fn client(
    identity: &Identity,
    expected: Fingerprint,
) -> Result<Arc<QuicClientConfig>, Error> {
    const STEP: &str = "set up TLS to dial";
    let provider = provider();
    let verifier = Arc::new(PinnedServer {
        expected,
        provider: provider.clone(),
    });
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| Error::setup(STEP, e))?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(identity.chain(), identity.key());
    let mut config = config.map_err(|e| Error::setup(STEP, e))?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    // A resumed session would skip the check of the certificate, and a peer that has been removed
    // since could come back by it.
    config.resumption = Resumption::disabled();
    let quic = QuicClientConfig::try_from(config).map_err(|e| Error::setup(STEP, e))?;
    Ok(Arc::new(quic))
}

/// The server's side of the handshake.
pub(crate) fn server(identity: &Identity, trust: Trust) -> Result<Arc<QuicServerConfig>, Error> {
    const STEP: &str = "set up TLS to listen";
    let provider = provider();
    let verifier = Arc::new(PinnedClient {
        trust,
        provider: provider.clone(),
    });
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| Error::setup(STEP, e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain(), identity.key());
    let mut config = config.map_err(|e| Error::setup(STEP, e))?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.send_tls13_tickets = 0;
    let quic = QuicServerConfig::try_from(config).map_err(|e| Error::setup(STEP, e))?;
    Ok(Arc::new(quic))
}

/// The certificate that the other end of `connection` has shown.
pub(crate) fn peer(connection: &quinn::Connection) -> Option<Fingerprint> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().map(fingerprint)
}
