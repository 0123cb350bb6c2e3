//! Mutual TLS, with the certificate files of the operator's configuration.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use operator_config::TlsConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// The error behind a [`TlsError`].
type Source = Box<dyn std::error::Error + Send + Sync>;

/// Why certificates can't be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file can't be read, or lacks the expected certificate or key.
    File(PathBuf, Source),
    /// Certificates are missing, or certificate, key and authorities do not match each other.
    Invalid(Source),
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::File(path, source) => write!(f, "{}: {source}", path.display()),
            TlsError::Invalid(source) => write!(f, "certificate and key: {source}"),
        }
    }
}

impl std::error::Error for TlsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            TlsError::File(_, source) | TlsError::Invalid(source) => Some(&**source),
        }
    }
}

/// Certificate chain, private key and trusted authorities of one side of the connections.
#[derive(Debug)]
pub struct TlsFiles {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
}

impl TlsFiles {
    /// Reads the files. Errors never contain any part of the key.
    ///
    /// # Errors
    /// [`TlsError::File`], which names the file.
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

    /// Returns a server configuration that rejects clients without a certificate signed by one of the
    /// authorities.
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
            .map_err(invalid)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(invalid)?;
        Ok(Arc::new(config))
    }

    /// Returns a client configuration that presents the certificate and rejects servers without one signed by
    /// one of the authorities.
    ///
    /// # Errors
    /// [`TlsError::Invalid`].
    pub fn client(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(invalid)?
            .with_root_certificates(Arc::clone(&self.authorities))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(invalid)?;
        Ok(Arc::new(config))
    }
}

fn invalid(error: rustls::Error) -> TlsError {
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
    // The parser's error is dropped, as it might quote the key.
    PrivateKeyDer::from_pem_slice(&text)
        .map_err(|_| TlsError::File(path.to_path_buf(), "holds no PEM key".into()))
}
