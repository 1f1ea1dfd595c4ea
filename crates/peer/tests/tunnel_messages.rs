//! Messages about tunnels between instances of different versions.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::{FutureExt, SinkExt, StreamExt};
use jackdawpoint_peer::{
    HostReport, TunnelGuard, TunnelHandler, TunnelPurpose, TunnelRefusal, TunnelTarget,
    open_tunnel, report_to_host, serve_tunnels,
};
use policy::ids::EndpointId;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Size of a request that is larger than a frame, in bytes.
const LARGE_REQUEST: usize = 300_000;

/// A host that knows that the endpoint leaves.
#[derive(Default)]
struct LeavingHost {
    reports: RefCell<Vec<HostReport>>,
    purposes: RefCell<Vec<TunnelPurpose>>,
}

impl TunnelHandler for LeavingHost {
    fn connect(
        &self,
        _endpoint: EndpointId,
        purpose: TunnelPurpose,
    ) -> LocalBoxFuture<'_, Result<TunnelTarget, TunnelRefusal>> {
        self.purposes.borrow_mut().push(purpose);
        async { Err(TunnelRefusal::EndpointLeaving) }.boxed_local()
    }

    fn told(&self, report: HostReport) {
        self.reports.borrow_mut().push(report);
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    Framed::new(stream, LengthDelimitedCodec::new())
}

/// Sends a message and returns the answer, if there is one.
async fn exchange(address: SocketAddr, message: &'static str) -> Option<String> {
    let stream = TcpStream::connect(address).await.expect("the host listens");
    let mut frames = framed(stream);
    let sent = frames.send(Bytes::from_static(message.as_bytes())).await;
    sent.expect("the host reads");
    let answer = frames.next().await?.ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

#[tokio::test]
async fn host_answers_and_reads_each_version_in_its_own_words() {
    struct Case {
        name: &'static str,
        message: &'static str,
        answer: Option<&'static str>,
        report: Option<HostReport>,
        purpose: Option<TunnelPurpose>,
    }
    use TunnelPurpose::{MemoryOrder, Request};
    let endpoint = || EndpointId::new("a");
    let cases = [
        Case {
            name: "request of a version that does not know that endpoints leave",
            message: r#"{"endpoint":"a"}"#,
            answer: Some(r#""endpoint_held""#),
            report: None,
            purpose: Some(Request),
        },
        Case {
            name: "request of a version that knows it",
            message: r#"{"endpoint":"a","reads_leaving":true,"member_of_a_later_version":1}"#,
            answer: Some(r#""endpoint_leaving""#),
            report: None,
            purpose: Some(Request),
        },
        Case {
            name: "order for memory",
            message: r#"{"endpoint":"a","reads_leaving":true,"memory_order":true}"#,
            answer: Some(r#""endpoint_leaving""#),
            report: None,
            purpose: Some(MemoryOrder),
        },
        Case {
            name: "refusal",
            message: r#"{"endpoint":"a","retry_after":700}"#,
            answer: None,
            report: Some(HostReport::Refused(endpoint(), 700)),
            purpose: None,
        },
        Case {
            name: "leaving",
            message: r#"{"endpoint":"a","retry_after":5000,"leaving":true}"#,
            answer: None,
            report: Some(HostReport::Leaving(endpoint())),
            purpose: None,
        },
    ];
    let checks = async {
        for case in cases {
            let (listener, address) = listen().await;
            let host = Rc::new(LeavingHost::default());
            let serving = tokio::task::spawn_local(serve_tunnels(listener, host.clone()));
            let answer = exchange(address, case.message).await;
            assert_eq!(answer.as_deref(), case.answer, "{}", case.name);
            let reports = host.reports.borrow();
            assert_eq!(reports.first(), case.report.as_ref(), "{}", case.name);
            let purposes = host.purposes.borrow();
            assert_eq!(purposes.first(), case.purpose.as_ref(), "{}", case.name);
            serving.abort();
        }
    };
    LocalSet::new().run_until(checks).await;
}

/// A request as a version reads it that does not know that endpoints leave.
#[derive(Debug, PartialEq, Deserialize)]
struct EarlierRequest {
    endpoint: String,
    #[serde(default)]
    retry_after: Option<u64>,
}

/// An earlier version takes a message without a retry-after for the request of a tunnel.
#[tokio::test]
async fn earlier_version_reads_that_an_endpoint_leaves_as_a_refusal() {
    let (listener, address) = listen().await;
    let report = HostReport::Leaving(EndpointId::new("a"));
    let limit = Duration::from_secs(2);
    let reading = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        let message = framed(stream).next().await.expect("a message");
        let message = message.expect("a whole message");
        serde_json::from_slice::<EarlierRequest>(&message).expect("an earlier version reads it")
    };
    let (told, request) = futures::join!(report_to_host(address, &report, limit), reading);
    told.expect("the message was sent");
    assert_eq!(request.endpoint, "a");
    assert!(request.retry_after.is_some_and(|time| time >= 2_000));
}

/// A host whose endpoint counts the bytes that reach it.
struct CountingHost {
    endpoint: SocketAddr,
}

impl TunnelHandler for CountingHost {
    fn connect(
        &self,
        _endpoint: EndpointId,
        _purpose: TunnelPurpose,
    ) -> LocalBoxFuture<'_, Result<TunnelTarget, TunnelRefusal>> {
        async {
            let stream = TcpStream::connect(self.endpoint).await;
            Ok(TunnelTarget {
                stream: stream.expect("the endpoint listens"),
                guard: Box::new(NoGuard),
            })
        }
        .boxed_local()
    }

    fn told(&self, _report: HostReport) {}
}

struct NoGuard;

impl TunnelGuard for NoGuard {}

/// A request with a long prompt is larger than the largest frame.
#[tokio::test]
async fn tunnel_carries_writes_of_any_size() {
    let carried = async {
        let (endpoint, endpoint_address) = listen().await;
        let (listener, address) = listen().await;
        let host = Rc::new(CountingHost {
            endpoint: endpoint_address,
        });
        tokio::task::spawn_local(serve_tunnels(listener, host));
        let limit = Duration::from_secs(2);
        let tunnel = open_tunnel(
            address,
            &EndpointId::new("a"),
            TunnelPurpose::Request,
            limit,
        )
        .await;
        let mut tunnel = tunnel.expect("the host opens the tunnel");
        let (mut accepted, _) = endpoint.accept().await.expect("a connection");
        let request: Vec<u8> = (0..=250).cycle().take(LARGE_REQUEST).collect();
        let mut received = vec![0; LARGE_REQUEST];
        let writing = async {
            tunnel.write_all(&request).await?;
            tunnel.flush().await
        };
        let (written, read) = futures::join!(writing, accepted.read_exact(&mut received));
        written.expect("the tunnel takes the request");
        read.expect("the endpoint reads the request");
        assert!(received == request, "the bytes are the same");
    };
    LocalSet::new().run_until(carried).await;
}
