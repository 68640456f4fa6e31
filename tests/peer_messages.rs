//! Messages between controllers of different versions.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use milletlock::peer::{
    Ack, Answer, Call, Cancellation, Cancellations, InboundMessage, JobCounts, JobNews, PeerHub, PeerMessage,
    PeerReply, Summary,
};
use prost::Message as _;
use tonic::{Code, Status};

/// Encodes a length-delimited protobuf field: the tag, the length of the content and the content.
fn field(tag: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag, content.len() as u8];
    bytes.extend_from_slice(content);
    bytes
}

/// Guards against field numbers or wire types that differ from those of the version in production.
#[test]
fn messages_of_production_are_decoded_and_encoded_byte_for_byte() {
    let counts = [field(0x0a, b"wk-1"), vec![0x10, 3, 0x18, 2]].concat();
    let summary = [field(0x0a, b"c-1"), vec![0x10, 41], field(0x1a, &counts)].concat();
    let jobs = vec![JobCounts { id: "wk-1".into(), done: 3, running: 2 }];
    let expected = Summary { leader: "c-1".into(), token: 41, jobs, version: String::new() };
    assert_eq!(Summary::decode(&summary[..]).expect("a summary"), expected);
    assert_eq!(expected.encode_to_vec(), summary);

    let news = [field(0x0a, b"wk-1"), field(0x12, b"{}"), vec![0x18, 9]].concat();
    let expected = JobNews { id: "wk-1".into(), record: b"{}".to_vec(), revision: 9 };
    assert_eq!(JobNews::decode(&news[..]).expect("news"), expected);
    assert_eq!(expected.encode_to_vec(), news);

    let cancellation = [field(0x0a, b"wk-1"), vec![0x10, 8, 0x18, 9]].concat();
    let jobs = vec![Cancellation { id: "wk-1".into(), tasks: 8, revision: 9 }];
    let expected = Cancellations { jobs };
    assert_eq!(Cancellations::decode(&field(0x0a, &cancellation)[..]).expect("cancellations"), expected);
    assert_eq!(expected.encode_to_vec(), field(0x0a, &cancellation));

    let call = [field(0x0a, b"GET"), field(0x12, b"/jobs"), field(0x1a, b"{}")].concat();
    let expected = Call { method: "GET".into(), path: "/jobs".into(), body: b"{}".to_vec() };
    assert_eq!(Call::decode(&call[..]).expect("a call"), expected);
    assert_eq!(expected.encode_to_vec(), call);

    let answer = [vec![0x08, 0x90, 0x03], field(0x12, b"{}"), vec![0x18, 2]].concat();
    let expected = Answer { status: 400, body: b"{}".to_vec(), retry_after: 2 };
    assert_eq!(Answer::decode(&answer[..]).expect("a reply"), expected);
    assert_eq!(expected.encode_to_vec(), answer);
    assert_eq!(
        Ack::decode(&[0x08, 41][..]).expect("an acknowledgement"),
        Ack { token: 41, version: String::new() }
    );
}

/// A summary of another version, which has additional fields and no jobs.
#[derive(Clone, PartialEq, prost::Message)]
struct OtherSummary {
    #[prost(string, tag = "1")]
    leader: String,
    #[prost(uint64, tag = "2")]
    fencing_token: u64,
    #[prost(string, tag = "900")]
    reason: String,
    #[prost(message, repeated, tag = "901")]
    nested: Vec<OtherSummary>,
}

fn other_summary(fencing_token: u64) -> OtherSummary {
    OtherSummary { leader: "c-1".into(), fencing_token, reason: "a reason".into(), nested: vec![] }
}

/// Guards against refusing a message because another version adds or omits fields.
#[test]
fn messages_with_unknown_or_missing_fields_are_decoded() {
    let bytes = OtherSummary { nested: vec![other_summary(7)], ..other_summary(41) }.encode_to_vec();
    let expected = Summary { leader: "c-1".into(), token: 41, jobs: vec![], version: String::new() };
    assert_eq!(Summary::decode(&bytes[..]).expect("a summary"), expected);
    assert_eq!(Summary::decode(&[][..]).expect("a summary"), Summary::default());
    assert_eq!(JobNews::decode(&[][..]).expect("news"), JobNews::default());
    assert_eq!(Cancellations::decode(&[][..]).expect("cancellations"), Cancellations::default());
    assert_eq!(Call::decode(&[][..]).expect("a call"), Call::default());
    assert_eq!(Answer::decode(&[][..]).expect("a reply"), Answer::default());
}

/// Calls a gRPC method by its path, as a controller of another version does.
async fn call_method(addr: SocketAddr, method: &'static str) -> Result<Ack, Status> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{addr}")).expect("an address");
    let channel = endpoint.connect().await.expect("a connection");
    let mut client = tonic::client::Grpc::new(channel);
    client.ready().await.expect("a connection");
    let path = tonic::codegen::http::uri::PathAndQuery::from_static(method);
    let codec = tonic_prost::ProstCodec::<OtherSummary, Ack>::default();
    let response = client.unary(tonic::Request::new(other_summary(41)), path, codec).await?;
    Ok(response.into_inner())
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

fn answer_announcement(inbound: InboundMessage, fencing_token: u64) {
    assert!(matches!(&inbound.message, PeerMessage::Announce(s) if s.token == 41), "{:?}", inbound.message);
    inbound.answer(PeerReply::Ack(Ack { token: fencing_token, version: String::new() }));
}

/// Guards against an unknown method of another version that ends the service or is handled as a known method.
#[test]
fn an_unknown_method_returns_unimplemented_and_reaches_no_controller() {
    let (own, addr) = listener();
    let (_hub, messages) = PeerHub::start(own, vec![], &[]).expect("a service");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build().expect("a runtime");
    let refused = runtime.block_on(call_method(addr, "/milletlock.peer.v1.Peer/Later"));
    assert_eq!(refused.expect_err("an unknown method is refused").code(), Code::Unimplemented);
    assert!(messages.try_recv().is_err(), "the message reached the controller");
    let answering = std::thread::spawn(move || {
        answer_announcement(messages.recv_timeout(Duration::from_secs(10)).expect("a message"), 42);
    });
    let known = runtime.block_on(call_method(addr, "/milletlock.peer.v1.Peer/Announce"));
    assert_eq!(known.expect("an acknowledgement"), Ack { token: 42, version: String::new() });
    answering.join().expect("the received message is an announcement");
}

/// Guards against a version that is encoded under another field number or is not decoded.
#[test]
fn an_acknowledgement_contains_the_version_after_the_token() {
    let ack = Ack { token: 41, version: "0.2.0".into() };
    let bytes = [vec![0x08, 41], field(0x12, b"0.2.0")].concat();
    assert_eq!(ack.encode_to_vec(), bytes);
    assert_eq!(Ack::decode(&bytes[..]).expect("an acknowledgement"), ack);
}
