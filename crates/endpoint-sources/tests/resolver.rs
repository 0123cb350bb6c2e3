//! Questions to resolvers that are silent, refuse, lie, forge and truncate, over loopback sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dns_sd::{Answer, Name, NegativeAnswer, QueryType, Question};
use endpoint_sources::Resolver;
use testbed::dns::{AnswerFault, Dns, Instance};
use testbed::switch::Fault;

const SERVICE: &str = "_till._tcp.ub-room.test";
/// Long, as nothing here waits for it but what is to fail.
const PATIENCE: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(150);

fn question(kind: QueryType) -> Question {
    Question { name: Name::from_ascii(format!("{SERVICE}.")).expect("a name"), kind }
}

async fn zone(instances: usize) -> Dns {
    let dns = Dns::start(60, 30).await.expect("a port");
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
    let resolver = Resolver::new(vec![dns.address], PATIENCE);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("an answer");
    assert_eq!((records(&answered.answer), answered.over_tcp), (3, false));
    // 2,000 instances in one answer, where a datagram has room for some 60.
    let dns = zone(2_000).await;
    let resolver = Resolver::new(vec![dns.address], PATIENCE);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("an answer");
    assert_eq!((records(&answered.answer), answered.over_tcp), (2_000, true));
    assert_eq!(dns.question_counts(), (1, 1));
    let none = resolver.query(&question(QueryType::Srv), false).await.expect("an answer").answer;
    assert_eq!(none, Answer::None { why: NegativeAnswer::NoData, ttl_s: 30 });
}

#[tokio::test]
async fn ignores_forged_answers() {
    let dns = zone(3).await;
    dns.set_answer_fault(AnswerFault::Forged);
    let resolver = Resolver::new(vec![dns.address], PATIENCE);
    let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("an answer");
    assert_eq!(records(&answered.answer), 3);
    // With nothing true behind them there is no answer, and least of all "there is none".
    dns.set_answer_fault(AnswerFault::WrongId);
    let resolver = Resolver::new(vec![dns.address], SHORT);
    let unanswered = resolver.query(&question(QueryType::Ptr), false).await.expect_err("none");
    assert!(unanswered.to_string().contains("no answer in time"), "{unanswered}");
}

#[tokio::test]
async fn failures_move_on_to_the_next_resolver() {
    let nobody: SocketAddr = {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.local_addr().expect("bound")
    };
    let good = zone(3).await;
    for (fault, said) in [
        (Fault::Silent, "no answer in time"),
        (Fault::Failing, "Server Failure"),
        (Fault::Refusing, "Refused"),
        (Fault::Garbled, "no DNS message"),
    ] {
        let bad = zone(1).await;
        bad.switch.set(fault);
        let each = if fault == Fault::Silent { SHORT } else { PATIENCE };
        let resolver = Resolver::new(vec![bad.address, nobody, good.address], each);
        let answered = resolver.query(&question(QueryType::Ptr), false).await.expect("an answer");
        assert_eq!((records(&answered.answer), answered.server), (3, good.address));
        assert_eq!((answered.tries.len(), answered.tries[0].server), (2, bad.address));
        let (why, of) = (answered.tries[0].error.to_string(), answered.tries[1].error.to_string());
        assert!(why.to_lowercase().contains(&said.to_lowercase()), "{why}");
        assert!(of.contains("refused"), "{of}");
        // The one that answered is asked first from now on, but where its answer is doubted.
        let before = bad.question_counts();
        assert_eq!(resolver.query(&question(QueryType::Ptr), false).await.expect("an answer").tries.len(), 0);
        assert_eq!(bad.question_counts(), before);
        assert_eq!(resolver.query(&question(QueryType::Ptr), true).await.expect("an answer").tries.len(), 2);
        assert!(bad.question_counts() > before);
    }
}

#[tokio::test]
async fn truncation_over_tcp_is_a_failure() {
    let dns = zone(3).await;
    dns.set_answer_fault(AnswerFault::Truncated);
    let resolver = Resolver::new(vec![dns.address], PATIENCE);
    let unanswered = resolver.query(&question(QueryType::Ptr), false).await.expect_err("none");
    assert!(unanswered.to_string().contains("truncated"), "{unanswered}");
    let none = Resolver::new(Vec::new(), PATIENCE).query(&question(QueryType::Ptr), false).await;
    assert!(none.expect_err("none").to_string().contains("no resolver"));
}
