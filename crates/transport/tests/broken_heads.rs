//! Servers that stop in the middle of an answer, its head included.

use std::time::Duration;

use futures::future::join_all;
use jackdawpoint_transport::{ExchangeLimits, HttpClient};
use ntex::http::Method;
use ntex::time::Seconds;
use ntex::util::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &str = r#"{"state":"done"}"#;

/// How the server ends its connection.
#[derives::tag]
enum ConnectionEnd {
    Close,
    Reset,
}

struct AnswerCase {
    name: &'static str,
    /// Head without its last line, and the whole body as it is sent.
    head: &'static str,
    body: String,
    end: ConnectionEnd,
    is_kept_alive: bool,
}

impl AnswerCase {
    /// Sends a request whose answer stops after `length` bytes. Returns the body if it was taken for
    /// whole.
    async fn fetch(&self, length: usize) -> Option<Bytes> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let url = format!("http://{}/", listener.local_addr().expect("an address"));
        let answer = format!("{}\r\n{}", self.head, self.body);
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1_024];
            // Whatever is sent of the request is answered.
            let _ = stream.read(&mut request).await;
            let sent = stream.write_all(&answer.as_bytes()[..length]).await;
            sent.expect("an open connection");
            tokio::time::sleep(Duration::from_millis(10)).await;
            if self.end == ConnectionEnd::Reset {
                stream.set_zero_linger().expect("a socket");
            }
        };
        let limits = ExchangeLimits::default();
        let client = if self.is_kept_alive {
            HttpClient::with_keep_alive(limits, Seconds(10)).await
        } else {
            HttpClient::new(limits).await
        };
        let call = async {
            let request = client.request(Method::POST, &url);
            let response = client.send(request, Bytes::from_static(b"body")).await;
            client.read_body(&response.ok()?).await.ok()
        };
        futures::future::join(serve, call).await.1
    }

    async fn check(&self) -> Option<String> {
        let length = self.head.len() + 2 + self.body.len();
        let whole = join_all((1..length).map(|length| async move {
            let body = self.fetch(length).await?;
            Some(format!("cut at {length}: {body:?}"))
        }));
        let problems: Vec<String> = whole.await.into_iter().flatten().collect();
        (!problems.is_empty()).then(|| format!("{}: {problems:?}", self.name))
    }
}

/// Guards against answers that stop midway and are taken for whole by the clients of engines,
/// services and the platform.
#[ntex::test]
async fn answers_that_stop_midway_are_errors() {
    let framings = [
        (
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n",
            BODY.to_owned(),
        ),
        (
            "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
            format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
        ),
    ];
    let mut cases = Vec::new();
    for (name, head, body) in framings {
        for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
            for is_kept_alive in [false, true] {
                cases.push(AnswerCase {
                    name,
                    head,
                    body: body.clone(),
                    end,
                    is_kept_alive,
                });
            }
        }
    }
    let problems = join_all(cases.iter().map(AnswerCase::check)).await;
    let problems: Vec<String> = problems.into_iter().flatten().collect();
    assert!(problems.is_empty(), "{problems:#?}");
}
