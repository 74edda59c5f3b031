//! Behaviour of the stand-in plain service.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::client::{Call, Client, ClientError};
use testkit::{PlainService, ServiceFault};

async fn start() -> (PlainService, Client) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = PlainService::start(any).await.unwrap();
    let client = Client::new(service.addr());
    (service, client)
}

fn order(id: &str) -> Call {
    Call::post("/orders/7", "two bottles").request_id(id)
}

#[tokio::test]
async fn calls_are_echoed_and_counted_by_request_id() {
    // Guards against counts that hide a request that ran twice.
    let (service, client) = start().await;

    client.call(order("a-1")).await.unwrap();
    let response = client.call(order("a-1")).await.unwrap();

    assert_eq!(response.json()["request_id"], "a-1");
    assert_eq!(response.json()["count"], 2);
    assert_eq!(service.call_count("a-1"), 2);
    assert_eq!(service.calls()[0].path, "/orders/7");
}

#[tokio::test]
async fn faults_break_the_response_and_count_only_calls_that_were_read() {
    // Guards against faults that count a call that was not read, or miss one that was.
    let cases = [
        (ServiceFault::ResetBeforeBody, 0),
        (ServiceFault::ResetAfterBody, 1),
        (ServiceFault::CloseMidAnswer, 1),
        (ServiceFault::Silent, 1),
    ];
    for (fault, count) in cases {
        let (service, client) = start().await;
        service.set_fault(fault);

        let timeout = match fault {
            ServiceFault::Silent => Duration::from_millis(100),
            _ => Duration::from_secs(20),
        };
        let response = client.call(order("a-1").timeout(timeout)).await;

        let expected = match (fault, &response) {
            (ServiceFault::CloseMidAnswer, Ok(response)) => !response.is_complete(),
            (ServiceFault::Silent, Err(ClientError::Timeout)) => true,
            (ServiceFault::ResetBeforeBody | ServiceFault::ResetAfterBody, response) => {
                matches!(response, Err(ClientError::ConnectionClosed(_)))
            }
            _ => false,
        };
        assert!(expected, "{fault:?}: {response:?}");
        assert_eq!(service.call_count("a-1"), count, "{fault:?}");
    }
}

#[tokio::test]
async fn crash_closes_open_connections_and_restart_serves_again() {
    // Guards against a restart on another port.
    let (service, client) = start().await;
    let mut conn = client.connect().await.unwrap();
    conn.call(order("a-1")).await.unwrap();

    service.crash().await;

    assert!(conn.call(order("a-2")).await.is_err());
    assert!(matches!(
        client.call(order("a-3")).await,
        Err(ClientError::Connect(_))
    ));
    service.restart().unwrap();
    client.call(order("a-4")).await.unwrap();
    assert_eq!(service.calls().len(), 2);
}
