//! Behaviour of the fault-injecting proxy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use testkit::client::{Call, Client, ClientError};
use testkit::{Direction, PlainService, Proxy, ReservedPort, ServiceFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start() -> (PlainService, Proxy, Client) {
    let service = PlainService::start(any_port()).await.unwrap();
    let proxy = Proxy::start(any_port(), service.addr()).await.unwrap();
    let client = Client::new(proxy.addr());
    (service, proxy, client)
}

/// A proxied connection with the plain sockets of both ends.
async fn proxied_pair() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let upstream = listener.local_addr().unwrap();
    let proxy = Proxy::start(any_port(), upstream).await.unwrap();
    let caller = TcpStream::connect(proxy.addr()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (proxy, caller, server)
}

async fn receives_nothing(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 16];
    let read = tokio::time::timeout(SHORT_TIMEOUT, stream.read(&mut buf));
    read.await.is_err()
}

#[tokio::test]
async fn bytes_and_half_closes_are_forwarded() {
    // Guards against a proxy that changes bytes or loses a half-close.
    let (proxy, mut caller, mut server) = proxied_pair().await;
    let bytes: Vec<u8> = (0..200_000_u32).map(|i| i.to_le_bytes()[0]).collect();

    let send = async {
        caller.write_all(&bytes).await.unwrap();
        caller.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let ((), read) = tokio::join!(send, server.read_to_end(&mut received));
    read.unwrap();
    server.write_all(b"done").await.unwrap();
    drop(server);
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.unwrap();

    assert_eq!(received, bytes);
    assert_eq!(response, b"done");
    proxy.wait_open_connections(|open| open == 0).await;
    assert_eq!(
        (
            proxy.forwarded_bytes(Direction::Up),
            proxy.forwarded_bytes(Direction::Down)
        ),
        (200_000, 4)
    );
}

#[tokio::test]
async fn latency_applies_to_each_direction() {
    // Guards against a delay that is skipped; the test asserts a lower bound only.
    let (_service, proxy, client) = start().await;
    proxy.set_latency(Duration::from_millis(20));
    let start = Instant::now();

    client.call(Call::get("/")).await.unwrap();

    assert!(start.elapsed() >= Duration::from_millis(40));
}

#[tokio::test]
async fn reset_of_existing_connections_leaves_new_ones_working() {
    // Guards against a reset that reaches the ends as a normal close.
    let (proxy, mut caller, mut server) = proxied_pair().await;

    proxy.reset_existing();

    let mut buf = [0; 1];
    let caller_end = caller.read(&mut buf).await.unwrap_err();
    let server_end = server.read(&mut buf).await.unwrap_err();
    assert_eq!(caller_end.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(server_end.kind(), std::io::ErrorKind::ConnectionReset);

    let (_service, proxy, client) = start().await;
    proxy.reset_existing();
    client.call(Call::get("/")).await.unwrap();
}

#[tokio::test]
async fn silenced_connection_delivers_nothing_while_new_ones_work() {
    // Guards against a silenced connection that passes on the close of an end.
    let (service, proxy, client) = start().await;
    let mut old = client.connect().await.unwrap();
    old.call(Call::get("/")).await.unwrap();

    proxy.silence_existing();
    let timed_out = old.call(Call::get("/").timeout(SHORT_TIMEOUT)).await;
    let new = client.call(Call::get("/")).await;

    assert!(matches!(timed_out, Err(ClientError::Timeout)));
    assert!(new.is_ok());
    assert_eq!(service.calls().len(), 2);

    let (proxy, mut caller, server) = proxied_pair().await;
    proxy.silence_existing();
    drop(server);
    assert!(receives_nothing(&mut caller).await);
    drop(caller);
    proxy.wait_open_connections(|open| open == 0).await;
}

#[tokio::test]
async fn ended_blackhole_delivers_buffered_bytes() {
    // Guards against a blackhole that loses bytes, which TCP does not do.
    let (proxy, mut caller, mut server) = proxied_pair().await;

    proxy.set_blackhole(true);
    caller.write_all(b"hello").await.unwrap();
    assert!(receives_nothing(&mut server).await);
    proxy.set_blackhole(false);

    let mut buf = [0; 5];
    server.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"hello");
}

#[tokio::test]
async fn held_direction_does_not_block_the_other() {
    // Guards against a hold on one direction that also stops the other.
    let (proxy, mut caller, mut server) = proxied_pair().await;

    proxy.set_held(Direction::Down, true);
    caller.write_all(b"up").await.unwrap();
    server.write_all(b"down").await.unwrap();

    let mut buf = [0; 2];
    server.read_exact(&mut buf).await.unwrap();
    assert!(receives_nothing(&mut caller).await);
}

#[tokio::test]
async fn connections_are_refused_on_demand_and_while_the_upstream_is_down() {
    // Guards against a proxy that accepts connections while the upstream process is gone.
    let (service, proxy, client) = start().await;

    proxy.refuse_connections().await;
    let refused = client.call(Call::get("/")).await;
    proxy.accept_connections();
    proxy.wait_listening(true).await;
    client.call(Call::get("/")).await.unwrap();
    service.crash().await;
    let first = client.call(Call::get("/")).await;
    proxy.wait_listening(false).await;
    let later = client.call(Call::get("/")).await;
    service.restart().unwrap();
    proxy.wait_listening(true).await;
    client.call(Call::get("/")).await.unwrap();

    assert!(matches!(refused, Err(ClientError::Connect(_))));
    assert!(first.is_err());
    assert!(matches!(later, Err(ClientError::Connect(_))));
}

#[tokio::test]
async fn connection_is_closed_after_the_set_number_of_bytes() {
    // Guards against a close at the end of a chunk instead of the exact byte.
    let (proxy, mut caller, mut server) = proxied_pair().await;
    proxy.set_close_after(Direction::Down, Some(7));

    server.write_all(b"0123456789").await.unwrap();
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();

    assert_eq!(received, b"0123456");
}

#[tokio::test]
async fn bandwidth_limit_slows_a_transfer() {
    // Guards against a limit that is ignored; the test asserts a lower bound only.
    let (proxy, mut caller, mut server) = proxied_pair().await;
    proxy.set_bandwidth(Some(1_000_000));
    let start = Instant::now();

    let send = async {
        caller.write_all(&vec![7; 100_000]).await.unwrap();
        caller.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let ((), read) = tokio::join!(send, server.read_to_end(&mut received));
    read.unwrap();

    assert_eq!(received.len(), 100_000);
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn reset_of_a_response_reaches_the_caller() {
    // Guards against a proxy that turns a reset into a normal end of the body.
    let (service, _proxy, client) = start().await;
    service.set_fault(ServiceFault::ResetAfterBody);

    let response = client.call(Call::post("/", "body")).await;

    assert!(matches!(response, Err(ClientError::ConnectionClosed(_))));
}

#[tokio::test]
async fn dropped_proxies_release_their_ports() {
    // Guards against proxies that keep their port or tasks after they are dropped.
    let service = PlainService::start(any_port()).await.unwrap();
    let mut proxies = Vec::new();
    for _ in 0..200 {
        proxies.push(Proxy::start(any_port(), service.addr()).await.unwrap());
    }
    for proxy in &proxies {
        Client::new(proxy.addr())
            .call(Call::get("/"))
            .await
            .unwrap();
    }
    let addr = proxies[0].addr();

    drop(proxies);

    // The acceptor closes its sockets soon after the drop.
    let wait_for_port = async {
        while ReservedPort::reserve(addr)
            .and_then(|port| port.listen())
            .is_err()
        {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait_for_port)
        .await
        .unwrap();
}
