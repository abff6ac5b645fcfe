//! Guards against callers whose connections are reset because many connect at once while the node is busy.

use {
    dragonflystep_peer::{Network, TcpNetwork},
    std::net::{Ipv4Addr, SocketAddr},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const CALLERS: u8 = 250;

#[tokio::test]
async fn connections_opened_before_the_first_is_accepted_are_all_served() {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 250, middle, low.clamp(2, 254));
    let address = SocketAddr::from((ip, 9_300));
    let network = TcpNetwork::default();
    let mut listener = network.listen(address).await.expect("a listener");
    let mut streams = Vec::new();
    for number in 0..CALLERS {
        let stream = network.connect(&address.to_string()).await;
        let mut stream = stream.unwrap_or_else(|error| panic!("connection {number}: {error}"));
        stream.write_all(&[number]).await.expect("a byte is sent");
        streams.push(stream);
    }
    for number in 0..CALLERS {
        let mut stream = listener.accept().await.expect("a connection");
        let byte = stream.read_u8().await;
        assert_eq!(byte.expect("the byte arrives"), number);
    }
}
