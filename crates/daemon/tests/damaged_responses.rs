//! Responses that break off while the request is still being written, and responses whose status is
//! not one of HTTP.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use support::outcome_and_reason;
use support::single_daemon::{KEY, SingleDaemon};
use support::small_site::problem;
use testkit::client::{Call, Client, ClientResponse};
use testkit::{RouteRow, TargetRow};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// Uploads: one that is written at once, one that socket buffers hold, and one that they don't.
const UPLOADS: [usize; 3] = [100, 200 << 10, 12 << 20];
/// Upload to an engine, in bytes. A longer one would count as more tokens than an engine may have.
const ENGINE_UPLOADS: [usize; 1] = [100];
/// Receive buffer of a target's connection, in bytes. A small one keeps a long upload in the daemon.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// Time in which the daemon reads what was written. A reset that comes at once may overtake it.
const READ_PAUSE: Duration = Duration::from_millis(60);

/// What follows the text of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The connection is reset at once, with the rest of the request unread.
    Resets,
    /// The same after the daemon has read the text.
    ResetsLater,
    /// The sending side is closed first, so that the text looks complete until the reset.
    ClosesThenResets,
    /// The rest of the request is read, and the connection is closed.
    Closes,
    /// The sending side is closed at once; the rest of the request is read.
    HalfCloses,
}

/// A response that a target sends before it has read the body of the request.
#[derive(Clone, Copy, Debug)]
struct Reply {
    text: &'static str,
    ending: Ending,
}

/// A target that responds to each `POST`, and has none of the runs that it is asked about.
#[derive(Clone)]
struct Target {
    address: SocketAddr,
    reply: Reply,
    /// Number of requests whose head was received.
    heads: Arc<Mutex<usize>>,
    /// Lengths of the bodies that were received whole.
    bodies: Arc<Mutex<Vec<usize>>>,
}

impl Target {
    fn start(reply: Reply) -> Target {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(64).unwrap();
        let target = Target {
            address: listener.local_addr().unwrap(),
            reply,
            heads: Arc::default(),
            bodies: Arc::default(),
        };
        tokio::spawn(target.clone().accept(listener));
        target
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let target = self.clone();
            // Fails if the daemon closes the connection.
            tokio::spawn(async move { target.respond(BufReader::new(stream)).await.ok() });
        }
    }

    async fn respond(self, mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        if head.starts_with("GET /load") {
            let load = json!({"start": 1, "running": 0, "tokens": 0, "cold": false}).to_string();
            let length = load.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{load}");
            return stream.write_all(text.as_bytes()).await;
        }
        if !head.starts_with("POST ") {
            let text = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(text).await;
        }
        *self.heads.lock().unwrap() += 1;
        stream.write_all(self.reply.text.as_bytes()).await?;
        match self.reply.ending {
            Ending::Resets => return stream.get_ref().set_zero_linger(),
            Ending::ResetsLater | Ending::ClosesThenResets => {
                if self.reply.ending == Ending::ClosesThenResets {
                    stream.shutdown().await?;
                }
                sleep(READ_PAUSE).await;
                return stream.get_ref().set_zero_linger();
            }
            Ending::HalfCloses => stream.shutdown().await?,
            Ending::Closes => {}
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        stream.read_exact(&mut body).await?;
        self.bodies.lock().unwrap().push(body.len());
        Ok(())
    }

    fn sends(&self) -> usize {
        *self.heads.lock().unwrap()
    }
}

/// Starts a daemon whose plain service or engine, depending on the path, is the given target.
async fn start_daemon(target: &Target, path: &str) -> SingleDaemon {
    let mut daemon = SingleDaemon::prepare().await;
    let service = TargetRow::new("app", "zone-a", target.address, 1_000);
    let engine = TargetRow::new("llm", "zone-a", target.address, 100_000);
    let open = RouteRow {
        keyed: false,
        max_tokens: 1,
        max_body: "16MiB".to_owned(),
        ..RouteRow::new("app", "mid")
    };
    if path == SERVICE {
        daemon.sheet.target("app-1", &service);
    } else {
        daemon.sheet.target("llm-1", &engine);
    }
    daemon.sheet.route(SERVICE, &open);
    daemon.spawn(&json!({ "limits": { "memory": "512MiB" } }));
    daemon.wait_ready().await;
    daemon
}

async fn upload(daemon: &SingleDaemon, path: &str, length: usize) -> ClientResponse {
    let call = if path == SERVICE {
        Call::post(path, vec![b'u'; length])
    } else {
        let body = json!({ "prompt": "u".repeat(length), "max_tokens": 2 });
        Call::json(path, &body).key(KEY)
    };
    let response = Client::new(daemon.entry).call(call).await;
    response.unwrap_or_else(|err| panic!("{err}\n{}", daemon.log()))
}

const SERVICE: &str = "/open";
const ENGINE: &str = "/v1/completions";

fn uploads(path: &str) -> &'static [usize] {
    if path == SERVICE {
        &UPLOADS
    } else {
        &ENGINE_UPLOADS
    }
}

/// Whether a response states that the request may have run and that no complete response came.
fn is_broken(response: &ClientResponse) -> bool {
    let problem = problem(response);
    let is_failed = problem["outcome"] == "failed" && problem["reason"] == "incomplete";
    (is_failed || problem["outcome"] == "unknown") && problem["not_run"] == false
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nhello";
const UNFRAMED_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello";
const HTTP_1_0: &str = "HTTP/1.0 200 OK\r\n\r\nhello";
const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const SIZED_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello";
const SIZED_1_0: &str = "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const SIZED_PART: &str = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello";
const SIZED_PART_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 50\r\n\r\nhello";
const SIZED_PART_1_0: &str = "HTTP/1.0 200 OK\r\ncontent-length: 50\r\n\r\nhello";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
const CHUNKED_PART: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
const LAST_CHUNK_PART: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
const TRAILERS_PART: &str = "HTTP/1.1 200 OK\r\ntrailer: x-sum\r\n\
    transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n";
const EVENTS_PART: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n\
    id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n";

/// Checks that callers get none of the texts as a response, and that each request is sent once.
async fn assert_no_success(texts: &[&'static str], endings: &[Ending]) {
    for &text in texts {
        for &ending in endings {
            for path in [SERVICE, ENGINE] {
                for &length in uploads(path) {
                    let target = Target::start(Reply { text, ending });
                    let daemon = start_daemon(&target, path).await;

                    let response = upload(&daemon, path, length).await;

                    let row = format!("{text:?} {ending:?} {path} {length}");
                    assert!(is_broken(&response), "{row}: {response:?}");
                    assert_eq!(target.sends(), 1, "{row}");
                }
            }
        }
    }
}

/// Guards against a part of a response that reaches the caller as a complete response because the
/// connection was reset while the request was being written, and against a request that is sent
/// twice for that.
#[tokio::test]
async fn a_response_cut_by_a_reset_is_no_success() {
    use Ending::{Resets, ResetsLater};
    let parts = [
        UNFRAMED,
        UNFRAMED_CLOSE,
        HTTP_1_0,
        SIZED_PART,
        SIZED_PART_1_0,
        CHUNKED_PART,
        LAST_CHUNK_PART,
        TRAILERS_PART,
        EVENTS_PART,
    ];
    assert_no_success(&parts, &[Resets, ResetsLater]).await;
}

/// Guards against a part of a response that is taken for complete because the connection was closed in
/// order: its length is not reached, or its last chunk, the trailers or the line after them are missing.
#[tokio::test]
async fn a_part_before_an_orderly_close_is_no_success() {
    use Ending::{Closes, HalfCloses};
    let parts = [
        SIZED_PART,
        SIZED_PART_CLOSE,
        SIZED_PART_1_0,
        CHUNKED_PART,
        LAST_CHUNK_PART,
        TRAILERS_PART,
    ];
    assert_no_success(&parts, &[Closes, HalfCloses]).await;
}

/// Guards against a part without a length that looks complete because the connection was closed in
/// order before the reset. Only the unfinished upload shows the reset, so that it must not fit into
/// the buffers of sockets.
#[tokio::test]
async fn a_part_before_a_close_and_a_reset_is_no_success() {
    let ending = Ending::ClosesThenResets;
    for text in [UNFRAMED, UNFRAMED_CLOSE, HTTP_1_0] {
        let target = Target::start(Reply { text, ending });
        let daemon = start_daemon(&target, SERVICE).await;

        let response = upload(&daemon, SERVICE, UPLOADS[2]).await;

        assert!(is_broken(&response), "{text:?}: {response:?}");
        assert_eq!(target.sends(), 1, "{text:?}");
    }
}

/// Guards against a sound response that is lost because it came, or its connection ended, before the
/// request was written, and against a target that does not get the rest of the request.
#[tokio::test]
async fn a_sound_response_before_the_end_of_the_upload_is_relayed() {
    use Ending::{Closes, HalfCloses};
    let rows = [
        (UNFRAMED, Closes),
        (UNFRAMED, HalfCloses),
        (UNFRAMED_CLOSE, Closes),
        (UNFRAMED_CLOSE, HalfCloses),
        (HTTP_1_0, Closes),
        (HTTP_1_0, HalfCloses),
        (SIZED, Closes),
        (SIZED, HalfCloses),
        (SIZED_CLOSE, Closes),
        (SIZED_1_0, Closes),
        (CHUNKED, Closes),
        (CHUNKED, HalfCloses),
        (EVENTS, Closes),
        (EVENTS, HalfCloses),
    ];
    for (text, ending) in rows {
        for path in [SERVICE, ENGINE] {
            if path == ENGINE && text == EVENTS {
                // An engine sends events only to a caller that asks for a stream.
                continue;
            }
            for &length in uploads(path) {
                let target = Target::start(Reply { text, ending });
                let daemon = start_daemon(&target, path).await;

                let response = upload(&daemon, path, length).await;

                let row = format!("{text:?} {ending:?} {path} {length}");
                assert_eq!(response.status, 200, "{row}: {response:?}");
                assert!(response.is_complete(), "{row}: {response:?}");
                let is_intact = response.body == "hello" || response.is_done();
                assert!(is_intact, "{row}: {response:?}");
                assert_eq!(target.sends(), 1, "{row}");
                let all_read = async {
                    while target.bodies.lock().unwrap().is_empty() {
                        tokio::task::yield_now().await;
                    }
                };
                let read = tokio::time::timeout(Duration::from_secs(10), all_read).await;
                assert!(read.is_ok(), "{row}: the upload broke off");
            }
        }
    }
}

/// Guards against a status that HTTP does not have, and against an interim one, as the status of a
/// response. The request may have run, and is not sent again.
#[tokio::test]
async fn a_status_outside_http_is_no_response() {
    let statuses = [
        "000", "001", "099", "100", "101", "103", "199", "600", "601", "777", "999", "1000", "20",
        "2x0", "abc", "-20", "",
    ];
    let mut relayed = Vec::new();
    for status in statuses {
        for framing in ["content-length: 5\r\n\r\nhello", "\r\nhello"] {
            for path in [SERVICE, ENGINE] {
                let text: &'static str = format!("HTTP/1.1 {status} Odd\r\n{framing}").leak();
                let ending = Ending::Closes;
                let target = Target::start(Reply { text, ending });
                let daemon = start_daemon(&target, path).await;

                let response = upload(&daemon, path, 100).await;

                let seen = outcome_and_reason(&response);
                if !is_broken(&response) || target.sends() != 1 {
                    relayed.push((text, path, response.status, seen, target.sends()));
                }
            }
        }
    }
    assert!(relayed.is_empty(), "{relayed:#?}");
}
