//! Counts the bytes on the links between daemons.

use metrics::counter;
use tokio::net::TcpStream;
use tokio_util::io::{InspectReader, InspectWriter};

/// A connection whose bytes are counted.
pub(super) type CountedStream = InspectWriter<InspectReader<TcpStream, fn(&[u8])>, fn(&[u8])>;

pub(super) fn count_bytes(stream: TcpStream) -> CountedStream {
    InspectWriter::new(InspectReader::new(stream, received), sent)
}

fn received(bytes: &[u8]) {
    count("received", bytes);
}

fn sent(bytes: &[u8]) {
    count("sent", bytes);
}

fn count(direction: &'static str, bytes: &[u8]) {
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    counter!("primrosechute_peer_bytes_total", "direction" => direction).increment(length);
}
