//! The certificate by which a daemon is known.

use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use unit::{Fingerprint, Instance};

use crate::Error;
use crate::quic::crypto;

/// A fresh key and self-signed certificate for one life of one instance.
///
/// We keep no key on a disk: instances have none, and a new life announces a new fingerprint.
pub struct Identity {
    instance: Instance,
    cert: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Draws a key for `instance`.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the library can't make a certificate.
    pub fn fresh(instance: Instance) -> Result<Identity, Error> {
        let names = vec![crypto::SERVER_NAME.to_string()];
        let made = rcgen::generate_simple_self_signed(names);
        let made = made.map_err(|e| Error::setup("make a certificate", e))?;
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        Ok(Identity {
            instance,
            cert: made.cert.der().clone(),
            key,
        })
    }

    /// The instance that this identity stands for.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// What others pin.
    pub fn fingerprint(&self) -> Fingerprint {
        crypto::fingerprint(&self.cert)
    }

    pub(crate) fn chain(&self) -> Vec<CertificateDer<'static>> {
        vec![self.cert.clone()]
    }

    pub(crate) fn key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}
