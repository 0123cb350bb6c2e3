//! Queries over loopback sockets to resolvers that are silent, refuse, fail, send forged or malformed
//! answers, or truncate.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dns_sd::{Answer, Name, NegativeAnswer, QueryType, Question};
use endpoint_sources::Resolver;
use testbed::dns::{AnswerFault, Dns, Instance};
use testbed::switch::Fault;

const SERVICE: &str = "_till._tcp.ub-room.test";
/// Timeout of attempts that are expected to succeed; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of attempts that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

fn question(kind: QueryType) -> Question {
    Question { name: Name::from_ascii(format!("{SERVICE}.")).expect("valid name"), kind }
}

async fn zone(instances: usize) -> Dns {
    let dns = Dns::start(60, 30).await.expect("bound");
    for i in 0..instances {
        let (label, service) = (format!("till-{i}"), (0, 1, 9_000));
        let instance = Instance { label, service, text: Vec::new(), address: Ipv4Addr::LOCALHOST };
        dns.put_instance(SERVICE, &instance);
    }
    dns
}

fn records(answer: &Answer) -> usize {
    match answer {
        Answer::Records { records, .. } => records.len(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn short_answers_use_udp_and_long_ones_tcp() {
    let dns = zone(3).await;
    let resolver = Resolver::new(vec![dns.address], TIMEOUT);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("answered");
    assert_eq!((records(&answered.answer), answered.over_tcp), (3, false));
    // An answer with 2,000 instances; a datagram has room for about 60.
    let dns = zone(2_000).await;
    let resolver = Resolver::new(vec![dns.address], TIMEOUT);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("answered");
    assert_eq!((records(&answered.answer), answered.over_tcp), (2_000, true));
    assert_eq!(dns.question_counts(), (1, 1));
    let none = resolver.query(&question(QueryType::Srv), false).await.expect("answered").answer;
    assert_eq!(none, Answer::Negative { kind: NegativeAnswer::NoData, ttl_s: 30 });
}

#[tokio::test]
async fn ignores_forged_answers() {
    let dns = zone(3).await;
    dns.set_answer_fault(AnswerFault::Forged);
    let resolver = Resolver::new(vec![dns.address], TIMEOUT);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("answered");
    assert_eq!(records(&answered.answer), 3);
    // Without a genuine answer after them the query fails; it does not yield a negative answer.
    dns.set_answer_fault(AnswerFault::WrongId);
    let resolver = Resolver::new(vec![dns.address], SHORT_TIMEOUT);
    let failure = resolver.query(&question(QueryType::Ptr), false).await.expect_err("no usable answer");
    assert!(failure.to_string().contains("no answer in time"), "{failure}");
}

#[tokio::test]
async fn failed_attempts_move_on_to_the_next_resolver() {
    let closed_port: SocketAddr = {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("bound");
        socket.local_addr().expect("bound")
    };
    let healthy = zone(3).await;
    for (fault, text) in [
        (Fault::Silent, "no answer in time"),
        (Fault::Failing, "Server Failure"),
        (Fault::Refusing, "Refused"),
        (Fault::Garbled, "no DNS message"),
    ] {
        let faulty = zone(1).await;
        faulty.switch.set(fault);
        let timeout = if fault == Fault::Silent { SHORT_TIMEOUT } else { TIMEOUT };
        let resolver = Resolver::new(vec![faulty.address, closed_port, healthy.address], timeout);
        let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("answered");
        assert_eq!((records(&answered.answer), answered.server), (3, healthy.address));
        assert_eq!((answered.attempts.len(), answered.attempts[0].server), (2, faulty.address));
        let (first_error, second_error) =
            (answered.attempts[0].error.to_string(), answered.attempts[1].error.to_string());
        assert!(first_error.to_lowercase().contains(&text.to_lowercase()), "{first_error}");
        assert!(second_error.contains("refused"), "{second_error}");
        // The server that answered is asked first from now on, except by a confirmation query.
        let queries_before = faulty.question_counts();
        assert_eq!(
            resolver.query(&question(QueryType::Ptr), false).await.expect("answered").attempts.len(),
            0
        );
        assert_eq!(faulty.question_counts(), queries_before);
        assert_eq!(
            resolver.query(&question(QueryType::Ptr), true).await.expect("answered").attempts.len(),
            2
        );
        assert!(faulty.question_counts() > queries_before);
    }
}

#[tokio::test]
async fn truncation_over_tcp_is_a_failure() {
    let dns = zone(3).await;
    dns.set_answer_fault(AnswerFault::Truncated);
    let resolver = Resolver::new(vec![dns.address], TIMEOUT);
    let failure = resolver.query(&question(QueryType::Ptr), false).await.expect_err("no usable answer");
    assert!(failure.to_string().contains("truncated"), "{failure}");
    let none = Resolver::new(Vec::new(), TIMEOUT).query(&question(QueryType::Ptr), false).await;
    assert!(none.expect_err("no usable answer").to_string().contains("no resolver"));
}
