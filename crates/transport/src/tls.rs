//! Certificates of both sides, from the files in the operator's configuration.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use operator_config::TlsConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// What lies behind an error.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why certificates can't be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file can't be read, or does not hold what it should.
    File(PathBuf, Cause),
    /// Certificate, key and authorities don't fit together.
    Invalid(Cause),
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::File(path, cause) => write!(f, "{}: {cause}", path.display()),
            TlsError::Invalid(cause) => write!(f, "certificate and key: {cause}"),
        }
    }
}

impl std::error::Error for TlsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            TlsError::File(_, cause) | TlsError::Invalid(cause) => Some(&**cause),
        }
    }
}

/// The contents of the files of one side.
#[derive(Debug)]
pub struct TlsFiles {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
}

impl TlsFiles {
    /// Reads the files. No part of a key is ever part of an error.
    ///
    /// # Errors
    /// A [`TlsError`] that names the file.
    pub fn read(config: &TlsConfig) -> Result<TlsFiles, TlsError> {
        let chain = read_certificates(&config.certificate)?;
        let key = read_key(&config.key)?;
        let mut authorities = RootCertStore::empty();
        for authority in read_certificates(&config.authorities)? {
            let added = authorities.add(authority);
            added.map_err(|error| TlsError::File(config.authorities.clone(), error.into()))?;
        }
        Ok(TlsFiles { chain, key, authorities: Arc::new(authorities) })
    }

    /// The configuration of a server, which rejects clients without a certificate that one of the authorities
    /// has signed.
    ///
    /// # Errors
    /// [`TlsError::Invalid`].
    pub fn server(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let authorities = Arc::clone(&self.authorities);
        let verifier = WebPkiClientVerifier::builder_with_provider(authorities, Arc::clone(&provider))
            .build()
            .map_err(|error| TlsError::Invalid(error.into()))?;
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(unfit)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unfit)?;
        Ok(Arc::new(config))
    }

    /// The configuration of a client, which shows its certificate and rejects servers without one that one of
    /// the authorities has signed.
    ///
    /// # Errors
    /// [`TlsError::Invalid`].
    pub fn client(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(unfit)?
            .with_root_certificates(Arc::clone(&self.authorities))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unfit)?;
        Ok(Arc::new(config))
    }
}

fn unfit(error: rustls::Error) -> TlsError {
    TlsError::Invalid(error.into())
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    fs::read(path).map_err(|error| TlsError::File(path.to_path_buf(), error.into()))
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let text = read_file(path)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    match certificates {
        Ok(certificates) if !certificates.is_empty() => Ok(certificates),
        _ => Err(TlsError::File(path.to_path_buf(), "holds no PEM certificate".into())),
    }
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let text = read_file(path)?;
    // The cause is dropped, as it might quote the key.
    PrivateKeyDer::from_pem_slice(&text)
        .map_err(|_| TlsError::File(path.to_path_buf(), "holds no PEM key".into()))
}
