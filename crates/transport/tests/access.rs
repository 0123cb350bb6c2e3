//! Authorization of peers and handling of malformed lines, on Unix sockets and TCP.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{Address, TlsConfig};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};
use transport::{BindError, ConnectError, Connector, JsonLines, JsonLinesError, Listener};

const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_LINE_BYTES: usize = 4096;

fn block_on<F: std::future::Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(future)
}

/// Echoes values on each authorized connection, and returns the errors of the rejected ones.
fn spawn_echo(listener: Listener) -> tokio::sync::mpsc::UnboundedReceiver<String> {
    let (sender, rejections) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok(incoming) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                match incoming.open().await {
                    Ok(mut lines) => loop {
                        match lines.next::<serde_json::Value>().await {
                            Ok(Some(value)) => lines.send(&value).await.expect("a listener"),
                            Ok(None) => return,
                            Err(e) => {
                                let _ = lines.send(&e.to_string()).await;
                                if !matches!(e, JsonLinesError::Malformed(_)) {
                                    return;
                                }
                            }
                        }
                    },
                    Err(e) => drop(sender.send(e.to_string())),
                }
            });
        }
    });
    rejections
}

/// Sends a text and returns the response.
async fn request(lines: &mut JsonLines, text: &str) -> String {
    lines.send(&text).await.expect("a listener");
    lines.next().await.expect("a line").expect("a response")
}

/// A certificate authority; its certificate and those that it issues are files in `dir`.
struct Authority {
    dir: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(dir: &Path) -> Authority {
        fs::create_dir_all(dir).expect("a directory");
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let certificate = params.self_signed(&key).expect("signed certificate");
        fs::write(dir.join("ca.pem"), certificate.pem()).expect("file is written");
        Authority { dir: dir.to_path_buf(), issuer: Issuer::new(params, key) }
    }

    /// Issues a certificate, and writes the files of a peer that trusts `trusted`.
    fn issue(&self, name: &str, trusted: &Authority) -> TlsConfig {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["127.0.0.1".to_string()]).expect("parameters");
        let certificate = params.signed_by(&key, &self.issuer).expect("signed certificate");
        let (certificate_file, key_file) =
            (self.dir.join(format!("{name}.pem")), self.dir.join(format!("{name}.key")));
        fs::write(&certificate_file, certificate.pem()).expect("file is written");
        fs::write(&key_file, key.serialize_pem()).expect("file is written");
        TlsConfig { certificate: certificate_file, key: key_file, authorities: trusted.dir.join("ca.pem") }
    }
}

fn socket_address(dir: &TempDir) -> Address {
    Address::Unix(dir.path().join("admin.sock"))
}

#[test]
fn unix_socket_is_private_and_removed_on_drop() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a directory");
        let address = socket_address(&dir);
        let path = dir.path().join("admin.sock");
        let listener = Listener::bind(&address, None, MAX_LINE_BYTES).await.expect("a listener");
        assert_eq!(fs::metadata(&path).expect("file exists").mode() & 0o777, 0o600);
        assert_eq!(
            fs::read_dir(dir.path()).expect("a directory").count(),
            1,
            "the temporary socket file is left behind"
        );
        let second = Listener::bind(&address, None, MAX_LINE_BYTES).await.expect_err("path is in use");
        assert!(second.to_string().contains("listens there already"), "{second}");
        drop(listener);
        assert!(!path.exists());
        // A socket left behind by a killed process is replaced, any other file is not.
        drop(std::os::unix::net::UnixListener::bind(&path).expect("a socket"));
        assert!(path.exists());
        drop(Listener::bind(&address, None, MAX_LINE_BYTES).await.expect("replaced"));
        fs::write(&path, "contents").expect("file is written");
        let rejected = Listener::bind(&address, None, MAX_LINE_BYTES).await.expect_err("not a socket");
        assert!(matches!(rejected, BindError::PathInUse(..)), "{rejected}");
        assert_eq!(fs::read_to_string(&path).expect("file exists"), "contents");
    });
}

#[test]
fn socket_of_another_user_is_rejected() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a directory");
        let address = socket_address(&dir);
        let path = dir.path().join("admin.sock");
        let _listener = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
        // Only root may change the owner; without that permission there is nothing to test.
        if std::os::unix::fs::chown(&path, Some(65_534), None).is_err() {
            return;
        }
        let rejected = Connector::default()
            .connect(&address, TIMEOUT, MAX_LINE_BYTES)
            .await
            .expect_err("socket of another user");
        assert!(matches!(rejected, ConnectError::Owner(_, 65_534)), "{rejected}");
        assert!(rejected.to_string().contains("belongs to user 65534"), "{rejected}");
    });
}

#[test]
fn malformed_lines_are_reported_and_long_lines_close() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a directory");
        let address = socket_address(&dir);
        let _rejections =
            spawn_echo(Listener::bind(&address, None, MAX_LINE_BYTES).await.expect("a listener"));
        let path = dir.path().join("admin.sock");
        let mut raw = UnixStream::connect(&path).await.expect("a listener");
        raw.write_all(b"{\"half\": \n\xff\xfe\n\"fine\"\n").await.expect("writable connection");
        let mut received = String::new();
        while received.lines().count() < 3 || !received.ends_with('\n') {
            let mut part = [0; 512];
            let n = raw.read(&mut part).await.expect("a response");
            assert!(n > 0, "{received}");
            received += std::str::from_utf8(&part[..n]).expect("text");
        }
        let lines: Vec<&str> = received.lines().collect();
        assert!(lines[0].contains("not a message") && lines[1].contains("not a message"), "{received}");
        assert_eq!(lines[2], "\"fine\"");
        // 10 MB without a line end.
        let mut long = UnixStream::connect(&path).await.expect("a listener");
        for _ in 0..10 * 1024 {
            if long.write_all(&[b'x'; 1024]).await.is_err() {
                break;
            }
        }
        let mut received = Vec::new();
        let _ = long.read_to_end(&mut received).await;
        let received = String::from_utf8_lossy(&received);
        assert!(received.is_empty() || received.contains("line too long"), "{received}");
        // The listener still accepts connections.
        let mut lines =
            Connector::default().connect(&address, TIMEOUT, MAX_LINE_BYTES).await.expect("a listener");
        assert_eq!(request(&mut lines, "again").await, "again");
    });
}

#[test]
fn tcp_requires_trusted_certificates_of_both_sides() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a directory");
        let (ours, others) =
            (Authority::new(&dir.path().join("ours")), Authority::new(&dir.path().join("others")));
        let any = Address::Tcp("127.0.0.1:0".parse().expect("an address"));
        let rejected = Listener::bind(&any, None, MAX_LINE_BYTES).await.expect_err("no certificates");
        assert!(matches!(rejected, BindError::Tls(_)), "{rejected}");
        let server = ours.issue("gateway", &ours);
        let listener = Listener::bind(&any, Some(&server), MAX_LINE_BYTES).await.expect("a listener");
        let address = listener.address().expect("an address");
        let mut rejections = spawn_echo(listener);

        let good = Connector::new(Some(&ours.issue("agent", &ours))).expect("certificates");
        let mut lines = good.connect(&address, TIMEOUT, MAX_LINE_BYTES).await.expect("authorized");
        assert_eq!(request(&mut lines, "hello").await, "hello");

        // A client certificate of another authority: the server rejects it, at the latest at the first line.
        // (In TLS 1.3 the client's handshake may complete before the server has checked the certificate.)
        let wrong = Connector::new(Some(&others.issue("agent", &ours))).expect("certificates");
        match wrong.connect(&address, TIMEOUT, MAX_LINE_BYTES).await {
            Err(_) => {}
            Ok(mut lines) => {
                let _ = lines.send(&"hello").await;
                assert!(
                    !matches!(lines.next::<String>().await, Ok(Some(_))),
                    "an untrusted client got a response"
                );
            }
        }
        assert!(rejections.recv().await.expect("a rejection").contains("invalid peer certificate"));

        // No client certificate: the client fails before it connects, and the server ignores plain text.
        let missing =
            transport::connect(&address, TIMEOUT, MAX_LINE_BYTES).await.expect_err("no client certificate");
        assert!(matches!(missing, ConnectError::NoCertificate(_)), "{missing}");
        let Address::Tcp(tcp_address) = address else { panic!("{address} is not a TCP address") };
        let mut plain = TcpStream::connect(tcp_address).await.expect("a listener");
        plain.write_all(b"{\"n\":1,\"op\":\"state\"}\n").await.expect("writable connection");
        let mut received = Vec::new();
        let _ = plain.read_to_end(&mut received).await;
        assert!(!String::from_utf8_lossy(&received).contains("state"));
        rejections.recv().await.expect("a rejection");

        // A server certificate that no authority of the client has signed.
        let untrusted = Listener::bind(&any, Some(&others.issue("gateway", &ours)), MAX_LINE_BYTES)
            .await
            .expect("a listener");
        let untrusted_address = untrusted.address().expect("an address");
        let _rejections = spawn_echo(untrusted);
        let rejected =
            good.connect(&untrusted_address, TIMEOUT, MAX_LINE_BYTES).await.expect_err("untrusted server");
        assert!(rejected.to_string().contains("invalid peer certificate"), "{rejected}");
    });
}

#[test]
fn certificate_errors_name_the_file_and_omit_the_key() {
    let dir = tempfile::tempdir().expect("a directory");
    let ours = Authority::new(dir.path());
    let good = ours.issue("agent", &ours);
    let secret = fs::read_to_string(&good.key).expect("a key");
    for invalid in ["certificate", "key", "authorities"] {
        let (mut config, file) = (good.clone(), dir.path().join("invalid.pem"));
        fs::write(&file, secret.replace("BEGIN", "BEGUN")).expect("file is written");
        match invalid {
            "certificate" => config.certificate = file,
            "key" => config.key = file,
            _ => config.authorities = file,
        }
        let received = Connector::new(Some(&config)).expect_err(invalid).to_string();
        assert!(received.contains("invalid.pem") && !received.contains(&secret[40..60]), "{received}");
    }
    let mut missing = good;
    missing.key = dir.path().join("none");
    assert!(Connector::new(Some(&missing)).expect_err("none").to_string().contains("none"));
}
