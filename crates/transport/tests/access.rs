//! Which peers may connect, and the handling of malformed lines, on both kinds of sockets.

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

const PATIENCE: Duration = Duration::from_secs(20);
const MOST: usize = 4096;

fn block_on<F: std::future::Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(future)
}

/// Echoes values on each connection that may speak, and tells of each that may not.
fn echo(listener: Listener) -> tokio::sync::mpsc::UnboundedReceiver<String> {
    let (said, refusals) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok(arrival) = listener.accept().await {
            let said = said.clone();
            tokio::spawn(async move {
                match arrival.open().await {
                    Ok(mut lines) => loop {
                        match lines.next::<serde_json::Value>().await {
                            Ok(Some(value)) => lines.send(&value).await.expect("it listens"),
                            Ok(None) => return,
                            Err(e) => {
                                let _ = lines.send(&e.to_string()).await;
                                if !matches!(e, JsonLinesError::Malformed(_)) {
                                    return;
                                }
                            }
                        }
                    },
                    Err(e) => drop(said.send(e.to_string())),
                }
            });
        }
    });
    refusals
}

async fn ask(lines: &mut JsonLines, text: &str) -> String {
    lines.send(&text).await.expect("it listens");
    lines.next().await.expect("a line").expect("an answer")
}

/// An authority, and certificates that it signed.
struct Authority {
    dir: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(dir: &Path) -> Authority {
        fs::create_dir_all(dir).expect("a folder");
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let own = params.self_signed(&key).expect("signed");
        fs::write(dir.join("ca.pem"), own.pem()).expect("room");
        Authority { dir: dir.to_path_buf(), issuer: Issuer::new(params, key) }
    }

    /// The files of one side, which trusts another authority.
    fn side(&self, name: &str, trusts: &Authority) -> TlsConfig {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["127.0.0.1".to_string()]).expect("parameters");
        let own = params.signed_by(&key, &self.issuer).expect("signed");
        let (certificate, key_file) =
            (self.dir.join(format!("{name}.pem")), self.dir.join(format!("{name}.key")));
        fs::write(&certificate, own.pem()).expect("room");
        fs::write(&key_file, key.serialize_pem()).expect("room");
        TlsConfig { certificate, key: key_file, authorities: trusts.dir.join("ca.pem") }
    }
}

fn socket(dir: &TempDir) -> Address {
    Address::Unix(dir.path().join("admin.sock"))
}

#[test]
fn unix_socket_is_private_and_removed_with_its_listener() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a folder");
        let address = socket(&dir);
        let path = dir.path().join("admin.sock");
        let listener = Listener::bind(&address, None, MOST).await.expect("it listens");
        assert_eq!(fs::metadata(&path).expect("there").mode() & 0o777, 0o600);
        assert_eq!(fs::read_dir(dir.path()).expect("a folder").count(), 1, "something is left beside it");
        let second = Listener::bind(&address, None, MOST).await.expect_err("taken");
        assert!(second.to_string().contains("listens there already"), "{second}");
        drop(listener);
        assert!(!path.exists());
        // One whose process died without a word is replaced; a file that is no socket never is.
        drop(std::os::unix::net::UnixListener::bind(&path).expect("a socket"));
        assert!(path.exists());
        drop(Listener::bind(&address, None, MOST).await.expect("replaced"));
        fs::write(&path, "precious").expect("room");
        let refused = Listener::bind(&address, None, MOST).await.expect_err("a file");
        assert!(matches!(refused, BindError::PathInUse(..)), "{refused}");
        assert_eq!(fs::read_to_string(&path).expect("there"), "precious");
    });
}

#[test]
fn rejects_a_socket_of_another_user() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a folder");
        let address = socket(&dir);
        let path = dir.path().join("admin.sock");
        let _theirs = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
        // Only root can give it away; for others the system refuses, and there is nothing to test.
        if std::os::unix::fs::chown(&path, Some(65_534), None).is_err() {
            return;
        }
        let refused = Connector::default().connect(&address, PATIENCE, MOST).await.expect_err("refused");
        assert!(matches!(refused, ConnectError::Owner(_, 65_534)), "{refused}");
        assert!(refused.to_string().contains("belongs to user 65534"), "{refused}");
    });
}

#[test]
fn reports_malformed_lines_and_closes_on_a_long_one() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a folder");
        let address = socket(&dir);
        let _refusals = echo(Listener::bind(&address, None, MOST).await.expect("it listens"));
        let path = dir.path().join("admin.sock");
        let mut raw = UnixStream::connect(&path).await.expect("it listens");
        raw.write_all(b"{\"half\": \n\xff\xfe\n\"fine\"\n").await.expect("it reads");
        let mut said = String::new();
        while said.lines().count() < 3 || !said.ends_with('\n') {
            let mut part = [0; 512];
            let n = raw.read(&mut part).await.expect("an answer");
            assert!(n > 0, "{said}");
            said += std::str::from_utf8(&part[..n]).expect("text");
        }
        let lines: Vec<&str> = said.lines().collect();
        assert!(lines[0].contains("not a message") && lines[1].contains("not a message"), "{said}");
        assert_eq!(lines[2], "\"fine\"");
        // 10 MB with no end of a line.
        let mut long = UnixStream::connect(&path).await.expect("it listens");
        for _ in 0..10 * 1024 {
            if long.write_all(&[b'x'; 1024]).await.is_err() {
                break;
            }
        }
        let mut said = Vec::new();
        let _ = long.read_to_end(&mut said).await;
        let said = String::from_utf8_lossy(&said);
        assert!(said.is_empty() || said.contains("line too long"), "{said}");
        // The listener goes on.
        let mut lines = Connector::default().connect(&address, PATIENCE, MOST).await.expect("it listens");
        assert_eq!(ask(&mut lines, "still").await, "still");
    });
}

#[test]
fn tcp_needs_trusted_certificates_of_both_sides() {
    block_on(async {
        let dir = tempfile::tempdir().expect("a folder");
        let (ours, others) =
            (Authority::new(&dir.path().join("ours")), Authority::new(&dir.path().join("others")));
        let any = Address::Tcp("127.0.0.1:0".parse().expect("an address"));
        let none = Listener::bind(&any, None, MOST).await.expect_err("no certificates");
        assert!(matches!(none, BindError::Tls(_)), "{none}");
        let server = ours.side("gateway", &ours);
        let listener = Listener::bind(&any, Some(&server), MOST).await.expect("it listens");
        let address = listener.address().expect("an address");
        let mut refusals = echo(listener);

        let good = Connector::new(Some(&ours.side("agent", &ours))).expect("certificates");
        let mut lines = good.connect(&address, PATIENCE, MOST).await.expect("it may speak");
        assert_eq!(ask(&mut lines, "hello").await, "hello");

        // A certificate that another authority signed: the server says no, at the latest with the first line.
        let wrong = Connector::new(Some(&others.side("agent", &ours))).expect("certificates");
        match wrong.connect(&address, PATIENCE, MOST).await {
            Err(_) => {}
            Ok(mut lines) => {
                let _ = lines.send(&"hello").await;
                assert!(!matches!(lines.next::<String>().await, Ok(Some(_))), "it was let in");
            }
        }
        assert!(refusals.recv().await.expect("a refusal").contains("invalid peer certificate"));

        // None at all: the caller does not even try; and plain bytes get nowhere.
        let bare = transport::connect(&address, PATIENCE, MOST).await.expect_err("none to show");
        assert!(matches!(bare, ConnectError::NoCertificate(_)), "{bare}");
        let Address::Tcp(at) = address else { panic!("TCP") };
        let mut plain = TcpStream::connect(at).await.expect("it listens");
        plain.write_all(b"{\"n\":1,\"op\":\"state\"}\n").await.expect("it reads");
        let mut said = Vec::new();
        let _ = plain.read_to_end(&mut said).await;
        assert!(!String::from_utf8_lossy(&said).contains("state"));
        refusals.recv().await.expect("a refusal");

        // A server that the caller's authorities did not sign.
        let imposter =
            Listener::bind(&any, Some(&others.side("gateway", &ours)), MOST).await.expect("listens");
        let at = imposter.address().expect("an address");
        let _refusals = echo(imposter);
        let refused = good.connect(&at, PATIENCE, MOST).await.expect_err("an imposter");
        assert!(refused.to_string().contains("invalid peer certificate"), "{refused}");
    });
}

#[test]
fn certificate_errors_name_the_file_and_quote_no_key() {
    let dir = tempfile::tempdir().expect("a folder");
    let ours = Authority::new(dir.path());
    let good = ours.side("agent", &ours);
    let secret = fs::read_to_string(&good.key).expect("a key");
    for spoil in ["certificate", "key", "authorities"] {
        let (mut bad, file) = (good.clone(), dir.path().join("spoilt.pem"));
        fs::write(&file, secret.replace("BEGIN", "BEGUN")).expect("room");
        match spoil {
            "certificate" => bad.certificate = file,
            "key" => bad.key = file,
            _ => bad.authorities = file,
        }
        let said = Connector::new(Some(&bad)).expect_err(spoil).to_string();
        assert!(said.contains("spoilt.pem") && !said.contains(&secret[40..60]), "{said}");
    }
    let mut gone = good;
    gone.key = dir.path().join("none");
    assert!(Connector::new(Some(&gone)).expect_err("none").to_string().contains("none"));
}
