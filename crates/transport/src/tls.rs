//! Certificates of both sides, from the files that the operator names.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use operator_config::TlsConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Certificates that can't be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file that can't be read, or holds nothing of the kind.
    File(PathBuf, String),
    /// They don't fit together.
    Unfit(String),
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::File(path, why) => write!(f, "{}: {why}", path.display()),
            TlsError::Unfit(why) => write!(f, "certificate and key: {why}"),
        }
    }
}

impl std::error::Error for TlsError {}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let bad = |why: String| TlsError::File(path.to_path_buf(), why);
    let text = fs::read(path).map_err(|e| bad(e.to_string()))?;
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    match all {
        Ok(all) if !all.is_empty() => Ok(all),
        _ => Err(bad("holds no PEM certificate".to_string())),
    }
}

/// What is read from the files of one side.
#[derive(Debug)]
pub struct TlsFiles {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
}

impl TlsFiles {
    /// Reads the files. Nothing of a key is ever part of an error.
    ///
    /// # Errors
    /// A [`TlsError`] that names the file.
    pub fn read(tls: &TlsConfig) -> Result<TlsFiles, TlsError> {
        let chain = certificates(&tls.certificate)?;
        let bad = |why: &str| TlsError::File(tls.key.clone(), why.to_string());
        let text = fs::read(&tls.key).map_err(|e| bad(&e.to_string()))?;
        let key = PrivateKeyDer::from_pem_slice(&text).map_err(|_| bad("holds no PEM key"))?;
        let mut store = RootCertStore::empty();
        for authority in certificates(&tls.authorities)? {
            let unfit = |e: rustls::Error| TlsError::File(tls.authorities.clone(), e.to_string());
            store.add(authority).map_err(unfit)?;
        }
        Ok(TlsFiles { chain, key, authorities: Arc::new(store) })
    }

    /// A server's side, which takes nobody without a certificate that one of the authorities signed.
    ///
    /// # Errors
    /// [`TlsError::Unfit`].
    pub fn server(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let unfit = |e: &dyn fmt::Display| TlsError::Unfit(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let authorities = Arc::clone(&self.authorities);
        let verifier = WebPkiClientVerifier::builder_with_provider(authorities, Arc::clone(&provider));
        let verifier = verifier.build().map_err(|e| unfit(&e))?;
        let config = ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
        let config = config.map_err(|e| unfit(&e))?.with_client_cert_verifier(verifier);
        let config = config.with_single_cert(self.chain.clone(), self.key.clone_key());
        Ok(Arc::new(config.map_err(|e| unfit(&e))?))
    }

    /// A client's side, which shows its certificate and takes a server that one of the authorities signed.
    ///
    /// # Errors
    /// [`TlsError::Unfit`].
    pub fn client(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let unfit = |e: rustls::Error| TlsError::Unfit(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
        let config = config.map_err(unfit)?.with_root_certificates(Arc::clone(&self.authorities));
        let config = config.with_client_auth_cert(self.chain.clone(), self.key.clone_key());
        Ok(Arc::new(config.map_err(unfit)?))
    }
}
